//! One backend: cores, a queue, a warm-up, and the ways in which it slows down, stops and falls over.
//!
//! All commands in work on a backend go on at one rate, so that its state is one number, the work done on each
//! core since its start; a command that began at `b` with work `w` ends when that number reaches `b + w`. The
//! rate is constant between edges (an arrival, an end, a step of the warm-up, a stall), and `next` is the next
//! edge: whoever drives it calls `advance` then.

use crate::rng::{RngStream, SeededRng};
use crate::scenario::{BackendKind, Spells, Stops};
use std::collections::{HashMap, VecDeque};
use yarrowfront::times::{Micros, Timestamp};

/// Whatever a driver calls a launch.
pub type Key = u64;

/// A tag, and within which scope it is remembered for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IdempotencyKey {
    pub scope: u32,
    pub key: u64,
    pub retention: Micros,
}

/// Which tags have run, by the scope that remembers them.
#[derive(Default)]
pub struct IdempotencyStore(HashMap<(u32, u64), Timestamp>);

impl IdempotencyStore {
    /// Whether this is a repeat of what ran within the span. Otherwise it counts as run from now on.
    fn repeat(&mut self, now: Timestamp, tag: &IdempotencyKey) -> bool {
        let seen = self.0.get(&(tag.scope, tag.key)).copied();
        let repeat = seen.is_some_and(|at| now < at + tag.retention);
        if !repeat {
            self.0.insert((tag.scope, tag.key), now);
        }
        repeat
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply {
    Accepted,
    /// Turned away unseen: the queue is full, or it drains.
    Full,
    /// Answered with an error at once; nothing has run.
    Error,
    /// It was cold and pushed: it has fallen over, with all that it held.
    Crashed,
    Down,
}

/// What came of a command that a backend has taken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BackendEvent {
    /// Its work has begun: from now on it may have had its effect. Not told for a tag's repeat.
    WorkStarted(Key, Timestamp),
    WorkFinished(Key, Timestamp),
}

struct Waiting {
    key: Key,
    work: f64,
    tag: Option<IdempotencyKey>,
}

struct Running {
    key: Key,
    until: f64,
}

/// A process that is on and off by turns.
struct Turns {
    spells: Spells,
    on: bool,
    edge: Timestamp,
}

impl Turns {
    fn new(spells: Spells, now: Timestamp, draw: &mut SeededRng) -> Turns {
        Turns { spells, on: false, edge: now + Micros(draw.exponential(spells.every.micros()) as u64 + 1) }
    }

    fn pass(&mut self, now: Timestamp, draw: &mut SeededRng) {
        while self.edge <= now {
            self.on = !self.on;
            let mean = if self.on { self.spells.length } else { self.spells.every };
            self.edge = self.edge + Micros(draw.exponential(mean.micros()) as u64 + 1);
        }
    }

    fn speed(&self) -> f64 {
        if self.on {
            self.spells.speed
        } else {
            1.0
        }
    }
}

/// A tag's repeat is answered from memory: that is work too, but little.
const REPEAT_WORK: f64 = 500.0;
/// The warm-up goes in so many steps.
const STEPS: u64 = 50;

pub struct Backend {
    pub kind: BackendKind,
    pub zone: u16,
    pub group: u16,
    pub speed: f64,
    pub is_up: bool,
    /// Takes nothing new.
    pub draining: bool,
    /// Cut off from the network.
    pub is_cut_off: bool,
    pub is_hung: bool,
    /// What a trouble leaves of its speed.
    pub part: f64,
    pub errors: f64,
    pub started: Timestamp,
    /// Whether it has been warm for ever: the first ones of a scenario.
    seasoned: bool,
    done: f64,
    at: Timestamp,
    rate: f64,
    debt: f64,
    running: Vec<Running>,
    waiting: VecDeque<Waiting>,
    collapsed: bool,
    stalls: Option<Turns>,
    neighbours: Option<Turns>,
    /// Stalls that a trouble brings: until when it stands.
    pub stalled_until: Timestamp,
    poured: VecDeque<(Timestamp, f64)>,
    budget: (f64, Micros),
    draw: SeededRng,
    pub took: u64,
}

impl Backend {
    /// `budget`: the multiple of its capacity that a cold one can be sent, and within which span.
    pub fn new(
        kind: BackendKind,
        (zone, group): (u16, u16),
        started: Option<Timestamp>,
        now: Timestamp,
        budget: (f64, Micros),
        (seed, number): (u64, u64),
    ) -> Backend {
        let mut draw = SeededRng::with_index(seed, RngStream::Backends, number);
        let speed = draw.lognormal(kind.speed, kind.spread);
        let stalls = kind.stalls.map(|s| Turns::new(s, now, &mut draw));
        let neighbours = kind.neighbours.map(|s| Turns::new(s, now, &mut draw));
        let errors = kind.errors;
        let mut backend = Backend {
            kind,
            zone,
            group,
            speed,
            is_up: true,
            draining: false,
            is_cut_off: false,
            is_hung: false,
            part: 1.0,
            errors,
            started: started.unwrap_or_default(),
            seasoned: started.is_none(),
            done: 0.0,
            at: now,
            rate: 0.0,
            debt: 0.0,
            running: Vec::new(),
            waiting: VecDeque::new(),
            collapsed: false,
            stalls,
            neighbours,
            stalled_until: Timestamp(0),
            poured: VecDeque::new(),
            budget,
            draw,
            took: 0,
        };
        backend.turn(now);
        backend
    }

