//! What happens next on the virtual clock: a calendar of milliseconds, so that the events which lie seconds ahead
//! (time limits, mostly never needed) do not slow down those of the moment. Events of one moment come out in the
//! order in which they went in.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use yarrowfront::times::Timestamp;

/// One for each millisecond of four seconds: most time limits lie within.
const SLOTS: u64 = 4096;

struct Entry<E> {
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

pub struct Agenda<E> {
    sequence: u64,
    /// The millisecond whose events are in `near`.
    slot: u64,
    near: BinaryHeap<Reverse<Entry<E>>>,
    slots: Vec<Vec<Entry<E>>>,
    in_slots: usize,
    far: BinaryHeap<Reverse<Entry<E>>>,
}

fn slot(at: u64) -> u64 {
    at / 1000
}

impl<E> Agenda<E> {
    /// Nothing may be put in for a time before this.
    pub fn new(from: Timestamp) -> Agenda<E> {
        Agenda {
            sequence: 0,
            slot: slot(from.0),
            near: BinaryHeap::new(),
            slots: (0..SLOTS).map(|_| Vec::new()).collect(),
            in_slots: 0,
            far: BinaryHeap::new(),
        }
    }

    pub fn put(&mut self, at: Timestamp, event: E) {
        self.sequence += 1;
        let entry = Entry { key: (at.0, self.sequence), event };
        let slot = slot(at.0);
        if slot <= self.slot {
            self.near.push(Reverse(entry));
        } else if slot < self.slot + SLOTS {
            self.slots[(slot % SLOTS) as usize].push(entry);
            self.in_slots += 1;
        } else {
            self.far.push(Reverse(entry));
        }
    }

    pub fn take(&mut self) -> Option<(Timestamp, E)> {
        while self.near.is_empty() {
            self.turn()?;
        }
        self.near.pop().map(|Reverse(entry)| (Timestamp(entry.key.0), entry.event))
    }

    /// Goes on to the next millisecond that holds anything.
    fn turn(&mut self) -> Option<()> {
        let far = self.far.peek().map(|Reverse(entry)| slot(entry.key.0));
        if self.in_slots == 0 {
            // Straight to what lies far ahead.
            self.slot = far?;
        } else {
            self.slot += 1;
        }
        let here = &mut self.slots[(self.slot % SLOTS) as usize];
        self.in_slots -= here.len();
        self.near.extend(here.drain(..).map(Reverse));
        while self.far.peek().is_some_and(|Reverse(entry)| slot(entry.key.0) <= self.slot) {
            self.near.extend(self.far.pop());
        }
        Some(())
    }
}
