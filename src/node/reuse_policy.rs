//! Decides when an idle connection to a node may carry another request. Does no I/O and reads no clock.
//!
//! A node may send bytes that belong to no request, such as a response twice, some time after a response. They end the
//! connection if they are there before its next request is written; later, they would be taken for the response to that
//! request. So connections rest for as long as a node may be held up before it writes. Where so many of a node's connections
//! rest that its requests are very frequent, the one that has rested longest is used earlier, unless nodes are known to
//! send such bytes.
//!
//! A connection that has been shifted once stays so: the response to each request is there as soon as the next one is
//! written. It shows by responses that come faster than those before them, and by the surplus response that follows after
//! the usual time. Such a connection rests until the response that was to be expected would have come.

use super::limits::REUSE_DELAY;
use crate::core::MAX_HOLD_UP;
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// How long connections rest for longer after surplus bytes were found on one of them.
const SURPLUS_MEMORY: Duration = Duration::from_secs(60);
/// Rest of a connection while nodes send surplus bytes: a node may be held up before it writes them.
pub(super) const LONG_REUSE_DELAY: Duration = REUSE_DELAY.saturating_add(MAX_HOLD_UP);

/// Number of a node's idle connections from which on one may be used that has rested for less than [`LONG_REUSE_DELAY`]: as
/// many as rest where a head sends the node some 370 requests per second.
pub(super) const MAX_RESTING_CONNECTIONS: usize = 64;

/// The exchanges of a connection, as far as its reuse depends on them.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExchangeTimes {
    /// When the last request was begun, or else when the connection was opened.
    pub(super) began_at: Instant,
    /// When the last response was complete, or else when the connection was opened.
    pub(super) ended_at: Instant,
    /// The longest time from a request to its complete response.
    pub(super) longest: Duration,
}

impl ExchangeTimes {
    /// The times of a connection that was opened at `now` and has carried no request.
    pub(super) fn unused(now: Instant) -> ExchangeTimes {
        ExchangeTimes { began_at: now, ended_at: now, longest: Duration::ZERO }
    }

    /// Records that the response to the last request is complete.
    pub(super) fn end(&mut self, now: Instant) {
        self.ended_at = now;
        self.longest = self.longest.max(now.saturating_duration_since(self.began_at));
    }

    /// When a response to the last request has been complete, also one that took as long as the longest.
    fn expected_end(&self) -> Instant {
        self.ended_at.max(self.began_at + self.longest)
    }
}

/// How suitable an idle connection is for another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Suitability {
    /// Surplus bytes may still come.
    TooSoon,
    /// Usable only if very many connections rest.
    Usable,
    /// Rested for as long as a node may be held up.
    Rested,
}

/// Decides when connections may be used again.
#[derive(Debug, Default)]
pub(super) struct ReusePolicy {
    surplus_found_at: Cell<Option<Instant>>,
}

impl ReusePolicy {
    /// Records that surplus bytes were found on a connection.
    pub(super) fn surplus_found(&self, now: Instant) {
        self.surplus_found_at.set(Some(now));
    }

    /// How suitable a connection with these exchanges is.
    pub(super) fn suitability(&self, times: &ExchangeTimes, now: Instant) -> Suitability {
        let is_rested = now >= times.expected_end() + LONG_REUSE_DELAY;
        match self.nodes_send_surplus(now) {
            _ if is_rested => Suitability::Rested,
            false if now >= times.ended_at + REUSE_DELAY => Suitability::Usable,
            _ => Suitability::TooSoon,
        }
    }

    /// Whether a connection that is [`Suitability::Usable`] may be used while so many connections of the node are idle.
    pub(super) fn may_use_early(idle_connections: usize) -> bool {
        idle_connections >= MAX_RESTING_CONNECTIONS
    }

    fn nodes_send_surplus(&self, now: Instant) -> bool {
        let found_at = self.surplus_found_at.get();
        found_at.is_some_and(|found_at| now.saturating_duration_since(found_at) < SURPLUS_MEMORY)
    }
}
