//! The queue of member updates that still have to be gossiped, and the byte budget that limits sending.

use std::collections::{BTreeSet, HashMap};
use yarrowfront::times::Timestamp;

/// Names of the members with updates to gossip, ordered by how often the update was sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct GossipQueue {
    /// Number of transmissions, sequence number (the newest update first) and member name.
    queue: BTreeSet<(u32, std::cmp::Reverse<u64>, String)>,
    positions: HashMap<String, (u32, std::cmp::Reverse<u64>)>,
    last_sequence: u64,
}

impl GossipQueue {
    /// Queues an update about the member and replaces an earlier one about it.
    pub fn add(&mut self, name: &str) {
        self.remove(name);
        self.last_sequence += 1;
        let position = (0, std::cmp::Reverse(self.last_sequence));
        self.positions.insert(name.to_owned(), position);
        self.queue.insert((position.0, position.1, name.to_owned()));
    }

    pub fn remove(&mut self, name: &str) {
        if let Some(position) = self.positions.remove(name) {
            self.queue.remove(&(position.0, position.1, name.to_owned()));
        }
    }

    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Member names in the order in which their updates are to be sent: the least transmitted first.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.queue.iter().map(|(_, _, name)| name.as_str())
    }

    /// Counts one transmission of the update, which leaves the queue after `max_transmits` of them.
    pub fn mark_sent(&mut self, name: &str, max_transmits: u32) {
        let Some(position) = self.positions.get_mut(name) else { return };
        self.queue.remove(&(position.0, position.1, name.to_owned()));
        position.0 += 1;
        match position.0 >= max_transmits {
            true => drop(self.positions.remove(name)),
            false => drop(self.queue.insert((position.0, position.1, name.to_owned()))),
        }
    }
}

/// A token bucket of bytes to send.
#[derive(Clone, Debug)]
pub(crate) struct ByteBudget {
    /// Refill in bytes per second.
    rate: f64,
    /// The most bytes that can be saved up.
    capacity: f64,
    available: f64,
    refilled_at: Timestamp,
}

impl ByteBudget {
    pub fn new(now: Timestamp, rate: f64, capacity: f64) -> ByteBudget {
        ByteBudget { rate, capacity, available: capacity, refilled_at: now }
    }

    /// Refills the bucket and returns the bytes available now; negative if more was spent than there was.
    pub fn available(&mut self, now: Timestamp) -> f64 {
        self.available =
            (self.available + self.rate * now.since(self.refilled_at).as_f64() / 1e6).min(self.capacity);
        self.refilled_at = now;
        self.available
    }

    /// Takes the bytes, even if they are not available. The debt is limited to one second's refill, so that a seed
    /// which a whole fleet contacts at once is not silent for minutes afterwards.
    pub fn spend(&mut self, bytes: usize) {
        self.available = (self.available - bytes as f64).max(-self.rate);
    }
}
