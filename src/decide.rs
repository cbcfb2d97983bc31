//! Load-balancing decisions of one node: distributed Join-Idle-Queue without withdrawal of tokens (docs/design.md).
//!
//! The caller asks `decide`, `on_launch_outcome` and `wakeup_delay` what to do with a command, passes in events (list
//! updates, load reports, clients that have gone) and carries out what `next_action` returns. Nothing here blocks,
//! reads a clock or touches a socket.

use crate::allowance::{RetryAllowance, DEFAULT_RETRY_BUDGET};
use crate::backend::{Backend, ProfileStats};
pub use crate::backend_list::{BackendState, ListEntry, ListUpdateKind};
use crate::command::{Command, Launch, LaunchBounds, LaunchState, Outcome, QueuedCommand, MAX_LAUNCHES};
pub use crate::decision::{Action, Decision};
use crate::ids::{BackendId, BackendTypeId, CommandHandle};
use crate::list_calls::ListCalls;
use crate::portion;
use crate::random::Rng;
use crate::settings::{DedupScope, Idempotency, Profile, RetryBudget, Settings};
use crate::times::{Micros, Timestamp};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// State and decisions of one node. Work is counted in standard microseconds: the time that a backend of average
/// speed takes for it.
#[derive(Default)]
pub struct Balancer {
    settings: Settings,
    rng: Rng,
    backends: Vec<Backend>,
    /// Index into `backends` by id.
    backend_indices: BTreeMap<BackendId, usize>,
    /// Backends that operators have put in maintenance, whatever the list says of them.
    in_maintenance: BTreeSet<BackendId>,
    /// Indices of the ready backends in hash order, rotated to this node's start position.
    ready_backends: Vec<usize>,
    /// The node considers only this many of them, from the first one on: its subset.
    subset_size: usize,
    /// Number of healthy backends of the subset that the node keeps to while they have room.
    preferred_size: usize,
    /// Number of commands received, decaying with a half-life of four seconds.
    decayed_arrivals: f64,
    /// When the decaying sums were last updated.
    decayed_at: Timestamp,
    /// Work that each backend of the subset has done for this node, decaying with the same half-life.
    decayed_work_per_backend: f64,
    /// Buffer of `choose_backend`, kept to reuse its allocation.
    candidates: Vec<usize>,
    /// Learned statistics by profile index.
    profile_stats: Vec<ProfileStats>,
    /// Mean work of a command over all profiles.
    mean_work: f64,
    /// Answers that `mean_work` averages over.
    answer_count: f64,
    /// Mean time per unit of work by backend type: the first estimate for a new backend.
    time_per_work_by_type: BTreeMap<BackendTypeId, f64>,
    /// Commands that wait for a backend; the last element is launched next.
    queue: Vec<QueuedCommand>,
    /// Actions for the caller; the last one pushed is carried out first.
    actions: Vec<Action>,
    /// Number of commands received since the start.
    arrivals_seen: u64,
    last_launch_at: Timestamp,
    /// Factor on expected times: about the 0.7 quantile of actual over expected time per unit of work.
    latency_margin: f64,
    /// Count of launches beyond each command's first, and how many more are allowed.
    retry_allowance: RetryAllowance,
    /// Moving average of the share of commands rejected.
    rejection_rate: f64,
    /// Share of the incoming work that is admitted; the most valuable work goes first. A value above 1 is credit that
    /// a few late launches may use up before anything is rejected.
    admitted_fraction: f64,
    /// Moving average of the share of their goal time that launches take.
    goal_time_use: f64,
    /// Payoff density, expected work and affinity key of recent commands.
    recent_arrivals: [(f64, f64, u64); RECENT_ARRIVALS],
    /// Moving average of other nodes' commands in flight at a backend, from reports.
    mean_peer_in_flight: f64,
    /// Median over the subset of the share of launches that failed.
    median_failure_share: f64,
    /// Moving average of the share of late launches among those to backends with nothing ahead.
    false_idle_rate: f64,
    /// Moving average of the share of launches that backends refused as full.
    full_rate: f64,
    /// Moving average of the share of dials that failed.
    dial_failure_rate: f64,
    /// Moving average of the share of launches lost on connections that were in use just before.
    used_connection_loss_rate: f64,
    /// The same for connections that had been idle.
    idle_connection_loss_rate: f64,
    /// Longest idle time, in microseconds, after which a connection is still trusted to be alive.
    trusted_idle_us: f64,
    /// Number of probes that may be sent; each command adds to it by what it may spend on probes.
    probe_credit: f64,
    /// Moving average of the round-trip time of probes.
    probe_round_trip_us: f64,
    list_calls: ListCalls,
    /// After this time nothing is launched by the current list: an update that has not arrived here already binds
    /// this node.
    list_usable_until: Timestamp,
}

/// Longest delay of a process between its decision and the write to the socket.
const MAX_SEND_DELAY: Micros = Micros::from_millis(150);

/// Lifetime of an idle token, as in the proposal of the algorithm (docs/design.md).
const TOKEN_EXPIRY: Micros = Micros::from_millis(2000);
/// Share of commands that choose between two random backends instead of taking an idle token, as in the proposal.
const EXPLORATION_SHARE: f64 = 0.1;
/// Smallest number of backends that a node considers: if a third of them fail at once it still has a choice. Half as
/// many again where probes find the idle one among them; where backends report nothing, a smaller subset loses fewer
/// commands.
const MIN_SUBSET_SIZE: usize = 8;
/// Share of its payoff, one hundredth, that a command may spend on probes. Where a probe costs more, probes are not
/// used at all.
const PROBE_SPENDING_SHARE: f64 = 0.01;
/// Number of recent commands kept: enough to tell valuable from cheap work, few enough to follow a change.
const RECENT_ARRIVALS: usize = 32;
/// Share by which one late launch reduces the admitted fraction: four in a row halve it.
const ADMISSION_STEP: f64 = 0.15;
/// Share of launches that may be late before admission is reduced.
const ACCEPTED_LATE_SHARE: f64 = 0.1;
/// Mean share of their goal time that launches may take where many nodes share the fleet: 0.9 of the mean at which a
/// fifth of the accepted share is late (docs/assumptions.md).
const TARGET_GOAL_TIME_USE: f64 = 0.23;
/// Increase of that mean, as a share of it, where backends refuse one launch in forty or more as full: their queues
/// are bounded, which limits the spread of latencies. At the increased mean half of the accepted share is late.
const BOUNDED_QUEUE_BONUS: f64 = 0.4;
/// Backends probed in one round: at two thirds load one of three is nearly always idle.
const PROBES_PER_ROUND: usize = 3;
/// Rounds of probes while none finds an idle backend: at two thirds load the third round still fails for one command
/// in thirty.
const MAX_PROBE_ROUNDS: u8 = 5;
/// Interval at which a queued command looks for a free backend, in multiples of the mean work of a command: about
/// 20 ms at a mean work of 75 ms.
const RECHECK_INTERVAL_IN_MEAN_WORK: f64 = 0.27;
/// Age up to which a report or an idle token counts as fresh, in the same unit: about 10 ms at 75 ms.
const FRESHNESS_IN_MEAN_WORK: f64 = 0.13;
/// Wait for probes beyond twice their round trip, in the same unit: about 2.5 ms at 75 ms.
const PROBE_WAIT_IN_MEAN_WORK: f64 = 0.033;

/// Answers of a profile before work hints are used: a slope fitted through fewer is chance.
const MIN_ANSWERS_FOR_HINTS: f64 = 12.0;

/// Share of failed dials above which only open connections are used.
const DIAL_FAILURE_LIMIT: f64 = 0.15;

/// A connection idle for less than this counts as in use: no device on the path drops connections that soon.
const BRIEF_IDLE_TIME: Micros = Micros::from_millis(200);
/// Share of launches lost on connections idle for longer than that, above which idle connections count as dropped on
/// the path. It takes two losses in six, as a single heavy command may look lost on any connection.
const IDLE_LOSS_LIMIT: f64 = 0.3;

/// Additional places of a hot key per backend's worth of its traffic; fewer than one, as commands need about half the
/// work where their key is known. A key with little traffic has one place, or two where reports count commands in
/// flight.
const HOT_KEY_PLACES_PER_BACKEND: f64 = 0.75;

/// After this time without a launch a node tries a backend even if none seems to have room.
const FORCED_TRY_INTERVAL: Micros = Micros::from_millis(1000);

/// Multiples of its expected time after which a launch counts as lost: past its goal time, and within it. It is lower
/// past the goal time, as the answer is worth nothing any more, and higher within it, where a second launch may
/// follow.
const LOST_AFTER_EXPECTED_TIMES: [f64; 2] = [6.0, 10.0];
/// The same within the goal time where the first launch is cancelled before the second one starts, so that no work is
/// doubled.
const CANCEL_AFTER_EXPECTED_TIMES: f64 = 7.0;

/// Assumed work of a profile's commands, as a share of its goal time, until the first answer.
const INITIAL_WORK_PER_GOAL_TIME: f64 = 0.1;

fn initial_work(profile: &Profile) -> f64 {
    INITIAL_WORK_PER_GOAL_TIME * profile.goal_time.as_f64()
}

