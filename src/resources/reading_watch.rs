//! Watches whether the peer of a connection goes on reading while its socket takes no more bytes, by what the peer's
//! system has acknowledged.

use super::tcp_info;
use crate::action_rules::send_stall::SendStall;
use std::cell::Cell;
use std::os::fd::AsFd;
use std::time::Duration;
use thiserror::Error;
use tokio::time::Instant;

/// A peer has stopped reading. Tells what was known of the connection then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error(
    "acknowledged={acknowledged_bytes:?} since_write={since_write:?} since_acknowledged={since_acknowledged:?}"
)]
pub struct StoppedReading {
    /// Number of bytes that the peer had acknowledged on the connection, if the system tells.
    pub acknowledged_bytes: Option<u64>,
    /// Time for which the socket had taken no bytes.
    pub since_write: Duration,
    /// Time since the peer was last seen to have acknowledged bytes, if it was since the socket took none.
    pub since_acknowledged: Option<Duration>,
}

/// The wait for the peer of one connection.
#[derive(Debug)]
pub struct ReadingWatch {
    timeout: Duration,
    /// `None` while the socket takes bytes.
    stall: Cell<Option<SendStall>>,
}

impl ReadingWatch {
    /// Creates the watch of a connection whose socket takes bytes. A peer that reads too little for `timeout` has stopped.
    pub fn new(timeout: Duration) -> ReadingWatch {
        ReadingWatch { timeout, stall: Cell::new(None) }
    }

    /// Notes that the socket takes no more bytes.
    pub fn blocked(&self) {
        if !self.is_blocked() {
            self.stall.set(Some(SendStall::new(self.timeout, Instant::now())));
        }
    }

    /// Notes that the socket takes bytes.
    pub fn unblocked(&self) {
        self.stall.set(None);
    }

    /// Whether the socket takes no more bytes.
    pub fn is_blocked(&self) -> bool {
        self.stall.get().is_some()
    }

    /// When the connection has to be looked at; `None` while its socket takes bytes.
    pub fn next_look(&self) -> Option<Instant> {
        self.stall.get().map(|stall| stall.next_look())
    }

    /// Notes that the socket takes no more bytes, and looks at the connection if that is due, or if it is known since now
    /// only. Returns when the peer will have stopped reading if it reads no more by then.
    pub fn blocked_until(&self, socket: &impl AsFd) -> Instant {
        let was_blocked = self.is_blocked();
        self.blocked();
        if !was_blocked || self.next_look().is_some_and(|at| at <= Instant::now()) {
            // A peer that has stopped is told by the time that is returned.
            let _ = self.look(socket);
        }
        self.stall.get().map_or_else(Instant::now, |stall| stall.stops_at())
    }

    /// Looks at the connection.
    ///
    /// # Errors
    ///
    /// [`StoppedReading`] if the peer has read too little since the socket took no more bytes.
    pub fn look(&self, socket: &impl AsFd) -> Result<(), StoppedReading> {
        let Some(mut stall) = self.stall.get() else { return Ok(()) };
        let now = Instant::now();
        let acknowledged_bytes = tcp_info::acknowledged_bytes(socket);
        let has_stopped = stall.look(now, acknowledged_bytes);
        self.stall.set(Some(stall));
        if !has_stopped {
            return Ok(());
        }
        Err(StoppedReading {
            acknowledged_bytes,
            since_write: now - stall.began_at(),
            since_acknowledged: stall.progress_at().map(|at| now - at),
        })
    }
}
