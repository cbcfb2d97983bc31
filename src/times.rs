//! Whole microseconds: a moment on the caller's clock, and a span between two.

use std::ops::{Add, Sub};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(pub u64);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Micros(pub u64);

impl Timestamp {
    /// The span from an earlier moment; nothing if it is not earlier.
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
    fn add(self, span: Micros) -> Timestamp {
        Timestamp(self.0.saturating_add(span.0))
    }
}

impl Sub<Micros> for Timestamp {
    type Output = Timestamp;
    fn sub(self, span: Micros) -> Timestamp {
        Timestamp(self.0.saturating_sub(span.0))
    }
}
