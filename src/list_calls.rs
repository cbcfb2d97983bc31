//! When to call discovery for the list of backends, and to call again once a call has failed or a watch has ended.
//!
//! The end of a watch may hide a change, which binds the node a few seconds later whether or not it has heard of it. So
//! the span from the end of a watch to the next call is bounded by time alone, and never grows with the number of nodes
//! or of failures: an overloaded discovery refuses calls at once, and a refusal costs it nothing.

use crate::chance::Chance;
use crate::settings::Settings;
use crate::times::{Micros, Timestamp};

/// The first calls of all nodes are spread over this much for each node: a hundred nodes call as often as discovery was
/// seen to answer (docs/fleet.md).
const START_SPREAD_PER_NODE: Micros = Micros::from_millis(50);
/// And over no more than this: news counts as known six seconds after discovery had it, and a call waits for its turn.
const LONGEST_START_SPREAD: Micros = Micros::from_millis(4000);
/// Calls after the end of a watch are spread over this much for each node, as all watches tend to end together.
const RECONNECT_SPREAD_PER_NODE: Micros = Micros::from_millis(2);
const LONGEST_RECONNECT_SPREAD: Micros = Micros::from_millis(300);
/// Calls after one that hung before it failed are spread over this much for each node: a discovery that is behind may go on
/// working through calls that were given up, and a hundred nodes that call again at once keep it behind.
const RETRY_SPREAD_PER_NODE: Micros = Micros::from_millis(25);
const LONGEST_RETRY_SPREAD: Micros = Micros::from_millis(2500);
/// From one call to the next after the first that failed soon, doubled with each further one up to the longest, and then
/// spread by half either way: two seconds at the most. With the wait for an answer that leaves half of the six seconds.
const FIRST_INTERVAL: Micros = Micros::from_millis(250);
const LONGEST_INTERVAL: Micros = Micros::from_millis(1300);
/// A call that hung, or a watch that lasted, for so long has been a pause of its own.
const LASTED: Micros = Micros::from_millis(2000);
/// Where the list comes by itself no other node waits for this node's agent.
const AGENT_INTERVAL: Micros = Micros::from_millis(60);

/// The calls for the list that a node makes, and when the next one is due.
pub(crate) struct ListCalls {
    next_at: Timestamp,
    called_at: Timestamp,
    watching: bool,
    /// Calls in a row that failed soon, or whose watch ended soon.
    short_lived: u32,
}

impl Default for ListCalls {
    fn default() -> ListCalls {
        ListCalls { next_at: Timestamp(u64::MAX), called_at: Timestamp(0), watching: false, short_lived: 0 }
    }
}

impl ListCalls {
    /// The first call of a process. Where the list is pushed it is made without being asked for.
    pub(crate) fn at_start(terms: &Settings, now: Timestamp, chance: &mut Chance) -> ListCalls {
        let mut calls = ListCalls { called_at: now, ..ListCalls::default() };
        if terms.list_is_requested {
            let spread = per_node(START_SPREAD_PER_NODE, terms).min(LONGEST_START_SPREAD);
            calls.next_at = now + spread.min(Micros(terms.list_request_interval.0 / 2)).scaled(chance.unit());
        }
        calls
    }

    pub(crate) fn next_at(&self) -> Timestamp {
        self.next_at
    }

    /// Whether a call is due, which is then taken to be made.
    pub(crate) fn take_due(&mut self, now: Timestamp, terms: &Settings) -> bool {
        if now < self.next_at {
            return false;
        }
        self.called_at = now;
        // Each call has an end that is told here. Should one not be told, there is another within the asking term.
        self.next_at = now + Micros(terms.list_request_interval.0 / 2);
        true
    }

    /// The call has been answered and a watch is open.
    pub(crate) fn watch_opened(&mut self) {
        self.next_at = Timestamp(u64::MAX);
        self.watching = true;
    }

    /// The call has failed, or its watch has ended or fallen silent.
    pub(crate) fn ended(&mut self, now: Timestamp, terms: &Settings, chance: &mut Chance) {
        if !terms.list_is_requested {
            self.next_at = now + AGENT_INTERVAL.scaled(0.5 + chance.unit());
            return;
        }
        let lasted = now.since(self.called_at) >= LASTED;
        self.short_lived = if lasted { 0 } else { self.short_lived + 1 };
        let spread = match std::mem::take(&mut self.watching) {
            true => per_node(RECONNECT_SPREAD_PER_NODE, terms).min(LONGEST_RECONNECT_SPREAD),
            false if lasted => per_node(RETRY_SPREAD_PER_NODE, terms).min(LONGEST_RETRY_SPREAD),
            false => Micros(0),
        };
        let soonest = now + spread.scaled(chance.unit());
        self.next_at = soonest.max(self.called_at + self.interval().scaled(0.5 + chance.unit()));
    }

    fn interval(&self) -> Micros {
        match self.short_lived {
            0 => Micros(0),
            count => Micros(FIRST_INTERVAL.0 << (count - 1).min(8)).min(LONGEST_INTERVAL),
        }
    }
}

fn per_node(span: Micros, terms: &Settings) -> Micros {
    Micros(span.0 * u64::from(terms.node_count.max(1)))
}