impl Balancer {
    /// A node that starts now. `seed` determines all random draws.
    pub fn new(settings: Settings, seed: u64, now: Timestamp) -> Balancer {
        let profile_stats: Vec<_> =
            settings.profiles.iter().map(|profile| ProfileStats::new(initial_work(profile))).collect();
        let mean_work = profile_stats.iter().map(|stats| stats.mean_work).fold(0.0, f64::max);
        let mut node = Balancer {
            settings,
            rng: Rng::new(seed),
            subset_size: MIN_SUBSET_SIZE,
            preferred_size: MIN_SUBSET_SIZE,
            decayed_at: now,
            profile_stats,
            mean_work,
            latency_margin: 1.6,
            admitted_fraction: 1.0,
            trusted_idle_us: f64::INFINITY,
            list_usable_until: Timestamp(u64::MAX),
            ..Balancer::default()
        };
        node.goal_time_use = TARGET_GOAL_TIME_USE;
        node.list_calls = ListCalls::new(&node.settings, now, &mut node.rng);
        node
    }

    /// Decides what to do with a command: launch it at a backend, wait, or end it. Also called when its wakeup delay
    /// is over.
    pub fn decide(&mut self, now: Timestamp, handle: CommandHandle, command: &mut Command) -> Decision {
        if command.is_closed {
            return Decision::Wait;
        }
        if !command.is_registered {
            self.register_arrival(now, command);
            if !self.is_admitted(command) {
                return self.reject_or_fail(command);
            }
        }
        if command.awaited_launch().is_some() {
            return self.on_overdue_launch(now, handle, command);
        }
        if command.in_flight_count() > 0 && !self.settings.concurrent_launches_allowed {
            return Decision::Wait; // its launch is lost, and a timer set earlier has expired
        }
        if self.retry_allowed_at(now, command) > now {
            return self.relaunch_or_end(now, handle, command); // the retry budget it was queued for has been used
        }
        if now >= self.list_usable_until {
            return self.queue_or_reject(now, handle, command);
        }
        let chosen = self.choose_backend(now, command);
        if self.probe_first(now, handle, command, chosen) {
            return Decision::Wait;
        }
        match chosen {
            Some(backend_index) if self.has_stale_connections(now, backend_index) => {
                self.backends[backend_index].open_connections = 0;
                command.reevaluate_at = now;
                self.actions.push(Action::Reevaluate(handle)); // the last action pushed is carried out first
                self.actions.push(Action::CloseIdleConnections(self.backends[backend_index].entry.backend));
                Decision::Wait
            }
            Some(backend_index) => self.launch(now, command, backend_index),
            None => self.queue_or_reject(now, handle, command),
        }
    }

    /// Decides what to do with a command after the outcome of one of its launches.
    pub fn on_launch_outcome(
        &mut self,
        now: Timestamp,
        handle: CommandHandle,
        command: &mut Command,
        launch_number: u8,
        outcome: Outcome,
    ) -> Decision {
        let Some(launch) = command.launch(launch_number).filter(|l| l.state == LaunchState::InFlight) else {
            return Decision::Wait;
        };
        let not_run = outcome.proves_not_run(self.settings.full_may_have_run);
        launch.state = if not_run { LaunchState::NotRun } else { LaunchState::MayHaveRun };
        let launch = *launch;
        if command.is_closed || outcome == Outcome::Finished {
            self.dequeue(command); // it may be queued for a second launch
        }
        self.learn_from_outcome(now, command, &launch, outcome);
        self.wake_next_queued();
        if command.is_closed || outcome == Outcome::Finished || command.awaited_launch().is_some() {
            return Decision::Wait;
        }
        self.relaunch_or_end(now, handle, command)
    }

    /// Called when the last byte of a command's body arrives after its launch has begun. Only now does the launch
    /// count as in flight: a backend starts with the last byte, and slow clients would make it look full and silent.
    /// The command's own time counts from `ended_at`, when its client had written that byte.
    pub fn on_body_complete(&mut self, now: Timestamp, ended_at: Timestamp, command: &mut Command) {
        command.on_body_complete(now, ended_at);
        if let Some(launch) = command.awaited_launch() {
            self.backends[self.backend_indices[&launch.backend]].add_in_flight(now, launch.expected_work);
        }
    }

    /// Called when no launch is awaited any more: launches the command again, or ends it.
    fn relaunch_or_end(&mut self, now: Timestamp, handle: CommandHandle, command: &mut Command) -> Decision {
        let allowed_at = self.retry_allowed_at(now, command);
        let reserve = if allowed_at > now {
            Micros((self.expected_work(command) * self.latency_margin.sqrt()) as u64)
        } else {
            Micros(0)
        };
        if allowed_at + reserve < self.goal_deadline(command) && self.can_launch(allowed_at, command) {
            self.dequeue(command);
            command.probe_rounds = 0;
            if allowed_at <= now {
                return self.decide(now, handle, command);
            }
            command.reevaluate_at = allowed_at;
            return Decision::Wait;
        }
        if command.in_flight_count() > 0 {
            return Decision::Wait; // a lost launch may still be answered
        }
        self.reject_or_fail(command)
    }

    /// When the retry budget allows a further launch. Once half of the budget is used, only commands of high payoff
    /// density get one.
    fn retry_allowed_at(&self, now: Timestamp, command: &Command) -> Timestamp {
        if command.launch_count() == 0 {
            return now;
        }
        let budget = self.retry_budget();
        let (used, limit) = self.retry_allowance.usage(now, budget);
        let mean_density = self.recent_arrivals.iter().map(|r| r.0).sum::<f64>() / RECENT_ARRIVALS as f64;
        let is_allowed =
            used + 1.0 <= limit && (used < 0.5 * limit || command.payoff_density >= 0.8 * mean_density);
        match is_allowed {
            true => now,
            false => self.retry_allowance.next_free_at(now, budget),
        }
    }

    fn retry_budget(&self) -> RetryBudget {
        self.settings.retry_budget.unwrap_or(DEFAULT_RETRY_BUDGET)
    }

    /// Time until `decide` should be called again for this command, or `next_action` for the node (`None`).
    pub fn wakeup_delay(&self, now: Timestamp, command: Option<&Command>) -> Option<Micros> {
        let at = command.map_or(self.list_calls.next_at(), |command| command.reevaluate_at);
        (at < Timestamp(u64::MAX)).then(|| at.since(now))
    }

    /// The client has disconnected: the command leaves the queue and is closed.
    pub fn on_client_gone(&mut self, command: &mut Command) {
        self.dequeue(command);
        command.is_closed = true;
        command.reevaluate_at = Timestamp(u64::MAX);
    }

    /// Takes in an update of the backend list, or that a call for the list has failed.
    pub fn apply_list(
        &mut self,
        now: Timestamp,
        update: ListUpdateKind,
        entries: impl Iterator<Item = ListEntry>,
    ) {
        if update.is_failure() {
            self.list_calls.on_call_ended(now, &self.settings, &mut self.rng);
            return;
        }
        if update != ListUpdateKind::Cached {
            self.list_calls.watch_opened();
        }
        let is_snapshot = update != ListUpdateKind::Delta;
        self.backends
            .iter_mut()
            .filter(|_| is_snapshot)
            .for_each(|backend| backend.entry.state = BackendState::Gone);
        for entry in entries {
            self.apply_entry(now, entry);
        }
        self.rebuild_ready_backends();
    }

    /// From `expires_at` on, an update of the list that has not arrived here counts as known to this node. `None`
    /// once it has arrived, and while discovery is down: the list then stays in use. Commands are launched by the
    /// current list until the drain grace after that time is over; from then on they are queued until discovery
    /// answers. Without effect where the list is pushed.
    pub fn set_list_expiry(&mut self, expires_at: Option<Timestamp>) {
        let grace = Micros(self.settings.drain_grace.0.saturating_sub(MAX_SEND_DELAY.0));
        let expires_at = expires_at.filter(|_| self.settings.list_is_requested);
        self.list_usable_until = expires_at.map_or(Timestamp(u64::MAX), |expiry| expiry + grace);
        self.wake_next_queued();
    }

    /// Takes a backend out of use whatever the list says of it, or returns it to use. A returned backend counts as
    /// cold and all that was learned of it is discarded. It gets the next command, before any idle token, as nothing
    /// else may show its state soon.
    pub fn set_maintenance(&mut self, now: Timestamp, backend: BackendId, in_maintenance: bool) {
        if in_maintenance {
            self.in_maintenance.insert(backend);
            self.actions.push(Action::CloseIdleConnections(backend));
        } else if self.in_maintenance.remove(&backend) {
            if let Some(&backend_index) = self.backend_indices.get(&backend) {
                self.apply_entry(now, ListEntry { started_at: now, ..self.backends[backend_index].entry });
                self.backends[backend_index].is_untried_after_maintenance = true;
            }
        }
        self.rebuild_ready_backends();
    }

    /// Until when a delayed launch may still be written to its socket, given the list, maintenance, its deadline and
    /// the command's other launches. A time in the past means never.
    pub fn launch_valid_until(&self, command: &Command, launch_number: u8) -> Timestamp {
        let (bounds, launch) = (
            self.launch_bounds(command, Some(launch_number)),
            command.launches().nth(usize::from(launch_number)),
        );
        let is_usable = launch
            .and_then(|launch| self.backend_indices.get(&launch.backend))
            .is_some_and(|&backend_index| self.is_usable(backend_index));
        let deadline = if command.is_body_incomplete { Timestamp(u64::MAX) } else { command.deadline };
        let until = bounds.until.min(deadline).min(self.list_usable_until);
        if bounds.may_launch && is_usable {
            until
        } else {
            Timestamp(0)
        }
    }

