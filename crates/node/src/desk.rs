//! Owns the decision module and the commands in hand. Every call goes straight through; what the module wants
//! besides is handed on as errands. No borrow lasts beyond a call.

use crate::cargo::Done;
use crate::counts::{Account, Counts};
use crate::names::Names;
use crate::witness::Witness;
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
use yarrowfront::decide::{Action, Balancer, Decision, ListEntry, ListUpdateKind};
use yarrowfront::ids::{BackendId, CommandHandle, CommandId};
use yarrowfront::settings::Settings;
use yarrowfront::times::{Micros, Timestamp};

/// Unix time at start and a monotonic clock from there: a list's start times compare, and nothing runs back.
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

    pub fn now(&self) -> Timestamp {
        Timestamp(self.unix + self.start.elapsed().as_micros() as u64)
    }

    /// When the process began.
    pub fn began(&self) -> Timestamp {
        Timestamp(self.unix)
    }

    pub fn instant(&self, at: Timestamp) -> Instant {
        self.start + Duration::from_micros(at.since(Timestamp(self.unix)).0)
    }
}

/// A line of the list as the module takes it, and where that backend is; none for one that is gone.
pub type Line = (ListEntry, Option<SocketAddr>);

struct InHand {
    command: Command,
    /// What its client calls it.
    id: HeaderValue,
    /// The module wants it placed again.
    again: Rc<Notify>,
    /// Its client has its answer or has gone; only launches are still out.
    left: bool,
}

struct Inner {
    module: Balancer,
    names: Rc<Names>,
    hands: Slab<InHand>,
    /// What the clients call the commands in hand.
    open: HashSet<HeaderValue>,
    ids: HashMap<String, BackendId>,
    /// By id; those of backends that are gone stay known.
    addresses: Vec<Option<SocketAddr>>,
    commands: u32,
    /// A backend that says that it is full may have run the command.
    full_may_have_run: bool,
    /// The longest time to come back that may be told; none where none may.
    longest_come_back: Micros,
    /// How many share what all share, and this node's place among them, as a view of the fleet tells it.
    portion: Option<Portion>,
}

/// As one of so many nodes, at that place among them; past its time the other two hold, which need no view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Portion {
    pub nodes: u32,
    pub me: u32,
    pub until: Timestamp,
    pub without: (u32, u32),
}

pub struct Desk {
    pub clock: Clock,
    tick: Duration,
    inner: RefCell<Inner>,
    errands: mpsc::UnboundedSender<Action>,
    /// The module's own time to be asked has moved.
    moved: Notify,
    told: Cell<bool>,
    /// When discovery last said anything.
    heard: Cell<Option<Instant>>,
    /// The list as discovery tells it, for a process that comes after this one.
    entries: RefCell<(u64, BTreeMap<String, Value>)>,
    counts: Option<Rc<Counts>>,
    witness: Option<Rc<Witness>>,
    /// Ids of commands that another process of this node has in hand.
    elsewhere: RefCell<HashSet<String>>,
}

