//! When a client wrote the last byte of its request, from which its time counts. Bytes may wait in the kernel
//! for long before the node reads them, and on the client's side for as long as the node does not read, so this
//! is a lower bound: no request is taken to be younger than it is.

use rustix::io::ioctl_fionread;
use std::cell::Cell;
use std::rc::Weak;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// What the client's kernel holds at most of a request that the node does not read: Linux's default limit of a
/// send buffer, in bytes.
const MAX_PEER_SEND_BUFFER: u64 = 4 << 20;

/// Tracks the arrival of the request that a connection is receiving.
pub struct RequestArrival {
    /// The connection; it is not kept open by this.
    socket: Weak<TcpStream>,
    /// Before this time the last byte of the request was not written.
    earliest_end: Cell<Instant>,
    /// Nothing was read since the kernel's queue was last found empty.
    queue_was_empty: Cell<bool>,
    is_complete: Cell<bool>,
    /// The bytes of the body that are still to be read, if the request states its length.
    missing_bytes: Cell<Option<u64>>,
}

/// A part of a request that was read from the kernel.
pub struct ReceivedPart {
    pub arrived_at: Instant,
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
            is_complete: Cell::new(false),
            missing_bytes: Cell::new(None),
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
        self.missing_bytes.set(part.missing_bytes);
        if part.missing_bytes.is_some_and(|missing| missing > MAX_PEER_SEND_BUFFER) {
            self.extend_while_unwritten(self.unread_bytes());
        }
    }

    /// Before this time the last byte of the request was not written.
    pub fn earliest_end(&self) -> Instant {
        self.earliest_end.get()
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
