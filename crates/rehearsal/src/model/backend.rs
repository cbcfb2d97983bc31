//! One backend: cores, a queue, a warm-up, and the ways in which it slows down, stalls and crashes.
//!
//! All commands that a backend executes progress at the same rate, so that its state is one number, the work done on
//! each core since its start. A command that began at `b` with work `w` ends when that number reaches `b + w`. The rate
//! is constant between changes (an arrival, an end, a step of the warm-up, a stall). `next_change` returns the next
//! change, and the driver calls `advance` at that time.

use crate::rng::{RngStream, SeededRng};
use crate::scenario::{BackendKind, CancelEffect, Episodes};
use std::collections::{HashMap, VecDeque};
use yarrowfront::times::{Micros, Timestamp};

/// The driver's key of a launch.
pub type LaunchKey = u64;

/// The idempotency key of a command, the scope whose backends share the memory of it, and how long it is remembered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IdempotencyKey {
    pub scope: u32,
    pub key: u64,
    pub retention: Micros,
}

/// When each idempotency key was last executed, by scope and key.
#[derive(Default)]
pub struct IdempotencyStore(HashMap<(u32, u64), Timestamp>);

impl IdempotencyStore {
    /// Whether the key was executed within its retention. If not, it counts as executed now.
    fn detect_repeat(&mut self, now: Timestamp, key: &IdempotencyKey) -> bool {
        let seen = self.0.get(&(key.scope, key.key)).copied();
        let repeat = seen.is_some_and(|at| now < at + key.retention);
        if !repeat {
            self.0.insert((key.scope, key.key), now);
        }
        repeat
    }
}

/// How a backend responds to a command that has arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply {
    Accepted,
    /// Rejected without being executed: the queue is full, or the backend drains.
    Full,
    /// Answered with an error at once; nothing was executed.
    Error,
    /// The backend was cold and got too much work: it has crashed and lost all its commands.
    Crashed,
    /// The process does not run.
    Down,
}

/// An event of a command that a backend has accepted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BackendEvent {
    /// Its execution has started, so that it may have had its effect from now on. Not reported for a repeat of an
    /// idempotency key.
    WorkStarted(LaunchKey, Timestamp),
    WorkFinished(LaunchKey, Timestamp),
}

/// A command in the queue; its work is in microseconds on a core of speed one.
struct QueuedCommand {
    key: LaunchKey,
    work: f64,
    idempotency_key: Option<IdempotencyKey>,
}

struct RunningCommand {
    key: LaunchKey,
    /// It ends when the work done on each core reaches this.
    target_done_per_core: f64,
}

/// Alternation between the normal speed and slow episodes of random length.
struct SlowPhases {
    episodes: Episodes,
    /// Whether an episode is on.
    is_slow: bool,
    next_change_at: Timestamp,
}

impl SlowPhases {
    fn new(episodes: Episodes, now: Timestamp, rng: &mut SeededRng) -> SlowPhases {
        SlowPhases {
            episodes,
            is_slow: false,
            next_change_at: now + Micros(rng.exponential(episodes.every.micros()) as u64 + 1),
        }
    }

    fn advance(&mut self, now: Timestamp, rng: &mut SeededRng) {
        while self.next_change_at <= now {
            self.is_slow = !self.is_slow;
            let mean = if self.is_slow { self.episodes.length } else { self.episodes.every };
            self.next_change_at = self.next_change_at + Micros(rng.exponential(mean.micros()) as u64 + 1);
        }
    }

    fn speed(&self) -> f64 {
        if self.is_slow {
            self.episodes.speed
        } else {
            1.0
        }
    }
}

/// Work of a repeated idempotency key, in microseconds. It is small because the answer is remembered.
const REPEAT_WORK_US: f64 = 500.0;
/// The warm-up raises the capacity in this many steps.
const WARM_UP_STEPS: u64 = 50;

