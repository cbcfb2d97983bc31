//! What all parts of a run on the real clock share: the model, the judges and the clock. The state is borrowed within a call
//! and never across an await.

use crate::judge::views::ViewJudge;
use crate::judge::{Judges, Observation};
use crate::model::backend::{BackendEvent, IdempotencyKey, Reply};
use crate::model::fleet::{AnswerFate, DriverAction, Fleet};
use crate::model::settings::zone_name;
use crate::model::troubles::Step;
use crate::real::answer_forms::AnswerForms;
use crate::real::list_calls::ListCalls;
use crate::real::network::ProcessLinks;
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
use tokio::time::{sleep, sleep_until, Instant};
use yarrowfront::decide::{BackendState, ListEntry};
use yarrowfront::times::Timestamp;

/// How a launch ended at a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LaunchResult {
    Done,
    Full,
    Error,
    /// Its connection breaks without an answer.
    ConnectionBroken,
    /// No answer comes, and its connection stays open.
    Unanswered,
}

/// An attempt as its client sent it.
#[derive(Clone, Copy)]
pub struct AttemptInfo {
    pub command: u64,
    pub profile: u16,
    pub work: f64,
    pub node: usize,
}

/// A launch that its backend has not answered yet.
struct PendingLaunch {
    attempt: u64,
    backend: usize,
    answer_fate: AnswerFate,
    result_sender: oneshot::Sender<LaunchResult>,
}

/// Links a backend's model to the tasks that serve its connections.
pub struct BackendControl {
    /// The time of the model's next change may have moved.
    pub next_change_updated: Notify,
    /// Incremented when its connections are reset or its process starts.
    pub connection_epoch: watch::Sender<u64>,
    pub port: Cell<u16>,
}

/// How often it is checked whether discovery is still up.
const DISCOVERY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// A call that would wait longer than this in discovery's queue is refused.
const MAX_LIST_CALL_WAIT: Duration = Duration::from_secs(3);

/// A message of a watch: when it arrives at the node, the backend that it concerns (`None`: all), and its text.
pub type ListMessage = (Instant, Option<usize>, String);

struct HarnessState {
    fleet: Fleet,
    judges: Option<Judges>,
    launches: HashMap<u64, PendingLaunch>,
    attempts: HashMap<u64, AttemptInfo>,
    last_launch_key: u64,
    /// Decides which answers the network loses and how long messages take.
    network_rng: SeededRng,
    /// The open watch of each node.
    watchers: Vec<Option<mpsc::UnboundedSender<ListMessage>>>,
    backend_events: Vec<BackendEvent>,
    controls: Vec<Rc<BackendControl>>,
    error: Option<String>,
}

/// The shared state of a run.
pub struct Harness {
    pub scenario: Rc<Scenario>,
    /// An instant, and the machine's clock at that instant in microseconds since 1970.
    clock_base: (Instant, u64),
    /// When the scenario's clock started.
    scenario_start: Cell<Timestamp>,
    inner: RefCell<HarnessState>,
    pub process_links: ProcessLinks,
    pub answer_forms: AnswerForms,
    /// Until when discovery is busy with the calls that it has accepted.
    discovery_busy_until: Cell<Instant>,
    pub list_calls: ListCalls,
    /// Backends that have replaced others and need listeners.
    new_backends: mpsc::UnboundedSender<usize>,
}

