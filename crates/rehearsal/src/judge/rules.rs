//! The four rules, counted from what clients and backends saw.

use crate::judge::observation::{FinalAnswer, Observation};
use crate::scenario::{CommandEffect, Scenario, Scope};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use yarrowfront::times::{Micros, Timestamp};

/// What broke, with the first cases in words.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Broken {
    /// One whole final answer in time, made for the command.
    pub answers: u64,
    /// No effect twice, and a turn-back's promise.
    pub effects: u64,
    /// Nothing new to a draining or gone backend after the grace.
    pub drains: u64,
    /// A cold backend is not pushed over.
    pub pushes: u64,
    pub crashes: u64,
    /// Of the nodes' views: members called dead that could be reached, portions of more than one, and views that do not
    /// agree or go back.
    #[serde(default)]
    pub deaths: u64,
    #[serde(default)]
    pub portions: u64,
    #[serde(default)]
    pub views: u64,
    pub cases: Vec<String>,
}

impl Broken {
    pub fn any(&self) -> bool {
        self.count() > 0
    }

    /// All that broke, whichever rule it was.
    pub fn count(&self) -> u64 {
        self.answers
            + self.effects
            + self.drains
            + self.pushes
            + self.crashes
            + self.deaths
            + self.portions
            + self.views
    }
}

/// Cases told in words; the rest is only counted.
pub const CASES: usize = 12;
/// A launch may begin so long after its client has left, and a backend may be told so much more time than its client has;
/// and what both trips take.
const LEFT_SLACK: Micros = Micros::from_millis(100);
const TOLD_SLACK: Micros = Micros::from_millis(150);
const TRIPS: Micros = Micros::from_millis(50);
/// An answer may come so much after its time: what a timer and a trip take.
const SLACK: Micros = Micros::from_millis(50);

struct Open {
    command: u64,
    profile: u16,
    node: usize,
    until: Timestamp,
}

/// A cold backend, and the work that came to it of late.
struct Cold {
    started: Timestamp,
    share: f64,
    warm: f64,
    capacity: f64,
    came: VecDeque<(Timestamp, f64)>,
    sum: f64,
}

pub struct RuleJudge {
    origin: Timestamp,
    effects: Vec<(CommandEffect, Scope)>,
    grace: Micros,
    multiple: f64,
    window: Micros,
    open: HashMap<u64, Open>,
    /// Final answers given to tries that are not open any more: a second one is one too many.
    closed: HashMap<u64, Timestamp>,
    /// Tries whose clients have left.
    left: HashMap<u64, Timestamp>,
    /// Effects had by commands that may have one only, and by which try.
    ran: HashMap<u64, Vec<u64>>,
    /// Since when a node knows that a backend takes nothing new.
    unready: BTreeMap<(usize, usize), Timestamp>,
    cold: BTreeMap<usize, Cold>,
    /// Nodes that were killed or stopped: whatever their clients still send there is taken by nobody.
    dead: BTreeSet<usize>,
    pub broken: Broken,
}

impl RuleJudge {
    pub fn new(scenario: &Scenario, origin: Timestamp) -> RuleJudge {
        RuleJudge {
            origin,
            effects: scenario.profiles.iter().map(|p| (p.effect, p.scope)).collect(),
            grace: scenario.allow.drain_grace.span(),
            multiple: scenario.allow.push_over,
            window: scenario.allow.push_span.span(),
            open: HashMap::new(),
            closed: HashMap::new(),
            left: HashMap::new(),
            ran: HashMap::new(),
            unready: BTreeMap::new(),
            cold: BTreeMap::new(),
            dead: BTreeSet::new(),
            broken: Broken::default(),
        }
    }

    fn case(&mut self, at: Timestamp, text: String) {
        if self.broken.cases.len() < CASES {
            self.broken.cases.push(format!("{:.3} s: {text}", at.since(self.origin).as_f64() / 1e6));
        }
    }

    pub fn observe(&mut self, seen: &Observation) {
        match *seen {
            Observation::AttemptReceived { node, .. } if self.dead.contains(&node) => {}
            Observation::AttemptReceived { attempt, command, profile, node, until, .. } => {
                // Its client may have turned to another node.
                self.left.remove(&attempt);
                self.open.insert(attempt, Open { command, profile, node, until });
            }
            Observation::ClientLeft { attempt, at } => {
                self.open.remove(&attempt);
                self.left.insert(attempt, at);
            }
            Observation::Answered { attempt, answer, made_for, at } => {
                self.answered(attempt, answer, made_for, at)
            }
            Observation::ConnectionBroken { attempt, at } => {
                if let Some(open) = self.open.remove(&attempt) {
                    self.broken.answers += 1;
                    self.case(
                        at,
                        format!("command {}: its connection ended without an answer", open.command),
                    );
                }
            }
            Observation::WorkStarted { backend, attempt, command, profile, at, .. } => {
                let effect = self.effects[usize::from(profile)].0;
                if effect != CommandEffect::Repeatable {
                    let ran = self.ran.entry(command).or_default();
                    ran.push(attempt);
                    if ran.len() > 1 {
                        let times = ran.len();
                        self.broken.effects += 1;
                        self.case(
                            at,
                            format!("command {command}: run {times} times, now by backend {backend}"),
                        );
                    }
                }
            }
            Observation::ListEntryDelivered { node, backend, ready, at } => {
                if ready {
                    self.unready.remove(&(node, backend));
                } else {
                    self.unready.entry((node, backend)).or_insert(at);
                }
            }
            Observation::LaunchStarted { node, backend, at, attempt, announced_time_left } => {
                self.launched(attempt, announced_time_left, at);
                let told = self.unready.get(&(node, backend)).copied();
                if let Some(told) = told.filter(|told| at > *told + self.grace) {
                    let late = at.since(told).as_f64() / 1e3;
                    self.broken.drains += 1;
                    self.case(
                        at,
                        format!(
                            "node {node}: launched to backend {backend} {late:.0} ms after it \
                                           was told that it takes nothing"
                        ),
                    );
                }
            }
            Observation::ColdStart { backend, at, share, warm, capacity } => {
                let came = VecDeque::new();
                self.cold.insert(backend, Cold { started: at, share, warm, capacity, came, sum: 0.0 });
            }
            Observation::LaunchReceived { backend, work, at } => self.reached(backend, work, at),
            Observation::BackendCrashed { backend, at } => {
                self.broken.pushes += 1;
                self.case(at, format!("backend {backend} was cold and fell over"));
            }
            Observation::NodeKilled { node, .. } => {
                self.open.retain(|_, open| open.node != node);
                self.dead.insert(node);
            }
            Observation::NodeResumed { node } => drop(self.dead.remove(&node)),
            Observation::NodeStarted { node } => {
                self.unready.retain(|(n, _), _| *n != node);
                self.dead.remove(&node);
            }
            Observation::NodeCrashed { node, at } => {
                self.open.retain(|_, open| open.node != node);
                self.broken.crashes += 1;
                self.case(at, format!("node {node} ended by itself, or did not when it was told to"));
            }
            Observation::CommandDue { .. }
            | Observation::CommandSettled { .. }
            | Observation::ProbeReceived => {}
        }
    }

