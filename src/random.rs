//! Deterministic random numbers: the standard hasher over a node's seed and a counter.

use std::collections::hash_map::DefaultHasher;
use std::hash::Hasher;

#[derive(Default)]
pub(crate) struct Rng {
    seed: u64,
    counter: u64,
}

impl Rng {
    pub(crate) fn new(seed: u64) -> Rng {
        Rng { seed, counter: 0 }
    }

    /// A uniform random integer.
    pub(crate) fn next_u64(&mut self) -> u64 {
        self.counter += 1;
        let mut hasher = DefaultHasher::new();
        hasher.write_u64(self.seed);
        hasher.write_u64(self.counter);
        hasher.finish()
    }

    /// A uniform random number from 0 up to, but not including, 1.
    pub(crate) fn next_unit(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}