    /// Whether operators have taken this backend out of use.
    pub fn is_in_maintenance(&self, backend: BackendId) -> bool {
        self.in_maintenance.contains(&backend)
    }

    /// Whether the backend is listed as ready and not in maintenance.
    fn is_usable(&self, backend_index: usize) -> bool {
        let entry = &self.backends[backend_index].entry;
        entry.state == BackendState::Ready && !self.is_in_maintenance(entry.backend)
    }

    /// Rebuilds the ordered list of usable backends after the list, maintenance or membership has changed.
    fn rebuild_ready_backends(&mut self) {
        let (usable, unusable): (Vec<_>, Vec<_>) =
            (0..self.backends.len()).partition(|&backend_index| self.is_usable(backend_index));
        self.ready_backends = usable;
        unusable.into_iter().for_each(|backend_index| self.backends[backend_index].idle_token = None);
        let backends = &self.backends;
        self.ready_backends
            .sort_by_cached_key(|&backend_index| portion::hash_rank(backends[backend_index].entry.name_hash));
        let start_position = portion::start_position(&self.settings, self.ready_backends.len());
        self.ready_backends.rotate_left(start_position);
        self.wake_next_queued();
    }

    /// Replaces the settings. Profiles keep their index and new ones follow at the end, so that a command finishes
    /// under the profile it arrived with. What is known of backends and launches in flight is kept.
    pub fn replace_settings(&mut self, settings: Settings) {
        self.settings = settings;
        let new_profiles = self.settings.profiles.iter().skip(self.profile_stats.len());
        self.profile_stats.extend(new_profiles.map(|profile| ProfileStats::new(initial_work(profile))));
        self.rebuild_ready_backends();
    }

    /// Sets how many nodes share the fleet, and this node's index among them.
    pub fn set_membership(&mut self, node_count: u32, node_index: u32) {
        (self.settings.node_count, self.settings.node_index) = (node_count, node_index);
        self.rebuild_ready_backends();
    }

    /// Sets whether the previous process of this node still runs.
    pub fn set_predecessor_running(&mut self, now: Timestamp, is_running: bool) {
        self.retry_allowance.set_predecessor_running(now, is_running, self.retry_budget());
    }

    /// Takes in one entry of the list.
    fn apply_entry(&mut self, now: Timestamp, entry: ListEntry) {
        let time_per_work = self.time_per_work_by_type.get(&entry.backend_type).copied().unwrap_or(1.0);
        // With many nodes, each node's share of a cold backend's budget may be less than one command. The leaky
        // bucket therefore starts filled by a random part of the shortfall, so that the first commands of all nodes
        // do not arrive together.
        let cold_limit = self.cold_work_rate(now, entry.started_at) * self.settings.collapse_window.as_f64();
        let cold_level = (self.mean_work - cold_limit).max(0.0) * self.rng.next_unit();
        let new_backend = Backend::new(now, entry, time_per_work, cold_level);
        match self.backend_indices.get(&entry.backend) {
            None => {
                self.backend_indices.insert(entry.backend, self.backends.len());
                self.backends.push(new_backend);
            }
            Some(&backend_index) if self.backends[backend_index].entry.started_at < entry.started_at => {
                // The backend has restarted: all that was learned of it is void, but launches in flight there still
                // get an outcome.
                let (in_flight, pending_work) =
                    (self.backends[backend_index].in_flight, self.backends[backend_index].pending_work);
                self.backends[backend_index] = Backend { in_flight, pending_work, ..new_backend };
            }
            Some(&backend_index) => {
                let peer_in_flight = self.backends[backend_index].update_entry(entry);
                self.mean_peer_in_flight += 0.01
                    * f64::from(self.settings.weights_are_live)
                    * (peer_in_flight - self.mean_peer_in_flight);
            }
        }
    }

    /// Takes in a load report, from a probe (then with its round-trip time) or with an answer. `was_found` is false
    /// if a probe got no answer; `values` are in the order of the settings' report fields.
    pub fn on_load_report(
        &mut self,
        now: Timestamp,
        backend_id: BackendId,
        was_found: bool,
        round_trip: Option<Micros>,
        values: &[f32],
    ) {
        let Some(&backend_index) = self.backend_indices.get(&backend_id) else { return };
        let reports_reliable = self.reports_are_reliable();
        let backend = &mut self.backends[backend_index];
        if let Some(round_trip) = round_trip {
            backend.probe_sent_at = None;
            backend.last_probe_failed = !was_found;
            self.probe_round_trip_us +=
                0.05 * f64::from(was_found) * (round_trip.as_f64() - self.probe_round_trip_us);
        }
        let value = |index: Option<usize>| index.and_then(|index| values.get(index)).map(|&v| f64::from(v));
        let queued = value(self.settings.report_queue_index);
        // Reports are slightly noisy, so less than half a command counts as none. Where they count queued commands
        // only, the utilization of the cores stands for the commands in progress.
        let utilization =
            value(self.settings.report_utilization_index).map_or(0.0, |utilization| utilization.min(1.0));
        let in_flight = value(self.settings.report_in_flight_index)
            .map(|commands| commands.max(queued.unwrap_or(0.0)).round());
        let Some(commands) = in_flight.or(queued.map(|queued| queued.round() + utilization)) else { return };
        // An idle token that the answer of this same report has just created is void if the report shows commands in
        // flight.
        backend.idle_token =
            backend.idle_token.filter(|_| commands == 0.0 || round_trip.is_some() || !reports_reliable);
        backend.peer_in_flight = (commands - f64::from(backend.in_flight)).max(0.0);
        backend.reported_at = now;
        // Averages over some twenty reports: a few seconds for a node with little traffic, and no single report has
        // much weight.
        self.mean_peer_in_flight += 0.05 * (backend.peer_in_flight - self.mean_peer_in_flight);
        if commands < 0.1 && backend.in_flight == 0 {
            backend.abandoned_work = 0.0;
            if backend.has_answered && backend.entry.state == BackendState::Ready && reports_reliable {
                backend.idle_token = Some(now);
            }
            self.wake_next_queued();
        }
    }

    /// The next action for the caller to carry out, if there is one.
    pub fn next_action(&mut self, now: Timestamp) -> Option<Action> {
        if self.actions.is_empty() && self.list_calls.take_due_call(now, &self.settings) {
            return Some(Action::RequestList);
        }
        self.actions.pop()
    }

    /// Takes in a new command: updates the traffic statistics, the subset of backends and the admitted fraction.
    fn register_arrival(&mut self, now: Timestamp, command: &mut Command) {
        command.is_registered = true;
        self.arrivals_seen += 1;
        command.arrival_order = self.arrivals_seen;
        // A node considers as many backends as it can send to in half the lifetime of a token. Spread over hundreds
        // of backends it would have current knowledge of none of them, while other nodes use other subsets.
        let decay = self.decay_factor(now);
        self.decayed_arrivals = 1.0 + self.decayed_arrivals * decay;
        self.decayed_work_per_backend *= decay;
        self.dial_failure_rate *= decay;
        self.decayed_at = now;
        let arrivals_per_us = self.decayed_arrivals * std::f64::consts::LN_2 / 4e6;
        let min_size = if self.reports_are_reliable() { MIN_SUBSET_SIZE * 3 / 2 } else { MIN_SUBSET_SIZE };
        // A key has the same place for all nodes only if all consider the same backends: the subset then grows to as
        // many as keep a connection open.
        let token_lifetime = if self.settings.key_affinity {
            self.settings.connection_idle_timeout.max(TOKEN_EXPIRY)
        } else {
            TOKEN_EXPIRY
        };
        self.subset_size = min_size.max((0.5 * arrivals_per_us * token_lifetime.as_f64()) as usize);
        self.preferred_size = usize::MAX;
        if self.probes_are_too_expensive() || self.settings.connection_penalty > 0.0 {
            // The few commands that could pay for a probe lose more than they gain, and the result is outdated when
            // the next command arrives.
            self.preferred_size = portion::preferred_size(
                &self.settings,
                self.ready_backends.len(),
                arrivals_per_us * self.mean_work,
            );
        } else {
            self.probe_credit = (self.probe_credit
                + (PROBE_SPENDING_SHARE / self.settings.probe_penalty.max(1e-4)).min(5.0))
            .min(40.0);
        }
        self.retry_allowance.record(now, self.retry_budget(), false);
        let work = self.expected_work(command);
        let work_divisor = if self.settings.payoff_is_per_work { 1.0 } else { work.max(1.0) };
        let payoff_density = self.profile_of(command).payoff / work_divisor;
        // A client's retry has spent part of its goal time elsewhere.
        command.payoff_density = if command.is_client_retry { payoff_density * 0.5 } else { payoff_density };
        self.recent_arrivals[self.arrivals_seen as usize % RECENT_ARRIVALS] =
            (command.payoff_density, work.max(1.0), command.affinity_key);
        // With two nodes admission follows late launches, with many it follows the share of their goal time that all
        // launches take. Each command adds some credit, or single heavy commands would cause rejections all the time.
        let unobserved = self.unobserved_share();
        let distance_to_target = TARGET_GOAL_TIME_USE
            * (1.0 + BOUNDED_QUEUE_BONUS * (40.0 * self.full_rate).min(1.0))
            - self.goal_time_use;
        let mean_correction =
            unobserved * distance_to_target * self.admitted_fraction * self.admitted_fraction;
        let step = ADMISSION_STEP * (ACCEPTED_LATE_SHARE * (1.0 - 0.8 * unobserved) + mean_correction);
        self.admitted_fraction = (self.admitted_fraction + step).clamp(0.1, 1.4);
    }

