//! Owns the balancer (the decision module) and the commands in flight. Each call goes straight to the
//! balancer; the actions that it requests in return are sent to a queue. No borrow of the inner state lasts
//! longer than one call, so none is held across an await.

use crate::command_ids::{CommandIds, IdHash, MIN_RETENTION};
use crate::counts::{CommandRecorder, Counts};
use crate::guard::{EarlierLaunch, LaunchFacts};
use crate::launch_types::LaunchResult;
use crate::log::log;
use crate::names::Names;
use crate::site_evidence::SiteEvidence;
use hyper::header::HeaderValue;
use serde_json::{json, Value};
use slab::Slab;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, Notify};
use tokio::time::Instant;
use yarrowfront::command::{Command, LaunchState, Outcome};
use yarrowfront::decide::{Action, BackendState, Balancer, Decision, ListEntry, ListUpdateKind};
use yarrowfront::ids::{BackendId, CommandHandle, CommandId};
use yarrowfront::settings::{Idempotency, Profile, Settings};
use yarrowfront::times::{Micros, Timestamp};

/// The Unix time at process start plus the monotonic time since then: start times in the list are Unix times
/// and can be compared with it, and it never goes backwards.
#[derive(Clone, Copy)]
pub struct Clock {
    unix_start_us: u64,
    start: Instant,
}

impl Clock {
    /// Starts the clock at the present Unix time.
    pub fn start() -> Clock {
        let unix_start_us = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_start_us: unix_start_us.as_micros() as u64, start: Instant::now() }
    }

    /// The present time.
    pub fn now(&self) -> Timestamp {
        Timestamp(self.unix_start_us + self.start.elapsed().as_micros() as u64)
    }

    /// The time at which the process started.
    pub fn process_start(&self) -> Timestamp {
        Timestamp(self.unix_start_us)
    }

    /// Converts a time of the runtime's clock, which may lie before the process started.
    pub fn timestamp(&self, at: Instant) -> Timestamp {
        let before_start = self.start.saturating_duration_since(at).as_micros() as u64;
        let after_start = at.saturating_duration_since(self.start).as_micros() as u64;
        Timestamp(self.unix_start_us - before_start + after_start)
    }

    /// Converts a time to the runtime's clock; a time before the start becomes the start.
    pub fn instant(&self, at: Timestamp) -> Instant {
        self.start + Duration::from_micros(at.since(Timestamp(self.unix_start_us)).0)
    }
}

/// An entry of the list in the balancer's format, and the address of its backend; `None` for a backend that
/// is gone.
pub type AddressedEntry = (ListEntry, Option<SocketAddr>);

/// A command that was accepted and is not finished yet.
struct CommandInFlight {
    command: Command,
    /// The client's id for the command (`x-correlation-id`).
    client_id: HeaderValue,
    /// The hash of that id, if the command must not run twice.
    once_id: Option<IdHash>,
    /// Notified when the balancer wants `decide` to be called again for this command.
    reevaluation_due: Rc<Notify>,
    /// The client has its answer or has disconnected; the command stays only until its remaining launches
    /// have ended.
    client_done: bool,
}

struct Inner {
    balancer: Balancer,
    names: Rc<Names>,
    commands_in_flight: Slab<CommandInFlight>,
    /// The clients' ids of all commands in flight.
    command_ids: HashSet<HeaderValue>,
    /// The ids of commands that may have run and must not run again, of this process and of the other one.
    ids_run: CommandIds,
    backend_ids: HashMap<String, BackendId>,
    /// Indexed by `BackendId`. A backend that is gone keeps its id and has no address.
    addresses: Vec<Option<SocketAddr>>,
    /// When each backend started according to its latest entry, and since when it is not ready, indexed in the same way.
    started_at: Vec<Timestamp>,
    not_ready_since: Vec<Option<Timestamp>>,
    accepted_commands: u32,
    settings: DispatchSettings,
    /// The number of nodes that share the common budgets and this node's index among them, as the fleet view
    /// has it; `None` without a view.
    node_share: Option<NodeShare>,
}

