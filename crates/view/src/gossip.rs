//! News that are still to be told, each to so many: those told least first. And the bytes that may be spent on them.

use std::collections::{BTreeSet, HashMap};
use yarrowfront::times::Timestamp;

/// Names of members of whom there is news, by how often it was told.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gossip {
    /// How often told, the later the number the newer, and whom it is about.
    queue: BTreeSet<(u32, std::cmp::Reverse<u64>, String)>,
    place: HashMap<String, (u32, std::cmp::Reverse<u64>)>,
    turn: u64,
}

impl Gossip {
    /// There is something new about that member, in place of what there was.
    pub fn add(&mut self, name: &str) {
        self.drop(name);
        self.turn += 1;
        let place = (0, std::cmp::Reverse(self.turn));
        self.place.insert(name.to_owned(), place);
        self.queue.insert((place.0, place.1, name.to_owned()));
    }

    pub fn drop(&mut self, name: &str) {
        if let Some(place) = self.place.remove(name) {
            self.queue.remove(&(place.0, place.1, name.to_owned()));
        }
    }

    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Those told least, in that order.
    pub fn next(&self) -> impl Iterator<Item = &str> {
        self.queue.iter().map(|(_, _, name)| name.as_str())
    }

    /// It was told once more; after so many times it is no news any more.
    pub fn told(&mut self, name: &str, most: u32) {
        let Some(place) = self.place.get_mut(name) else { return };
        self.queue.remove(&(place.0, place.1, name.to_owned()));
        place.0 += 1;
        match place.0 >= most {
            true => drop(self.place.remove(name)),
            false => drop(self.queue.insert((place.0, place.1, name.to_owned()))),
        }
    }
}

/// Bytes to spend: so many a second, and what was saved up to a bound.
#[derive(Clone, Debug)]
pub(crate) struct ByteBudget {
    rate: f64,
    most: f64,
    held: f64,
    at: Timestamp,
}

impl ByteBudget {
    pub fn new(now: Timestamp, rate: f64, most: f64) -> ByteBudget {
        ByteBudget { rate, most, held: most, at: now }
    }

    pub fn held(&mut self, now: Timestamp) -> f64 {
        self.held = (self.held + self.rate * now.since(self.at).as_f64() / 1e6).min(self.most);
        self.at = now;
        self.held
    }

    /// Spends them, also where they are not there. A seed that a whole fleet asks at once is not to be silent for
    /// minutes after it: no more is owed than what comes in in a second.
    pub fn spend(&mut self, bytes: usize) {
        self.held = (self.held - bytes as f64).max(-self.rate);
    }
}
