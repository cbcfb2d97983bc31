//! What a node knows of another site: whole, impaired, lost, out of reach from here, returning, and by which evidence.
//!
//! What it promises: no single kind of evidence makes a loss; what explains itself otherwise (a discovery outage, a list that
//! empties itself, this node's own isolation, a deploy, an overload) is none; a state changes only when its evidence has
//! held for its time, and from every state there is a way to `Whole`; memory is the same whatever comes.

use yarrowfront::times::{Micros, Timestamp};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SiteState {
    Healthy,
    /// It serves, and less than it should.
    Impaired,
    /// Nothing of it is there for anybody.
    Lost,
    /// Nothing of it is there for this node; for others it may be.
    Unreachable,
    /// It is there again, cold.
    Returning,
}

impl SiteState {
    pub fn text(self) -> &'static str {
        match self {
            SiteState::Healthy => "whole",
            SiteState::Impaired => "impaired",
            SiteState::Lost => "lost",
            SiteState::Unreachable => "out of reach from here",
            SiteState::Returning => "returning",
        }
    }

    /// Whether anything new may go there.
    pub fn accepts_new_commands(self) -> bool {
        !matches!(self, SiteState::Lost | SiteState::Unreachable)
    }
}

/// What a look finds of one site. Counts of a second or two; none where there is nothing to tell.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evidence {
    /// Of the site's nodes that were ever there: how many the view takes to be here. None without a view.
    pub live_nodes: Option<(u32, u32)>,
    /// This node sees no majority of the fleet, or nobody: what it thinks of others says nothing.
    pub node_is_isolated: bool,
    /// Of the site's backends that were listed before: how many are listed ready now, and how old the list is.
    pub ready_backends: Option<(u32, u32)>,
    pub list_age: Micros,
    /// All sites' backends are gone from the list at once.
    pub list_is_empty: bool,
    /// This node's own launches and dials there: answered in any way, and without any answer (refused, reset, silent).
    pub answered: u32,
    pub unanswered: u32,
    /// The same to all other sites together.
    pub other_sites: (u32, u32),
    /// Of what was answered: late, or full.
    pub slow_answers: u32,
}

/// Why a state is taken, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateReason {
    Answers,
    /// Nodes, list and own launches: two of the three say so, and none the contrary.
    NodesAndLaunches,
    NodesAndList,
    ListAndLaunches,
    /// Its nodes are not seen and nothing is answered, but discovery still lists it: the way is cut.
    PathCut,
    /// This node is the one that is cut off.
    Isolated,
    /// Part of it is gone, or answers late.
    Partial,
    Operator,
    /// Nothing says anything of it.
    NoEvidence,
}

impl StateReason {
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

/// How long evidence has to hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DetectionTimes {
    pub lost: Micros,
    pub impaired: Micros,
    /// Until a lost one that answers again is returning, and a returning one whole.
    pub returning: Micros,
    pub healthy: Micros,
    /// A list older than this says nothing.
    pub max_list_age: Micros,
    /// What an operator has declared is older news after this.
    pub override_lifetime: Micros,
}

impl Default for DetectionTimes {
    /// A loss is known two seconds after its evidence: shorter than clients take to move, longer than a node's stall. Back
    /// and whole by a site that flaps every eight seconds: it stays lost.
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

/// What an operator may say of a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorOverride {
    Lost,
    /// It is not to come back yet.
    HoldLost,
    /// It may, whatever was said before.
    Clear,
}

#[derive(Clone, Debug)]
pub struct SiteDetector {
    times: DetectionTimes,
    pub state: SiteState,
    pub reason: StateReason,
    pub since: Timestamp,
    /// What the evidence has said, without a break since.
    says: (SiteState, Timestamp),
    declared: Option<(OperatorOverride, Timestamp)>,
    /// Returned in full: told by whoever paces it.
    warm: bool,
}

impl SiteDetector {
    pub fn new(now: Timestamp, times: DetectionTimes) -> SiteDetector {
        let (state, why) = (SiteState::Healthy, StateReason::NoEvidence);
        SiteDetector {
            times,
            state,
            reason: why,
            since: now,
            says: (state, now),
            declared: None,
            warm: false,
        }
    }

    pub fn set_override(&mut self, now: Timestamp, word: OperatorOverride) {
        self.declared = (word != OperatorOverride::Clear).then_some((word, now));
    }

    /// The return is through: all of its share is open.
    pub fn on_return_complete(&mut self) {
        self.warm = true;
    }

