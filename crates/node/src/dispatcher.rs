//! Owns the balancer (the decision module) and the commands in flight. Each call goes straight to the
//! balancer; the actions that it requests in return are sent to a queue. No borrow of the inner state lasts
//! longer than one call, so none is held across an await.

use crate::counts::{Account, Counts};
use crate::launch_types::Done;
use crate::names::Names;
use crate::site_evidence::Witness;
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
use yarrowfront::command::{Command, Outcome};
use yarrowfront::decide::{Balancer, Errand, ListKind, Listed, Say};
use yarrowfront::ids::{BackendId, CommandId, Hand};
use yarrowfront::terms::Terms;
use yarrowfront::times::{Moment, Span};

/// The Unix time at process start plus the monotonic time since then: start times in the list are Unix times
/// and can be compared with it, and it never goes backwards.
#[derive(Clone, Copy)]
pub struct Clock {
    unix: u64,
    start: Instant,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix: unix.as_micros() as u64, start: Instant::now() }
    }

    pub fn now(&self) -> Moment {
        Moment(self.unix + self.start.elapsed().as_micros() as u64)
    }

    /// The time at which the process started.
    pub fn began(&self) -> Moment {
        Moment(self.unix)
    }

    pub fn instant(&self, at: Moment) -> Instant {
        self.start + Duration::from_micros(at.since(Moment(self.unix)).0)
    }
}

/// One entry of the list as the balancer takes it, and the address of its backend; `None` for a backend that
/// is gone.
pub type Line = (Listed, Option<SocketAddr>);

/// A command that was accepted and is not finished yet.
struct InHand {
    command: Command,
    /// The client's id for the command (`x-correlation-id`).
    id: HeaderValue,
    /// Notified when the balancer wants `place` to be called again for this command.
    again: Rc<Notify>,
    /// The client has its answer or has disconnected; the command stays only until its remaining launches
    /// have ended.
    left: bool,
}

struct Inner {
    module: Balancer,
    names: Rc<Names>,
    hands: Slab<InHand>,
    /// The clients' ids of all commands in flight.
    open: HashSet<HeaderValue>,
    ids: HashMap<String, BackendId>,
    /// Indexed by `BackendId`. A backend that is gone keeps its id and has no address.
    addresses: Vec<Option<SocketAddr>>,
    commands: u32,
    /// A backend that reports itself full may nevertheless have run the command.
    full_may_have_run: bool,
    /// The longest `Retry-After` that may be sent; zero if none may be sent.
    longest_come_back: Span,
    /// The number of nodes that share the common budgets and this node's index among them, as the fleet view
    /// has it; `None` without a view.
    portion: Option<Portion>,
}

/// This node's index among the nodes that share the common budgets, and how many they are. After `until` the
/// pair `without` applies, which does not depend on the fleet view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Portion {
    pub nodes: u32,
    pub me: u32,
    pub until: Moment,
    pub without: (u32, u32),
}

/// The owner of the balancer and of all state that changes together with it.
pub struct Desk {
    pub clock: Clock,
    tick: Duration,
    inner: RefCell<Inner>,
    errands: mpsc::UnboundedSender<Errand>,
    /// Notified when the time of the balancer's next timer has changed.
    moved: Notify,
    /// Whether a list of backends has been received or read from the cache.
    told: Cell<bool>,
    /// When discovery last sent anything.
    heard: Cell<Option<Instant>>,
    /// The list's version and entries in discovery's format, kept for the process that takes over from this
    /// one.
    entries: RefCell<(u64, BTreeMap<String, Value>)>,
    counts: Option<Rc<Counts>>,
    witness: Option<Rc<Witness>>,
    /// Client ids of the commands that the other process of this node has in flight.
    elsewhere: RefCell<HashSet<String>>,
}

