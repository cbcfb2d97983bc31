//! The virtual clock: discrete events drive policies and model in one process. One thread, one order of events:
//! the same scenario, policy and seed give the same bytes.

use crate::event_queue::EventQueue;
use crate::judge::result::PlayResult;
use crate::judge::{CommandOutcome, FinalAnswer, Judges, Observation};
use crate::model::arrivals::{Arrival, Arrivals};
use crate::model::backend::{BackendEvent, IdempotencyKey, Reply};
use crate::model::clients::{retry_delay, AttemptOutcome};
use crate::model::fleet::{AnswerFate, DriverAction, Fleet};
use crate::model::troubles::{timeline, Step};
use crate::policy::{NodeContext, Policy, PolicyFactory, SentLaunch, Task};
use crate::rng::{RngStream, SeededRng};
use crate::scenario::{CommandEffect, ListMode, Scenario};
use slab::Slab;
use yarrowfront::command::{Command, LaunchState, Outcome};
use yarrowfront::decide::{Action, BackendState, Decision, ListEntry, ListUpdateKind};
use yarrowfront::ids::{BackendId, CommandHandle, CommandId, ProfileId};
use yarrowfront::times::{Micros, Timestamp};

/// Where a scenario's time starts on the clock: moment 0 means "long ago" to the module.
pub const ORIGIN: Timestamp = Timestamp(1_000_000_000);
/// A client waits so much longer than it said: an answer on its way still counts.
const PATIENCE: Micros = Micros::from_millis(60);
/// After the last arrival so much may pass until all has ended.
const AFTERMATH: Micros = Micros::from_millis(40_000);
/// A node waits so long for a probe.
const PROBE_WAIT: Micros = Micros::from_millis(50);
/// How soon a client sees that its node's process has died.
const RESET: Micros = Micros::from_millis(1);

/// A place in a slab, and whose it was: a later owner of the place is not met by old events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Ref {
    key: u32,
    id: u32,
}

/// A slab whose places know their owners.
struct Arena<T> {
    slab: Slab<(u32, T)>,
    next: u32,
}

impl<T> Arena<T> {
    fn new() -> Arena<T> {
        Arena { slab: Slab::new(), next: 0 }
    }

    fn add(&mut self, value: T) -> Ref {
        self.next += 1;
        Ref { key: self.slab.insert((self.next, value)) as u32, id: self.next }
    }

    fn get(&mut self, at: Ref) -> Option<&mut T> {
        self.slab.get_mut(at.key as usize).filter(|(id, _)| *id == at.id).map(|(_, value)| value)
    }

    fn remove(&mut self, at: Ref) -> Option<T> {
        self.get(at)?;
        Some(self.slab.remove(at.key as usize).1)
    }

    fn refs(&self) -> Vec<Ref> {
        self.slab.iter().map(|(key, (id, _))| Ref { key: key as u32, id: *id }).collect()
    }
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Due,
    /// A client starts a try.
    Start(Ref),
    AtNode(Ref),
    Answer {
        attempt: Ref,
        number: u64,
        what: u8,
        come_back: Option<u64>,
    },
    /// The client goes: it leaves early, or its time is over.
    Leave(Ref),
    Over(Ref),
    GoneAtNode(Ref),
    Lost(Ref),
    Timer {
        node: u32,
        life: u32,
        hand: Option<Ref>,
    },
    AtBackend(Ref),
    Backend {
        backend: u32,
        turn: u32,
    },
    Back {
        flight: Ref,
        outcome: u8,
    },
    FlightOver(Ref),
    ProbeAt {
        node: u32,
        life: u32,
        backend: u32,
        sent: u64,
    },
    ProbeBack {
        node: u32,
        life: u32,
        backend: u32,
        sent: u64,
        report: Option<(u32, u32)>,
    },
    Ask {
        node: u32,
        life: u32,
    },
    Whole {
        node: u32,
        life: u32,
    },
    Line {
        node: u32,
        life: u32,
        backend: u32,
    },
    ListFailed {
        node: u32,
        life: u32,
    },
    Publish(u32),
    /// The front sees that a node's process is dead.
    Notice {
        node: u32,
        life: u32,
    },
    Step(u32),
}

const FINALS: [FinalAnswer; 3] = [FinalAnswer::Finished, FinalAnswer::Rejected, FinalAnswer::Errored];
const OUTCOMES: [Outcome; 6] = [
    Outcome::Finished,
    Outcome::Errored,
    Outcome::Full,
    Outcome::ConnectFailed,
    Outcome::ConnectionLost,
    Outcome::TimedOut,
];

fn code<T: PartialEq>(all: &[T], one: T) -> u8 {
    all.iter().position(|o| *o == one).unwrap_or_default() as u8
}

struct Want {
    wanted: Arrival,
    tries: u32,
}

struct Try {
    want: Ref,
    node: usize,
    life: u32,
    number: u64,
    until: Timestamp,
    /// Its place in the node's hand while it is there.
    hand: Option<Ref>,
    /// Whether its client still waits.
    open: bool,
}

