//! The phases of the process, and their effect on client connections.
//!
//! A process starts, serves, drains after SIGTERM or SIGINT (graceful shutdown) and stops. During a handover to a newer
//! process of the same head, only one of the two accepts connections.

use crate::resources::listening_socket::ListeningSocket;
use std::io;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// A phase of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Reading the configuration, opening listeners and waiting for the endpoint list.
    Starting,
    /// Serving requests.
    Ready,
    /// Graceful shutdown: answering the requests already accepted and those that still arrive.
    Draining,
    /// All requests have been answered.
    Stopped,
}

/// How client connections have to close, later stages after earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClosingStage {
    /// Not at all.
    Open,
    /// As soon as they are idle. What is not a complete request by `requests_until` is not served.
    WhenIdle {
        /// The end of requests that are not complete, and of connections that wait for their first one.
        requests_until: Instant,
    },
    /// At once, with answers that are not complete broken off; requests that are owed an answer are answered first.
    BreakOff,
}

/// State of the process, shared by the frontends, the handover and the graceful shutdown.
pub struct Lifecycle {
    phase: watch::Sender<Phase>,
    is_accepting: watch::Sender<bool>,
    closing: watch::Sender<ClosingStage>,
    open_connections: watch::Sender<usize>,
}

/// The closing of connections as one of them follows it.
#[derive(Clone)]
pub struct Closing(watch::Receiver<ClosingStage>);

impl Closing {
    /// Waits until connections have to close when idle, and returns the end of requests that are not complete.
    pub async fn when_idle(&mut self) -> Instant {
        match self.wait_for(|stage| *stage != ClosingStage::Open).await {
            ClosingStage::WhenIdle { requests_until } => requests_until,
            ClosingStage::Open | ClosingStage::BreakOff => Instant::now(),
        }
    }

    /// Waits until requests that are not complete are not served any more.
    pub async fn requests_end(&mut self) {
        let requests_until = self.when_idle().await;
        sleep_until(requests_until).await;
    }

    /// Waits until answers have to be broken off.
    pub async fn break_off(&mut self) {
        self.wait_for(|stage| *stage == ClosingStage::BreakOff).await;
    }

    async fn wait_for(&mut self, is_reached: impl FnMut(&ClosingStage) -> bool) -> ClosingStage {
        match self.0.wait_for(is_reached).await {
            Ok(stage) => *stage,
            // The lifecycle is gone, and the process with it.
            Err(_) => ClosingStage::BreakOff,
        }
    }
}

/// Counts a client connection as open until dropped; the graceful shutdown waits for all open connections.
pub struct ConnectionGuard {
    open_connections: watch::Sender<usize>,
}

impl ConnectionGuard {
    fn new(open_connections: &watch::Sender<usize>) -> ConnectionGuard {
        open_connections.send_modify(|count| *count += 1);
        ConnectionGuard { open_connections: open_connections.clone() }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.open_connections.send_modify(|count| *count -= 1);
    }
}

impl Default for Lifecycle {
    fn default() -> Self {
        Lifecycle {
            phase: watch::Sender::new(Phase::Starting),
            is_accepting: watch::Sender::new(true),
            closing: watch::Sender::new(ClosingStage::Open),
            open_connections: watch::Sender::new(0),
        }
    }
}

impl Lifecycle {
    /// The current phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Enters a later phase. Has no effect if `phase` is the current or an earlier one.
    pub fn enter(&self, phase: Phase) {
        let has_entered = self.phase.send_if_modified(|current| {
            if phase <= *current {
                return false;
            }
            *current = phase;
            true
        });
        if has_entered {
            log::info!("daemon: {phase:?}");
        }
    }

    /// Sets whether this process accepts connections. During a handover, only one of a head's two processes does.
    pub fn set_accepting(&self, is_accepting: bool) {
        self.is_accepting.send_replace(is_accepting);
    }

    /// Whether this process accepts connections.
    pub fn is_accepting(&self) -> bool {
        *self.is_accepting.borrow()
    }

    /// Has the listener accept and hold the next connection; waits while this process does not accept connections.
    ///
    /// # Errors
    ///
    /// Returns the listener's errors.
    pub async fn hold_next(&self, listener: &ListeningSocket) -> io::Result<()> {
        let mut accepting = self.is_accepting.subscribe();
        loop {
            if listener.is_holding() {
                return Ok(());
            }
            if !self.is_accepting() {
                // The sender lives in `self`, so the wait can't fail.
                let _ = accepting.wait_for(|is_accepting| *is_accepting).await;
                listener.accepted_elsewhere();
            }
            accepting.mark_unchanged();
            tokio::select! {
                biased;
                _ = accepting.changed() => {}
                held = listener.hold_next() => return held,
            }
        }
    }

    /// Counts a connection as open until the guard is dropped.
    pub fn track_connection(&self) -> ConnectionGuard {
        ConnectionGuard::new(&self.open_connections)
    }

    /// Whether clients should reconnect to reach the process that accepts connections, because this one is closing its
    /// connections or another one accepts connections in its place.
    pub fn should_reconnect(&self) -> bool {
        *self.closing.borrow() != ClosingStage::Open || !*self.is_accepting.borrow()
    }

    /// Signals connections to close: idle ones immediately, the others after their current response. What is not a complete
    /// request by `requests_until` is not served.
    pub fn close_idle_connections(&self, requests_until: Instant) {
        self.closing.send_replace(ClosingStage::WhenIdle { requests_until });
    }

    /// Signals connections to close with their answers broken off.
    pub fn break_off_answers(&self) {
        self.closing.send_replace(ClosingStage::BreakOff);
    }

    /// A view of the closing of connections, for one of them.
    pub fn closing(&self) -> Closing {
        Closing(self.closing.subscribe())
    }

    /// Number of open client connections.
    pub fn open_connections(&self) -> usize {
        *self.open_connections.borrow()
    }

    /// Waits until all connections are closed.
    pub async fn connections_closed(&self) {
        // The sender lives in `self`, so the wait can't fail.
        let _ = self.open_connections.subscribe().wait_for(|count| *count == 0).await;
    }
}
