//! The data behind a request in progress. It is read ahead, so that the client's close behind it is seen, and kept until
//! its turn. What is small is free; the rest counts against the memory budget of bodies.

use crate::bodies::{BodyMemory, WindowReservation};
use bytes::{Buf, BytesMut};
use std::collections::VecDeque;

/// The maximum that is read ahead on one connection, in bytes.
const MAX_BYTES: usize = 3 << 20;
/// The size of a block that is kept, for which memory is reserved, in bytes.
const BLOCK_BYTES: usize = 64 << 10;
/// One connection may have reserved this part of what is still free.
const FREE_PART: usize = 8;

/// A part of the data, with its reservation if it needs one.
struct Block {
    bytes: BytesMut,
    max_bytes: usize,
    reservation: Option<WindowReservation>,
}

impl Block {
    fn free_bytes(&self) -> usize {
        self.max_bytes - self.bytes.len()
    }
}

/// Data that was read ahead on one connection.
pub struct HeldBack {
    blocks: VecDeque<Block>,
    memory: BodyMemory,
    /// The size of the one block that needs no reservation.
    small_bytes: usize,
}

impl HeldBack {
    /// Nothing yet; up to `small_bytes` are kept without a reservation.
    pub fn new(memory: BodyMemory, small_bytes: usize) -> HeldBack {
        HeldBack { blocks: VecDeque::new(), memory, small_bytes }
    }

    pub fn is_empty(&self) -> bool {
        self.blocks.iter().all(|block| block.bytes.is_empty())
    }

    /// The oldest of the data, as far as it is in one piece; empty only if there is none.
    pub fn front(&self) -> &[u8] {
        self.blocks.front().map_or(&[], |block| &block.bytes)
    }

    /// Appends data. Whether there is room for it, `make_room` tells; what came along with a request is always kept.
    pub fn extend(&mut self, data: &[u8]) {
        if data.is_empty() {
            return;
        }
        if self.blocks.is_empty() {
            self.add_small_block();
        }
        if let Some(newest) = self.blocks.back_mut() {
            newest.bytes.extend_from_slice(data);
            newest.max_bytes = newest.max_bytes.max(newest.bytes.len());
        }
    }

    /// Makes room for this many bytes more, with a further reservation if there is need. False if there is none.
    pub fn make_room(&mut self, bytes: usize) -> bool {
        match self.blocks.back() {
            None => self.add_small_block(),
            Some(newest) if newest.free_bytes() >= bytes => {}
            Some(_) => return self.add_reserved_block(),
        }
        true
    }

    fn add_small_block(&mut self) {
        let (bytes, max_bytes) = (BytesMut::new(), self.small_bytes);
        self.blocks.push_back(Block { bytes, max_bytes, reservation: None });
    }

    fn add_reserved_block(&mut self) -> bool {
        let reserved_blocks = self.blocks.iter().filter(|block| block.reservation.is_some()).count();
        let reserved_bytes = (reserved_blocks + 1) * BLOCK_BYTES;
        if reserved_bytes > MAX_BYTES || reserved_bytes > self.memory.free_bytes() / FREE_PART {
            return false;
        }
        let Ok(reservation) = self.memory.reserve_window(BLOCK_BYTES) else { return false };
        let (bytes, max_bytes) = (BytesMut::with_capacity(BLOCK_BYTES), BLOCK_BYTES);
        self.blocks.push_back(Block { bytes, max_bytes, reservation: Some(reservation) });
        true
    }

    /// Removes bytes from the front; no more than `front` has.
    pub fn consume(&mut self, bytes: usize) {
        let Some(oldest) = self.blocks.front_mut() else { return };
        oldest.bytes.advance(bytes);
        oldest.max_bytes -= bytes;
        if oldest.bytes.is_empty() {
            self.blocks.pop_front();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::{HeldBack, BLOCK_BYTES, FREE_PART, MAX_BYTES};
    use crate::bodies::BodyMemory;

    const READ_BYTES: usize = 500;

    /// Guards against one connection that takes the memory of all others by what it sends ahead, and against data that is
    /// lost or reordered at the end of a block.
    #[test]
    fn reading_ahead_leaves_memory_to_others() {
        for budget in [FREE_PART * BLOCK_BYTES * 4, FREE_PART * MAX_BYTES * 2] {
            let memory = BodyMemory::new(budget);
            let mut held_back = HeldBack::new(memory.clone(), 1000);
            let mut sent = Vec::new();
            while held_back.make_room(READ_BYTES) {
                let data = [(sent.len() / READ_BYTES) as u8; READ_BYTES];
                held_back.extend(&data);
                sent.extend_from_slice(&data);
            }
            let held_bytes = memory.held_bytes();
            assert!((BLOCK_BYTES..=MAX_BYTES).contains(&held_bytes) && held_bytes <= budget / FREE_PART);
            let mut received = Vec::new();
            while !held_back.is_empty() {
                let part = &held_back.front()[..held_back.front().len().min(333)];
                received.extend_from_slice(part);
                let count = part.len();
                held_back.consume(count);
            }
            assert!(received == sent && held_back.front().is_empty());
            assert_eq!(memory.held_bytes(), 0);
        }
    }
}
