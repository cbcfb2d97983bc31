//! What all parts on the real clock share: the model, the judges, the clock. Borrowed within a call and never
//! across an await.

use crate::judge::views::ViewJudge;
use crate::judge::{Judges, Observation};
use crate::model::backend::{BackendEvent, IdempotencyKey, Reply};
use crate::model::fleet::{AnswerFate, DriverAction, Fleet};
use crate::model::settings::zone_name;
use crate::model::troubles::Step;
use crate::real::ways::Ways;
use crate::rng::{RngStream, SeededRng};
use crate::scenario::{CommandEffect, Scenario};
use crate::span::Time;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot, watch, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};
use yarrowfront::decide::{BackendState, ListEntry};
use yarrowfront::times::Timestamp;

/// How a command's stay at a backend ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stay {
    Done,
    Full,
    Error,
    /// Its connection is to break off.
    Broken,
    /// Nothing comes of it, and its connection stays open.
    Silent,
}

/// A try, as its client sent it.
#[derive(Clone, Copy)]
pub struct Sent {
    pub command: u64,
    pub profile: u16,
    pub work: f64,
    pub node: usize,
}

struct Job {
    attempt: u64,
    backend: usize,
    answer: AnswerFate,
    end: oneshot::Sender<Stay>,
}

/// A backend's doors.
pub struct Gate {
    /// Its model may have another next edge.
    pub turned: Notify,
    /// Counted up when its connections are reset or its process starts.
    pub life: watch::Sender<u64>,
    pub port: Cell<u16>,
}

/// How often it is looked whether discovery is still up.
const LOOKS_FOR_OUTAGES: Duration = Duration::from_millis(20);
/// A call that would wait for longer in discovery's queue is refused.
const LONGEST_LIST_WAIT: Duration = Duration::from_secs(3);
/// What the end of a watch hides counts as told so much later.
const HIDDEN_COUNTS_AS_TOLD: Duration = Duration::from_secs(2);

/// A line of the list on its way to a node, and when it is due there.
pub type Line = (Instant, Option<usize>, String);

struct Inner {
    fleet: Fleet,
    judges: Option<Judges>,
    jobs: HashMap<u64, Job>,
    sent: HashMap<u64, Sent>,
    next_job: u64,
    network: SeededRng,
    watchers: Vec<Option<mpsc::UnboundedSender<Line>>>,
    told: Vec<BackendEvent>,
    gates: Vec<Rc<Gate>>,
    fault: Option<String>,
}

pub struct Stage {
    pub scenario: Rc<Scenario>,
    /// The instant, and what the machine's clock said then in microseconds since 1970.
    zero: (Instant, u64),
    origin: Cell<Timestamp>,
    inner: RefCell<Inner>,
    pub ways: Ways,
    /// Until when discovery works through the calls that it has.
    list_busy_until: Cell<Instant>,
    /// New machines, whose doors are to be opened.
    replaced: mpsc::UnboundedSender<usize>,
}

