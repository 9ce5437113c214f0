//! Upgrades: a new process of this head takes over from the old one while both serve as one.
//!
//! The old process listens on a private socket in the folder that both share. The new one connects to it and
//! receives the listening sockets: one queue of connections serves both, so no close resets what is queued.
//! Until the new one says that it is ready, the old one accepts; from then on the new one does, and the old one
//! ends what it took. While both live, each has half of the head's limits, capacity of nodes in slow start,
//! descriptors and memory. The connection's end is the other process's end.

mod message;
mod peer;
mod socket_passing;
mod socket_path;
mod state;

use crate::core::Dispatcher;
use crate::discovery::EndpointDirectory;
use crate::exclusions::Exclusions;
use crate::lifecycle::Lifecycle;
use crate::resources::descriptors::DescriptorBudget;
use crate::resources::memory::BodyMemory;
use crate::scheduler::Event;
use crate::shedding::controller::SheddingController;
use message::{Message, MessageDecoder};
use peer::PeerConnection;
use socket_passing::{receive_sockets, send_sockets};
use state::{NewerProcess, OtherProcesses};
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{error::Elapsed, sleep, timeout};

/// How long the passing of sockets may take; a peer that needs longer hangs.
const PASSING_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after the system failed to accept a newer process.
const ACCEPT_PAUSE: Duration = Duration::from_secs(2);

/// The parts of this process whose state depends on the head's other processes.
pub struct SharedParts {
    /// The scheduler, for limits and nodes in slow start.
    pub dispatcher: Rc<Dispatcher>,
    /// The budget of descriptors.
    pub descriptors: Rc<DescriptorBudget>,
    /// The memory for bodies.
    pub memory: Rc<BodyMemory>,
    /// Whether this process accepts connections.
    pub lifecycle: Rc<Lifecycle>,
    /// The nodes that operators exclude.
    pub exclusions: Rc<Exclusions>,
    /// The endpoint list, to which exclusions apply.
    pub directory: Rc<EndpointDirectory>,
    /// Load shedding, whose levels operators can override.
    pub shedding: Rc<SheddingController>,
}

/// The connections to the other processes of this head, and which of them accepts.
pub struct Handover {
    socket_path: Option<PathBuf>,
    shared: SharedParts,
    others: watch::Sender<OtherProcesses>,
    peers: RefCell<Vec<Rc<PeerConnection>>>,
    sockets: RefCell<Vec<Rc<TcpListener>>>,
}

impl Handover {
    /// A process that knows of no other yet. Without a folder that it shares with others there will be none.
    pub fn new(state_folder: Option<&Path>, name: &str, shared: SharedParts) -> Rc<Handover> {
        Rc::new(Handover {
            socket_path: state_folder.map(|folder| folder.join(format!("flaxgap-{name}.sock"))),
            shared,
            others: watch::Sender::default(),
            peers: RefCell::default(),
            sockets: RefCell::default(),
        })
    }

    /// Whether another process of this head can take over, and may share its addresses.
    pub fn is_possible(&self) -> bool {
        self.socket_path.is_some()
    }

    /// Connects to an older process and receives its listening sockets, in the frontends' order; none where
    /// there is no such process or it does not respond in time. One that does not respond keeps its share until
    /// it ends.
    pub async fn take_over(self: &Rc<Self>) -> Vec<std::net::TcpListener> {
        let Some(path) = &self.socket_path else { return Vec::new() };
        let stream = match socket_path::connect(path).await {
            Ok(stream) => stream,
            Err(problem) => {
                log::debug!("handover: no older process: {problem}");
                return Vec::new();
            }
        };
        let older = Rc::new(PeerConnection { stream });
        self.update(|others| others.older = true);
        let sockets = match timeout(PASSING_TIMEOUT, receive_sockets(&older.stream)).await {
            Ok(Ok(sockets)) => sockets,
            Ok(Err(problem)) => {
                log::warn!("handover: the older process: {problem}");
                self.update(|others| others.older = false);
                return Vec::new();
            }
            Err(Elapsed { .. }) => {
                log::warn!("handover: the older process is mute");
                Vec::new()
            }
        };
        log::info!("handover: {} sockets of an older process", sockets.len());
        spawn_local(self.clone().follow_older_process(older));
        sockets
    }

    async fn follow_older_process(self: Rc<Self>, older: Rc<PeerConnection>) {
        self.handle_messages(older).await;
        log::info!("handover: the older process has ended");
        self.update(|others| others.older = false);
    }