    /// Factor by which the decaying sums have shrunk since the last command.
    fn decay_factor(&self, now: Timestamp) -> f64 {
        (-now.since(self.decayed_at).as_f64() / 4e6).exp2()
    }

    /// Whether probes are allowed but cost more than they are worth.
    fn probes_are_too_expensive(&self) -> bool {
        self.settings.probes_allowed && self.settings.probe_penalty > PROBE_SPENDING_SHARE
    }

    /// Whether a command belongs to the most valuable work, as far as that fits the admitted fraction. Ties are
    /// broken at random, so that nodes do not open and close together.
    fn is_admitted(&mut self, command: &Command) -> bool {
        let draw = self.rng.next_unit();
        let (mut more_valuable_work, mut total_work) = (0.0, 0.0);
        for &(payoff_density, work, _) in &self.recent_arrivals {
            total_work += work;
            more_valuable_work += if payoff_density > command.payoff_density {
                work
            } else {
                f64::from(payoff_density == command.payoff_density) * draw * work
            };
        }
        more_valuable_work <= self.admitted_fraction * total_work
    }

    /// Handles a command with an awaited launch that is late. Past its goal time it shows that the fleet is fuller
    /// than this node can see. After a multiple of its expected time it counts as lost: it no longer occupies the
    /// backend, and within the goal time the command may be launched again.
    fn on_overdue_launch(
        &mut self,
        now: Timestamp,
        handle: CommandHandle,
        command: &mut Command,
    ) -> Decision {
        let goal_deadline = self.goal_deadline(command);
        command.reevaluate_at = Timestamp(u64::MAX);
        let Some(awaited) = command.awaited_launch() else { return Decision::Wait };
        awaited.is_lost = now >= awaited.lost_at;
        let launch = *awaited;
        if launch.is_lost {
            let backend_index = self.backend_indices[&launch.backend];
            self.record_connection_loss(&launch, true);
            self.record_evidence(now, backend_index, 0.0, 1.0);
            self.backends[backend_index].remove_in_flight(&launch);
            self.backends[backend_index].add_abandoned_work(now, launch.expected_work);
            self.wake_next_queued();
            if self.settings.concurrent_launches_allowed {
                return self.relaunch_or_end(now, handle, command);
            }
            // The lost launch is cancelled first, and the command is launched again only when that is done: never two
            // launches at once.
            let last_number = command.launch_count() - 1;
            return match self.settings.cancel_supported
                && now < goal_deadline
                && self.can_launch(now, command)
            {
                true => Decision::CancelLaunch(last_number as u8),
                false => Decision::Wait,
            };
        }
        command.reevaluate_at =
            if now < goal_deadline { goal_deadline.min(launch.lost_at) } else { launch.lost_at };
        if now >= goal_deadline && self.reflects_fleet_load(&launch) {
            self.update_goal_time_use(&launch, 1.0);
            self.reduce_admission(1.0 - self.unobserved_share());
        }
        Decision::Wait
    }

    /// Whether reports show the load of other nodes, and launches to backends reported idle have rarely been late
    /// recently.
    fn reports_are_reliable(&self) -> bool {
        let settings = &self.settings;
        let show_load = settings.report_in_flight_index.is_some()
            || settings.report_utilization_index.is_some() && settings.reports_piggybacked;
        show_load && (settings.probes_allowed || settings.reports_piggybacked) && self.false_idle_rate < 0.35
    }

    /// Whether reports count all commands in flight, rather than showing only how full a backend is.
    fn reports_count_in_flight(&self) -> bool {
        self.reports_are_reliable() && self.settings.report_in_flight_index.is_some()
    }

    /// Whether the node can find out about any backend: reports that come with answers only tell of backends it has
    /// just used.
    fn can_probe_any(&self) -> bool {
        !self.settings.reports_piggybacked && self.reports_are_reliable()
    }

    /// Whether the latency of a launch reflects the load of the fleet. If the backend was reported idle, it reflects
    /// the command or the backend instead.
    fn reflects_fleet_load(&self, launch: &Launch) -> bool {
        !self.reports_count_in_flight() || launch.work_ahead > 1.5 * launch.expected_work
    }

    /// The share of their goal time that launches take shows the load of the fleet sooner than the few late ones do.
    /// Latencies are about exponential: a share `p` of launches is late when the mean is `1 / ln(1 / p)` of the goal
    /// time.
    fn update_goal_time_use(&mut self, launch: &Launch, share: f64) {
        self.goal_time_use +=
            0.3 * f64::from(self.reflects_fleet_load(launch)) * (share - self.goal_time_use);
    }

    /// Share of the load on backends that this node neither causes nor sees: 0 for two nodes.
    fn unobserved_share(&self) -> f64 {
        let node_count = if self.reports_count_in_flight() { 2 } else { self.settings.node_count.max(2) };
        1.0 - 2.0 / f64::from(node_count)
    }

    /// Reduces the admitted fraction, by the full step at a weight of 1.
    fn reduce_admission(&mut self, weight: f64) {
        self.admitted_fraction = (self.admitted_fraction * (1.0 - ADMISSION_STEP * weight)).max(0.1);
    }

    fn profile_of(&self, command: &Command) -> &Profile {
        &self.settings.profiles[usize::from(command.profile.0)]
    }

    fn stats_of(&self, command: &Command) -> &ProfileStats {
        &self.profile_stats[usize::from(command.profile.0)]
    }

    /// When the command's goal time ends, or its deadline if that is earlier.
    fn goal_deadline(&self, command: &Command) -> Timestamp {
        let profile = self.profile_of(command);
        (command.arrived_at + profile.goal_time).min(command.deadline)
    }

    /// Expected work of a command in standard microseconds.
    fn expected_work(&self, command: &Command) -> f64 {
        let stats = self.stats_of(command);
        let Some(hint) = command
            .work_hint
            .filter(|_| stats.answer_count > MIN_ANSWERS_FOR_HINTS && stats.hint_variance > 0.0)
        else {
            return stats.mean_work;
        };
        // Hints are rough: they count as far as past work has followed them.
        let slope = (stats.hint_work_covariance / stats.hint_variance)
            .clamp(0.0, stats.mean_work / stats.mean_hint.max(1.0));
        (stats.mean_work + slope * (hint.as_f64() - stats.mean_hint))
            .clamp(0.2 * stats.mean_work, 4.0 * stats.mean_work)
    }

    /// Expected work, for use where an overestimate would reject the command: a profile without any answer counts for
    /// no more than the mean work.
    fn cautious_expected_work(&self, command: &Command) -> f64 {
        let has_answers = self.stats_of(command).answer_count > 0.0;
        let limit = if has_answers { f64::MAX } else { self.mean_work };
        self.expected_work(command).min(limit)
    }

    /// Where this command may still be launched and until when. Unrestricted unless an earlier launch may have run
    /// (leaving out launch `except`).
    fn launch_bounds(&self, command: &Command, except: Option<u8>) -> LaunchBounds {
        let profile = self.profile_of(command);
        let mut bounds = LaunchBounds {
            may_launch: true,
            may_reject: true,
            until: Timestamp(u64::MAX),
            zone: None,
            group: None,
        };
        let Some(earlier) = command.first_that_may_have_run(except) else { return bounds };
        match (profile.idempotency, profile.dedup_scope) {
            (Idempotency::Repeatable, _) => {}
            (Idempotency::Once, _) => (bounds.may_launch, bounds.may_reject) = (false, false),
            (Idempotency::ByKey, scope) => {
                // One microsecond less, as the backend counts the window from the send on a finer clock.
                bounds.until = earlier.sent_at + profile.dedup_window - Micros(1);
                bounds.may_reject = scope == DedupScope::All;
                bounds.zone = (scope == DedupScope::Zone).then_some(earlier.zone);
                bounds.group = (scope == DedupScope::Group).then_some(earlier.group);
            }
        }
        bounds
    }

    /// Whether the command may be launched at all at this time: by its idempotency, its launch count and its
    /// deadline.
    fn can_launch(&self, now: Timestamp, command: &Command) -> bool {
        let bounds = self.launch_bounds(command, None);
        let max_launches = self.settings.max_launches.min(MAX_LAUNCHES);
        let is_allowed =
            bounds.may_launch && !command.is_body_consumed && command.launch_count() < max_launches;
        is_allowed && now < bounds.until && now < command.deadline
    }

    /// Time that the backend takes per unit of work. Before its first answers it follows from the backend type and
    /// the warm-up. After the first second without an answer from an idle backend the learned value halves every
    /// second, or a backend that was slow once would never be tried again.
    fn time_per_work(&self, now: Timestamp, backend: &Backend) -> f64 {
        let capacity_share = self.warm_capacity_share(now, backend.entry.started_at);
        if backend.answer_count < 3 && capacity_share < 1.0 {
            // The geometric mean of the least capacity that it may have by now and its full capacity.
            return backend.time_per_work / capacity_share.sqrt();
        }
        let idle_s =
            if backend.in_flight == 0 { now.since(backend.silent_since).as_f64() / 1e6 } else { 0.0 };
        backend.time_per_work * (1.0 - idle_s).min(0.0).exp2().max(0.1)
    }

