//! A mean rate in which the past loses significance.

/// Shortest time constant, in seconds.
const MIN_TIME_CONSTANT_S: f64 = 0.5;
/// Least fraction of its time constant that a rate's past counts for: a first request is no rate yet.
const MIN_KNOWN_FRACTION: f64 = 0.5;

/// An exponentially decaying mean rate, in units a second. It knows how long its past is, and so is right from the
/// start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingRate {
    time_constant_s: f64,
    started_at: f64,
    sum: f64,
    updated_at: f64,
}

impl DecayingRate {
    /// Nothing counted yet. A time constant that is too short is raised.
    pub(crate) fn new(time_constant_s: f64, now: f64) -> DecayingRate {
        DecayingRate {
            time_constant_s: time_constant_s.max(MIN_TIME_CONSTANT_S),
            started_at: now,
            sum: 0.0,
            updated_at: now,
        }
    }

    /// Counts units.
    pub(crate) fn add(&mut self, now: f64, units: f64) {
        self.sum = self.sum * self.remaining(self.updated_at, now) + units;
        self.updated_at = now;
    }

    /// The rate at `now`.
    pub(crate) fn per_second(&self, now: f64) -> f64 {
        let known_fraction = 1.0 - self.remaining(self.started_at, now);
        self.sum * self.remaining(self.updated_at, now)
            / (self.time_constant_s * known_fraction.max(MIN_KNOWN_FRACTION))
    }

    /// The fraction of what was counted at `from` that is left at `now`.
    fn remaining(&self, from: f64, now: f64) -> f64 {
        ((from - now) / self.time_constant_s).exp()
    }
}