impl Harness {
    /// Returns the harness and the channel on which it reports backends that have replaced others.
    pub fn new(scenario: &Scenario, seed: u64) -> (Rc<Harness>, mpsc::UnboundedReceiver<usize>) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
        let now = Timestamp(unix);
        let fleet = Fleet::new(scenario, seed, now);
        let count = fleet.backends.len();
        let judges = Some(Judges::new(scenario, now, count));
        let inner = HarnessState {
            fleet,
            judges,
            launches: HashMap::new(),
            attempts: HashMap::new(),
            last_launch_key: 0,
            network_rng: SeededRng::new(seed, RngStream::Network),
            watchers: vec![None; scenario.nodes as usize],
            backend_events: Vec::new(),
            controls: (0..count).map(|_| Rc::new(BackendControl::new())).collect(),
            error: None,
        };
        let (new_backends, new_backends_receiver) = mpsc::unbounded_channel();
        let harness = Harness {
            new_backends,
            discovery_busy_until: Cell::new(Instant::now()),
            list_calls: ListCalls::new(scenario.nodes as usize),
            process_links: ProcessLinks::new(scenario, seed),
            answer_forms: AnswerForms::new(scenario, seed),
            scenario: Rc::new(scenario.clone()),
            clock_base: (Instant::now(), unix),
            scenario_start: Cell::new(now),
            inner: RefCell::new(inner),
        };
        (Rc::new(harness), new_backends_receiver)
    }

    /// Starts the scenario's clock; all nodes are up by now.
    pub fn start_scenario(&self) {
        let (now, count) = (self.now(), self.backend_count());
        self.scenario_start.set(now);
        self.inner.borrow_mut().judges = Some(Judges::new(&self.scenario, now, count));
    }

    /// The present time of the run, on a clock that never goes backwards.
    pub fn now(&self) -> Timestamp {
        Timestamp(self.clock_base.1 + self.clock_base.0.elapsed().as_micros() as u64)
    }

    /// Converts a timestamp of the run for tokio's timers.
    pub fn to_instant(&self, at: Timestamp) -> Instant {
        self.clock_base.0 + Duration::from_micros(at.since(Timestamp(self.clock_base.1)).0)
    }

    /// The timestamp of a time of the scenario.
    pub fn at_scenario_time(&self, at: Time) -> Timestamp {
        self.scenario_start.get() + at.span()
    }

    /// The time that is left until this time of the scenario; zero if it has passed.
    pub fn duration_until(&self, at: Time) -> Duration {
        Duration::from_micros(self.at_scenario_time(at).since(self.now()).0)
    }

    pub fn backend_count(&self) -> usize {
        self.inner.borrow().fleet.backends.len()
    }

    /// The control of a backend.
    pub fn control(&self, backend: usize) -> Rc<BackendControl> {
        self.inner.borrow().controls[backend].clone()
    }

    pub fn is_up(&self, backend: usize) -> bool {
        self.inner.borrow().fleet.backends[backend].is_up
    }

    /// Whether the backend is cut off from the network.
    pub fn is_cut_off(&self, backend: usize) -> bool {
        self.inner.borrow().fleet.backends[backend].is_cut_off
    }

    /// The delay that troubles add to each message.
    pub fn extra_delay(&self) -> Duration {
        Duration::from_micros(self.inner.borrow().fleet.extra_delay_us.max(0) as u64)
    }

    /// Records an error of the rehearsal itself, which makes its figures meaningless. Only the first one is kept.
    pub fn report_error(&self, reason: String) {
        self.inner.borrow_mut().error.get_or_insert(reason);
    }

    /// The first error of the rehearsal itself, if any.
    pub fn error(&self) -> Option<String> {
        self.inner.borrow().error.clone()
    }

    /// Passes an observation to the judges.
    pub fn observe(&self, observation: Observation) {
        if let Some(judges) = &mut self.inner.borrow_mut().judges {
            judges.observe(observation);
        }
    }

    /// Gives the judge of the nodes' views what is done to nodes or reported by them.
    pub fn with_view_judge(&self, update: impl FnOnce(&mut ViewJudge, Timestamp)) {
        let now = self.now();
        if let Some(judges) = &mut self.inner.borrow_mut().judges {
            update(&mut judges.views, now);
        }
    }

    /// Takes the judges at the end of the run; later observations are ignored.
    pub fn take_judges(&self) -> Judges {
        let judges = self.inner.borrow_mut().judges.take();
        judges.unwrap_or_else(|| Judges::new(&self.scenario, self.scenario_start.get(), 0))
    }

    // Launches at backends.

    /// Records an attempt before it is sent.
    pub fn register_attempt(&self, attempt: u64, info: AttemptInfo) {
        self.inner.borrow_mut().attempts.insert(attempt, info);
    }

    /// Records that the client has sent the attempt to another node instead.
    pub fn move_attempt(&self, attempt: u64, node: usize) {
        if let Some(info) = self.inner.borrow_mut().attempts.get_mut(&attempt) {
            info.node = node;
        }
    }

    /// What its client has recorded of an attempt.
    pub fn attempt_info(&self, attempt: u64) -> Option<AttemptInfo> {
        self.inner.borrow().attempts.get(&attempt).copied()
    }

    /// Gives a complete launch to the backend's model. Returns its key for `cancel_launch` and the channel for its result.
    pub fn start_launch(
        self: &Rc<Self>,
        backend: usize,
        attempt: u64,
        info: AttemptInfo,
    ) -> (u64, oneshot::Receiver<LaunchResult>) {
        let (result_sender, result_receiver) = oneshot::channel();
        let now = self.now();
        self.advance_backend(backend);
        let profile = &self.scenario.profiles[usize::from(info.profile)];
        let mut actions = Vec::new();
        let key = {
            let inner = &mut *self.inner.borrow_mut();
            inner.last_launch_key += 1;
            let key = inner.last_launch_key;
            let scope = inner.fleet.scope_id(profile.scope, backend);
            let idempotency_key =
                IdempotencyKey { scope, key: info.command, retention: profile.memory.span() };
            let idempotency_key = (profile.effect == CommandEffect::Tagged).then_some(idempotency_key);
            let answer_fate = inner.fleet.draw_answer_fate(&mut inner.network_rng);
            inner.launches.insert(key, PendingLaunch { attempt, backend, answer_fate, result_sender });
            let fleet = &mut inner.fleet;
            let events = &mut inner.backend_events;
            let reply = fleet.backends[backend].arrive(
                now,
                (key, info.work, idempotency_key),
                &mut fleet.idempotency_store,
                events,
            );
            let result = match reply {
                Reply::Accepted => None,
                Reply::Full => Some(LaunchResult::Full),
                Reply::Error => Some(LaunchResult::Error),
                Reply::Down => Some(LaunchResult::ConnectionBroken),
                Reply::Crashed => {
                    fleet.crash(now, backend, &mut actions);
                    Some(LaunchResult::ConnectionBroken)
                }
            };
            if let Some(result) = result {
                if let Some(launch) = inner.launches.remove(&key) {
                    let _ = launch.result_sender.send(result);
                }
            }
            if let Some(judges) = &mut inner.judges {
                judges.observe(Observation::LaunchReceived { backend, work: info.work, at: now });
                if reply == Reply::Crashed {
                    judges.observe(Observation::BackendCrashed { backend, at: now });
                }
            }
            key
        };
        self.process_backend_events();
        self.control(backend).next_change_updated.notify_one();
        self.run_driver_actions(actions);
        (key, result_receiver)
    }

    /// Cancels a launch whose node has closed the connection.
    pub fn cancel_launch(&self, backend: usize, key: u64) {
        if !self.inner.borrow().launches.contains_key(&key) {
            return;
        }
        self.advance_backend(backend);
        {
            let inner = &mut *self.inner.borrow_mut();
            let now = self.now();
            let (fleet, events) = (&mut inner.fleet, &mut inner.backend_events);
            fleet.backends[backend].cancel(now, key, &mut fleet.idempotency_store, events);
        }
        self.process_backend_events();
        self.control(backend).next_change_updated.notify_one();
    }

    /// Advances a backend's model to the present and handles what has happened there.
    pub fn advance_backend(&self, backend: usize) {
        {
            let inner = &mut *self.inner.borrow_mut();
            let now = self.now();
            let (fleet, events) = (&mut inner.fleet, &mut inner.backend_events);
            fleet.backends[backend].advance(now, &mut fleet.idempotency_store, events);
        }
        self.process_backend_events();
    }

    /// Reports started work to the judges and completes finished launches.
    fn process_backend_events(&self) {
        let inner = &mut *self.inner.borrow_mut();
        for event in inner.backend_events.drain(..) {
            match event {
                BackendEvent::WorkStarted(key, at) => {
                    let Some(launch) = inner.launches.get(&key) else { continue };
                    let Some(info) = inner.attempts.get(&launch.attempt) else { continue };
                    let (backend, attempt, command) = (launch.backend, launch.attempt, info.command);
                    let (profile, work) = (info.profile, info.work);
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
                    if let Some(launch) = inner.launches.remove(&key) {
                        let result = match launch.answer_fate {
                            AnswerFate::Delivered => LaunchResult::Done,
                            AnswerFate::ConnectionBroken => LaunchResult::ConnectionBroken,
                            AnswerFate::Lost => LaunchResult::Unanswered,
                        };
                        let _ = launch.result_sender.send(result);
                    }
                }
            }
        }
    }

    /// When the backend's model changes next by itself.
    pub fn next_backend_change(&self, backend: usize) -> Option<Timestamp> {
        self.inner.borrow().fleet.backends[backend].next_change()
    }

    /// Adds the work of a new connection or of a probe to a backend.
    pub fn add_overhead(&self, backend: usize, is_new_connection: bool) {
        self.advance_backend(backend);
        let model = &mut self.inner.borrow_mut().fleet.backends[backend];
        model.add_overhead(if is_new_connection {
            model.kind.connection_work.micros()
        } else {
            model.kind.probe_work.micros()
        });
    }

    /// The backend's load report; `None` if its process hangs or is stalled.
    pub fn load_report(&self, backend: usize) -> Option<Value> {
        self.advance_backend(backend);
        let inner = self.inner.borrow();
        let model = &inner.fleet.backends[backend];
        let is_silent = model.is_hung || self.now() < model.stalled_until;
        let utilization = (model.held_commands() as f64 / model.cores()).min(1.0);
        (!is_silent).then(|| json!({"inflight": model.held_commands(), "queue": model.queued_commands(), "util": utilization}))
    }

    // Troubles.

    /// Applies one step of a trouble.
    pub fn apply_step(self: &Rc<Self>, step: Step) {
        let mut actions = Vec::new();
        if let Step::Hang(backend, _)
        | Step::ScaleSpeed(backend, _)
        | Step::Stall(backend, _)
        | Step::Kill(backend)
        | Step::Drain(backend) = step
        {
            self.advance_backend(backend);
        }
        {
            let inner = &mut *self.inner.borrow_mut();
            inner.fleet.apply(self.now(), step, &mut actions);
            if step == Step::DiscoveryDown {
                // Watches end when discovery goes down.
                inner.watchers.fill(None);
            }
        }
        self.run_driver_actions(actions);
    }

    /// Carries out what the fleet model requires of its driver.
    fn run_driver_actions(self: &Rc<Self>, actions: Vec<DriverAction>) {
        for action in actions {
            match action {
                DriverAction::ResetConnections(backend) => {
                    let inner = &mut *self.inner.borrow_mut();
                    if !inner.fleet.backends[backend].is_up {
                        inner.launches.retain(|_, launch| launch.backend != backend);
                    }
                    inner.controls[backend].connection_epoch.send_modify(|epoch| *epoch += 1);
                }
                DriverAction::Publish(at, backend) => {
                    let (harness, at) = (self.clone(), self.to_instant(at));
                    spawn_local(async move {
                        tokio::time::sleep_until(at).await;
                        harness.publish_entry(backend);
                    });
                }
                DriverAction::ScheduleStep(at, step) => {
                    let (harness, at) = (self.clone(), self.to_instant(at));
                    spawn_local(async move {
                        tokio::time::sleep_until(at).await;
                        harness.apply_step(step);
                    });
                }
                DriverAction::ReportColdStart(backend) => self.on_cold_start(backend),
                DriverAction::UpdateNextChange(backend) => {
                    self.control(backend).next_change_updated.notify_one()
                }
            }
        }
    }

    /// Reports a backend that has started cold, and a new one to the task that opens listeners.
    fn on_cold_start(self: &Rc<Self>, backend: usize) {
        let is_new = {
            let inner = &mut *self.inner.borrow_mut();
            let is_new = inner.controls.len() <= backend;
            if is_new {
                inner.controls.push(Rc::new(BackendControl::new()));
            }
            let model = &inner.fleet.backends[backend];
            let (share, warm, capacity) =
                (model.kind.cold, model.kind.warm.micros(), model.cores() * model.speed);
            if let Some(judges) = inner.judges.as_mut().filter(|_| warm > 0.0) {
                judges.observe(Observation::ColdStart { backend, at: self.now(), share, warm, capacity });
            }
            inner.controls[backend].connection_epoch.send_modify(|epoch| *epoch += 1);
            is_new
        };
        if is_new {
            let _ = self.new_backends.send(backend);
        }
    }

    // Discovery.

    /// Whether discovery answers calls.
    pub fn discovery_is_up(&self) -> bool {
        self.inner.borrow().fleet.discovery_is_up
    }

    /// Waits for this time. Returns whether discovery stayed up throughout.
    pub async fn discovery_stays_up(&self, duration: Duration) -> bool {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            if !self.discovery_is_up() {
                return false;
            }
            sleep(DISCOVERY_POLL_INTERVAL.min(end - Instant::now())).await;
        }
        self.discovery_is_up()
    }

    /// A list entry as this node receives it: each node reaches a backend over its own link.
    fn list_entry(&self, inner: &HarnessState, node: usize, entry: &ListEntry) -> Value {
        let (backend, scenario) = (entry.backend.0 as usize, &self.scenario);
        let own_port = inner.controls[backend].port.get();
        let port = self
            .process_links
            .tcp_port(&format!("n{node}"), &format!("b{backend}"), own_port)
            .unwrap_or(own_port);
        let status = match entry.state {
            BackendState::Ready => "ready",
            BackendState::Draining => "draining",
            BackendState::Gone => "gone",
        };
        json!({
            "name": inner.fleet.backend_name(backend), "address": format!("127.0.0.1:{port}"),
            "zone": zone_name(entry.zone.0), "type": scenario.backends[usize::from(entry.backend_type.0)].kind,
            "group": entry.group.0, "status": status, "weight": 1.0, "since_ms": entry.started_at.0 / 1000,
        })
    }

    /// The complete list as this node receives it.
    pub fn list_snapshot(&self, node: usize) -> Value {
        let inner = self.inner.borrow();
        let entries: Vec<Value> =
            inner.fleet.snapshot().map(|entry| self.list_entry(&inner, node, &entry)).collect();
        json!({"index": inner.fleet.changes.len(), "snapshot": true, "endpoints": entries})
    }

    /// Opens a watch for a node. Its first message holds what has changed since that version.
    pub fn open_watch(&self, node: usize, since: usize) -> mpsc::UnboundedReceiver<ListMessage> {
        let (sender, messages) = mpsc::unbounded_channel();
        let snapshot = self.list_snapshot(node);
        let inner = &mut *self.inner.borrow_mut();
        let index = inner.fleet.changes.len();
        let mut changed: Vec<usize> = inner.fleet.changes.get(since..).unwrap_or_default().to_vec();
        changed.sort_unstable();
        changed.dedup();
        let text = match since <= index {
            true if changed.is_empty() => String::new(),
            true => {
                let entry_of = |backend: &usize| self.list_entry(inner, node, &inner.fleet.entries[*backend]);
                let entries: Vec<Value> = changed.iter().map(entry_of).collect();
                json!({"index": index, "snapshot": false, "endpoints": entries}).to_string()
            }
            false => snapshot.to_string(),
        };
        let _ = sender.send((Instant::now(), None, text));
        inner.watchers[node] = Some(sender);
        messages
    }

    /// Tells the judges that this node has received the entry of one backend, or of all (`None`).
    pub fn record_list_delivery(&self, node: usize, changed: Option<usize>) {
        let (now, inner) = (self.now(), &mut *self.inner.borrow_mut());
        let all = 0..inner.fleet.entries.len();
        let delivered = changed.map_or(all, |backend| backend..backend + 1);
        for backend in delivered {
            let ready = inner.fleet.entries[backend].state == BackendState::Ready;
            if let Some(judges) = &mut inner.judges {
                judges.observe(Observation::ListEntryDelivered { node, backend, ready, at: now });
            }
        }
    }

    /// Queues a call at discovery. Returns when it is answered; `None` if the queue is too long.
    pub fn queue_list_call(&self) -> Option<Instant> {
        let service_time =
            self.scenario.stress.as_ref().map_or(Duration::ZERO, |stress| stress.list_turn.duration());
        let answer_at = self.discovery_busy_until.get().max(Instant::now()) + service_time;
        if answer_at > Instant::now() + MAX_LIST_CALL_WAIT {
            return None;
        }
        self.discovery_busy_until.set(answer_at);
        Some(answer_at)
    }

    /// Ends all watches instead of announcing a change of this backend; the hidden change counts as delivered some time later.
    fn end_watches_instead_of_publishing(self: &Rc<Self>, backend: usize) {
        let watching_nodes: Vec<usize> = {
            let watchers = &mut self.inner.borrow_mut().watchers;
            (0..watchers.len()).filter(|node| watchers[*node].take().is_some()).collect()
        };
        let hidden_at = Instant::now();
        for node in watching_nodes {
            spawn_local(self.clone().deliver_hidden_change(node, backend, hidden_at));
        }
    }

    /// Records the delivery of a change that was hidden from the node, when it counts as known there.
    async fn deliver_hidden_change(self: Rc<Self>, node: usize, backend: usize, hidden_at: Instant) {
        let known_at = || self.list_calls.known_at(node, hidden_at);
        sleep_until(known_at()).await;
        // A call may have failed meanwhile.
        sleep_until(known_at()).await;
        self.record_list_delivery(node, Some(backend));
    }

    /// Announces a backend's entry to all watches if it has changed.
    fn publish_entry(self: &Rc<Self>, backend: usize) {
        let watches_end = self.scenario.stress.as_ref().is_some_and(|stress| stress.watches_end);
        let is_hidden = {
            let inner = &mut *self.inner.borrow_mut();
            if !inner.fleet.publish(backend) || !inner.fleet.discovery_is_up {
                return;
            }
            watches_end && inner.fleet.entries[backend].state == BackendState::Draining
        };
        if is_hidden {
            return self.end_watches_instead_of_publishing(backend);
        }
        let inner = &mut *self.inner.borrow_mut();
        let index = inner.fleet.changes.len();
        let max_trip = self.scenario.list.trip.duration();
        for node in 0..inner.watchers.len() {
            if inner.watchers[node].is_none() {
                continue;
            }
            let entry = self.list_entry(inner, node, &inner.fleet.entries[backend]);
            let text = json!({"index": index, "snapshot": false, "endpoints": [entry]}).to_string();
            let delivered_at = Instant::now() + max_trip.mul_f64(inner.network_rng.uniform());
            if let Some(watcher) = &inner.watchers[node] {
                let _ = watcher.send((delivered_at, Some(backend), text));
            }
        }
    }
}

impl BackendControl {
    fn new() -> BackendControl {
        BackendControl {
            next_change_updated: Notify::new(),
            connection_epoch: watch::channel(0).0,
            port: Cell::new(0),
        }
    }
}
