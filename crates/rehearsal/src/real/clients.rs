//! The clients: commands are sent when they are due, whether or not earlier ones have been answered (open-loop load).

use crate::judge::{CommandOutcome, FinalAnswer, Observation};
use crate::model::arrivals::{Arrival, Arrivals};
use crate::model::clients::{retry_delay, AttemptOutcome};
use crate::real::backends::ATTEMPT_ID_HEADER;
use crate::real::harness::{AttemptInfo, Harness};
use crate::real::nodes::NodeSupervisor;
use crate::rng::{RngStream, SeededRng};
use crate::scenario::CommandEffect;
use crate::span::Time;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use links::body_form::BodyForm;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, timeout, timeout_at, Instant};
use yarrowfront::times::Micros;

/// How much longer a client waits than it announced: an answer in transit still counts.
const CLIENT_GRACE: Duration = Duration::from_millis(60);
/// Time between the end of a process's connections and the report of its exit.
const EXIT_NOTICE_DELAY: Duration = Duration::from_millis(40);
/// Time limit for connecting to a node.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How much longer than its backend a long answer may take.
const LONG_ANSWER_PATIENCE: Duration = Duration::from_secs(5);
/// How long after its client's time an answer that is not long may still be broken off.
const LATE_END_ALLOWANCE: Duration = Duration::from_millis(500);

type ConnectionSender = SendRequest<Full<Bytes>>;

/// A whole answer: its status, the retry time and the body.
type Answer = (StatusCode, Option<Micros>, Bytes);

/// An answer of which the head has come, and the connection that carries it.
struct BegunAnswer {
    response: Response<Incoming>,
    sender: ConnectionSender,
    node: usize,
}

/// How long a client waits for the head of its answer, and whether it leaves then although its time is not over.
struct Patience {
    give_up_at: Instant,
    leaves_early: bool,
}

/// All clients of a run and their connections to the nodes.
pub struct ClientPool {
    harness: Rc<Harness>,
    supervisor: NodeSupervisor,
    seed: u64,
    rng: RefCell<SeededRng>,
    /// Idle connections by node, the most recently used last.
    idle_connections: RefCell<Vec<Vec<ConnectionSender>>>,
    /// The number of the latest attempt, which is also its request id.
    attempt_count: Cell<u64>,
}

impl ClientPool {
    pub fn new(harness: Rc<Harness>, supervisor: NodeSupervisor, seed: u64) -> Rc<ClientPool> {
        let nodes = harness.scenario.nodes as usize;
        let idle_connections = RefCell::new((0..nodes).map(|_| Vec::new()).collect());
        let rng = RefCell::new(SeededRng::new(seed, RngStream::Clients));
        // Another rehearsal may take a port that this one has released: its attempts must not be mistaken for ours.
        let attempt_count = Cell::new(u64::from(std::process::id()) << 32);
        Rc::new(ClientPool { harness, supervisor, seed, rng, idle_connections, attempt_count })
    }

    /// Runs all commands to their ends. Returns a histogram of how late each was sent, in microseconds.
    pub async fn run(self: Rc<Self>) -> Histogram<u64> {
        let mut lateness = Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds");
        let scenario = self.harness.scenario.clone();
        let mut commands = JoinSet::new();
        for arrival in Arrivals::new(&scenario, self.seed) {
            let due = Time(arrival.due.0);
            sleep(self.harness.duration_until(due)).await;
            let at = self.harness.at_scenario_time(due);
            lateness.saturating_record(self.harness.now().since(at).0.max(1));
            let (command, profile) = (arrival.number, arrival.profile);
            self.harness.observe(Observation::CommandDue { command, profile, at });
            commands.spawn_local(self.clone().run_command(arrival));
        }
        while commands.join_next().await.is_some() {}
        lateness
    }

    /// Runs one command with all its retries.
    async fn run_command(self: Rc<Self>, arrival: Arrival) {
        let mut attempt_number = 0;
        let outcome = loop {
            attempt_number += 1;
            let attempt_outcome = self.run_attempt(&arrival, attempt_number).await;
            let Some(attempt_outcome) = attempt_outcome else { break CommandOutcome::ClientLeft };
            let delay = {
                let mut rng = self.rng.borrow_mut();
                retry_delay(
                    &self.harness.scenario,
                    arrival.profile,
                    attempt_number,
                    attempt_outcome,
                    &mut rng,
                )
            };
            match delay {
                Some(delay) => sleep(Duration::from_micros(delay.0)).await,
                None => break CommandOutcome::from(attempt_outcome),
            }
        };
        let (command, profile) = (arrival.number, arrival.profile);
        self.harness.observe(Observation::CommandSettled {
            command,
            profile,
            at: self.harness.now(),
            outcome,
        });
    }