/// What the dispatcher needs of the settings in force.
#[derive(Clone, Copy, Debug)]
pub struct DispatchSettings {
    /// A backend that reports itself full may nevertheless have run the command.
    full_may_have_run: bool,
    /// The longest `Retry-After` that may be sent; zero if none may be sent.
    max_retry_after: Micros,
    /// What is allowed for launches of all classes.
    drain_grace: Micros,
    max_launches: usize,
    concurrent_launches_allowed: bool,
}

impl DispatchSettings {
    pub fn of(settings: &Settings) -> DispatchSettings {
        DispatchSettings {
            full_may_have_run: settings.full_may_have_run,
            max_retry_after: settings.max_retry_after,
            drain_grace: settings.drain_grace,
            max_launches: settings.max_launches,
            concurrent_launches_allowed: settings.concurrent_launches_allowed,
        }
    }
}

/// The number of nodes that share the common budgets, and this node's index among them. After `valid_until`
/// the count and the index in `fallback` apply, which do not depend on the fleet view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeShare {
    pub node_count: u32,
    pub node_index: u32,
    pub valid_until: Timestamp,
    pub fallback: (u32, u32),
}

/// The owner of the balancer and of all state that changes together with it.
pub struct Dispatcher {
    pub clock: Clock,
    timer_resolution: Duration,
    inner: RefCell<Inner>,
    actions: mpsc::UnboundedSender<Action>,
    /// Notified when the time of the balancer's next timer has changed.
    timer_changed: Notify,
    /// Whether a list of backends has been received or read from the cache.
    has_list: Cell<bool>,
    /// When discovery last sent anything.
    discovery_heard_at: Cell<Option<Instant>>,
    /// The list's version and entries in discovery's format, kept for the process that takes over from this
    /// one.
    list_entries: RefCell<(u64, BTreeMap<String, Value>)>,
    counts: Option<Rc<Counts>>,
    site_evidence: Option<Rc<SiteEvidence>>,
    /// Client ids of the commands that the other process of this node has in flight.
    peer_command_ids: RefCell<HashSet<String>>,
}

impl Dispatcher {
    pub fn new(
        balancer: Balancer,
        names: Names,
        clock: Clock,
        timer_resolution: Duration,
        actions: mpsc::UnboundedSender<Action>,
        (counts, site_evidence): (Option<Rc<Counts>>, Option<Rc<SiteEvidence>>),
        settings: DispatchSettings,
    ) -> Dispatcher {
        let (commands_in_flight, backend_ids) = (Slab::new(), HashMap::new());
        let (command_ids, addresses) = (HashSet::new(), Vec::new());
        let (list_entries, peer_command_ids) = Default::default();
        let names = Rc::new(names);
        let (accepted_commands, node_share) = (0, None);
        let inner = Inner {
            balancer,
            names,
            commands_in_flight,
            command_ids,
            ids_run: CommandIds::default(),
            backend_ids,
            addresses,
            started_at: Vec::new(),
            not_ready_since: Vec::new(),
            settings,
            accepted_commands,
            node_share,
        };
        let inner = RefCell::new(inner);
        let (timer_changed, has_list, discovery_heard_at) =
            (Notify::new(), Cell::new(false), Cell::new(None));
        Dispatcher {
            clock,
            timer_resolution,
            inner,
            actions,
            timer_changed,
            has_list,
            discovery_heard_at,
            list_entries,
            counts,
            site_evidence,
            peer_command_ids,
        }
    }