impl Desk {
    pub fn new(
        module: Balancer,
        names: Names,
        clock: Clock,
        tick: Duration,
        errands: mpsc::UnboundedSender<Errand>,
        (counts, witness): (Option<Rc<Counts>>, Option<Rc<Witness>>),
        (full_may_have_run, longest_come_back): (bool, Span),
    ) -> Desk {
        let (hands, ids) = (Slab::new(), HashMap::new());
        let (open, addresses) = (HashSet::new(), Vec::new());
        let (entries, elsewhere) = Default::default();
        let names = Rc::new(names);
        let (commands, portion) = (0, None);
        let inner = Inner {
            module,
            names,
            hands,
            open,
            ids,
            addresses,
            commands,
            full_may_have_run,
            longest_come_back,
            portion,
        };
        let inner = RefCell::new(inner);
        let (moved, told, heard) = (Notify::new(), Cell::new(false), Cell::new(None));
        Desk { clock, tick, inner, errands, moved, told, heard, entries, counts, witness, elsewhere }
    }

    /// Makes one call of the balancer and carries out or queues the actions that it requests.
    fn ask<T>(&self, call: impl FnOnce(&mut Inner, Moment) -> T) -> T {
        let now = self.clock.now();
        let inner = &mut *self.inner.borrow_mut();
        // A process that was suspended, or one whose fleet view has stalled, must not use an outdated
        // position.
        if let Some(old) = inner.portion.take_if(|portion| portion.until < now) {
            inner.module.fleet(old.without.0, old.without.1);
        }
        let before = inner.module.wait(now, None);
        let value = call(inner, now);
        while let Some(errand) = inner.module.errand(now) {
            match errand {
                Errand::Again(hand) => {
                    if let Some(held) = inner.hands.get(hand.0 as usize) {
                        held.again.notify_one();
                    }
                }
                // The receiver is dropped only while the node shuts down.
                other => drop(self.errands.send(other)),
            }
        }
        if inner.module.wait(now, None) != before {
            self.moved.notify_one();
        }
        value
    }

    /// Calls the balancer whenever its next timer is due.
    pub async fn upkeep(&self) {
        loop {
            let pause = self.pause(&self.inner.borrow(), None);
            match pause {
                Some(pause) => tokio::select! {
                    () = tokio::time::sleep(pause) => self.ask(|_, _| ()),
                    () = self.moved.notified() => {}
                },
                None => self.moved.notified().await,
            }
        }
    }

    /// Registers a command and returns its handle; `None` if a command with the same client id is in flight,
    /// since a second one would run the command twice.
    pub fn take(&self, mut command: Command, id: HeaderValue) -> Option<(Hand, Rc<Notify>)> {
        if id.to_str().is_ok_and(|id| self.elsewhere.borrow().contains(id)) {
            return None;
        }
        let inner = &mut *self.inner.borrow_mut();
        if !inner.open.insert(id.clone()) {
            return None;
        }
        inner.commands = inner.commands.wrapping_add(1);
        command.id = CommandId(inner.commands);
        let again = Rc::new(Notify::new());
        let key = inner.hands.insert(InHand { command, id, again: again.clone(), left: false });
        Some((Hand(key as u32), again))
    }

    pub fn place(&self, hand: Hand) -> Say {
        self.ask(|inner, now| inner.module.place(now, hand, &mut inner.hands[hand.0 as usize].command))
    }

    /// Ends this command now. The answer depends on whether any launch of it may have run.
    pub fn give_up(&self, hand: Hand) -> Say {
        self.ask(|inner, _| inner.module.give_up(&mut inner.hands[hand.0 as usize].command))
    }

    /// Records that a launch of this command has ended; `spent` if the command cannot be sent again.
    pub fn after(&self, hand: Hand, done: &Done, spent: bool) -> Say {
        if let Some(counts) = &self.counts {
            counts.outcome(self.clock.now(), done.outcome);
        }
        if let Some(witness) = &self.witness {
            witness.came(done.backend, done.outcome);
        }
        self.ask(|inner, now| {
            let key = hand.0 as usize;
            let command = &mut inner.hands[key].command;
            command.closed |= done.outcome == Outcome::Finished;
            command.spent = spent;
            let say = inner.module.after(now, hand, command, done.number, done.outcome);
            // A report is used only if it was parsed with the present order of its fields, which a reload
            // may have changed.
            let report = done.report.as_ref().filter(|(turn, _)| *turn == inner.names.turn);
            inner.module.report(now, done.backend, true, None, report.map_or(&[], |(_, values)| values));
            inner.let_go(key);
            say
        })
    }