    /// Runs one attempt; `None` if the client left before its end.
    async fn run_attempt(&self, arrival: &Arrival, attempt_number: u32) -> Option<AttemptOutcome> {
        let nodes = self.supervisor.nodes_in_rotation();
        let node_draw = if attempt_number == 1 { arrival.node_draw } else { self.rng.borrow_mut().uniform() };
        let chosen = nodes.get((node_draw * nodes.len() as f64) as usize).copied();
        let Some(node) = self.stopping_with_open_connection().or(chosen) else {
            return Some(AttemptOutcome::NotConnected);
        };
        self.attempt_count.set(self.attempt_count.get() + 1);
        let attempt = self.attempt_count.get();
        let (command, profile, work) = (arrival.number, arrival.profile, arrival.work);
        self.harness.register_attempt(attempt, AttemptInfo { command, profile, work, node });
        let limit = self.harness.scenario.profiles[usize::from(profile)].limit;
        let deadline = Instant::now() + limit.duration() + CLIENT_GRACE;
        let leave_after = self.harness.scenario.clients.leave_after.duration();
        let leaves_early = arrival.leaves_early && leave_after < limit.duration();
        let give_up_at = if leaves_early { Instant::now() + leave_after } else { deadline };
        let patience = Patience { give_up_at, leaves_early };
        let exchange = self.exchange(node, attempt, arrival, attempt_number > 1);
        let begun = match timeout_at(give_up_at, exchange).await {
            Ok(Ok(begun)) => begun,
            Ok(Err(outcome)) => return Some(self.record_end_without_answer(attempt, outcome).await),
            Err(_) => return self.record_timeout(attempt, &patience),
        };
        let (status, retry_after, body) = match self.read_answer(attempt, begun, &patience).await {
            Ok(answer) => answer,
            Err(outcome) => return outcome,
        };
        let (answer, outcome) = match status {
            StatusCode::OK => (FinalAnswer::Finished, AttemptOutcome::Finished),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                (FinalAnswer::Rejected, AttemptOutcome::Rejected(retry_after))
            }
            _ => (FinalAnswer::Errored, AttemptOutcome::Errored),
        };
        let body_json = serde_json::from_slice::<serde_json::Value>(&body).ok();
        let made_for =
            body_json.as_ref().and_then(|v| v["try"].as_str()).and_then(|t| u64::from_str_radix(t, 16).ok());
        self.harness.observe(Observation::Answered { attempt, answer, made_for, at: self.harness.now() });
        Some(outcome)
    }

    /// Records that an attempt's connection ended without an answer, if it was sent.
    async fn record_end_without_answer(&self, attempt: u64, outcome: AttemptOutcome) -> AttemptOutcome {
        if outcome == AttemptOutcome::Lost {
            // The exit of a process is reported a little later than the end of its connections, and excuses that end.
            sleep(EXIT_NOTICE_DELAY).await;
            self.harness.observe(Observation::ConnectionBroken { attempt, at: self.harness.now() });
        }
        outcome
    }

    /// The client waits no longer. Its connection is closed, so the node sees that it has left. Returns how the attempt
    /// ended; `None` if the client leaves early.
    fn record_timeout(&self, attempt: u64, patience: &Patience) -> Option<AttemptOutcome> {
        if patience.leaves_early {
            self.harness.observe(Observation::ClientLeft { attempt, at: self.harness.now() });
            return None;
        }
        Some(AttemptOutcome::TimedOut)
    }

    /// Reads the rest of an answer. If it does not come whole, returns how the attempt ended.
    async fn read_answer(
        &self,
        attempt: u64,
        begun: BegunAnswer,
        patience: &Patience,
    ) -> Result<Answer, Option<AttemptOutcome>> {
        let is_finished = begun.response.status() == StatusCode::OK;
        let form = self.harness.answer_forms.form_of(attempt).filter(|_| is_finished);
        let is_long = form.as_ref().is_some_and(BodyForm::is_long);
        if form.is_some() {
            self.harness.observe(Observation::AnswerBegun { attempt, is_long, at: self.harness.now() });
        }
        let read_until = match &form {
            Some(form) if is_long => Instant::now() + form.duration() + LONG_ANSWER_PATIENCE,
            Some(_) => patience.give_up_at + LATE_END_ALLOWANCE,
            None => patience.give_up_at,
        };
        let read_until = if patience.leaves_early { patience.give_up_at } else { read_until };
        let (response, sender) = (begun.response, begun.sender);
        match timeout_at(read_until, read_whole(response)).await {
            Ok(Some(answer)) => {
                let idle = &mut self.idle_connections.borrow_mut()[begun.node];
                if idle.len() < 256 {
                    idle.push(sender);
                }
                Ok(answer)
            }
            Err(_) if patience.leaves_early || !is_long => Err(self.record_timeout(attempt, patience)),
            Ok(None) if form.is_none() => {
                Err(Some(self.record_end_without_answer(attempt, AttemptOutcome::Lost).await))
            }
            _ => {
                sleep(EXIT_NOTICE_DELAY).await;
                let by_backend = self.harness.answer_forms.is_broken_by_backend(attempt);
                let at = self.harness.now();
                self.harness.observe(Observation::AnswerBroken { attempt, by_backend, at });
                Err(Some(AttemptOutcome::Errored))
            }
        }
    }

    /// Sends an attempt and waits for the head of its answer.
    async fn exchange(
        &self,
        first_node: usize,
        attempt: u64,
        arrival: &Arrival,
        is_retry: bool,
    ) -> Result<BegunAnswer, AttemptOutcome> {
        let (mut is_reported, mut node) = (false, first_node);
        // If the node closes an idle connection while the command is sent, the attempt is repeated on a new one.
        for use_new_connection in [false, true] {
            let idle_sender = if use_new_connection { None } else { self.take_idle_connection(node) };
            let is_reused = idle_sender.is_some();
            if idle_sender.is_none() && self.supervisor.stopping_nodes().contains(&node) {
                // The front end opens no new connections to a stopping node.
                self.harness.observe(Observation::ClientLeft { attempt, at: self.harness.now() });
                node = self
                    .supervisor
                    .nodes_in_rotation()
                    .first()
                    .copied()
                    .ok_or(AttemptOutcome::NotConnected)?;
                self.harness.move_attempt(attempt, node);
                is_reported = false;
            }
            let mut sender = match idle_sender {
                Some(sender) => sender,
                None => self.connect(node).await.ok_or(if is_reported {
                    AttemptOutcome::Lost
                } else {
                    AttemptOutcome::NotConnected
                })?,
            };
            if !std::mem::replace(&mut is_reported, true) {
                let (command, profile) = (arrival.number, arrival.profile);
                let limit = self.harness.scenario.profiles[usize::from(profile)].limit.span();
                let at = self.harness.now();
                let until = at + limit;
                self.harness.observe(Observation::AttemptReceived {
                    attempt,
                    command,
                    profile,
                    node,
                    at,
                    until,
                });
            }
            match sender.send_request(self.request(attempt, arrival, is_retry)).await {
                Ok(response) => return Ok(BegunAnswer { response, sender, node }),
                Err(_) if is_reused => {}
                Err(_) => return Err(AttemptOutcome::Lost),
            }
        }
        Err(AttemptOutcome::Lost)
    }

    /// A node that was told to stop but has left a connection open: clients may keep using it.
    fn stopping_with_open_connection(&self) -> Option<usize> {
        let stress = self.harness.scenario.stress.as_ref()?;
        if !stress.used_until_kill {
            return None;
        }
        let idle = self.idle_connections.borrow();
        let has_open_connection = |node: &usize| idle[*node].iter().any(|sender| sender.is_ready());
        self.supervisor.stopping_nodes().into_iter().find(has_open_connection)
    }

    fn take_idle_connection(&self, node: usize) -> Option<ConnectionSender> {
        let idle = &mut self.idle_connections.borrow_mut()[node];
        while let Some(sender) = idle.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    async fn connect(&self, node: usize) -> Option<ConnectionSender> {
        let stream =
            timeout(CONNECT_TIMEOUT, TcpStream::connect(("127.0.0.1", self.supervisor.client_port(node))))
                .await
                .ok()?
                .ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        spawn_local(async move {
            let _ = connection.await;
        });
        Some(sender)
    }

    fn request(&self, attempt: u64, arrival: &Arrival, is_retry: bool) -> Request<Full<Bytes>> {
        let profile = &self.harness.scenario.profiles[usize::from(arrival.profile)];
        let is_get = profile.effect == CommandEffect::Repeatable;
        let body = if is_get { Bytes::new() } else { Bytes::from(format!("command {}", arrival.number)) };
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = if is_get { Method::GET } else { Method::POST };
        *request.uri_mut() = hyper::Uri::from_static("/api");
        let mut set_header = |name: &'static str, value: String| {
            if let Ok(value) = value.parse() {
                request.headers_mut().insert(name, value);
            }
        };
        set_header("host", "origin.svc".into());
        set_header(ATTEMPT_ID_HEADER, format!("{attempt:016x}"));
        set_header("x-service-class", profile.name.clone());
        set_header("x-time-left-ms", (profile.limit.0 / 1000).to_string());
        if profile.effect == CommandEffect::Tagged {
            // The key is the same for every attempt of a command.
            set_header("idempotency-key", format!("{:032x}", arrival.number));
        }
        if let Some(customer) = self.harness.scenario.customers.get(arrival.customer as usize) {
            set_header("x-account", customer.name.clone());
        }
        if let Some(hint) = arrival.work_hint {
            set_header("x-weight-hint", (hint as u64).to_string());
        }
        if is_retry && self.harness.scenario.clients.mark_repeats {
            set_header("x-repeat", "1".into());
        }
        request
    }
}

async fn read_whole(response: Response<Incoming>) -> Option<Answer> {
    let (head, body) = response.into_parts();
    let header =
        head.headers.get("retry-after").and_then(|v| v.to_str().ok()).and_then(|v| v.parse::<f64>().ok());
    let retry_after = header.filter(|s| (0.0..3600.0).contains(s)).map(|s| Micros((s * 1e6) as u64));
    let body = body.collect().await.ok()?.to_bytes();
    Some((head.status, retry_after, body))
}