    /// Makes one call of the balancer and carries out or queues the actions that it requests.
    fn with_balancer<T>(&self, call: impl FnOnce(&mut Inner, Timestamp) -> T) -> T {
        let now = self.clock.now();
        let inner = &mut *self.inner.borrow_mut();
        // A process that was suspended, or one whose fleet view has stalled, must not use an outdated
        // share.
        if let Some(expired) = inner.node_share.take_if(|node_share| node_share.valid_until < now) {
            inner.balancer.set_membership(expired.fallback.0, expired.fallback.1);
        }
        let delay_before = inner.balancer.wakeup_delay(now, None);
        let value = call(inner, now);
        while let Some(action) = inner.balancer.next_action(now) {
            match action {
                Action::Reevaluate(handle) => {
                    if let Some(entry) = inner.commands_in_flight.get(handle.0 as usize) {
                        entry.reevaluation_due.notify_one();
                    }
                }
                // The receiver is dropped only while the node shuts down.
                other => drop(self.actions.send(other)),
            }
        }
        if inner.balancer.wakeup_delay(now, None) != delay_before {
            self.timer_changed.notify_one();
        }
        value
    }

    /// Calls the balancer whenever its next timer is due.
    pub async fn run_timers(&self) {
        loop {
            let delay = self.timer_delay(&self.inner.borrow(), None);
            match delay {
                Some(delay) => tokio::select! {
                    () = tokio::time::sleep(delay) => self.with_balancer(|_, _| ()),
                    () = self.timer_changed.notified() => {}
                },
                None => self.timer_changed.notified().await,
            }
        }
    }

    /// Registers a command and returns its handle; `None` if a command with the same client id is in flight, or
    /// may have run and must not run twice.
    pub fn register(
        &self,
        mut command: Command,
        client_id: HeaderValue,
    ) -> Option<(CommandHandle, Rc<Notify>)> {
        if client_id.to_str().is_ok_and(|id| self.peer_command_ids.borrow().contains(id)) {
            return None;
        }
        let inner = &mut *self.inner.borrow_mut();
        let once_id =
            inner.retention_of(&command).map(|retention| (IdHash::of(client_id.as_bytes()), retention));
        if once_id.is_some_and(|(id, _)| inner.ids_run.is_taken(id))
            || !inner.command_ids.insert(client_id.clone())
        {
            return None;
        }
        if let Some((id, retention)) = once_id {
            inner.ids_run.take(id, retention);
        }
        inner.accepted_commands = inner.accepted_commands.wrapping_add(1);
        command.id = CommandId(inner.accepted_commands);
        let reevaluation_due = Rc::new(Notify::new());
        let index = inner.commands_in_flight.insert(CommandInFlight {
            command,
            client_id,
            once_id: once_id.map(|(id, _)| id),
            reevaluation_due: reevaluation_due.clone(),
            client_done: false,
        });
        Some((CommandHandle(index as u32), reevaluation_due))
    }

    /// The hash of the command's id, if the command must not run twice.
    pub fn once_id(&self, handle: CommandHandle) -> Option<IdHash> {
        self.inner.borrow().commands_in_flight[handle.0 as usize].once_id
    }

    /// Takes an id for the other process of this node. False if it is taken already.
    pub fn take_for_peer(&self, id: IdHash) -> bool {
        let inner = &mut *self.inner.borrow_mut();
        let is_free = !inner.ids_run.is_taken(id);
        if is_free {
            inner.ids_run.take(id, inner.longest_retention());
        }
        is_free
    }

    /// Takes ids that the other process of this node has run.
    pub fn take_all_for_peer(&self, ids: &[IdHash]) {
        for id in ids {
            self.take_for_peer(*id);
        }
    }

    /// The ids of commands that may have run and must not run again, for the other process of this node.
    pub fn ids_run(&self) -> Vec<IdHash> {
        self.inner.borrow().ids_run.all()
    }

    /// Asks the balancer what to do with a command now.
    pub fn decide(&self, handle: CommandHandle) -> Decision {
        self.with_balancer(|inner, now| {
            inner.balancer.decide(now, handle, &mut inner.commands_in_flight[handle.0 as usize].command)
        })
    }

    /// Ends this command now without a backend's answer: rejects it if the client may safely retry, or else
    /// fails it.
    pub fn reject_or_fail(&self, handle: CommandHandle) -> Decision {
        self.with_balancer(|inner, _| {
            inner.balancer.reject_or_fail(&mut inner.commands_in_flight[handle.0 as usize].command)
        })
    }

