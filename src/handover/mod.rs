//! Upgrades: a new process of this head takes over from the old one while both serve as one.
//!
//! The old process listens on a private socket in the folder that both share. The new one finds it there and
//! gets the listening sockets passed on: one queue serves both, so no close resets what waits in it. Until the
//! new one says that it is ready, the old one accepts; from then on the new one does, and the old one ends what
//! it took. While both live, each has half of what is the head's: limits, cold nodes, descriptors, memory. The
//! link's end is the other's end.

use crate::core::Dispatcher;
use crate::discovery::EndpointDirectory;
use crate::exclusions::Exclusions;
use crate::lifecycle::Lifecycle;
use crate::resources::descriptors::DescriptorBudget;
use crate::resources::memory::BodyMemory;
use crate::scheduler::Event;
use crate::shedding::controller::SheddingController;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use std::cell::RefCell;
use std::fs::File;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, AsRawFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tokio::sync::watch;
use tokio::time::timeout;

/// How long the old process has to pass its sockets on; one that does not is taken for mute.
const PATIENCE: Duration = Duration::from_secs(2);
/// Longest path that a private socket is reached by; beyond it, its folder's descriptor stands for the folder.
const LONGEST_PATH: usize = 100;
/// Most sockets that are passed on: one for each front that clients use.
const MOST_SOCKETS: usize = 3;
/// What the processes tell each other.
const HERE: &[u8] = b"here\n";
const READY: &[u8] = b"ready\n";
const BANS: &[u8] = b"bans\n";
const PINS: &[u8] = b"pins\n";
const LONGEST_WORD: usize = 64;

/// Which processes of this head live beside this one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// One that was started before.
    pub older: bool,
    /// One that was started after.
    pub newer: bool,
    /// That one accepts connections now.
    pub yielded: bool,
}

impl Standing {
    /// This process's part of what is the head's.
    fn part(self) -> f64 {
        1.0 / f64::from(1 + u8::from(self.older) + u8::from(self.newer))
    }
}

/// What the two processes share, as one of them holds it.
pub struct Shared {
    /// The core, for the limits and cold nodes.
    pub dispatcher: Rc<Dispatcher>,
    /// The descriptors.
    pub budget: Rc<DescriptorBudget>,
    /// The memory for bodies.
    pub memory: Rc<BodyMemory>,
    /// Who accepts.
    pub phases: Rc<Lifecycle>,
    /// The bans.
    pub bans: Rc<Exclusions>,
    /// The list that they apply to.
    pub directory: Rc<EndpointDirectory>,
    /// The levels of reduced service, for their pins.
    pub levels: Rc<SheddingController>,
}

/// The link to the other processes of this head.
pub struct Handover {
    path: Option<PathBuf>,
    shared: Shared,
    standing: watch::Sender<Standing>,
    links: RefCell<Vec<Rc<UnixStream>>>,
    sockets: RefCell<Vec<Rc<TcpListener>>>,
}

impl Handover {
    /// No link yet. Without a folder there will be none.
    pub fn new(folder: Option<&Path>, name: &str, shared: Shared) -> Rc<Handover> {
        let path = folder.map(|folder| folder.join(format!("flaxgap-{name}.sock")));
        let (standing, links, sockets) = Default::default();
        Rc::new(Handover { path, shared, standing, links, sockets })
    }

    /// Whether an address may be shared with another process of this head.
    pub fn possible(&self) -> bool {
        self.path.is_some()
    }

    /// Looks for an older process: its listening sockets, in the fronts' order; none where there is no such
    /// process or it is mute. A mute one keeps its half until it ends.
    pub async fn succeed(self: &Rc<Self>) -> Vec<std::net::TcpListener> {
        let Some(path) = &self.path else { return Vec::new() };
        let connecting = async {
            let (short, _folder) = reach(path)?;
            UnixStream::connect(short).await
        };
        let stream = match connecting.await {
            Ok(stream) => Rc::new(stream),
            Err(problem) => {
                log::debug!("handover: no older process: {problem}");
                return Vec::new();
            }
        };
        self.change(|standing| standing.older = true);
        let sockets = match timeout(PATIENCE, inherit(&stream)).await {
            Ok(Ok(sockets)) => sockets,
            Ok(Err(problem)) => {
                log::warn!("handover: the older process: {problem}");
                self.change(|standing| standing.older = false);
                return Vec::new();
            }
            Err(_) => {
                log::warn!("handover: the older process is mute");
                Vec::new()
            }
        };
        log::info!("handover: {} sockets of an older process", sockets.len());
        let this = self.clone();
        tokio::task::spawn_local(async move {
            this.heed(stream).await;
            log::info!("handover: the older process has ended");
            this.change(|standing| standing.older = false);
        });
        sockets
    }

    /// This process can serve: it accepts from now on, and waits for one that will take over from it.
    pub fn serve(self: &Rc<Self>, sockets: Vec<Rc<TcpListener>>) {
        self.sockets.replace(sockets);
        self.shared.phases.accept(true);
        self.tell(READY);
        let Some(path) = &self.path else { return };
        match listen(path) {
            Ok(listener) => _ = tokio::task::spawn_local(self.clone().attend(listener)),
            Err(problem) => log::error!("handover: {}: {problem}; no upgrade can follow", path.display()),
        }
    }

    /// Lets go of the listening sockets: where no newer process has them, connections are refused from now on.
    pub fn close(&self) {
        self.sockets.borrow_mut().clear();
    }

    /// Has the other processes read the bans again.
    pub fn bans_changed(&self) {
        self.tell(BANS);
    }

    /// Has the other processes read again which levels operators hold.
    pub fn pins_changed(&self) {
        self.tell(PINS);
    }