    /// Expected time in microseconds for this work there, behind all work that is ahead of it.
    fn expected_time_us(&self, now: Timestamp, backend: &Backend, work: f64) -> f64 {
        // Without the decay if commands are ahead: only an idle backend is worth a try in case it has become faster.
        let time_per_work = self.time_per_work(now, backend).max(backend.time_per_work);
        let mut wait_us = self.work_ahead(now, backend) * time_per_work;
        if backend.in_flight > 0 {
            // A silence is expected to last as long again as it has lasted.
            wait_us = wait_us.max(now.since(backend.silent_since).as_f64());
        }
        wait_us + work * time_per_work
    }

    /// Work in front of a new launch: own launches in flight, and abandoned work or the commands of other nodes.
    fn work_ahead(&self, now: Timestamp, backend: &Backend) -> f64 {
        backend.pending_work
            + backend.abandoned_work_left(now).max(self.peer_in_flight(now, backend) * self.mean_work)
    }

    /// Estimated commands of other nodes in flight at the backend: its last report, decaying towards the mean by half
    /// in the time of one command.
    fn peer_in_flight(&self, now: Timestamp, backend: &Backend) -> f64 {
        if !self.reports_are_reliable() {
            return 0.0;
        }
        let half_lives = now.since(backend.reported_at).as_f64() / (self.mean_work * backend.time_per_work);
        self.mean_peer_in_flight + (backend.peer_in_flight - self.mean_peer_in_flight) * (-half_lives).exp2()
    }

    /// Chooses a backend with room for the command, if there is one.
    fn choose_backend(&mut self, now: Timestamp, command: &Command) -> Option<usize> {
        if !self.can_launch(now, command) {
            return None;
        }
        let is_first_launch = command.launch_count() == 0;
        // A command that cannot be launched twice does not explore.
        let explores = self.rng.next_unit() < EXPLORATION_SHARE
            && self.profile_of(command).idempotency != Idempotency::Once;
        let ready_backends = std::mem::take(&mut self.ready_backends);
        let mut candidates = std::mem::take(&mut self.candidates);
        candidates.clear();
        let mut any_healthy_left = false;
        // A by-key command that may have run is bound to a zone or group of backends, which may lie outside this
        // node's subset.
        let subset_size =
            if is_first_launch { self.subset_size.min(ready_backends.len()) } else { ready_backends.len() };
        self.median_failure_share = self.median_failure_share_of(&ready_backends[..subset_size]);
        // Where dials fail, only open connections are left: every further dial would add to the load of the backends.
        let open_connections_only = self.dial_failure_rate > DIAL_FAILURE_LIMIT
            && !explores
            && ready_backends[..subset_size].iter().any(|&backend_index| {
                self.has_usable_connection(now, backend_index) || self.backends[backend_index].in_flight > 0
            });
        let mut preferred_left = self.preferred_size;
        for &backend_index in &ready_backends[..subset_size] {
            if preferred_left == 0 && !candidates.is_empty() {
                break;
            }
            if open_connections_only && !self.has_usable_connection(now, backend_index) {
                continue;
            }
            let is_healthy = self.is_considered_healthy(now, backend_index, command);
            preferred_left = preferred_left.saturating_sub(usize::from(is_healthy));
            // A backend that already had a launch of this command does not count.
            any_healthy_left |= is_healthy
                && !command.launches().any(|l| l.backend == self.backends[backend_index].entry.backend);
            if is_healthy && self.has_room(now, backend_index, command) {
                candidates.push(backend_index);
            }
        }
        if !any_healthy_left && !open_connections_only {
            // If all backends look unhealthy, any of them is as good as the others.
            candidates.extend(
                ready_backends[..subset_size]
                    .iter()
                    .copied()
                    .filter(|&backend_index| self.has_room(now, backend_index, command)),
            );
        }
        if candidates.is_empty()
            && now.since(self.last_launch_at) > FORCED_TRY_INTERVAL
            && ready_backends[..subset_size]
                .iter()
                .all(|&backend_index| self.backends[backend_index].in_flight == 0)
        {
            // With nothing in flight nothing more is learned, and the current estimates could block this node
            // forever.
            candidates.extend(
                ready_backends[..subset_size]
                    .iter()
                    .copied()
                    .filter(|&backend_index| self.can_be_tried(now, backend_index, command)),
            );
        }
        if candidates.is_empty() && is_first_launch && self.is_retest_due(now, command) {
            self.profile_stats[usize::from(command.profile.0)].discount_history();
            let is_idle_candidate = |backend_index: &usize| {
                self.is_idle(now, &self.backends[*backend_index])
                    && self.can_be_tried(now, *backend_index, command)
            };
            candidates.extend(ready_backends[..subset_size].iter().copied().filter(is_idle_candidate));
        }
        if self.settings.key_affinity
            && command.affinity_key != 0
            && !(explores && self.reports_count_in_flight())
        {
            self.keep_warm_for_key(command, &mut candidates, ready_backends.len());
        }
        let mut chosen = None;
        if is_first_launch && !explores {
            chosen = self.oldest_idle_token(now, &candidates);
        }
        if chosen.is_none() && !candidates.is_empty() {
            if command.probing_until > Timestamp(0)
                && candidates.iter().any(|&backend_index| self.is_fresh(now, backend_index))
            {
                candidates.retain(|&backend_index| self.is_fresh(now, backend_index));
            }
            // Two random choices; backends probed for this command have been drawn at random already.
            if command.probing_until == Timestamp(0) {
                let draws = [self.rng.next_u64(), self.rng.next_u64()];
                let picks = draws.map(|draw| candidates[draw as usize % candidates.len()]);
                candidates.clear();
                candidates.extend(picks);
            }
            // Commands of other nodes known from reports count like own launches.
            chosen = candidates.iter().copied().min_by_key(|&backend_index| {
                let backend = &self.backends[backend_index];
                (
                    backend.in_flight + self.peer_in_flight(now, backend).round() as u32,
                    self.speed_step(backend),
                )
            });
        }
        self.ready_backends = ready_backends;
        self.candidates = candidates;
        chosen
    }

    /// Reduces the candidates to those that have probably seen the command's key: the first in a rendezvous order
    /// that all nodes share. A key with much traffic gets as many places as that needs.
    fn keep_warm_for_key(&self, command: &Command, candidates: &mut Vec<usize>, ready_count: usize) {
        let same_key = self.recent_arrivals.iter().filter(|(_, _, key)| *key == command.affinity_key).count();
        let key_share = same_key.saturating_sub(1) as f64 / RECENT_ARRIVALS as f64;
        let entry = |backend_index: &usize| &self.backends[*backend_index].entry;
        candidates.sort_by_cached_key(|backend_index| {
            portion::key_rank(
                entry(backend_index).name_hash,
                entry(backend_index).weight,
                command.affinity_key,
            )
        });
        let places = if self.reports_count_in_flight() { 2 } else { 1 };
        candidates.truncate(places + (key_share * HOT_KEY_PLACES_PER_BACKEND * ready_count as f64) as usize);
    }

    /// Speed in coarse steps, so that similar backends compare as equal and the age of their tokens decides.
    fn speed_step(&self, backend: &Backend) -> i64 {
        let is_remote = backend.entry.zone.0 != self.settings.zone;
        // Crossing zones counts as its penalty in units of a tenth of a command's time.
        let penalty_factor = if is_remote { 1.0 + 10.0 * self.settings.cross_zone_penalty } else { 1.0 };
        (4.0 * (backend.time_per_work * penalty_factor).log2()).round() as i64
    }

    /// The candidate with the oldest valid idle token among the fastest; a backend back from maintenance comes first.
    fn oldest_idle_token(&self, now: Timestamp, candidates: &[usize]) -> Option<usize> {
        let with_token = candidates.iter().copied().filter(|&backend_index| {
            let backend = &self.backends[backend_index];
            let is_valid = |at| {
                now.since(at) < TOKEN_EXPIRY && (at >= backend.reported_at || backend.peer_in_flight == 0.0)
            };
            backend.is_untried_after_maintenance || backend.idle_token.is_some_and(is_valid)
        });
        let backend = |backend_index: usize| &self.backends[backend_index];
        with_token.min_by_key(|&backend_index| {
            (
                !backend(backend_index).is_untried_after_maintenance,
                self.speed_step(backend(backend_index)),
                backend(backend_index).idle_token,
            )
        })
    }

    /// Whether a connection to the backend is open and has not been idle for too long.
    fn has_usable_connection(&self, now: Timestamp, backend_index: usize) -> bool {
        let backend = &self.backends[backend_index];
        let idle_limit_us = self.trusted_idle_us.min(self.settings.connection_idle_timeout.as_f64());
        backend.open_connections > 0
            && (backend.in_flight > 0 || now.since(backend.connection_used_at).as_f64() < idle_limit_us)
    }

