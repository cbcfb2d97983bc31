//! State of another site as this node knows it (healthy, impaired, lost, unreachable from here, returning) and the
//! evidence for it.
//!
//! Guarantees: no single kind of evidence makes a site lost. Evidence with another explanation does not count (a
//! discovery outage, a list that empties, this node's own isolation, a deploy, an overload). The state changes only
//! after its evidence has held for a time, every state leads back to `Healthy`, and memory use is constant.

use yarrowfront::times::{Micros, Timestamp};

/// State of a site, as seen from this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SiteState {
    Healthy,
    /// It serves, but less than it should.
    Impaired,
    /// No node can reach any of it.
    Lost,
    /// This node cannot reach any of it; other nodes may.
    Unreachable,
    /// It can be reached again, and is cold.
    Returning,
}

impl SiteState {
    /// Its name in the admin API and the log.
    pub fn text(self) -> &'static str {
        match self {
            SiteState::Healthy => "whole",
            SiteState::Impaired => "impaired",
            SiteState::Lost => "lost",
            SiteState::Unreachable => "out of reach from here",
            SiteState::Returning => "returning",
        }
    }

    /// Whether new commands may go there.
    pub fn accepts_new_commands(self) -> bool {
        !matches!(self, SiteState::Lost | SiteState::Unreachable)
    }
}

/// Evidence on one site from one observation. Counts cover one or two seconds; `None` where nothing is known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evidence {
    /// Nodes of the site that the membership view has alive, and all that it has ever had. `None` without a view.
    pub live_nodes: Option<(u32, u32)>,
    /// This node sees no majority of the fleet, or no other node, so its own view of others does not count.
    pub node_is_isolated: bool,
    /// Backends of the site that are listed as ready now, and all that were listed before.
    pub ready_backends: Option<(u32, u32)>,
    /// Age of the backend list.
    pub list_age: Micros,
    /// The backends of all sites have disappeared from the list at once.
    pub list_is_empty: bool,
    /// This node's launches and dials there that got any answer.
    pub answered: u32,
    /// This node's launches and dials there without an answer: refused, reset or silent.
    pub unanswered: u32,
    /// The same for all other sites together: answered and unanswered.
    pub other_sites: (u32, u32),
    /// Answers that were late, or refused as full.
    pub slow_answers: u32,
}

/// Reason for a state, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateReason {
    Answers,
    /// This and the next two: two of the three kinds of evidence (nodes, list, launches) indicate a loss, and neither the
    /// list nor the launches contradict it.
    NodesAndLaunches,
    NodesAndList,
    ListAndLaunches,
    /// Its nodes are not seen and nothing is answered, but discovery still lists it: the network path is cut.
    PathCut,
    /// This node itself is cut off.
    Isolated,
    /// Part of it is gone, or answers late.
    Partial,
    Operator,
    /// There is no evidence.
    NoEvidence,
}

impl StateReason {
    /// Its text in the admin API and the log.
    pub fn text(self) -> &'static str {
        match self {
            StateReason::Answers => "it answers",
            StateReason::NodesAndLaunches => "its nodes are not seen, and nothing is answered",
            StateReason::NodesAndList => "its nodes are not seen, and discovery lists none of its backends",
            StateReason::ListAndLaunches => "discovery lists none of its backends, and nothing is answered",
            StateReason::PathCut => "nothing of it is reached, but discovery lists it: the way is cut",
            StateReason::Isolated => "this node reaches nobody: it is the one that is cut off",
            StateReason::Partial => "a part of it is gone, or answers late",
            StateReason::Operator => "an operator has said so",
            StateReason::NoEvidence => "nothing says anything of it",
        }
    }
}

/// How long evidence has to hold before the state follows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DetectionTimes {
    pub lost: Micros,
    pub impaired: Micros,
    /// For a lost site that answers again, until it counts as returning.
    pub returning: Micros,
    /// For a returning site, until it counts as healthy.
    pub healthy: Micros,
    /// A list older than this is no evidence.
    pub max_list_age: Micros,
    /// Time after which an operator's override expires.
    pub override_lifetime: Micros,
}

impl Default for DetectionTimes {
    /// A loss is known after two seconds of evidence: less than clients take to move, more than a node's stall. The
    /// times to return keep a site that flaps every eight seconds lost.
    fn default() -> DetectionTimes {
        DetectionTimes {
            lost: Micros::from_millis(2000),
            impaired: Micros::from_millis(3000),
            returning: Micros::from_millis(5000),
            healthy: Micros::from_millis(20_000),
            max_list_age: Micros::from_millis(10_000),
            override_lifetime: Micros::from_millis(3_600_000),
        }
    }
}

/// An operator's override of a site's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorOverride {
    Lost,
    /// A lost site stays lost.
    HoldLost,
    /// Removes the override.
    Clear,
}

/// State of one other site, with the evidence that led to it.
#[derive(Clone, Debug)]
pub struct SiteDetector {
    times: DetectionTimes,
    pub state: SiteState,
    pub reason: StateReason,
    pub since: Timestamp,
    /// What the evidence says, and since when without interruption.
    assessed: (SiteState, Timestamp),
    operator_override: Option<(OperatorOverride, Timestamp)>,
    /// The site's whole load is admitted again, as reported through `on_return_complete`.
    is_return_complete: bool,
}

impl SiteDetector {
    pub fn new(now: Timestamp, times: DetectionTimes) -> SiteDetector {
        let (state, reason) = (SiteState::Healthy, StateReason::NoEvidence);
        SiteDetector {
            times,
            state,
            reason,
            since: now,
            assessed: (state, now),
            operator_override: None,
            is_return_complete: false,
        }
    }

