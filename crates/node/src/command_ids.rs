//! The ids of commands that may have run and must not run again. An id comes again when its client has left and asks
//! once more, here or at the other process of an upgrade. Time and number of the ids that are kept are bounded.

use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
use std::time::Duration;
use tokio::time::Instant;

/// An id is kept for this long at least, which is longer than clients ask for an answer again.
pub const MIN_RETENTION: Duration = Duration::from_secs(30);
/// The maximum number of ids that are kept; the oldest ones go first.
const MAX_IDS: usize = 16_384;

/// A hash of a client's id, the same in every process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct IdHash(u64);

impl IdHash {
    pub fn of(id: &[u8]) -> IdHash {
        IdHash(BuildHasherDefault::<DefaultHasher>::default().hash_one(id))
    }
}

/// The ids that are taken, each until its time is over.
#[derive(Default)]
pub struct CommandIds {
    taken_until: HashMap<IdHash, Instant>,
    /// The same in the order in which they were taken, and some that were released since.
    order: VecDeque<(IdHash, Instant)>,
}

impl CommandIds {
    /// Whether the id may not be taken now.
    pub fn is_taken(&self, id: IdHash) -> bool {
        self.taken_until.get(&id).is_some_and(|until| *until > Instant::now())
    }

    /// Takes an id for this long.
    pub fn take(&mut self, id: IdHash, retention: Duration) {
        let now = Instant::now();
        let until = now + retention;
        self.taken_until.insert(id, until);
        self.order.push_back((id, until));
        while let Some((oldest, until)) = self.order.front().copied() {
            if until > now && self.order.len() <= MAX_IDS {
                break;
            }
            self.order.pop_front();
            if self.taken_until.get(&oldest) == Some(&until) {
                self.taken_until.remove(&oldest);
            }
        }
    }

    /// Releases the id of a command that certainly has not run.
    pub fn release(&mut self, id: IdHash) {
        self.taken_until.remove(&id);
    }

    /// All ids that are taken.
    pub fn all(&self) -> Vec<IdHash> {
        let now = Instant::now();
        self.taken_until.iter().filter(|(_, until)| **until > now).map(|(id, _)| *id).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::{CommandIds, IdHash, MAX_IDS};
    use std::time::Duration;

    const LONG: Duration = Duration::from_secs(60);

    fn id(number: usize) -> IdHash {
        IdHash::of(number.to_string().as_bytes())
    }

    /// Guards against ids that are kept without end, and against one that is forgotten because it was released and taken again.
    #[test]
    fn ids_are_kept_for_their_time_and_up_to_a_number() {
        let mut ids = CommandIds::default();
        ids.take(id(0), LONG);
        ids.release(id(0));
        assert!(!ids.is_taken(id(0)));
        ids.take(id(0), LONG);
        (1..MAX_IDS - 1).for_each(|number| ids.take(id(number), LONG));
        assert!(ids.is_taken(id(0)));
        ids.take(id(MAX_IDS), LONG);
        assert!(ids.is_taken(id(0)), "only its released entry was over the number");
        ids.take(id(MAX_IDS + 1), LONG);
        assert!(!ids.is_taken(id(0)) && ids.is_taken(id(1)));
        assert_eq!(ids.all().len(), MAX_IDS);
        ids.take(id(7), Duration::ZERO);
        assert!(!ids.is_taken(id(7)));
    }
}
