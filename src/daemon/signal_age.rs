//! How long ago a signal was sent of which the process learns now. Does no I/O and reads no clock.
//!
//! The platform counts from the sending of a signal, and the process notices it later: while it was held up, or while a
//! turn of the event loop lasted. The operating system does not report the time of sending, but a bound follows from the
//! latest turns ([`RecentTurns`]).

use crate::core::MAX_HOLD_UP;
use crate::metrics::event_loop::RecentTurns;
use std::time::Instant;

/// The earliest time at which a signal may have been sent that was noticed at `noticed_at`, in the turn after those in
/// `turns`.
///
/// A signal that was sent while the process waited for I/O woke it, unless the process was held up. The process may have
/// been woken for the previous turn, which then passed before the signal was reported. The time since the earlier turn is
/// a bound as well, but none below [`MAX_HOLD_UP`]: in which wait a pending signal is delivered is up to the system.
pub(super) fn earliest_sending(turns: RecentTurns, noticed_at: Instant) -> Instant {
    let RecentTurns { before_previous_ended, previous_began, previous_ended } = turns;
    let with_turn = previous_ended.saturating_duration_since(previous_began) + MAX_HOLD_UP;
    let since_earlier_turn = noticed_at.saturating_duration_since(before_previous_ended);
    let longest_delay = with_turn.min(since_earlier_turn.max(MAX_HOLD_UP));
    noticed_at.checked_sub(longest_delay).unwrap_or(noticed_at)
}

#[cfg(test)]
mod tests;
