//! Decides whether a peer has stopped reading what is sent to it. Does no I/O and reads no clock.
//!
//! A socket that takes no more bytes is no sign that its peer has stopped: the system reports it writable only once a good
//! part of its send buffer is free, and that buffer may hold megabytes. The bytes that the peer's system has acknowledged
//! advance with each step of its reading, so the time limit runs on these.

use std::time::Duration;
use tokio::time::Instant;

/// Lowest rate at which a peer has to read, in bytes per second: a quarter of that of the slowest clients, since a peer's
/// system acknowledges in steps and clients pause.
const MIN_READ_RATE: f64 = 16e3;
/// Interval at which a blocked connection is looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);
/// Additional time for a peer of which the system does not tell how much it has acknowledged: that in which the slowest
/// client reads the third of a send buffer of 4 MiB after which a socket is writable again.
const UNKNOWN_PROGRESS_TIME: Duration = Duration::from_secs(22);

/// The wait for a peer that has to read before more can be sent to it, from the moment in which its socket takes no more
/// bytes. The time that is left decreases as it passes, and grows by what the peer reads, at [`MIN_READ_RATE`], up to the
/// time-out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendStall {
    timeout: Duration,
    began_at: Instant,
    remaining: Duration,
    /// Up to when `remaining` takes the peer's progress into account.
    settled_at: Instant,
    /// When the connection was last looked at.
    looked_at: Instant,
    /// Number of bytes that the peer had acknowledged at `settled_at`; `None` before the first look.
    acknowledged_bytes: Option<u64>,
    /// When the peer was last seen to have acknowledged bytes, if it was.
    progress_at: Option<Instant>,
}

impl SendStall {
    /// Begins the wait.
    pub fn new(timeout: Duration, now: Instant) -> SendStall {
        SendStall {
            timeout,
            began_at: now,
            remaining: timeout,
            settled_at: now,
            looked_at: now,
            acknowledged_bytes: None,
            progress_at: None,
        }
    }

    /// When the connection has to be looked at again.
    pub fn next_look(&self) -> Instant {
        self.looked_at + LOOK_INTERVAL.min(self.remaining)
    }

    /// Takes into account how many bytes the peer has acknowledged on the connection; `None` if the system does not tell,
    /// at this moment or at all. Returns whether the peer has stopped reading. The wait begins anew for one that had stopped
    /// and reads again.
    pub fn look(&mut self, now: Instant, acknowledged_bytes: Option<u64>) -> bool {
        self.looked_at = now;
        let unsettled = now.saturating_duration_since(self.settled_at);
        let Some(acknowledged_bytes) = acknowledged_bytes else {
            return unsettled >= self.remaining + UNKNOWN_PROGRESS_TIME;
        };
        let before = self.acknowledged_bytes.replace(acknowledged_bytes);
        let progress = before.map_or(0, |before| acknowledged_bytes.saturating_sub(before));
        // Before the first answer of the system nothing is known of the time in which it did not tell.
        let unsettled = if before.is_some() { unsettled } else { unsettled.min(LOOK_INTERVAL) };
        if progress > 0 {
            self.progress_at = Some(now);
        }
        let has_resumed = progress > 0 && self.remaining.is_zero();
        let earned = Duration::from_secs_f64(progress as f64 / MIN_READ_RATE);
        self.remaining = match has_resumed {
            true => self.timeout,
            false => (self.remaining + earned).saturating_sub(unsettled).min(self.timeout),
        };
        self.settled_at = now;
        self.remaining.is_zero()
    }

    /// When the peer will have stopped reading if it is not seen to acknowledge more by then.
    pub fn stops_at(&self) -> Instant {
        let unknown_progress_time = match self.acknowledged_bytes {
            Some(_) => Duration::ZERO,
            None => UNKNOWN_PROGRESS_TIME,
        };
        self.settled_at + self.remaining + unknown_progress_time
    }

    /// When the wait began. The socket has taken no bytes since then.
    pub fn began_at(&self) -> Instant {
        self.began_at
    }

    /// When the peer was last seen to have acknowledged bytes during the wait, if it was.
    pub fn progress_at(&self) -> Option<Instant> {
        self.progress_at
    }
}

#[cfg(test)]
mod tests;
