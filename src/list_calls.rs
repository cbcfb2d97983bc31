//! Schedules the calls to discovery for the list of backends, also after a call has failed or a watch has ended.
//!
//! The end of a watch may hide a change, which binds the node a few seconds later whether or not it has heard of it.
//! The time from the end of a watch to the next call is therefore bounded, and never grows with the number of nodes
//! or of failures: an overloaded discovery refuses calls at once, and a refusal costs it nothing.

use crate::random::Rng;
use crate::settings::Settings;
use crate::times::{Micros, Timestamp};

/// The first calls of all nodes are spread over this much time per node: a hundred nodes then call at the rate at
/// which discovery answers (docs/fleet.md).
const START_SPREAD_PER_NODE: Micros = Micros::from_millis(50);
/// Limit of that spread: a change counts as known six seconds after discovery has it, and a call may have to wait for
/// its turn.
const MAX_START_SPREAD: Micros = Micros::from_millis(4000);
/// Calls after the end of a watch are spread over this much time per node, as all watches tend to end together.
const RECONNECT_SPREAD_PER_NODE: Micros = Micros::from_millis(2);
const MAX_RECONNECT_SPREAD: Micros = Micros::from_millis(300);
/// Calls after a call that hung before it failed are spread over this much time per node. An overloaded discovery may
/// still be working on calls that were given up, and a hundred nodes that call again at once would keep it
/// overloaded.
const RETRY_SPREAD_PER_NODE: Micros = Micros::from_millis(25);
const MAX_RETRY_SPREAD: Micros = Micros::from_millis(2500);
/// Interval between calls after the first that failed early. It doubles with each further failure up to the maximum
/// and gets a jitter of half either way, so it is at most two seconds. Together with the wait for an answer that
/// leaves half of the six seconds.
const INITIAL_RETRY_INTERVAL: Micros = Micros::from_millis(250);
const MAX_RETRY_INTERVAL: Micros = Micros::from_millis(1300);
/// A call or watch that lasted this long needs no further pause.
const LONG_CALL_DURATION: Micros = Micros::from_millis(2000);
/// Interval for a pushed list: the agent that pushes it serves no other node.
const PUSHED_LIST_RETRY_INTERVAL: Micros = Micros::from_millis(60);

/// The node's calls for the list, and when the next one is due.
pub(crate) struct ListCalls {
    /// When the next call is due; the largest value means never.
    next_at: Timestamp,
    called_at: Timestamp,
    is_watching: bool,
    /// Consecutive calls that failed early; 1 after a watch that ended early.
    short_lived_calls: u32,
}

impl Default for ListCalls {
    fn default() -> ListCalls {
        ListCalls {
            next_at: Timestamp(u64::MAX),
            called_at: Timestamp(0),
            is_watching: false,
            short_lived_calls: 0,
        }
    }
}

impl ListCalls {
    /// Schedules the first call of a process. A pushed list arrives without a call.
    pub(crate) fn new(settings: &Settings, now: Timestamp, rng: &mut Rng) -> ListCalls {
        let mut calls = ListCalls { called_at: now, ..ListCalls::default() };
        if settings.list_is_requested {
            let spread = per_node(START_SPREAD_PER_NODE, settings).min(MAX_START_SPREAD);
            calls.next_at =
                now + spread.min(Micros(settings.list_request_interval.0 / 2)).scaled(rng.next_unit());
        }
        calls
    }

    pub(crate) fn next_at(&self) -> Timestamp {
        self.next_at
    }

    /// Whether a call is due; if so, it counts as made.
    pub(crate) fn take_due_call(&mut self, now: Timestamp, settings: &Settings) -> bool {
        if now < self.next_at {
            return false;
        }
        self.called_at = now;
        // The end of each call is reported to `on_call_ended`. If that is missed, another call follows within the
        // request interval.
        self.next_at = now + Micros(settings.list_request_interval.0 / 2);
        true
    }

    /// The call has been answered and a watch is open.
    pub(crate) fn watch_opened(&mut self) {
        self.next_at = Timestamp(u64::MAX);
        self.is_watching = true;
    }

    /// The call has failed, or its watch has ended or gone silent.
    pub(crate) fn on_call_ended(&mut self, now: Timestamp, settings: &Settings, rng: &mut Rng) {
        if !settings.list_is_requested {
            self.next_at = now + PUSHED_LIST_RETRY_INTERVAL.scaled(0.5 + rng.next_unit());
            return;
        }
        let was_long = now.since(self.called_at) >= LONG_CALL_DURATION;
        let was_answered = std::mem::take(&mut self.is_watching);
        self.short_lived_calls = match was_answered {
            _ if was_long => 0,
            // Each watch that ends may hide a change, so the pause does not grow with their number.
            true => 1,
            false => self.short_lived_calls + 1,
        };
        let spread = match was_answered {
            true => per_node(RECONNECT_SPREAD_PER_NODE, settings).min(MAX_RECONNECT_SPREAD),
            false if was_long => per_node(RETRY_SPREAD_PER_NODE, settings).min(MAX_RETRY_SPREAD),
            false => Micros(0),
        };
        let earliest = now + spread.scaled(rng.next_unit());
        self.next_at = earliest.max(self.called_at + self.retry_interval().scaled(0.5 + rng.next_unit()));
    }

    /// Interval to the next call, by the number of consecutive early failures.
    fn retry_interval(&self) -> Micros {
        match self.short_lived_calls {
            0 => Micros(0),
            count => Micros(INITIAL_RETRY_INTERVAL.0 << (count - 1).min(8)).min(MAX_RETRY_INTERVAL),
        }
    }
}

fn per_node(duration: Micros, settings: &Settings) -> Micros {
    Micros(duration.0 * u64::from(settings.node_count.max(1)))
}
