//! Address of the Unix socket in the state folder that the processes of a head share.

use std::fs::File;
use std::io;
use std::os::fd::AsRawFd;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use tokio::net::{UnixListener, UnixStream};

/// Longest path that is used as a socket address directly, in bytes. Linux limits `sun_path` to 107 bytes; a longer path
/// is addressed through the open folder, as `/proc/self/fd/N/name`.
const MAX_PATH_BYTES: usize = 100;

/// A path that is short enough for a Unix socket address.
struct SocketAddress {
    path: PathBuf,
    /// The open folder whose descriptor `path` refers to; kept open for as long as the path is in use.
    _folder: Option<File>,
}

impl SocketAddress {
    fn new(path: &Path) -> io::Result<SocketAddress> {
        match (path.parent(), path.file_name()) {
            (Some(folder), Some(name)) if path.as_os_str().len() > MAX_PATH_BYTES => {
                let folder = File::open(folder)?;
                let descriptor = folder.as_raw_fd().to_string();
                let path = Path::new("/proc/self/fd").join(descriptor).join(name);
                Ok(SocketAddress { path, _folder: Some(folder) })
            }
            _ => Ok(SocketAddress { path: path.into(), _folder: None }),
        }
    }
}

/// Connects to the process that listens at `path`.
pub(super) async fn connect(path: &Path) -> io::Result<UnixStream> {
    let address = SocketAddress::new(path)?;
    UnixStream::connect(&address.path).await
}

/// A listening socket that was bound in the state folder.
pub(super) struct BoundListener {
    /// The listening socket.
    pub(super) listener: UnixListener,
    /// Inode of the socket's name in the folder.
    inode: u64,
}

impl BoundListener {
    /// Whether `path` still names this socket, and not that of a newer process.
    pub(super) fn is_at(&self, path: &Path) -> bool {
        std::fs::metadata(path).is_ok_and(|metadata| metadata.ino() == self.inode)
    }
}

/// Listens at `path`. Replaces the socket of an earlier process by a rename, so that a connecting process finds one of
/// the two at any time.
pub(super) fn listen(path: &Path) -> io::Result<BoundListener> {
    let temporary = path.with_extension("new");
    if let Err(error) = std::fs::remove_file(&temporary) {
        log::debug!("handover: {}: {error}", temporary.display());
    }
    let address = SocketAddress::new(&temporary)?;
    let listener = UnixListener::bind(&address.path)?;
    let inode = std::fs::metadata(&temporary)?.ino();
    std::fs::rename(&temporary, path)?;
    Ok(BoundListener { listener, inode })
}