    /// Records that a launch of this command has ended; `body_is_consumed` if the command cannot be sent again.
    pub fn record_launch_result(
        &self,
        handle: CommandHandle,
        result: &LaunchResult,
        body_is_consumed: bool,
    ) -> Decision {
        if let Some(counts) = &self.counts {
            counts.count_outcome(self.clock.now(), result.outcome);
        }
        if let Some(site_evidence) = &self.site_evidence {
            site_evidence.count_launch(result.backend, result.outcome);
        }
        self.with_balancer(|inner, now| {
            let index = handle.0 as usize;
            let command = &mut inner.commands_in_flight[index].command;
            command.is_closed |= result.outcome == Outcome::Finished;
            command.is_body_consumed = body_is_consumed;
            let decision =
                inner.balancer.on_launch_outcome(now, handle, command, result.number, result.outcome);
            // A report is used only if it was parsed with the present order of its fields, which a reload
            // may have changed.
            let report = result.report.as_ref().filter(|(revision, _)| *revision == inner.names.revision);
            inner.balancer.on_load_report(
                now,
                result.backend,
                true,
                None,
                report.map_or(&[], |(_, values)| values),
            );
            inner.remove_if_done(index);
            decision
        })
    }

    /// Whether a launch is in flight that started before the request body was complete, and the body is
    /// still incomplete.
    pub fn is_body_streaming(&self, handle: CommandHandle) -> bool {
        let command = &self.inner.borrow().commands_in_flight[handle.0 as usize].command;
        command.is_body_incomplete && command.in_flight_count() > 0
    }

    /// Records that the last byte of the request body has been passed on: the command's time counts from
    /// when the client had written that byte.
    pub fn record_body_complete(&self, handle: CommandHandle, ended_at: Instant) {
        let ended_at = self.clock.timestamp(ended_at);
        self.with_balancer(|inner, now| {
            let command = &mut inner.commands_in_flight[handle.0 as usize].command;
            inner.balancer.on_body_complete(now, ended_at, command)
        });
    }

    /// The statistics; `None` unless a rollout file is configured.
    pub fn counts(&self) -> Option<&Rc<Counts>> {
        self.counts.as_ref()
    }

    /// The time from which the command's deadlines count.
    pub fn arrived_at(&self, handle: CommandHandle) -> Timestamp {
        self.inner.borrow().commands_in_flight[handle.0 as usize].command.arrived_at
    }

    /// Starts the statistics of a command in flight; `None` if no statistics are kept.
    pub fn start_recorder(&self, handle: CommandHandle) -> Option<CommandRecorder> {
        let counts = self.counts.clone()?;
        let inner = self.inner.borrow();
        let (name, profile) =
            inner.names.definition(inner.commands_in_flight[handle.0 as usize].command.profile)?;
        Some(CommandRecorder::start(counts, self.clock.now(), name, profile))
    }

    /// The names that currently belong to the balancer's ids.
    pub fn names(&self) -> Rc<Names> {
        self.inner.borrow().names.clone()
    }

    /// Replaces the names and the settings. Every command in flight is reevaluated under the new
    /// settings.
    pub fn replace_settings(&self, names: Names, settings: Settings) {
        self.with_balancer(|inner, _| {
            inner.names = Rc::new(names);
            inner.settings = DispatchSettings::of(&settings);
            inner.balancer.replace_settings(settings);
            if let Some(node_share) = inner.node_share {
                inner.balancer.set_membership(node_share.node_count, node_share.node_index);
            }
            for (_, entry) in &inner.commands_in_flight {
                entry.reevaluation_due.notify_one();
            }
        });
    }

    /// The longest `Retry-After` that may be sent; zero if none may be sent.
    pub fn max_retry_after(&self) -> Micros {
        self.inner.borrow().settings.max_retry_after
    }

