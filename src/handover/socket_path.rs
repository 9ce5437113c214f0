//! The private socket in the folder that the processes of a head share.

use std::fs::File;
use std::io;
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use tokio::net::{UnixListener, UnixStream};

/// Longest path that a socket's address is given as it is; the system takes 107 bytes. A longer one goes through
/// its folder's descriptor.
const MAX_PATH_BYTES: usize = 100;

/// A path that fits a socket's address.
struct SocketAddress {
    path: PathBuf,
    /// The open folder, through whose descriptor the path leads.
    _folder: Option<File>,
}

impl SocketAddress {
    fn of(path: &Path) -> io::Result<SocketAddress> {
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

/// Connects to the process that listens at the path.
pub(super) async fn connect(path: &Path) -> io::Result<UnixStream> {
    let address = SocketAddress::of(path)?;
    UnixStream::connect(&address.path).await
}

/// Listens at the path in place of the process that did before.
pub(super) fn listen(path: &Path) -> io::Result<UnixListener> {
    let draft = path.with_extension("new");
    if let Err(problem) = std::fs::remove_file(&draft) {
        log::debug!("handover: {problem}");
    }
    let address = SocketAddress::of(&draft)?;
    let listener = UnixListener::bind(&address.path)?;
    std::fs::rename(&draft, path)?;
    Ok(listener)
}
