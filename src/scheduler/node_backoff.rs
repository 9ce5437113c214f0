//! Backoff for a node that rejected a request, was unreachable or broke a connection.

/// Length of the first pause, in seconds. Each further failure doubles the pause.
const FIRST_PAUSE_S: f64 = 0.05;
/// Maximum length of a pause, in seconds.
pub(super) const LONGEST_PAUSE_S: f64 = 1.0;
/// Maximum number of doublings. The pause exceeds `LONGEST_PAUSE_S` by then.
const MAX_DOUBLINGS: u32 = 6;

/// Failures of one node since its last answer.
#[derive(Default)]
pub(super) struct NodeBackoff {
    failures: u32,
    ends_at: f64,
}

impl NodeBackoff {
    /// Starts a pause, twice as long as the previous one.
    pub(super) fn record_failure(&mut self, now: f64) {
        let doubled = FIRST_PAUSE_S * f64::from(1 << self.failures.min(MAX_DOUBLINGS));
        self.ends_at = now + doubled.min(LONGEST_PAUSE_S);
        self.failures += 1;
    }

    /// Resets the failure count. A pause that has begun still runs to its end.
    pub(super) fn record_answer(&mut self) {
        self.failures = 0;
    }

    /// Returns whether the node failed and has not answered since.
    pub(super) fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Returns the end of the pause.
    pub(super) fn ends_at(&self) -> f64 {
        self.ends_at
    }

    /// Returns whether no pause is running.
    pub(super) fn is_over(&self, now: f64) -> bool {
        now >= self.ends_at
    }
}
