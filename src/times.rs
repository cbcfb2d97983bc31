//! Whole microseconds: a moment on the caller's clock, and a span between two.

use std::ops::{Add, Sub};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(pub u64);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub u64);

impl Moment {
    /// The span from an earlier moment; nothing if it is not earlier.
    pub fn since(self, earlier: Moment) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    pub const fn millis(n: u64) -> Span {
        Span(n * 1000)
    }

    pub fn micros(self) -> f64 {
        self.0 as f64
    }

    pub fn scaled(self, by: f64) -> Span {
        Span((self.micros() * by) as u64)
    }
}

impl Add<Span> for Moment {
    type Output = Moment;
    fn add(self, span: Span) -> Moment {
        Moment(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Moment {
    type Output = Moment;
    fn sub(self, span: Span) -> Moment {
        Moment(self.0.saturating_sub(span.0))
    }
}
