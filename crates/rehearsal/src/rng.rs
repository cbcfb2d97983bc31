//! Seeded random numbers from ChaCha. Each purpose has a stream of its own, so that the numbers drawn for one purpose do
//! not change those of another.

use crate::scenario::WorkDistribution;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, LogNormal, StandardNormal};

/// What a stream is for. The numbers determine what a seed generates, so that they are never reused for another purpose.
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
    /// Troubles that cross in a soak's worlds. They have a stream of their own so that the rest of a seed's world stays the
    /// same.
    Crossings = 9,
    /// What a soak with large fleets adds to its worlds.
    LargeFleets = 10,
    /// The share of answers in drawn forms in a soak's worlds.
    AnswerForms = 11,
    /// The first of the streams of the backends, one for each.
    Backends = 1 << 32,
    /// The first of the streams of answers in drawn forms, one for each attempt.
    Answers = 1 << 33,
}

/// A random number generator for one stream of a seed.
pub struct SeededRng(ChaCha8Rng);

impl SeededRng {
    /// The first generator of a stream.
    pub fn new(seed: u64, stream: RngStream) -> SeededRng {
        SeededRng::with_index(seed, stream, 0)
    }

    /// The generator of the stream whose number is that of `stream` plus `index`.
    pub fn with_index(seed: u64, stream: RngStream, index: u64) -> SeededRng {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(stream as u64 + index);
        SeededRng(rng)
    }

    /// A uniform number from 0 up to but excluding 1.
    pub fn uniform(&mut self) -> f64 {
        self.0.random()
    }

    pub fn next_u64(&mut self) -> u64 {
        self.0.random()
    }

    /// A uniform number from 0 up to but excluding `n`, which must be above 0.
    pub fn below(&mut self, n: usize) -> usize {
        self.0.random_range(0..n)
    }

    /// True with the probability `share`.
    pub fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.uniform() < share
    }

    /// An exponential number with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        let x: f64 = Exp1.sample(&mut self.0);
        mean * x
    }

    /// A standard normal number.
    pub fn normal(&mut self) -> f64 {
        StandardNormal.sample(&mut self.0)
    }

    /// A lognormal number with this mean and coefficient of variation.
    pub fn lognormal(&mut self, mean: f64, spread: f64) -> f64 {
        match LogNormal::from_mean_cv(mean, spread) {
            Ok(distribution) if spread > 0.0 => distribution.sample(&mut self.0),
            _ => mean,
        }
    }

    /// The work of a command, at least 1.
    pub fn work(&mut self, distribution: WorkDistribution, mean: f64, spread: f64) -> f64 {
        match distribution {
            WorkDistribution::Fixed => mean,
            WorkDistribution::Exponential => self.exponential(mean),
            WorkDistribution::Lognormal => self.lognormal(mean, spread),
        }
        .max(1.0)
    }

    /// A random sample of the share `share` of `0..n`, in the order drawn. Its size is rounded, and at least one if the share
    /// is above 0.
    pub fn sample_indices(&mut self, n: usize, share: f64) -> Vec<usize> {
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
