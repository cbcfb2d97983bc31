//! The event queue of the virtual clock: a calendar queue with slots of one millisecond, so that events that are seconds
//! ahead (time limits, most of which never matter) do not slow down the next ones. Events at the same time are returned
//! in the order in which they were added.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use yarrowfront::times::Timestamp;

/// One slot for each millisecond of about four seconds, within which most time limits are.
const SLOT_COUNT: u64 = 4096;

struct Entry<E> {
    /// The time in microseconds and the number of the event, which orders events at the same time.
    key: (u64, u64),
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Entry<E>) -> bool {
        self.key == other.key
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Entry<E>) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Entry<E>) -> std::cmp::Ordering {
        self.key.cmp(&other.key)
    }
}

/// Events by time.
pub struct EventQueue<E> {
    /// The number of events added so far.
    sequence: u64,
    /// The millisecond whose events are in `current`. Events for earlier times are in it as well.
    current_slot: u64,
    current: BinaryHeap<Reverse<Entry<E>>>,
    /// The events of the following milliseconds, by millisecond modulo the number of slots.
    slots: Vec<Vec<Entry<E>>>,
    events_in_slots: usize,
    /// Events that were beyond the last slot when they were added.
    later: BinaryHeap<Reverse<Entry<E>>>,
}

fn slot_of(at_us: u64) -> u64 {
    at_us / 1000
}

impl<E> EventQueue<E> {
    /// A queue that starts at the time `from`; no event may be added for an earlier time.
    pub fn new(from: Timestamp) -> EventQueue<E> {
        EventQueue {
            sequence: 0,
            current_slot: slot_of(from.0),
            current: BinaryHeap::new(),
            slots: (0..SLOT_COUNT).map(|_| Vec::new()).collect(),
            events_in_slots: 0,
            later: BinaryHeap::new(),
        }
    }

    /// Adds an event.
    pub fn push(&mut self, at: Timestamp, event: E) {
        self.sequence += 1;
        let entry = Entry { key: (at.0, self.sequence), event };
        let slot = slot_of(at.0);
        if slot <= self.current_slot {
            self.current.push(Reverse(entry));
        } else if slot < self.current_slot + SLOT_COUNT {
            self.slots[(slot % SLOT_COUNT) as usize].push(entry);
            self.events_in_slots += 1;
        } else {
            self.later.push(Reverse(entry));
        }
    }

    /// Removes and returns the next event.
    pub fn pop(&mut self) -> Option<(Timestamp, E)> {
        while self.current.is_empty() {
            self.advance_slot()?;
        }
        self.current.pop().map(|Reverse(entry)| (Timestamp(entry.key.0), entry.event))
    }

    /// Moves on by one millisecond, or to the next one with an event if the slots are empty. `None` if no event is left.
    fn advance_slot(&mut self) -> Option<()> {
        let first_later = self.later.peek().map(|Reverse(entry)| slot_of(entry.key.0));
        if self.events_in_slots == 0 {
            // Skip to the first event beyond the slots.
            self.current_slot = first_later?;
        } else {
            self.current_slot += 1;
        }
        let slot_events = &mut self.slots[(self.current_slot % SLOT_COUNT) as usize];
        self.events_in_slots -= slot_events.len();
        self.current.extend(slot_events.drain(..).map(Reverse));
        while self.later.peek().is_some_and(|Reverse(entry)| slot_of(entry.key.0) <= self.current_slot) {
            self.current.extend(self.later.pop());
        }
        Some(())
    }
}