    /// For each of these sites: how many of its backends are listed as ready, and how many of those are
    /// still warming up.
    pub fn listed_backends_by_site(
        &self,
        names: &[String],
        now: Timestamp,
        warm_up_time: Micros,
    ) -> (Vec<u32>, Vec<u32>) {
        let (mut ready, mut warming_up) = (vec![0; names.len()], vec![0; names.len()]);
        for entry in self.list_entries.borrow().1.values() {
            let text = |key| entry.get(key).and_then(Value::as_str);
            let site_index = text("zone").and_then(|zone| names.iter().position(|name| name == zone));
            let Some(site_index) = site_index.filter(|_| text("status") == Some("ready")) else { continue };
            ready[site_index] += 1;
            let age = now.since(Timestamp(started_ms(entry) * 1000));
            warming_up[site_index] += u32::from(age < warm_up_time);
        }
        (ready, warming_up)
    }

    /// Whether a backend that reports itself full may nevertheless have run the command.
    pub fn full_may_have_run(&self) -> bool {
        self.inner.borrow().settings.full_may_have_run
    }

    /// Takes over the share that the fleet view has computed for this node.
    pub fn set_node_share(&self, node_share: NodeShare) {
        let (is_same, has_expired) = {
            let previous = self.inner.borrow().node_share;
            let is_same =
                |p: NodeShare| (p.node_count, p.node_index) == (node_share.node_count, node_share.node_index);
            (previous.is_some_and(is_same), previous.is_some_and(|p| p.valid_until < self.clock.now()))
        };
        if is_same && !has_expired {
            self.inner.borrow_mut().node_share = Some(node_share);
            return;
        }
        self.with_balancer(|inner, _| {
            inner.balancer.set_membership(node_share.node_count, node_share.node_index);
            inner.node_share = Some(node_share);
        });
    }

    /// Returns the commands in flight, the commands accepted since the start, the backends on the list, the
    /// list's version, and how long ago discovery last sent anything.
    pub fn load(&self) -> (usize, u32, usize, u64, Option<Duration>) {
        let inner = self.inner.borrow();
        let (version, backends) = (self.list_entries.borrow().0, inner.addresses.iter().flatten().count());
        (
            inner.command_ids.len(),
            inner.accepted_commands,
            backends,
            version,
            self.discovery_heard_at.get().map(|at| at.elapsed()),
        )
    }

    /// Records that discovery has sent something.
    pub fn record_discovery_contact(&self) {
        self.discovery_heard_at.set(Some(Instant::now()));
    }

    /// Records that the client has its answer or has disconnected; true if it had no answer.
    pub fn record_client_done(&self, handle: CommandHandle) -> bool {
        self.with_balancer(|inner, _| {
            let entry = &mut inner.commands_in_flight[handle.0 as usize];
            let unanswered = !entry.command.is_closed;
            if unanswered {
                inner.balancer.on_client_gone(&mut entry.command);
            }
            entry.client_done = true;
            inner.remove_if_done(handle.0 as usize);
            unanswered
        })
    }

    /// The time until which this launch may still be written. It is computed anew, as the conditions under
    /// which the launch was placed may have changed while it waited for a connection.
    pub fn launch_valid_until(&self, handle: CommandHandle, number: u8) -> Timestamp {
        let inner = self.inner.borrow();
        inner.balancer.launch_valid_until(&inner.commands_in_flight[handle.0 as usize].command, number)
    }

    /// What is known of a launch, for the check before it is written.
    pub fn launch_facts(&self, handle: CommandHandle, number: u8) -> Option<LaunchFacts> {
        let inner = self.inner.borrow();
        let entry = inner.commands_in_flight.get(handle.0 as usize)?;
        let (_, profile) = inner.names.definition(entry.command.profile)?;
        let launches: Vec<_> = entry.command.launches().collect();
        let launch = launches.get(usize::from(number))?;
        let earlier = launches.iter().take(number.into()).map(|earlier| EarlierLaunch {
            state: earlier.state,
            zone: earlier.zone,
            group: earlier.group,
            sent_at: earlier.sent_at,
        });
        let limits = inner.settings;
        Some(LaunchFacts {
            now: self.clock.now(),
            client_done: entry.client_done,
            deadline: (!entry.command.is_body_incomplete).then_some(entry.command.deadline),
            not_ready_since: inner.not_ready_since[launch.backend.0 as usize],
            drain_grace: limits.drain_grace,
            zone: launch.zone,
            group: launch.group,
            earlier: earlier.collect(),
            idempotency: profile.idempotency,
            dedup_scope: profile.dedup_scope,
            dedup_window: profile.dedup_window,
            max_launches: limits.max_launches,
            concurrent_launches_allowed: limits.concurrent_launches_allowed,
        })
    }