    /// Waits until a newer process accepts in this one's place.
    pub async fn yielded(&self) {
        // The sender lives in `self`, so the wait can't fail.
        let _ = self.standing.subscribe().wait_for(|standing| standing.yielded).await;
    }

    /// Whether a newer process accepts in this one's place.
    pub fn has_yielded(&self) -> bool {
        self.standing.borrow().yielded
    }

    fn change(&self, change: impl FnOnce(&mut Standing)) {
        let before = *self.standing.borrow();
        self.standing.send_modify(change);
        let after = *self.standing.borrow();
        if before.part() != after.part() {
            log::info!("handover: this process has {} of the head's share", after.part());
            self.shared.dispatcher.notify(&[Event::ProcessShareChanged { fraction: after.part() }]);
            self.shared.budget.set_part(after.part());
            self.shared.memory.set_part(after.part());
        }
        if before.yielded != after.yielded {
            let accepting = if after.yielded {
                "is in service, this one accepts no more"
            } else {
                "is gone, this one accepts again"
            };
            log::info!("handover: the newer process {accepting}");
            self.shared.phases.accept(!after.yielded);
        }
    }

    /// The words are short and few: a link whose buffer they fill is mute.
    fn tell(&self, word: &[u8]) {
        for link in self.links.borrow().iter() {
            if let Err(problem) = link.try_write(word) {
                log::warn!("handover: {problem}");
            }
        }
    }

    /// Waits for newer processes, one after the other.
    async fn attend(self: Rc<Self>, listener: UnixListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let stream = Rc::new(stream);
                    self.change(|standing| standing.newer = true);
                    let sockets = self.sockets.borrow().clone();
                    match timeout(PATIENCE, bequeath(&stream, &sockets)).await {
                        Ok(Ok(())) => self.heed(stream).await,
                        Ok(Err(problem)) => log::warn!("handover: the newer process: {problem}"),
                        Err(_) => log::warn!("handover: the newer process is mute"),
                    }
                    log::info!("handover: the newer process has ended");
                    self.change(|standing| (standing.newer, standing.yielded) = (false, false));
                }
                Err(problem) => {
                    log::warn!("handover: accept: {problem}");
                    tokio::time::sleep(PATIENCE).await;
                }
            }
        }
    }

    /// Follows what the other process says until it ends.
    async fn heed(&self, stream: Rc<UnixStream>) {
        self.links.borrow_mut().push(stream.clone());
        let (mut text, mut piece) = (Vec::new(), [0; LONGEST_WORD]);
        while text.len() < LONGEST_WORD && stream.readable().await.is_ok() {
            match stream.try_read(&mut piece) {
                Ok(0) => break,
                Ok(some) => text.extend_from_slice(&piece[..some]),
                Err(problem) if problem.kind() == io::ErrorKind::WouldBlock => continue,
                Err(_) => break,
            }
            while let Some(end) = text.iter().position(|byte| *byte == b'\n') {
                let word: Vec<u8> = text.drain(..=end).collect();
                match &word[..] {
                    READY => self.change(|standing| standing.yielded = standing.newer),
                    BANS => {
                        self.shared.bans.reload();
                        self.shared.directory.bans_changed();
                    }
                    PINS => self.shared.levels.reload_overrides(),
                    _ => log::debug!("handover: a word without a meaning"),
                }
            }
        }
        self.links.borrow_mut().retain(|link| !Rc::ptr_eq(link, &stream));
    }
}

/// A path as a socket's address can hold it, valid for as long as the folder is held open.
fn reach(path: &Path) -> io::Result<(PathBuf, Option<File>)> {
    match (path.parent(), path.file_name()) {
        (Some(folder), Some(name)) if path.as_os_str().len() > LONGEST_PATH => {
            let folder = File::open(folder)?;
            let short = Path::new("/proc/self/fd").join(folder.as_raw_fd().to_string()).join(name);
            Ok((short, Some(folder)))
        }
        _ => Ok((path.into(), None)),
    }
}

/// Listens at the path in place of the process that did before.
fn listen(path: &Path) -> io::Result<UnixListener> {
    let draft = path.with_extension("new");
    if let Err(problem) = std::fs::remove_file(&draft) {
        log::debug!("handover: {problem}");
    }
    let (short, _folder) = reach(&draft)?;
    let listener = UnixListener::bind(short)?;
    std::fs::rename(&draft, path)?;
    Ok(listener)
}

/// Passes listening sockets on.
async fn bequeath(stream: &UnixStream, sockets: &[Rc<TcpListener>]) -> io::Result<()> {
    let sockets: Vec<_> = sockets.iter().map(|socket| socket.as_fd()).collect();
    stream
        .async_io(Interest::WRITABLE, || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_SOCKETS))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            control.push(SendAncillaryMessage::ScmRights(&sockets));
            sendmsg(stream, &[IoSlice::new(HERE)], &mut control, SendFlags::NOSIGNAL)?;
            Ok(())
        })
        .await
}

/// Takes listening sockets over.
async fn inherit(stream: &UnixStream) -> io::Result<Vec<std::net::TcpListener>> {
    let sockets: Vec<OwnedFd> = stream
        .async_io(Interest::READABLE, || {
            let mut word = [0; HERE.len()];
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_SOCKETS))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let got =
                recvmsg(stream, &mut [IoSliceMut::new(&mut word)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
            if got.bytes == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let rights = control.drain().filter_map(|message| match message {
                RecvAncillaryMessage::ScmRights(sockets) => Some(sockets),
                _ => None,
            });
            Ok(rights.flatten().collect())
        })
        .await?;
    sockets
        .into_iter()
        .map(|socket| {
            let socket = std::net::TcpListener::from(socket);
            socket.set_nonblocking(true)?;
            Ok(socket)
        })
        .collect()
}
