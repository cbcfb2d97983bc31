//! Policies on the virtual clock: yarrowfront's own balancer, unchanged, and simple policies to compare it with.

use crate::model::fleet::Fleet;
use crate::model::settings::node_settings;
use crate::rng::{RngStream, SeededRng};
use crate::scenario::{CommandEffect, Scenario};
use yarrowfront::command::{Command, LaunchState, Outcome};
use yarrowfront::decide::{Action, BackendState, Balancer, Decision, ListEntry, ListUpdateKind};
use yarrowfront::ids::{BackendId, CommandHandle};
use yarrowfront::settings::Settings;
use yarrowfront::times::{Micros, Timestamp};

/// A launch of a command.
#[derive(Clone, Copy, Debug)]
pub struct SentLaunch {
    pub backend: usize,
    pub state: LaunchState,
}

/// A command that a node has received and not answered, with its launches.
pub struct ActiveCommand {
    pub command: Command,
    pub launches: Vec<SentLaunch>,
}

impl ActiveCommand {
    /// The number of launches that have not ended.
    pub fn in_flight(&self) -> usize {
        self.launches.iter().filter(|s| s.state == LaunchState::InFlight).count()
    }
}

/// The decisions of a node, and the events that it is informed of. `fleet` is the true state of the backends, which only the
/// policies `shortest` and `sighted` use.
pub trait Policy {
    /// What to do with a command now. `command` is the key of the command in the node.
    fn decide(
        &mut self,
        now: Timestamp,
        command: CommandHandle,
        active: &mut ActiveCommand,
        fleet: &Fleet,
    ) -> Decision;
    /// What to do with a command after one of its launches has ended. `active.launches` already has the new state of the
    /// launch.
    fn on_launch_outcome(
        &mut self,
        now: Timestamp,
        command: CommandHandle,
        active: &mut ActiveCommand,
        launch_index: u8,
        outcome: Outcome,
        fleet: &Fleet,
    ) -> Decision;
    /// When the command has to be decided on again, or, without a command, when `next_action` has to be called.
    fn wakeup_delay(&self, now: Timestamp, active: Option<&ActiveCommand>) -> Option<Micros>;
    /// The client of the command has left.
    fn on_client_gone(&mut self, active: &mut ActiveCommand);
    fn apply_list(&mut self, now: Timestamp, kind: ListUpdateKind, entries: &[ListEntry]);
    /// A probe has ended after `round_trip`; `found` tells whether it brought a load report with these values.
    fn on_load_report(
        &mut self,
        now: Timestamp,
        backend: BackendId,
        found: bool,
        round_trip: Micros,
        values: &[f32],
    );
    /// The next action besides decisions on commands, until there is none.
    fn next_action(&mut self, now: Timestamp) -> Option<Action>;
}

/// What a policy is created from when a node starts.
pub struct NodeContext<'a> {
    pub scenario: &'a Scenario,
    pub node: usize,
    pub seed: u64,
    pub now: Timestamp,
}

/// Creates the policy of a node that starts.
pub type PolicyFactory<'a> = dyn Fn(&NodeContext) -> Result<Box<dyn Policy>, String> + Sync + 'a;

/// The names of all policies.
pub const NAMES: [&str; 6] = ["yarrowfront", "random", "round-robin", "less-busy", "shortest", "sighted"];

/// Creates the policy with this name.
pub fn create(name: &str, context: &NodeContext) -> Result<Box<dyn Policy>, String> {
    let strategy = match name {
        "yarrowfront" => return Yarrowfront::new(context).map(|y| Box::new(y) as Box<dyn Policy>),
        "random" => Strategy::Random,
        "round-robin" => Strategy::RoundRobin,
        "less-busy" => Strategy::LessBusy,
        "shortest" => Strategy::Shortest,
        "sighted" => Strategy::Sighted,
        _ => return Err(format!("there is no policy {name:?}; the policies are {}", NAMES.join(", "))),
    };
    Ok(Box::new(SimplePolicy::new(strategy, context)))
}

/// The balancer that real nodes use.
pub struct Yarrowfront(Balancer);

impl Yarrowfront {
    pub fn new(context: &NodeContext) -> Result<Yarrowfront, String> {
        let settings =
            Settings::from_json(node_settings(context.scenario, context.node).to_string().as_bytes())?;
        Ok(Yarrowfront(Balancer::new(settings, context.seed, context.now)))
    }
}

impl Policy for Yarrowfront {
    fn decide(
        &mut self,
        now: Timestamp,
        command: CommandHandle,
        active: &mut ActiveCommand,
        _: &Fleet,
    ) -> Decision {
        self.0.decide(now, command, &mut active.command)
    }

    fn on_launch_outcome(
        &mut self,
        now: Timestamp,
        command: CommandHandle,
        active: &mut ActiveCommand,
        launch_index: u8,
        outcome: Outcome,
        _: &Fleet,
    ) -> Decision {
        self.0.on_launch_outcome(now, command, &mut active.command, launch_index, outcome)
    }

