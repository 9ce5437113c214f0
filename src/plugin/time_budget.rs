//! The time that a plug-in may take from the head's only thread.

use std::time::Duration;

/// Part of the time that calls may take in the long run.
const SHARE: f64 = 0.2;
/// Time that calls may take at once, beyond their share.
const BURST: Duration = Duration::from_millis(200);

/// A token bucket of time, refilled at [`SHARE`] up to [`BURST`]. Times are counted from any fixed moment.
pub(super) struct TimeBudget {
    left_s: f64,
    refilled_at: Duration,
}

impl TimeBudget {
    /// Creates a full budget.
    pub(super) fn new(now: Duration) -> TimeBudget {
        TimeBudget { left_s: BURST.as_secs_f64(), refilled_at: now }
    }

    /// Takes the time of a call that has ended at `now`. Returns whether the budget covers it.
    pub(super) fn take(&mut self, call: Duration, now: Duration) -> bool {
        let refill_s = now.saturating_sub(self.refilled_at).as_secs_f64() * SHARE;
        self.refilled_at = now;
        self.left_s = (self.left_s + refill_s).min(BURST.as_secs_f64()) - call.as_secs_f64();
        self.left_s >= 0.0
    }
}