    fn launched(&mut self, attempt: u64, announced_time_left: Option<Micros>, at: Timestamp) {
        if let Some(left) = self.left.get(&attempt).filter(|left| at > **left + LEFT_SLACK + TRIPS) {
            let late = at.since(*left).as_f64() / 1e3;
            self.broken.answers += 1;
            self.case(at, format!("try {attempt}: launched {late:.0} ms after its client had left"));
        }
        let Some(open) = self.open.get(&attempt) else { return };
        let (Some(told), left) = (announced_time_left, open.until.since(at)) else { return };
        if told > Micros(left.0 + TOLD_SLACK.0 + TRIPS.0) {
            let (told, left) = (told.as_f64() / 1e3, left.as_f64() / 1e3);
            self.broken.answers += 1;
            self.case(
                at,
                format!("try {attempt}: a backend was told {told:.0} ms, its client has {left:.0} ms"),
            );
        }
    }

    fn answered(&mut self, attempt: u64, what: FinalAnswer, made_for: Option<u64>, at: Timestamp) {
        let Some(open) = self.open.remove(&attempt) else {
            if self.closed.contains_key(&attempt) {
                self.broken.answers += 1;
                self.case(at, format!("try {attempt}: a second final answer"));
            }
            return;
        };
        self.closed.insert(attempt, at);
        let command = open.command;
        if at > open.until + SLACK {
            self.broken.answers += 1;
            let late = at.since(open.until).as_f64() / 1e3;
            self.case(at, format!("command {command}: answered {late:.0} ms after its time"));
        }
        if what == FinalAnswer::Finished && made_for != Some(attempt) {
            self.broken.answers += 1;
            self.case(at, format!("command {command}: finished by an answer that was made for another"));
        }
        // A turn-back says that trying again is harmless.
        let (effect, scope) = self.effects[usize::from(open.profile)];
        let bound = match effect {
            CommandEffect::Repeatable => false,
            CommandEffect::Tagged => scope != Scope::All,
            CommandEffect::OnceOnly => true,
        };
        if what == FinalAnswer::Rejected && bound && self.ran.contains_key(&command) {
            self.broken.effects += 1;
            self.case(at, format!("command {command}: turned back though it had run"));
        }
    }

    /// The work that reaches a cold backend within any window, against what it can do at that time.
    fn reached(&mut self, backend: usize, work: f64, at: Timestamp) {
        let (multiple, window) = (self.multiple, self.window);
        let Some(cold) = self.cold.get_mut(&backend) else { return };
        let age = at.since(cold.started).as_f64();
        if age >= cold.warm {
            self.cold.remove(&backend);
            return;
        }
        cold.came.push_back((at, work));
        cold.sum += work;
        while cold.came.front().is_some_and(|(came, _)| at.since(*came) >= window) {
            cold.sum -= cold.came.pop_front().map_or(0.0, |(_, work)| work);
        }
        let now = cold.capacity * (cold.share + (1.0 - cold.share) * age / cold.warm);
        let budget = multiple * now * window.as_f64();
        // Chance is allowed for: the largest few of what came, and a tenth.
        let largest = cold.came.iter().map(|(_, w)| *w).fold(0.0, f64::max);
        let (sum, bound) = (cold.sum, 1.1 * budget + 3.0 * largest);
        if sum > bound {
            // Once for a backend's start, or one push would count for every command that follows.
            self.cold.remove(&backend);
            self.broken.pushes += 1;
            let (sum, budget) = (sum / 1e3, budget / 1e3);
            self.case(
                at,
                format!("backend {backend} was cold: {sum:.0} ms of work came, {budget:.0} are borne"),
            );
        }
    }

    /// What is still open when all is over has never been answered.
    pub fn finish(&mut self, at: Timestamp) {
        let mut left: Vec<u64> =
            self.open.values().filter(|o| at > o.until + SLACK).map(|o| o.command).collect();
        left.sort_unstable();
        for command in left {
            self.broken.answers += 1;
            self.case(at, format!("command {command}: never answered"));
        }
        self.open.clear();
    }
}
