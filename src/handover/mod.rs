//! Zero-downtime upgrades: a newer process of this head takes over the listening sockets of the older one.
//!
//! The older process listens on a Unix socket in the state folder that both processes share. The newer process connects
//! to it and receives the listening sockets. Both then share the kernel's accept queues, so closing the sockets in one
//! process does not reset queued connections. The older process accepts connections until the newer one reports that
//! it is ready; from then on the newer one accepts them, and the older one completes the requests that it has accepted.
//! While both run, each uses half of the head's rate limits, slow-start capacity of nodes, file descriptors and memory, and
//! a request id that one has claimed can't be claimed in the other (`core::RequestIds`).
//! When the Unix connection closes, the other process counts as ended.

mod message;
mod peer;
mod socket_passing;
mod socket_path;
mod state;

use crate::core::{ClaimPeers, Dispatcher, RequestKey};
use crate::discovery::EndpointDirectory;
use crate::exclusions::Exclusions;
use crate::lifecycle::Lifecycle;
use crate::resources::descriptors::DescriptorBudget;
use crate::resources::listening_socket::ListeningSocket;
use crate::resources::memory::MemoryBudget;
use crate::resources::{repeat, socket};
use crate::scheduler::Event;
use crate::shedding::controller::SheddingController;
use message::{Message, UnknownMessage};
use peer::{PeerConnection, Received};
use socket_passing::{receive_sockets, send_sockets};
use socket_path::BoundListener;
use state::{NewerProcess, OtherProcesses};
use std::cell::RefCell;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::UnixStream;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, error::Elapsed, sleep, timeout, timeout_at};

