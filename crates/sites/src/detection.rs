//! What a node knows of another site: whole, impaired, lost, out of reach from here, returning, and by which evidence.
//!
//! What it promises: no single kind of evidence makes a loss; what explains itself otherwise (a discovery outage, a list that
//! empties itself, this node's own isolation, a deploy, an overload) is none; a state changes only when its evidence has
//! held for its time, and from every state there is a way to `Whole`; memory is the same whatever comes.

use yarrowfront::times::{Moment, Span};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    Whole,
    /// It serves, and less than it should.
    Impaired,
    /// Nothing of it is there for anybody.
    Lost,
    /// Nothing of it is there for this node; for others it may be.
    Unreachable,
    /// It is there again, cold.
    Returning,
}

impl State {
    pub fn word(self) -> &'static str {
        match self {
            State::Whole => "whole",
            State::Impaired => "impaired",
            State::Lost => "lost",
            State::Unreachable => "out of reach from here",
            State::Returning => "returning",
        }
    }

    /// Whether anything new may go there.
    pub fn takes(self) -> bool {
        !matches!(self, State::Lost | State::Unreachable)
    }
}

/// What a look finds of one site. Counts of a second or two; none where there is nothing to tell.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evidence {
    /// Of the site's nodes that were ever there: how many the view takes to be here. None without a view.
    pub nodes: Option<(u32, u32)>,
    /// This node sees no majority of the fleet, or nobody: what it thinks of others says nothing.
    pub isolated: bool,
    /// Of the site's backends that were listed before: how many are listed ready now, and how old the list is.
    pub listed: Option<(u32, u32)>,
    pub list_age: Span,
    /// All sites' backends are gone from the list at once.
    pub emptied: bool,
    /// This node's own launches and dials there: answered in any way, and without any answer (refused, reset, silent).
    pub answered: u32,
    pub dead: u32,
    /// The same to all other sites together.
    pub elsewhere: (u32, u32),
    /// Of what was answered: late, or full.
    pub slow: u32,
}

/// Why a state is taken, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    Answers,
    /// Nodes, list and own launches: two of the three say so, and none the contrary.
    NodesAndLaunches,
    NodesAndList,
    ListAndLaunches,
    /// Its nodes are not seen and nothing is answered, but discovery still lists it: the way is cut.
    OnlyFromHere,
    /// This node is the one that is cut off.
    Isolated,
    /// Part of it is gone, or answers late.
    Part,
    Declared,
    /// Nothing says anything of it.
    Nothing,
}

impl Why {
    pub fn word(self) -> &'static str {
        match self {
            Why::Answers => "it answers",
            Why::NodesAndLaunches => "its nodes are not seen, and nothing is answered",
            Why::NodesAndList => "its nodes are not seen, and discovery lists none of its backends",
            Why::ListAndLaunches => "discovery lists none of its backends, and nothing is answered",
            Why::OnlyFromHere => "nothing of it is reached, but discovery lists it: the way is cut",
            Why::Isolated => "this node reaches nobody: it is the one that is cut off",
            Why::Part => "a part of it is gone, or answers late",
            Why::Declared => "an operator has said so",
            Why::Nothing => "nothing says anything of it",
        }
    }
}

/// How long evidence has to hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    pub lost: Span,
    pub impaired: Span,
    /// Until a lost one that answers again is returning, and a returning one whole.
    pub back: Span,
    pub whole: Span,
    /// A list older than this says nothing.
    pub list: Span,
    /// What an operator has declared is older news after this.
    pub declared: Span,
}

impl Default for Times {
    /// A loss is known two seconds after its evidence: shorter than clients take to move, longer than a node's stall. Back
    /// and whole by a site that flaps every eight seconds: it stays lost.
    fn default() -> Times {
        Times {
            lost: Span::millis(2000),
            impaired: Span::millis(3000),
            back: Span::millis(5000),
            whole: Span::millis(20_000),
            list: Span::millis(10_000),
            declared: Span::millis(3_600_000),
        }
    }
}

/// What an operator may say of a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    Lost,
    /// It is not to come back yet.
    Held,
    /// It may, whatever was said before.
    Free,
}

#[derive(Clone, Debug)]
pub struct Knowing {
    times: Times,
    pub state: State,
    pub why: Why,
    pub since: Moment,
    /// What the evidence has said, without a break since.
    says: (State, Moment),
    declared: Option<(Word, Moment)>,
    /// Returned in full: told by whoever paces it.
    warm: bool,
}

