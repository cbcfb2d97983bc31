//! When a client wrote the last byte of its request, from which its time counts. Bytes may wait in the kernel
//! for long before the node reads them, and on the client's side for as long as the node does not read, so this
//! is a lower bound: no request is taken to be younger than it is.

use crate::receive_time::last_data_at;
use rustix::io::ioctl_fionread;
use std::cell::Cell;
use std::rc::Weak;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep_until, Instant};

/// What the client's kernel holds at most of a request that the node does not read: Linux's default limit of a
/// send buffer, in bytes.
const MAX_PEER_SEND_BUFFER: u64 = 4 << 20;

/// The shortest pause between two looks at a request that is still arriving.
const MIN_RECHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Why a request that was not read to its end is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overdue {
    /// What the client has sent was not read on: whoever it is passed on to does not take it.
    NotTaken,
    /// The client has sent nothing for longer than it may.
    ClientSilent,
}

/// Tracks the arrival of the request that a connection is receiving.
pub struct RequestArrival {
    /// The connection; it is not kept open by this.
    socket: Weak<TcpStream>,
    /// Before this time the last byte of the request was not written.
    earliest_end: Cell<Instant>,
    /// Nothing was read since the kernel's queue was last found empty.
    queue_was_empty: Cell<bool>,
    /// When the newest data that was read had come.
    last_data_at: Cell<Instant>,
    is_complete: Cell<bool>,
    /// The bytes of the body that are still to be read, if the request states its length.
    missing_bytes: Cell<Option<u64>>,
    /// The bytes read so far on the connection, and their number at the last recheck.
    bytes_read: Cell<u64>,
    bytes_read_at_recheck: Cell<u64>,
}

/// A part of a request that was read from the kernel.
pub struct ReceivedPart {
    pub arrived_at: Instant,
    pub bytes: usize,
    /// Whether the request ends with this part, and if not, the rest of its body as far as that is known.
    pub is_last: bool,
    pub missing_bytes: Option<u64>,
}

impl RequestArrival {
    /// For a connection that was just accepted.
    pub fn new(socket: Weak<TcpStream>) -> RequestArrival {
        let now = Instant::now();
        RequestArrival {
            socket,
            earliest_end: Cell::new(now),
            queue_was_empty: Cell::new(true),
            last_data_at: Cell::new(now),
            is_complete: Cell::new(false),
            missing_bytes: Cell::new(None),
            bytes_read: Cell::new(0),
            bytes_read_at_recheck: Cell::new(0),
        }
    }

    /// Records that the kernel's queue was empty. Unless the request is complete, its last byte is still to come.
    pub fn record_empty_queue(&self) {
        self.queue_was_empty.set(true);
        if !self.is_complete.get() {
            self.earliest_end.set(Instant::now());
        }
    }

    /// Records a part of the request that was read.
    pub fn record_part(&self, part: &ReceivedPart) {
        let is_first_since_empty = self.queue_was_empty.replace(false);
        let is_new_request = self.is_complete.replace(part.is_last);
        // Whatever is read after the queue was empty has come since then; it came no later than the newest data.
        if is_first_since_empty || is_new_request {
            self.earliest_end.set(part.arrived_at);
        }
        self.last_data_at.set(part.arrived_at);
        self.missing_bytes.set(part.missing_bytes);
        self.bytes_read.set(self.bytes_read.get() + part.bytes as u64);
        if part.missing_bytes.is_some_and(|missing| missing > MAX_PEER_SEND_BUFFER) {
            self.extend_while_unwritten(self.unread_bytes());
        }
    }

    /// Before this time the last byte of the request was not written.
    pub fn earliest_end(&self) -> Instant {
        self.earliest_end.get()
    }

    /// Completes once the client may have waited for this long since its last byte, although the request was
    /// not read to its end, or has sent nothing for longer than it may.
    pub async fn wait_overdue(&self, client_time: Duration, max_silence: Duration) -> Overdue {
        loop {
            sleep_until(self.earliest_end.get() + client_time.max(MIN_RECHECK_INTERVAL)).await;
            let client_is_silent = self.recheck(max_silence);
            if self.earliest_end.get() + client_time <= Instant::now() {
                return if client_is_silent { Overdue::ClientSilent } else { Overdue::NotTaken };
            }
        }
    }

    /// Looks whether the last byte is certainly still to be written. Returns whether it is the client that has
    /// sent nothing for too long.
    fn recheck(&self, max_silence: Duration) -> bool {
        if self.is_complete.get() {
            return false;
        }
        let unread_bytes = self.unread_bytes();
        let bytes_read = self.bytes_read.get();
        let has_progress = self.bytes_read_at_recheck.replace(bytes_read) != bytes_read;
        if !self.queue_was_empty.get() {
            if has_progress {
                self.extend_while_unwritten(unread_bytes);
            }
        } else if unread_bytes == 0 {
            if self.last_data_at.get().elapsed() >= max_silence {
                return true;
            }
            self.earliest_end.set(Instant::now());
        } else if let Some(socket) = self.socket.upgrade() {
            self.earliest_end.set(last_data_at(&*socket));
        }
        false
    }

    /// The bytes that lie unread in the kernel's queue; zero if the kernel does not tell.
    fn unread_bytes(&self) -> u64 {
        self.socket.upgrade().and_then(|socket| ioctl_fionread(&*socket).ok()).unwrap_or(0)
    }

    /// As long as more is missing than both kernels can hold, the last byte was not written.
    fn extend_while_unwritten(&self, unread_bytes: u64) {
        if self.missing_bytes.get().is_some_and(|missing| missing > unread_bytes + MAX_PEER_SEND_BUFFER) {
            self.earliest_end.set(Instant::now());
        }
    }
}
