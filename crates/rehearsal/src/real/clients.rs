//! The clients: commands go out when they are due, whatever became of those before.

use crate::judge::{CommandOutcome, FinalAnswer, Observation};
use crate::model::arrivals::{Arrival, Arrivals};
use crate::model::clients::{retry_delay, AttemptOutcome};
use crate::real::backends::ID;
use crate::real::nodes::Crew;
use crate::real::stage::{Sent, Stage};
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
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, timeout, timeout_at, Instant};
use yarrowfront::times::Micros;

/// A client waits so much longer than it said: an answer on its way still counts.
const PATIENCE: Duration = Duration::from_millis(60);
/// Between the end of a process's connections and the word that it has ended.
const NOTICE: Duration = Duration::from_millis(40);
/// For a connection to a node.
const DIAL: Duration = Duration::from_secs(1);

type Sender = SendRequest<Full<Bytes>>;

pub struct Crowd {
    stage: Rc<Stage>,
    crew: Crew,
    seed: u64,
    draw: RefCell<SeededRng>,
    /// Open connections without a command, by node; the last one used last.
    idle: RefCell<Vec<Vec<Sender>>>,
    tries: Cell<u64>,
}

impl Crowd {
    pub fn new(stage: Rc<Stage>, crew: Crew, seed: u64) -> Rc<Crowd> {
        let nodes = stage.scenario.nodes as usize;
        let idle = RefCell::new((0..nodes).map(|_| Vec::new()).collect());
        let draw = RefCell::new(SeededRng::new(seed, RngStream::Clients));
        // Another rehearsal may take a port that this one has let go: its commands must not be taken for ours.
        let tries = Cell::new(u64::from(std::process::id()) << 32);
        Rc::new(Crowd { stage, crew, seed, draw, idle, tries })
    }

    /// Plays all arrivals to their ends. Returns by how many microseconds each went out late.
    pub async fn run(self: Rc<Self>) -> Histogram<u64> {
        let mut late = Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds that hold");
        let scenario = self.stage.scenario.clone();
        let mut all = JoinSet::new();
        for wanted in Arrivals::new(&scenario, self.seed) {
            let due = Time(wanted.due.0);
            sleep(self.stage.until(due)).await;
            let at = self.stage.moment(due);
            late.saturating_record(self.stage.now().since(at).0.max(1));
            let (command, profile) = (wanted.number, wanted.profile);
            self.stage.see(Observation::CommandDue { command, profile, at });
            all.spawn_local(self.clone().command(wanted));
        }
        while all.join_next().await.is_some() {}
        late
    }

    async fn command(self: Rc<Self>, wanted: Arrival) {
        let mut tries = 0;
        let outcome = loop {
            tries += 1;
            let end = self.attempt(&wanted, tries).await;
            let Some(end) = end else { break CommandOutcome::ClientLeft };
            let pause = {
                let mut draw = self.draw.borrow_mut();
                retry_delay(&self.stage.scenario, wanted.profile, tries, end, &mut draw)
            };
            match pause {
                Some(pause) => sleep(Duration::from_micros(pause.0)).await,
                None => break CommandOutcome::from(end),
            }
        };
        let (command, profile) = (wanted.number, wanted.profile);
        self.stage.see(Observation::CommandSettled { command, profile, at: self.stage.now(), outcome });
    }