/// The state of one backend.
pub struct Backend {
    pub kind: BackendKind,
    pub zone: u16,
    /// Backends of one group share the memory of idempotency keys.
    pub group: u16,
    /// Work per microsecond on each core, when warm and without troubles.
    pub speed: f64,
    /// Whether its process runs.
    pub is_up: bool,
    /// Accepts no new commands.
    pub is_draining: bool,
    /// Cut off from the network.
    pub is_cut_off: bool,
    /// Whether it accepts commands and never finishes them.
    pub is_hung: bool,
    /// The factor by which troubles change its speed.
    pub speed_factor: f64,
    /// The share of commands that it answers with an error at once.
    pub error_share: f64,
    pub started_at: Timestamp,
    /// Whether it needs no warm-up: the backends that a scenario starts with.
    always_warm: bool,
    /// Work done on each core for commands since the start, in microseconds on a core of speed one.
    done_per_core: f64,
    /// The time up to which its state is computed.
    advanced_to: Timestamp,
    /// Work per microsecond on each core at present.
    rate: f64,
    /// Work that belongs to no command and is done before that of commands, per core.
    overhead_per_core: f64,
    running: Vec<RunningCommand>,
    queued: VecDeque<QueuedCommand>,
    /// Whether it is slowed down by the overload that `BackendKind::collapse` describes.
    is_collapsed: bool,
    stalls: Option<SlowPhases>,
    neighbours: Option<SlowPhases>,
    /// The time at which a stall caused by a trouble ends.
    pub stalled_until: Timestamp,
    /// When each command came during the warm-up, and its work.
    received_while_cold: VecDeque<(Timestamp, f64)>,
    /// The multiple of its capacity that it can be sent while cold, and within which span.
    cold_budget: (f64, Micros),
    rng: SeededRng,
    pub accepted_count: u64,
}

impl Backend {
    /// `started_at` is `None` for a backend that is warm from the start. `cold_budget` is the multiple of its capacity that
    /// it can be sent while cold, and the span within which that is counted.
    pub fn new(
        kind: BackendKind,
        (zone, group): (u16, u16),
        started_at: Option<Timestamp>,
        now: Timestamp,
        cold_budget: (f64, Micros),
        (seed, number): (u64, u64),
    ) -> Backend {
        let mut rng = SeededRng::with_index(seed, RngStream::Backends, number);
        let speed = rng.lognormal(kind.speed, kind.spread);
        let stalls = kind.stalls.map(|s| SlowPhases::new(s, now, &mut rng));
        let neighbours = kind.neighbours.map(|s| SlowPhases::new(s, now, &mut rng));
        let error_share = kind.errors;
        let mut backend = Backend {
            kind,
            zone,
            group,
            speed,
            is_up: true,
            is_draining: false,
            is_cut_off: false,
            is_hung: false,
            speed_factor: 1.0,
            error_share,
            started_at: started_at.unwrap_or_default(),
            always_warm: started_at.is_none(),
            done_per_core: 0.0,
            advanced_to: now,
            rate: 0.0,
            overhead_per_core: 0.0,
            running: Vec::new(),
            queued: VecDeque::new(),
            is_collapsed: false,
            stalls,
            neighbours,
            stalled_until: Timestamp(0),
            received_while_cold: VecDeque::new(),
            cold_budget,
            rng,
            accepted_count: 0,
        };
        backend.update_rate(now);
        backend
    }

    /// Commands that it executes or has in its queue.
    pub fn held_commands(&self) -> usize {
        self.running.len() + self.queued.len()
    }

    /// Commands in its queue.
    pub fn queued_commands(&self) -> usize {
        self.queued.len()
    }

    pub fn cores(&self) -> f64 {
        f64::from(self.kind.cores)
    }

    /// The share of its capacity that it has at this stage of its warm-up; 1 when it is warm.
    pub fn warm_up_share(&self, now: Timestamp) -> f64 {
        if self.always_warm || self.kind.warm.0 == 0 {
            return 1.0;
        }
        let step = now.since(self.started_at).0.saturating_mul(WARM_UP_STEPS) / self.kind.warm.0;
        let progress = (step as f64 + 0.5) / WARM_UP_STEPS as f64;
        (self.kind.cold + (1.0 - self.kind.cold) * progress).min(1.0)
    }

    /// Work per microsecond on all cores at this stage of its warm-up, without troubles.
    pub fn capacity(&self, now: Timestamp) -> f64 {
        self.cores() * self.speed * self.warm_up_share(now)
    }

