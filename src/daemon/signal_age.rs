//! How long ago a signal was sent of which the process learns now. Does no I/O and reads no clock.
//!
//! The platform counts from the sending of a signal, and the process notices it later: while it was held up, or while a
//! turn of the event loop lasted. The operating system does not report the time of sending, but the poll for I/O before
//! the previous turn has not reported the signal, so that it was sent after that turn began.

use crate::core::MAX_HOLD_UP;
use crate::metrics::event_loop::RecentTurns;
use std::time::Instant;

/// The earliest time at which a signal may have been sent that was noticed at `noticed_at`, in the turn after those in
/// `turns`.
///
/// A signal that was sent while the process waited for I/O woke it, unless the process was held up; one that was sent in
/// the previous turn waited for the end of that turn as well.
pub(super) fn earliest_sending(turns: RecentTurns, noticed_at: Instant) -> Instant {
    let RecentTurns { previous_began, previous_ended } = turns;
    let longest_delay = previous_ended.saturating_duration_since(previous_began) + MAX_HOLD_UP;
    let earliest = noticed_at.checked_sub(longest_delay).unwrap_or(previous_began);
    earliest.max(previous_began).min(noticed_at)
}

#[cfg(test)]
mod tests;