    /// What the evidence alone says.
    pub fn assess(&self, found: &Evidence) -> (SiteState, StateReason) {
        let all_dead = found.unanswered >= 3 && found.answered == 0;
        let answers = found.answered > 0 && found.answered >= found.unanswered;
        let no_nodes = found.live_nodes.is_some_and(|(here, known)| known > 0 && here == 0);
        let nodes = found.live_nodes.is_some_and(|(here, _)| here > 0);
        let fresh = found.list_age < self.times.max_list_age && !found.list_is_empty;
        let unlisted = fresh && found.ready_backends.is_some_and(|(ready, known)| known > 0 && ready == 0);
        let listed = fresh && found.ready_backends.is_some_and(|(ready, _)| ready > 0);
        let others_dead = found.other_sites.1 >= 3 && found.other_sites.0 == 0;
        if answers {
            // Whatever else is said: it serves.
            let less = |part: (u32, u32)| part.0 * 3 < part.1 * 2;
            let part = found.live_nodes.is_some_and(less)
                || fresh && found.ready_backends.is_some_and(less)
                || found.unanswered * 3 > found.answered
                || found.slow_answers * 2 > found.answered;
            return if part {
                (SiteState::Impaired, StateReason::Partial)
            } else {
                (SiteState::Healthy, StateReason::Answers)
            };
        }
        match () {
            // Its own troubles are no others'.
            () if found.node_is_isolated && (all_dead || no_nodes) => {
                (SiteState::Unreachable, StateReason::Isolated)
            }
            () if others_dead && all_dead => (SiteState::Unreachable, StateReason::Isolated),
            () if no_nodes && all_dead && listed => (SiteState::Unreachable, StateReason::PathCut),
            () if no_nodes && all_dead => (SiteState::Lost, StateReason::NodesAndLaunches),
            () if no_nodes && unlisted => (SiteState::Lost, StateReason::NodesAndList),
            () if unlisted && all_dead => (SiteState::Lost, StateReason::ListAndLaunches),
            // Its nodes live and its backends are gone, or the other way round.
            () if all_dead && nodes => (SiteState::Impaired, StateReason::Partial),
            () if no_nodes && listed => (SiteState::Impaired, StateReason::Partial),
            () if self.state.accepts_new_commands() => (self.state, StateReason::NoEvidence),
            // Nothing is sent to a lost one: what stands against it has to be gone before it is tried.
            () if no_nodes || unlisted || all_dead => (self.state, self.reason),
            () if nodes || listed => (SiteState::Healthy, StateReason::Answers),
            () => (self.state, StateReason::NoEvidence),
        }
    }

    /// Takes in what a look finds; whether the state is another one now.
    pub fn observe(&mut self, now: Timestamp, found: &Evidence) -> bool {
        if self.declared.is_some_and(|(_, at)| now.since(at) >= self.times.override_lifetime) {
            self.declared = None;
        }
        let (says, why) = self.assess(found);
        if self.says.0 != says {
            self.says = (says, now);
        }
        let held = now.since(self.says.1);
        let new = match (self.state, says, self.declared.map(|(word, _)| word)) {
            (_, _, Some(OperatorOverride::Lost)) => (SiteState::Lost, StateReason::Operator),
            (state @ (SiteState::Lost | SiteState::Unreachable), _, Some(OperatorOverride::HoldLost)) => {
                (state, StateReason::Operator)
            }
            (SiteState::Returning, _, Some(OperatorOverride::HoldLost)) => {
                (SiteState::Lost, StateReason::Operator)
            }
            (SiteState::Lost | SiteState::Unreachable, SiteState::Healthy | SiteState::Impaired, _)
                if held >= self.times.returning =>
            {
                (SiteState::Returning, why)
            }
            (SiteState::Lost, SiteState::Unreachable, _) | (SiteState::Unreachable, SiteState::Lost, _)
                if held >= self.times.lost =>
            {
                (says, why)
            }
            (SiteState::Lost | SiteState::Unreachable, _, _) => (self.state, self.reason),
            (_, SiteState::Lost | SiteState::Unreachable, _) if held >= self.times.lost => (says, why),
            (SiteState::Returning, SiteState::Healthy | SiteState::Impaired, _) => {
                match self.warm && now.since(self.since) >= self.times.healthy {
                    true => (says, why),
                    false => (SiteState::Returning, self.reason),
                }
            }
            (SiteState::Healthy, SiteState::Impaired, _) | (SiteState::Impaired, SiteState::Healthy, _)
                if held >= self.times.impaired =>
            {
                (says, why)
            }
            _ => (self.state, self.reason),
        };
        let changed = new.0 != self.state;
        if changed {
            self.since = now;
            self.warm = false;
        }
        (self.state, self.reason) = new;
        changed
    }
}
