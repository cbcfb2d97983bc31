//! A fleet on a virtual clock: nodes that serve by a law, take changes and are lost, around the real `Lead`. For the
//! figures of `docs/rollout.md` and the search of small worlds.

use crate::journal::{Deed, Record};
use crate::lead::{Came, Lead, Phase};
use crate::plan::{NodeId, Plan};
use crate::seen::{Here, OnTrial, Second, Tally, Told};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Binomial, Distribution, Normal, Poisson};
use std::collections::BTreeMap;
use yarrowfront::times::{Micros, Timestamp};

pub const FORMER: &str = "former";
pub const NEW: &str = "new";

/// What a change does to a node that has it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Harm {
    /// Commands that are no longer served in time, of a hundred; of one profile alone where it says so.
    pub points: f64,
    pub profile: Option<usize>,
    /// From so many seconds after the change on.
    pub after: f64,
    /// It shows as errors, turn-backs, or else as lateness.
    pub as_errors: bool,
    pub as_turn_backs: bool,
    /// A second run in so many commands.
    pub twice: f64,
}

/// How nodes serve.
#[derive(Clone, Copy, Debug)]
pub struct Law {
    /// Commands a second at each node; of three profiles, one in two, three in ten and one in five.
    pub rate: f64,
    /// Served in time, and how much that wanders with the hour for all, a second's worth for all, for each node and
    /// second, and for each node for good; in points.
    pub served: f64,
    pub hour: f64,
    pub second: f64,
    pub each: f64,
    pub own: f64,
    /// All serve so many points less from this second on, for so long.
    pub outage: Option<(u64, u64, f64)>,
}

impl Default for Law {
    fn default() -> Law {
        Law { rate: 40.0, served: 96.0, hour: 0.15, second: 1.0, each: 1.0, own: 0.1, outage: None }
    }
}

/// A node of the play.
#[derive(Clone, Debug)]
struct Process {
    new: bool,
    /// On trial until then; for good where there is none.
    trial: Option<Timestamp>,
    changed: Option<Timestamp>,
    life: u64,
    up: bool,
    silent: Option<Timestamp>,
    own: f64,
    seconds: Vec<Second>,
}

/// What came of a play.
#[derive(Clone, Debug)]
pub struct End {
    pub phase: Phase,
    /// The stage in which it went back, or how many it had.
    pub stage: usize,
    pub seconds: f64,
    /// Commands that changed nodes took, and payoff that was lost by the change, in commands' worth.
    pub commands: f64,
    pub lost: f64,
    pub why: String,
}

pub struct Play {
    pub now: Timestamp,
    pub lead: Lead,
    pub law: Law,
    pub harm: Harm,
    nodes: Vec<Process>,
    /// How long a trial goes on without a word.
    word: Micros,
    /// Where the fleet stands by the hour, in points.
    hour: f64,
    chance: ChaCha8Rng,
    pub commands: f64,
    pub lost: f64,
    pub journal: Vec<Record>,
    pub why: String,
    /// Trials that were over for want of a word, at nodes that could be reached.
    pub lapsed: usize,
}

const PROFILES: [(&str, f64); 3] = [("list", 0.5), ("book", 0.3), ("pay", 0.2)];

impl Play {
    pub fn new(plan: Plan, law: Law, harm: Harm, seed: u64) -> Play {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let mut draw = |deviation: f64| Normal::new(0.0, deviation).map_or(0.0, |n| n.sample(&mut chance));
        let process = |_| Process {
            new: false,
            trial: None,
            changed: None,
            life: 1,
            up: true,
            silent: None,
            own: draw(law.own),
            seconds: Vec::new(),
        };
        let nodes = (0..plan.nodes.len()).map(process).collect();
        let word = plan.times.word;
        let lead = Lead::new(plan, FORMER, NEW);
        let (now, journal, why) = (Timestamp(1_000_000_000), Vec::new(), String::new());
        let (hour, commands, lost, lapsed) = (0.0, 0.0, 0.0, 0);
        Play { now, lead, law, harm, nodes, word, hour, chance, commands, lost, journal, why, lapsed }
    }