    /// The number of commands whose clients wait for an answer that has not begun.
    pub fn unanswered_count(&self) -> usize {
        let inner = self.inner.borrow();
        let is_unanswered = |entry: &CommandInFlight| !entry.client_done && !entry.command.is_closed;
        inner.commands_in_flight.iter().filter(|(_, entry)| is_unanswered(entry)).count()
    }

    /// How long until the balancer must be asked about this command again; `None` if it need not be.
    pub fn time_until_check(&self, handle: CommandHandle) -> Option<Duration> {
        let inner = self.inner.borrow();
        self.timer_delay(&inner, Some(&inner.commands_in_flight[handle.0 as usize].command))
    }

    /// How long until the balancer's next timer, for one command or for the node, rounded up to the
    /// runtime's timer resolution.
    fn timer_delay(&self, inner: &Inner, command: Option<&Command>) -> Option<Duration> {
        let delay = inner.balancer.wakeup_delay(self.clock.now(), command)?;
        Some(Duration::from_micros(delay.0).max(self.timer_resolution))
    }

    /// The number of the command's newest launch.
    pub fn last_launch_number(&self, handle: CommandHandle) -> u8 {
        (self.inner.borrow().commands_in_flight[handle.0 as usize].command.launch_count() - 1) as u8
    }

    /// Records the result of a probe; `values` is empty if there was no valid load report.
    pub fn record_probe(&self, backend: BackendId, was_answered: bool, round_trip: Micros, values: &[f32]) {
        if let Some(counts) = &self.counts {
            counts.count_probe(self.clock.now());
        }
        if let Some(site_evidence) = &self.site_evidence {
            site_evidence.count_probe(backend, was_answered);
        }
        self.with_balancer(|inner, now| {
            inner.balancer.on_load_report(now, backend, was_answered, Some(round_trip), values)
        });
    }

    /// Passes an update of the list on to the balancer and adopts the backends' addresses.
    pub fn apply_list(&self, kind: ListUpdateKind, entries: &[AddressedEntry]) {
        if let Some(counts) = &self.counts {
            counts.count_list_update(self.clock.now());
        }
        if let Some(site_evidence) = &self.site_evidence {
            entries.iter().for_each(|(entry, _)| site_evidence.set_site(entry.backend, entry.zone.0));
        }
        self.with_balancer(|inner, now| {
            let is_whole_list = matches!(kind, ListUpdateKind::Snapshot | ListUpdateKind::Cached);
            if is_whole_list {
                inner.addresses.fill(None);
            }
            for (entry, address) in entries {
                inner.addresses[entry.backend.0 as usize] = *address;
                inner.started_at[entry.backend.0 as usize] = entry.started_at;
            }
            let replaced = inner.remove_replaced(entries);
            if !replaced.is_empty() {
                log!("list: {} backends left out, as newer ones have their addresses", replaced.len());
            }
            inner.record_states(now, is_whole_list, entries, &replaced);
            let listed = entries.iter().map(|(entry, _)| *entry);
            inner.balancer.apply_list(now, kind, listed.chain(replaced));
        });
        if !kind.is_failure() {
            self.has_list.set(true);
        }
    }

    /// Sets when list changes that the node may have missed start to bind it; `None` if it cannot have missed
    /// any (see `list_age`).
    pub fn set_list_expiry(&self, expires_at: Option<Timestamp>) {
        self.with_balancer(|inner, _| inner.balancer.set_list_expiry(expires_at));
    }

    /// Whether there is a list of backends to use, even an old one.
    pub fn has_list(&self) -> bool {
        self.has_list.get()
    }

