//! Mean latency over all nodes. In a large fleet a head receives few answers from each node. The fleet's mean serves
//! as the estimate for a node without recent answers.

/// Weight of a new answer in the running mean.
const NEW_ANSWER_WEIGHT: f64 = 0.1;
/// Time constant of the decay of older answers, in multiples of the tightest latency objective.
const TIME_CONSTANT_OBJECTIVES: f64 = 4.0;

/// A running mean over the answers of all nodes.
#[derive(Clone, Copy)]
pub(super) struct FleetLatency {
    mean_s: f64,
    last_answer_at: f64,
    time_constant_s: f64,
}

impl FleetLatency {
    /// Creates a mean of 0, before any answer. Its time constant is a multiple of the tightest latency objective of all
    /// classes.
    pub(super) fn new(tightest_objective_s: f64) -> FleetLatency {
        FleetLatency {
            mean_s: 0.0,
            last_answer_at: 0.0,
            time_constant_s: TIME_CONSTANT_OBJECTIVES * tightest_objective_s,
        }
    }

    /// Records an attempt that was answered or timed out after `elapsed_s`.
    pub(super) fn record(&mut self, elapsed_s: f64, now: f64) {
        self.mean_s += NEW_ANSWER_WEIGHT * (elapsed_s - self.mean_s);
        self.last_answer_at = now;
    }

    /// Returns the mean at `now`, in seconds. It decays to zero while no answers arrive.
    pub(super) fn mean_at(&self, now: f64) -> f64 {
        self.mean_s * self.decay(self.last_answer_at, now)
    }

    /// Returns the factor by which the significance of a value measured at `measured_at` has decayed at `now`.
    pub(super) fn decay(&self, measured_at: f64, now: f64) -> f64 {
        (-(now - measured_at) / self.time_constant_s).exp()
    }
}
