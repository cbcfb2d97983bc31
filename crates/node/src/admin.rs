//! The admin listener for operators: one request per connection, answered with one line about the new state.
//! A request that is answered with success has already taken effect.

use crate::admin_request::{parse_request, AdminRequest, RequestError};
use crate::config::build;
use crate::counts;
use crate::dispatcher::Dispatcher;
use crate::fleet::Fleet;
use crate::handover::Peer;
use crate::lifecycle::Lifecycle;
use crate::limits::Limits;
use crate::log::log;
use crate::metrics;
use crate::reply::{text_reply, Reply};
use crate::sites::Sites;
use crate::transport::Transport;
use crate::trial::{Trial, TrialAction};
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
struct AdminConnection {
    accepted_at: Instant,
    /// The request was received completely.
    is_request_complete: Cell<bool>,
    /// Notified to close the connection.
    close: Notify,
}

/// What the requests are answered from.
pub struct Admin {
    pub dispatcher: Rc<Dispatcher>,
    pub lifecycle: Rc<Lifecycle>,
    pub limits: Rc<Limits>,
    pub peer: Rc<Peer>,
    pub fleet: Option<Rc<Fleet>>,
    pub trial: Option<Rc<Trial>>,
    pub sites: Option<Rc<Sites>>,
    /// The digest of the settings in force.
    pub settings_digest: Rc<Cell<u64>>,
    pub name: String,
    /// The protocols that this build speaks with others, with their versions.
    pub protocol_versions: String,
}

impl Admin {
    async fn answer(&self, connection_state: &AdminConnection, request: Request<Incoming>) -> Reply {
        let (head, body) = request.into_parts();
        // Only a rollout request has a body. Any other body is read too, because closing the connection with
        // unread data would lose the answer.
        let max_body_bytes =
            self.trial.as_ref().filter(|_| head.uri.path() == "/rollout").map(|t| t.config.settings_bytes);
        let body = Limited::new(body, max_body_bytes.unwrap_or(self.limits.max_admin_body_bytes));
        let Ok(body) = body.collect().await else {
            return text_reply(StatusCode::PAYLOAD_TOO_LARGE, "a call has no body, or not so large a one");
        };
        connection_state.is_request_complete.set(true);
        match parse_request(&head.method, head.uri.path()) {
            Ok(AdminRequest::Rollout) => self.rollout(&body.to_bytes()).await,
            Ok(admin_request) => self.execute_request(admin_request).await,
            Err(RequestError::NoSuchPath) => text_reply(StatusCode::NOT_FOUND, "no such call"),
            Err(RequestError::Method(expected_method)) => {
                let mut reply =
                    text_reply(StatusCode::METHOD_NOT_ALLOWED, &format!("this takes {expected_method}"));
                reply.headers_mut().insert(ALLOW, HeaderValue::from_static(expected_method));
                reply
            }
        }
    }

    async fn execute_request(&self, admin_request: AdminRequest) -> Reply {
        match admin_request {
            AdminRequest::Ready => return self.ready(),
            AdminRequest::Fleet { plain } => return self.fleet(plain),
            AdminRequest::Counts { after } => return self.counts(after),
            AdminRequest::Metrics => return text_reply(StatusCode::OK, metrics::to_text().trim_end()),
            AdminRequest::Settings => return self.settings().await,
            AdminRequest::Sites => return self.sites(),
            AdminRequest::Site { name, action } => return self.site(&name, &action),
            _ => {}
        }
        match admin_request.execute(&self.dispatcher, &self.lifecycle) {
            Some(new_state) => {
                // If there are two processes, both have applied it before the success is reported.
                self.peer.forward_request(&admin_request).await;
                log!("admin: {new_state}");
                text_reply(StatusCode::OK, &new_state)
            }
            None => {
                log!("admin: {admin_request:?}: this backend was never listed");
                text_reply(StatusCode::NOT_FOUND, "no backend of this name was ever listed")
            }
        }
    }

    fn fleet(&self, as_text: bool) -> Reply {
        match &self.fleet {
            None => text_reply(StatusCode::NOT_FOUND, "no view of the fleet is kept here"),
            Some(fleet) if as_text => text_reply(StatusCode::OK, fleet.to_text().trim_end()),
            Some(fleet) => json_reply(&fleet.to_json()),
        }
    }

    /// The node's statistics, the digest of its settings, and its resource usage.
    fn counts(&self, after: u64) -> Reply {
        let (Some(trial), Some(counts)) = (&self.trial, self.dispatcher.counts()) else {
            return text_reply(StatusCode::NOT_FOUND, "nothing is counted here");
        };
        let now = self.dispatcher.clock.now();
        let mut json = counts.to_json(now, after);
        let (memory, descriptors, cpu) = counts::process_usage();
        let (leader, list) = (trial.leader(), self.dispatcher.load().3);
        let active = trial.active.borrow().as_ref().map(|active| {
            let remaining_ms = active.expires_at.saturating_duration_since(Instant::now()).as_millis() as u64;
            json!({"former": active.former_digest, "left_ms": remaining_ms})
        });
        let state = match () {
            () if self.lifecycle.is_stopping() => "stopping",
            () if !self.dispatcher.has_list() || !self.peer.is_ready() => "joining",
            () if self.lifecycle.is_draining() => "sent away",
            () if self.lifecycle.has_successor() => "succeeded",
            () => "serving",
        };
        let node_state = json!({
            "name": self.name, "build": build(), "words": self.protocol_versions, "state": state,
            "settings": format!("{:016x}", self.settings_digest.get()), "life": self.dispatcher.clock.process_start().0, "now_us": now.0,
            "list": list, "memory_kb": memory, "descriptors": descriptors, "cpu_ms": cpu,
            "pid": std::process::id(), "term": leader.term, "leader": leader.name, "trial": active, "lapsed": trial.expired.get(),
        });
        if let (Value::Object(json), Value::Object(node_state)) = (&mut json, node_state) {
            json.extend(node_state);
        }
        json_reply(&json)
    }