    fn draw(&mut self, deviation: f64) -> f64 {
        Normal::new(0.0, deviation).map_or(0.0, |normal| normal.sample(&mut self.chance))
    }

    fn some(&mut self, of: u32, share: f64) -> u32 {
        let drawn = Binomial::new(u64::from(of), share.clamp(0.0, 1.0)).map(|b| b.sample(&mut self.chance));
        drawn.map_or(0, |n| n as u32)
    }

    /// A second of everybody's work.
    fn serve(&mut self) {
        self.hour += self.draw(self.law.hour) - self.hour / 600.0;
        let all = self.draw(self.law.second);
        let at = self.now.0 / 1_000_000;
        let outage = self.law.outage.filter(|(from, long, _)| (*from..from + long).contains(&at));
        let outage = outage.map_or(0.0, |(_, _, points)| points);
        for place in 0..self.nodes.len() {
            let each = self.draw(self.law.each);
            let node = &self.nodes[place];
            if !node.up || node.silent.is_some_and(|until| until > self.now) {
                continue;
            }
            let since = node.changed.filter(|_| node.new);
            let harmed = since.is_some_and(|at| self.now.since(at).as_f64() / 1e6 >= self.harm.after);
            let (own, new) = (node.own, node.new);
            let served = self.law.served + self.hour + all + each + own - outage;
            let mut second = Second { at, ..Second::default() };
            for (profile, (name, part)) in PROFILES.iter().enumerate() {
                let mean = self.law.rate * part;
                let taken = Poisson::new(mean).map_or(0.0, |p| p.sample(&mut self.chance)) as u32;
                let hit = harmed && self.harm.profile.is_none_or(|only| only == profile);
                let in_goal = self.some(taken, served / 100.0);
                let spoilt = if hit { self.some(in_goal, self.harm.points / 100.0) } else { 0 };
                let twice = if hit { self.some(taken, self.harm.twice) } else { 0 };
                let late = taken - in_goal;
                let mut tally =
                    Tally { taken, launches: taken, twice, in_goal: in_goal - spoilt, ..Tally::default() };
                (tally.late, tally.errored) = (late - late / 2, late / 2);
                match () {
                    () if self.harm.as_errors => tally.errored += spoilt,
                    () if self.harm.as_turn_backs => tally.turned_back += spoilt,
                    () => tally.late += spoilt,
                }
                tally.asked = f64::from(taken);
                tally.served = f64::from(tally.in_goal);
                if new {
                    self.commands += f64::from(taken);
                    self.lost += f64::from(spoilt);
                }
                second.profiles.insert((*name).to_owned(), tally);
            }
            let finished: u32 = second.profiles.values().map(|t| t.in_goal + t.late).sum();
            let slow = self.some(finished, 0.04 + (100.0 - served).max(0.0) / 400.0);
            second.times = vec![(10_000, finished - slow), (400_000, slow)];
            self.nodes[place].seconds.push(second);
        }
    }

    fn told(&mut self) -> Vec<Told> {
        let now = self.now;
        let mut lapsed = 0;
        let told = |node: &mut Process| {
            if node.trial.is_some_and(|until| until <= now) {
                // Out of reach for so long that it was right to.
                let cut = node.silent.is_some_and(|until| now.since(until) < Micros(10_000_000));
                lapsed += usize::from(node.up && !cut);
                (node.new, node.trial, node.changed) = (false, None, None);
            }
            match () {
                () if !node.up => Told::Gone,
                () if node.silent.is_some_and(|until| until > now) => Told::Silent,
                () => Told::Here(Box::new(Here {
                    state: "serving".to_owned(),
                    settings: if node.new { NEW } else { FORMER }.to_owned(),
                    life: node.life,
                    trial: node.trial.map(|_| OnTrial { former: FORMER.to_owned() }),
                    seconds: std::mem::take(&mut node.seconds),
                    ..Here::default()
                })),
            }
        };
        let all = self.nodes.iter_mut().map(told).collect();
        self.lapsed += lapsed;
        all
    }