    /// Whether a launch is out that was started before the request body was complete, and the body still is
    /// not.
    pub fn coming(&self, hand: Hand) -> bool {
        let command = &self.inner.borrow().hands[hand.0 as usize].command;
        command.coming && command.out() > 0
    }

    /// Records that the last byte of the request body has been passed on: the command's time counts from
    /// now.
    pub fn flowed(&self, hand: Hand) {
        self.ask(|inner, now| inner.module.came_whole(now, &mut inner.hands[hand.0 as usize].command));
    }

    /// Present only if a rollout file is configured.
    pub fn counts(&self) -> Option<&Rc<Counts>> {
        self.counts.as_ref()
    }

    /// The time from which the command's deadlines are counted.
    pub fn arrived(&self, hand: Hand) -> Moment {
        self.inner.borrow().hands[hand.0 as usize].command.arrived
    }

    /// Starts the statistics of a command in flight; `None` if no statistics are kept.
    pub fn account(&self, hand: Hand) -> Option<Account> {
        let counts = self.counts.clone()?;
        let inner = self.inner.borrow();
        let (name, profile) = inner.names.known(inner.hands[hand.0 as usize].command.profile)?;
        Some(Account::open(counts, self.clock.now(), name, profile))
    }

    /// The names that currently belong to the balancer's ids.
    pub fn names(&self) -> Rc<Names> {
        self.inner.borrow().names.clone()
    }

    /// Replaces the names and the settings. Held commands are placed again under the new settings.
    pub fn switch(&self, names: Names, terms: Terms) {
        self.ask(|inner, _| {
            inner.names = Rc::new(names);
            inner.full_may_have_run = terms.full_may_have_run;
            inner.longest_come_back = terms.longest_come_back;
            inner.module.switch(terms);
            if let Some(portion) = inner.portion {
                inner.module.fleet(portion.nodes, portion.me);
            }
            for (_, held) in &inner.hands {
                held.again.notify_one();
            }
        });
    }

    pub fn longest_come_back(&self) -> Span {
        self.inner.borrow().longest_come_back
    }

    /// For each of these sites: how many of its backends are listed as ready, and how many of those are
    /// still warming up.
    pub fn listed_by_site(&self, names: &[String], now: Moment, warm: Span) -> (Vec<u32>, Vec<u32>) {
        let (mut ready, mut cold) = (vec![0; names.len()], vec![0; names.len()]);
        for entry in self.entries.borrow().1.values() {
            let text = |key| entry.get(key).and_then(Value::as_str);
            let place = text("zone").and_then(|zone| names.iter().position(|name| name == zone));
            let Some(place) = place.filter(|_| text("status") == Some("ready")) else { continue };
            ready[place] += 1;
            let age = now.since(Moment(start(entry) * 1000));
            cold[place] += u32::from(age < warm);
        }
        (ready, cold)
    }

    pub fn full_may_have_run(&self) -> bool {
        self.inner.borrow().full_may_have_run
    }

    /// Takes over the position in the fleet that the fleet view has computed.
    pub fn share(&self, portion: Portion) {
        let (same, lapsed) = {
            let before = self.inner.borrow().portion;
            let same = |p: Portion| (p.nodes, p.me) == (portion.nodes, portion.me);
            (before.is_some_and(same), before.is_some_and(|p| p.until < self.clock.now()))
        };
        if same && !lapsed {
            self.inner.borrow_mut().portion = Some(portion);
            return;
        }
        self.ask(|inner, _| {
            inner.module.fleet(portion.nodes, portion.me);
            inner.portion = Some(portion);
        });
    }

