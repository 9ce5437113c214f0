//! The scheduler's random numbers: a single seeded stream, so that a run can be reproduced exactly.

/// A pseudo-random number generator (xorshift64). `flaxgap_distribution` has its own generator of the same kind.
pub(super) struct RandomNumbers {
    state: u64,
}

impl RandomNumbers {
    /// Creates a generator from a seed. The state must not be zero, so the lowest bit of the seed is set.
    pub(super) fn new(seed: u64) -> RandomNumbers {
        RandomNumbers { state: seed | 1 }
    }

    /// Returns the next number, in [0, 1).
    pub(super) fn sample(&mut self) -> f64 {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        (self.state >> 11) as f64 / (1u64 << 53) as f64
    }
}