    /// Records that this process can serve: it accepts from now on, and listens for a process that will take
    /// over from it and its `sockets`.
    pub fn serve(self: &Rc<Self>, sockets: Vec<Rc<TcpListener>>) {
        self.sockets.replace(sockets);
        self.shared.lifecycle.set_accepting(true);
        self.send_to_peers(Message::Ready);
        let Some(path) = &self.socket_path else { return };
        match socket_path::listen(path) {
            Ok(listener) => _ = spawn_local(self.clone().accept_newer_processes(listener)),
            Err(problem) => log::error!("handover: {}: {problem}; no upgrade can follow", path.display()),
        }
    }

    /// Closes the listening sockets: unless a newer process has them, connections are refused from now on.
    pub fn close_sockets(&self) {
        self.sockets.borrow_mut().clear();
    }

    /// Has the other processes read the exclusions again.
    pub fn notify_exclusions_changed(&self) {
        self.send_to_peers(Message::ExclusionsChanged);
    }

    /// Has the other processes read the overrides of shedding levels again.
    pub fn notify_overrides_changed(&self) {
        self.send_to_peers(Message::OverridesChanged);
    }

    /// Waits until a newer process accepts in place of this one.
    pub async fn wait_for_newer_in_service(&self) {
        // The sender lives in `self`, so the wait can't fail.
        let _ = self.others.subscribe().wait_for(|others| others.newer_in_service()).await;
    }

    /// Whether a newer process accepts in place of this one.
    pub fn newer_in_service(&self) -> bool {
        self.others.borrow().newer_in_service()
    }

    /// Changes what is known of the other processes, and applies what follows from it.
    fn update(&self, change: impl FnOnce(&mut OtherProcesses)) {
        let before = *self.others.borrow();
        self.others.send_modify(change);
        let after = *self.others.borrow();
        if before.share() != after.share() {
            self.apply_share(after.share());
        }
        if before.newer_in_service() != after.newer_in_service() {
            self.apply_accepting(!after.newer_in_service());
        }
    }

    fn apply_share(&self, share: f64) {
        log::info!("handover: this process has {share} of the head's share");
        self.shared.dispatcher.notify(&[Event::ProcessShareChanged { fraction: share }]);
        self.shared.descriptors.set_share(share);
        self.shared.memory.set_share(share);
    }

    fn apply_accepting(&self, accepting: bool) {
        if accepting {
            log::info!("handover: the newer process is gone, this one accepts again");
        } else {
            log::info!("handover: the newer process is in service, this one accepts no more");
        }
        self.shared.lifecycle.set_accepting(accepting);
    }

    fn send_to_peers(&self, message: Message) {
        for peer in self.peers.borrow().iter() {
            peer.send(message);
        }
    }

    /// Accepts newer processes, one after the other.
    async fn accept_newer_processes(self: Rc<Self>, listener: UnixListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.serve_newer_process(stream).await,
                Err(problem) => {
                    log::warn!("handover: accept: {problem}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Passes the sockets to a newer process and follows it until it ends.
    async fn serve_newer_process(&self, stream: UnixStream) {
        let newer = Rc::new(PeerConnection { stream });
        self.update(|others| others.newer = NewerProcess::Starting);
        let sockets = self.sockets.borrow().clone();
        match timeout(PASSING_TIMEOUT, send_sockets(&newer.stream, &sockets)).await {
            Ok(Ok(())) => self.handle_messages(newer).await,
            Ok(Err(problem)) => log::warn!("handover: the newer process: {problem}"),
            Err(Elapsed { .. }) => log::warn!("handover: the newer process is mute"),
        }
        log::info!("handover: the newer process has ended");
        self.update(|others| others.newer = NewerProcess::Absent);
    }

    /// Handles the peer's messages until it ends.
    async fn handle_messages(&self, peer: Rc<PeerConnection>) {
        self.peers.borrow_mut().push(peer.clone());
        let mut decoder = MessageDecoder::default();
        while let Some(message) = peer.receive(&mut decoder).await {
            match message {
                Ok(message) => self.handle_message(message),
                Err(problem) => log::debug!("handover: {problem}"),
            }
        }
        self.peers.borrow_mut().retain(|other| !Rc::ptr_eq(other, &peer));
    }

    fn handle_message(&self, message: Message) {
        match message {
            Message::Sockets => log::debug!("handover: a second sockets message, ignored"),
            Message::Ready => self.update(OtherProcesses::peer_is_ready),
            Message::ExclusionsChanged => {
                self.shared.exclusions.reload();
                self.shared.directory.on_exclusions_changed();
            }
            Message::OverridesChanged => self.shared.shedding.reload_overrides(),
        }
    }
}
