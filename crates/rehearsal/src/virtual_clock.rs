//! The virtual clock: a discrete-event simulation of policies and model in one process. It has one thread and a fixed order
//! of events, so that the same scenario, policy and seed give the same result, byte for byte.

use crate::event_queue::EventQueue;
use crate::judge::result::PlayResult;
use crate::judge::{CommandOutcome, FinalAnswer, Judges, Observation};
use crate::model::arrivals::{Arrival, Arrivals};
use crate::model::backend::{BackendEvent, IdempotencyKey, Reply};
use crate::model::clients::{retry_delay, AttemptOutcome};
use crate::model::fleet::{AnswerFate, DriverAction, Fleet};
use crate::model::troubles::{timeline, Step};
use crate::policy::{ActiveCommand, NodeContext, Policy, PolicyFactory, SentLaunch};
use crate::rng::{RngStream, SeededRng};
use crate::scenario::{CommandEffect, ListMode, Scenario};
use slab::Slab;
use yarrowfront::command::{Command, LaunchState, Outcome};
use yarrowfront::decide::{Action, BackendState, Decision, ListEntry, ListUpdateKind};
use yarrowfront::ids::{BackendId, CommandHandle, CommandId, ProfileId};
use yarrowfront::times::{Micros, Timestamp};

/// Where a scenario's time starts on the clock. It is not 0 because the balancer takes the time 0 as long ago.
pub const ORIGIN: Timestamp = Timestamp(1_000_000_000);
/// A client waits this long beyond its time limit, because an answer that is on its way still counts.
const ANSWER_GRACE: Micros = Micros::from_millis(60);
/// The simulation ends this long after the scenario's length even if commands have not ended.
const MAX_RUN_OUT: Micros = Micros::from_millis(40_000);
/// How long a node waits for the answer to a probe.
const PROBE_TIMEOUT: Micros = Micros::from_millis(50);
/// How long it takes until a client sees that its node's process has died.
const RESET_LATENCY: Micros = Micros::from_millis(1);

/// A slot of an arena and the id of the value in it, so that old events do not reach a later value in the same slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Handle {
    slot: u32,
    id: u32,
}

/// A slab whose values have ids that are never reused.
struct Arena<T> {
    slab: Slab<(u32, T)>,
    last_id: u32,
}

impl<T> Arena<T> {
    fn new() -> Arena<T> {
        Arena { slab: Slab::new(), last_id: 0 }
    }

    fn add(&mut self, value: T) -> Handle {
        self.last_id += 1;
        Handle { slot: self.slab.insert((self.last_id, value)) as u32, id: self.last_id }
    }

    fn get(&mut self, handle: Handle) -> Option<&mut T> {
        self.slab.get_mut(handle.slot as usize).filter(|(id, _)| *id == handle.id).map(|(_, value)| value)
    }

    fn remove(&mut self, handle: Handle) -> Option<T> {
        self.get(handle)?;
        Some(self.slab.remove(handle.slot as usize).1)
    }

    fn handles(&self) -> Vec<Handle> {
        self.slab.iter().map(|(slot, (id, _))| Handle { slot: slot as u32, id: *id }).collect()
    }
}

/// An event; each happens at the time for which it was scheduled.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// The next command is due.
    CommandDue,
    /// A client starts an attempt of a command.
    StartAttempt(Handle),
    /// An attempt reaches its node.
    AttemptAtNode(Handle),
    /// A final answer reaches the client.
    AnswerAtClient {
        attempt_handle: Handle,
        attempt_number: u64,
        answer: u8,
        retry_after_us: Option<u64>,
    },
    /// The client leaves before its time limit.
    ClientLeaves(Handle),
    /// The client's time limit is over.
    AttemptTimeout(Handle),
    /// The node sees that the client has closed its connection.
    ClientGoneAtNode(Handle),
    /// The client sees that its connection to the node is lost.
    ConnectionLost(Handle),
    /// A timer of a node: for one of its commands, or for its own actions.
    NodeTimer {
        node: u32,
        generation: u32,
        held_handle: Option<Handle>,
    },
    /// A launch reaches its backend.
    LaunchAtBackend(Handle),
    /// A backend's state changes; ignored if its timer was set again since.
    BackendChange {
        backend: u32,
        timer_id: u32,
    },
    /// The outcome of a launch reaches its node.
    OutcomeAtNode {
        launch_handle: Handle,
        outcome: u8,
    },
    /// The time limit of a launch's command is over.
    LaunchDeadline(Handle),
    ProbeAtBackend {
        node: u32,
        generation: u32,
        backend: u32,
        sent_at_us: u64,
    },
    ProbeResultAtNode {
        node: u32,
        generation: u32,
        backend: u32,
        sent_at_us: u64,
        report: Option<(u32, u32)>,
    },
    /// A node's request for the list reaches discovery.
    ListRequest {
        node: u32,
        generation: u32,
    },
    /// The whole list reaches a node.
    ListSnapshot {
        node: u32,
        generation: u32,
    },
    /// A changed entry of the list reaches a node.
    ListChange {
        node: u32,
        generation: u32,
        backend: u32,
    },
    /// A node sees that its request for the list has failed, or that its watch has ended.
    ListFailed {
        node: u32,
        generation: u32,
    },
    /// Discovery updates its entry of a backend.
    PublishBackend(u32),
    /// Clients are no longer sent to a dead node.
    NodeDeathNoticed {
        node: u32,
        generation: u32,
    },
    /// A step of a trouble, as an index into `Simulation::trouble_steps`.
    TroubleStep(u32),
}

/// Answers and outcomes are stored in events as indices into these arrays.
const FINAL_ANSWERS: [FinalAnswer; 3] = [FinalAnswer::Finished, FinalAnswer::Rejected, FinalAnswer::Errored];
const OUTCOMES: [Outcome; 6] = [
    Outcome::Finished,
    Outcome::Errored,
    Outcome::Full,
    Outcome::ConnectFailed,
    Outcome::ConnectionLost,
    Outcome::TimedOut,
];

fn index_of<T: PartialEq>(all: &[T], one: T) -> u8 {
    all.iter().position(|o| *o == one).unwrap_or_default() as u8
}

/// A command that its client has not given up and that has not ended.
struct PendingCommand {
    arrival: Arrival,
    attempts: u32,
}

