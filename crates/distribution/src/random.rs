//! A deterministic random number generator: XXH3-64 of a counter, keyed by a seed. Its numbers spread the delays of
//! different heads and relays; a fixed seed makes simulations reproducible.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of bits in the mantissa of an `f64`.
const MANTISSA_BITS: u32 = 53;

/// A sequence of pseudo-random numbers in counter mode.
#[derive(Clone, Debug)]
pub(crate) struct CounterRandom {
    seed: u64,
    counter: u64,
}

impl CounterRandom {
    /// Creates the sequence of a seed.
    pub(crate) fn new(seed: u64) -> CounterRandom {
        CounterRandom { seed, counter: 0 }
    }

    /// The next 64 random bits, also used to seed another sequence.
    pub(crate) fn next_u64(&mut self) -> u64 {
        self.counter += 1;
        xxh3_64_with_seed(&self.counter.to_le_bytes(), self.seed)
    }

    /// The next number, uniformly distributed from `low` (inclusive) to `high` (exclusive).
    pub(crate) fn uniform(&mut self, low: f64, high: f64) -> f64 {
        let mantissa = self.next_u64() >> (u64::BITS - MANTISSA_BITS);
        let fraction = mantissa as f64 / (1u64 << MANTISSA_BITS) as f64;
        low + (high - low) * fraction
    }
}
