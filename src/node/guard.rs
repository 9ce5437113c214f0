//! The send guard: decides whether a request may begin at its node.

use super::addresses::{AddressTable, NodeAddress};
use crate::core::{PermitExpired, SendPermit};
use crate::metrics::counters::Counters;
use crate::scheduler::NodeId;
use bytes::Bytes;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// How far an attempt has come when its guard is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The scheduler has chosen the node.
    Chosen,
    /// A connection to the node is open.
    Connected,
    /// The first byte of the request is about to be written.
    FirstByte,
}

/// Why the first byte of a request is not written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NotSentReason {
    /// The node takes no more work, or its address has changed.
    NodeUnavailable,
    /// The request's send permit has expired.
    PermitExpired(PermitExpired),
    /// The connection holds unread bytes that belong to no request, or the node has closed it. Another connection can
    /// carry the request.
    ConnectionUnusable,
}

/// What has to hold from an attempt's choice of a node to its first byte.
#[derive(Clone)]
pub(super) struct SendGuard {
    pub(super) addresses: Rc<RefCell<AddressTable>>,
    pub(super) counters: Rc<Counters>,
    pub(super) node: NodeId,
    /// The request's id, as the client wrote it.
    pub(super) request_id: Bytes,
    /// The node's address when it was chosen; `None` if the node was no longer listed.
    pub(super) address: Option<SocketAddr>,
    pub(super) permit: Rc<SendPermit>,
}

impl SendGuard {
    /// Decides whether the request may begin at its node, by what is known now: the only place that does. The node is
    /// checked at each stage, the permit at the first byte, and the connection if there is one.
    pub(super) fn check(&self, stage: Stage, connection: Option<&TcpStream>) -> Result<(), NotSentReason> {
        self.check_node(stage)?;
        if stage == Stage::FirstByte {
            self.check_permit(stage)?;
        }
        match connection {
            Some(stream) => self.check_connection(stage, stream),
            None => Ok(()),
        }
    }

    /// Checks that the node still takes work at the address that it was chosen with.
    fn check_node(&self, stage: Stage) -> Result<(), NotSentReason> {
        let addresses = self.addresses.borrow();
        if self.address.is_some() && addresses.ready_address(self.node) == self.address {
            return Ok(());
        }
        self.counters.held_back.add();
        let known = match addresses.status(self.node) {
            Some(status) => {
                let NodeAddress { name, address, state } = status.address;
                format!("{name} is {state:?} at {address}, heard {:?} ago", status.unchanged_for)
            }
            None => "it is gone".into(),
        };
        log::info!("node: nothing new to node {} ({stage:?}): {known}", self.node.0);
        Err(NotSentReason::NodeUnavailable)
    }

    /// Logs that the first byte goes out, and by which list that was decided.
    pub(super) fn log_first_byte(&self) {
        if !log::log_enabled!(log::Level::Debug) {
            return;
        }
        let list = self.addresses.borrow().list();
        log::debug!(
            "node: first byte, request={} node={} list_version={} list_age={:?}",
            String::from_utf8_lossy(&self.request_id),
            self.node.0,
            list.version,
            list.applied_at.elapsed()
        );
    }

    /// Checks that the permit has not expired.
    pub(super) fn check_permit(&self, stage: Stage) -> Result<(), NotSentReason> {
        let Some(expired) = self.permit.expired(Instant::now()) else { return Ok(()) };
        self.record_expired(stage, expired);
        Err(NotSentReason::PermitExpired(expired))
    }

    /// Counts and logs that a permit has expired.
    pub(super) fn record_expired(&self, stage: Stage, expired: PermitExpired) {
        match expired {
            PermitExpired::Deadline => self.counters.held_back_deadline.add(),
            PermitExpired::RetryWindow => self.counters.held_back_window.add(),
            PermitExpired::Shutdown => self.counters.held_back_end.add(),
            PermitExpired::ClientDisconnected => self.counters.held_back_client.add(),
            PermitExpired::ClientUnconfirmed => self.counters.held_back_unconfirmed.add(),
        }
        log::debug!("node: request not sent, node={} stage={stage:?} reason={expired:?}", self.node.0);
    }

    /// Checks that nothing has arrived on the connection since it was last read.
    fn check_connection(&self, stage: Stage, stream: &TcpStream) -> Result<(), NotSentReason> {
        if has_nothing_unread(stream) {
            return Ok(());
        }
        self.counters.held_back_connection.add();
        log::debug!("node: unexpected bytes or close on a connection, node={} stage={stage:?}", self.node.0);
        Err(NotSentReason::ConnectionUnusable)
    }
}

/// Whether a socket is open with no bytes to read. Asks the system, since the runtime may not have been notified yet.
fn has_nothing_unread(stream: &TcpStream) -> bool {
    let peeked = socket2::SockRef::from(stream).peek(&mut [std::mem::MaybeUninit::uninit()]);
    peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}
