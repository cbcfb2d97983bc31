//! A simulated fleet on a virtual clock around the real `Controller`: nodes serve by a statistical model, take changes and
//! fail. It yields the figures of `docs/rollout.md` and drives the random walks of the tests.

use crate::controller::{ActionOutcome, Controller, Phase};
use crate::journal::{Action, Record};
use crate::node_report::{CommandCounts, NodeReport, OnTrial, PollOutcome, SecondReport};
use crate::plan::{NodeId, Plan};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Binomial, Distribution, Normal, Poisson};
use std::collections::BTreeMap;
use yarrowfront::times::{Micros, Timestamp};

pub const FORMER: &str = "former";
pub const NEW: &str = "new";

/// The harm that a change does to the nodes that have it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Harm {
    /// The percentage of commands that are no longer served within the goal time, of all profiles or of the given one.
    pub points: f64,
    pub profile: Option<usize>,
    /// The delay after the change, in seconds.
    pub after_seconds: f64,
    /// Whether the harm shows as errors or as rejections. Otherwise the commands are late.
    pub as_errors: bool,
    pub as_rejections: bool,
    /// The share of commands that run twice.
    pub double_run_rate: f64,
}

/// The statistical model of the service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceModel {
    /// Commands per second at each node. Three profiles have 50%, 30% and 20% of them.
    pub commands_per_s: f64,
    /// The percentage served within the goal time, and the standard deviations, in points, of its slow drift over the whole
    /// fleet, of its change per second over the whole fleet, per node and second, and per node permanently.
    pub served_percent: f64,
    pub hourly_drift: f64,
    pub second_noise: f64,
    pub node_noise: f64,
    pub node_offset: f64,
    /// An outage at all nodes: its first second in Unix time, its length in seconds, and the loss in points.
    pub outage: Option<(u64, u64, f64)>,
}

impl Default for ServiceModel {
    fn default() -> ServiceModel {
        ServiceModel {
            commands_per_s: 40.0,
            served_percent: 96.0,
            hourly_drift: 0.15,
            second_noise: 1.0,
            node_noise: 1.0,
            node_offset: 0.1,
            outage: None,
        }
    }
}

/// A simulated node.
#[derive(Clone, Debug)]
struct SimNode {
    has_new: bool,
    /// When the trial expires; `None` if the version is permanent.
    trial_until: Option<Timestamp>,
    changed_at: Option<Timestamp>,
    generation: u64,
    is_up: bool,
    silent_until: Option<Timestamp>,
    offset: f64,
    seconds: Vec<SecondReport>,
}

/// The result of a simulated rolling change.
#[derive(Clone, Debug)]
pub struct SimulationResult {
    pub phase: Phase,
    /// The stage in which the change was rolled back, or the number of stages.
    pub stage: usize,
    pub seconds: f64,
    /// Commands that changed nodes accepted, and the payoff lost by the change in units of commands.
    pub commands: f64,
    pub payoff_lost: f64,
    pub reason: String,
}

pub struct Simulation {
    pub now: Timestamp,
    pub controller: Controller,
    pub model: ServiceModel,
    pub harm: Harm,
    nodes: Vec<SimNode>,
    /// The lease of a trial.
    trial_lease: Micros,
    /// The current drift of the whole fleet, in points.
    fleet_drift: f64,
    rng: ChaCha8Rng,
    pub commands: f64,
    pub payoff_lost: f64,
    pub journal: Vec<Record>,
    pub reason: String,
    /// Trials that expired for lack of a renewal at nodes that were reachable.
    pub lapsed_trials: usize,
}

const PROFILES: [(&str, f64); 3] = [("list", 0.5), ("book", 0.3), ("pay", 0.2)];

impl Simulation {
    pub fn new(plan: Plan, model: ServiceModel, harm: Harm, seed: u64) -> Simulation {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut draw = |deviation: f64| Normal::new(0.0, deviation).map_or(0.0, |n| n.sample(&mut rng));
        let process = |_| SimNode {
            has_new: false,
            trial_until: None,
            changed_at: None,
            generation: 1,
            is_up: true,
            silent_until: None,
            offset: draw(model.node_offset),
            seconds: Vec::new(),
        };
        let nodes = (0..plan.nodes.len()).map(process).collect();
        let trial_lease = plan.timing.trial_lease;
        let controller = Controller::new(plan, FORMER, NEW);
        let (now, journal, reason) = (Timestamp(1_000_000_000), Vec::new(), String::new());
        let (fleet_drift, commands, payoff_lost, lapsed_trials) = (0.0, 0.0, 0.0, 0);
        Simulation {
            now,
            controller,
            model,
            harm,
            nodes,
            trial_lease,
            fleet_drift,
            rng,
            commands,
            payoff_lost,
            journal,
            reason,
            lapsed_trials,
        }
    }

