//! The memory budget of all bodies, requests and answers: what is held of a body counts against it for as long as any part
//! of it is held.

use crate::bodies::ReadError;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;

/// The memory budget of all bodies together, requests and answers.
#[derive(Clone)]
pub struct BodyMemory {
    max_bytes: usize,
    held_bytes: Arc<AtomicUsize>,
    /// Bytes held by the other process of this node.
    peer_held: Arc<AtomicUsize>,
}

/// The buffered bytes of one body, counted against the budget as they are allocated.
pub struct BufferedBody {
    bytes: Vec<u8>,
    counted_bytes: usize,
    /// The size of the whole body; zero if it is not known.
    expected_bytes: usize,
    memory: BodyMemory,
}

/// A buffer grows by this many bytes at a time.
const GROWTH_BYTES: usize = 16 << 10;

impl AsRef<[u8]> for BufferedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for BufferedBody {
    fn drop(&mut self) {
        self.memory.held_bytes.fetch_sub(self.counted_bytes, Relaxed);
    }
}

impl BufferedBody {
    /// The number of bytes that have come so far.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// An empty buffer for a body of this size, as far as that is known.
    pub fn new(expected_bytes: usize, memory: BodyMemory) -> BufferedBody {
        BufferedBody { bytes: Vec::new(), counted_bytes: 0, expected_bytes, memory }
    }

    /// Appends data. Memory is allocated only as data comes: what is set aside for data that does not come is not free
    /// for other bodies.
    pub fn push(&mut self, data: &[u8]) -> Result<(), ReadError> {
        let length = self.bytes.len() + data.len();
        if length > self.counted_bytes {
            self.grow(length)?;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    fn grow(&mut self, length: usize) -> Result<(), ReadError> {
        let grown_bytes = length.next_multiple_of(GROWTH_BYTES);
        let needed_bytes =
            if length <= self.expected_bytes { grown_bytes.min(self.expected_bytes) } else { grown_bytes };
        let added_bytes = needed_bytes - self.counted_bytes;
        if added_bytes > self.memory.free_bytes() {
            return Err(ReadError::BudgetExhausted);
        }
        self.memory.held_bytes.fetch_add(added_bytes, Relaxed);
        self.counted_bytes = needed_bytes;
        self.bytes.reserve_exact(needed_bytes - self.bytes.len());
        Ok(())
    }
}

/// The reservation that a streaming body keeps in the budget: it never buffers more than this at a time.
pub struct WindowReservation(BodyMemory, usize);

impl Drop for WindowReservation {
    fn drop(&mut self) {
        self.0.held_bytes.fetch_sub(self.1, Relaxed);
    }
}
impl BodyMemory {
    /// A budget of this many bytes, shared by all clones.
    pub fn new(max_bytes: usize) -> BodyMemory {
        BodyMemory { max_bytes, held_bytes: Arc::default(), peer_held: Arc::default() }
    }

    /// The bytes that are free in the budget.
    pub fn free_bytes(&self) -> usize {
        self.max_bytes.saturating_sub(self.held_bytes.load(Relaxed) + self.peer_held.load(Relaxed))
    }

    /// The bytes that this process holds or has reserved.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.load(Relaxed)
    }

    /// Sets the bytes that the other process of this node holds; they reduce this process's budget.
    pub fn set_peer_bytes(&self, bytes: usize) {
        self.peer_held.store(bytes, Relaxed);
    }

    /// Reserves a part of the budget, if it is free.
    pub fn reserve_window(&self, bytes: usize) -> Result<WindowReservation, ReadError> {
        if bytes > self.free_bytes() {
            return Err(ReadError::BudgetExhausted);
        }
        self.held_bytes.fetch_add(bytes, Relaxed);
        Ok(WindowReservation(self.clone(), bytes))
    }
}