    /// Whether the open connections there have been idle for too long to be trusted, but not long enough to have been
    /// closed by the timeout. Where dials fail they are used all the same.
    fn has_stale_connections(&self, now: Timestamp, backend_index: usize) -> bool {
        let (backend, is_trusted) = (
            &self.backends[backend_index],
            self.has_usable_connection(now, backend_index) || self.dial_failure_rate > DIAL_FAILURE_LIMIT,
        );
        !is_trusted
            && backend.open_connections > 0
            && now.since(backend.connection_used_at) < self.settings.connection_idle_timeout
    }

    /// Records whether a launch was lost on its connection, and adapts the idle time up to which connections are
    /// trusted. If launches on long-idle connections are lost, but few on recently used ones, something on the path
    /// drops idle connections, and half of that idle time is trusted from then on. Every answer raises it by a
    /// hundredth, so that it doubles within seventy answers and longer idle times are tried again.
    fn record_connection_loss(&mut self, launch: &Launch, is_lost: bool) {
        // Then the backend is gone or hangs, and the loss says nothing about the connection.
        let backend_failed = is_lost && self.backends[self.backend_indices[&launch.backend]].failures >= 0.3;
        let loss_rate = if launch.connection_idle < BRIEF_IDLE_TIME {
            &mut self.used_connection_loss_rate
        } else {
            &mut self.idle_connection_loss_rate
        };
        *loss_rate += 0.2 * f64::from(!backend_failed) * (f64::from(is_lost) - *loss_rate);
        if self.used_connection_loss_rate > 0.5 * IDLE_LOSS_LIMIT {
            self.trusted_idle_us = f64::INFINITY; // the cause is not idle connections
        } else if is_lost
            && !backend_failed
            && launch.connection_idle >= BRIEF_IDLE_TIME
            && self.idle_connection_loss_rate > IDLE_LOSS_LIMIT + 2.0 * self.used_connection_loss_rate
        {
            self.trusted_idle_us = self.trusted_idle_us.min(0.5 * launch.connection_idle.as_f64());
        } else if !is_lost {
            self.trusted_idle_us *= 1.01;
        }
    }

    /// Whether the command may go there at all: not to a backend that already had a launch of it, and only within its
    /// launch bounds.
    fn is_allowed(&self, backend_index: usize, command: &Command) -> bool {
        let (entry, bounds) = (&self.backends[backend_index].entry, self.launch_bounds(command, None));
        !command.launches().any(|l| l.backend == entry.backend)
            && bounds.zone.is_none_or(|z| z == entry.zone)
            && bounds.group.is_none_or(|g| g == entry.group)
    }

    /// Whether the backend is expected to answer the command within its goal time and within its own limits.
    fn has_room(&self, now: Timestamp, backend_index: usize, command: &Command) -> bool {
        let backend = &self.backends[backend_index];
        if f64::from(backend.in_flight) + 1.0 > backend.concurrency_limit.floor()
            || !self.is_allowed(backend_index, command)
        {
            return false;
        }
        let work = self.expected_work(command);
        let time_left_us = self.goal_deadline(command).since(now).as_f64();
        // No place is better than an idle backend, so it is excluded only if it is too slow as a rule.
        let is_idle = self.is_idle(now, backend);
        // With many nodes, no own launches in flight is weak evidence of an idle backend. The margin's exponent grows
        // from 0 at two nodes to 0.7.
        let fits = if is_idle {
            let doubt_margin =
                self.latency_margin.powf(0.7 - 1.4 / f64::from(self.settings.node_count.max(2)));
            let stats = self.stats_of(command);
            // Only an answer shows how much work a profile needs, so one without any answer is tried.
            stats.answer_count == 0.0
                || stats.mean_work * self.time_per_work(now, backend) * doubt_margin <= time_left_us
        } else {
            self.expected_time_us(now, backend, work) * self.latency_margin <= time_left_us
        };
        fits && self.cold_level_after(now, backend, work).is_some()
    }

    /// Whether the backend may be tried although it seems to have no room: nothing speaks against the backend itself.
    fn can_be_tried(&self, now: Timestamp, backend_index: usize, command: &Command) -> bool {
        let backend = &self.backends[backend_index];
        backend.failures < 0.3
            && self.is_allowed(backend_index, command)
            && self.cold_level_after(now, backend, self.expected_work(command)).is_some()
    }

    /// Whether nothing is known to be ahead of a new launch there.
    fn is_idle(&self, now: Timestamp, backend: &Backend) -> bool {
        backend.in_flight == 0
            && backend.abandoned_work_left(now) == 0.0
            && self.peer_in_flight(now, backend) < 0.5
    }

    /// Whether the profile is expected to exceed its goal time everywhere and has not been launched for that long.
    /// The estimate may be outdated, and only another answer can correct it.
    fn is_retest_due(&self, now: Timestamp, command: &Command) -> bool {
        let stats = self.stats_of(command);
        let goal_time = self.profile_of(command).goal_time;
        stats.mean_work * self.latency_margin > goal_time.as_f64()
            && now.since(stats.last_launch_at) >= goal_time
    }

    /// Least share of its capacity that a backend has, by the time since its start.
    fn warm_capacity_share(&self, now: Timestamp, started_at: Timestamp) -> f64 {
        if started_at == Timestamp(0) {
            return 1.0; // the list gives 0 for a start long ago
        }
        let initial = self.settings.initial_capacity.max(0.01);
        let elapsed_share = now.since(started_at).as_f64() / self.settings.warm_up_time.as_f64().max(1.0);
        (initial + (1.0 - initial) * elapsed_share).min(1.0)
    }

    /// Number of nodes that use a backend, including this one.
    fn nodes_per_backend(&self) -> f64 {
        let subset_share =
            self.subset_size.min(self.preferred_size) as f64 / self.ready_backends.len().max(1) as f64;
        (f64::from(self.settings.node_count) * subset_share.min(1.0)).max(1.0)
    }

    /// This node's share of the load on a backend: one of the nodes that use it, or what backends have done for it
    /// recently if that is more. Most nodes carry little load and some far more, and together they cannot exceed what
    /// the fleet does.
    fn own_share(&self, now: Timestamp) -> f64 {
        (1.0 / self.nodes_per_backend())
            .max(self.decayed_work_per_backend * self.decay_factor(now) * std::f64::consts::LN_2 / 4e6)
    }

    /// This node's share of the work per microsecond that a cold backend can take beyond its capacity. With the factor
    /// 0.47 a full bucket, plus what drains from it within the collapse window, stays below the collapse limit.
    fn cold_work_rate(&self, now: Timestamp, started_at: Timestamp) -> f64 {
        0.47 * (self.settings.collapse_load_multiple - 1.0).max(0.1)
            * self.warm_capacity_share(now, started_at)
            * self.own_share(now)
    }

    /// Level of the leaky bucket of a backend after this work, or `None` if a cold backend cannot take it. The bucket
    /// holds the work that this node has sent and the backend has not done; a full one drains within the collapse
    /// window.
    fn cold_level_after(&self, now: Timestamp, backend: &Backend, work: f64) -> Option<f64> {
        let rate = self.cold_work_rate(now, backend.entry.started_at);
        let level = (backend.cold_level - rate * now.since(backend.cold_level_at).as_f64()).max(0.0) + work;
        let limit = rate * self.settings.collapse_window.as_f64();
        let is_warm = self.warm_capacity_share(now, backend.entry.started_at) >= 1.0;
        (is_warm || level <= limit || level <= work).then_some(level)
    }

    /// Whether the backend counts as healthy for this command. When in doubt, a draw from the posterior distribution
    /// of its success rate decides (Thompson sampling).
    fn is_considered_healthy(&mut self, now: Timestamp, backend_index: usize, command: &Command) -> bool {
        self.record_evidence(now, backend_index, 0.0, 0.0);
        let round_trip_us = self.probe_round_trip_us;
        let backend = &self.backends[backend_index];
        // A probe without an answer after a multiple of its usual round trip shows a stalled process long before it
        // fails.
        if backend.last_probe_failed
            || backend.probe_sent_at.is_some_and(|at| now.since(at).as_f64() > 4.0 * round_trip_us + 4000.0)
        {
            return false;
        }
        if backend.failures < 0.3 {
            return true;
        }
        if self.profile_of(command).idempotency == Idempotency::Once {
            // A command that cannot be launched twice goes only to backends with no more failures than chance
            // explains.
            let expected_failures = self.median_failure_share * (backend.successes + backend.failures);
            return backend.failures < 0.3 + expected_failures + expected_failures.sqrt();
        }
        // The draw has to reach 0.8 of the median success rate. A draw from Beta(alpha, beta) exceeds x if fewer than
        // `alpha` of `alpha + beta - 1` uniform draws fall below x.
        let min_success_chance = 0.8 * (1.0 - self.median_failure_share);
        let (alpha, draw_count) = (
            1 + backend.successes.round() as u32,
            1 + (backend.successes.round() + backend.failures.round()) as u32,
        );
        let draws_below =
            (0..draw_count).filter(|_| self.rng.next_unit() < min_success_chance).count() as u32;
        draws_below < alpha
    }

    /// Median over the subset of the share of failures. A share that half of the backends reach is due to the network
    /// or to the fleet, not to a single backend.
    fn median_failure_share_of(&self, subset: &[usize]) -> f64 {
        if subset.iter().all(|&backend_index| self.backends[backend_index].failures < 0.3) {
            return 0.0;
        }
        let failure_share =
            |backend: &Backend| backend.failures / (backend.successes + backend.failures + 1.0);
        let mut failure_shares: Vec<f64> =
            subset.iter().map(|&backend_index| failure_share(&self.backends[backend_index])).collect();
        let middle = (failure_shares.len() - 1) / 2;
        *failure_shares.select_nth_unstable_by(middle, f64::total_cmp).1
    }