    fn draw_normal(&mut self, deviation: f64) -> f64 {
        Normal::new(0.0, deviation).map_or(0.0, |normal| normal.sample(&mut self.rng))
    }

    fn draw_binomial(&mut self, of: u32, share: f64) -> u32 {
        let drawn = Binomial::new(u64::from(of), share.clamp(0.0, 1.0)).map(|b| b.sample(&mut self.rng));
        drawn.map_or(0, |n| n as u32)
    }

    /// Simulates one second of service at all nodes.
    fn serve(&mut self) {
        self.fleet_drift += self.draw_normal(self.model.hourly_drift) - self.fleet_drift / 600.0;
        let second_noise = self.draw_normal(self.model.second_noise);
        let at = self.now.0 / 1_000_000;
        let outage = self.model.outage.filter(|(from, long, _)| (*from..from + long).contains(&at));
        let outage = outage.map_or(0.0, |(_, _, points)| points);
        for index in 0..self.nodes.len() {
            let node_noise = self.draw_normal(self.model.node_noise);
            let node = &self.nodes[index];
            if !node.is_up || node.silent_until.is_some_and(|until| until > self.now) {
                continue;
            }
            let since = node.changed_at.filter(|_| node.has_new);
            let harm_active =
                since.is_some_and(|at| self.now.since(at).as_f64() / 1e6 >= self.harm.after_seconds);
            let (offset, has_new) = (node.offset, node.has_new);
            let served =
                self.model.served_percent + self.fleet_drift + second_noise + node_noise + offset - outage;
            let mut second = SecondReport { unix_second: at, ..SecondReport::default() };
            for (profile, (name, part)) in PROFILES.iter().enumerate() {
                let mean = self.model.commands_per_s * part;
                let accepted = Poisson::new(mean).map_or(0.0, |p| p.sample(&mut self.rng)) as u32;
                let is_harmed = harm_active && self.harm.profile.is_none_or(|only| only == profile);
                let within_goal = self.draw_binomial(accepted, served / 100.0);
                let harmed_count =
                    if is_harmed { self.draw_binomial(within_goal, self.harm.points / 100.0) } else { 0 };
                let double_runs =
                    if is_harmed { self.draw_binomial(accepted, self.harm.double_run_rate) } else { 0 };
                let late = accepted - within_goal;
                let mut counts = CommandCounts {
                    accepted,
                    launches: accepted,
                    double_runs,
                    within_goal: within_goal - harmed_count,
                    ..CommandCounts::default()
                };
                (counts.late, counts.errored) = (late - late / 2, late / 2);
                match () {
                    () if self.harm.as_errors => counts.errored += harmed_count,
                    () if self.harm.as_rejections => counts.rejected += harmed_count,
                    () => counts.late += harmed_count,
                }
                counts.payoff_requested = f64::from(accepted);
                counts.payoff_served = f64::from(counts.within_goal);
                if has_new {
                    self.commands += f64::from(accepted);
                    self.payoff_lost += f64::from(harmed_count);
                }
                second.profiles.insert((*name).to_owned(), counts);
            }
            let finished: u32 = second.profiles.values().map(|t| t.within_goal + t.late).sum();
            let slow = self.draw_binomial(finished, 0.04 + (100.0 - served).max(0.0) / 400.0);
            second.latencies = vec![(10_000, finished - slow), (400_000, slow)];
            self.nodes[index].seconds.push(second);
        }
    }

    fn poll(&mut self) -> Vec<PollOutcome> {
        let now = self.now;
        let mut lapsed = 0;
        let poll = |node: &mut SimNode| {
            if node.trial_until.is_some_and(|until| until <= now) {
                // A node that was unreachable until shortly before reverts rightly.
                let was_unreachable =
                    node.silent_until.is_some_and(|until| now.since(until) < Micros(10_000_000));
                lapsed += usize::from(node.is_up && !was_unreachable);
                (node.has_new, node.trial_until, node.changed_at) = (false, None, None);
            }
            match () {
                () if !node.is_up => PollOutcome::Gone,
                () if node.silent_until.is_some_and(|until| until > now) => PollOutcome::Silent,
                () => PollOutcome::Report(Box::new(NodeReport {
                    state: "serving".to_owned(),
                    settings_digest: if node.has_new { NEW } else { FORMER }.to_owned(),
                    generation: node.generation,
                    trial: node.trial_until.map(|_| OnTrial { former: FORMER.to_owned() }),
                    seconds: std::mem::take(&mut node.seconds),
                    ..NodeReport::default()
                })),
            }
        };
        let all = self.nodes.iter_mut().map(poll).collect();
        self.lapsed_trials += lapsed;
        all
    }