    fn wakeup_delay(&self, now: Timestamp, active: Option<&ActiveCommand>) -> Option<Micros> {
        self.0.wakeup_delay(now, active.map(|active| &active.command))
    }

    fn on_client_gone(&mut self, active: &mut ActiveCommand) {
        self.0.on_client_gone(&mut active.command);
    }

    fn apply_list(&mut self, now: Timestamp, kind: ListUpdateKind, entries: &[ListEntry]) {
        self.0.apply_list(now, kind, entries.iter().copied());
    }

    fn on_load_report(
        &mut self,
        now: Timestamp,
        backend: BackendId,
        found: bool,
        round_trip: Micros,
        values: &[f32],
    ) {
        self.0.on_load_report(now, backend, found, Some(round_trip), values);
    }

    fn next_action(&mut self, now: Timestamp) -> Option<Action> {
        self.0.next_action(now)
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Strategy {
    Random,
    RoundRobin,
    /// Of two random backends, the one with fewer launches of this node in flight.
    LessBusy,
    /// The backend that would finish the command first according to the true state of all backends, which no real node can
    /// know. Commands that no backend would finish within the goal time are rejected.
    Shortest,
    /// Like `Shortest`, but it also keeps backends from collapsing, and admits the commands with the highest payoff for their
    /// work if not all can be served. This is about the best that a policy with full knowledge can reach.
    Sighted,
}

/// If the best backend needs more than this share of the remaining goal time, the fleet counts as filling up. Enough is
/// left then for commands with a higher payoff.
const TIGHT_SHARE_OF_GOAL_TIME: f64 = 0.4;

/// A policy that queues nothing, learns nothing and keeps the rules in the simplest way.
struct SimplePolicy {
    strategy: Strategy,
    rng: SeededRng,
    /// For `RoundRobin`.
    next_index: usize,
    listed: Vec<ListEntry>,
    /// The backends that the list shows as ready.
    ready: Vec<usize>,
    /// The number of launches in flight, by backend.
    in_flight: Vec<u32>,
    effects: Vec<CommandEffect>,
    goal_times: Vec<Micros>,
    mean_work_us: Vec<f64>,
    /// Payoff per microsecond of work, by profile.
    payoff_density: Vec<f64>,
    /// The payoff per microsecond of work that a command needs at present to be admitted while the fleet fills up.
    min_payoff_density: f64,
    max_launches: usize,
    retry_after: Micros,
    needs_list: bool,
    request_list_at: Timestamp,
    list_request_interval: Micros,
}

impl SimplePolicy {
    fn new(strategy: Strategy, context: &NodeContext) -> SimplePolicy {
        let scenario = context.scenario;
        let rng = SeededRng::new(context.seed, RngStream::Nodes);
        SimplePolicy {
            strategy,
            rng,
            next_index: context.node,
            listed: Vec::new(),
            ready: Vec::new(),
            in_flight: Vec::new(),
            effects: scenario.profiles.iter().map(|p| p.effect).collect(),
            goal_times: scenario.profiles.iter().map(|p| p.goal.span()).collect(),
            mean_work_us: scenario.profiles.iter().map(|p| p.work.micros()).collect(),
            payoff_density: scenario.profiles.iter().map(|p| p.payoff / p.work.micros()).collect(),
            min_payoff_density: 0.0,
            max_launches: scenario.allow.launches as usize,
            retry_after: scenario.allow.come_back.map_or(Micros(0), |t| t.span().scaled(0.2)),
            needs_list: true,
            request_list_at: context.now,
            list_request_interval: scenario.list.ask_within.span(),
        }
    }

    fn choose_backend(&mut self, now: Timestamp, active: &ActiveCommand, fleet: &Fleet) -> Option<usize> {
        let is_untried = |b: &usize| !active.launches.iter().any(|s| s.backend == *b);
        let candidates: Vec<usize> = self.ready.iter().copied().filter(is_untried).collect();
        if candidates.is_empty() {
            return None;
        }
        Some(match self.strategy {
            Strategy::Random => candidates[self.rng.below(candidates.len())],
            Strategy::RoundRobin => {
                self.next_index += 1;
                candidates[self.next_index % candidates.len()]
            }
            Strategy::LessBusy => {
                let pair = [self.rng.below(candidates.len()), self.rng.below(candidates.len())]
                    .map(|i| candidates[i]);
                if self.in_flight[pair[1]] < self.in_flight[pair[0]] {
                    pair[1]
                } else {
                    pair[0]
                }
            }
            Strategy::Shortest | Strategy::Sighted => {
                let avoids_overload = self.strategy == Strategy::Sighted;
                let profile = usize::from(active.command.profile.0);
                let (work, goal) = (self.mean_work_us[profile], self.goal_times[profile]);
                let start = self.rng.below(candidates.len());
                let mut best = (f64::MAX, None);
                for k in 0..candidates.len() {
                    let i = candidates[(start + k) % candidates.len()];
                    let b = &fleet.backends[i];
                    let is_full = b.held_commands() as f64 >= b.cores() * (1.0 + b.kind.queue);
                    let would_collapse =
                        b.kind.collapse.is_some_and(|c| b.held_commands() as f64 + 1.0 >= c.at * b.cores());
                    let is_full = is_full || avoids_overload && would_collapse;
                    if !b.is_up
                        || b.is_cut_off
                        || b.is_draining
                        || is_full
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
                    let finish_in = (wait + work) / b.rate();
                    if finish_in < best.0 {
                        best = (finish_in, Some(i));
                    }
                }
                let time_left = (active.command.arrived_at + goal).since(now).as_f64();
                let is_in_time = best.0 <= time_left;
                if !avoids_overload {
                    return best.1.filter(|_| is_in_time);
                }
                // The threshold rises while the best backend leaves little of the goal time, and falls otherwise.
                let is_tight = best.0 > TIGHT_SHARE_OF_GOAL_TIME * time_left;
                let (min, max) =
                    (self.payoff_density.iter().copied().fold(f64::MAX, f64::min), self.max_payoff_density());
                self.min_payoff_density = match is_tight {
                    true => (self.min_payoff_density * 1.05).clamp(0.5 * min, 1.05 * max),
                    false => self.min_payoff_density * 0.97,
                };
                let pays_enough = self.payoff_density[profile] >= self.min_payoff_density;
                return best.1.filter(|_| is_in_time && (pays_enough || !is_tight));
            }
        })
    }

    fn max_payoff_density(&self) -> f64 {
        self.payoff_density.iter().copied().fold(0.0, f64::max)
    }

    fn give_up(&mut self, active: &mut ActiveCommand) -> Decision {
        if active.in_flight() > 0 {
            return Decision::Wait;
        }
        active.command.is_closed = true;
        let effect = self.effects[usize::from(active.command.profile.0)];
        let retry_is_safe = effect == CommandEffect::Repeatable
            || active.launches.iter().all(|s| s.state == LaunchState::NotRun);
        if retry_is_safe {
            Decision::Reject(self.retry_after)
        } else {
            Decision::Fail
        }
    }
}

impl Policy for SimplePolicy {
    fn decide(
        &mut self,
        now: Timestamp,
        _: CommandHandle,
        active: &mut ActiveCommand,
        fleet: &Fleet,
    ) -> Decision {
        if active.command.is_closed || active.in_flight() > 0 {
            return Decision::Wait;
        }
        match self.choose_backend(now, active, fleet) {
            Some(i) => {
                self.in_flight[i] += 1;
                Decision::Launch(BackendId(i as u32))
            }
            None => self.give_up(active),
        }
    }

    fn on_launch_outcome(
        &mut self,
        now: Timestamp,
        command: CommandHandle,
        active: &mut ActiveCommand,
        launch_index: u8,
        outcome: Outcome,
        fleet: &Fleet,
    ) -> Decision {
        self.in_flight[active.launches[usize::from(launch_index)].backend] -= 1;
        if active.command.is_closed || outcome == Outcome::Finished {
            return Decision::Wait;
        }
        let effect = self.effects[usize::from(active.command.profile.0)];
        let retry_is_safe = effect == CommandEffect::Repeatable || outcome.proves_not_run(false);
        if retry_is_safe && active.launches.len() < self.max_launches && now < active.command.deadline {
            return self.decide(now, command, active, fleet);
        }
        self.give_up(active)
    }

    fn wakeup_delay(&self, now: Timestamp, active: Option<&ActiveCommand>) -> Option<Micros> {
        (active.is_none() && self.needs_list).then(|| self.request_list_at.since(now))
    }

    fn on_client_gone(&mut self, active: &mut ActiveCommand) {
        active.command.is_closed = true;
    }

    fn apply_list(&mut self, now: Timestamp, kind: ListUpdateKind, entries: &[ListEntry]) {
        match kind {
            ListUpdateKind::Failed | ListUpdateKind::Silent => {
                self.needs_list = true;
                self.request_list_at = now + Micros(self.list_request_interval.0.min(1_000_000) / 4);
                return;
            }
            ListUpdateKind::Snapshot | ListUpdateKind::Delta => self.needs_list = false,
            ListUpdateKind::Cached => {}
        }
        if kind != ListUpdateKind::Delta {
            self.listed.clear();
        }
        for entry in entries {
            match self.listed.iter_mut().find(|l| l.backend == entry.backend) {
                Some(old) => *old = *entry,
                None => self.listed.push(*entry),
            }
            self.in_flight.resize(self.in_flight.len().max(entry.backend.0 as usize + 1), 0);
        }
        let ready = self.listed.iter().filter(|l| l.state == BackendState::Ready);
        self.ready = ready.map(|l| l.backend.0 as usize).collect();
    }

    fn on_load_report(&mut self, _: Timestamp, _: BackendId, _: bool, _: Micros, _: &[f32]) {}

    fn next_action(&mut self, now: Timestamp) -> Option<Action> {
        if self.needs_list && now >= self.request_list_at {
            self.request_list_at = now + self.list_request_interval.scaled(0.5);
            return Some(Action::RequestList);
        }
        None
    }
}
