//! Log lines for operators on standard error, rate-limited for each place in the code. A reader that stops
//! reading or closes the pipe does not block the node.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::cell::Cell;
use std::fmt::Arguments;
use std::io::{stderr, Write};
use std::time::{Duration, Instant};

/// The maximum length of a line in bytes: no more than the amount that a writable pipe accepts at once.
const MOST: usize = 4000;

thread_local! {
    /// Unlimited until the configuration is read.
    static LINES: Cell<u32> = const { Cell::new(u32::MAX) };
}

/// Sets how many lines per second each place in the code may write.
pub fn allow(lines: u32) {
    LINES.set(lines);
}

/// The rate limiter of one place in the code, so that frequent lines do not suppress others.
pub struct Gate {
    since: Cell<Option<Instant>>,
    written: Cell<u32>,
    left_out: Cell<u32>,
}

impl Gate {
    pub const fn new() -> Gate {
        Gate { since: Cell::new(None), written: Cell::new(0), left_out: Cell::new(0) }
    }

    /// Returns whether a line may be written now, and how many were suppressed before it.
    pub fn pass(&self) -> Option<u32> {
        let now = Instant::now();
        if self.since.get().is_none_or(|at| now - at >= Duration::from_secs(1)) {
            self.since.set(Some(now));
            self.written.set(0);
        }
        if self.written.get() >= LINES.get() || !taken() {
            self.left_out.set(self.left_out.get() + 1);
            return None;
        }
        self.written.set(self.written.get() + 1);
        Some(self.left_out.replace(0))
    }
}

/// Whether a line can be written without blocking. Writing to a full pipe would stop the only thread until
/// the reader continues, and writing to a pipe without a reader would fail. If `poll` fails, the write is
/// attempted.
fn taken() -> bool {
    let stderr = stderr();
    let mut asked = [PollFd::new(&stderr, PollFlags::OUT)];
    match poll(&mut asked, Some(&Timespec::default())) {
        Ok(_) => asked[0].revents().contains(PollFlags::OUT) && !asked[0].revents().contains(PollFlags::ERR),
        Err(_) => true,
    }
}

/// Writes a line without a rate limit, if it can be written without blocking.
pub fn line(text: Arguments<'_>) {
    if taken() {
        write(text);
    }
}

pub fn write(text: Arguments<'_>) {
    let mut line = text.to_string().into_bytes();
    line.truncate(MOST);
    line.push(b'\n');
    let _ = stderr().write_all(&line);
}

macro_rules! note {
    ($($part:tt)*) => {{
        thread_local! {
            static GATE: $crate::log::Gate = const { $crate::log::Gate::new() };
        }
        match GATE.with($crate::log::Gate::pass) {
            None => {}
            Some(0) => $crate::log::write(format_args!($($part)*)),
            Some(more) => {
                $crate::log::write(format_args!("{} ({more} more suppressed)", format_args!($($part)*)));
            }
        }
    }};
}
pub(crate) use note;
