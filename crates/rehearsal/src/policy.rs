//! Policies on the virtual clock: yarrowfront's own module, unchanged, and simple ones to compare it with.

use crate::model::fleet::Fleet;
use crate::model::settings::node_settings;
use crate::rng::{RngStream, SeededRng};
use crate::scenario::{CommandEffect, Scenario};
use yarrowfront::command::{Command, Fate, Outcome};
use yarrowfront::decide::{Balancer, Errand, ListKind, Listed, Say, State};
use yarrowfront::ids::{BackendId, Hand};
use yarrowfront::terms::Terms;
use yarrowfront::times::{Moment, Span};

/// A launch as its node's driver keeps it.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    pub backend: usize,
    pub fate: Fate,
}

/// A command in a node's hand.
pub struct Task {
    pub command: Command,
    pub sent: Vec<Sent>,
}

impl Task {
    pub fn out(&self) -> usize {
        self.sent.iter().filter(|s| s.fate == Fate::Out).count()
    }
}

/// The module's three questions and what it is told. `fleet` is the true state: only a policy that is allowed
/// sight of it looks there.
pub trait Policy {
    fn place(&mut self, now: Moment, hand: Hand, task: &mut Task, fleet: &Fleet) -> Say;
    /// `task.sent` has the launch's fate already.
    fn after(
        &mut self,
        now: Moment,
        hand: Hand,
        task: &mut Task,
        launch: u8,
        outcome: Outcome,
        fleet: &Fleet,
    ) -> Say;
    fn wait(&self, now: Moment, task: Option<&Task>) -> Option<Span>;
    fn dropped(&mut self, task: &mut Task);
    fn list(&mut self, now: Moment, kind: ListKind, lines: &[Listed]);
    fn report(&mut self, now: Moment, at: BackendId, found: bool, trip: Span, values: &[f32]);
    fn errand(&mut self, now: Moment) -> Option<Errand>;
}

/// A node's start.
pub struct NodeContext<'a> {
    pub scenario: &'a Scenario,
    pub node: usize,
    pub seed: u64,
    pub now: Moment,
}

pub type PolicyFactory<'a> = dyn Fn(&NodeContext) -> Result<Box<dyn Policy>, String> + Sync + 'a;

pub const NAMES: [&str; 6] = ["yarrowfront", "random", "round-robin", "less-busy", "shortest", "sighted"];

/// The policy of this name for a node that starts.
pub fn create(name: &str, birth: &NodeContext) -> Result<Box<dyn Policy>, String> {
    let pick = match name {
        "yarrowfront" => return Yarrowfront::new(birth).map(|y| Box::new(y) as Box<dyn Policy>),
        "random" => Pick::Random,
        "round-robin" => Pick::RoundRobin,
        "less-busy" => Pick::LessBusy,
        "shortest" => Pick::Shortest,
        "sighted" => Pick::Sighted,
        _ => return Err(format!("there is no policy {name:?}: one of {}", NAMES.join(", "))),
    };
    Ok(Box::new(Simple::new(pick, birth)))
}

pub struct Yarrowfront(Balancer);

impl Yarrowfront {
    pub fn new(birth: &NodeContext) -> Result<Yarrowfront, String> {
        let terms = Terms::from_json(node_settings(birth.scenario, birth.node).to_string().as_bytes())?;
        Ok(Yarrowfront(Balancer::new(terms, birth.seed, birth.now)))
    }
}

impl Policy for Yarrowfront {
    fn place(&mut self, now: Moment, hand: Hand, task: &mut Task, _: &Fleet) -> Say {
        self.0.place(now, hand, &mut task.command)
    }

    fn after(&mut self, now: Moment, hand: Hand, task: &mut Task, n: u8, outcome: Outcome, _: &Fleet) -> Say {
        self.0.after(now, hand, &mut task.command, n, outcome)
    }

    fn wait(&self, now: Moment, task: Option<&Task>) -> Option<Span> {
        self.0.wait(now, task.map(|t| &t.command))
    }

    fn dropped(&mut self, task: &mut Task) {
        self.0.dropped(&mut task.command);
    }