/// One launch on its way, from both ends.
struct Flight {
    attempt: u64,
    command: u64,
    profile: u16,
    work: f64,
    tag: Option<(u64, Micros)>,
    node: usize,
    life: u32,
    hand: Ref,
    number: u8,
    backend: usize,
    sent: Timestamp,
    /// On a new connection.
    new: bool,
    answer: AnswerFate,
    node_done: bool,
    backend_done: bool,
}

struct Held {
    task: Task,
    attempt: Ref,
    /// Kept here too: its client may have gone and want nothing any more.
    command: u64,
    work: f64,
    armed: Option<Timestamp>,
}

struct Node {
    policy: Box<dyn Policy>,
    zone: u16,
    up: bool,
    life: u32,
    hands: Arena<Held>,
    armed: Option<Timestamp>,
    /// Idle connections by backend.
    idle: Vec<u16>,
    follows: bool,
    told_until: Timestamp,
    lives: u32,
}

struct World<'a> {
    scenario: &'a Scenario,
    make: &'a PolicyFactory<'a>,
    seed: u64,
    now: Timestamp,
    event_queue: EventQueue<Event>,
    arrivals: Arrivals<'a>,
    next: Option<Arrival>,
    fleet: Fleet,
    turns: Vec<(u32, Option<Timestamp>)>,
    reports: Vec<(Timestamp, u32, u32)>,
    steps: Vec<Step>,
    nodes: Vec<Node>,
    /// Those that the front sends to.
    front: Vec<usize>,
    wants: Arena<Want>,
    tries: Arena<Try>,
    flights: Arena<Flight>,
    tried: u64,
    network: SeededRng,
    clients: SeededRng,
    judges: Judges,
    told: Vec<BackendEvent>,
    asked: Vec<DriverAction>,
}

