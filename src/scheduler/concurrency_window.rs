//! Concurrency window of a node: the number of requests that this head may have in flight there. The window is
//! controlled by the latency per unit of request size, as a congestion window is controlled by round-trip times.

/// Initial value and bounds of the window, in requests in flight.
const INITIAL_LIMIT: f64 = 4.0;
const MIN_LIMIT: f64 = 2.0;
const MAX_LIMIT: f64 = 32.0;
/// The window grows if the latency per unit is at most this multiple of the recent minimum.
const GROWTH_RATIO: f64 = 1.25;
/// The window is halved if the latency per unit is above this multiple of the recent minimum.
const HALVING_RATIO: f64 = 2.0;
/// Minimum number of answers in a sample. With fewer, a single large request would distort the latency per unit.
const SAMPLE_ANSWERS: u32 = 6;
/// Relative increase of the recent minimum at each sample, so that the window adapts to a node that has become slower
/// permanently.
const MINIMUM_DRIFT: f64 = 0.02;

/// Answers since the last adjustment of the window.
#[derive(Default)]
struct LatencySample {
    elapsed_s: f64,
    units: f64,
    answers: u32,
}

/// The limit on requests in flight at one node.
pub(super) struct ConcurrencyWindow {
    limit: f64,
    /// Whether the window was full at any time since its last adjustment. A window that is not filled does not grow.
    was_full: bool,
    sample: LatencySample,
    /// Recent minimum of the latency per unit, in seconds; 0 before the first sample.
    min_s_per_unit: f64,
}

impl Default for ConcurrencyWindow {
    fn default() -> ConcurrencyWindow {
        ConcurrencyWindow {
            limit: INITIAL_LIMIT,
            was_full: false,
            sample: LatencySample::default(),
            min_s_per_unit: 0.0,
        }
    }
}

impl ConcurrencyWindow {
    /// Returns the maximum number of requests in flight.
    pub(super) fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Returns the limit before rounding down.
    pub(super) fn exact_limit(&self) -> f64 {
        self.limit
    }

    /// Records the number of requests in flight after sending a request.
    pub(super) fn record_sent(&mut self, in_flight: usize) {
        self.was_full |= in_flight >= self.limit();
    }

    /// Records an answer. Once the sample is complete, adjusts the window: it grows by one if the latency per unit is
    /// near the recent minimum, and is halved if the latency is far above it.
    pub(super) fn record_answer(&mut self, elapsed_s: f64, units: f64) {
        self.sample.elapsed_s += elapsed_s;
        self.sample.units += units;
        self.sample.answers += 1;
        if self.sample.answers < SAMPLE_ANSWERS.max(self.limit as u32) || self.sample.units <= 0.0 {
            return;
        }
        let s_per_unit = self.sample.elapsed_s / self.sample.units;
        self.update_minimum(s_per_unit);
        if s_per_unit > HALVING_RATIO * self.min_s_per_unit {
            self.halve();
        } else if s_per_unit <= GROWTH_RATIO * self.min_s_per_unit && self.was_full {
            self.limit = (self.limit + 1.0).min(MAX_LIMIT);
        }
        self.sample = LatencySample::default();
        self.was_full = false;
    }

    /// Halves the window after an overload or a failure.
    pub(super) fn halve(&mut self) {
        self.limit = (self.limit / 2.0).max(MIN_LIMIT);
    }

    fn update_minimum(&mut self, s_per_unit: f64) {
        let minimum =
            if self.min_s_per_unit > 0.0 { self.min_s_per_unit * (1.0 + MINIMUM_DRIFT) } else { s_per_unit };
        self.min_s_per_unit = minimum.min(s_per_unit);
    }
}