    /// Work that it still has to do, in microseconds on a core of speed one. Overhead is counted once for all cores.
    pub fn remaining_work(&self) -> f64 {
        let left: f64 =
            self.running.iter().map(|r| (r.target_done_per_core - self.done_per_core).max(0.0)).sum();
        left + self.queued.iter().map(|c| c.work).sum::<f64>() + self.overhead_per_core
    }

    /// Work per microsecond on each core at present.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Whether it is cold and would crash with this much more work.
    pub fn would_crash(&self, now: Timestamp, work: f64) -> bool {
        if self.warm_up_share(now) >= 1.0 || self.kind.falls.0 == 0 {
            return false;
        }
        let (multiple, span) = self.cold_budget;
        let recent: f64 =
            self.received_while_cold.iter().filter(|(at, _)| now.since(*at) < span).map(|(_, w)| w).sum();
        // Random variation is allowed for: a tenth of the budget, and three commands as large as this one.
        recent + work > 1.1 * multiple * self.capacity(now) * span.as_f64() + 3.0 * work
    }

    fn update_rate(&mut self, now: Timestamp) {
        for phases in [&mut self.stalls, &mut self.neighbours].into_iter().flatten() {
            phases.advance(now, &mut self.rng);
        }
        let held = self.held_commands() as f64;
        if let Some(collapse) = self.kind.collapse {
            let held_per_core = held / self.cores();
            self.is_collapsed =
                if self.is_collapsed { held_per_core > collapse.until } else { held_per_core >= collapse.at };
        }
        let crowding_factor = 1.0 - (self.kind.crowding * (held - 2.0 * self.cores()).max(0.0)).min(0.9);
        let collapse_factor = self.kind.collapse.filter(|_| self.is_collapsed).map_or(1.0, |c| c.speed);
        let episode_factor = self.stalls.as_ref().map_or(1.0, SlowPhases::speed)
            * self.neighbours.as_ref().map_or(1.0, SlowPhases::speed);
        let is_standing = self.is_hung || !self.is_up || now < self.stalled_until;
        let own_speed = self.speed * self.speed_factor * self.warm_up_share(now);
        self.rate =
            if is_standing { 0.0 } else { own_speed * crowding_factor * collapse_factor * episode_factor };
    }

    /// The next time at which its state changes without a call; `None` if it executes nothing.
    pub fn next_change(&self) -> Option<Timestamp> {
        if self.running.is_empty() || !self.is_up {
            return None;
        }
        let mut change = u64::MAX;
        if self.rate > 0.0 {
            let first_done = self.running.iter().map(|r| r.target_done_per_core).fold(f64::MAX, f64::min);
            let left =
                ((first_done - self.done_per_core + self.overhead_per_core) / self.rate).ceil().max(0.0);
            change = self.advanced_to.0 + left as u64;
        }
        for phases in [&self.stalls, &self.neighbours].into_iter().flatten() {
            change = change.min(phases.next_change_at.0);
        }
        if self.advanced_to < self.stalled_until {
            change = change.min(self.stalled_until.0);
        }
        if self.warm_up_share(self.advanced_to) < 1.0 {
            let step = (self.kind.warm.0 / WARM_UP_STEPS).max(1);
            let next_step = self.advanced_to.since(self.started_at).0 / step + 1;
            change = change.min(self.started_at.0 + next_step * step);
        }
        (change < u64::MAX).then_some(Timestamp(change))
    }

    /// Advances its state to `now`, and appends what happened meanwhile to `events` in order.
    pub fn advance(&mut self, now: Timestamp, store: &mut IdempotencyStore, events: &mut Vec<BackendEvent>) {
        while let Some(change) = self.next_change().filter(|change| *change <= now) {
            self.do_work_until(change);
            self.finish_done(change, store, events);
            self.update_rate(change);
        }
        self.do_work_until(now);
        self.update_rate(now);
    }

    fn do_work_until(&mut self, now: Timestamp) {
        let mut work_done = self.rate * now.since(self.advanced_to).as_f64();
        self.advanced_to = now;
        if self.running.is_empty() {
            self.overhead_per_core = (self.overhead_per_core - work_done).max(0.0);
            return;
        }
        let overhead_done = self.overhead_per_core.min(work_done);
        self.overhead_per_core -= overhead_done;
        work_done -= overhead_done;
        self.done_per_core += work_done;
    }

