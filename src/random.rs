//! Chance: the standard hasher over a node's seed and a counter. The same calls give the same draws.

use std::collections::hash_map::DefaultHasher;
use std::hash::Hasher;

#[derive(Default)]
pub(crate) struct Chance {
    seed: u64,
    draws: u64,
}

impl Chance {
    pub(crate) fn new(seed: u64) -> Chance {
        Chance { seed, draws: 0 }
    }

    pub(crate) fn draw(&mut self) -> u64 {
        self.draws += 1;
        let mut hasher = DefaultHasher::new();
        hasher.write_u64(self.seed);
        hasher.write_u64(self.draws);
        hasher.finish()
    }

    /// From nothing up to one.
    pub(crate) fn unit(&mut self) -> f64 {
        (self.draw() >> 11) as f64 / (1u64 << 53) as f64
    }
}