    /// One try; none where the client left before its end.
    async fn attempt(&self, wanted: &Arrival, tries: u32) -> Option<AttemptOutcome> {
        let nodes = self.crew.in_front();
        let draw = if tries == 1 { wanted.node_draw } else { self.draw.borrow_mut().uniform() };
        let front = nodes.get((draw * nodes.len() as f64) as usize).copied();
        let Some(node) = self.stopping_with_open_connection().or(front) else {
            return Some(AttemptOutcome::NotConnected);
        };
        self.tries.set(self.tries.get() + 1);
        let attempt = self.tries.get();
        let (command, profile, work) = (wanted.number, wanted.profile, wanted.work);
        self.stage.sent(attempt, Sent { command, profile, work, node });
        let limit = self.stage.scenario.profiles[usize::from(profile)].limit;
        let until = Instant::now() + limit.duration() + PATIENCE;
        let leave = self.stage.scenario.clients.leave_after.duration();
        let leaves = wanted.leaves_early && leave < limit.duration();
        let end = if leaves { Instant::now() + leave } else { until };
        let exchange = self.exchange(node, attempt, wanted, tries > 1);
        let Ok(answered) = timeout_at(end, exchange).await else {
            // The future that is dropped here takes its connection along: the node sees its client go.
            if leaves {
                self.stage.see(Observation::ClientLeft { attempt, at: self.stage.now() });
                return None;
            }
            return Some(AttemptOutcome::TimedOut);
        };
        let (status, come_back, body) = match answered {
            Ok(answer) => answer,
            Err(AttemptOutcome::Lost) => {
                // A process's end is noticed a little later than that of its connections, and excuses it.
                sleep(NOTICE).await;
                self.stage.see(Observation::ConnectionBroken { attempt, at: self.stage.now() });
                return Some(AttemptOutcome::Lost);
            }
            Err(end) => return Some(end),
        };
        let (what, end) = match status {
            StatusCode::OK => (FinalAnswer::Finished, AttemptOutcome::Finished),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                (FinalAnswer::Rejected, AttemptOutcome::Rejected(come_back))
            }
            _ => (FinalAnswer::Errored, AttemptOutcome::Errored),
        };
        let named = serde_json::from_slice::<serde_json::Value>(&body).ok();
        let made_for =
            named.as_ref().and_then(|v| v["try"].as_str()).and_then(|t| u64::from_str_radix(t, 16).ok());
        self.stage.see(Observation::Answered { attempt, answer: what, made_for, at: self.stage.now() });
        Some(end)
    }

    async fn exchange(
        &self,
        first: usize,
        attempt: u64,
        wanted: &Arrival,
        repeat: bool,
    ) -> Result<(StatusCode, Option<Micros>, Bytes), AttemptOutcome> {
        let (mut taken, mut node) = (false, first);
        // A connection that the node closed as the command went out is tried once more on a new one.
        for fresh in [false, true] {
            let old = if fresh { None } else { self.reuse(node) };
            let reused = old.is_some();
            if old.is_none() && self.crew.stopping().contains(&node) {
                // The front gives out no new connections to it.
                self.stage.see(Observation::ClientLeft { attempt, at: self.stage.now() });
                node = self.crew.in_front().first().copied().ok_or(AttemptOutcome::NotConnected)?;
                self.stage.moved(attempt, node);
                taken = false;
            }
            let mut sender = match old {
                Some(sender) => sender,
                None => self.connect(node).await.ok_or(if taken {
                    AttemptOutcome::Lost
                } else {
                    AttemptOutcome::NotConnected
                })?,
            };
            if !std::mem::replace(&mut taken, true) {
                let (command, profile) = (wanted.number, wanted.profile);
                let limit = self.stage.scenario.profiles[usize::from(profile)].limit.span();
                let at = self.stage.now();
                let until = at + limit;
                self.stage.see(Observation::AttemptReceived { attempt, command, profile, node, at, until });
            }
            match sender.send_request(self.request(attempt, wanted, repeat)).await {
                Ok(response) => {
                    let answer = read(response).await.ok_or(AttemptOutcome::Lost)?;
                    let idle = &mut self.idle.borrow_mut()[node];
                    if idle.len() < 256 {
                        idle.push(sender);
                    }
                    return Ok(answer);
                }
                Err(_) if reused => {}
                Err(_) => return Err(AttemptOutcome::Lost),
            }
        }
        Err(AttemptOutcome::Lost)
    }

    /// A node that was told to stop and has left a connection open: clients may go on using that.
    fn stopping_with_open_connection(&self) -> Option<usize> {
        let stress = self.stage.scenario.stress.as_ref()?;
        if !stress.used_until_kill {
            return None;
        }
        let idle = self.idle.borrow();
        let open = |node: &usize| idle[*node].iter().any(|sender| sender.is_ready());
        self.crew.stopping().into_iter().find(open)
    }

    fn reuse(&self, node: usize) -> Option<Sender> {
        let idle = &mut self.idle.borrow_mut()[node];
        while let Some(sender) = idle.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    async fn connect(&self, node: usize) -> Option<Sender> {
        let stream =
            timeout(DIAL, TcpStream::connect(("127.0.0.1", self.crew.door(node)))).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        spawn_local(async move {
            let _ = connection.await;
        });
        Some(sender)
    }

    fn request(&self, attempt: u64, wanted: &Arrival, repeat: bool) -> Request<Full<Bytes>> {
        let profile = &self.stage.scenario.profiles[usize::from(wanted.profile)];
        let reads = profile.effect == CommandEffect::Repeatable;
        let body = if reads { Bytes::new() } else { Bytes::from(format!("command {}", wanted.number)) };
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = if reads { Method::GET } else { Method::POST };
        *request.uri_mut() = hyper::Uri::from_static("/api");
        let mut put = |name: &'static str, value: String| {
            if let Ok(value) = value.parse() {
                request.headers_mut().insert(name, value);
            }
        };
        put("host", "origin.svc".into());
        put(ID, format!("{attempt:016x}"));
        put("x-service-class", profile.name.clone());
        put("x-time-left-ms", (profile.limit.0 / 1000).to_string());
        if profile.effect == CommandEffect::Tagged {
            // The same with every try of a command.
            put("idempotency-key", format!("{:032x}", wanted.number));
        }
        if let Some(customer) = self.stage.scenario.customers.get(wanted.customer as usize) {
            put("x-account", customer.name.clone());
        }
        if let Some(hint) = wanted.work_hint {
            put("x-weight-hint", (hint as u64).to_string());
        }
        if repeat && self.stage.scenario.clients.mark_repeats {
            put("x-repeat", "1".into());
        }
        request
    }
}

async fn read(response: Response<Incoming>) -> Option<(StatusCode, Option<Micros>, Bytes)> {
    let (head, body) = response.into_parts();
    let told =
        head.headers.get("retry-after").and_then(|v| v.to_str().ok()).and_then(|v| v.parse::<f64>().ok());
    let come_back = told.filter(|s| (0.0..3600.0).contains(s)).map(|s| Micros((s * 1e6) as u64));
    let body = body.collect().await.ok()?.to_bytes();
    Some((head.status, come_back, body))
}