    fn execute(&mut self, id: NodeId, action: Action) -> ActionOutcome {
        let (now, trial_lease) = (self.now, self.trial_lease);
        let node = &mut self.nodes[id.0];
        if !node.is_up || node.silent_until.is_some_and(|until| until > now) {
            return ActionOutcome::Unknown("it does not answer".to_owned());
        }
        match action {
            Action::Apply if !node.has_new => {
                (node.has_new, node.trial_until, node.changed_at) =
                    (true, Some(now + trial_lease), Some(now));
            }
            Action::Apply => {}
            Action::RenewTrial => node.trial_until = node.trial_until.map(|_| now + trial_lease),
            Action::Confirm if node.has_new => node.trial_until = None,
            Action::Confirm => return ActionOutcome::Refused("nothing is on trial".to_owned()),
            Action::RevertTrial | Action::RevertConfirmed => {
                (node.has_new, node.trial_until, node.changed_at) = (false, None, None)
            }
        }
        ActionOutcome::Done
    }

    /// Simulates one second of service, polls the nodes and lets the controller act.
    pub fn step(&mut self) {
        self.step_assuming_silent_is_new(false);
    }

    /// As `step`. With `silent_is_new` the controller is given the fault of taking silent nodes to have the new version.
    pub fn step_assuming_silent_is_new(&mut self, silent_is_new: bool) {
        self.serve();
        self.now = self.now + Micros(1_000_000);
        let mut poll = self.poll();
        let report = || NodeReport {
            state: "serving".to_owned(),
            settings_digest: NEW.to_owned(),
            ..NodeReport::default()
        };
        for poll in poll.iter_mut().filter(|poll| silent_is_new && poll.report().is_none()) {
            *poll = PollOutcome::Report(Box::new(report()));
        }
        self.controller.observe(self.now, poll);
        for record in self.controller.next_records(self.now) {
            if let Record::ActionStarted { node, action } = &record {
                let id =
                    self.controller.plan.node_ids().find(|id| self.controller.plan.node(*id).name == *node);
                let Some(id) = id else { continue };
                let outcome = self.execute(id, *action);
                self.controller.action_finished(self.now, id, *action, outcome);
            }
            if let Record::RollbackStarted { reason } = &record {
                self.reason = reason.clone();
            }
            self.journal.push(record);
        }
    }

    /// Runs until the change is finished or needs an operator, or for `max_seconds`.
    pub fn run(mut self, max_seconds: u64) -> SimulationResult {
        let start = self.now;
        let mut stage = 0;
        while !self.controller.is_finished() && self.now.since(start) < Micros(max_seconds * 1_000_000) {
            if self.controller.phase == Phase::Advancing {
                stage = self.controller.stage;
            }
            self.step();
            if self.controller.hold_reason().is_some_and(|hold| hold.needs_operator()) {
                self.reason = self.controller.hold_reason().map(|hold| hold.text()).unwrap_or_default();
                break;
            }
        }
        let seconds = self.now.since(start).as_f64() / 1e6;
        SimulationResult {
            phase: self.controller.phase,
            stage,
            seconds,
            commands: self.commands,
            payoff_lost: self.payoff_lost,
            reason: self.reason,
        }
    }

    /// Kills a node. `start` starts it again with its permanent version.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].is_up = false;
    }

    pub fn start(&mut self, node: usize) {
        let it = &mut self.nodes[node];
        if it.trial_until.is_some() {
            (it.has_new, it.trial_until, it.changed_at) = (false, None, None);
        }
        (it.is_up, it.generation) = (true, it.generation + 1);
    }

    /// Makes a node unreachable for this time. It serves nothing meanwhile.
    pub fn silence(&mut self, node: usize, seconds: u64) {
        self.nodes[node].silent_until = Some(self.now + Micros(seconds * 1_000_000));
    }

    /// Replaces the controller by another one that continues from its journal.
    pub fn replace_controller(&mut self) {
        let mut controller = Controller::new(self.controller.plan.clone(), FORMER, NEW);
        controller.resume(self.journal.iter());
        self.controller = controller;
    }

    /// The number of nodes with the new version, of those that have it permanently, and of nodes that are up.
    pub fn version_counts(&self) -> (usize, usize, usize) {
        let count = |of: &dyn Fn(&SimNode) -> bool| self.nodes.iter().filter(|node| of(node)).count();
        (count(&|n| n.has_new), count(&|n| n.has_new && n.trial_until.is_none()), count(&|n| n.is_up))
    }

    /// The number of nodes that are down.
    pub fn down_count(&self) -> usize {
        self.nodes.iter().filter(|node| !node.is_up).count()
    }

    /// The age of the oldest trial, in seconds.
    pub fn oldest_trial(&self) -> Option<u64> {
        let tried = self.nodes.iter().filter(|node| node.trial_until.is_some() && node.is_up);
        tried.filter_map(|node| node.changed_at).map(|at| self.now.since(at).0 / 1_000_000).max()
    }

    /// A random number below `limit`, for the tests that drive the simulation.
    pub fn random_below(&mut self, limit: u32) -> u32 {
        self.rng.random_range(0..limit)
    }
}

