//! Numbers drawn from a seed, for delays that have to differ from head to head.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A sequence of drawn numbers.
#[derive(Clone, Debug)]
pub(crate) struct Draw {
    seed: u64,
    drawn: u64,
}

impl Draw {
    /// The sequence of a seed.
    pub(crate) fn new(seed: u64) -> Draw {
        Draw { seed, drawn: 0 }
    }

    /// A seed for another sequence.
    pub(crate) fn next_seed(&mut self) -> u64 {
        self.drawn += 1;
        xxh3_64_with_seed(&self.drawn.to_le_bytes(), self.seed)
    }

    /// The next number, from `low` to `high`.
    pub(crate) fn between(&mut self, low: f64, high: f64) -> f64 {
        let bits = self.next_seed() >> 11;
        let fraction = bits as f64 / (1u64 << 53) as f64;
        low + (high - low) * fraction
    }
}
