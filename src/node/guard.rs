//! The send guard: decides whether a request may be sent to its node.

use super::addresses::{AddressTable, NodeAddress};
use crate::action_rules::{SendDenial, Violation, check_sent};
use crate::core::SendPermit;
use crate::metrics::counters::Counters;
use crate::resources::socket;
use crate::scheduler::NodeId;
use bytes::Bytes;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Stage of an attempt at which its send guard is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The scheduler has chosen the node.
    Chosen,
    /// A connection to the node is open.
    Connected,
    /// The first byte of the request is about to be written.
    FirstByte,
}

/// Why a request is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NotSentReason {
    /// The node accepts no more requests, or its address has changed.
    NodeUnavailable,
    /// The request's send permit does not allow it.
    Denied(SendDenial),
    /// The request tells the node a time that is outdated. It can be built anew.
    Outdated,
    /// The node has closed the connection. The request can be sent over another one.
    ConnectionClosed,
    /// The connection holds unread bytes that belong to no request. The request can be sent over another one.
    SurplusBytes,
}

/// The conditions that must hold from the choice of an attempt's node until its first byte is written.
#[derive(Clone)]
pub(super) struct SendGuard {
    pub(super) addresses: Rc<RefCell<AddressTable>>,
    pub(super) counters: Rc<Counters>,
    pub(super) node: NodeId,
    /// The request's id, byte for byte as received from the client.
    pub(super) request_id: Bytes,
    /// The node's address when the node was chosen; `None` if it was no longer listed.
    pub(super) address: Option<SocketAddr>,
    pub(super) permit: Rc<SendPermit>,
}

impl SendGuard {
    /// Decides whether the request may be sent to its node, by the current state; nothing else makes this decision. The
    /// node is checked at each stage, the permit at the first byte, and the connection if there is one.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request may not be sent.
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

    /// Checks that the node still accepts requests at the address that it had when it was chosen.
    fn check_node(&self, stage: Stage) -> Result<(), NotSentReason> {
        let addresses = self.addresses.borrow();
        if self.address.is_some() && addresses.ready_address(self.node) == self.address {
            return Ok(());
        }
        self.counters.held_back.add();
        let description = match addresses.status(self.node) {
            Some(status) => {
                let NodeAddress { name, address, state } = status.address;
                format!("{name} is {state:?} at {address}, unchanged for {:?}", status.unchanged_for)
            }
            None => "node is no longer listed".into(),
        };
        log::info!("node: request not sent, node={} stage={stage:?}: {description}", self.node.0);
        Err(NotSentReason::NodeUnavailable)
    }

    /// Logs that the first byte is about to be written, and the version of the endpoint list that the check used.
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
        let Err(denial) = self.permit.check(Instant::now()) else { return Ok(()) };
        self.record_denial(stage, denial);
        Err(NotSentReason::Denied(denial))
    }

    /// Checks the first byte of the request, which has just been written. The node was told at `told_at` how much time is
    /// left.
    pub(super) fn check_written(&self, told_at: Instant) {
        let violation = check_sent(self.permit.expires_at, told_at, Instant::now());
        self.counters.record_violation(violation, || {
            format!("request={} node={}", String::from_utf8_lossy(&self.request_id), self.node.0)
        });
    }

    /// Counts and logs that the permit does not allow the attempt.
    pub(super) fn record_denial(&self, stage: Stage, denial: SendDenial) {
        match denial {
            SendDenial::Deadline => self.counters.held_back_deadline.add(),
            SendDenial::RetryWindow => self.counters.held_back_window.add(),
            SendDenial::NotRepeatable => self.counters.record_violation(Some(Violation::Repeated), || {
                format!("request={} node={}", String::from_utf8_lossy(&self.request_id), self.node.0)
            }),
            SendDenial::Shutdown => self.counters.held_back_end.add(),
            SendDenial::ClientDisconnected => self.counters.held_back_client.add(),
            SendDenial::ClientUnconfirmed => self.counters.held_back_unconfirmed.add(),
        }
        log::debug!("node: request not sent, node={} stage={stage:?} reason={denial:?}", self.node.0);
    }

    /// Checks that the connection is open and has no unread bytes.
    fn check_connection(&self, stage: Stage, stream: &TcpStream) -> Result<(), NotSentReason> {
        let reason = match socket::peek(stream) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Ok(1..) => NotSentReason::SurplusBytes,
            Ok(0) | Err(_) => NotSentReason::ConnectionClosed,
        };
        self.counters.held_back_connection.add();
        if reason == NotSentReason::SurplusBytes {
            self.counters.surplus_responses.add();
        }
        log::debug!("node: connection not used, node={} stage={stage:?} reason={reason:?}", self.node.0);
        Err(reason)
    }
}
