//! Times in whole microseconds.

use std::ops::{Add, Sub};

/// Microseconds on the caller's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(pub u64);

/// A duration in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Micros(pub u64);

impl Timestamp {
    /// The time since an earlier timestamp; zero if that one is not earlier.
    pub fn since(self, earlier: Timestamp) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
}

impl Micros {
    pub const fn from_millis(n: u64) -> Micros {
        Micros(n * 1000)
    }

    pub fn as_f64(self) -> f64 {
        self.0 as f64
    }

    pub fn scaled(self, by: f64) -> Micros {
        Micros((self.as_f64() * by) as u64)
    }
}

impl Add<Micros> for Timestamp {
    type Output = Timestamp;
    fn add(self, duration: Micros) -> Timestamp {
        Timestamp(self.0.saturating_add(duration.0))
    }
}

impl Sub<Micros> for Timestamp {
    type Output = Timestamp;
    fn sub(self, duration: Micros) -> Timestamp {
        Timestamp(self.0.saturating_sub(duration.0))
    }
}