    fn carry_out(&mut self, id: NodeId, deed: Deed) -> Came {
        let (now, word) = (self.now, self.word);
        let node = &mut self.nodes[id.0];
        if !node.up || node.silent.is_some_and(|until| until > now) {
            return Came::Unknown("it does not answer".to_owned());
        }
        match deed {
            Deed::Change if !node.new => {
                (node.new, node.trial, node.changed) = (true, Some(now + word), Some(now));
            }
            Deed::Change => {}
            Deed::Keep => node.trial = node.trial.map(|_| now + word),
            Deed::Confirm if node.new => node.trial = None,
            Deed::Confirm => return Came::Refused("nothing is on trial".to_owned()),
            Deed::Back | Deed::Return => (node.new, node.trial, node.changed) = (false, None, None),
        }
        Came::Done
    }

    /// One second: service, a look, and what the controller makes of it.
    pub fn step(&mut self) {
        self.step_with(false);
    }

    /// The same; where it is said so, with a controller that takes whoever does not answer to have the new.
    pub fn step_with(&mut self, blind: bool) {
        self.serve();
        self.now = self.now + Micros(1_000_000);
        let mut told = self.told();
        let has = || Here { state: "serving".to_owned(), settings: NEW.to_owned(), ..Here::default() };
        for told in told.iter_mut().filter(|told| blind && told.here().is_none()) {
            *told = Told::Here(Box::new(has()));
        }
        self.lead.look(self.now, told);
        for record in self.lead.next(self.now) {
            if let Record::Deed { node, deed } = &record {
                let id = self.lead.plan.ids().find(|id| self.lead.plan.node(*id).name == *node);
                let Some(id) = id else { continue };
                let came = self.carry_out(id, *deed);
                self.lead.came(self.now, id, *deed, came);
            }
            if let Record::Back { why } = &record {
                self.why = why.clone();
            }
            self.journal.push(record);
        }
    }

    /// Plays until it is over or asks somebody, or for so many seconds.
    pub fn run(mut self, most: u64) -> End {
        let start = self.now;
        let mut stage = 0;
        while !self.lead.over() && self.now.since(start) < Micros(most * 1_000_000) {
            if self.lead.phase == Phase::Forward {
                stage = self.lead.stage;
            }
            self.step();
            if self.lead.held().is_some_and(|hold| hold.asks()) {
                self.why = self.lead.held().map(|hold| hold.text()).unwrap_or_default();
                break;
            }
        }
        let seconds = self.now.since(start).as_f64() / 1e6;
        End {
            phase: self.lead.phase,
            stage,
            seconds,
            commands: self.commands,
            lost: self.lost,
            why: self.why,
        }
    }

    /// A process ends, and starts again by itself with what it had for good.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].up = false;
    }

    pub fn start(&mut self, node: usize) {
        let it = &mut self.nodes[node];
        if it.trial.is_some() {
            (it.new, it.trial, it.changed) = (false, None, None);
        }
        (it.up, it.life) = (true, it.life + 1);
    }

    /// Nothing gets to it or from it for so long, in seconds; it serves nobody meanwhile.
    pub fn silence(&mut self, node: usize, seconds: u64) {
        self.nodes[node].silent = Some(self.now + Micros(seconds * 1_000_000));
    }

    /// The controller is killed, and another goes on from its journal.
    pub fn replace_controller(&mut self) {
        let mut lead = Lead::new(self.lead.plan.clone(), FORMER, NEW);
        lead.resume(self.journal.iter());
        self.lead = lead;
    }

    /// How many nodes have the new, and how many of those for good, and how many run.
    pub fn have(&self) -> (usize, usize, usize) {
        let count = |of: &dyn Fn(&Process) -> bool| self.nodes.iter().filter(|node| of(node)).count();
        (count(&|n| n.new), count(&|n| n.new && n.trial.is_none()), count(&|n| n.up))
    }

    /// How many do not serve, or have not answered for as long as a plan waits.
    pub fn out(&self) -> usize {
        self.nodes.iter().filter(|node| !node.up).count()
    }

    /// For how long the oldest trial has been on, in seconds.
    pub fn oldest_trial(&self) -> Option<u64> {
        let tried = self.nodes.iter().filter(|node| node.trial.is_some() && node.up);
        tried.filter_map(|node| node.changed).map(|at| self.now.since(at).0 / 1_000_000).max()
    }

    /// A figure of chance for whoever plays: below that number.
    pub fn below(&mut self, most: u32) -> u32 {
        self.chance.random_range(0..most)
    }
}