/// A client's request to a node for a command.
struct Attempt {
    command_handle: Handle,
    node: usize,
    /// The generation of the node when the attempt was sent.
    generation: u32,
    attempt_number: u64,
    deadline: Timestamp,
    /// The command that its node holds for it, for as long as it does.
    held_handle: Option<Handle>,
    /// Whether the client still waits for the answer.
    is_open: bool,
}

/// A launch of a command to a backend, until both the node and the backend are done with it.
struct Launch {
    attempt_number: u64,
    command: u64,
    profile: u16,
    work: f64,
    idempotency_key: Option<(u64, Micros)>,
    node: usize,
    generation: u32,
    held_handle: Handle,
    launch_index: u8,
    backend: usize,
    sent_at: Timestamp,
    /// Whether it opens a new connection.
    is_new_connection: bool,
    answer_fate: AnswerFate,
    is_done_at_node: bool,
    is_done_at_backend: bool,
}

/// A command that a node holds.
struct HeldCommand {
    active: ActiveCommand,
    attempt_handle: Handle,
    /// The number of the command. It is stored here as well because the client may have given the command up.
    command: u64,
    work: f64,
    timer_at: Option<Timestamp>,
}

/// A node's process and its place in the fleet.
struct Node {
    policy: Box<dyn Policy>,
    zone: u16,
    is_up: bool,
    /// Counts the starts of its process, so that events for an earlier process are ignored.
    generation: u32,
    held_commands: Arena<HeldCommand>,
    timer_at: Option<Timestamp>,
    /// The number of idle connections by backend.
    idle_connections: Vec<u16>,
    watches_list: bool,
    /// When the last change that discovery has sent arrives; later ones do not arrive before it.
    list_sent_until: Timestamp,
    next_generation: u32,
}

/// The whole state of a play.
struct Simulation<'a> {
    scenario: &'a Scenario,
    policy_factory: &'a PolicyFactory<'a>,
    seed: u64,
    now: Timestamp,
    event_queue: EventQueue<Event>,
    arrivals: Arrivals<'a>,
    next_arrival: Option<Arrival>,
    fleet: Fleet,
    /// For each backend, the id and the time of its timer.
    backend_timers: Vec<(u32, Option<Timestamp>)>,
    /// For each backend, the time of its load report, and the held and the queued commands in it.
    load_reports: Vec<(Timestamp, u32, u32)>,
    trouble_steps: Vec<Step>,
    nodes: Vec<Node>,
    /// The nodes that clients are sent to.
    nodes_in_rotation: Vec<usize>,
    commands: Arena<PendingCommand>,
    attempts: Arena<Attempt>,
    launches: Arena<Launch>,
    attempt_count: u64,
    network_rng: SeededRng,
    client_rng: SeededRng,
    judges: Judges,
    /// Buffers that are reused between events.
    backend_events: Vec<BackendEvent>,
    actions: Vec<DriverAction>,
}

/// Plays a scenario with the policies that `policy_factory` creates for its nodes; `name` is the policy's name in the
/// result. `progress` is called with each second that begins.
pub fn play(
    scenario: &Scenario,
    seed: u64,
    name: &str,
    policy_factory: &PolicyFactory,
    progress: &mut dyn FnMut(u64),
) -> Result<(PlayResult, Judges), String> {
    if scenario.needs_processes() {
        return Err("scenarios with view, faults, drawn or site_plan need real processes: use --clock real"
            .to_owned());
    }
    let mut simulation = Simulation::new(scenario, seed, policy_factory)?;
    simulation.run(progress)?;
    let result = simulation.judges.result(scenario, (name, "virtual"), seed);
    Ok((result, simulation.judges))
}