    fn sites(&self) -> Reply {
        match &self.sites {
            None => text_reply(StatusCode::NOT_FOUND, "no plan for the loss of sites is gone by here"),
            Some(sites) => json_reply(&sites.to_json()),
        }
    }

    fn site(&self, name: &str, action: &str) -> Reply {
        let Some(sites) = &self.sites else { return self.sites() };
        match sites.set_override(name, action) {
            Some(new_state) => {
                log!("admin: {new_state}");
                text_reply(StatusCode::OK, &new_state)
            }
            None => {
                text_reply(StatusCode::NOT_FOUND, "no such site in the plan, or none of lost, hold and free")
            }
        }
    }

    async fn settings(&self) -> Reply {
        let Some(trial) = &self.trial else {
            return text_reply(StatusCode::NOT_FOUND, "no settings are told here");
        };
        match trial.submit(TrialAction::GetSettings).await {
            Ok(settings) => json_reply(&serde_json::from_str(&settings).unwrap_or_default()),
            Err((status, reason)) => text_reply(status, &reason),
        }
    }

    async fn rollout(&self, body: &[u8]) -> Reply {
        let Some(trial) = &self.trial else {
            return text_reply(StatusCode::NOT_FOUND, "no rolling change is taken part in here");
        };
        if self.lifecycle.is_stopping() || self.lifecycle.has_successor() {
            return text_reply(StatusCode::SERVICE_UNAVAILABLE, "this process is going");
        }
        match trial.handle(body).await {
            Ok(new_state) => text_reply(StatusCode::OK, &new_state),
            Err((status, reason)) => text_reply(status, &reason),
        }
    }

    fn ready(&self) -> Reply {
        match () {
            () if self.lifecycle.is_stopping() => text_reply(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
            () if !self.dispatcher.has_list() => {
                text_reply(StatusCode::SERVICE_UNAVAILABLE, "not ready: no list of backends yet")
            }
            () if !self.peer.is_ready() => {
                text_reply(StatusCode::SERVICE_UNAVAILABLE, "not ready: the old process has the connections")
            }
            () if self.lifecycle.is_draining() => text_reply(StatusCode::OK, "ready; clients are sent away"),
            () if self.lifecycle.has_successor() => {
                text_reply(StatusCode::OK, "ready; a new process takes the connections")
            }
            () => text_reply(StatusCode::OK, "ready"),
        }
    }

    /// Accepts requests for as long as the process lives.
    pub async fn run(self: Rc<Admin>, listener: TcpListener) {
        let connections: Rc<RefCell<Slab<Rc<AdminConnection>>>> = Rc::default();
        let connection_closed = Rc::new(Notify::new());
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log!("admin: accept: {error}");
                    sleep(self.limits.accept_retry_pause).await;
                    continue;
                }
            };
            // At the limit, the oldest connection without a complete request is closed: a complete one is
            // answered at once.
            while connections.borrow().len() >= self.limits.max_admin_connections {
                if let Some(oldest_incomplete) = oldest_incomplete(&connections.borrow()) {
                    oldest_incomplete.close.notify_one();
                }
                connection_closed.notified().await;
            }
            let (accepted_at, is_request_complete, close) = (Instant::now(), Cell::new(false), Notify::new());
            let connection_state = Rc::new(AdminConnection { accepted_at, is_request_complete, close });
            let key = connections.borrow_mut().insert(connection_state.clone());
            let (admin, connections, connection_closed) =
                (self.clone(), connections.clone(), connection_closed.clone());
            tokio::task::spawn_local(async move {
                admin.serve_connection(stream, connection_state).await;
                connections.borrow_mut().remove(key);
                connection_closed.notify_one();
            });
        }
    }

    async fn serve_connection(self: Rc<Admin>, stream: TcpStream, connection_state: Rc<AdminConnection>) {
        let mut builder = http1::Builder::new();
        builder.keep_alive(false).max_buf_size(self.limits.max_head_bytes);
        let wait = self.limits.admin_timeout;
        let is_request_complete = connection_state.clone();
        let service = TowerToHyperService::new(service_fn(move |request| {
            let (admin, connection_state) = (self.clone(), is_request_complete.clone());
            async move { Ok::<_, Infallible>(admin.answer(&connection_state, request).await) }
        }));
        let stream = Transport::new(stream);
        let connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
        tokio::select! {
            _ = connection => {}
            () = connection_state.close.notified() => {}
            () = sleep(wait) => {}
        }
    }
}

fn json_reply(value: &Value) -> Reply {
    let mut reply = text_reply(StatusCode::OK, &value.to_string());
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

/// The oldest connection whose request was not received completely.
fn oldest_incomplete(connections: &Slab<Rc<AdminConnection>>) -> Option<Rc<AdminConnection>> {
    let silent = connections
        .iter()
        .map(|(_, connection_state)| connection_state)
        .filter(|connection_state| !connection_state.is_request_complete.get());
    silent.min_by_key(|connection_state| connection_state.accepted_at).cloned()
}
