//! Backoff of a node that rejected a request, could not be reached or broke a connection.

/// Length of the first pause, in seconds; each further failure doubles it.
const FIRST_PAUSE_S: f64 = 0.05;
/// Length of the longest pause, in seconds.
pub(super) const LONGEST_PAUSE_S: f64 = 1.0;
/// Failures after which the pause is not doubled any more; it is past the longest by then.
const MAX_DOUBLINGS: u32 = 6;

/// The failures of one node since its last answer.
#[derive(Default)]
pub(super) struct NodeBackoff {
    failures: u32,
    ends_at: f64,
}

impl NodeBackoff {
    /// Starts a pause, twice as long as the one before.
    pub(super) fn record_failure(&mut self, now: f64) {
        let doubled = FIRST_PAUSE_S * f64::from(1 << self.failures.min(MAX_DOUBLINGS));
        self.ends_at = now + doubled.min(LONGEST_PAUSE_S);
        self.failures += 1;
    }

    /// Forgets the failures. A pause that runs still ends at its time.
    pub(super) fn record_answer(&mut self) {
        self.failures = 0;
    }

    /// Whether the node failed and has not answered since.
    pub(super) fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// When the pause ends.
    pub(super) fn ends_at(&self) -> f64 {
        self.ends_at
    }

    /// Whether no pause runs.
    pub(super) fn is_over(&self, now: f64) -> bool {
        now >= self.ends_at
    }
}
