//! The concurrency window of a node: how many requests this head may have in flight there. It is led by latency per
//! unit of request size, as congestion windows are led by round-trip times.

/// Requests in flight: where the window starts, and its bounds.
const INITIAL_LIMIT: f64 = 4.0;
const MIN_LIMIT: f64 = 2.0;
const MAX_LIMIT: f64 = 32.0;
/// Up to this multiple of the recent best latency per unit the window widens.
const NEAR_BEST: f64 = 1.25;
/// Past this multiple of the recent best latency per unit it is halved.
const FAR_FROM_BEST: f64 = 2.0;
/// Least number of answers in a sample: over fewer, a single large request moves the figure too far.
const SAMPLE_ANSWERS: u32 = 6;
/// Fraction by which the best latency is raised at each sample, so that a node that got slower for good is learnt.
const BEST_DRIFT: f64 = 0.02;

/// Answers since the window's last step.
#[derive(Default)]
struct LatencySample {
    elapsed_s: f64,
    units: f64,
    answers: u32,
}

/// The limit on requests in flight at one node.
pub(super) struct ConcurrencyWindow {
    limit: f64,
    /// Whether the window was used up since its last step; one that is not needed does not widen.
    was_full: bool,
    sample: LatencySample,
    /// Recent lowest latency per unit, in seconds; 0 before the first sample.
    best_s_per_unit: f64,
}

impl Default for ConcurrencyWindow {
    fn default() -> ConcurrencyWindow {
        ConcurrencyWindow {
            limit: INITIAL_LIMIT,
            was_full: false,
            sample: LatencySample::default(),
            best_s_per_unit: 0.0,
        }
    }
}

impl ConcurrencyWindow {
    /// How many requests may be in flight.
    pub(super) fn limit(&self) -> usize {
        self.limit as usize
    }

    /// The limit before it is rounded down.
    pub(super) fn exact_limit(&self) -> f64 {
        self.limit
    }

    /// Records how many requests are in flight after one was sent.
    pub(super) fn record_sent(&mut self, in_flight: usize) {
        self.was_full |= in_flight >= self.limit();
    }

    /// Records an answer. Once a sample is complete, the window takes a step: one wider near the recent best
    /// latency per unit, halved far from it.
    pub(super) fn record_answer(&mut self, elapsed_s: f64, units: f64) {
        self.sample.elapsed_s += elapsed_s;
        self.sample.units += units;
        self.sample.answers += 1;
        if self.sample.answers < SAMPLE_ANSWERS.max(self.limit as u32) || self.sample.units <= 0.0 {
            return;
        }
        let s_per_unit = self.sample.elapsed_s / self.sample.units;
        self.update_best(s_per_unit);
        if s_per_unit > FAR_FROM_BEST * self.best_s_per_unit {
            self.halve();
        } else if s_per_unit <= NEAR_BEST * self.best_s_per_unit && self.was_full {
            self.limit = (self.limit + 1.0).min(MAX_LIMIT);
        }
        self.sample = LatencySample::default();
        self.was_full = false;
    }

    /// Halves the window, after an overload or a failure.
    pub(super) fn halve(&mut self) {
        self.limit = (self.limit / 2.0).max(MIN_LIMIT);
    }

    fn update_best(&mut self, s_per_unit: f64) {
        let best =
            if self.best_s_per_unit > 0.0 { self.best_s_per_unit * (1.0 + BEST_DRIFT) } else { s_per_unit };
        self.best_s_per_unit = best.min(s_per_unit);
    }
}