    /// Returns the id of the backend with this name in discovery; a new name gets a new id.
    pub fn backend_id(&self, name: &str) -> BackendId {
        let inner = &mut *self.inner.borrow_mut();
        if let Some(&id) = inner.backend_ids.get(name) {
            return id;
        }
        let id = BackendId(inner.addresses.len() as u32);
        inner.backend_ids.insert(name.to_owned(), id);
        inner.addresses.push(None);
        inner.started_at.push(Timestamp(0));
        inner.not_ready_since.push(None);
        id
    }

    /// The backend's name in discovery, for the log.
    pub fn backend_name(&self, backend: BackendId) -> String {
        let inner = self.inner.borrow();
        let found = inner.backend_ids.iter().find(|(_, id)| **id == backend);
        found.map(|(name, _)| name.clone()).unwrap_or_default()
    }

    /// Tells the balancer whether the previous process of this node still runs: until it ends, the spare
    /// part of the launch budget belongs to that process.
    pub fn set_predecessor_running(&self, is_running: bool) {
        self.with_balancer(|inner, now| inner.balancer.set_predecessor_running(now, is_running));
    }

    /// The id of a backend that has been listed at any time since the start.
    pub fn known_backend(&self, name: &str) -> Option<BackendId> {
        self.inner.borrow().backend_ids.get(name).copied()
    }

    /// Takes a backend out of service for maintenance, or puts it back, from this call on.
    pub fn set_maintenance(&self, backend: BackendId, in_maintenance: bool) {
        self.with_balancer(|inner, now| inner.balancer.set_maintenance(now, backend, in_maintenance));
        // The process that takes over must also know that the backend has to warm up again.
        let name = self.backend_name(backend);
        if let Some(entry) = self.list_entries.borrow_mut().1.get_mut(&name).filter(|_| !in_maintenance) {
            raise_started_ms(entry, self.clock.now().0 / 1000);
        }
    }

    /// The names of all backends that operators have taken out of service.
    pub fn backends_in_maintenance(&self) -> Vec<String> {
        let inner = self.inner.borrow();
        let in_maintenance = |(_, id): &(&String, &BackendId)| inner.balancer.is_in_maintenance(**id);
        inner.backend_ids.iter().filter(in_maintenance).map(|(name, _)| name.clone()).collect()
    }

    /// Stores a message of discovery for the process that takes over from this one.
    pub fn store_list_message(&self, version: u64, is_snapshot: bool, new_entries: &[Value]) {
        let (stored_version, stored) = &mut *self.list_entries.borrow_mut();
        *stored_version = version;
        // A snapshot replaces the stored list. Only the start times of the backends are kept.
        let mut replaced = if is_snapshot { std::mem::take(stored) } else { BTreeMap::new() };
        for entry in new_entries {
            let text = |key| entry.get(key).and_then(Value::as_str);
            match (text("name"), text("status")) {
                (Some(name), Some("ready" | "draining")) => {
                    let mut entry = entry.clone();
                    let known = replaced.remove(name).or_else(|| stored.remove(name));
                    raise_started_ms(&mut entry, known.as_ref().map_or(0, started_ms));
                    stored.insert(name.to_owned(), entry);
                }
                (Some(name), _) => drop(stored.remove(name)),
                _ => {}
            }
        }
    }

    /// The present list in discovery's format.
    pub fn list_snapshot(&self) -> Value {
        let (version, stored) = &*self.list_entries.borrow();
        json!({"index": version, "snapshot": true, "endpoints": stored.values().collect::<Vec<_>>()})
    }

    /// The client ids of all commands in flight, for the other process of this node.
    pub fn client_ids_in_flight(&self) -> Vec<String> {
        let inner = self.inner.borrow();
        inner.command_ids.iter().filter_map(|id| id.to_str().ok()).map(str::to_owned).collect()
    }

    /// Sets the client ids of the commands that the other process has in flight. Accepting one of them here
    /// would run it twice.
    pub fn set_peer_command_ids(&self, client_ids: Vec<String>) {
        *self.peer_command_ids.borrow_mut() = client_ids.into_iter().collect();
    }

