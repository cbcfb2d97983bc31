//! Log lines for operators on standard error, rate-limited for each place in the code. A reader that stops
//! reading or closes the pipe does not block the node.

use hyper::header::HeaderValue;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::cell::Cell;
use std::fmt::{self, Arguments, Display, Formatter};
use std::io::{stderr, Write};
use std::time::{Duration, Instant};

/// The maximum length of a line in bytes: no more than the amount that a writable pipe accepts at once.
const MAX_LINE_BYTES: usize = 4000;

thread_local! {
    /// Unlimited until the configuration is read.
    static LINES_PER_S: Cell<u32> = const { Cell::new(u32::MAX) };
}

/// Sets how many lines per second each place in the code may write.
pub fn set_lines_per_second(lines_per_second: u32) {
    LINES_PER_S.set(lines_per_second);
}

/// The rate limiter of one place in the code, so that frequent lines do not suppress others.
pub struct RateLimiter {
    second_started_at: Cell<Option<Instant>>,
    written: Cell<u32>,
    suppressed: Cell<u32>,
}

impl RateLimiter {
    /// A limiter that has suppressed nothing yet.
    pub const fn new() -> RateLimiter {
        RateLimiter { second_started_at: Cell::new(None), written: Cell::new(0), suppressed: Cell::new(0) }
    }

    /// Returns whether a line may be written now, and how many were suppressed before it.
    pub fn try_acquire(&self) -> Option<u32> {
        let now = Instant::now();
        if self.second_started_at.get().is_none_or(|at| now - at >= Duration::from_secs(1)) {
            self.second_started_at.set(Some(now));
            self.written.set(0);
        }
        if self.written.get() >= LINES_PER_S.get() || !can_write() {
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.written.set(self.written.get() + 1);
        Some(self.suppressed.replace(0))
    }
}

/// Whether a line can be written without blocking. Writing to a full pipe would stop the only thread until
/// the reader continues, and writing to a pipe without a reader would fail. If `poll` fails, the write is
/// attempted.
fn can_write() -> bool {
    let stderr = stderr();
    let mut poll_fds = [PollFd::new(&stderr, PollFlags::OUT)];
    match poll(&mut poll_fds, Some(&Timespec::default())) {
        Ok(_) => {
            poll_fds[0].revents().contains(PollFlags::OUT) && !poll_fds[0].revents().contains(PollFlags::ERR)
        }
        Err(_) => true,
    }
}

/// The maximum length of a client's id in a line, in bytes.
const MAX_ID_BYTES: usize = 64;

/// Shows a client's id, which may contain any bytes and be as long as a head.
pub struct ShownId<'a>(pub &'a HeaderValue);

impl Display for ShownId<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let bytes = self.0.as_bytes();
        let shown = &bytes[..bytes.len().min(MAX_ID_BYTES)];
        write!(f, "{}{}", shown.escape_ascii(), if shown.len() < bytes.len() { "..." } else { "" })
    }
}

/// Writes a line without a rate limit, if it can be written without blocking.
pub fn write_unlimited(text: Arguments<'_>) {
    if can_write() {
        write(text);
    }
}

/// Writes a line without any check, truncated to the maximum length.
pub fn write(text: Arguments<'_>) {
    let mut line = text.to_string().into_bytes();
    line.truncate(MAX_LINE_BYTES);
    line.push(b'\n');
    let _ = stderr().write_all(&line);
}

macro_rules! log {
    ($($part:tt)*) => {{
        thread_local! {
            static RATE_LIMITER: $crate::log::RateLimiter = const { $crate::log::RateLimiter::new() };
        }
        match RATE_LIMITER.with($crate::log::RateLimiter::try_acquire) {
            None => {}
            Some(0) => $crate::log::write(format_args!($($part)*)),
            Some(suppressed) => {
                $crate::log::write(format_args!("{} ({suppressed} more suppressed)", format_args!($($part)*)));
            }
        }
    }};
}
pub(crate) use log;
