//! The data behind a request in progress. It is read ahead, so that the client's close behind it is seen, and kept until
//! its turn. What is small is free; the rest counts against the memory budget of bodies.

use crate::body_memory::{BodyMemory, WindowReservation};
use bytes::{Buf, BytesMut};
use std::collections::VecDeque;
use tokio::time::Instant;

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

/// The latest time at which data had come, kept for this many reads; those after them count as one.
const MAX_ARRIVALS: usize = 256;

/// Bytes that were read at once.
struct Arrival {
    bytes: usize,
    at: Instant,
}

/// Data that was read ahead on one connection.
pub struct HeldBack {
    blocks: VecDeque<Block>,
    /// When the data came, in its order.
    arrivals: VecDeque<Arrival>,
    memory: BodyMemory,
    /// The size of the one block that needs no reservation.
    small_bytes: usize,
}

impl HeldBack {
    /// Nothing yet; up to `small_bytes` are kept without a reservation.
    pub fn new(memory: BodyMemory, small_bytes: usize) -> HeldBack {
        HeldBack { blocks: VecDeque::new(), arrivals: VecDeque::new(), memory, small_bytes }
    }

    pub fn is_empty(&self) -> bool {
        self.blocks.iter().all(|block| block.bytes.is_empty())
    }

    /// The oldest of the data, as far as it is in one piece; empty only if there is none.
    pub fn front(&self) -> &[u8] {
        self.blocks.front().map_or(&[], |block| &block.bytes)
    }

    /// Appends data that had come by this time. Whether there is room for it, `make_room` tells; what came along with a request is always kept.
    pub fn extend(&mut self, data: &[u8], arrived_at: Instant) {
        if data.is_empty() {
            return;
        }
        self.record_arrival(data.len(), arrived_at);
        if self.blocks.is_empty() {
            self.add_small_block();
        }
        if let Some(newest) = self.blocks.back_mut() {
            newest.bytes.extend_from_slice(data);
            newest.max_bytes = newest.max_bytes.max(newest.bytes.len());
        }
    }

    fn record_arrival(&mut self, bytes: usize, at: Instant) {
        let is_full = self.arrivals.len() >= MAX_ARRIVALS;
        match self.arrivals.back_mut().filter(|_| is_full) {
            // Rather too early than too late: no request is taken to be younger than it is.
            Some(newest) => newest.bytes += bytes,
            None => self.arrivals.push_back(Arrival { bytes, at }),
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

    /// Removes bytes from the front, no more than `front` has. Returns when the last of them had come.
    pub fn consume(&mut self, bytes: usize) -> Option<Instant> {
        let arrived_at = self.consume_arrivals(bytes);
        let oldest = self.blocks.front_mut()?;
        oldest.bytes.advance(bytes);
        oldest.max_bytes -= bytes;
        if oldest.bytes.is_empty() {
            self.blocks.pop_front();
        }
        arrived_at
    }

    fn consume_arrivals(&mut self, mut bytes: usize) -> Option<Instant> {
        let mut arrived_at = None;
        while bytes > 0 {
            let oldest = self.arrivals.front_mut()?;
            arrived_at = Some(oldest.at);
            let consumed = bytes.min(oldest.bytes);
            oldest.bytes -= consumed;
            bytes -= consumed;
            if oldest.bytes == 0 {
                self.arrivals.pop_front();
            }
        }
        arrived_at
    }
}

#[cfg(test)]
mod tests {
    use super::{HeldBack, BLOCK_BYTES, FREE_PART, MAX_ARRIVALS, MAX_BYTES};
    use crate::body_memory::BodyMemory;
    use std::time::Duration;
    use tokio::time::Instant;

    const READ_BYTES: usize = 500;

    /// Guards against one connection that takes the memory of all others by what it sends ahead, and against data that is
    /// lost or reordered at the end of a block.
    #[test]
    fn reading_ahead_leaves_memory_to_others() {
        for budget in [FREE_PART * BLOCK_BYTES * 4, FREE_PART * MAX_BYTES * 2] {
            let memory = BodyMemory::new(budget);
            let mut held_back = HeldBack::new(memory.clone(), 1000);
            let (mut sent, start) = (Vec::new(), Instant::now());
            while held_back.make_room(READ_BYTES) {
                let data = [(sent.len() / READ_BYTES) as u8; READ_BYTES];
                held_back.extend(&data, start + Duration::from_millis(sent.len() as u64));
                sent.extend_from_slice(&data);
            }
            let held_bytes = memory.held_bytes();
            assert!((BLOCK_BYTES..=MAX_BYTES).contains(&held_bytes) && held_bytes <= budget / FREE_PART);
            let mut received = Vec::new();
            while !held_back.is_empty() {
                let part = &held_back.front()[..held_back.front().len().min(333)];
                received.extend_from_slice(part);
                let count = part.len();
                let arrived_at = held_back.consume(count).expect("a time");
                // The time of the read that had the last byte, or of the last one that is kept apart.
                let read = ((received.len() - 1) / READ_BYTES).min(MAX_ARRIVALS - 1);
                assert_eq!(arrived_at, start + Duration::from_millis((read * READ_BYTES) as u64));
            }
            assert!(received == sent && held_back.front().is_empty());
            assert_eq!(memory.held_bytes(), 0);
        }
    }
}