    /// The present address of a backend; `None` if it is gone.
    pub fn address(&self, backend: BackendId) -> Option<SocketAddr> {
        self.inner.borrow().addresses.get(backend.0 as usize).copied().flatten()
    }
}

/// How long the id of a command of this profile is kept.
fn retention(profile: &Profile) -> Duration {
    let micros = profile.time_limit.max(profile.dedup_window).0;
    Duration::from_micros(micros).max(MIN_RETENTION)
}

/// The time at which the backend started according to its list entry, in milliseconds of Unix time.
fn started_ms(entry: &Value) -> u64 {
    entry.get("since_ms").and_then(Value::as_f64).unwrap_or(0.0) as u64
}

/// Sets the start time of an entry unless the entry has a later one.
fn raise_started_ms(entry: &mut Value, millis: u64) {
    if started_ms(entry) < millis {
        entry["since_ms"] = millis.into();
    }
}

impl Inner {
    /// Records since when backends are not ready, for the check of launches: apart from what the balancer knows of them.
    fn record_states(
        &mut self,
        now: Timestamp,
        is_whole_list: bool,
        entries: &[AddressedEntry],
        replaced: &[ListEntry],
    ) {
        let listed = || entries.iter().map(|(entry, _)| entry).chain(replaced);
        if is_whole_list {
            let is_listed: HashSet<u32> = listed().map(|entry| entry.backend.0).collect();
            let unlisted = (0u32..).zip(&mut self.not_ready_since).filter(|(id, _)| !is_listed.contains(id));
            unlisted.for_each(|(_, since)| *since = since.or(Some(now)));
        }
        for entry in listed() {
            let since = &mut self.not_ready_since[entry.backend.0 as usize];
            *since = match entry.state {
                BackendState::Ready => None,
                _ => since.or(Some(now)),
            };
        }
    }

    /// Removes the backends at whose address one of these entries has a process that started later: whatever is sent
    /// there reaches the new process. Returns entries that say that they are gone.
    fn remove_replaced(&mut self, entries: &[AddressedEntry]) -> Vec<ListEntry> {
        let ready = entries.iter().filter(|(entry, _)| entry.state == BackendState::Ready);
        let latest_start: HashMap<SocketAddr, Timestamp> = ready
            .filter_map(|(entry, address)| Some(((*address)?, entry.started_at)))
            .fold(HashMap::new(), |mut latest_start, (address, started_at)| {
                let latest = latest_start.entry(address).or_insert(started_at);
                *latest = started_at.max(*latest);
                latest_start
            });
        let mut replaced = Vec::new();
        for (index, address) in self.addresses.iter_mut().enumerate() {
            let latest = address.and_then(|address| latest_start.get(&address));
            if latest.is_some_and(|latest| *latest > self.started_at[index]) {
                *address = None;
                let backend = BackendId(index as u32);
                replaced.push(ListEntry { backend, state: BackendState::Gone, ..ListEntry::default() });
            }
        }
        replaced
    }

    /// How long the id of this command is kept after it was accepted; `None` if the command may run again.
    fn retention_of(&self, command: &Command) -> Option<Duration> {
        let (_, profile) = self.names.definition(command.profile)?;
        (profile.idempotency != Idempotency::Repeatable).then(|| retention(profile))
    }

    /// The longest time for which the id of any command is kept.
    fn longest_retention(&self) -> Duration {
        self.names.all_profiles().map(retention).max().unwrap_or(MIN_RETENTION)
    }

    fn remove_if_done(&mut self, index: usize) {
        let entry = &self.commands_in_flight[index];
        if entry.client_done && entry.command.in_flight_count() == 0 {
            let entry = self.commands_in_flight.remove(index);
            self.command_ids.remove(&entry.client_id);
            let has_not_run = entry.command.launches().all(|launch| launch.state == LaunchState::NotRun);
            if let Some(id) = entry.once_id.filter(|_| has_not_run) {
                self.ids_run.release(id);
            }
        }
    }
}