impl Knowing {
    pub fn new(now: Moment, times: Times) -> Knowing {
        let (state, why) = (State::Whole, Why::Nothing);
        Knowing { times, state, why, since: now, says: (state, now), declared: None, warm: false }
    }

    pub fn declare(&mut self, now: Moment, word: Word) {
        self.declared = (word != Word::Free).then_some((word, now));
    }

    /// The return is through: all of its share is open.
    pub fn returned(&mut self) {
        self.warm = true;
    }

    /// What the evidence alone says.
    pub fn weigh(&self, found: &Evidence) -> (State, Why) {
        let all_dead = found.dead >= 3 && found.answered == 0;
        let answers = found.answered > 0 && found.answered >= found.dead;
        let no_nodes = found.nodes.is_some_and(|(here, known)| known > 0 && here == 0);
        let nodes = found.nodes.is_some_and(|(here, _)| here > 0);
        let fresh = found.list_age < self.times.list && !found.emptied;
        let unlisted = fresh && found.listed.is_some_and(|(ready, known)| known > 0 && ready == 0);
        let listed = fresh && found.listed.is_some_and(|(ready, _)| ready > 0);
        let others_dead = found.elsewhere.1 >= 3 && found.elsewhere.0 == 0;
        if answers {
            // Whatever else is said: it serves.
            let less = |part: (u32, u32)| part.0 * 3 < part.1 * 2;
            let part = found.nodes.is_some_and(less)
                || fresh && found.listed.is_some_and(less)
                || found.dead * 3 > found.answered
                || found.slow * 2 > found.answered;
            return if part { (State::Impaired, Why::Part) } else { (State::Whole, Why::Answers) };
        }
        match () {
            // Its own troubles are no others'.
            () if found.isolated && (all_dead || no_nodes) => (State::Unreachable, Why::Isolated),
            () if others_dead && all_dead => (State::Unreachable, Why::Isolated),
            () if no_nodes && all_dead && listed => (State::Unreachable, Why::OnlyFromHere),
            () if no_nodes && all_dead => (State::Lost, Why::NodesAndLaunches),
            () if no_nodes && unlisted => (State::Lost, Why::NodesAndList),
            () if unlisted && all_dead => (State::Lost, Why::ListAndLaunches),
            // Its nodes live and its backends are gone, or the other way round.
            () if all_dead && nodes => (State::Impaired, Why::Part),
            () if no_nodes && listed => (State::Impaired, Why::Part),
            () if self.state.takes() => (self.state, Why::Nothing),
            // Nothing is sent to a lost one: what stands against it has to be gone before it is tried.
            () if no_nodes || unlisted || all_dead => (self.state, self.why),
            () if nodes || listed => (State::Whole, Why::Answers),
            () => (self.state, Why::Nothing),
        }
    }

    /// Takes in what a look finds; whether the state is another one now.
    pub fn look(&mut self, now: Moment, found: &Evidence) -> bool {
        if self.declared.is_some_and(|(_, at)| now.since(at) >= self.times.declared) {
            self.declared = None;
        }
        let (says, why) = self.weigh(found);
        if self.says.0 != says {
            self.says = (says, now);
        }
        let held = now.since(self.says.1);
        let new = match (self.state, says, self.declared.map(|(word, _)| word)) {
            (_, _, Some(Word::Lost)) => (State::Lost, Why::Declared),
            (state @ (State::Lost | State::Unreachable), _, Some(Word::Held)) => (state, Why::Declared),
            (State::Returning, _, Some(Word::Held)) => (State::Lost, Why::Declared),
            (State::Lost | State::Unreachable, State::Whole | State::Impaired, _)
                if held >= self.times.back =>
            {
                (State::Returning, why)
            }
            (State::Lost, State::Unreachable, _) | (State::Unreachable, State::Lost, _)
                if held >= self.times.lost =>
            {
                (says, why)
            }
            (State::Lost | State::Unreachable, _, _) => (self.state, self.why),
            (_, State::Lost | State::Unreachable, _) if held >= self.times.lost => (says, why),
            (State::Returning, State::Whole | State::Impaired, _) => {
                match self.warm && now.since(self.since) >= self.times.whole {
                    true => (says, why),
                    false => (State::Returning, self.why),
                }
            }
            (State::Whole, State::Impaired, _) | (State::Impaired, State::Whole, _)
                if held >= self.times.impaired =>
            {
                (says, why)
            }
            _ => (self.state, self.why),
        };
        let changed = new.0 != self.state;
        if changed {
            self.since = now;
            self.warm = false;
        }
        (self.state, self.why) = new;
        changed
    }
}
