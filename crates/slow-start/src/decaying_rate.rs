//! Exponentially decaying mean rate.

/// Shortest time constant, in seconds. A shorter one passed to [`DecayingRate::new`] is raised to this.
const MIN_TIME_CONSTANT_S: f64 = 0.5;
/// Lower bound of the elapsed share of the time constant by which the sum is divided. Without the bound, the first
/// request after the start would give a very high rate.
const MIN_KNOWN_FRACTION: f64 = 0.5;

/// An exponentially decaying mean rate, in units per second. The estimate is corrected for the time elapsed since the
/// start, so the rate is not underestimated while less than a time constant has passed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingRate {
    time_constant_s: f64,
    started_at: f64,
    sum: f64,
    updated_at: f64,
}

impl DecayingRate {
    /// Creates a rate of zero that starts at `now`. The time constant is raised to `MIN_TIME_CONSTANT_S` if it is
    /// shorter.
    pub(crate) fn new(time_constant_s: f64, now: f64) -> DecayingRate {
        DecayingRate {
            time_constant_s: time_constant_s.max(MIN_TIME_CONSTANT_S),
            started_at: now,
            sum: 0.0,
            updated_at: now,
        }
    }

    /// Adds `units` at the time `now`.
    pub(crate) fn add(&mut self, now: f64, units: f64) {
        self.sum = self.sum * self.decay(self.updated_at, now) + units;
        self.updated_at = now;
    }

    /// Returns the rate at `now`, in units per second.
    pub(crate) fn per_second(&self, now: f64) -> f64 {
        let known_fraction = 1.0 - self.decay(self.started_at, now);
        self.sum * self.decay(self.updated_at, now)
            / (self.time_constant_s * known_fraction.max(MIN_KNOWN_FRACTION))
    }

    /// Returns the factor by which units counted at `from` have decayed at `now`.
    fn decay(&self, from: f64, now: f64) -> f64 {
        ((from - now) / self.time_constant_s).exp()
    }
}