/// A plan for so many nodes in three sites, or in one site if there are fewer than six. `more` is added to its text.
pub fn test_plan(nodes: usize, more: &str) -> Plan {
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
    Plan::from_toml(&text).unwrap_or_else(|reason| panic!("{reason}"))
}

/// Simpler strategies that the controller is compared with. Each compares the payoff that changed nodes served over the
/// last 30 s with the minute before the change of each, and rolls back if it is lower by more than one point.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SimpleStrategy {
    AllAtOnce,
    /// One node every 30 s.
    NodeByNode,
    /// The stages of the plan, one minute each.
    Stages,
}

/// Simulates a change by one of the simpler strategies.
pub fn run_simple_strategy(
    strategy: SimpleStrategy,
    plan: &Plan,
    model: ServiceModel,
    harm: Harm,
    seed: u64,
) -> SimulationResult {
    let mut simulation = Simulation::new(plan.clone(), model, harm, seed);
    let stages = match strategy {
        SimpleStrategy::AllAtOnce => vec![plan.node_ids().collect()],
        SimpleStrategy::NodeByNode => plan.node_ids().map(|id| vec![id]).collect(),
        SimpleStrategy::Stages => plan.stage_nodes(),
    };
    let wait = if strategy == SimpleStrategy::NodeByNode { 30 } else { 60 };
    let mut seen: BTreeMap<usize, Vec<(f64, f64)>> = BTreeMap::new();
    let second = |simulation: &mut Simulation, seen: &mut BTreeMap<usize, Vec<(f64, f64)>>| {
        simulation.serve();
        simulation.now = simulation.now + Micros(1_000_000);
        for (index, poll) in simulation.poll().iter().enumerate() {
            for second in poll.report().iter().flat_map(|here| &here.seconds) {
                let served = second
                    .profiles
                    .values()
                    .fold((0.0, 0.0), |a, t| (a.0 + t.payoff_served, a.1 + t.payoff_requested));
                seen.entry(index).or_default().push(served);
            }
        }
    };
    (0..60).for_each(|_| second(&mut simulation, &mut seen));
    let start = simulation.now;
    let mut changed: Vec<(usize, usize)> = Vec::new();
    let share = |of: &[(f64, f64)]| {
        let (served, asked) = of.iter().fold((0.0, 0.0), |a, s| (a.0 + s.0, a.1 + s.1));
        served / f64::max(asked, 1.0)
    };
    for (stage, nodes) in stages.iter().enumerate() {
        for id in nodes {
            let _done = simulation.execute(*id, Action::Apply);
            simulation.nodes[id.0].trial_until = None;
        }
        (0..wait).for_each(|_| second(&mut simulation, &mut seen));
        changed.extend(nodes.iter().map(|id| (id.0, seen[&id.0].len() - wait)));
        let (mut before, mut after) = (Vec::new(), Vec::new());
        for (index, at) in &changed {
            let served = &seen[index];
            before.extend_from_slice(&served[at.saturating_sub(60)..*at]);
            after.extend_from_slice(&served[served.len() - 30..]);
        }
        if share(&before) - share(&after) > 0.01 {
            let seconds = simulation.now.since(start).as_f64() / 1e6;
            let (commands, payoff_lost, reason) =
                (simulation.commands, simulation.payoff_lost, "worse than before".to_owned());
            return SimulationResult {
                phase: Phase::RolledBack,
                stage,
                seconds,
                commands,
                payoff_lost,
                reason,
            };
        }
    }
    let seconds = simulation.now.since(start).as_f64() / 1e6;
    let (commands, payoff_lost, stage) = (simulation.commands, simulation.payoff_lost, stages.len());
    SimulationResult { phase: Phase::Done, stage, seconds, commands, payoff_lost, reason: String::new() }
}