/// Timeout for passing the listening sockets. A peer that takes longer counts as hung.
const PASSING_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of ids that a newer process is sent, of requests in flight first and then of the latest ones.
const MAX_IDS_SENT: usize = 16_384;
/// Pause after a call on the Unix socket failed.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Why no sockets were received from an older process.
#[derive(Debug, Error)]
enum TakeOverError {
    /// Nobody listens.
    #[error("no older process: {0}")]
    NoOlderProcess(#[source] io::Error),
    /// The connection failed, or the older process ended it.
    #[error("receiving sockets from the older process: {0}")]
    Failed(#[source] io::Error),
}

impl TakeOverError {
    fn of_connect(error: io::Error) -> TakeOverError {
        if socket::is_shortage(&error) {
            TakeOverError::Failed(error)
        } else {
            TakeOverError::NoOlderProcess(error)
        }
    }
}

/// Components of this process whose state depends on the other processes of the head.
pub struct SharedParts {
    /// The scheduler, whose rate limits and slow-start capacity are scaled to this process's share.
    pub dispatcher: Rc<Dispatcher>,
    /// The budget of file descriptors, scaled to this process's share.
    pub descriptors: Rc<DescriptorBudget>,
    /// The memory for request and response bodies, scaled to this process's share.
    pub memory: Rc<MemoryBudget>,
    /// The lifecycle, which controls whether this process accepts client connections.
    pub lifecycle: Rc<Lifecycle>,
    /// The nodes excluded by operators, stored in the state folder.
    pub exclusions: Rc<Exclusions>,
    /// The endpoint directory, which applies the exclusions.
    pub directory: Rc<EndpointDirectory>,
    /// The load-shedding controller, whose overrides are stored in the state folder.
    pub shedding: Rc<SheddingController>,
}

/// Connections to the other processes of this head, and the state of each of them.
pub struct Handover {
    socket_path: Option<PathBuf>,
    shared: SharedParts,
    others: watch::Sender<OtherProcesses>,
    peers: RefCell<Vec<Rc<PeerConnection>>>,
    sockets: RefCell<Vec<Rc<ListeningSocket>>>,
}

impl Handover {
    /// Creates a handover without other processes. Without a state folder, no handover is possible.
    pub fn new(state_folder: Option<&Path>, name: &str, shared: SharedParts) -> Rc<Handover> {
        Rc::new(Handover {
            socket_path: state_folder.map(|folder| folder.join(format!("flaxgap-{name}.sock"))),
            shared,
            others: watch::Sender::default(),
            peers: RefCell::default(),
            sockets: RefCell::default(),
        })
    }

    /// Whether a newer process can take over from this one. Its listening addresses must then be shareable.
    pub fn is_possible(&self) -> bool {
        self.socket_path.is_some()
    }

    /// Connects to an older process and receives its listening sockets, in the order of
    /// [`crate::daemon`]'s listeners: HTTP/1.1, HTTP/2, block.
    ///
    /// Returns no sockets if there is no older process or if it does not respond within 2 s. An older process that does
    /// not respond still counts for this process's share until it ends.
    pub async fn take_over(self: &Rc<Self>) -> Vec<std::net::TcpListener> {
        let Some(path) = &self.socket_path else { return Vec::new() };
        let given_up_at = Instant::now() + PASSING_TIMEOUT;
        let (older, sockets) = loop {
            match self.try_take_over(path, given_up_at).await {
                Ok(taken) => break taken,
                Err(TakeOverError::NoOlderProcess(error)) => {
                    log::debug!("handover: no older process: {error}");
                    return Vec::new();
                }
                // The older process may be there still, and would not know of this one.
                Err(TakeOverError::Failed(error)) => {
                    log::warn!("handover: receiving sockets from the older process: {error}");
                    if Instant::now() >= given_up_at {
                        return Vec::new();
                    }
                    sleep(RETRY_PAUSE).await;
                }
            }
        };
        log::info!("handover: {} sockets of an older process", sockets.len());
        spawn_local(self.clone().follow_older_process(older));
        sockets
    }

    /// Connects to an older process and receives its listening sockets; none if it does not respond by `given_up_at`.
    async fn try_take_over(
        &self,
        path: &Path,
        given_up_at: Instant,
    ) -> Result<(Rc<PeerConnection>, Vec<std::net::TcpListener>), TakeOverError> {
        let stream = socket_path::connect(path).await.map_err(TakeOverError::of_connect)?;
        let older = Rc::new(PeerConnection::new(stream));
        self.update(|others| others.older = true);
        match timeout_at(given_up_at, receive_sockets(&older.stream)).await {
            Ok(Ok(sockets)) => Ok((older, sockets)),
            Ok(Err(error)) => {
                self.update(|others| others.older = false);
                Err(TakeOverError::Failed(error))
            }
            Err(Elapsed { .. }) => {
                log::warn!("handover: the older process does not respond");
                Ok((older, Vec::new()))
            }
        }
    }

    /// Handles the older process's messages until it ends.
    async fn follow_older_process(self: Rc<Self>, older: Rc<PeerConnection>) {
        self.handle_messages(older).await;
        log::info!("handover: the older process has ended");
        self.update(|others| others.older = false);
    }

    /// Puts this process into service: accepts client connections, notifies the other processes, and listens for a newer
    /// process to pass `sockets` to.
    pub fn serve(self: &Rc<Self>, sockets: Vec<Rc<ListeningSocket>>) {
        self.sockets.replace(sockets);
        self.shared.lifecycle.set_accepting(true);
        self.send_to_peers(Message::Ready);
        let Some(path) = &self.socket_path else { return };
        match repeat::in_service(|| socket_path::listen(path)) {
            Ok(listener) => _ = spawn_local(self.clone().accept_newer_processes(listener)),
            Err(error) => log::error!("handover: {}: {error}; no upgrade can follow", path.display()),
        }
    }

    /// Drops this process's listening sockets. Unless a newer process has them open, new connections are then refused.
    pub fn close_sockets(&self) {
        self.sockets.borrow_mut().clear();
    }

    /// Makes the other processes read the node exclusions again.
    pub fn notify_exclusions_changed(&self) {
        self.send_to_peers(Message::ExclusionsChanged);
    }

    /// Makes the other processes read the overrides of shedding levels again.
    pub fn notify_overrides_changed(&self) {
        self.send_to_peers(Message::OverridesChanged);
    }

    /// Waits until a newer process accepts connections in place of this one.
    pub async fn wait_for_newer_in_service(&self) {
        // `wait_for` fails only if the sender is dropped, and `self` owns the sender.
        let _ = self.others.subscribe().wait_for(|others| others.newer_in_service()).await;
    }

    /// Whether a newer process accepts connections in place of this one.
    pub fn newer_in_service(&self) -> bool {
        self.others.borrow().newer_in_service()
    }

    /// Updates the state of the other processes, and adjusts this process's share and whether it accepts connections.
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
            log::info!("handover: accepting connections again, since the newer process ended");
        } else {
            log::info!("handover: the newer process is in service, no longer accepting connections");
        }
        self.shared.lifecycle.set_accepting(accepting);
    }