impl Desk {
    pub fn new(
        module: Balancer,
        names: Names,
        clock: Clock,
        tick: Duration,
        errands: mpsc::UnboundedSender<Action>,
        (counts, witness): (Option<Rc<Counts>>, Option<Rc<Witness>>),
        (full_may_have_run, longest_come_back): (bool, Micros),
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

    /// One call of the module, and the errands that came of it.
    fn ask<T>(&self, call: impl FnOnce(&mut Inner, Timestamp) -> T) -> T {
        let now = self.clock.now();
        let inner = &mut *self.inner.borrow_mut();
        // A process that was stopped, or a view that has got stuck, must not go on by what it knew.
        if let Some(old) = inner.portion.take_if(|portion| portion.until < now) {
            inner.module.set_membership(old.without.0, old.without.1);
        }
        let before = inner.module.wakeup_delay(now, None);
        let value = call(inner, now);
        while let Some(errand) = inner.module.next_action(now) {
            match errand {
                Action::Reevaluate(hand) => {
                    if let Some(held) = inner.hands.get(hand.0 as usize) {
                        held.again.notify_one();
                    }
                }
                // Nobody listens only when the node is coming down.
                other => drop(self.errands.send(other)),
            }
        }
        if inner.module.wakeup_delay(now, None) != before {
            self.moved.notify_one();
        }
        value
    }

    /// Asks for errands whenever the module's own time has come.
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

    /// Takes a command in hand; none if one that is called so is in hand: it would run twice.
    pub fn take(&self, mut command: Command, id: HeaderValue) -> Option<(CommandHandle, Rc<Notify>)> {
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
        Some((CommandHandle(key as u32), again))
    }

    pub fn place(&self, hand: CommandHandle) -> Decision {
        self.ask(|inner, now| inner.module.decide(now, hand, &mut inner.hands[hand.0 as usize].command))
    }

    /// This command is to have its end now: what may be said, as it may have run or not.
    pub fn give_up(&self, hand: CommandHandle) -> Decision {
        self.ask(|inner, _| inner.module.reject_or_fail(&mut inner.hands[hand.0 as usize].command))
    }

    /// A launch of this command has ended; `spent` if it cannot be sent again.
    pub fn after(&self, hand: CommandHandle, done: &Done, spent: bool) -> Decision {
        if let Some(counts) = &self.counts {
            counts.outcome(self.clock.now(), done.outcome);
        }
        if let Some(witness) = &self.witness {
            witness.came(done.backend, done.outcome);
        }
        self.ask(|inner, now| {
            let key = hand.0 as usize;
            let command = &mut inner.hands[key].command;
            command.is_closed |= done.outcome == Outcome::Finished;
            command.is_body_consumed = spent;
            let say = inner.module.on_launch_outcome(now, hand, command, done.number, done.outcome);
            // By the order of fields that it was read in: after a switch that may be another.
            let report = done.report.as_ref().filter(|(turn, _)| *turn == inner.names.turn);
            inner.module.on_load_report(
                now,
                done.backend,
                true,
                None,
                report.map_or(&[], |(_, values)| values),
            );
            inner.let_go(key);
            say
        })
    }

    /// Whether a launch is out that began with its first bytes, and its last one is still to come.
    pub fn coming(&self, hand: CommandHandle) -> bool {
        let command = &self.inner.borrow().hands[hand.0 as usize].command;
        command.is_body_incomplete && command.in_flight_count() > 0
    }

    /// The last byte of its body is on its way: its time counts from here.
    pub fn flowed(&self, hand: CommandHandle) {
        self.ask(|inner, now| inner.module.on_body_complete(now, &mut inner.hands[hand.0 as usize].command));
    }

    /// Where an operators' file asks for them.
    pub fn counts(&self) -> Option<&Rc<Counts>> {
        self.counts.as_ref()
    }

    /// From when on a command's time counts.
    pub fn arrived(&self, hand: CommandHandle) -> Timestamp {
        self.inner.borrow().hands[hand.0 as usize].command.arrived_at
    }

    /// What is counted of a command in hand, from here on; none where nothing is counted.
    pub fn account(&self, hand: CommandHandle) -> Option<Account> {
        let counts = self.counts.clone()?;
        let inner = self.inner.borrow();
        let (name, profile) = inner.names.known(inner.hands[hand.0 as usize].command.profile)?;
        Some(Account::open(counts, self.clock.now(), name, profile))
    }

    /// The names that the module's ids have now.
    pub fn names(&self) -> Rc<Names> {
        self.inner.borrow().names.clone()
    }

    /// Goes by other names and terms from this call on; held commands are asked for again by them.
    pub fn switch(&self, names: Names, terms: Settings) {
        self.ask(|inner, _| {
            inner.names = Rc::new(names);
            inner.full_may_have_run = terms.full_may_have_run;
            inner.longest_come_back = terms.max_retry_after;
            inner.module.replace_settings(terms);
            if let Some(portion) = inner.portion {
                inner.module.set_membership(portion.nodes, portion.me);
            }
            for (_, held) in &inner.hands {
                held.again.notify_one();
            }
        });
    }

    pub fn longest_come_back(&self) -> Micros {
        self.inner.borrow().longest_come_back
    }

    /// Of these sites, how many of their backends are listed ready, and how many of those have just started.
    pub fn listed_by_site(&self, names: &[String], now: Timestamp, warm: Micros) -> (Vec<u32>, Vec<u32>) {
        let (mut ready, mut cold) = (vec![0; names.len()], vec![0; names.len()]);
        for entry in self.entries.borrow().1.values() {
            let text = |key| entry.get(key).and_then(Value::as_str);
            let place = text("zone").and_then(|zone| names.iter().position(|name| name == zone));
            let Some(place) = place.filter(|_| text("status") == Some("ready")) else { continue };
            ready[place] += 1;
            let age = now.since(Timestamp(start(entry) * 1000));
            cold[place] += u32::from(age < warm);
        }
        (ready, cold)
    }

    pub fn full_may_have_run(&self) -> bool {
        self.inner.borrow().full_may_have_run
    }

    /// What a view of the fleet says from now on of who shares what all share.
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
            inner.module.set_membership(portion.nodes, portion.me);
            inner.portion = Some(portion);
        });
    }

    /// Commands in hand, commands taken since the start, backends on the list, its version, and how long ago
    /// discovery last said anything.
    pub fn load(&self) -> (usize, u32, usize, u64, Option<Duration>) {
        let inner = self.inner.borrow();
        let (version, backends) = (self.entries.borrow().0, inner.addresses.iter().flatten().count());
        (inner.open.len(), inner.commands, backends, version, self.heard.get().map(|at| at.elapsed()))
    }

    /// Discovery has said something.
    pub fn heard_list(&self) {
        self.heard.set(Some(Instant::now()));
    }

    /// Its client has its answer, or has gone: true if it had none.
    pub fn leave(&self, hand: CommandHandle) -> bool {
        self.ask(|inner, _| {
            let held = &mut inner.hands[hand.0 as usize];
            let unanswered = !held.command.is_closed;
            if unanswered {
                inner.module.on_client_gone(&mut held.command);
            }
            held.left = true;
            inner.let_go(hand.0 as usize);
            unanswered
        })
    }

    /// Until when this launch may be written, as it is now: what held when it was placed may have ended while it waited.
    pub fn stands(&self, hand: CommandHandle, number: u8) -> Timestamp {
        let inner = self.inner.borrow();
        inner.module.launch_valid_until(&inner.hands[hand.0 as usize].command, number)
    }

    pub fn wait(&self, hand: CommandHandle) -> Option<Duration> {
        let inner = self.inner.borrow();
        self.pause(&inner, Some(&inner.hands[hand.0 as usize].command))
    }

    /// The module's time to be asked again, for a command or for the node, as the runtime can keep it.
    fn pause(&self, inner: &Inner, command: Option<&Command>) -> Option<Duration> {
        let span = inner.module.wakeup_delay(self.clock.now(), command)?;
        Some(Duration::from_micros(span.0).max(self.tick))
    }

    /// The number of a command's last launch.
    pub fn last_launch(&self, hand: CommandHandle) -> u8 {
        (self.inner.borrow().hands[hand.0 as usize].command.launch_count() - 1) as u8
    }

    /// What a probe found.
    pub fn probed(&self, backend: BackendId, found: bool, trip: Micros, values: &[f32]) {
        if let Some(counts) = &self.counts {
            counts.probed(self.clock.now());
        }
        if let Some(witness) = &self.witness {
            witness.probed(backend, found);
        }
        self.ask(|inner, now| inner.module.on_load_report(now, backend, found, Some(trip), values));
    }

    pub fn list(&self, kind: ListUpdateKind, lines: &[Line]) {
        if let Some(counts) = &self.counts {
            counts.listed(self.clock.now());
        }
        if let Some(witness) = &self.witness {
            lines.iter().for_each(|(listed, _)| witness.listed(listed.backend, listed.zone.0));
        }
        self.ask(|inner, now| {
            if kind == ListUpdateKind::Snapshot || kind == ListUpdateKind::Cached {
                inner.addresses.fill(None);
            }
            for (listed, address) in lines {
                inner.addresses[listed.backend.0 as usize] = *address;
            }
            inner.module.apply_list(now, kind, lines.iter().map(|(listed, _)| *listed));
        });
        if !kind.is_failure() {
            self.told.set(true);
        }
    }

    /// From then on news that this node has not heard counts as known to it; none while nothing is missed.
    pub fn list_binds_from(&self, binds: Option<Timestamp>) {
        self.ask(|inner, _| inner.module.set_list_expiry(binds));
    }

    /// Whether there is a list to go by, an old one too.
    pub fn told(&self) -> bool {
        self.told.get()
    }

    /// The id of the backend that discovery calls so, a new one for a new name.
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

    /// What discovery calls it, for the log.
    pub fn name(&self, backend: BackendId) -> String {
        let inner = self.inner.borrow();
        let found = inner.ids.iter().find(|(_, id)| **id == backend);
        found.map(|(name, _)| name.clone()).unwrap_or_default()
    }

    /// The process before this one runs, or has ended: until then what is spare of the launches is its own.
    pub fn beside(&self, other: bool) {
        self.ask(|inner, now| inner.module.set_predecessor_running(now, other));
    }

    /// The id of a backend that was ever listed.
    pub fn known(&self, name: &str) -> Option<BackendId> {
        self.inner.borrow().ids.get(name).copied()
    }

    /// Leaves a backend out, or uses it again, from this call on.
    pub fn maint(&self, backend: BackendId, out: bool) {
        self.ask(|inner, now| inner.module.set_maintenance(now, backend, out));
        // The next process too is to know that it is cold.
        let name = self.name(backend);
        if let Some(entry) = self.entries.borrow_mut().1.get_mut(&name).filter(|_| !out) {
            since(entry, self.clock.now().0 / 1000);
        }
    }

    /// The names of all that are left out by the operators' word.
    pub fn left_out(&self) -> Vec<String> {
        let inner = self.inner.borrow();
        let out = |(_, id): &(&String, &BackendId)| inner.module.is_in_maintenance(**id);
        inner.ids.iter().filter(out).map(|(name, _)| name.clone()).collect()
    }

    /// Keeps a message of discovery's for a process that comes after this one.
    pub fn keep(&self, index: u64, whole: bool, entries: &[Value]) {
        let (at, kept) = &mut *self.entries.borrow_mut();
        *at = index;
        // A whole list leaves nothing of the one before but when its backends were said to have started.
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

    /// The list as it stands, in discovery's form.
    pub fn list_now(&self) -> Value {
        let (index, kept) = &*self.entries.borrow();
        json!({"index": index, "snapshot": true, "endpoints": kept.values().collect::<Vec<_>>()})
    }

    pub fn ids_in_hand(&self) -> Vec<String> {
        let inner = self.inner.borrow();
        inner.open.iter().filter_map(|id| id.to_str().ok()).map(str::to_owned).collect()
    }

    /// Commands with these ids are in hand elsewhere: here they would run twice.
    pub fn elsewhere(&self, ids: Vec<String>) {
        *self.elsewhere.borrow_mut() = ids.into_iter().collect();
    }

    pub fn address(&self, backend: BackendId) -> Option<SocketAddr> {
        self.inner.borrow().addresses.get(backend.0 as usize).copied().flatten()
    }
}

/// When an entry of the list says that its backend started, in milliseconds.
fn start(entry: &Value) -> u64 {
    entry.get("since_ms").and_then(Value::as_f64).unwrap_or(0.0) as u64
}

/// It started then, unless the entry tells of a later start.
fn since(entry: &mut Value, millis: u64) {
    if start(entry) < millis {
        entry["since_ms"] = millis.into();
    }
}

impl Inner {
    fn let_go(&mut self, key: usize) {
        let held = &self.hands[key];
        if held.left && held.command.in_flight_count() == 0 {
            let held = self.hands.remove(key);
            self.open.remove(&held.id);
        }
    }
}