    /// Adds successes and failures to the evidence on a backend.
    fn record_evidence(&mut self, now: Timestamp, backend_index: usize, successes: f64, failures: f64) {
        // Evidence has a half-life of three seconds, and beyond eight successes older outcomes of both kinds count
        // less. Where many nodes use a backend, each of them retries it later, so that together they retry it as
        // often as three nodes would.
        if self.backends[backend_index].failures > 0.0 {
            let half_life_us = 3e6 * (self.nodes_per_backend() / 3.0).clamp(1.0, 10.0);
            let backend = &mut self.backends[backend_index];
            let decay = (-now.since(backend.evidence_at).as_f64() / half_life_us).exp2();
            backend.successes *= decay;
            backend.failures *= decay;
        }
        let backend = &mut self.backends[backend_index];
        backend.evidence_at = now;
        let scale = ((backend.successes + successes) / 8.0).max(1.0);
        (backend.successes, backend.failures) =
            ((backend.successes + successes) / scale, ((backend.failures + failures) / scale).min(8.0));
    }

    /// Launches the command at a backend and accounts for it.
    fn launch(&mut self, now: Timestamp, command: &mut Command, backend_index: usize) -> Decision {
        let was_queued = command.is_queued;
        self.dequeue(command);
        let work = self.expected_work(command);
        let work_ahead = self.work_ahead(now, &self.backends[backend_index]);
        let cold_level = self.cold_level_after(now, &self.backends[backend_index], work).unwrap_or(0.0);
        let expected_us = self.expected_time_us(now, &self.backends[backend_index], work.max(self.mean_work));
        let multiple_within_goal = if self.settings.concurrent_launches_allowed {
            LOST_AFTER_EXPECTED_TIMES[1]
        } else {
            CANCEL_AFTER_EXPECTED_TIMES
        };
        let lost_limits = [LOST_AFTER_EXPECTED_TIMES[0], multiple_within_goal]
            .map(|multiple| now + Micros((multiple * expected_us) as u64));
        let lost_at = self.goal_deadline(command).max(lost_limits[0]).min(lost_limits[1]);
        let is_new_connection = !self.has_usable_connection(now, backend_index);
        let target = &self.backends[backend_index];
        let connection_idle = if is_new_connection || target.in_flight > 0 {
            Micros(0)
        } else {
            now.since(target.connection_used_at)
        };
        if command.launch_count() > 0 {
            self.retry_allowance.record(now, self.retry_budget(), true);
        }
        let backend = &mut self.backends[backend_index];
        backend.open_connections = if is_new_connection { 0 } else { backend.open_connections - 1 };
        (backend.idle_token, backend.is_untried_after_maintenance) = (None, false);
        if !command.is_body_incomplete {
            backend.add_in_flight(now, work);
        }
        backend.cold_level = cold_level;
        backend.cold_level_at = now;
        self.last_launch_at = now;
        self.profile_stats[usize::from(command.profile.0)].last_launch_at = now;
        command.add_launch(Launch {
            backend: backend.entry.backend,
            zone: backend.entry.zone,
            group: backend.entry.group,
            sent_at: now,
            state: LaunchState::InFlight,
            expected_work: work,
            work_ahead: work_ahead + work,
            depth: backend.in_flight,
            lost_at,
            is_lost: command.is_body_incomplete,
            is_new_connection,
            connection_idle,
        });
        command.reevaluate_at = self.goal_deadline(command).min(lost_at).max(now);
        if was_queued {
            self.wake_next_queued();
        }
        self.rejection_rate *= 0.98;
        Decision::Launch(self.backends[backend_index].entry.backend)
    }

    /// Whether the command has to wait for probes. Where other nodes use the backends too and probes are allowed, a
    /// launch that is not to a backend freshly known to be idle sends probes first, and the command is queued for
    /// their round trip, a hundredth of its time. While no backend has room it probes again, each time with a longer
    /// wait.
    fn probe_first(
        &mut self,
        now: Timestamp,
        handle: CommandHandle,
        command: &mut Command,
        chosen: Option<usize>,
    ) -> bool {
        let is_known_idle = chosen.is_some_and(|backend_index| {
            let backend = &self.backends[backend_index];
            self.is_fresh(now, backend_index) && backend.in_flight == 0 && backend.peer_in_flight == 0.0
        });
        if !self.can_probe_any()
            || self.settings.node_count < 2
            || is_known_idle
            || self.ready_backends.is_empty()
        {
            return false;
        }
        let may_probe_again = command.probe_rounds < MAX_PROBE_ROUNDS || chosen.is_none();
        if now >= command.probing_until
            && may_probe_again
            && self.probe_credit >= PROBES_PER_ROUND as f64
            && self.can_launch(now, command)
        {
            let wait = (PROBE_WAIT_IN_MEAN_WORK * self.mean_work + 2.0 * self.probe_round_trip_us) as u64;
            let wait = Micros(wait << command.probe_rounds.saturating_sub(2).min(3));
            if now + wait >= self.goal_deadline(command) {
                return false;
            }
            command.probing_until = now + wait;
            command.probe_rounds += 1;
            let first_probed = chosen.unwrap_or_else(|| self.random_in_subset());
            self.send_probes(now, first_probed);
            self.enqueue(now + wait, handle, command);
        }
        now < command.probing_until
    }

    /// Whether the knowledge of a backend is recent: a load report, or an answer that left it idle.
    fn is_fresh(&self, now: Timestamp, backend_index: usize) -> bool {
        let backend = &self.backends[backend_index];
        now.since(backend.reported_at.max(backend.idle_token.unwrap_or(Timestamp(0)))).as_f64()
            <= FRESHNESS_IN_MEAN_WORK * self.mean_work
    }

    /// A random backend of the subset.
    fn random_in_subset(&mut self) -> usize {
        self.ready_backends[self.rng.next_u64() as usize % self.ready_backends.len().min(self.subset_size)]
    }

    /// Probes some backends of the subset, this one first. Skips those that are freshly known or being probed
    /// already.
    fn send_probes(&mut self, now: Timestamp, mut backend_index: usize) {
        let mut probes_left = PROBES_PER_ROUND;
        for _ in 0..4 * PROBES_PER_ROUND {
            if probes_left > 0
                && self.backends[backend_index].probe_sent_at.is_none()
                && !self.is_fresh(now, backend_index)
            {
                probes_left -= 1;
                self.probe_credit = (self.probe_credit - 1.0).max(0.0);
                self.backends[backend_index].probe_sent_at = Some(now);
                self.actions.push(Action::Probe(self.backends[backend_index].entry.backend));
            }
            backend_index = self.random_in_subset();
        }
    }

    /// Estimated own launches that complete per microsecond, from each backend's time per answer and success rate.
    fn completion_rate(&self, now: Timestamp) -> f64 {
        let subset = self
            .ready_backends
            .iter()
            .take(self.subset_size)
            .map(|&backend_index| &self.backends[backend_index]);
        let likely_slots = |backend: &Backend| {
            (1.0 + backend.successes) / (1.0 + backend.successes + backend.failures)
                * backend.concurrency_limit.floor()
        };
        let backend_rate = |backend: &Backend| {
            likely_slots(backend)
                / (backend.time_per_work
                    * (self.mean_work + self.work_ahead(now, backend) - backend.pending_work))
        };
        subset.filter(|backend| !backend.last_probe_failed).map(backend_rate).sum()
    }

    /// Queues the command if it can probably start in time, or ends it.
    fn queue_or_reject(&mut self, now: Timestamp, handle: CommandHandle, command: &mut Command) -> Decision {
        if !self.can_launch(now, command) {
            return self.reject_or_fail(command);
        }
        let queued_ahead = self.queue.len() - self.queue_position(command);
        // A queued command starts with nothing ahead of it, so it needs less time than one launched behind others.
        let min_time = Micros((self.cautious_expected_work(command) * self.latency_margin.sqrt()) as u64);
        let latest_start =
            (self.goal_deadline(command) - min_time).min(self.launch_bounds(command, None).until);
        let wait = Micros(((queued_ahead + 1) as f64 / self.completion_rate(now).max(1e-9)) as u64);
        if command.is_queued {
            if now < latest_start && now + wait.scaled(0.5) < latest_start {
                // With many nodes own answers are rare, so a queued command has to look for free backends by itself.
                let recheck_at = now + Micros((RECHECK_INTERVAL_IN_MEAN_WORK * self.mean_work) as u64);
                command.reevaluate_at =
                    if self.settings.probes_allowed { latest_start.min(recheck_at) } else { latest_start };
                return Decision::Wait;
            }
            if now < self.list_usable_until {
                self.reduce_admission(1.0);
            }
            return self.reject_or_fail(command);
        }
        if now + wait >= latest_start {
            return self.reject_or_fail(command);
        }
        self.enqueue(latest_start, handle, command);
        // If the new command leaves the last one in the queue too little time, that one is decided at once.
        if let Some(last_queued) = self.queue.first() {
            let wait = Micros((self.queue.len() as f64 * 0.5 / self.completion_rate(now).max(1e-9)) as u64);
            if now + wait >= last_queued.latest_start {
                self.actions.push(Action::Reevaluate(last_queued.handle));
            }
        }
        Decision::Wait
    }