    fn send_to_peers(&self, message: Message) {
        for peer in self.peers.borrow().iter() {
            peer.send(message);
        }
    }

    /// Accepts newer processes on the Unix socket, one at a time.
    async fn accept_newer_processes(self: Rc<Self>, mut bound: BoundListener) {
        loop {
            match bound.listener.accept().await {
                Ok((stream, _)) => {
                    self.serve_newer_process(stream).await;
                    if let Some(bound_again) = self.listen_again(&bound).await {
                        bound = bound_again;
                    }
                }
                Err(error) => {
                    log::warn!("handover: accept: {error}");
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Listens anew after a newer process has ended that had put its own socket in the place of this process's one: the
    /// next process would not find this one. Returns `None` if that is not needed, or if it fails.
    async fn listen_again(&self, bound: &BoundListener) -> Option<BoundListener> {
        let path = self.socket_path.as_ref()?;
        if bound.is_at(path) {
            return None;
        }
        if socket_path::connect(path).await.is_ok() {
            log::warn!("handover: another process listens at {}", path.display());
            return None;
        }
        match repeat::in_service(|| socket_path::listen(path)) {
            Ok(bound_again) => {
                log::info!("handover: listening for a newer process again");
                Some(bound_again)
            }
            Err(error) => {
                log::error!("handover: {}: {error}; no upgrade can follow", path.display());
                None
            }
        }
    }

    /// Passes the listening sockets to a newer process, then handles its messages until it ends.
    async fn serve_newer_process(&self, stream: UnixStream) {
        let newer = Rc::new(PeerConnection::new(stream));
        self.update(|others| others.newer = NewerProcess::Starting);
        let sockets = self.sockets.borrow().clone();
        match timeout(PASSING_TIMEOUT, send_sockets(&newer.stream, &sockets)).await {
            Ok(Ok(())) => {
                self.send_claimed_ids(&newer);
                self.handle_messages(newer).await;
            }
            Ok(Err(error)) => log::warn!("handover: passing sockets to the newer process: {error}"),
            Err(Elapsed { .. }) => log::warn!("handover: the newer process does not respond"),
        }
        log::info!("handover: the newer process has ended");
        self.update(|others| others.newer = NewerProcess::Absent);
    }

    /// Handles the messages of a peer until its connection closes.
    async fn handle_messages(&self, peer: Rc<PeerConnection>) {
        self.peers.borrow_mut().push(peer.clone());
        while let Some(message) = peer.receive().await {
            self.handle_received(message);
        }
        self.peers.borrow_mut().retain(|other| !Rc::ptr_eq(other, &peer));
    }

    fn handle_received(&self, message: Result<Message, UnknownMessage>) {
        match message {
            Ok(message) => self.handle_message(message),
            Err(error) => log::debug!("handover: {error}"),
        }
    }

    /// Sends a newer process the ids of requests that this process has in flight or has lately served.
    fn send_claimed_ids(&self, newer: &PeerConnection) {
        for key in self.shared.dispatcher.request_ids().claimed().into_iter().take(MAX_IDS_SENT) {
            newer.send(Message::IdClaimed(key));
        }
    }

    fn handle_message(&self, message: Message) {
        match message {
            Message::Sockets => log::debug!("handover: ignoring repeated sockets message"),
            Message::Ready => self.update(OtherProcesses::peer_is_ready),
            Message::ExclusionsChanged => {
                self.shared.exclusions.reload();
                self.shared.directory.on_exclusions_changed();
            }
            Message::OverridesChanged => self.shared.shedding.reload_overrides(),
            Message::IdClaimed(key) => self.shared.dispatcher.request_ids().note_peer_claim(key),
        }
    }
}

impl ClaimPeers for Handover {
    fn receive_claims(&self) {
        let peers = self.peers.borrow().clone();
        for peer in peers {
            // The end of the connection is handled where its messages are awaited.
            while let Received::Message(message) = peer.try_receive() {
                self.handle_received(message);
            }
        }
    }

    fn announce_claim(&self, key: RequestKey) {
        self.send_to_peers(Message::IdClaimed(key));
    }
}