    pub fn held_commands(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    pub fn queued_commands(&self) -> usize {
        self.waiting.len()
    }

    pub fn cores(&self) -> f64 {
        f64::from(self.kind.cores)
    }

    /// The share of its capacity that its start leaves it.
    pub fn warmth(&self, now: Timestamp) -> f64 {
        if self.seasoned || self.kind.warm.0 == 0 {
            return 1.0;
        }
        let step = now.since(self.started).0.saturating_mul(STEPS) / self.kind.warm.0;
        let part = (step as f64 + 0.5) / STEPS as f64;
        (self.kind.cold + (1.0 - self.kind.cold) * part).min(1.0)
    }

    /// Work that it could do in a microsecond, by its start alone.
    pub fn capacity(&self, now: Timestamp) -> f64 {
        self.cores() * self.speed * self.warmth(now)
    }

    /// Work that it still has to do, in microseconds on a core of speed one.
    pub fn ahead(&self) -> f64 {
        let left: f64 = self.running.iter().map(|r| (r.until - self.done).max(0.0)).sum();
        left + self.waiting.iter().map(|w| w.work).sum::<f64>() + self.debt
    }

    /// What it does at present on each core.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Whether a cold one would fall over with so much more work.
    pub fn would_fall(&self, now: Timestamp, work: f64) -> bool {
        if self.warmth(now) >= 1.0 || self.kind.falls.0 == 0 {
            return false;
        }
        let (multiple, span) = self.budget;
        let recent: f64 = self.poured.iter().filter(|(at, _)| now.since(*at) < span).map(|(_, w)| w).sum();
        // Chance is allowed for: three commands as large as this one, and a tenth.
        recent + work > 1.1 * multiple * self.capacity(now) * span.as_f64() + 3.0 * work
    }

    fn turn(&mut self, now: Timestamp) {
        for turns in [&mut self.stalls, &mut self.neighbours].into_iter().flatten() {
            turns.pass(now, &mut self.draw);
        }
        let held = self.held_commands() as f64;
        if let Some(collapse) = self.kind.collapse {
            let each = held / self.cores();
            self.collapsed = if self.collapsed { each > collapse.until } else { each >= collapse.at };
        }
        let crowd = 1.0 - (self.kind.crowding * (held - 2.0 * self.cores()).max(0.0)).min(0.9);
        let collapse = self.kind.collapse.filter(|_| self.collapsed).map_or(1.0, |c| c.speed);
        let turns = self.stalls.as_ref().map_or(1.0, Turns::speed)
            * self.neighbours.as_ref().map_or(1.0, Turns::speed);
        let stands = self.is_hung || !self.is_up || now < self.stalled_until;
        let own = self.speed * self.part * self.warmth(now);
        self.rate = if stands { 0.0 } else { own * crowd * collapse * turns };
    }

    /// The next moment at which something about it changes by itself. Never for one that does nothing.
    pub fn next_change(&self) -> Option<Timestamp> {
        if self.running.is_empty() || !self.is_up {
            return None;
        }
        let mut edge = u64::MAX;
        if self.rate > 0.0 {
            let least = self.running.iter().map(|r| r.until).fold(f64::MAX, f64::min);
            let left = ((least - self.done + self.debt) / self.rate).ceil().max(0.0);
            edge = self.at.0 + left as u64;
        }
        for turns in [&self.stalls, &self.neighbours].into_iter().flatten() {
            edge = edge.min(turns.edge.0);
        }
        if self.at < self.stalled_until {
            edge = edge.min(self.stalled_until.0);
        }
        if self.warmth(self.at) < 1.0 {
            let step = (self.kind.warm.0 / STEPS).max(1);
            let passed = self.at.since(self.started).0 / step + 1;
            edge = edge.min(self.started.0 + passed * step);
        }
        (edge < u64::MAX).then_some(Timestamp(edge))
    }

    /// Lets time pass, and tells what happened meanwhile in its order.
    pub fn advance(&mut self, now: Timestamp, memory: &mut IdempotencyStore, told: &mut Vec<BackendEvent>) {
        while let Some(edge) = self.next_change().filter(|edge| *edge <= now) {
            self.pass(edge);
            self.end(edge, memory, told);
            self.turn(edge);
        }
        self.pass(now);
        self.turn(now);
    }

    fn pass(&mut self, now: Timestamp) {
        let mut step = self.rate * now.since(self.at).as_f64();
        self.at = now;
        if self.running.is_empty() {
            self.debt = (self.debt - step).max(0.0);
            return;
        }
        let paid = self.debt.min(step);
        self.debt -= paid;
        step -= paid;
        self.done += step;
    }

    fn end(&mut self, now: Timestamp, memory: &mut IdempotencyStore, told: &mut Vec<BackendEvent>) {
        // A thousandth of a microsecond is what rounding leaves.
        while let Some(i) = self.running.iter().position(|r| r.until <= self.done + 1e-3) {
            told.push(BackendEvent::WorkFinished(self.running.remove(i).key, now));
        }
        self.begin(now, memory, told);
    }

    fn begin(&mut self, now: Timestamp, memory: &mut IdempotencyStore, told: &mut Vec<BackendEvent>) {
        while self.running.len() < usize::from(self.kind.cores) {
            let Some(next) = self.waiting.pop_front() else { break };
            let repeat = next.tag.is_some_and(|tag| memory.repeat(now, &tag));
            let work = if repeat { next.work.min(REPEAT_WORK) } else { next.work };
            self.running.push(Running { key: next.key, until: self.done + work });
            if !repeat {
                told.push(BackendEvent::WorkStarted(next.key, now));
            }
        }
    }

    /// A command has come whole. Call `advance` first.
    pub fn arrive(
        &mut self,
        now: Timestamp,
        (key, work, tag): (Key, f64, Option<IdempotencyKey>),
        memory: &mut IdempotencyStore,
        told: &mut Vec<BackendEvent>,
    ) -> Reply {
        if !self.is_up {
            return Reply::Down;
        }
        if self.draining {
            return Reply::Full;
        }
        if self.draw.chance(self.errors) {
            return Reply::Error;
        }
        let cores = self.cores();
        if self.held_commands() as f64 >= cores + (self.kind.queue * cores).round() {
            return Reply::Full;
        }
        if self.would_fall(now, work) {
            return Reply::Crashed;
        }
        if self.warmth(now) < 1.0 {
            let span = self.budget.1;
            while self.poured.front().is_some_and(|(at, _)| now.since(*at) >= span) {
                self.poured.pop_front();
            }
            self.poured.push_back((now, work));
        }
        self.took += 1;
        self.waiting.push_back(Waiting { key, work, tag });
        self.begin(now, memory, told);
        self.turn(now);
        Reply::Accepted
    }

    /// Its node has given a command up. Call `advance` first.
    pub fn cancel(
        &mut self,
        now: Timestamp,
        key: Key,
        memory: &mut IdempotencyStore,
        told: &mut Vec<BackendEvent>,
    ) {
        if self.kind.stops != Stops::None {
            self.waiting.retain(|w| w.key != key);
        }
        if self.kind.stops == Stops::All {
            self.running.retain(|r| r.key != key);
            self.begin(now, memory, told);
        }
        self.turn(now);
    }

    /// Work that belongs to no command: a probe, a new connection.
    pub fn add_overhead(&mut self, work: f64) {
        self.debt += work / self.cores();
    }

    /// The process dies: whatever it held is lost.
    pub fn die(&mut self, now: Timestamp) {
        self.is_up = false;
        self.running.clear();
        self.waiting.clear();
        self.debt = 0.0;
        self.collapsed = false;
        self.pass(now);
        self.turn(now);
    }

    /// A new process under the old name: cold.
    pub fn rise(&mut self, now: Timestamp) {
        self.is_up = true;
        self.draining = false;
        self.is_hung = false;
        self.seasoned = false;
        self.started = now;
        self.poured.clear();
        self.at = now;
        self.turn(now);
    }

    /// Reckons its rate anew after one of the public marks was changed. Call `advance` before the change.
    pub fn changed(&mut self, now: Timestamp) {
        self.turn(now);
    }
}
