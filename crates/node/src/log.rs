//! Notes for whoever is on call: `eprintln!` behind one macro, so many lines a second from each place.

use std::cell::Cell;
use std::time::{Duration, Instant};

thread_local! {
    /// As many as there are, until the start has said how many.
    static LINES: Cell<u32> = const { Cell::new(u32::MAX) };
}

/// How many lines each place in the code may write a second.
pub fn allow(lines: u32) {
    LINES.set(lines);
}

/// One for each place that writes: a noisy one must not hide the others.
pub struct Gate {
    since: Cell<Option<Instant>>,
    written: Cell<u32>,
    left_out: Cell<u32>,
}

impl Gate {
    pub const fn new() -> Gate {
        Gate { since: Cell::new(None), written: Cell::new(0), left_out: Cell::new(0) }
    }

    /// Whether a line may be written now, and how many were left out before it.
    pub fn pass(&self) -> Option<u32> {
        let now = Instant::now();
        if self.since.get().is_none_or(|at| now - at >= Duration::from_secs(1)) {
            self.since.set(Some(now));
            self.written.set(0);
        }
        if self.written.get() >= LINES.get() {
            self.left_out.set(self.left_out.get() + 1);
            return None;
        }
        self.written.set(self.written.get() + 1);
        Some(self.left_out.replace(0))
    }
}

macro_rules! note {
    ($($part:tt)*) => {{
        thread_local! {
            static GATE: $crate::log::Gate = const { $crate::log::Gate::new() };
        }
        match GATE.with($crate::log::Gate::pass) {
            None => {}
            Some(0) => eprintln!($($part)*),
            Some(more) => eprintln!("{} ({more} like it left out)", format_args!($($part)*)),
        }
    }};
}
pub(crate) use note;
