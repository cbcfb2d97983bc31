//! The invariants of what leaves this process, checked once more where it leaves: a launch that is written, a connection that
//! is closed, a process that starts or ends. What is checked here was decided elsewhere, by other code and in part from other
//! data; a violation is therefore a fault in the program. It is counted and logged, and what would violate the invariant is
//! not done if it can still be left undone.

use crate::log::log;
use crate::metrics::{count, Counter};
use std::fmt::{self, Display, Formatter};
use std::time::Duration;
use yarrowfront::command::LaunchState;
use yarrowfront::ids::{GroupId, ZoneId};
use yarrowfront::settings::{DedupScope, Idempotency};
use yarrowfront::times::{Micros, Timestamp};

/// An invariant that would be, or has been, violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A launch for a client that has its answer or has left.
    SentForNobody,
    /// A launch after the client's time.
    SentAfterDeadline,
    /// A launch to a backend that has been draining or gone for longer than the grace.
    SentToDrained,
    /// A launch that tells the backend of more time than the client has left.
    ToldTooMuch,
    /// A launch that the class of the command does not allow beside the earlier ones.
    RepeatNotAllowed,
    /// More launches of a command than the settings allow, or two at the same time where one is allowed.
    TooManyLaunches,
    /// A connection that is closed although its client waits for an answer.
    ClosedUnanswered,
    /// A process that ends although clients wait for answers.
    EndedUnanswered,
    /// A process that accepts commands although the one before it may still do so.
    StartedBesideAnother,
}

impl Display for Violation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Violation::SentForNobody => "a launch for a client that does not wait any more",
            Violation::SentAfterDeadline => "a launch after its client's time",
            Violation::SentToDrained => "a launch to a backend that takes nothing new",
            Violation::ToldTooMuch => "a backend told of more time than its client has left",
            Violation::RepeatNotAllowed => "a launch that may have its effect twice",
            Violation::TooManyLaunches => "more launches than the settings allow",
            Violation::ClosedUnanswered => "a connection closed before its answer",
            Violation::EndedUnanswered => "an end before all answers",
            Violation::StartedBesideAnother => "a start beside a process that may still accept commands",
        })
    }
}

impl Violation {
    fn counter(self) -> Counter {
        match self {
            Violation::SentForNobody
            | Violation::SentAfterDeadline
            | Violation::SentToDrained
            | Violation::ToldTooMuch => Counter::SendViolations,
            Violation::RepeatNotAllowed | Violation::TooManyLaunches => Counter::RepeatViolations,
            Violation::ClosedUnanswered | Violation::EndedUnanswered => Counter::CloseViolations,
            Violation::StartedBesideAnother => Counter::StartViolations,
        }
    }
}

/// Counts and logs a violation.
pub fn report(violation: Violation, what: &str) {
    count(violation.counter());
    log!("invariant violated: {violation}: {what}");
}

/// A launch of the same command before the one that is checked.
#[derive(Clone, Copy, Debug)]
pub struct EarlierLaunch {
    pub state: LaunchState,
    pub zone: ZoneId,
    pub group: GroupId,
    pub sent_at: Timestamp,
}

/// What is known of a launch at the moment before it is written.
#[derive(Clone, Debug)]
pub struct LaunchFacts {
    pub now: Timestamp,
    /// The client has its answer or has left.
    pub client_done: bool,
    /// When the client's time is over; `None` while its request is still arriving.
    pub deadline: Option<Timestamp>,
    /// Since when the backend is known to be draining or gone, and for how long it may still get launches.
    pub not_ready_since: Option<Timestamp>,
    pub drain_grace: Micros,
    pub zone: ZoneId,
    pub group: GroupId,
    pub earlier: Vec<EarlierLaunch>,
    pub idempotency: Idempotency,
    pub dedup_scope: DedupScope,
    pub dedup_window: Micros,
    pub max_launches: usize,
    pub concurrent_launches_allowed: bool,
}

impl LaunchFacts {
    /// The invariant that writing this launch would violate, if any.
    pub fn violation(&self) -> Option<Violation> {
        let drained = self.not_ready_since.is_some_and(|since| self.now > since + self.drain_grace);
        let in_flight = |launch: &EarlierLaunch| launch.state == LaunchState::InFlight;
        let is_second_in_flight = !self.concurrent_launches_allowed && self.earlier.iter().any(in_flight);
        match () {
            () if self.client_done => Some(Violation::SentForNobody),
            () if self.deadline.is_some_and(|deadline| self.now > deadline) => {
                Some(Violation::SentAfterDeadline)
            }
            () if drained => Some(Violation::SentToDrained),
            () if self.earlier.len() >= self.max_launches || is_second_in_flight => {
                Some(Violation::TooManyLaunches)
            }
            () if !self.earlier.iter().all(|earlier| self.may_follow(earlier)) => {
                Some(Violation::RepeatNotAllowed)
            }
            () => None,
        }
    }

