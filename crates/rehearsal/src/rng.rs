//! Seeded random numbers: ChaCha, one stream for each purpose, so that what one part draws moves no other.

use crate::scenario::WorkDistribution;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, LogNormal, StandardNormal};

/// What a stream is for. The numbers are part of a seed's meaning: they are never used again.
#[derive(Clone, Copy)]
#[repr(u64)]
pub enum RngStream {
    Arrivals = 1,
    Clients = 2,
    Network = 3,
    Troubles = 4,
    Nodes = 5,
    Fleet = 6,
    Search = 7,
    Soak = 8,
    /// What crosses in a soak's worlds, drawn apart so that the rest of a seed's world stays as it is.
    Crossings = 9,
    /// From here on one for each backend.
    Backends = 1 << 32,
}

pub struct SeededRng(ChaCha8Rng);

impl SeededRng {
    pub fn new(seed: u64, stream: RngStream) -> SeededRng {
        SeededRng::with_index(seed, stream, 0)
    }

    pub fn with_index(seed: u64, stream: RngStream, number: u64) -> SeededRng {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(stream as u64 + number);
        SeededRng(rng)
    }

    /// From 0 to under 1.
    pub fn uniform(&mut self) -> f64 {
        self.0.random()
    }

    pub fn next_u64(&mut self) -> u64 {
        self.0.random()
    }

    /// From 0 to under `n`, which must be above 0.
    pub fn below(&mut self, n: usize) -> usize {
        self.0.random_range(0..n)
    }

    pub fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.uniform() < share
    }

    pub fn exponential(&mut self, mean: f64) -> f64 {
        let x: f64 = Exp1.sample(&mut self.0);
        mean * x
    }

    pub fn normal(&mut self) -> f64 {
        StandardNormal.sample(&mut self.0)
    }

    /// Lognormal with this mean and coefficient of variation.
    pub fn lognormal(&mut self, mean: f64, spread: f64) -> f64 {
        match LogNormal::from_mean_cv(mean, spread) {
            Ok(law) if spread > 0.0 => law.sample(&mut self.0),
            _ => mean,
        }
    }

    pub fn work(&mut self, law: WorkDistribution, mean: f64, spread: f64) -> f64 {
        match law {
            WorkDistribution::Fixed => mean,
            WorkDistribution::Exponential => self.exponential(mean),
            WorkDistribution::Lognormal => self.lognormal(mean, spread),
        }
        .max(1.0)
    }

    /// A part of `0..n`, in the order drawn: rounded, at least one where the share is above nothing.
    pub fn some_of(&mut self, n: usize, share: f64) -> Vec<usize> {
        let mut all: Vec<usize> = (0..n).collect();
        let count = if share > 0.0 { ((n as f64 * share).round() as usize).clamp(1.min(n), n) } else { 0 };
        for i in 0..count {
            let j = i + self.below(n - i);
            all.swap(i, j);
        }
        all.truncate(count);
        all
    }
}