    /// Returns the commands in flight, the commands accepted since the start, the backends on the list, the
    /// list's version, and how long ago discovery last sent anything.
    pub fn load(&self) -> (usize, u32, usize, u64, Option<Duration>) {
        let inner = self.inner.borrow();
        let (version, backends) = (self.entries.borrow().0, inner.addresses.iter().flatten().count());
        (inner.open.len(), inner.commands, backends, version, self.heard.get().map(|at| at.elapsed()))
    }

    /// Records that discovery has sent something.
    pub fn heard_list(&self) {
        self.heard.set(Some(Instant::now()));
    }

    /// Records that the client has its answer or has disconnected; true if it had no answer.
    pub fn leave(&self, hand: Hand) -> bool {
        self.ask(|inner, _| {
            let held = &mut inner.hands[hand.0 as usize];
            let unanswered = !held.command.closed;
            if unanswered {
                inner.module.dropped(&mut held.command);
            }
            held.left = true;
            inner.let_go(hand.0 as usize);
            unanswered
        })
    }

    /// The time until which this launch may still be written. It is computed anew, as the conditions under
    /// which the launch was placed may have changed while it waited for a connection.
    pub fn stands(&self, hand: Hand, number: u8) -> Moment {
        let inner = self.inner.borrow();
        inner.module.stands(&inner.hands[hand.0 as usize].command, number)
    }

    pub fn wait(&self, hand: Hand) -> Option<Duration> {
        let inner = self.inner.borrow();
        self.pause(&inner, Some(&inner.hands[hand.0 as usize].command))
    }

    /// How long until the balancer's next timer, for one command or for the node, rounded up to the
    /// runtime's timer resolution.
    fn pause(&self, inner: &Inner, command: Option<&Command>) -> Option<Duration> {
        let span = inner.module.wait(self.clock.now(), command)?;
        Some(Duration::from_micros(span.0).max(self.tick))
    }

    /// The number of the command's newest launch.
    pub fn last_launch(&self, hand: Hand) -> u8 {
        (self.inner.borrow().hands[hand.0 as usize].command.launched() - 1) as u8
    }

    /// Records the result of a probe.
    pub fn probed(&self, backend: BackendId, found: bool, trip: Span, values: &[f32]) {
        if let Some(counts) = &self.counts {
            counts.probed(self.clock.now());
        }
        if let Some(witness) = &self.witness {
            witness.probed(backend, found);
        }
        self.ask(|inner, now| inner.module.report(now, backend, found, Some(trip), values));
    }

    pub fn list(&self, kind: ListKind, lines: &[Line]) {
        if let Some(counts) = &self.counts {
            counts.listed(self.clock.now());
        }
        if let Some(witness) = &self.witness {
            lines.iter().for_each(|(listed, _)| witness.listed(listed.backend, listed.zone.0));
        }
        self.ask(|inner, now| {
            if kind == ListKind::Whole || kind == ListKind::Cached {
                inner.addresses.fill(None);
            }
            for (listed, address) in lines {
                inner.addresses[listed.backend.0 as usize] = *address;
            }
            inner.module.list(now, kind, lines.iter().map(|(listed, _)| *listed));
        });
        if !kind.tells_nothing() {
            self.told.set(true);
        }
    }

    /// From this moment on the node is held to list changes that it may not have received; `None` while it
    /// may have missed none.
    pub fn list_binds_from(&self, binds: Option<Moment>) {
        self.ask(|inner, _| inner.module.list_binds_from(binds));
    }

    /// Whether there is a list of backends to use, even an old one.
    pub fn told(&self) -> bool {
        self.told.get()
    }

    /// Returns the id of the backend with this name in discovery; a new name gets a new id.
    pub fn id(&self, name: &str) -> BackendId {
        let inner = &mut *self.inner.borrow_mut();
        if let Some(&id) = inner.ids.get(name) {
            return id;
        }
        let id = BackendId(inner.addresses.len() as u32);
        inner.ids.insert(name.to_owned(), id);
        inner.addresses.push(None);
        id
    }