/// Plays a scenario with the policies that `make` gives to its nodes. `progress` is told of each second.
pub fn play(
    scenario: &Scenario,
    seed: u64,
    name: &str,
    make: &PolicyFactory,
    progress: &mut dyn FnMut(u64),
) -> Result<(PlayResult, Judges), String> {
    if scenario.needs_processes() {
        return Err("view, faults and drawn are played around processes: --clock real".to_owned());
    }
    let mut world = World::new(scenario, seed, make)?;
    world.run(progress)?;
    let played = world.judges.result(scenario, (name, "virtual"), seed);
    Ok((played, world.judges))
}

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario, seed: u64, make: &'a PolicyFactory<'a>) -> Result<World<'a>, String> {
        let fleet = Fleet::new(scenario, seed, ORIGIN);
        let count = fleet.backends.len();
        let mut arrivals = Arrivals::new(scenario, seed);
        let next = arrivals.next();
        let mut world = World {
            scenario,
            make,
            seed,
            now: ORIGIN,
            event_queue: EventQueue::new(ORIGIN),
            arrivals,
            next,
            fleet,
            turns: vec![(0, None); count],
            reports: vec![(Timestamp(0), 0, 0); count],
            steps: Vec::new(),
            nodes: Vec::new(),
            front: (0..scenario.nodes as usize).collect(),
            wants: Arena::new(),
            tries: Arena::new(),
            flights: Arena::new(),
            tried: 0,
            network: SeededRng::new(seed, RngStream::Network),
            clients: SeededRng::new(seed, RngStream::Clients),
            judges: Judges::new(scenario, ORIGIN, count),
            told: Vec::new(),
            asked: Vec::new(),
        };
        for node in 0..scenario.nodes as usize {
            let policy = world.policy(node, 0)?;
            world.nodes.push(Node {
                policy,
                zone: node as u16 % scenario.zones,
                up: true,
                life: 0,
                hands: Arena::new(),
                armed: None,
                idle: vec![0; count],
                follows: false,
                told_until: ORIGIN,
                lives: 1,
            });
            world.cached(node);
        }
        for (at, step) in timeline(scenario, seed) {
            world.later_step(ORIGIN + at.span(), step);
        }
        if let Some(due) = world.next.as_ref().map(|n| n.due) {
            world.at(ORIGIN + Micros(due.0), Event::Due);
        }
        Ok(world)
    }

    fn policy(&self, node: usize, life: u32) -> Result<Box<dyn Policy>, String> {
        let seed = SeededRng::with_index(self.seed, RngStream::Nodes, (node as u64) << 12 | u64::from(life))
            .next_u64();
        (self.make)(&NodeContext { scenario: self.scenario, node, seed, now: self.now })
    }

    fn at(&mut self, at: Timestamp, event: Event) {
        self.event_queue.push(at, event);
    }

    fn after(&mut self, span: Micros, event: Event) {
        self.at(self.now + span, event);
    }

    fn later_step(&mut self, at: Timestamp, step: Step) {
        self.steps.push(step);
        self.at(at, Event::Step(self.steps.len() as u32 - 1));
    }

    fn run(&mut self, progress: &mut dyn FnMut(u64)) -> Result<(), String> {
        let end = ORIGIN + self.scenario.length.span() + AFTERMATH;
        let mut second = 0;
        while let Some((at, event)) = self.event_queue.pop() {
            let quiet = self.next.is_none() && self.wants.slab.is_empty() && self.flights.slab.is_empty();
            if at > end || quiet {
                break;
            }
            self.now = at;
            let passed = at.since(ORIGIN).0 / 1_000_000;
            if passed > second {
                second = passed;
                progress(second);
            }
            self.event(event)?;
        }
        self.judges.rules.finish(end);
        Ok(())
    }

    fn event(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::Due => self.due(),
            Event::Start(want) => self.start(want),
            Event::AtNode(attempt) => self.at_node(attempt),
            Event::Answer { attempt, number, what, come_back } => {
                self.answered(attempt, number, FINALS[usize::from(what)], come_back.map(Micros));
            }
            Event::Leave(attempt) => {
                if let Some(t) = self.tries.get(attempt).filter(|t| t.open) {
                    let number = t.number;
                    self.judges.observe(Observation::ClientLeft { attempt: number, at: self.now });
                    self.gone(attempt);
                    self.end_try(attempt, None);
                }
            }
            Event::Over(attempt) => {
                if self.tries.get(attempt).is_some_and(|t| t.open) {
                    self.gone(attempt);
                    self.end_try(attempt, Some(AttemptOutcome::TimedOut));
                }
            }
            Event::GoneAtNode(attempt) => self.gone_at_node(attempt),
            Event::Lost(attempt) => {
                if let Some(t) = self.tries.get(attempt).filter(|t| t.open) {
                    let number = t.number;
                    self.judges.observe(Observation::ConnectionBroken { attempt: number, at: self.now });
                    self.end_try(attempt, Some(AttemptOutcome::Lost));
                }
            }
            Event::Timer { node, life, hand } => self.timer(node as usize, life, hand),
            Event::AtBackend(flight) => self.at_backend(flight),
            Event::Backend { backend, turn } => {
                let i = backend as usize;
                if self.turns[i].0 == turn {
                    self.turns[i].1 = None;
                    self.pass(i);
                    self.arm(i);
                }
            }
            Event::Back { flight, outcome } => self.back(flight, OUTCOMES[usize::from(outcome)]),
            Event::FlightOver(flight) => self.flight_over(flight),
            Event::ProbeAt { node, life, backend, sent } => self.probe_at(node, life, backend, sent),
            Event::ProbeBack { node, life, backend, sent, report } => {
                let n = &mut self.nodes[node as usize];
                if n.life == life && n.up {
                    let trip = self.now.since(Timestamp(sent));
                    let values = report.map(|(held, queued)| [held as f32, queued as f32, 0.0]);
                    let values = values.as_ref().map_or(&[][..], |v| &v[..]);
                    n.policy.report(self.now, BackendId(backend), report.is_some(), trip, values);
                    self.upkeep(node as usize);
                }
            }
            Event::Ask { node, life } => {
                let reply = match self.fleet.discovery_is_up {
                    true => Event::Whole { node, life },
                    false => Event::ListFailed { node, life },
                };
                let trip = self.trip();
                self.after(trip, reply);
            }
            Event::Whole { node, life } => {
                if !self.fleet.discovery_is_up {
                    self.after(Micros(0), Event::ListFailed { node, life });
                    return Ok(());
                }
                if self.alive(node, life) {
                    let lines: Vec<ListEntry> = self.fleet.snapshot().collect();
                    self.nodes[node as usize].follows = true;
                    for i in 0..self.fleet.entries.len() {
                        self.tell(node as usize, i);
                    }
                    self.nodes[node as usize].policy.list(self.now, ListUpdateKind::Snapshot, &lines);
                    self.upkeep(node as usize);
                }
            }
            Event::Line { node, life, backend } => {
                if self.alive(node, life) && self.nodes[node as usize].follows {
                    let line = self.fleet.entries[backend as usize];
                    self.tell(node as usize, backend as usize);
                    self.nodes[node as usize].policy.list(self.now, ListUpdateKind::Delta, &[line]);
                    self.upkeep(node as usize);
                }
            }
            Event::ListFailed { node, life } => {
                if self.alive(node, life) {
                    self.nodes[node as usize].policy.list(self.now, ListUpdateKind::Failed, &[]);
                    self.upkeep(node as usize);
                }
            }
            Event::Publish(backend) => self.publish(backend as usize),
            Event::Notice { node, life } => {
                let n = &self.nodes[node as usize];
                if !n.up && n.life == life {
                    self.in_front(node as usize, false);
                }
            }
            Event::Step(i) => self.step(self.steps[i as usize])?,
        }
        Ok(())
    }

    fn alive(&self, node: u32, life: u32) -> bool {
        let n = &self.nodes[node as usize];
        n.up && n.life == life
    }

    // Clients.

    fn due(&mut self) {
        let Some(wanted) = self.next.take() else { return };
        self.next = self.arrivals.next();
        if let Some(due) = self.next.as_ref().map(|n| n.due) {
            self.at(ORIGIN + Micros(due.0), Event::Due);
        }
        let (command, profile) = (wanted.number, wanted.profile);
        self.judges.observe(Observation::CommandDue { command, profile, at: self.now });
        let want = self.wants.add(Want { wanted, tries: 0 });
        self.start(want);
    }

    fn start(&mut self, want: Ref) {
        let Some(w) = self.wants.get(want) else { return };
        w.tries += 1;
        let first = w.tries == 1;
        let (front, profile, leaves) = (w.wanted.node_draw, w.wanted.profile, w.wanted.leaves_early);
        let draw = if first { front } else { self.clients.uniform() };
        let node = self.front.get((draw * self.front.len() as f64) as usize).copied();
        self.tried += 1;
        let trip = self.client_trip();
        let limit = self.scenario.profiles[usize::from(profile)].limit.span();
        let until = self.now + trip + limit;
        let life = node.map_or(0, |n| self.nodes[n].life);
        let number = self.tried;
        let t = Try { want, node: node.unwrap_or(0), life, number, until, hand: None, open: true };
        let attempt = self.tries.add(t);
        if !node.is_some_and(|n| self.nodes[n].up) {
            self.end_try(attempt, Some(AttemptOutcome::NotConnected));
            return;
        }
        self.after(trip, Event::AtNode(attempt));
        self.at(until + PATIENCE, Event::Over(attempt));
        if leaves {
            self.after(self.scenario.clients.leave_after.span(), Event::Leave(attempt));
        }
    }

    fn client_trip(&mut self) -> Micros {
        let jitter = self.network.exponential(self.scenario.net.jitter.micros());
        Micros(self.scenario.net.client.0 + jitter as u64)
    }

    fn answered(&mut self, attempt: Ref, number: u64, what: FinalAnswer, come_back: Option<Micros>) {
        // Also one too many, after all was over.
        let open = self.tries.get(attempt).is_some_and(|t| t.open);
        let made_for = (what == FinalAnswer::Finished).then_some(number);
        self.judges.observe(Observation::Answered { attempt: number, answer: what, made_for, at: self.now });
        if open {
            let end = match what {
                FinalAnswer::Finished => AttemptOutcome::Finished,
                FinalAnswer::Rejected => AttemptOutcome::Rejected(come_back),
                FinalAnswer::Errored => AttemptOutcome::Errored,
            };
            self.end_try(attempt, Some(end));
        }
    }

    /// The client's part of a try is over; without an end it has left.
    fn end_try(&mut self, attempt: Ref, end: Option<AttemptOutcome>) {
        let Some(t) = self.tries.get(attempt) else { return };
        t.open = false;
        let (want, hand) = (t.want, t.hand);
        if hand.is_none() {
            self.tries.remove(attempt);
        }
        let Some(w) = self.wants.get(want) else { return };
        let (command, profile, tries) = (w.wanted.number, w.wanted.profile, w.tries);
        let next = end.and_then(|end| retry_delay(self.scenario, profile, tries, end, &mut self.clients));
        if let Some(pause) = next {
            self.after(pause, Event::Start(want));
            return;
        }
        self.wants.remove(want);
        let outcome = end.map_or(CommandOutcome::ClientLeft, CommandOutcome::from);
        self.judges.observe(Observation::CommandSettled { command, profile, at: self.now, outcome });
    }

    /// The client closes its connection: its node hears of it a trip later.
    fn gone(&mut self, attempt: Ref) {
        let trip = self.client_trip();
        self.after(trip, Event::GoneAtNode(attempt));
    }

    // Nodes.

    fn at_node(&mut self, attempt: Ref) {
        let Some(t) = self.tries.get(attempt) else { return };
        let (node, number, until, want, life) = (t.node, t.number, t.until, t.want, t.life);
        if !t.open {
            self.tries.remove(attempt);
            return;
        }
        if !self.nodes[node].up || self.nodes[node].life != life {
            self.end_try(attempt, Some(AttemptOutcome::NotConnected));
            return;
        }
        let Some(w) = self.wants.get(want) else { return };
        let (wanted, repeat) = (&w.wanted, w.tries > 1);
        let (command, profile, work) = (wanted.number, wanted.profile, wanted.work);
        let id = CommandId(number as u32);
        let left = until.since(self.now);
        let mut own = Command::new(id, ProfileId(profile), self.now, left);
        own.work_hint = wanted.work_hint.map(|h| Micros(h as u64));
        own.is_client_retry = repeat && self.scenario.clients.mark_repeats;
        self.judges.observe(Observation::AttemptReceived {
            attempt: number,
            command,
            profile,
            node,
            at: self.now,
            until,
        });
        let held =
            Held { task: Task { command: own, launches: Vec::new() }, attempt, command, work, armed: None };
        let hand = self.nodes[node].hands.add(held);
        if let Some(t) = self.tries.get(attempt) {
            t.hand = Some(hand);
        }
        self.again(node, hand);
        self.upkeep(node);
    }

    fn again(&mut self, node: usize, hand: Ref) {
        let n = &mut self.nodes[node];
        let Some(held) = n.hands.get(hand) else { return };
        let say = n.policy.place(self.now, CommandHandle(hand.key), &mut held.task, &self.fleet);
        self.say(node, hand, say);
    }

    fn say(&mut self, node: usize, hand: Ref, say: Decision) {
        match say {
            Decision::Launch(backend) => self.launch(node, hand, backend.0 as usize),
            Decision::Wait => {}
            Decision::Reject(span) => {
                let told = self.scenario.allow.come_back.is_some() && span.0 > 0;
                self.answer(node, hand, FinalAnswer::Rejected, told.then_some(span.0));
            }
            Decision::Fail => self.answer(node, hand, FinalAnswer::Errored, None),
            Decision::CancelLaunch(launch) => self.outcome(node, hand, launch, Outcome::Cancelled),
        }
        self.settle(node, hand);
    }

    fn answer(&mut self, node: usize, hand: Ref, what: FinalAnswer, come_back: Option<u64>) {
        let Some(held) = self.nodes[node].hands.get(hand) else { return };
        held.task.command.is_closed = true;
        let (attempt, number) = (held.attempt, u64::from(held.task.command.id.0));
        let trip = self.client_trip();
        self.after(trip, Event::Answer { attempt, number, what: code(&FINALS, what), come_back });
    }

    /// Lets go of a command that is over, or sets its next timer.
    fn settle(&mut self, node: usize, hand: Ref) {
        let n = &mut self.nodes[node];
        let Some(held) = n.hands.get(hand) else { return };
        if held.task.command.is_closed && held.task.in_flight() == 0 {
            let attempt = held.attempt;
            n.hands.remove(hand);
            if let Some(t) = self.tries.get(attempt) {
                t.hand = None;
                if !t.open {
                    self.tries.remove(attempt);
                }
            }
            return;
        }
        if let Some(span) = n.policy.wait(self.now, Some(&held.task)) {
            // A node keeps time by the microsecond at best.
            let at = self.now + span.max(Micros(1));
            if held.armed != Some(at) {
                held.armed = Some(at);
                let life = n.life;
                self.at(at, Event::Timer { node: node as u32, life, hand: Some(hand) });
            }
        }
    }

    fn timer(&mut self, node: usize, life: u32, hand: Option<Ref>) {
        if !self.alive(node as u32, life) {
            return;
        }
        match hand {
            None => self.nodes[node].armed = None,
            Some(hand) => {
                let now = self.now;
                let Some(held) = self.nodes[node].hands.get(hand) else { return };
                // A later timer of the same command took its place.
                if held.armed != Some(now) {
                    return;
                }
                held.armed = None;
                self.again(node, hand);
            }
        }
        self.upkeep(node);
    }

    fn upkeep(&mut self, node: usize) {
        while let Some(errand) = self.nodes[node].policy.errand(self.now) {
            let life = self.nodes[node].life;
            match errand {
                Action::Probe(backend) => {
                    self.judges.observe(Observation::ProbeReceived);
                    let trip = self.way(node, backend.0 as usize);
                    let (node, backend, sent) = (node as u32, backend.0, self.now.0);
                    self.after(trip, Event::ProbeAt { node, life, backend, sent });
                }
                Action::CloseIdleConnections(backend) => self.nodes[node].idle[backend.0 as usize] = 0,
                Action::RequestList => {
                    let trip = self.trip();
                    self.after(trip, Event::Ask { node: node as u32, life });
                }
                Action::Reevaluate(hand) => {
                    let key = hand.0 as usize;
                    let id = self.nodes[node].hands.slab.get(key).map(|(id, _)| *id);
                    if let Some(id) = id {
                        self.again(node, Ref { key: hand.0, id });
                    }
                }
            }
        }
        let n = &mut self.nodes[node];
        if let Some(span) = n.policy.wait(self.now, None) {
            let at = self.now + span.max(Micros(1));
            if n.armed.is_none_or(|armed| at < armed) {
                n.armed = Some(at);
                let life = n.life;
                self.at(at, Event::Timer { node: node as u32, life, hand: None });
            }
        }
    }

    fn gone_at_node(&mut self, attempt: Ref) {
        let Some(t) = self.tries.get(attempt) else { return };
        let (node, hand, life) = (t.node, t.hand, t.life);
        let Some(hand) = hand.filter(|_| self.alive(node as u32, life)) else { return };
        let n = &mut self.nodes[node];
        if let Some(held) = n.hands.get(hand).filter(|h| !h.task.command.is_closed) {
            n.policy.dropped(&mut held.task);
            held.task.command.is_closed = true;
            self.settle(node, hand);
            self.upkeep(node);
        }
    }

    // Launches.

    /// One way between a node and a backend.
    fn way(&mut self, node: usize, backend: usize) -> Micros {
        let net = &self.scenario.net;
        let same = self.nodes[node].zone == self.fleet.backends[backend].zone;
        let base = if same { net.same.0 } else { net.cross.0 };
        let jitter = self.network.exponential(net.jitter.micros()) as u64;
        Micros((base + jitter).saturating_add_signed(self.fleet.extra_delay_us))
    }

    fn launch(&mut self, node: usize, hand: Ref, backend: usize) {
        let Some(held) = self.nodes[node].hands.get(hand) else { return };
        held.task.launches.push(SentLaunch { backend, fate: LaunchState::InFlight });
        let (number, until) = (held.task.launches.len() as u8 - 1, held.task.command.deadline);
        let (command, profile, work) = (held.command, held.task.command.profile.0, held.work);
        let try_number = u64::from(held.task.command.id.0);
        let p = &self.scenario.profiles[usize::from(profile)];
        let tag = (p.effect == CommandEffect::Tagged).then(|| (command, p.memory.span()));
        self.judges.observe(Observation::LaunchStarted {
            node,
            backend,
            attempt: try_number,
            at: self.now,
            announced_time_left: None,
        });
        let n = &mut self.nodes[node];
        n.idle.resize(n.idle.len().max(backend + 1), 0);
        let new = n.idle[backend] == 0;
        n.idle[backend] = n.idle[backend].saturating_sub(1);
        let life = n.life;
        let flight = self.flights.add(Flight {
            attempt: try_number,
            command,
            profile,
            work,
            tag,
            node,
            life,
            hand,
            number,
            backend,
            sent: self.now,
            new,
            answer: AnswerFate::Delivered,
            node_done: false,
            backend_done: false,
        });
        let mut way = self.way(node, backend);
        if new {
            way = Micros(way.0 + 2 * self.way(node, backend).0);
        }
        self.after(way, Event::AtBackend(flight));
        self.at(until, Event::FlightOver(flight));
    }

    fn at_backend(&mut self, flight: Ref) {
        let Some(f) = self.flights.get(flight) else { return };
        let (i, new, work, node_done, sent) = (f.backend, f.new, f.work, f.node_done, f.sent);
        let (tag, profile) = (f.tag, usize::from(f.profile));
        let key = u64::from(flight.key) << 32 | u64::from(flight.id);
        if node_done {
            // Given up before it was written whole.
            self.flights.remove(flight);
            return;
        }
        if self.fleet.backends[i].is_cut_off {
            f.backend_done = true;
            if new {
                let at = (sent + self.scenario.net.dial.span()).max(self.now);
                self.at(at, Event::Back { flight, outcome: code(&OUTCOMES, Outcome::ConnectFailed) });
            }
            return;
        }
        self.pass(i);
        if self.fleet.backends[i].is_up {
            if new {
                let burden = self.fleet.backends[i].kind.connection_work.micros();
                self.fleet.backends[i].add_overhead(burden);
            }
            self.judges.observe(Observation::LaunchReceived { backend: i, work, at: self.now });
        }
        let scope = self.scenario.profiles[profile].scope;
        let tag = tag.map(|(key, retention)| IdempotencyKey {
            scope: self.fleet.scope_id(scope, i),
            key,
            retention,
        });
        let answer = self.fleet.draw_answer_fate(&mut self.network);
        let fleet = &mut self.fleet;
        let reply = fleet.backends[i].arrive(
            self.now,
            (key, work, tag),
            &mut fleet.idempotency_store,
            &mut self.told,
        );
        let outcome = match reply {
            Reply::Accepted => {
                if let Some(f) = self.flights.get(flight) {
                    f.answer = answer;
                }
                self.happened();
                self.arm(i);
                return;
            }
            Reply::Full => Outcome::Full,
            Reply::Error => Outcome::Errored,
            Reply::Down if new => Outcome::ConnectFailed,
            Reply::Down => Outcome::ConnectionLost,
            Reply::Crashed => {
                self.judges.observe(Observation::BackendCrashed { backend: i, at: self.now });
                let mut asked = std::mem::take(&mut self.asked);
                self.fleet.crash(self.now, i, &mut asked);
                self.asked = asked;
                self.do_asked();
                Outcome::ConnectionLost
            }
        };
        if let Some(f) = self.flights.get(flight) {
            f.backend_done = true;
        }
        self.come_back(flight, outcome);
    }

    /// An outcome sets out for its node.
    fn come_back(&mut self, flight: Ref, outcome: Outcome) {
        let Some(f) = self.flights.get(flight) else { return };
        if f.node_done {
            self.flights.remove(flight);
            return;
        }
        let (node, backend) = (f.node, f.backend);
        let way = self.way(node, backend);
        self.after(way, Event::Back { flight, outcome: code(&OUTCOMES, outcome) });
    }

    /// Lets a backend's time pass to now.
    fn pass(&mut self, i: usize) {
        let fleet = &mut self.fleet;
        fleet.backends[i].advance(self.now, &mut fleet.idempotency_store, &mut self.told);
        self.happened();
    }

    fn happened(&mut self) {
        let mut told = std::mem::take(&mut self.told);
        for one in told.drain(..) {
            let (key, began) = match one {
                BackendEvent::WorkStarted(key, _) => (key, true),
                BackendEvent::WorkFinished(key, _) => (key, false),
            };
            let flight = Ref { key: (key >> 32) as u32, id: key as u32 };
            let Some(f) = self.flights.get(flight) else { continue };
            if began {
                let (backend, attempt, command) = (f.backend, f.attempt, f.command);
                let (profile, work) = (f.profile, f.work);
                self.judges.observe(Observation::WorkStarted {
                    backend,
                    attempt,
                    command,
                    profile,
                    work,
                    at: self.now,
                });
                continue;
            }
            f.backend_done = true;
            // A machine that is cut off works on, but nobody hears of it.
            if self.fleet.backends[f.backend].is_cut_off && !f.node_done {
                continue;
            }
            match f.answer {
                AnswerFate::Delivered => self.come_back(flight, Outcome::Finished),
                AnswerFate::ConnectionBroken => self.come_back(flight, Outcome::ConnectionLost),
                AnswerFate::Lost if f.node_done => drop(self.flights.remove(flight)),
                AnswerFate::Lost => {}
            }
        }
        self.told = told;
    }

    fn arm(&mut self, i: usize) {
        let next = self.fleet.backends[i].next_change().map(|at| at.max(self.now + Micros(1)));
        let (turn, armed) = &mut self.turns[i];
        if *armed != next {
            *turn += 1;
            *armed = next;
            let turn = *turn;
            if let Some(at) = next {
                self.at(at, Event::Backend { backend: i as u32, turn });
            }
        }
    }

    fn back(&mut self, flight: Ref, outcome: Outcome) {
        let Some(f) = self.flights.get(flight).filter(|f| !f.node_done) else { return };
        f.node_done = true;
        let (node, life, hand, number, backend) = (f.node, f.life, f.hand, f.number, f.backend);
        if f.backend_done {
            self.flights.remove(flight);
        }
        if !self.alive(node as u32, life) {
            return;
        }
        if matches!(outcome, Outcome::Finished | Outcome::Full | Outcome::Errored) {
            let idle = &mut self.nodes[node].idle[backend];
            *idle = idle.saturating_add(1);
        }
        self.outcome(node, hand, number, outcome);
    }

    fn outcome(&mut self, node: usize, hand: Ref, number: u8, outcome: Outcome) {
        let n = &mut self.nodes[node];
        let Some(held) = n.hands.get(hand) else { return };
        if held.task.launches[usize::from(number)].fate != LaunchState::InFlight {
            return; // it was called off: nobody waits for its answer any more
        }
        let proven = outcome.proves_not_run(false);
        held.task.launches[usize::from(number)].fate =
            if proven { LaunchState::NotRun } else { LaunchState::MayHaveRun };
        let finishes = outcome == Outcome::Finished && !held.task.command.is_closed;
        held.task.command.is_closed |= outcome == Outcome::Finished;
        let say =
            n.policy.after(self.now, CommandHandle(hand.key), &mut held.task, number, outcome, &self.fleet);
        if finishes {
            self.answer(node, hand, FinalAnswer::Finished, None);
        }
        self.say(node, hand, say);
        self.upkeep(node);
    }

    /// The command's time is over: its node closes the connection.
    fn flight_over(&mut self, flight: Ref) {
        let Some(f) = self.flights.get(flight).filter(|f| !f.node_done) else { return };
        f.node_done = true;
        let (node, life, hand, number) = (f.node, f.life, f.hand, f.number);
        self.call_off(flight);
        if self.alive(node as u32, life) {
            self.outcome(node, hand, number, Outcome::TimedOut);
        }
    }

    /// The node's end of a launch is closed: its backend may stop with it.
    fn call_off(&mut self, flight: Ref) {
        let Some(f) = self.flights.get(flight) else { return };
        f.node_done = true;
        let (i, done) = (f.backend, f.backend_done);
        if done {
            self.flights.remove(flight);
            return;
        }
        if self.fleet.backends[i].is_cut_off || !self.fleet.backends[i].is_up {
            return;
        }
        self.pass(i);
        let key = u64::from(flight.key) << 32 | u64::from(flight.id);
        let held = self.fleet.backends[i].held_commands();
        let fleet = &mut self.fleet;
        fleet.backends[i].cancel(self.now, key, &mut fleet.idempotency_store, &mut self.told);
        if fleet.backends[i].held_commands() < held {
            self.flights.remove(flight);
        }
        self.happened();
        self.arm(i);
    }

    fn probe_at(&mut self, node: u32, life: u32, backend: u32, sent: u64) {
        let i = backend as usize;
        let b = &self.fleet.backends[i];
        let silent = b.is_cut_off || b.is_hung || self.now < b.stalled_until;
        let (mut report, mut way) = (None, self.way(node as usize, i));
        if silent {
            way = (Timestamp(sent) + PROBE_WAIT).since(self.now);
        } else if self.fleet.backends[i].is_up {
            self.pass(i);
            let b = &mut self.fleet.backends[i];
            b.add_overhead(b.kind.probe_work.micros());
            let (at, held, queued) = &mut self.reports[i];
            if self.now >= *at + b.kind.refresh.span() {
                (*at, *held, *queued) = (self.now, b.held_commands() as u32, b.queued_commands() as u32);
            }
            report = Some((*held, *queued));
            self.arm(i);
        }
        self.after(way, Event::ProbeBack { node, life, backend, sent, report });
    }

    // The list.

    fn trip(&mut self) -> Micros {
        self.scenario.list.trip.span().scaled(self.network.uniform())
    }

    fn cached(&mut self, node: usize) {
        let lines: Vec<ListEntry> = self.fleet.snapshot().collect();
        self.nodes[node].policy.list(self.now, ListUpdateKind::Cached, &lines);
        if self.scenario.list.mode == ListMode::Watch {
            let (trip, life) = (self.trip(), self.nodes[node].life);
            self.after(trip, Event::Ask { node: node as u32, life });
        }
        self.upkeep(node);
    }

    fn tell(&mut self, node: usize, backend: usize) {
        let ready = self.fleet.entries[backend].state == BackendState::Ready;
        self.judges.observe(Observation::ListEntryDelivered { node, backend, ready, at: self.now });
    }

    fn publish(&mut self, i: usize) {
        if !self.fleet.publish(i) || !self.fleet.discovery_is_up {
            return;
        }
        for node in 0..self.nodes.len() {
            if self.nodes[node].follows {
                let trip = self.trip();
                let n = &mut self.nodes[node];
                // One watch tells in order.
                n.told_until = n.told_until.max(self.now + trip);
                let (at, life) = (n.told_until, n.life);
                self.at(at, Event::Line { node: node as u32, life, backend: i as u32 });
            }
        }
    }

    // Troubles.

    fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::KillNode(node) if self.nodes[node].up => {
                let life = self.nodes[node].life;
                self.kill(node);
                // The front goes on sending there for a while.
                let notice = self.scenario.clients.notice.span();
                self.after(notice, Event::Notice { node: node as u32, life });
            }
            Step::StopNode(node) => self.in_front(node, false),
            Step::StartNode(node) => self.revive(node)?,
            _ => {
                if let Step::Hang(i, _)
                | Step::ScaleSpeed(i, _)
                | Step::Stall(i, _)
                | Step::Kill(i)
                | Step::Drain(i) = step
                {
                    self.pass(i);
                }
                let mut asked = std::mem::take(&mut self.asked);
                self.fleet.apply(self.now, step, &mut asked);
                self.asked = asked;
                self.do_asked();
            }
        }
        if step == Step::DiscoveryDown {
            for node in 0..self.nodes.len() {
                if std::mem::take(&mut self.nodes[node].follows) {
                    let (trip, life) = (self.trip(), self.nodes[node].life);
                    self.after(trip, Event::ListFailed { node: node as u32, life });
                }
            }
        }
        Ok(())
    }

    fn do_asked(&mut self) {
        let mut asked = std::mem::take(&mut self.asked);
        for one in asked.drain(..) {
            match one {
                DriverAction::ResetConnections(i) => self.reset(i),
                DriverAction::Publish(at, i) => self.at(at, Event::Publish(i as u32)),
                DriverAction::ScheduleStep(at, step) => self.later_step(at, step),
                DriverAction::ReportColdStart(i) => {
                    let count = self.fleet.backends.len();
                    self.turns.resize(count, (0, None));
                    self.reports.resize(count, (Timestamp(0), 0, 0));
                    let b = &self.fleet.backends[i];
                    let (share, warm) = (b.kind.cold, b.kind.warm.micros());
                    let capacity = b.cores() * b.speed;
                    if warm > 0.0 {
                        self.judges.observe(Observation::ColdStart {
                            backend: i,
                            at: self.now,
                            share,
                            warm,
                            capacity,
                        });
                    }
                }
                DriverAction::UpdateNextChange(i) => self.arm(i),
            }
        }
        self.asked = asked;
    }

    /// All connections of a backend are reset.
    fn reset(&mut self, i: usize) {
        for node in &mut self.nodes {
            if let Some(idle) = node.idle.get_mut(i) {
                *idle = 0;
            }
        }
        let held = self.fleet.backends[i].is_up;
        for flight in self.flights.refs() {
            let now = self.now;
            let Some(f) = self.flights.get(flight).filter(|f| f.backend == i && f.sent < now) else {
                continue;
            };
            // What is still on its way finds out by itself.
            f.backend_done |= !held;
            self.come_back(flight, Outcome::ConnectionLost);
        }
        self.arm(i);
    }

    fn kill(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        n.up = false;
        n.follows = false;
        let life = n.life;
        n.hands = Arena::new();
        n.idle.fill(0);
        self.judges.observe(Observation::NodeKilled { node, at: self.now });
        self.drop_tries(node, life);
        for flight in self.flights.refs() {
            if self.flights.get(flight).is_some_and(|f| f.node == node && f.life == life && !f.node_done) {
                self.call_off(flight);
            }
        }
    }

    fn drop_tries(&mut self, node: usize, life: u32) {
        for attempt in self.tries.refs() {
            let Some(t) = self.tries.get(attempt).filter(|t| t.node == node && t.life == life) else {
                continue;
            };
            if t.hand.take().is_some() {
                if t.open {
                    self.after(RESET, Event::Lost(attempt));
                } else {
                    self.tries.remove(attempt);
                }
            }
        }
    }

    fn in_front(&mut self, node: usize, there: bool) {
        self.front.retain(|n| *n != node);
        if there {
            self.front.push(node);
            self.front.sort_unstable();
        }
    }

    fn revive(&mut self, node: usize) -> Result<(), String> {
        if self.nodes[node].up {
            // It was stopped by plan. What it has not answered by now is lost, and nobody excuses that.
            let life = self.nodes[node].life;
            self.nodes[node].up = false;
            self.drop_tries(node, life);
            for flight in self.flights.refs() {
                if self.flights.get(flight).is_some_and(|f| f.node == node && !f.node_done) {
                    self.call_off(flight);
                }
            }
        }
        let life = self.nodes[node].lives;
        let policy = self.policy(node, life)?;
        let n = &mut self.nodes[node];
        n.policy = policy;
        (n.life, n.lives) = (life, life + 1);
        n.hands = Arena::new();
        n.idle.fill(0);
        n.armed = None;
        n.follows = false;
        n.up = true;
        self.in_front(node, true);
        self.judges.observe(Observation::NodeStarted { node });
        self.cached(node);
        Ok(())
    }
}
