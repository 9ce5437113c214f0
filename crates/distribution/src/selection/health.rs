//! The health of one relay as seen by one head: consecutive failures with exponential backoff, and overload.

use super::timing::SelectionTiming;
use crate::random::CounterRandom;

/// The health of one relay. Times are in seconds of Unix time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RelayHealth {
    consecutive_failures: u32,
    backoff_until: f64,
    overloaded_until: f64,
}

impl RelayHealth {
    /// Resets the number of consecutive failures. To be called before the first failure after a stable watch is
    /// recorded.
    pub(super) fn clear_failures(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records a failed watch on the relay. The backoff is drawn from the upper half of a time that doubles with each
    /// consecutive failure, up to [`SelectionTiming::backoff_max_s`].
    pub(super) fn record_failure(&mut self, now: f64, timing: &SelectionTiming, random: &mut CounterRandom) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let doublings = f64::from(self.consecutive_failures - 1);
        let longest = (timing.backoff_base_s * doublings.exp2()).min(timing.backoff_max_s);
        self.backoff_until = now + random.uniform(longest / 2.0, longest);
    }

    /// Records that the relay has asked not to be called before `until`.
    pub(super) fn record_overload(&mut self, until: f64) {
        self.overloaded_until = until;
    }

    /// Whether the retry delay that the relay has asked for is still running.
    pub(super) fn is_overloaded(&self, now: f64) -> bool {
        now < self.overloaded_until
    }

    /// Whether the relay may be called: it is neither in backoff nor overloaded.
    pub(super) fn can_call(&self, now: f64) -> bool {
        now >= self.backoff_until && !self.is_overloaded(now)
    }

    /// Whether the relay has failed recently, so that others are preferred.
    pub(super) fn has_failed_recently(&self, now: f64, timing: &SelectionTiming) -> bool {
        self.consecutive_failures > 0 && now < self.backoff_until + timing.failure_memory_s
    }
}
