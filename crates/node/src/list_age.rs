//! From when on the list in use may be overtaken by news that this node is held to and has not heard.
//!
//! The deployment counts what discovery has to tell as known some seconds after a watch has been lost or discovery has
//! moved, whether or not it has arrived. Only a call that waits for its answer can still bring it in time.

use yarrowfront::times::{Micros, Timestamp};

/// What the end of a watch hides counts as known so long after it.
const KNOWN_AFTER_END: Micros = Micros::from_millis(2000);
/// And what a watch misses that has fallen silent, which may have been right behind its last message.
const KNOWN_AFTER_SILENCE: Micros = Micros::from_millis(6000);
/// And all that discovery has to tell, so long after a configuration with another address of it.
const KNOWN_AFTER_MOVE: Micros = Micros::from_millis(4000);

/// The events since the list was last heard of that news may hide behind.
#[derive(Debug, Default)]
pub struct ListAge {
    after_move: Option<Timestamp>,
    after_loss: Option<Timestamp>,
}

impl ListAge {
    pub fn discovery_moved(&mut self, now: Timestamp) {
        self.after_move.get_or_insert(now + KNOWN_AFTER_MOVE);
    }

    pub fn watch_ended(&mut self, now: Timestamp) {
        self.lost(now + KNOWN_AFTER_END);
    }

    pub fn watch_silent(&mut self, last_message: Timestamp) {
        self.lost(last_message + KNOWN_AFTER_SILENCE);
    }

    fn lost(&mut self, known: Timestamp) {
        self.after_loss = Some(self.after_loss.map_or(known, |earlier| earlier.min(known)));
    }

    /// Discovery has answered: at its present address, or still at a former one.
    pub fn answered(&mut self, at_present_address: bool) {
        self.after_loss = None;
        if at_present_address {
            self.after_move = None;
        }
    }

    /// The call has failed: discovery is down or out of reach, and the list serves on as it is known.
    pub fn call_failed(&mut self) {
        *self = ListAge::default();
    }

    /// From when on news binds this node unheard; none while nothing is missed.
    pub fn binds_from(&self) -> Option<Timestamp> {
        self.after_move.into_iter().chain(self.after_loss).min()
    }
}

#[cfg(test)]
mod tests {
    use super::{ListAge, Timestamp};

    const NOW: Timestamp = Timestamp(1_000_000);

    fn binds_after_millis(change: impl Fn(&mut ListAge)) -> Option<u64> {
        let mut age = ListAge::default();
        change(&mut age);
        age.binds_from().map(|at| at.since(NOW).0 / 1000)
    }

    #[test]
    fn the_earliest_binds_until_it_is_answered() {
        type Events = fn(&mut ListAge);
        let cases: [(Events, Option<u64>); 8] = [
            (|_| {}, None),
            (|age| age.watch_ended(NOW), Some(2000)),
            (|age| age.watch_silent(NOW), Some(6000)),
            (|age| age.discovery_moved(NOW), Some(4000)),
            (|age| (age.discovery_moved(NOW), age.watch_ended(NOW)).1, Some(2000)),
            (|age| (age.discovery_moved(NOW), age.watch_ended(NOW), age.answered(false)).2, Some(4000)),
            (|age| (age.discovery_moved(NOW), age.watch_ended(NOW), age.answered(true)).2, None),
            (|age| (age.discovery_moved(NOW), age.call_failed()).1, None),
        ];
        for (number, (events, binds)) in cases.into_iter().enumerate() {
            assert_eq!(binds_after_millis(events), binds, "case {number}");
        }
    }
}