    /// Has the first command of the queue reevaluated.
    fn wake_next_queued(&mut self) {
        if let Some(next) = self.queue.last() {
            self.actions.push(Action::Reevaluate(next.handle));
        }
    }

    /// Index in the queue of the command, or the one it would get: by payoff density, then by arrival.
    fn queue_position(&self, command: &Command) -> usize {
        let position_key = (command.payoff_density, Reverse(command.arrival_order));
        self.queue
            .partition_point(|queued| (queued.payoff_density, Reverse(queued.arrival_order)) < position_key)
    }

    /// Adds the command to the queue, unless it is queued already.
    fn enqueue(&mut self, latest_start: Timestamp, handle: CommandHandle, command: &mut Command) {
        command.reevaluate_at = latest_start;
        if !command.is_queued {
            command.is_queued = true;
            let position = self.queue_position(command);
            self.queue.insert(
                position,
                QueuedCommand {
                    payoff_density: command.payoff_density,
                    arrival_order: command.arrival_order,
                    handle,
                    latest_start,
                },
            );
        }
    }

    fn dequeue(&mut self, command: &mut Command) {
        if command.is_queued {
            command.is_queued = false;
            let position = self.queue_position(command);
            debug_assert_eq!(self.queue[position].arrival_order, command.arrival_order);
            self.queue.remove(position);
        }
    }

    /// Ends a command without a backend's answer: rejects it if the client may safely retry, or else fails it.
    pub fn reject_or_fail(&mut self, command: &mut Command) -> Decision {
        self.dequeue(command);
        command.is_closed = true;
        command.reevaluate_at = Timestamp(u64::MAX);
        if !self.launch_bounds(command, None).may_reject {
            return Decision::Fail;
        }
        self.rejection_rate = 0.98 * self.rejection_rate + 0.02;
        // The more commands are rejected, the longer the retry-after. The jitter keeps clients from returning
        // together.
        let jitter = 0.5 + 0.5 * self.rng.next_unit();
        Decision::Reject(
            self.settings.max_retry_after.scaled((0.1 + 2.0 * self.rejection_rate).min(1.0) * jitter),
        )
    }

    /// Updates all estimates from the outcome of a launch.
    fn learn_from_outcome(&mut self, now: Timestamp, command: &Command, launch: &Launch, outcome: Outcome) {
        let Some(&backend_index) = self.backend_indices.get(&launch.backend) else { return };
        let took_us = now.since(launch.sent_at).as_f64();
        if matches!(outcome, Outcome::TimedOut | Outcome::ConnectionLost) {
            // A connection that the peer has lost swallows whatever is sent on it next, and a new one is cheap.
            self.actions.push(Action::CloseIdleConnections(launch.backend));
            self.backends[backend_index].open_connections = 0;
            if !launch.is_lost {
                self.record_connection_loss(launch, true);
            }
        }
        self.full_rate += 0.01 * (f64::from(outcome == Outcome::Full) - self.full_rate);
        let dial_failed = f64::from(outcome == Outcome::ConnectFailed);
        self.dial_failure_rate +=
            0.25 * f64::from(launch.is_new_connection) * (dial_failed - self.dial_failure_rate);
        if matches!(outcome, Outcome::Finished | Outcome::Errored | Outcome::Full) {
            let backend = &mut self.backends[backend_index];
            (backend.open_connections, backend.connection_used_at) = (backend.open_connections + 1, now);
            self.record_connection_loss(launch, false);
        }
        let goal_us = self.profile_of(command).goal_time.as_f64();
        let ran_alone = launch.work_ahead <= 1.5 * launch.expected_work && outcome != Outcome::Cancelled;
        let is_late = f64::from(took_us > goal_us || outcome == Outcome::Full);
        self.false_idle_rate += 0.1 * f64::from(ran_alone) * (is_late - self.false_idle_rate);
        let backend = &self.backends[backend_index];
        // A timeout counts against the backend only if it was silent all the time and for long: some clients give up
        // within a usual answer time, and a heavy command takes long everywhere.
        let was_silent = backend.silent_since <= launch.sent_at
            && took_us > 4.0 * launch.work_ahead * backend.time_per_work;
        let failures = match outcome {
            // It was counted when the launch was declared lost.
            Outcome::TimedOut | Outcome::ConnectionLost if launch.is_lost => 0.0,
            Outcome::TimedOut if !was_silent => 0.0,
            Outcome::Finished | Outcome::Full | Outcome::Cancelled | Outcome::NotSent => 0.0,
            Outcome::ConnectFailed => 2.0,
            Outcome::Errored | Outcome::TimedOut | Outcome::ConnectionLost => 1.0,
        };
        let is_finished = outcome == Outcome::Finished;
        self.record_evidence(now, backend_index, if is_finished { 1.0 } else { 0.0 }, failures);
        let backend = &mut self.backends[backend_index];
        let sent_before_restart = launch.sent_at < backend.entry.started_at;
        if !launch.is_lost {
            backend.remove_in_flight(launch);
        }
        if outcome == Outcome::Full && self.settings.probes_allowed {
            // As good as a load report: the backend has more work than it can do within the goal time.
            backend.peer_in_flight =
                goal_us / self.profile_stats[usize::from(command.profile.0)].mean_work.max(1.0);
            backend.reported_at = now;
        }
        if matches!(outcome, Outcome::TimedOut | Outcome::Cancelled)
            && !sent_before_restart
            && !launch.is_lost
        {
            backend.add_abandoned_work(now, launch.expected_work);
            if took_us > launch.work_ahead * backend.time_per_work {
                backend.time_per_work += 0.1
                    * (took_us / launch.work_ahead.max(1.0) - backend.time_per_work)
                        .min(3.0 * backend.time_per_work);
            }
        }
        if !is_finished || sent_before_restart {
            return;
        }
        if took_us < goal_us {
            let excludes_own_time = f64::from(self.reports_are_reliable() && !self.reports_count_in_flight());
            let own_time_us = excludes_own_time
                * (launch.expected_work * self.backends[backend_index].time_per_work).min(0.8 * goal_us);
            self.update_goal_time_use(launch, (took_us - own_time_us).max(0.0) / (goal_us - own_time_us));
        }
        let backend = &mut self.backends[backend_index];
        backend.silent_since = now;
        backend.last_probe_failed = false;
        backend.has_answered = true;
        // Work that it has finished did not overload it.
        backend.cold_level = (backend.cold_level - launch.expected_work).max(0.0);
        backend.abandoned_work *= f64::from(launch.sent_at <= backend.abandoned_at);
        if backend.in_flight == 0 && backend.entry.state == BackendState::Ready {
            backend.idle_token = (backend.abandoned_work_left(now) == 0.0).then_some(now);
        }
        backend.answer_count += 1;
        self.decayed_work_per_backend += launch.expected_work
            / self.subset_size.min(self.preferred_size).min(self.ready_backends.len()).max(1) as f64;
        if launch.is_new_connection && self.settings.reports_piggybacked {
            return; // the handshake time says nothing about the work
        }
        let work = took_us * launch.expected_work / launch.work_ahead.max(1.0);
        // A single heavy command must not make a backend look slow: no answer counts for more than four times the
        // mean.
        self.answer_count += 1.0;
        let limit = if self.answer_count > 1.0 { 4.0 * self.mean_work } else { f64::MAX };
        self.mean_work += (1.0 / self.answer_count).max(0.02) * (work.min(limit) - self.mean_work);
        let stats = &mut self.profile_stats[usize::from(command.profile.0)];
        if !stats.add_answer(work, self.mean_work, command.work_hint.map(|hint| hint.as_f64())) {
            return;
        }
        let observed = took_us / launch.work_ahead;
        let overrun = observed / backend.time_per_work;
        let weight = (1.0 / f64::from(backend.answer_count + 1)).max(0.1);
        backend.time_per_work += weight * (observed.min(4.0 * backend.time_per_work) - backend.time_per_work);
        backend.time_per_work = backend.time_per_work.clamp(0.02, 50.0);
        // Tracks the 0.7 quantile of actual over expected time.
        self.latency_margin += if overrun > self.latency_margin { 0.05 * 0.7 } else { -0.05 * 0.3 };
        self.latency_margin = self.latency_margin.clamp(1.0, 4.0);
        let backend = &mut self.backends[backend_index];
        // The concurrency limit grows while a backend at its limit answers as fast as an idle one.
        if launch.depth == 1 {
            backend.time_per_work_alone +=
                0.1 * (took_us / launch.expected_work - backend.time_per_work_alone);
        }
        if f64::from(launch.depth) >= backend.concurrency_limit.floor() {
            let is_fast = took_us <= 1.2 * backend.time_per_work_alone * launch.expected_work;
            backend.concurrency_limit = if is_fast {
                backend.concurrency_limit + 0.05
            } else {
                (backend.concurrency_limit - 0.25).max(1.0)
            };
        }
        let time_per_work = backend.time_per_work;
        let type_mean = self.time_per_work_by_type.entry(backend.entry.backend_type).or_insert(1.0);
        *type_mean += 0.02 * (time_per_work - *type_mean);
    }
}
