//! Where the program stands, and what follows from it for connections. Everything that has to know, from the
//! fronts to the link between two processes, reads it here; nothing here knows who asks.

use std::io;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Where the program stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Reading its configuration, listening, waiting for the node list.
    Starting,
    /// In service.
    Ready,
    /// Told to stop: answers what it took and takes what still comes.
    Draining,
    /// All is answered.
    Stopped,
}

/// The phase, the signal that idle connections shall close, and the connections still open.
pub struct Lifecycle {
    phase: watch::Sender<Phase>,
    closing: watch::Sender<bool>,
    accepting: watch::Sender<bool>,
    connections: watch::Sender<usize>,
}

/// One connection that the program waits for before it ends.
pub struct ConnectionGuard(watch::Sender<usize>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.send_modify(|open| *open -= 1);
    }
}

impl Default for Lifecycle {
    fn default() -> Self {
        Lifecycle {
            phase: watch::Sender::new(Phase::Starting),
            closing: watch::Sender::new(false),
            accepting: watch::Sender::new(true),
            connections: watch::Sender::new(0),
        }
    }
}

impl Lifecycle {
    /// The phase now.
    pub fn now(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Goes on to a later phase; there is no way back.
    pub fn enter(&self, phase: Phase) {
        let entered = self.phase.send_if_modified(|now| {
            let later = *now < phase;
            *now = phase.max(*now);
            later
        });
        if entered {
            log::info!("daemon: {phase:?}");
        }
    }

    /// Whether this process accepts connections: while two processes of a head live, one of them does.
    pub fn accept(&self, accepting: bool) {
        self.accepting.send_replace(accepting);
    }

    /// Whether connections are better opened anew, to the process that accepts now.
    pub fn leaving(&self) -> bool {
        self.closing() || !*self.accepting.borrow()
    }

    /// The next connection, while this process accepts them.
    pub async fn next(&self, listener: &TcpListener) -> io::Result<TcpStream> {
        let mut accepting = self.accepting.subscribe();
        loop {
            // The sender lives in `self`, so the wait can't fail.
            let _ = accepting.wait_for(|accepting| *accepting).await;
            tokio::select! {
                biased;
                _ = accepting.changed() => {}
                accepted = listener.accept() => return accepted.map(|(stream, _)| stream),
            }
        }
    }

    /// Counts a connection for as long as the guard lives.
    pub fn connection(&self) -> ConnectionGuard {
        self.connections.send_modify(|open| *open += 1);
        ConnectionGuard(self.connections.clone())
    }

    /// Whether connections shall close after the answer they are at.
    pub fn closing(&self) -> bool {
        *self.closing.borrow()
    }

    /// Turns true when idle connections shall close.
    pub fn subscribe_closing(&self) -> watch::Receiver<bool> {
        self.closing.subscribe()
    }

    /// Tells idle connections to close.
    pub fn close_idle(&self) {
        self.closing.send_replace(true);
    }

    /// Waits until no connection is open.
    pub async fn all_closed(&self) {
        // The sender lives in `self`, so the wait can't fail.
        let _ = self.connections.subscribe().wait_for(|open| *open == 0).await;
    }
}
