//! The admin listener for operators: one request per connection, answered with one line about the new state.
//! A request that is answered with success has already taken effect.

use crate::admin_request::{call, Call, Refusal};
use crate::config::build;
use crate::counts;
use crate::dispatcher::Dispatcher;
use crate::fleet::Fleet;
use crate::handover::Peer;
use crate::lifecycle::Stop;
use crate::limits::Limits;
use crate::log::note;
use crate::reply::{plain, Reply};
use crate::sites::Sites;
use crate::transport::Transport;
use crate::trial::{Trial, Word};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use serde_json::{json, Value};
use slab::Slab;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{sleep, Instant};
use tower::service_fn;

/// A connection from an operator.
struct Caller {
    came: Instant,
    /// The request was received completely.
    heard: Cell<bool>,
    /// Notified to close the connection.
    go: Notify,
}

/// What the requests are answered from.
pub struct Admin {
    pub dispatcher: Rc<Dispatcher>,
    pub stop: Rc<Stop>,
    pub limits: Rc<Limits>,
    pub peer: Rc<Peer>,
    pub fleet: Option<Rc<Fleet>>,
    pub trial: Option<Rc<Trial>>,
    pub sites: Option<Rc<Sites>>,
    /// The digest of the settings in force.
    pub digest: Rc<Cell<u64>>,
    pub name: String,
    /// The protocols that this build speaks with others, with their versions.
    pub words: String,
}

impl Admin {
    async fn answer(&self, caller: &Caller, request: Request<Incoming>) -> Reply {
        let (head, body) = request.into_parts();
        // Only a rollout request has a body. Any other body is read too, because closing the connection with
        // unread data would lose the answer.
        let most =
            self.trial.as_ref().filter(|_| head.uri.path() == "/rollout").map(|t| t.terms.settings_bytes);
        let body = Limited::new(body, most.unwrap_or(self.limits.admin_body_bytes));
        let Ok(body) = body.collect().await else {
            return plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large for this request");
        };
        caller.heard.set(true);
        match call(&head.method, head.uri.path()) {
            Ok(Call::Rollout) => self.rollout(&body.to_bytes()).await,
            Ok(call) => self.carry_out(call).await,
            Err(Refusal::NoSuchPath) => plain(StatusCode::NOT_FOUND, "no such path"),
            Err(Refusal::Method(right)) => {
                let mut reply = plain(StatusCode::METHOD_NOT_ALLOWED, &format!("the method must be {right}"));
                reply.headers_mut().insert(ALLOW, HeaderValue::from_static(right));
                reply
            }
        }
    }

    async fn carry_out(&self, call: Call) -> Reply {
        match call {
            Call::Ready => return self.ready(),
            Call::Fleet { plain } => return self.fleet(plain),
            Call::Counts { after } => return self.counts(after),
            Call::Settings => return self.settings().await,
            Call::Sites => return self.sites(),
            Call::Site { name, word } => return self.site(&name, &word),
            _ => {}
        }
        match call.carry_out(&self.dispatcher, &self.stop) {
            Some(now) => {
                // If there are two processes, both have applied it before the success is reported.
                self.peer.tell(&call).await;
                note!("admin: {now}");
                plain(StatusCode::OK, &now)
            }
            None => {
                note!("admin: {call:?}: this backend was never listed");
                plain(StatusCode::NOT_FOUND, "no backend with this name was ever listed")
            }
        }
    }

    fn fleet(&self, people: bool) -> Reply {
        match &self.fleet {
            None => plain(StatusCode::NOT_FOUND, "no fleet view is configured"),
            Some(fleet) if people => plain(StatusCode::OK, fleet.page().trim_end()),
            Some(fleet) => as_json(&fleet.told()),
        }
    }

    /// The node's statistics, the digest of its settings, and its resource usage.
    fn counts(&self, after: u64) -> Reply {
        let (Some(trial), Some(counts)) = (&self.trial, self.dispatcher.counts()) else {
            return plain(StatusCode::NOT_FOUND, "no statistics are kept: rollout is not configured");
        };
        let now = self.dispatcher.clock.now();
        let mut told = counts.to_json(now, after);
        let (memory, descriptors, cpu) = counts::process_usage();
        let (leader, list) = (trial.leader(), self.dispatcher.load().3);
        let on = trial.on.borrow().as_ref().map(|on| {
            let left = on.until.saturating_duration_since(Instant::now()).as_millis() as u64;
            json!({"former": on.former, "left_ms": left})
        });
        let state = match () {
            () if self.stop.stopping() => "stopping",
            () if !self.dispatcher.has_list() || !self.peer.ready() => "joining",
            () if self.stop.drained() => "sent away",
            () if self.stop.succeeded() => "succeeded",
            () => "serving",
        };
        let more = json!({
            "name": self.name, "build": build(), "words": self.words, "state": state,
            "settings": format!("{:016x}", self.digest.get()), "life": self.dispatcher.clock.process_start().0, "now_us": now.0,
            "list": list, "memory_kb": memory, "descriptors": descriptors, "cpu_ms": cpu,
            "pid": std::process::id(), "term": leader.term, "leader": leader.by, "trial": on, "lapsed": trial.lapsed.get(),
        });
        if let (Value::Object(told), Value::Object(more)) = (&mut told, more) {
            told.extend(more);
        }
        as_json(&told)
    }