    /// The backend's name in discovery, for the log.
    pub fn name(&self, backend: BackendId) -> String {
        let inner = self.inner.borrow();
        let found = inner.ids.iter().find(|(_, id)| **id == backend);
        found.map(|(name, _)| name.clone()).unwrap_or_default()
    }

    /// Tells the balancer whether the previous process of this node still runs: until it ends, the spare
    /// part of the launch budget belongs to that process.
    pub fn beside(&self, other: bool) {
        self.ask(|inner, now| inner.module.beside(now, other));
    }

    /// The id of a backend that has been listed at any time since the start.
    pub fn known(&self, name: &str) -> Option<BackendId> {
        self.inner.borrow().ids.get(name).copied()
    }

    /// Takes a backend out of service for maintenance, or puts it back, from this call on.
    pub fn maint(&self, backend: BackendId, out: bool) {
        self.ask(|inner, now| inner.module.maint(now, backend, out));
        // The process that takes over must also know that the backend has to warm up again.
        let name = self.name(backend);
        if let Some(entry) = self.entries.borrow_mut().1.get_mut(&name).filter(|_| !out) {
            since(entry, self.clock.now().0 / 1000);
        }
    }

    /// The names of all backends that operators have taken out of service.
    pub fn left_out(&self) -> Vec<String> {
        let inner = self.inner.borrow();
        let out = |(_, id): &(&String, &BackendId)| inner.module.is_left_out(**id);
        inner.ids.iter().filter(out).map(|(name, _)| name.clone()).collect()
    }

    /// Stores a message of discovery for the process that takes over from this one.
    pub fn keep(&self, index: u64, whole: bool, entries: &[Value]) {
        let (at, kept) = &mut *self.entries.borrow_mut();
        *at = index;
        // A snapshot replaces the stored list. Only the start times of the backends are kept.
        let mut before = if whole { std::mem::take(kept) } else { BTreeMap::new() };
        for entry in entries {
            let text = |key| entry.get(key).and_then(Value::as_str);
            match (text("name"), text("status")) {
                (Some(name), Some("ready" | "draining")) => {
                    let mut entry = entry.clone();
                    let known = before.remove(name).or_else(|| kept.remove(name));
                    since(&mut entry, known.as_ref().map_or(0, start));
                    kept.insert(name.to_owned(), entry);
                }
                (Some(name), _) => drop(kept.remove(name)),
                _ => {}
            }
        }
    }

    /// The present list in discovery's format.
    pub fn list_now(&self) -> Value {
        let (index, kept) = &*self.entries.borrow();
        json!({"index": index, "snapshot": true, "endpoints": kept.values().collect::<Vec<_>>()})
    }

    pub fn ids_in_hand(&self) -> Vec<String> {
        let inner = self.inner.borrow();
        inner.open.iter().filter_map(|id| id.to_str().ok()).map(str::to_owned).collect()
    }

    /// Sets the client ids of the commands that the other process has in flight. Accepting one of them here
    /// would run it twice.
    pub fn elsewhere(&self, ids: Vec<String>) {
        *self.elsewhere.borrow_mut() = ids.into_iter().collect();
    }

    pub fn address(&self, backend: BackendId) -> Option<SocketAddr> {
        self.inner.borrow().addresses.get(backend.0 as usize).copied().flatten()
    }
}

/// The time at which the backend started according to its list entry, in milliseconds of Unix time.
fn start(entry: &Value) -> u64 {
    entry.get("since_ms").and_then(Value::as_f64).unwrap_or(0.0) as u64
}

/// Sets the start time of an entry unless the entry has a later one.
fn since(entry: &mut Value, millis: u64) {
    if start(entry) < millis {
        entry["since_ms"] = millis.into();
    }
}

impl Inner {
    fn let_go(&mut self, key: usize) {
        let held = &self.hands[key];
        if held.left && held.command.out() == 0 {
            let held = self.hands.remove(key);
            self.open.remove(&held.id);
        }
    }
}
