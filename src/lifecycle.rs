//! The phases of the process, and what follows from them for client connections.
//!
//! A process starts, serves, drains after SIGTERM or SIGINT (a graceful shutdown) and stops. While a newer process
//! of the same head takes over, one of the two accepts connections.

use std::io;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A phase of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Reads its configuration, opens its listeners and waits for the endpoint list.
    Starting,
    /// In service.
    Ready,
    /// Graceful shutdown: it answers the requests that it accepted and those that still come.
    Draining,
    /// Everything is answered.
    Stopped,
}

/// The state of the process as frontends, the handover and the graceful shutdown share it.
pub struct Lifecycle {
    phase: watch::Sender<Phase>,
    is_accepting: watch::Sender<bool>,
    is_closing: watch::Sender<bool>,
    open_connections: watch::Sender<usize>,
}

/// A client connection that the shutdown waits for; dropped when the connection has closed.
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
            is_closing: watch::Sender::new(false),
            open_connections: watch::Sender::new(0),
        }
    }
}

impl Lifecycle {
    /// The present phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Enters a later phase; an earlier one is ignored.
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

    /// Sets whether this process accepts connections: of two processes of a head, one does.
    pub fn set_accepting(&self, is_accepting: bool) {
        self.is_accepting.send_replace(is_accepting);
    }

    /// Accepts the next connection, once this process accepts connections.
    ///
    /// # Errors
    ///
    /// Those of the listener.
    pub async fn accept(&self, listener: &TcpListener) -> io::Result<TcpStream> {
        let mut accepting = self.is_accepting.subscribe();
        loop {
            // The sender lives in `self`, so the wait can't fail.
            let _ = accepting.wait_for(|is_accepting| *is_accepting).await;
            tokio::select! {
                biased;
                _ = accepting.changed() => {}
                accepted = listener.accept() => return accepted.map(|(stream, _)| stream),
            }
        }
    }

    /// Counts a connection as open for as long as the guard lives.
    pub fn track_connection(&self) -> ConnectionGuard {
        ConnectionGuard::new(&self.open_connections)
    }

    /// Whether clients should reconnect, to reach the process that accepts connections: this one closes its
    /// connections, or a newer one accepts in its place.
    pub fn should_reconnect(&self) -> bool {
        *self.is_closing.borrow() || !*self.is_accepting.borrow()
    }

    /// Signals that idle connections close, and others after their present response.
    pub fn close_idle_connections(&self) {
        self.is_closing.send_replace(true);
    }

    /// A receiver that turns true at [`Lifecycle::close_idle_connections`].
    pub fn subscribe_closing(&self) -> watch::Receiver<bool> {
        self.is_closing.subscribe()
    }

    /// Waits until no connection is open.
    pub async fn connections_closed(&self) {
        // The sender lives in `self`, so the wait can't fail.
        let _ = self.open_connections.subscribe().wait_for(|count| *count == 0).await;
    }
}