impl<'a> Simulation<'a> {
    fn new(
        scenario: &'a Scenario,
        seed: u64,
        policy_factory: &'a PolicyFactory<'a>,
    ) -> Result<Simulation<'a>, String> {
        let fleet = Fleet::new(scenario, seed, ORIGIN);
        let count = fleet.backends.len();
        let mut arrivals = Arrivals::new(scenario, seed);
        let next_arrival = arrivals.next();
        let mut simulation = Simulation {
            scenario,
            policy_factory,
            seed,
            now: ORIGIN,
            event_queue: EventQueue::new(ORIGIN),
            arrivals,
            next_arrival,
            fleet,
            backend_timers: vec![(0, None); count],
            load_reports: vec![(Timestamp(0), 0, 0); count],
            trouble_steps: Vec::new(),
            nodes: Vec::new(),
            nodes_in_rotation: (0..scenario.nodes as usize).collect(),
            commands: Arena::new(),
            attempts: Arena::new(),
            launches: Arena::new(),
            attempt_count: 0,
            network_rng: SeededRng::new(seed, RngStream::Network),
            client_rng: SeededRng::new(seed, RngStream::Clients),
            judges: Judges::new(scenario, ORIGIN, count),
            backend_events: Vec::new(),
            actions: Vec::new(),
        };
        for node in 0..scenario.nodes as usize {
            let policy = simulation.create_policy(node, 0)?;
            simulation.nodes.push(Node {
                policy,
                zone: node as u16 % scenario.zones,
                is_up: true,
                generation: 0,
                held_commands: Arena::new(),
                timer_at: None,
                idle_connections: vec![0; count],
                watches_list: false,
                list_sent_until: ORIGIN,
                next_generation: 1,
            });
            simulation.use_cached_list(node);
        }
        for (at, step) in timeline(scenario, seed) {
            simulation.schedule_step(ORIGIN + at.span(), step);
        }
        if let Some(due) = simulation.next_arrival.as_ref().map(|n| n.due) {
            simulation.schedule_at(ORIGIN + Micros(due.0), Event::CommandDue);
        }
        Ok(simulation)
    }

    fn create_policy(&self, node: usize, generation: u32) -> Result<Box<dyn Policy>, String> {
        let seed =
            SeededRng::with_index(self.seed, RngStream::Nodes, (node as u64) << 12 | u64::from(generation))
                .next_u64();
        (self.policy_factory)(&NodeContext { scenario: self.scenario, node, seed, now: self.now })
    }

    fn schedule_at(&mut self, at: Timestamp, event: Event) {
        self.event_queue.push(at, event);
    }

    fn schedule_after(&mut self, delay: Micros, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    fn schedule_step(&mut self, at: Timestamp, step: Step) {
        self.trouble_steps.push(step);
        self.schedule_at(at, Event::TroubleStep(self.trouble_steps.len() as u32 - 1));
    }

    fn run(&mut self, progress: &mut dyn FnMut(u64)) -> Result<(), String> {
        let end = ORIGIN + self.scenario.length.span() + MAX_RUN_OUT;
        let mut second = 0;
        while let Some((at, event)) = self.event_queue.pop() {
            let is_finished =
                self.next_arrival.is_none() && self.commands.slab.is_empty() && self.launches.slab.is_empty();
            if at > end || is_finished {
                break;
            }
            self.now = at;
            let elapsed_s = at.since(ORIGIN).0 / 1_000_000;
            if elapsed_s > second {
                second = elapsed_s;
                progress(second);
            }
            self.handle_event(event)?;
        }
        self.judges.rules.finish(end);
        Ok(())
    }

    fn handle_event(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::CommandDue => self.on_command_due(),
            Event::StartAttempt(command_handle) => self.start_attempt(command_handle),
            Event::AttemptAtNode(attempt_handle) => self.on_attempt_at_node(attempt_handle),
            Event::AnswerAtClient { attempt_handle, attempt_number, answer, retry_after_us } => {
                self.on_answer(
                    attempt_handle,
                    attempt_number,
                    FINAL_ANSWERS[usize::from(answer)],
                    retry_after_us.map(Micros),
                );
            }
            Event::ClientLeaves(attempt_handle) => {
                if let Some(attempt) = self.attempts.get(attempt_handle).filter(|attempt| attempt.is_open) {
                    let attempt_number = attempt.attempt_number;
                    self.judges.observe(Observation::ClientLeft { attempt: attempt_number, at: self.now });
                    self.close_client_connection(attempt_handle);
                    self.end_attempt(attempt_handle, None);
                }
            }
            Event::AttemptTimeout(attempt_handle) => {
                if self.attempts.get(attempt_handle).is_some_and(|attempt| attempt.is_open) {
                    self.close_client_connection(attempt_handle);
                    self.end_attempt(attempt_handle, Some(AttemptOutcome::TimedOut));
                }
            }
            Event::ClientGoneAtNode(attempt_handle) => self.on_client_gone(attempt_handle),
            Event::ConnectionLost(attempt_handle) => {
                if let Some(attempt) = self.attempts.get(attempt_handle).filter(|attempt| attempt.is_open) {
                    let attempt_number = attempt.attempt_number;
                    self.judges
                        .observe(Observation::ConnectionBroken { attempt: attempt_number, at: self.now });
                    self.end_attempt(attempt_handle, Some(AttemptOutcome::Lost));
                }
            }
            Event::NodeTimer { node, generation, held_handle } => {
                self.on_node_timer(node as usize, generation, held_handle)
            }
            Event::LaunchAtBackend(launch_handle) => self.on_launch_at_backend(launch_handle),
            Event::BackendChange { backend, timer_id } => {
                let i = backend as usize;
                if self.backend_timers[i].0 == timer_id {
                    self.backend_timers[i].1 = None;
                    self.advance_backend(i);
                    self.schedule_backend_change(i);
                }
            }
            Event::OutcomeAtNode { launch_handle, outcome } => {
                self.on_outcome_at_node(launch_handle, OUTCOMES[usize::from(outcome)])
            }
            Event::LaunchDeadline(launch_handle) => self.on_launch_deadline(launch_handle),
            Event::ProbeAtBackend { node, generation, backend, sent_at_us } => {
                self.on_probe_at_backend(node, generation, backend, sent_at_us)
            }
            Event::ProbeResultAtNode { node, generation, backend, sent_at_us, report } => {
                let n = &mut self.nodes[node as usize];
                if n.generation == generation && n.is_up {
                    let round_trip = self.now.since(Timestamp(sent_at_us));
                    let values = report.map(|(held, queued)| [held as f32, queued as f32, 0.0]);
                    let values = values.as_ref().map_or(&[][..], |v| &v[..]);
                    n.policy.on_load_report(
                        self.now,
                        BackendId(backend),
                        report.is_some(),
                        round_trip,
                        values,
                    );
                    self.run_node_actions(node as usize);
                }
            }
            Event::ListRequest { node, generation } => {
                let reply = match self.fleet.discovery_is_up {
                    true => Event::ListSnapshot { node, generation },
                    false => Event::ListFailed { node, generation },
                };
                let latency = self.list_latency();
                self.schedule_after(latency, reply);
            }
            Event::ListSnapshot { node, generation } => {
                if !self.fleet.discovery_is_up {
                    self.schedule_after(Micros(0), Event::ListFailed { node, generation });
                    return Ok(());
                }
                if self.is_current(node, generation) {
                    let entries: Vec<ListEntry> = self.fleet.snapshot().collect();
                    self.nodes[node as usize].watches_list = true;
                    for i in 0..self.fleet.entries.len() {
                        self.observe_list_entry(node as usize, i);
                    }
                    self.nodes[node as usize].policy.apply_list(self.now, ListUpdateKind::Snapshot, &entries);
                    self.run_node_actions(node as usize);
                }
            }
            Event::ListChange { node, generation, backend } => {
                if self.is_current(node, generation) && self.nodes[node as usize].watches_list {
                    let entry = self.fleet.entries[backend as usize];
                    self.observe_list_entry(node as usize, backend as usize);
                    self.nodes[node as usize].policy.apply_list(self.now, ListUpdateKind::Delta, &[entry]);
                    self.run_node_actions(node as usize);
                }
            }
            Event::ListFailed { node, generation } => {
                if self.is_current(node, generation) {
                    self.nodes[node as usize].policy.apply_list(self.now, ListUpdateKind::Failed, &[]);
                    self.run_node_actions(node as usize);
                }
            }
            Event::PublishBackend(backend) => self.publish(backend as usize),
            Event::NodeDeathNoticed { node, generation } => {
                let n = &self.nodes[node as usize];
                if !n.is_up && n.generation == generation {
                    self.set_in_rotation(node as usize, false);
                }
            }
            Event::TroubleStep(i) => self.apply_step(self.trouble_steps[i as usize])?,
        }
        Ok(())
    }

    /// Whether the node still runs the process of this generation.
    fn is_current(&self, node: u32, generation: u32) -> bool {
        let n = &self.nodes[node as usize];
        n.is_up && n.generation == generation
    }

    // Clients.

    fn on_command_due(&mut self) {
        let Some(arrival) = self.next_arrival.take() else { return };
        self.next_arrival = self.arrivals.next();
        if let Some(due) = self.next_arrival.as_ref().map(|n| n.due) {
            self.schedule_at(ORIGIN + Micros(due.0), Event::CommandDue);
        }
        let (command, profile) = (arrival.number, arrival.profile);
        self.judges.observe(Observation::CommandDue { command, profile, at: self.now });
        let command_handle = self.commands.add(PendingCommand { arrival, attempts: 0 });
        self.start_attempt(command_handle);
    }

    fn start_attempt(&mut self, command_handle: Handle) {
        let Some(pending) = self.commands.get(command_handle) else { return };
        pending.attempts += 1;
        let is_first = pending.attempts == 1;
        let (node_draw, profile, leaves_early) =
            (pending.arrival.node_draw, pending.arrival.profile, pending.arrival.leaves_early);
        let draw = if is_first { node_draw } else { self.client_rng.uniform() };
        let node = self.nodes_in_rotation.get((draw * self.nodes_in_rotation.len() as f64) as usize).copied();
        self.attempt_count += 1;
        let latency = self.client_latency();
        let limit = self.scenario.profiles[usize::from(profile)].limit.span();
        let deadline = self.now + latency + limit;
        let generation = node.map_or(0, |n| self.nodes[n].generation);
        let attempt_number = self.attempt_count;
        let attempt = Attempt {
            command_handle,
            node: node.unwrap_or(0),
            generation,
            attempt_number,
            deadline,
            held_handle: None,
            is_open: true,
        };
        let attempt_handle = self.attempts.add(attempt);
        if !node.is_some_and(|n| self.nodes[n].is_up) {
            self.end_attempt(attempt_handle, Some(AttemptOutcome::NotConnected));
            return;
        }
        self.schedule_after(latency, Event::AttemptAtNode(attempt_handle));
        self.schedule_at(deadline + ANSWER_GRACE, Event::AttemptTimeout(attempt_handle));
        if leaves_early {
            self.schedule_after(
                self.scenario.clients.leave_after.span(),
                Event::ClientLeaves(attempt_handle),
            );
        }
    }

    fn client_latency(&mut self) -> Micros {
        let jitter = self.network_rng.exponential(self.scenario.net.jitter.micros());
        Micros(self.scenario.net.client.0 + jitter as u64)
    }

    fn on_answer(
        &mut self,
        attempt_handle: Handle,
        attempt_number: u64,
        answer: FinalAnswer,
        retry_after: Option<Micros>,
    ) {
        // The judges have to see an answer even if the attempt has ended, because it may be one too many.
        let is_open = self.attempts.get(attempt_handle).is_some_and(|attempt| attempt.is_open);
        let made_for = (answer == FinalAnswer::Finished).then_some(attempt_number);
        self.judges.observe(Observation::Answered {
            attempt: attempt_number,
            answer,
            made_for,
            at: self.now,
        });
        if is_open {
            let outcome = match answer {
                FinalAnswer::Finished => AttemptOutcome::Finished,
                FinalAnswer::Rejected => AttemptOutcome::Rejected(retry_after),
                FinalAnswer::Errored => AttemptOutcome::Errored,
            };
            self.end_attempt(attempt_handle, Some(outcome));
        }
    }

    /// Ends an attempt for its client, which retries or gives up. Without an outcome the client has left.
    fn end_attempt(&mut self, attempt_handle: Handle, outcome: Option<AttemptOutcome>) {
        let Some(attempt) = self.attempts.get(attempt_handle) else { return };
        attempt.is_open = false;
        let (command_handle, held_handle) = (attempt.command_handle, attempt.held_handle);
        if held_handle.is_none() {
            self.attempts.remove(attempt_handle);
        }
        let Some(pending) = self.commands.get(command_handle) else { return };
        let (command, profile, attempts) =
            (pending.arrival.number, pending.arrival.profile, pending.attempts);
        let delay = outcome
            .and_then(|outcome| retry_delay(self.scenario, profile, attempts, outcome, &mut self.client_rng));
        if let Some(delay) = delay {
            self.schedule_after(delay, Event::StartAttempt(command_handle));
            return;
        }
        self.commands.remove(command_handle);
        let outcome = outcome.map_or(CommandOutcome::ClientLeft, CommandOutcome::from);
        self.judges.observe(Observation::CommandSettled { command, profile, at: self.now, outcome });
    }

    /// The client closes its connection, which the node sees one latency later.
    fn close_client_connection(&mut self, attempt_handle: Handle) {
        let latency = self.client_latency();
        self.schedule_after(latency, Event::ClientGoneAtNode(attempt_handle));
    }

    // Nodes.

    fn on_attempt_at_node(&mut self, attempt_handle: Handle) {
        let Some(attempt) = self.attempts.get(attempt_handle) else { return };
        let (node, attempt_number, deadline, command_handle, generation) = (
            attempt.node,
            attempt.attempt_number,
            attempt.deadline,
            attempt.command_handle,
            attempt.generation,
        );
        if !attempt.is_open {
            self.attempts.remove(attempt_handle);
            return;
        }
        if !self.nodes[node].is_up || self.nodes[node].generation != generation {
            self.end_attempt(attempt_handle, Some(AttemptOutcome::NotConnected));
            return;
        }
        let Some(pending) = self.commands.get(command_handle) else { return };
        let (arrival, is_retry) = (&pending.arrival, pending.attempts > 1);
        let (command, profile, work) = (arrival.number, arrival.profile, arrival.work);
        let id = CommandId(attempt_number as u32);
        let time_left = deadline.since(self.now);
        let mut node_command = Command::new(id, ProfileId(profile), self.now, time_left);
        node_command.work_hint = arrival.work_hint.map(|h| Micros(h as u64));
        node_command.is_client_retry = is_retry && self.scenario.clients.mark_repeats;
        self.judges.observe(Observation::AttemptReceived {
            attempt: attempt_number,
            command,
            profile,
            node,
            at: self.now,
            until: deadline,
        });
        let held = HeldCommand {
            active: ActiveCommand { command: node_command, launches: Vec::new() },
            attempt_handle,
            command,
            work,
            timer_at: None,
        };
        let held_handle = self.nodes[node].held_commands.add(held);
        if let Some(attempt) = self.attempts.get(attempt_handle) {
            attempt.held_handle = Some(held_handle);
        }
        self.decide(node, held_handle);
        self.run_node_actions(node);
    }

    fn decide(&mut self, node: usize, held_handle: Handle) {
        let n = &mut self.nodes[node];
        let Some(held) = n.held_commands.get(held_handle) else { return };
        let decision =
            n.policy.decide(self.now, CommandHandle(held_handle.slot), &mut held.active, &self.fleet);
        self.apply_decision(node, held_handle, decision);
    }

    fn apply_decision(&mut self, node: usize, held_handle: Handle, decision: Decision) {
        match decision {
            Decision::Launch(backend) => self.start_launch(node, held_handle, backend.0 as usize),
            Decision::Wait => {}
            Decision::Reject(retry_after) => {
                let is_given = self.scenario.allow.come_back.is_some() && retry_after.0 > 0;
                self.send_answer(node, held_handle, FinalAnswer::Rejected, is_given.then_some(retry_after.0));
            }
            Decision::Fail => self.send_answer(node, held_handle, FinalAnswer::Errored, None),
            Decision::CancelLaunch(launch_index) => {
                self.on_launch_outcome(node, held_handle, launch_index, Outcome::Cancelled)
            }
        }
        self.release_or_set_timer(node, held_handle);
    }

    fn send_answer(
        &mut self,
        node: usize,
        held_handle: Handle,
        answer: FinalAnswer,
        retry_after_us: Option<u64>,
    ) {
        let Some(held) = self.nodes[node].held_commands.get(held_handle) else { return };
        held.active.command.is_closed = true;
        let (attempt_handle, attempt_number) = (held.attempt_handle, u64::from(held.active.command.id.0));
        let latency = self.client_latency();
        self.schedule_after(
            latency,
            Event::AnswerAtClient {
                attempt_handle,
                attempt_number,
                answer: index_of(&FINAL_ANSWERS, answer),
                retry_after_us,
            },
        );
    }

    /// Releases a command that has ended, or sets its next timer.
    fn release_or_set_timer(&mut self, node: usize, held_handle: Handle) {
        let n = &mut self.nodes[node];
        let Some(held) = n.held_commands.get(held_handle) else { return };
        if held.active.command.is_closed && held.active.in_flight() == 0 {
            let attempt_handle = held.attempt_handle;
            n.held_commands.remove(held_handle);
            if let Some(attempt) = self.attempts.get(attempt_handle) {
                attempt.held_handle = None;
                if !attempt.is_open {
                    self.attempts.remove(attempt_handle);
                }
            }
            return;
        }
        if let Some(delay) = n.policy.wakeup_delay(self.now, Some(&held.active)) {
            // The resolution of a timer is one microsecond, which is its shortest delay.
            let at = self.now + delay.max(Micros(1));
            if held.timer_at != Some(at) {
                held.timer_at = Some(at);
                let generation = n.generation;
                self.schedule_at(
                    at,
                    Event::NodeTimer { node: node as u32, generation, held_handle: Some(held_handle) },
                );
            }
        }
    }

    fn on_node_timer(&mut self, node: usize, generation: u32, held_handle: Option<Handle>) {
        if !self.is_current(node as u32, generation) {
            return;
        }
        match held_handle {
            None => self.nodes[node].timer_at = None,
            Some(held_handle) => {
                let now = self.now;
                let Some(held) = self.nodes[node].held_commands.get(held_handle) else { return };
                // The timer was replaced by another one of the same command.
                if held.timer_at != Some(now) {
                    return;
                }
                held.timer_at = None;
                self.decide(node, held_handle);
            }
        }
        self.run_node_actions(node);
    }

    /// Performs the actions of a node's policy, and sets the timer for the next ones.
    fn run_node_actions(&mut self, node: usize) {
        while let Some(action) = self.nodes[node].policy.next_action(self.now) {
            let generation = self.nodes[node].generation;
            match action {
                Action::Probe(backend) => {
                    self.judges.observe(Observation::ProbeReceived);
                    let latency = self.backend_latency(node, backend.0 as usize);
                    let (node, backend, sent_at_us) = (node as u32, backend.0, self.now.0);
                    self.schedule_after(
                        latency,
                        Event::ProbeAtBackend { node, generation, backend, sent_at_us },
                    );
                }
                Action::CloseIdleConnections(backend) => {
                    self.nodes[node].idle_connections[backend.0 as usize] = 0
                }
                Action::RequestList => {
                    let latency = self.list_latency();
                    self.schedule_after(latency, Event::ListRequest { node: node as u32, generation });
                }
                Action::Reevaluate(command) => {
                    let slot = command.0 as usize;
                    let id = self.nodes[node].held_commands.slab.get(slot).map(|(id, _)| *id);
                    if let Some(id) = id {
                        self.decide(node, Handle { slot: command.0, id });
                    }
                }
            }
        }
        let n = &mut self.nodes[node];
        if let Some(delay) = n.policy.wakeup_delay(self.now, None) {
            let at = self.now + delay.max(Micros(1));
            if n.timer_at.is_none_or(|timer_at| at < timer_at) {
                n.timer_at = Some(at);
                let generation = n.generation;
                self.schedule_at(at, Event::NodeTimer { node: node as u32, generation, held_handle: None });
            }
        }
    }

    fn on_client_gone(&mut self, attempt_handle: Handle) {
        let Some(attempt) = self.attempts.get(attempt_handle) else { return };
        let (node, held_handle, generation) = (attempt.node, attempt.held_handle, attempt.generation);
        let Some(held_handle) = held_handle.filter(|_| self.is_current(node as u32, generation)) else {
            return;
        };
        let n = &mut self.nodes[node];
        if let Some(held) = n.held_commands.get(held_handle).filter(|h| !h.active.command.is_closed) {
            n.policy.on_client_gone(&mut held.active);
            held.active.command.is_closed = true;
            self.release_or_set_timer(node, held_handle);
            self.run_node_actions(node);
        }
    }

    // Launches.

    /// Draws the one-way latency between a node and a backend.
    fn backend_latency(&mut self, node: usize, backend: usize) -> Micros {
        let net = &self.scenario.net;
        let same = self.nodes[node].zone == self.fleet.backends[backend].zone;
        let base = if same { net.same.0 } else { net.cross.0 };
        let jitter = self.network_rng.exponential(net.jitter.micros()) as u64;
        Micros((base + jitter).saturating_add_signed(self.fleet.extra_delay_us))
    }

    fn start_launch(&mut self, node: usize, held_handle: Handle, backend: usize) {
        let Some(held) = self.nodes[node].held_commands.get(held_handle) else { return };
        held.active.launches.push(SentLaunch { backend, state: LaunchState::InFlight });
        let (launch_index, deadline) = (held.active.launches.len() as u8 - 1, held.active.command.deadline);
        let (command, profile, work) = (held.command, held.active.command.profile.0, held.work);
        let attempt_number = u64::from(held.active.command.id.0);
        let p = &self.scenario.profiles[usize::from(profile)];
        let idempotency_key = (p.effect == CommandEffect::Tagged).then(|| (command, p.memory.span()));
        self.judges.observe(Observation::LaunchStarted {
            node,
            backend,
            attempt: attempt_number,
            at: self.now,
            announced_time_left: None,
        });
        let n = &mut self.nodes[node];
        n.idle_connections.resize(n.idle_connections.len().max(backend + 1), 0);
        let is_new_connection = n.idle_connections[backend] == 0;
        n.idle_connections[backend] = n.idle_connections[backend].saturating_sub(1);
        let generation = n.generation;
        let launch_handle = self.launches.add(Launch {
            attempt_number,
            command,
            profile,
            work,
            idempotency_key,
            node,
            generation,
            held_handle,
            launch_index,
            backend,
            sent_at: self.now,
            is_new_connection,
            answer_fate: AnswerFate::Delivered,
            is_done_at_node: false,
            is_done_at_backend: false,
        });
        let mut latency = self.backend_latency(node, backend);
        if is_new_connection {
            latency = Micros(latency.0 + 2 * self.backend_latency(node, backend).0);
        }
        self.schedule_after(latency, Event::LaunchAtBackend(launch_handle));
        self.schedule_at(deadline, Event::LaunchDeadline(launch_handle));
    }

    fn on_launch_at_backend(&mut self, launch_handle: Handle) {
        let Some(launch) = self.launches.get(launch_handle) else { return };
        let (i, is_new_connection, work, is_done_at_node, sent_at) =
            (launch.backend, launch.is_new_connection, launch.work, launch.is_done_at_node, launch.sent_at);
        let (idempotency_key, profile) = (launch.idempotency_key, usize::from(launch.profile));
        let launch_key = u64::from(launch_handle.slot) << 32 | u64::from(launch_handle.id);
        if is_done_at_node {
            // The node gave it up before it was completely written.
            self.launches.remove(launch_handle);
            return;
        }
        if self.fleet.backends[i].is_cut_off {
            launch.is_done_at_backend = true;
            if is_new_connection {
                let at = (sent_at + self.scenario.net.dial.span()).max(self.now);
                self.schedule_at(
                    at,
                    Event::OutcomeAtNode {
                        launch_handle,
                        outcome: index_of(&OUTCOMES, Outcome::ConnectFailed),
                    },
                );
            }
            return;
        }
        self.advance_backend(i);
        if self.fleet.backends[i].is_up {
            if is_new_connection {
                let work = self.fleet.backends[i].kind.connection_work.micros();
                self.fleet.backends[i].add_overhead(work);
            }
            self.judges.observe(Observation::LaunchReceived { backend: i, work, at: self.now });
        }
        let scope = self.scenario.profiles[profile].scope;
        let idempotency_key = idempotency_key.map(|(key, retention)| IdempotencyKey {
            scope: self.fleet.scope_id(scope, i),
            key,
            retention,
        });
        let answer = self.fleet.draw_answer_fate(&mut self.network_rng);
        let fleet = &mut self.fleet;
        let reply = fleet.backends[i].arrive(
            self.now,
            (launch_key, work, idempotency_key),
            &mut fleet.idempotency_store,
            &mut self.backend_events,
        );
        let outcome = match reply {
            Reply::Accepted => {
                if let Some(launch) = self.launches.get(launch_handle) {
                    launch.answer_fate = answer;
                }
                self.handle_backend_events();
                self.schedule_backend_change(i);
                return;
            }
            Reply::Full => Outcome::Full,
            Reply::Error => Outcome::Errored,
            Reply::Down if is_new_connection => Outcome::ConnectFailed,
            Reply::Down => Outcome::ConnectionLost,
            Reply::Crashed => {
                self.judges.observe(Observation::BackendCrashed { backend: i, at: self.now });
                let mut actions = std::mem::take(&mut self.actions);
                self.fleet.crash(self.now, i, &mut actions);
                self.actions = actions;
                self.run_driver_actions();
                Outcome::ConnectionLost
            }
        };
        if let Some(launch) = self.launches.get(launch_handle) {
            launch.is_done_at_backend = true;
        }
        self.send_outcome(launch_handle, outcome);
    }

    /// Sends the outcome of a launch to its node.
    fn send_outcome(&mut self, launch_handle: Handle, outcome: Outcome) {
        let Some(launch) = self.launches.get(launch_handle) else { return };
        if launch.is_done_at_node {
            self.launches.remove(launch_handle);
            return;
        }
        let (node, backend) = (launch.node, launch.backend);
        let latency = self.backend_latency(node, backend);
        self.schedule_after(
            latency,
            Event::OutcomeAtNode { launch_handle, outcome: index_of(&OUTCOMES, outcome) },
        );
    }

    /// Advances a backend to the present time.
    fn advance_backend(&mut self, i: usize) {
        let fleet = &mut self.fleet;
        fleet.backends[i].advance(self.now, &mut fleet.idempotency_store, &mut self.backend_events);
        self.handle_backend_events();
    }

    /// Handles what happened at backends: reports started work, and sends the answers of finished work.
    fn handle_backend_events(&mut self) {
        let mut events = std::mem::take(&mut self.backend_events);
        for event in events.drain(..) {
            let (key, has_started) = match event {
                BackendEvent::WorkStarted(key, _) => (key, true),
                BackendEvent::WorkFinished(key, _) => (key, false),
            };
            let launch_handle = Handle { slot: (key >> 32) as u32, id: key as u32 };
            let Some(launch) = self.launches.get(launch_handle) else { continue };
            if has_started {
                let (backend, attempt_number, command) =
                    (launch.backend, launch.attempt_number, launch.command);
                let (profile, work) = (launch.profile, launch.work);
                self.judges.observe(Observation::WorkStarted {
                    backend,
                    attempt: attempt_number,
                    command,
                    profile,
                    work,
                    at: self.now,
                });
                continue;
            }
            launch.is_done_at_backend = true;
            // A backend that is cut off goes on working, but its answers do not arrive.
            if self.fleet.backends[launch.backend].is_cut_off && !launch.is_done_at_node {
                continue;
            }
            match launch.answer_fate {
                AnswerFate::Delivered => self.send_outcome(launch_handle, Outcome::Finished),
                AnswerFate::ConnectionBroken => self.send_outcome(launch_handle, Outcome::ConnectionLost),
                AnswerFate::Lost if launch.is_done_at_node => drop(self.launches.remove(launch_handle)),
                AnswerFate::Lost => {}
            }
        }
        self.backend_events = events;
    }

    /// Sets the timer of a backend to its next change.
    fn schedule_backend_change(&mut self, i: usize) {
        let next = self.fleet.backends[i].next_change().map(|at| at.max(self.now + Micros(1)));
        let (timer_id, timer_at) = &mut self.backend_timers[i];
        if *timer_at != next {
            *timer_id += 1;
            *timer_at = next;
            let timer_id = *timer_id;
            if let Some(at) = next {
                self.schedule_at(at, Event::BackendChange { backend: i as u32, timer_id });
            }
        }
    }

    fn on_outcome_at_node(&mut self, launch_handle: Handle, outcome: Outcome) {
        let Some(launch) = self.launches.get(launch_handle).filter(|launch| !launch.is_done_at_node) else {
            return;
        };
        launch.is_done_at_node = true;
        let (node, generation, held_handle, launch_index, backend) =
            (launch.node, launch.generation, launch.held_handle, launch.launch_index, launch.backend);
        if launch.is_done_at_backend {
            self.launches.remove(launch_handle);
        }
        if !self.is_current(node as u32, generation) {
            return;
        }
        if matches!(outcome, Outcome::Finished | Outcome::Full | Outcome::Errored) {
            let idle = &mut self.nodes[node].idle_connections[backend];
            *idle = idle.saturating_add(1);
        }
        self.on_launch_outcome(node, held_handle, launch_index, outcome);
    }

    fn on_launch_outcome(&mut self, node: usize, held_handle: Handle, launch_index: u8, outcome: Outcome) {
        let n = &mut self.nodes[node];
        let Some(held) = n.held_commands.get(held_handle) else { return };
        if held.active.launches[usize::from(launch_index)].state != LaunchState::InFlight {
            return; // The launch was cancelled, so that its outcome no longer matters.
        }
        let proven_not_run = outcome.proves_not_run(false);
        held.active.launches[usize::from(launch_index)].state =
            if proven_not_run { LaunchState::NotRun } else { LaunchState::MayHaveRun };
        let answers_client = outcome == Outcome::Finished && !held.active.command.is_closed;
        held.active.command.is_closed |= outcome == Outcome::Finished;
        let decision = n.policy.on_launch_outcome(
            self.now,
            CommandHandle(held_handle.slot),
            &mut held.active,
            launch_index,
            outcome,
            &self.fleet,
        );
        if answers_client {
            self.send_answer(node, held_handle, FinalAnswer::Finished, None);
        }
        self.apply_decision(node, held_handle, decision);
        self.run_node_actions(node);
    }

    /// The time limit of the command is over, so that the node closes the connection of the launch.
    fn on_launch_deadline(&mut self, launch_handle: Handle) {
        let Some(launch) = self.launches.get(launch_handle).filter(|launch| !launch.is_done_at_node) else {
            return;
        };
        launch.is_done_at_node = true;
        let (node, generation, held_handle, launch_index) =
            (launch.node, launch.generation, launch.held_handle, launch.launch_index);
        self.cancel_launch(launch_handle);
        if self.is_current(node as u32, generation) {
            self.on_launch_outcome(node, held_handle, launch_index, Outcome::TimedOut);
        }
    }

    /// The node closes its end of a launch; the backend may stop the execution.
    fn cancel_launch(&mut self, launch_handle: Handle) {
        let Some(launch) = self.launches.get(launch_handle) else { return };
        launch.is_done_at_node = true;
        let (i, is_done_at_backend) = (launch.backend, launch.is_done_at_backend);
        if is_done_at_backend {
            self.launches.remove(launch_handle);
            return;
        }
        if self.fleet.backends[i].is_cut_off || !self.fleet.backends[i].is_up {
            return;
        }
        self.advance_backend(i);
        let launch_key = u64::from(launch_handle.slot) << 32 | u64::from(launch_handle.id);
        let held_before = self.fleet.backends[i].held_commands();
        let fleet = &mut self.fleet;
        fleet.backends[i].cancel(
            self.now,
            launch_key,
            &mut fleet.idempotency_store,
            &mut self.backend_events,
        );
        if fleet.backends[i].held_commands() < held_before {
            self.launches.remove(launch_handle);
        }
        self.handle_backend_events();
        self.schedule_backend_change(i);
    }

    fn on_probe_at_backend(&mut self, node: u32, generation: u32, backend: u32, sent_at_us: u64) {
        let i = backend as usize;
        let b = &self.fleet.backends[i];
        let is_silent = b.is_cut_off || b.is_hung || self.now < b.stalled_until;
        let (mut report, mut latency) = (None, self.backend_latency(node as usize, i));
        if is_silent {
            latency = (Timestamp(sent_at_us) + PROBE_TIMEOUT).since(self.now);
        } else if self.fleet.backends[i].is_up {
            self.advance_backend(i);
            let b = &mut self.fleet.backends[i];
            b.add_overhead(b.kind.probe_work.micros());
            let (at, held, queued) = &mut self.load_reports[i];
            if self.now >= *at + b.kind.refresh.span() {
                (*at, *held, *queued) = (self.now, b.held_commands() as u32, b.queued_commands() as u32);
            }
            report = Some((*held, *queued));
            self.schedule_backend_change(i);
        }
        self.schedule_after(
            latency,
            Event::ProbeResultAtNode { node, generation, backend, sent_at_us, report },
        );
    }

    // Discovery.

    fn list_latency(&mut self) -> Micros {
        self.scenario.list.trip.span().scaled(self.network_rng.uniform())
    }

    /// A node starts with the list that it has cached.
    fn use_cached_list(&mut self, node: usize) {
        let entries: Vec<ListEntry> = self.fleet.snapshot().collect();
        self.nodes[node].policy.apply_list(self.now, ListUpdateKind::Cached, &entries);
        if self.scenario.list.mode == ListMode::Watch {
            let (latency, generation) = (self.list_latency(), self.nodes[node].generation);
            self.schedule_after(latency, Event::ListRequest { node: node as u32, generation });
        }
        self.run_node_actions(node);
    }

    fn observe_list_entry(&mut self, node: usize, backend: usize) {
        let ready = self.fleet.entries[backend].state == BackendState::Ready;
        self.judges.observe(Observation::ListEntryDelivered { node, backend, ready, at: self.now });
    }

    fn publish(&mut self, i: usize) {
        if !self.fleet.publish(i) || !self.fleet.discovery_is_up {
            return;
        }
        for node in 0..self.nodes.len() {
            if self.nodes[node].watches_list {
                let latency = self.list_latency();
                let n = &mut self.nodes[node];
                // A watch delivers changes in order.
                n.list_sent_until = n.list_sent_until.max(self.now + latency);
                let (at, generation) = (n.list_sent_until, n.generation);
                self.schedule_at(at, Event::ListChange { node: node as u32, generation, backend: i as u32 });
            }
        }
    }

    // Troubles.

    fn apply_step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::KillNode(node) if self.nodes[node].is_up => {
                let generation = self.nodes[node].generation;
                self.kill_node(node);
                // Clients are still sent there for a while.
                let notice = self.scenario.clients.notice.span();
                self.schedule_after(notice, Event::NodeDeathNoticed { node: node as u32, generation });
            }
            Step::StopNode(node) => self.set_in_rotation(node, false),
            Step::StartNode(node) => self.restart_node(node)?,
            _ => {
                if let Step::Hang(i, _)
                | Step::ScaleSpeed(i, _)
                | Step::Stall(i, _)
                | Step::Kill(i)
                | Step::Drain(i) = step
                {
                    self.advance_backend(i);
                }
                let mut actions = std::mem::take(&mut self.actions);
                self.fleet.apply(self.now, step, &mut actions);
                self.actions = actions;
                self.run_driver_actions();
            }
        }
        if step == Step::DiscoveryDown {
            for node in 0..self.nodes.len() {
                if std::mem::take(&mut self.nodes[node].watches_list) {
                    let (latency, generation) = (self.list_latency(), self.nodes[node].generation);
                    self.schedule_after(latency, Event::ListFailed { node: node as u32, generation });
                }
            }
        }
        Ok(())
    }

    /// Performs the actions that steps of troubles require.
    fn run_driver_actions(&mut self) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            match action {
                DriverAction::ResetConnections(i) => self.reset_connections(i),
                DriverAction::Publish(at, i) => self.schedule_at(at, Event::PublishBackend(i as u32)),
                DriverAction::ScheduleStep(at, step) => self.schedule_step(at, step),
                DriverAction::ReportColdStart(i) => {
                    let count = self.fleet.backends.len();
                    self.backend_timers.resize(count, (0, None));
                    self.load_reports.resize(count, (Timestamp(0), 0, 0));
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
                DriverAction::UpdateNextChange(i) => self.schedule_backend_change(i),
            }
        }
        self.actions = actions;
    }

    /// Resets all connections to a backend.
    fn reset_connections(&mut self, i: usize) {
        for node in &mut self.nodes {
            if let Some(idle) = node.idle_connections.get_mut(i) {
                *idle = 0;
            }
        }
        let is_up = self.fleet.backends[i].is_up;
        for launch_handle in self.launches.handles() {
            let now = self.now;
            let Some(launch) =
                self.launches.get(launch_handle).filter(|launch| launch.backend == i && launch.sent_at < now)
            else {
                continue;
            };
            // Launches of this very moment are still on their way and fail when they arrive.
            launch.is_done_at_backend |= !is_up;
            self.send_outcome(launch_handle, Outcome::ConnectionLost);
        }
        self.schedule_backend_change(i);
    }

    fn kill_node(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        n.is_up = false;
        n.watches_list = false;
        let generation = n.generation;
        n.held_commands = Arena::new();
        n.idle_connections.fill(0);
        self.judges.observe(Observation::NodeKilled { node, at: self.now });
        self.drop_attempts(node, generation);
        for launch_handle in self.launches.handles() {
            if self.launches.get(launch_handle).is_some_and(|launch| {
                launch.node == node && launch.generation == generation && !launch.is_done_at_node
            }) {
                self.cancel_launch(launch_handle);
            }
        }
    }

    /// Drops the attempts that a dead process of a node has received; their clients see a lost connection.
    fn drop_attempts(&mut self, node: usize, generation: u32) {
        for attempt_handle in self.attempts.handles() {
            let Some(attempt) = self
                .attempts
                .get(attempt_handle)
                .filter(|attempt| attempt.node == node && attempt.generation == generation)
            else {
                continue;
            };
            if attempt.held_handle.take().is_some() {
                if attempt.is_open {
                    self.schedule_after(RESET_LATENCY, Event::ConnectionLost(attempt_handle));
                } else {
                    self.attempts.remove(attempt_handle);
                }
            }
        }
    }

    /// Sets whether clients are sent to a node.
    fn set_in_rotation(&mut self, node: usize, in_rotation: bool) {
        self.nodes_in_rotation.retain(|n| *n != node);
        if in_rotation {
            self.nodes_in_rotation.push(node);
            self.nodes_in_rotation.sort_unstable();
        }
    }

    fn restart_node(&mut self, node: usize) -> Result<(), String> {
        if self.nodes[node].is_up {
            // It was stopped as planned. Attempts that it has not answered by now are lost, which counts as a violation.
            let generation = self.nodes[node].generation;
            self.nodes[node].is_up = false;
            self.drop_attempts(node, generation);
            for launch_handle in self.launches.handles() {
                if self
                    .launches
                    .get(launch_handle)
                    .is_some_and(|launch| launch.node == node && !launch.is_done_at_node)
                {
                    self.cancel_launch(launch_handle);
                }
            }
        }
        let generation = self.nodes[node].next_generation;
        let policy = self.create_policy(node, generation)?;
        let n = &mut self.nodes[node];
        n.policy = policy;
        (n.generation, n.next_generation) = (generation, generation + 1);
        n.held_commands = Arena::new();
        n.idle_connections.fill(0);
        n.timer_at = None;
        n.watches_list = false;
        n.is_up = true;
        self.set_in_rotation(node, true);
        self.judges.observe(Observation::NodeStarted { node });
        self.use_cached_list(node);
        Ok(())
    }
}