    fn finish_done(&mut self, now: Timestamp, store: &mut IdempotencyStore, events: &mut Vec<BackendEvent>) {
        // A thousandth of a microsecond is tolerated for rounding errors.
        while let Some(i) =
            self.running.iter().position(|r| r.target_done_per_core <= self.done_per_core + 1e-3)
        {
            events.push(BackendEvent::WorkFinished(self.running.remove(i).key, now));
        }
        self.start_queued(now, store, events);
    }

    fn start_queued(&mut self, now: Timestamp, store: &mut IdempotencyStore, events: &mut Vec<BackendEvent>) {
        while self.running.len() < usize::from(self.kind.cores) {
            let Some(next) = self.queued.pop_front() else { break };
            let repeat = next.idempotency_key.is_some_and(|key| store.detect_repeat(now, &key));
            let work = if repeat { next.work.min(REPEAT_WORK_US) } else { next.work };
            self.running
                .push(RunningCommand { key: next.key, target_done_per_core: self.done_per_core + work });
            if !repeat {
                events.push(BackendEvent::WorkStarted(next.key, now));
            }
        }
    }

    /// Handles a command that has been received completely. Call `advance` first.
    pub fn arrive(
        &mut self,
        now: Timestamp,
        (key, work, idempotency_key): (LaunchKey, f64, Option<IdempotencyKey>),
        store: &mut IdempotencyStore,
        events: &mut Vec<BackendEvent>,
    ) -> Reply {
        if !self.is_up {
            return Reply::Down;
        }
        if self.is_draining {
            return Reply::Full;
        }
        if self.rng.chance(self.error_share) {
            return Reply::Error;
        }
        let cores = self.cores();
        if self.held_commands() as f64 >= cores + (self.kind.queue * cores).round() {
            return Reply::Full;
        }
        if self.would_crash(now, work) {
            return Reply::Crashed;
        }
        if self.warm_up_share(now) < 1.0 {
            let span = self.cold_budget.1;
            while self.received_while_cold.front().is_some_and(|(at, _)| now.since(*at) >= span) {
                self.received_while_cold.pop_front();
            }
            self.received_while_cold.push_back((now, work));
        }
        self.accepted_count += 1;
        self.queued.push_back(QueuedCommand { key, work, idempotency_key });
        self.start_queued(now, store, events);
        self.update_rate(now);
        Reply::Accepted
    }

    /// Handles a command that its node has cancelled. Call `advance` first.
    pub fn cancel(
        &mut self,
        now: Timestamp,
        key: LaunchKey,
        store: &mut IdempotencyStore,
        events: &mut Vec<BackendEvent>,
    ) {
        if self.kind.stops != CancelEffect::None {
            self.queued.retain(|c| c.key != key);
        }
        if self.kind.stops == CancelEffect::All {
            self.running.retain(|r| r.key != key);
            self.start_queued(now, store, events);
        }
        self.update_rate(now);
    }

    /// Adds work that belongs to no command, such as a probe or a new connection.
    pub fn add_overhead(&mut self, work: f64) {
        self.overhead_per_core += work / self.cores();
    }

    /// Ends the process: all its commands are lost.
    pub fn kill(&mut self, now: Timestamp) {
        self.is_up = false;
        self.running.clear();
        self.queued.clear();
        self.overhead_per_core = 0.0;
        self.is_collapsed = false;
        self.do_work_until(now);
        self.update_rate(now);
    }

    /// Starts a new, cold process under the same name.
    pub fn restart(&mut self, now: Timestamp) {
        self.is_up = true;
        self.is_draining = false;
        self.is_hung = false;
        self.always_warm = false;
        self.started_at = now;
        self.received_while_cold.clear();
        self.advanced_to = now;
        self.update_rate(now);
    }

    /// Computes its rate again after one of the public fields was changed. Call `advance` before the change.
    pub fn refresh_rate(&mut self, now: Timestamp) {
        self.update_rate(now);
    }
}
