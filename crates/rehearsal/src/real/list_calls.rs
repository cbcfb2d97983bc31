//! The outcome of the nodes' calls for the list, and when a change counts as known to a node whose watch ended instead
//! of announcing it.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// A change hidden by the end of a watch counts as known after this time.
const KNOWN_AFTER: Duration = Duration::from_secs(2);
/// The same if the node has called since and the call failed because discovery was down: the protocol has a node
/// that calls in vain use its list for longer, but no change binds later than this.
const KNOWN_AFTER_FAILED_CALL: Duration = Duration::from_secs(6);

/// The latest outcomes of each node's calls.
pub struct ListCalls(Vec<Cell<NodeCalls>>);

#[derive(Clone, Copy, Default)]
struct NodeCalls {
    /// When the latest call that failed because discovery was down ended.
    failed_at: Option<Instant>,
    /// The port of discovery at which the latest watch was opened.
    answered_port: Option<u16>,
}

impl ListCalls {
    pub fn new(nodes: usize) -> ListCalls {
        ListCalls(vec![Cell::default(); nodes])
    }

    /// Records that a call of this node failed at this time because discovery was down.
    pub fn record_failure(&self, node: usize, failed_at: Instant) {
        self.0[node].set(NodeCalls { failed_at: Some(failed_at), ..self.0[node].get() });
    }

    /// Records that a call of this node was answered at this port of discovery.
    pub fn record_answer(&self, node: usize, port: u16) {
        self.0[node].set(NodeCalls { answered_port: Some(port), ..self.0[node].get() });
    }

    /// Whether the latest call of this node that was answered was made at this port.
    pub fn was_answered_at(&self, node: usize, port: u16) -> bool {
        self.0[node].get().answered_port == Some(port)
    }

    /// When a change that was hidden from the node at `hidden_at` counts as known to it, by the calls that have
    /// failed so far.
    pub fn known_at(&self, node: usize, hidden_at: Instant) -> Instant {
        let known_at = hidden_at + KNOWN_AFTER;
        let has_failed_since = |failed_at: Instant| (hidden_at..known_at).contains(&failed_at);
        match self.0[node].get().failed_at {
            Some(failed_at) if has_failed_since(failed_at) => hidden_at + KNOWN_AFTER_FAILED_CALL,
            _ => known_at,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::{ListCalls, KNOWN_AFTER, KNOWN_AFTER_FAILED_CALL};
    use std::time::Duration;
    use tokio::time::Instant;

    /// Only a call of the same node that failed between the end of the watch and the moment at which the change
    /// counts as known postpones that moment.
    #[test]
    fn a_failed_call_since_the_end_of_the_watch_postpones_a_hidden_change() {
        let hidden_at = Instant::now() + Duration::from_secs(60);
        let short = Duration::from_millis(1);
        let cases = [
            (0, hidden_at - short, KNOWN_AFTER),
            (0, hidden_at, KNOWN_AFTER_FAILED_CALL),
            (0, hidden_at + KNOWN_AFTER - short, KNOWN_AFTER_FAILED_CALL),
            (0, hidden_at + KNOWN_AFTER, KNOWN_AFTER),
            (1, hidden_at, KNOWN_AFTER),
        ];
        for (node, failed_at, known_after) in cases {
            let list_calls = ListCalls::new(2);
            list_calls.record_failure(node, failed_at);
            assert_eq!(list_calls.known_at(0, hidden_at), hidden_at + known_after, "{node} {failed_at:?}");
        }
        assert_eq!(ListCalls::new(1).known_at(0, hidden_at), hidden_at + KNOWN_AFTER, "no failed call");
    }

    /// A move of discovery is over for a node once it was answered at the new address; an answer at a former one, to
    /// another node or before the move does not count.
    #[test]
    fn only_an_answer_at_the_present_address_ends_a_move() {
        let list_calls = ListCalls::new(2);
        assert!(!list_calls.was_answered_at(0, 2));
        list_calls.record_answer(0, 1);
        list_calls.record_answer(1, 2);
        assert!(!list_calls.was_answered_at(0, 2));
        list_calls.record_answer(0, 2);
        list_calls.record_failure(0, Instant::now());
        assert!(list_calls.was_answered_at(0, 2));
    }
}
