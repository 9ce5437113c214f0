//! The mean latency of all nodes together. With many heads, one head gets few answers from each node; until it has
//! answers of a node's own, the fleet's mean stands in for that node's.

/// Weight of a new answer in the running mean.
const NEW_ANSWER_WEIGHT: f64 = 0.1;
/// Time constant, in multiples of the tightest latency objective, with which older answers lose significance.
const FADE_OBJECTIVES: f64 = 4.0;

/// A running mean over the answers of all nodes.
#[derive(Clone, Copy)]
pub(super) struct FleetLatency {
    mean_s: f64,
    last_answer_at: f64,
    fade_s: f64,
}

impl FleetLatency {
    /// No answers yet. The fade follows the tightest latency objective of all classes.
    pub(super) fn new(tightest_objective_s: f64) -> FleetLatency {
        FleetLatency { mean_s: 0.0, last_answer_at: 0.0, fade_s: FADE_OBJECTIVES * tightest_objective_s }
    }

    /// Records an attempt that was answered, or timed out, after `elapsed_s`.
    pub(super) fn record(&mut self, elapsed_s: f64, now: f64) {
        self.mean_s += NEW_ANSWER_WEIGHT * (elapsed_s - self.mean_s);
        self.last_answer_at = now;
    }

    /// The mean at `now`, in seconds: it decays to zero while no answers arrive.
    pub(super) fn mean_at(&self, now: f64) -> f64 {
        self.mean_s * self.remaining(self.last_answer_at, now)
    }

    /// The fraction of its significance that a figure of `measured_at` still has at `now`.
    pub(super) fn remaining(&self, measured_at: f64, now: f64) -> f64 {
        (-(now - measured_at) / self.fade_s).exp()
    }
}