    /// Whether the class of the command allows this launch after that one.
    fn may_follow(&self, earlier: &EarlierLaunch) -> bool {
        if earlier.state == LaunchState::NotRun {
            return true;
        }
        let is_same_scope = match self.dedup_scope {
            DedupScope::All => true,
            DedupScope::Zone => earlier.zone == self.zone,
            DedupScope::Group => earlier.group == self.group,
        };
        match self.idempotency {
            Idempotency::Repeatable => true,
            Idempotency::ByKey => is_same_scope && self.now < earlier.sent_at + self.dedup_window,
            Idempotency::Once => false,
        }
    }
}

/// The time to tell a backend: no more than the client has left.
pub fn time_to_tell(told: Duration, left: Duration) -> Duration {
    if told > left {
        report(Violation::ToldTooMuch, &format!("{} of {} ms", told.as_millis(), left.as_millis()));
    }
    told.min(left)
}

#[cfg(test)]
mod tests {
    use super::{EarlierLaunch, LaunchFacts, Violation};
    use yarrowfront::command::LaunchState::{self, InFlight, MayHaveRun, NotRun};
    use yarrowfront::ids::{GroupId, ZoneId};
    use yarrowfront::settings::{DedupScope, Idempotency};
    use yarrowfront::times::{Micros, Timestamp};

    const NOW: Timestamp = Timestamp(10_000_000);

    fn facts(
        idempotency: Idempotency,
        dedup_scope: DedupScope,
        earlier: &[(LaunchState, u16, u64)],
    ) -> LaunchFacts {
        let earlier = earlier.iter().map(|(state, group, sent_at)| EarlierLaunch {
            state: *state,
            zone: ZoneId(0),
            group: GroupId(*group),
            sent_at: Timestamp(*sent_at),
        });
        LaunchFacts {
            now: NOW,
            client_done: false,
            deadline: Some(Timestamp(11_000_000)),
            not_ready_since: None,
            drain_grace: Micros(500_000),
            zone: ZoneId(0),
            group: GroupId(1),
            earlier: earlier.collect(),
            idempotency,
            dedup_scope,
            dedup_window: Micros(1_000_000),
            max_launches: 3,
            concurrent_launches_allowed: true,
        }
    }

    /// Guards against a class of commands whose effect may happen twice: what each class allows after which launches.
    #[test]
    fn repeats_are_bound_by_the_class() {
        use DedupScope::{All, Group};
        use Idempotency::{ByKey, Once, Repeatable};
        let (recent, old) = (9_500_000, 8_500_000);
        let cases = [
            (Once, All, vec![], None),
            (Once, All, vec![(NotRun, 1, recent), (NotRun, 2, recent)], None),
            (Once, All, vec![(InFlight, 1, recent)], Some(Violation::RepeatNotAllowed)),
            (Once, All, vec![(MayHaveRun, 1, recent)], Some(Violation::RepeatNotAllowed)),
            (Repeatable, All, vec![(MayHaveRun, 2, old), (InFlight, 3, old)], None),
            (ByKey, All, vec![(MayHaveRun, 2, recent)], None),
            (ByKey, All, vec![(MayHaveRun, 2, old)], Some(Violation::RepeatNotAllowed)),
            (ByKey, Group, vec![(MayHaveRun, 1, recent)], None),
            (ByKey, Group, vec![(MayHaveRun, 2, recent)], Some(Violation::RepeatNotAllowed)),
            (ByKey, Group, vec![(NotRun, 2, old)], None),
            (Repeatable, All, vec![(NotRun, 1, recent); 3], Some(Violation::TooManyLaunches)),
        ];
        for (number, (idempotency, scope, earlier, expected)) in cases.into_iter().enumerate() {
            assert_eq!(facts(idempotency, scope, &earlier).violation(), expected, "case {number}");
        }
    }

    /// Guards against launches for nobody, too late, to backends that take nothing, and two at once where one is allowed.
    #[test]
    fn launches_are_bound_by_client_backend_and_settings() {
        type Change = fn(&mut LaunchFacts);
        let cases: [(Change, Option<Violation>); 6] = [
            (|facts| facts.client_done = true, Some(Violation::SentForNobody)),
            (|facts| facts.deadline = Some(Timestamp(9_999_999)), Some(Violation::SentAfterDeadline)),
            (|facts| facts.deadline = None, None),
            (|facts| facts.not_ready_since = Some(Timestamp(9_400_000)), Some(Violation::SentToDrained)),
            (|facts| facts.not_ready_since = Some(Timestamp(9_600_000)), None),
            (|facts| facts.concurrent_launches_allowed = false, Some(Violation::TooManyLaunches)),
        ];
        for (number, (change, expected)) in cases.into_iter().enumerate() {
            let mut facts = facts(Idempotency::Repeatable, DedupScope::All, &[(InFlight, 1, 9_900_000)]);
            change(&mut facts);
            assert_eq!(facts.violation(), expected, "case {number}");
        }
    }
}
