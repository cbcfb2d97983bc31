//! Determines from when on the list in use may be outdated by changes that bind this node although it has
//! not received them.
//!
//! In the deployment, discovery's changes bind a node some seconds after its watch was lost or discovery has
//! moved, whether or not they have arrived. Only a call that is still waiting for its answer can deliver
//! them in time.

use yarrowfront::times::{Micros, Timestamp};

/// A change that the end of a watch hides binds the node after this time.
const KNOWN_AFTER_END: Micros = Micros::from_millis(2000);
/// A change that a silent watch misses binds the node this long after the last message, as it may have come
/// right behind it.
const KNOWN_AFTER_SILENCE: Micros = Micros::from_millis(6000);
/// Every change binds the node this long after a new configuration gave another address of discovery.
const KNOWN_AFTER_MOVE: Micros = Micros::from_millis(4000);

/// The times from which changes bind that may have been missed since discovery's last answer.
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

    /// Discovery has answered, at its present address or still at a former one.
    pub fn answered(&mut self, at_present_address: bool) {
        self.after_loss = None;
        if at_present_address {
            self.after_move = None;
        }
    }

    /// The call has failed: discovery is down or unreachable, and the list stays valid as it is.
    pub fn call_failed(&mut self) {
        *self = ListAge::default();
    }

    /// The time from which changes that were not received bind this node; `None` if none can have been
    /// missed.
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
