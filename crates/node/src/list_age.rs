//! Determines from when on the list in use may be outdated by changes that bind this node although it has
//! not received them.
//!
//! In the deployment, discovery's changes bind a node some seconds after its watch was lost or discovery has
//! moved, whether or not they have arrived: the node is held to them as if it knew them. Only a call that
//! is still waiting for its answer can deliver them in time.

use yarrowfront::times::{Micros, Timestamp};

/// A change that the end of a watch hides binds the node after this time.
const BINDS_AFTER_WATCH_END: Micros = Micros::from_millis(2000);
/// A change that a silent watch misses binds the node this long after the last message, as it may have come
/// right behind it.
const BINDS_AFTER_SILENCE: Micros = Micros::from_millis(6000);
/// Every change binds the node this long after a new configuration gave another address of discovery.
const BINDS_AFTER_MOVE: Micros = Micros::from_millis(4000);

/// When changes that may have been missed since discovery's last answer start to bind this node.
#[derive(Debug, Default)]
pub struct ListAge {
    binds_after_move: Option<Timestamp>,
    binds_after_loss: Option<Timestamp>,
}

impl ListAge {
    /// Discovery has a new address.
    pub fn discovery_moved(&mut self, now: Timestamp) {
        self.binds_after_move.get_or_insert(now + BINDS_AFTER_MOVE);
    }

    /// A watch that had been answered has ended.
    pub fn watch_ended(&mut self, now: Timestamp) {
        self.record_loss(now + BINDS_AFTER_WATCH_END);
    }

    /// A watch has fallen silent after its last message at this time.
    pub fn watch_silent(&mut self, last_message: Timestamp) {
        self.record_loss(last_message + BINDS_AFTER_SILENCE);
    }

    fn record_loss(&mut self, binds_at: Timestamp) {
        self.binds_after_loss = Some(self.binds_after_loss.map_or(binds_at, |earlier| earlier.min(binds_at)));
    }

    /// Discovery has answered, at its present address or still at a former one.
    pub fn answered(&mut self, at_present_address: bool) {
        self.binds_after_loss = None;
        if at_present_address {
            self.binds_after_move = None;
        }
    }

    /// The call has failed: discovery is down or unreachable, and the list stays valid as it is.
    pub fn call_failed(&mut self) {
        *self = ListAge::default();
    }

    /// The time from which changes that were not received bind this node; `None` if none can have been
    /// missed.
    pub fn expires_at(&self) -> Option<Timestamp> {
        self.binds_after_move.into_iter().chain(self.binds_after_loss).min()
    }
}

#[cfg(test)]
mod tests {
    use super::{ListAge, Timestamp};

    const NOW: Timestamp = Timestamp(1_000_000);

    fn expires_after_ms(change: impl Fn(&mut ListAge)) -> Option<u64> {
        let mut age = ListAge::default();
        change(&mut age);
        age.expires_at().map(|at| at.since(NOW).0 / 1000)
    }

    #[test]
    fn list_expires_at_the_earliest_time_until_discovery_answers() {
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
        for (number, (events, expires_after)) in cases.into_iter().enumerate() {
            assert_eq!(expires_after_ms(events), expires_after, "case {number}");
        }
    }
}
