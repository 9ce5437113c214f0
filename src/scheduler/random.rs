//! The scheduler's random numbers: one seeded stream, so that a run can be repeated exactly.

/// A pseudo-random stream (xorshift64). `flaxgap_distribution` has a generator of the same kind of its own.
pub(super) struct RandomNumbers {
    state: u64,
}

impl RandomNumbers {
    /// The stream of a seed. The generator needs a state other than zero, so the lowest bit is set.
    pub(super) fn new(seed: u64) -> RandomNumbers {
        RandomNumbers { state: seed | 1 }
    }

    /// The next number, in [0, 1).
    pub(super) fn sample(&mut self) -> f64 {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        (self.state >> 11) as f64 / (1u64 << 53) as f64
    }
}