    fn list(&mut self, now: Moment, kind: ListKind, lines: &[Listed]) {
        self.0.list(now, kind, lines.iter().copied());
    }

    fn report(&mut self, now: Moment, at: BackendId, found: bool, trip: Span, values: &[f32]) {
        self.0.report(now, at, found, Some(trip), values);
    }

    fn errand(&mut self, now: Moment) -> Option<Errand> {
        self.0.errand(now)
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Pick {
    Random,
    RoundRobin,
    /// The one of two random ones with fewer own launches out.
    LessBusy,
    /// The one that would be done first, with sight of every backend's true state; what nobody would finish
    /// within its goal time is turned back. No real node can know this.
    Shortest,
    /// The same, which also keeps backends from collapsing and lets in the dearest where not all can be done:
    /// what a policy that knew everything would reach about.
    Sighted,
}

/// The part of the goal time from which on the fleet counts as filling up: enough is left for what is dearer.
const TIGHT: f64 = 0.4;

/// One that holds nothing, learns nothing and keeps the rules as simply as can be.
struct Simple {
    pick: Pick,
    draw: SeededRng,
    turn: usize,
    listed: Vec<Listed>,
    ready: Vec<usize>,
    out: Vec<u32>,
    effects: Vec<CommandEffect>,
    goals: Vec<Span>,
    works: Vec<f64>,
    /// Payoff for each microsecond of work, and what a command must bring to be let in at present.
    density: Vec<f64>,
    price: f64,
    most: usize,
    come_back: Span,
    follow: bool,
    follow_at: Moment,
    ask_within: Span,
}

impl Simple {
    fn new(pick: Pick, birth: &NodeContext) -> Simple {
        let scenario = birth.scenario;
        let draw = SeededRng::new(birth.seed, RngStream::Nodes);
        Simple {
            pick,
            draw,
            turn: birth.node,
            listed: Vec::new(),
            ready: Vec::new(),
            out: Vec::new(),
            effects: scenario.profiles.iter().map(|p| p.effect).collect(),
            goals: scenario.profiles.iter().map(|p| p.goal.span()).collect(),
            works: scenario.profiles.iter().map(|p| p.work.micros()).collect(),
            density: scenario.profiles.iter().map(|p| p.payoff / p.work.micros()).collect(),
            price: 0.0,
            most: scenario.allow.launches as usize,
            come_back: scenario.allow.come_back.map_or(Span(0), |t| t.span().scaled(0.2)),
            follow: true,
            follow_at: birth.now,
            ask_within: scenario.list.ask_within.span(),
        }
    }

    fn choose(&mut self, now: Moment, task: &Task, fleet: &Fleet) -> Option<usize> {
        let fresh = |b: &usize| !task.sent.iter().any(|s| s.backend == *b);
        let open: Vec<usize> = self.ready.iter().copied().filter(fresh).collect();
        if open.is_empty() {
            return None;
        }
        Some(match self.pick {
            Pick::Random => open[self.draw.below(open.len())],
            Pick::RoundRobin => {
                self.turn += 1;
                open[self.turn % open.len()]
            }
            Pick::LessBusy => {
                let two = [self.draw.below(open.len()), self.draw.below(open.len())].map(|i| open[i]);
                if self.out[two[1]] < self.out[two[0]] {
                    two[1]
                } else {
                    two[0]
                }
            }
            Pick::Shortest | Pick::Sighted => {
                let careful = self.pick == Pick::Sighted;
                let profile = usize::from(task.command.profile.0);
                let (work, goal) = (self.works[profile], self.goals[profile]);
                let start = self.draw.below(open.len());
                let mut best = (f64::MAX, None);
                for k in 0..open.len() {
                    let i = open[(start + k) % open.len()];
                    let b = &fleet.backends[i];
                    let full = b.held_commands() as f64 >= b.cores() * (1.0 + b.kind.queue);
                    let brink =
                        b.kind.collapse.is_some_and(|c| b.held_commands() as f64 + 1.0 >= c.at * b.cores());
                    let full = full || careful && brink;
                    if !b.is_up
                        || b.is_cut_off
                        || b.is_draining
                        || full
                        || b.rate() <= 0.0
                        || b.would_crash(now, work)
                    {
                        continue;
                    }
                    let wait = if (b.held_commands() as f64) < b.cores() {
                        0.0
                    } else {
                        b.remaining_work() / b.cores()
                    };
                    let took = (wait + work) / b.rate();
                    if took < best.0 {
                        best = (took, Some(i));
                    }
                }
                let left = (task.command.arrived + goal).since(now).micros();
                let fits = best.0 <= left;
                if !careful {
                    return best.1.filter(|_| fits);
                }
                // The price rises while the best place leaves little of the goal time, and falls otherwise.
                let tight = best.0 > TIGHT * left;
                let (low, high) = (self.density.iter().copied().fold(f64::MAX, f64::min), self.dearest());
                self.price = match tight {
                    true => (self.price * 1.05).clamp(0.5 * low, 1.05 * high),
                    false => self.price * 0.97,
                };
                let dear = self.density[profile] >= self.price;
                return best.1.filter(|_| fits && (dear || !tight));
            }
        })
    }

    fn dearest(&self) -> f64 {
        self.density.iter().copied().fold(0.0, f64::max)
    }

    fn end(&mut self, task: &mut Task) -> Say {
        if task.out() > 0 {
            return Say::NotYet;
        }
        task.command.closed = true;
        let effect = self.effects[usize::from(task.command.profile.0)];
        let harmless =
            effect == CommandEffect::Repeatable || task.sent.iter().all(|s| s.fate == Fate::NotRun);
        if harmless {
            Say::TurnBack(self.come_back)
        } else {
            Say::Errored
        }
    }
}

impl Policy for Simple {
    fn place(&mut self, now: Moment, _: Hand, task: &mut Task, fleet: &Fleet) -> Say {
        if task.command.closed || task.out() > 0 {
            return Say::NotYet;
        }
        match self.choose(now, task, fleet) {
            Some(i) => {
                self.out[i] += 1;
                Say::Launch(BackendId(i as u32))
            }
            None => self.end(task),
        }
    }

    fn after(
        &mut self,
        now: Moment,
        hand: Hand,
        task: &mut Task,
        n: u8,
        outcome: Outcome,
        fleet: &Fleet,
    ) -> Say {
        self.out[task.sent[usize::from(n)].backend] -= 1;
        if task.command.closed || outcome == Outcome::Finished {
            return Say::NotYet;
        }
        let effect = self.effects[usize::from(task.command.profile.0)];
        let harmless = effect == CommandEffect::Repeatable || outcome.proves_not_run(false);
        if harmless && task.sent.len() < self.most && now < task.command.ends {
            return self.place(now, hand, task, fleet);
        }
        self.end(task)
    }

    fn wait(&self, now: Moment, task: Option<&Task>) -> Option<Span> {
        (task.is_none() && self.follow).then(|| self.follow_at.since(now))
    }

    fn dropped(&mut self, task: &mut Task) {
        task.command.closed = true;
    }

    fn list(&mut self, now: Moment, kind: ListKind, lines: &[Listed]) {
        match kind {
            ListKind::Failed | ListKind::Silent => {
                self.follow = true;
                self.follow_at = now + Span(self.ask_within.0.min(1_000_000) / 4);
                return;
            }
            ListKind::Whole | ListKind::Changes => self.follow = false,
            ListKind::Cached => {}
        }
        if kind != ListKind::Changes {
            self.listed.clear();
        }
        for line in lines {
            match self.listed.iter_mut().find(|l| l.backend == line.backend) {
                Some(old) => *old = *line,
                None => self.listed.push(*line),
            }
            self.out.resize(self.out.len().max(line.backend.0 as usize + 1), 0);
        }
        let ready = self.listed.iter().filter(|l| l.state == State::Ready);
        self.ready = ready.map(|l| l.backend.0 as usize).collect();
    }

    fn report(&mut self, _: Moment, _: BackendId, _: bool, _: Span, _: &[f32]) {}

    fn errand(&mut self, now: Moment) -> Option<Errand> {
        if self.follow && now >= self.follow_at {
            self.follow_at = now + self.ask_within.scaled(0.5);
            return Some(Errand::Follow);
        }
        None
    }
}