impl Stage {
    /// The stage, and where it tells of machines that have come in place of others.
    pub fn new(scenario: &Scenario, seed: u64) -> (Rc<Stage>, mpsc::UnboundedReceiver<usize>) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
        let now = Timestamp(unix);
        let fleet = Fleet::new(scenario, seed, now);
        let count = fleet.backends.len();
        let judges = Some(Judges::new(scenario, now, count));
        let inner = Inner {
            fleet,
            judges,
            jobs: HashMap::new(),
            sent: HashMap::new(),
            next_job: 0,
            network: SeededRng::new(seed, RngStream::Network),
            watchers: vec![None; scenario.nodes as usize],
            told: Vec::new(),
            gates: (0..count).map(|_| Rc::new(Gate::new())).collect(),
            fault: None,
        };
        let (replaced, told) = mpsc::unbounded_channel();
        let stage = Stage {
            replaced,
            list_busy_until: Cell::new(Instant::now()),
            ways: Ways::new(scenario, seed),
            scenario: Rc::new(scenario.clone()),
            zero: (Instant::now(), unix),
            origin: Cell::new(now),
            inner: RefCell::new(inner),
        };
        (Rc::new(stage), told)
    }

    /// The scenario's time starts now: all nodes are up.
    pub fn begin(&self) {
        let (now, count) = (self.now(), self.backends());
        self.origin.set(now);
        self.inner.borrow_mut().judges = Some(Judges::new(&self.scenario, now, count));
    }

    pub fn now(&self) -> Timestamp {
        Timestamp(self.zero.1 + self.zero.0.elapsed().as_micros() as u64)
    }

    pub fn instant(&self, at: Timestamp) -> Instant {
        self.zero.0 + Duration::from_micros(at.since(Timestamp(self.zero.1)).0)
    }

    pub fn moment(&self, at: Time) -> Timestamp {
        self.origin.get() + at.span()
    }

    /// How long until this time of the scenario.
    pub fn until(&self, at: Time) -> Duration {
        Duration::from_micros(self.moment(at).since(self.now()).0)
    }

    pub fn backends(&self) -> usize {
        self.inner.borrow().fleet.backends.len()
    }

    pub fn gate(&self, i: usize) -> Rc<Gate> {
        self.inner.borrow().gates[i].clone()
    }

    pub fn is_up(&self, i: usize) -> bool {
        self.inner.borrow().fleet.backends[i].is_up
    }

    pub fn is_cut(&self, i: usize) -> bool {
        self.inner.borrow().fleet.backends[i].is_cut_off
    }

    /// What a trouble puts on top of each way.
    pub fn delay(&self) -> Duration {
        Duration::from_micros(self.inner.borrow().fleet.extra_delay_us.max(0) as u64)
    }

    /// A fault of the rehearsal itself: its figures say nothing.
    pub fn fail(&self, why: String) {
        self.inner.borrow_mut().fault.get_or_insert(why);
    }

    pub fn fault(&self) -> Option<String> {
        self.inner.borrow().fault.clone()
    }

    pub fn see(&self, seen: Observation) {
        if let Some(judges) = &mut self.inner.borrow_mut().judges {
            judges.observe(seen);
        }
    }

    /// What is done to nodes or told by them goes to the judge of their views.
    pub fn view(&self, tell: impl FnOnce(&mut ViewJudge, Timestamp)) {
        let now = self.now();
        if let Some(judges) = &mut self.inner.borrow_mut().judges {
            tell(&mut judges.views, now);
        }
    }

    /// The judges, once all is over; what is seen later counts no more.
    pub fn end(&self) -> Judges {
        let judges = self.inner.borrow_mut().judges.take();
        judges.unwrap_or_else(|| Judges::new(&self.scenario, self.origin.get(), 0))
    }

    // Commands at backends.

    pub fn sent(&self, attempt: u64, sent: Sent) {
        self.inner.borrow_mut().sent.insert(attempt, sent);
    }

    /// Its client has sent it to another node instead.
    pub fn moved(&self, attempt: u64, node: usize) {
        if let Some(sent) = self.inner.borrow_mut().sent.get_mut(&attempt) {
            sent.node = node;
        }
    }

    pub fn of(&self, attempt: u64) -> Option<Sent> {
        self.inner.borrow().sent.get(&attempt).copied()
    }

    /// A command has come whole. What becomes of it is told on the channel, and its number is for `stop`.
    pub fn arrive(self: &Rc<Self>, i: usize, attempt: u64, sent: Sent) -> (u64, oneshot::Receiver<Stay>) {
        let (end, ended) = oneshot::channel();
        let now = self.now();
        self.pass(i);
        let p = &self.scenario.profiles[usize::from(sent.profile)];
        let mut asked = Vec::new();
        let key = {
            let inner = &mut *self.inner.borrow_mut();
            inner.next_job += 1;
            let key = inner.next_job;
            let scope = inner.fleet.scope_id(p.scope, i);
            let tag = IdempotencyKey { scope, key: sent.command, retention: p.memory.span() };
            let tag = (p.effect == CommandEffect::Tagged).then_some(tag);
            let answer = inner.fleet.draw_answer_fate(&mut inner.network);
            inner.jobs.insert(key, Job { attempt, backend: i, answer, end });
            let fleet = &mut inner.fleet;
            let told = &mut inner.told;
            let reply =
                fleet.backends[i].arrive(now, (key, sent.work, tag), &mut fleet.idempotency_store, told);
            let stay = match reply {
                Reply::Accepted => None,
                Reply::Full => Some(Stay::Full),
                Reply::Error => Some(Stay::Error),
                Reply::Down => Some(Stay::Broken),
                Reply::Crashed => {
                    fleet.crash(now, i, &mut asked);
                    Some(Stay::Broken)
                }
            };
            if let Some(stay) = stay {
                if let Some(job) = inner.jobs.remove(&key) {
                    let _ = job.end.send(stay);
                }
            }
            if let Some(judges) = &mut inner.judges {
                judges.observe(Observation::LaunchReceived { backend: i, work: sent.work, at: now });
                if reply == Reply::Crashed {
                    judges.observe(Observation::BackendCrashed { backend: i, at: now });
                }
            }
            key
        };
        self.happened();
        self.gate(i).turned.notify_one();
        self.asked_now(asked);
        (key, ended)
    }

    /// Its node has closed the connection.
    pub fn stop(&self, i: usize, key: u64) {
        if !self.inner.borrow().jobs.contains_key(&key) {
            return;
        }
        self.pass(i);
        {
            let inner = &mut *self.inner.borrow_mut();
            let now = self.now();
            let (fleet, told) = (&mut inner.fleet, &mut inner.told);
            fleet.backends[i].cancel(now, key, &mut fleet.idempotency_store, told);
        }
        self.happened();
        self.gate(i).turned.notify_one();
    }

    pub fn pass(&self, i: usize) {
        {
            let inner = &mut *self.inner.borrow_mut();
            let now = self.now();
            let (fleet, told) = (&mut inner.fleet, &mut inner.told);
            fleet.backends[i].advance(now, &mut fleet.idempotency_store, told);
        }
        self.happened();
    }

    fn happened(&self) {
        let inner = &mut *self.inner.borrow_mut();
        for one in inner.told.drain(..) {
            match one {
                BackendEvent::WorkStarted(key, at) => {
                    let Some(job) = inner.jobs.get(&key) else { continue };
                    let Some(sent) = inner.sent.get(&job.attempt) else { continue };
                    let (backend, attempt, command) = (job.backend, job.attempt, sent.command);
                    let (profile, work) = (sent.profile, sent.work);
                    if let Some(judges) = &mut inner.judges {
                        judges.observe(Observation::WorkStarted {
                            backend,
                            attempt,
                            command,
                            profile,
                            work,
                            at,
                        });
                    }
                }
                BackendEvent::WorkFinished(key, _) => {
                    if let Some(job) = inner.jobs.remove(&key) {
                        let stay = match job.answer {
                            AnswerFate::Delivered => Stay::Done,
                            AnswerFate::ConnectionBroken => Stay::Broken,
                            AnswerFate::Lost => Stay::Silent,
                        };
                        let _ = job.end.send(stay);
                    }
                }
            }
        }
    }

    pub fn next(&self, i: usize) -> Option<Timestamp> {
        self.inner.borrow().fleet.backends[i].next_change()
    }

    pub fn burden(&self, i: usize, connection: bool) {
        self.pass(i);
        let b = &mut self.inner.borrow_mut().fleet.backends[i];
        b.add_overhead(if connection { b.kind.connection_work.micros() } else { b.kind.probe_work.micros() });
    }

    /// Its load report, if its process does anything at all.
    pub fn load(&self, i: usize) -> Option<Value> {
        self.pass(i);
        let inner = self.inner.borrow();
        let b = &inner.fleet.backends[i];
        let silent = b.is_hung || self.now() < b.stalled_until;
        let busy = (b.held_commands() as f64 / b.cores()).min(1.0);
        (!silent).then(|| json!({"inflight": b.held_commands(), "queue": b.queued_commands(), "util": busy}))
    }

    // Troubles.

    pub fn step(self: &Rc<Self>, step: Step) {
        let mut asked = Vec::new();
        if let Step::Hang(i, _)
        | Step::ScaleSpeed(i, _)
        | Step::Stall(i, _)
        | Step::Kill(i)
        | Step::Drain(i) = step
        {
            self.pass(i);
        }
        {
            let inner = &mut *self.inner.borrow_mut();
            inner.fleet.apply(self.now(), step, &mut asked);
            if step == Step::DiscoveryDown {
                // Watches end when the list goes down.
                inner.watchers.fill(None);
            }
        }
        self.asked_now(asked);
    }

    fn asked_now(self: &Rc<Self>, asked: Vec<DriverAction>) {
        for one in asked {
            match one {
                DriverAction::ResetConnections(i) => {
                    let inner = &mut *self.inner.borrow_mut();
                    if !inner.fleet.backends[i].is_up {
                        inner.jobs.retain(|_, job| job.backend != i);
                    }
                    inner.gates[i].life.send_modify(|life| *life += 1);
                }
                DriverAction::Publish(at, i) => {
                    let (stage, at) = (self.clone(), self.instant(at));
                    spawn_local(async move {
                        tokio::time::sleep_until(at).await;
                        stage.publish(i);
                    });
                }
                DriverAction::ScheduleStep(at, step) => {
                    let (stage, at) = (self.clone(), self.instant(at));
                    spawn_local(async move {
                        tokio::time::sleep_until(at).await;
                        stage.step(step);
                    });
                }
                DriverAction::ReportColdStart(i) => self.started(i),
                DriverAction::UpdateNextChange(i) => self.gate(i).turned.notify_one(),
            }
        }
    }

    fn started(self: &Rc<Self>, i: usize) {
        let new = {
            let inner = &mut *self.inner.borrow_mut();
            let new = inner.gates.len() <= i;
            if new {
                inner.gates.push(Rc::new(Gate::new()));
            }
            let b = &inner.fleet.backends[i];
            let (share, warm, capacity) = (b.kind.cold, b.kind.warm.micros(), b.cores() * b.speed);
            if let Some(judges) = inner.judges.as_mut().filter(|_| warm > 0.0) {
                judges.observe(Observation::ColdStart { backend: i, at: self.now(), share, warm, capacity });
            }
            inner.gates[i].life.send_modify(|life| *life += 1);
            new
        };
        if new {
            let _ = self.replaced.send(i);
        }
    }

    // The list.

    pub fn list_up(&self) -> bool {
        self.inner.borrow().fleet.discovery_is_up
    }

    /// Waits so long; whether discovery could be reached all the while.
    pub async fn list_stays_up(&self, span: Duration) -> bool {
        let end = Instant::now() + span;
        while Instant::now() < end {
            if !self.list_up() {
                return false;
            }
            sleep(LOOKS_FOR_OUTAGES.min(end - Instant::now())).await;
        }
        self.list_up()
    }

    /// A line of the list as that node is told it: each reaches a backend by its own way.
    fn entry(&self, inner: &Inner, node: usize, line: &ListEntry) -> Value {
        let (i, scenario) = (line.backend.0 as usize, &self.scenario);
        let own = inner.gates[i].port.get();
        let port = self.ways.tcp(&format!("n{node}"), &format!("b{i}"), own).unwrap_or(own);
        let status = match line.state {
            BackendState::Ready => "ready",
            BackendState::Draining => "draining",
            BackendState::Gone => "gone",
        };
        json!({
            "name": inner.fleet.backend_name(i), "address": format!("127.0.0.1:{port}"),
            "zone": zone_name(line.zone.0), "type": scenario.backends[usize::from(line.backend_type.0)].kind,
            "group": line.group.0, "status": status, "weight": 1.0, "since_ms": line.started_at.0 / 1000,
        })
    }

    /// The whole list, in the form in which it is told.
    pub fn whole(&self, node: usize) -> Value {
        let inner = self.inner.borrow();
        let lines: Vec<Value> = inner.fleet.snapshot().map(|line| self.entry(&inner, node, &line)).collect();
        json!({"index": inner.fleet.changes.len(), "snapshot": true, "endpoints": lines})
    }

    /// A node watches: the first message holds what has changed since that version.
    pub fn watch(&self, node: usize, since: usize) -> mpsc::UnboundedReceiver<Line> {
        let (to, lines) = mpsc::unbounded_channel();
        let whole = self.whole(node);
        let inner = &mut *self.inner.borrow_mut();
        let index = inner.fleet.changes.len();
        let mut changed: Vec<usize> = inner.fleet.changes.get(since..).unwrap_or_default().to_vec();
        changed.sort_unstable();
        changed.dedup();
        let text = match since <= index {
            true if changed.is_empty() => String::new(),
            true => {
                let entry = |i: &usize| self.entry(inner, node, &inner.fleet.entries[*i]);
                let lines: Vec<Value> = changed.iter().map(entry).collect();
                json!({"index": index, "snapshot": false, "endpoints": lines}).to_string()
            }
            false => whole.to_string(),
        };
        let _ = to.send((Instant::now(), None, text));
        inner.watchers[node] = Some(to);
        lines
    }

    /// What the judges must know: this node has been told of this backend, or of all (none named).
    pub fn told(&self, node: usize, backend: Option<usize>) {
        let (now, inner) = (self.now(), &mut *self.inner.borrow_mut());
        let all = 0..inner.fleet.entries.len();
        let some = backend.map_or(all, |b| b..b + 1);
        for i in some {
            let ready = inner.fleet.entries[i].state == BackendState::Ready;
            if let Some(judges) = &mut inner.judges {
                judges.observe(Observation::ListEntryDelivered { node, backend: i, ready, at: now });
            }
        }
    }

    /// When discovery gets to a call that comes now; none if that is too late for it.
    pub fn list_turn(&self) -> Option<Instant> {
        let turn = self.scenario.stress.as_ref().map_or(Duration::ZERO, |stress| stress.list_turn.duration());
        let answered = self.list_busy_until.get().max(Instant::now()) + turn;
        if answered > Instant::now() + LONGEST_LIST_WAIT {
            return None;
        }
        self.list_busy_until.set(answered);
        Some(answered)
    }

    /// All watches end instead of telling of this backend; what they hide counts as told a while later.
    fn end_watches(self: &Rc<Self>, i: usize) {
        let watching: Vec<usize> = {
            let watchers = &mut self.inner.borrow_mut().watchers;
            (0..watchers.len()).filter(|node| watchers[*node].take().is_some()).collect()
        };
        let stage = self.clone();
        spawn_local(async move {
            sleep(HIDDEN_COUNTS_AS_TOLD).await;
            watching.into_iter().for_each(|node| stage.told(node, Some(i)));
        });
    }

    fn publish(self: &Rc<Self>, i: usize) {
        let ends = self.scenario.stress.as_ref().is_some_and(|stress| stress.watches_end);
        let hidden = {
            let inner = &mut *self.inner.borrow_mut();
            if !inner.fleet.publish(i) || !inner.fleet.discovery_is_up {
                return;
            }
            ends && inner.fleet.entries[i].state == BackendState::Draining
        };
        if hidden {
            return self.end_watches(i);
        }
        let inner = &mut *self.inner.borrow_mut();
        let index = inner.fleet.changes.len();
        let trip = self.scenario.list.trip.duration();
        for node in 0..inner.watchers.len() {
            if inner.watchers[node].is_none() {
                continue;
            }
            let entry = self.entry(inner, node, &inner.fleet.entries[i]);
            let text = json!({"index": index, "snapshot": false, "endpoints": [entry]}).to_string();
            let due = Instant::now() + trip.mul_f64(inner.network.uniform());
            if let Some(watcher) = &inner.watchers[node] {
                let _ = watcher.send((due, Some(i), text));
            }
        }
    }
}

impl Gate {
    fn new() -> Gate {
        Gate { turned: Notify::new(), life: watch::channel(0).0, port: Cell::new(0) }
    }
}