    fn sites(&self) -> Reply {
        match &self.sites {
            None => plain(StatusCode::NOT_FOUND, "no site failover plan is configured"),
            Some(sites) => as_json(&sites.to_json()),
        }
    }

    fn site(&self, name: &str, word: &str) -> Reply {
        let Some(sites) = &self.sites else { return self.sites() };
        match sites.set_override(name, word) {
            Some(now) => {
                note!("admin: {now}");
                plain(StatusCode::OK, &now)
            }
            None => plain(
                StatusCode::NOT_FOUND,
                "the site is not in the plan, or the action is not one of lost, hold and free",
            ),
        }
    }

    async fn settings(&self) -> Reply {
        let Some(trial) = &self.trial else {
            return plain(StatusCode::NOT_FOUND, "rollout is not configured");
        };
        match trial.ask(Word::Tell).await {
            Ok(settings) => as_json(&serde_json::from_str(&settings).unwrap_or_default()),
            Err((status, why)) => plain(status, &why),
        }
    }

    async fn rollout(&self, body: &[u8]) -> Reply {
        let Some(trial) = &self.trial else {
            return plain(StatusCode::NOT_FOUND, "rollout is not configured");
        };
        if self.stop.stopping() || self.stop.succeeded() {
            return plain(StatusCode::SERVICE_UNAVAILABLE, "this process is stopping or has been succeeded");
        }
        match trial.told(body).await {
            Ok(now) => plain(StatusCode::OK, &now),
            Err((status, why)) => plain(status, &why),
        }
    }

    fn ready(&self) -> Reply {
        match () {
            () if self.stop.stopping() => plain(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
            () if !self.dispatcher.has_list() => {
                plain(StatusCode::SERVICE_UNAVAILABLE, "not ready: no list of backends yet")
            }
            () if !self.peer.ready() => {
                plain(StatusCode::SERVICE_UNAVAILABLE, "not ready: the old process has the connections")
            }
            () if self.stop.drained() => plain(StatusCode::OK, "ready; clients are sent away"),
            () if self.stop.succeeded() => {
                plain(StatusCode::OK, "ready; a new process takes the connections")
            }
            () => plain(StatusCode::OK, "ready"),
        }
    }

    /// Accepts requests for as long as the process lives.
    pub async fn run(self: Rc<Admin>, listener: TcpListener) {
        let callers: Rc<RefCell<Slab<Rc<Caller>>>> = Rc::default();
        let left = Rc::new(Notify::new());
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    note!("admin: accept: {error}");
                    sleep(self.limits.accept_pause).await;
                    continue;
                }
            };
            // At the limit, the oldest connection without a complete request is closed: a complete one is
            // answered at once.
            while callers.borrow().len() >= self.limits.admin_sockets {
                if let Some(oldest) = oldest(&callers.borrow()) {
                    oldest.go.notify_one();
                }
                left.notified().await;
            }
            let (came, heard, go) = (Instant::now(), Cell::new(false), Notify::new());
            let caller = Rc::new(Caller { came, heard, go });
            let key = callers.borrow_mut().insert(caller.clone());
            let (admin, callers, left) = (self.clone(), callers.clone(), left.clone());
            tokio::task::spawn_local(async move {
                admin.attend(stream, caller).await;
                callers.borrow_mut().remove(key);
                left.notify_one();
            });
        }
    }

    async fn attend(self: Rc<Admin>, stream: TcpStream, caller: Rc<Caller>) {
        let mut builder = http1::Builder::new();
        builder.keep_alive(false).max_buf_size(self.limits.head_bytes);
        let wait = self.limits.admin_wait;
        let heard = caller.clone();
        let service = TowerToHyperService::new(service_fn(move |request| {
            let (admin, caller) = (self.clone(), heard.clone());
            async move { Ok::<_, Infallible>(admin.answer(&caller, request).await) }
        }));
        let stream = Transport::new(stream);
        let connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
        tokio::select! {
            _ = connection => {}
            () = caller.go.notified() => {}
            () = sleep(wait) => {}
        }
    }
}

fn as_json(value: &Value) -> Reply {
    let mut reply = plain(StatusCode::OK, &value.to_string());
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

/// The oldest connection whose request was not received completely.
fn oldest(callers: &Slab<Rc<Caller>>) -> Option<Rc<Caller>> {
    let silent = callers.iter().map(|(_, caller)| caller).filter(|caller| !caller.heard.get());
    silent.min_by_key(|caller| caller.came).cloned()
}