    pub fn set_override(&mut self, now: Timestamp, operator_override: OperatorOverride) {
        self.operator_override =
            (operator_override != OperatorOverride::Clear).then_some((operator_override, now));
    }

    /// Called when the return is complete, so that the site's whole load is admitted.
    pub fn on_return_complete(&mut self) {
        self.is_return_complete = true;
    }

    /// State and reason by the evidence alone.
    pub fn assess(&self, evidence: &Evidence) -> (SiteState, StateReason) {
        let none_answered = evidence.unanswered >= 3 && evidence.answered == 0;
        let is_answering = evidence.answered > 0 && evidence.answered >= evidence.unanswered;
        let no_live_nodes = evidence.live_nodes.is_some_and(|(here, known)| known > 0 && here == 0);
        let has_live_nodes = evidence.live_nodes.is_some_and(|(here, _)| here > 0);
        let list_is_usable = evidence.list_age < self.times.max_list_age && !evidence.list_is_empty;
        let no_ready_backends =
            list_is_usable && evidence.ready_backends.is_some_and(|(ready, known)| known > 0 && ready == 0);
        let has_ready_backends =
            list_is_usable && evidence.ready_backends.is_some_and(|(ready, _)| ready > 0);
        let others_unanswered = evidence.other_sites.1 >= 3 && evidence.other_sites.0 == 0;
        if is_answering {
            // The site answers, so it serves, whatever else the evidence says.
            let below_two_thirds = |counts: (u32, u32)| counts.0 * 3 < counts.1 * 2;
            let is_partial = evidence.live_nodes.is_some_and(below_two_thirds)
                || list_is_usable && evidence.ready_backends.is_some_and(below_two_thirds)
                || evidence.unanswered * 3 > evidence.answered
                || evidence.slow_answers * 2 > evidence.answered;
            return if is_partial {
                (SiteState::Impaired, StateReason::Partial)
            } else {
                (SiteState::Healthy, StateReason::Answers)
            };
        }
        match () {
            // This node's own problems are not the other site's.
            () if evidence.node_is_isolated && (none_answered || no_live_nodes) => {
                (SiteState::Unreachable, StateReason::Isolated)
            }
            () if others_unanswered && none_answered => (SiteState::Unreachable, StateReason::Isolated),
            () if no_live_nodes && none_answered && has_ready_backends => {
                (SiteState::Unreachable, StateReason::PathCut)
            }
            () if no_live_nodes && none_answered => (SiteState::Lost, StateReason::NodesAndLaunches),
            () if no_live_nodes && no_ready_backends => (SiteState::Lost, StateReason::NodesAndList),
            () if no_ready_backends && none_answered => (SiteState::Lost, StateReason::ListAndLaunches),
            // Its nodes are alive and its backends are gone, or the other way round.
            () if none_answered && has_live_nodes => (SiteState::Impaired, StateReason::Partial),
            () if no_live_nodes && has_ready_backends => (SiteState::Impaired, StateReason::Partial),
            () if self.state.accepts_new_commands() => (self.state, StateReason::NoEvidence),
            // Nothing is sent to a lost site, so the evidence against it has to disappear before it is tried again.
            () if no_live_nodes || no_ready_backends || none_answered => (self.state, self.reason),
            () if has_live_nodes || has_ready_backends => (SiteState::Healthy, StateReason::Answers),
            () => (self.state, StateReason::NoEvidence),
        }
    }

    /// Takes in evidence; returns whether the state has changed.
    pub fn observe(&mut self, now: Timestamp, evidence: &Evidence) -> bool {
        if self.operator_override.is_some_and(|(_, at)| now.since(at) >= self.times.override_lifetime) {
            self.operator_override = None;
        }
        let (assessed, reason) = self.assess(evidence);
        if self.assessed.0 != assessed {
            self.assessed = (assessed, now);
        }
        let held_for = now.since(self.assessed.1);
        let next = match (
            self.state,
            assessed,
            self.operator_override.map(|(operator_override, _)| operator_override),
        ) {
            (_, _, Some(OperatorOverride::Lost)) => (SiteState::Lost, StateReason::Operator),
            (state @ (SiteState::Lost | SiteState::Unreachable), _, Some(OperatorOverride::HoldLost)) => {
                (state, StateReason::Operator)
            }
            (SiteState::Returning, _, Some(OperatorOverride::HoldLost)) => {
                (SiteState::Lost, StateReason::Operator)
            }
            (SiteState::Lost | SiteState::Unreachable, SiteState::Healthy | SiteState::Impaired, _)
                if held_for >= self.times.returning =>
            {
                (SiteState::Returning, reason)
            }
            (SiteState::Lost, SiteState::Unreachable, _) | (SiteState::Unreachable, SiteState::Lost, _)
                if held_for >= self.times.lost =>
            {
                (assessed, reason)
            }
            (SiteState::Lost | SiteState::Unreachable, _, _) => (self.state, self.reason),
            (_, SiteState::Lost | SiteState::Unreachable, _) if held_for >= self.times.lost => {
                (assessed, reason)
            }
            (SiteState::Returning, SiteState::Healthy | SiteState::Impaired, _) => {
                match self.is_return_complete && now.since(self.since) >= self.times.healthy {
                    true => (assessed, reason),
                    false => (SiteState::Returning, self.reason),
                }
            }
            (SiteState::Healthy, SiteState::Impaired, _) | (SiteState::Impaired, SiteState::Healthy, _)
                if held_for >= self.times.impaired =>
            {
                (assessed, reason)
            }
            _ => (self.state, self.reason),
        };
        let has_changed = next.0 != self.state;
        if has_changed {
            self.since = now;
            self.is_return_complete = false;
        }
        (self.state, self.reason) = next;
        has_changed
    }
}