/// A plan of so many nodes over three sites, or one where there are fewer than six.
pub fn plan(nodes: usize, more: &str) -> Plan {
    use std::fmt::Write as _;
    let mut text =
        format!("name = \"play\"\nfolder = \"nowhere\"\n{more}\n[change]\nsettings = \"new.json\"\n");
    let sites = if nodes < 6 { 1 } else { 3 };
    for node in 0..nodes {
        let site = node % sites;
        let _ = writeln!(
            text,
            "[[nodes]]\nname = \"n{node}\"\nsite = \"s{site}\"\nadmin = \"127.0.0.1:{}\"",
            1000 + node
        );
    }
    Plan::from_toml(&text).unwrap_or_else(|why| panic!("{why}"))
}

/// Ways to change a fleet that this is measured against. Each looks at the payoff served by changed nodes over half a minute
/// against the minute before the change of each, and goes back where that is lower by more than a point.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plain {
    AllAtOnce,
    /// The next one after half a minute.
    NodeByNode,
    /// Our stages, each of a minute.
    Stages,
}

/// What came of it: whether it was stopped, after how many commands at changed nodes, and what was lost.
pub fn plain(way: Plain, plan: &Plan, law: Law, harm: Harm, seed: u64) -> End {
    let mut play = Play::new(plan.clone(), law, harm, seed);
    let stages = match way {
        Plain::AllAtOnce => vec![plan.ids().collect()],
        Plain::NodeByNode => plan.ids().map(|id| vec![id]).collect(),
        Plain::Stages => plan.staged(),
    };
    let wait = if way == Plain::NodeByNode { 30 } else { 60 };
    let mut seen: BTreeMap<usize, Vec<(f64, f64)>> = BTreeMap::new();
    let second = |play: &mut Play, seen: &mut BTreeMap<usize, Vec<(f64, f64)>>| {
        play.serve();
        play.now = play.now + Micros(1_000_000);
        for (place, told) in play.told().iter().enumerate() {
            for second in told.here().iter().flat_map(|here| &here.seconds) {
                let served =
                    second.profiles.values().fold((0.0, 0.0), |a, t| (a.0 + t.served, a.1 + t.asked));
                seen.entry(place).or_default().push(served);
            }
        }
    };
    (0..60).for_each(|_| second(&mut play, &mut seen));
    let start = play.now;
    let mut changed: Vec<(usize, usize)> = Vec::new();
    let share = |of: &[(f64, f64)]| {
        let (served, asked) = of.iter().fold((0.0, 0.0), |a, s| (a.0 + s.0, a.1 + s.1));
        served / f64::max(asked, 1.0)
    };
    for (stage, nodes) in stages.iter().enumerate() {
        for id in nodes {
            let _done = play.carry_out(*id, Deed::Change);
            play.nodes[id.0].trial = None;
        }
        (0..wait).for_each(|_| second(&mut play, &mut seen));
        changed.extend(nodes.iter().map(|id| (id.0, seen[&id.0].len() - wait)));
        let (mut before, mut after) = (Vec::new(), Vec::new());
        for (place, at) in &changed {
            let served = &seen[place];
            before.extend_from_slice(&served[at.saturating_sub(60)..*at]);
            after.extend_from_slice(&served[served.len() - 30..]);
        }
        if share(&before) - share(&after) > 0.01 {
            let seconds = play.now.since(start).as_f64() / 1e6;
            let (commands, lost, why) = (play.commands, play.lost, "worse than before".to_owned());
            return End { phase: Phase::TakenBack, stage, seconds, commands, lost, why };
        }
    }
    let seconds = play.now.since(start).as_f64() / 1e6;
    let (commands, lost, stage) = (play.commands, play.lost, stages.len());
    End { phase: Phase::Done, stage, seconds, commands, lost, why: String::new() }
}
