//! What a client sends: routes it, reads a command's head and body, and refuses what is not one.

use crate::bodies::{Start, Unread};
use crate::cargo::{Cargo, Load, TIME_LEFT};
use crate::guests::Guest;
use crate::list::mark;
use crate::node::Node;
use crate::reply::{onward, plain, turn_back, Reply};
use crate::serve::serve;
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, StatusCode};
use std::cell::RefCell;
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tower::Service;
use yarrowfront::command::Command;
use yarrowfront::ids::CommandId;
use yarrowfront::settings::Idempotency;
use yarrowfront::times::Micros;

const ID: &str = "x-correlation-id";
const PROFILE: &str = "x-service-class";
const TAG: &str = "idempotency-key";
const HINT: &str = "x-weight-hint";
const REPEAT: &str = "x-repeat";
const FACTS: &str = "x-facts";

/// The node as a service: one for each connection.
#[derive(Clone)]
pub struct Intake {
    pub node: Rc<Node>,
    pub guest: Rc<Guest>,
}

impl Service<Request<Incoming>> for Intake {
    type Response = Reply;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Reply, Infallible>>>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let Intake { node, guest } = self.clone();
        let clear = guest.head();
        let open = guest.open();
        Box::pin(async move {
            let mut reply = match clear {
                true => node.answer(&guest, request).await,
                false => plain(StatusCode::BAD_REQUEST, "two lengths"),
            };
            // Where a client got one thing wrong, what stands behind it may be anything.
            let wrong = reply.status().is_client_error();
            if wrong || guest.crowded(&node.limits) || node.stop.leaving() {
                reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            drop(open);
            Ok(reply)
        })
    }
}

impl Node {
    async fn answer(&self, guest: &Rc<Guest>, request: Request<Incoming>) -> Reply {
        match request.uri().path() {
            "/up" if request.method() == Method::GET => {
                return match self.stop.leaving() || !self.desk.told() {
                    true => plain(StatusCode::SERVICE_UNAVAILABLE, "not taking commands"),
                    false => plain(StatusCode::OK, "up"),
                };
            }
            "/api" => {}
            path if path.starts_with("/api/") => {}
            _ => return plain(StatusCode::NOT_FOUND, "no such path"),
        }
        let mut command = match self.command(request.method(), request.headers()) {
            Ok(command) => command,
            Err(why) => return plain(StatusCode::BAD_REQUEST, &why),
        };
        let left = command.deadline.since(command.arrived_at);
        let (head, body) = request.into_parts();
        // At a stop what is still to come then would not be answered in time.
        let given_up = self.stop.past(self.limits.idle_on);
        let body = match self.room.read(body, self.limits.commands, given_up).await {
            Ok(body) => body,
            Err(Unread::TooLarge) => return plain(StatusCode::PAYLOAD_TOO_LARGE, "body too large"),
            Err(Unread::Broken) => return plain(StatusCode::BAD_REQUEST, "body broken off"),
            // It was never launched: a turn-back is true.
            Err(Unread::NoRoom) => return plain(StatusCode::SERVICE_UNAVAILABLE, "too many bytes held"),
            Err(Unread::GivenUp) => return plain(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
            Err(Unread::Late) => return plain(StatusCode::REQUEST_TIMEOUT, "body not here in time"),
        };
        // Taken from here on: now nothing closes its connection before its answer is out.
        let busy = guest.busy();
        if guest.full(&self.limits) {
            // It was never launched: a turn-back is true.
            return plain(StatusCode::SERVICE_UNAVAILABLE, "too many commands");
        }
        let ticket = match &self.sites {
            None => None,
            Some(sites) => {
                let names = self.desk.names();
                let known = names.known(command.profile).map(|(name, profile)| (name, profile.goal_time));
                match known.map_or(Ok(None), |(name, goal)| sites.ask(name, goal, guest.came)) {
                    Ok(ticket) => ticket,
                    // It was never launched: a turn-back is true.
                    Err(span) => return turn_back(span),
                }
            }
        };
        // Its time counts from its last byte; from here if that is still to come, and again from there.
        command.arrived_at = self.desk.clock.now();
        command.deadline = command.arrived_at + left;
        let path = head.uri.path_and_query().cloned().unwrap_or_else(|| PathAndQuery::from_static("/api"));
        let id = head.headers[ID].clone();
        let (method, headers) = (head.method, onward(head.headers));
        let mut _cut = None;
        let body = match body {
            Start::Whole(body) => Load::Whole(body),
            Start::Flows(mut flow) => {
                flow.patience(self.limits.body_silent, true);
                command.is_body_incomplete = true;
                // hyper drops this future with the connection, and the rest of the body with it.
                _cut = Some(flow.cut());
                guest.look.notify_one();
                Load::Flows(RefCell::new(Some(flow)))
            }
        };
        let cargo = Rc::new(Cargo { method, uri: path.into(), headers, body });
        serve(self, command, id, cargo, (busy, ticket)).await
    }

    /// The few fields that the decisions need.
    fn command(&self, method: &Method, headers: &HeaderMap) -> Result<Command, String> {
        let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok()).map(str::trim);
        if text(ID).is_none_or(str::is_empty) || headers.get_all(ID).iter().count() != 1 {
            return Err(format!("{ID} is missing, or there are more of them"));
        }
        let name = text(PROFILE).ok_or_else(|| format!("{PROFILE} is missing"))?;
        let names = self.desk.names();
        let (profile, by) = names.profile(name).ok_or_else(|| format!("{PROFILE} is unknown"))?;
        if method != Method::GET && method != Method::POST {
            return Err("only GET and POST are commands".into());
        }
        // Without its tag a repeat would not be known as one.
        if by.idempotency == Idempotency::ByKey && text(TAG).is_none_or(str::is_empty) {
            return Err(format!("{TAG} is missing"));
        }
        let left = text(TIME_LEFT).ok_or_else(|| format!("{TIME_LEFT} is missing"))?;
        let left: u64 = left.parse().map_err(|_| format!("{TIME_LEFT} is not whole milliseconds"))?;
        let left = Duration::from_millis(left).min(self.limits.longest_command);
        let now = self.desk.clock.now();
        let mut command = Command::new(CommandId(0), profile, now, Micros(left.as_micros() as u64));
        // A guess that cannot be read is none.
        command.work_hint = text(HINT).and_then(|h| h.parse().ok()).map(Micros);
        command.is_client_retry = text(REPEAT) == Some("1");
        command.affinity_key = text(FACTS).map_or(0, key);
        Ok(command)
    }
}

/// What the command is about, of its further facts (`name=value,name=value`): the same number for the same key
/// at every node; 0 where there is none.
fn key(facts: &str) -> u64 {
    let pairs = facts.split(',').filter_map(|pair| pair.split_once('='));
    let key = pairs.filter(|(name, _)| name.trim() == "nameKey").map(|(_, value)| value.trim()).next();
    key.filter(|key| !key.is_empty() && *key != "0").map_or(0, |key| mark(key).max(1))
}

#[cfg(test)]
mod tests {
    use super::key;

    /// Nodes that read another key, or none, would each go their own way with it.
    #[test]
    fn keys_among_the_facts() {
        let same = key("nameKey=5c0f");
        assert_ne!(same, 0);
        for facts in ["nameKey=5c0f", "size=3, nameKey = 5c0f", "nameKey=5c0f,nameKey=6"] {
            assert_eq!(key(facts), same, "{facts}");
        }
        for facts in ["", "nameKey", "nameKey=", "nameKey=0", "namekeys=5c0f", "a=b"] {
            assert_eq!(key(facts), 0, "{facts}");
        }
    }
}
