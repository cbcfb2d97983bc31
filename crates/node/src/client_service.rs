//! The service that handles client requests: routes them, reads a command's head and body, and rejects
//! invalid requests.

use crate::bodies::{ReadBody, ReadError};
use crate::client_connections::ClientConnection;
use crate::launch_types::{OutboundRequest, RequestBody, StreamingBody, TIME_LEFT_HEADER};
use crate::list::stable_hash;
use crate::log::{log, ShownId};
use crate::metrics::{count, Counter};
use crate::node::Node;
use crate::reply::{forwarded_headers, rejection, text_reply, Reply};
use crate::serve::{serve, ClientGuards};
use hyper::body::Incoming;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, StatusCode};
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

const CORRELATION_ID_HEADER: &str = "x-correlation-id";
const PROFILE_HEADER: &str = "x-service-class";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const WEIGHT_HINT_HEADER: &str = "x-weight-hint";
const REPEAT_HEADER: &str = "x-repeat";
const FACTS_HEADER: &str = "x-facts";

/// The node as a `tower` service; each connection has its own.
#[derive(Clone)]
pub struct ClientService {
    pub node: Rc<Node>,
    pub client: Rc<ClientConnection>,
}

impl Service<Request<Incoming>> for ClientService {
    type Response = Reply;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Reply, Infallible>>>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let ClientService { node, client } = self.clone();
        let is_unambiguous = client.record_head();
        let request_guard = client.begin_request();
        Box::pin(async move {
            let mut reply = match is_unambiguous {
                true => node.answer(&client, request).await,
                false => {
                    count(Counter::RefusedInvalid);
                    text_reply(StatusCode::BAD_REQUEST, "two lengths")
                }
            };
            // After a client error the boundaries of what follows on the connection cannot be trusted.
            let is_client_error = reply.status().is_client_error();
            if is_client_error
                || client.exceeds_kept_connections(&node.limits)
                || node.lifecycle.is_closing_connections()
            {
                reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            drop(request_guard);
            Ok(reply)
        })
    }
}

impl Node {
    async fn answer(&self, client: &Rc<ClientConnection>, request: Request<Incoming>) -> Reply {
        match request.uri().path() {
            "/up" if request.method() == Method::GET => {
                return match self.lifecycle.is_closing_connections() || !self.dispatcher.has_list() {
                    true => text_reply(StatusCode::SERVICE_UNAVAILABLE, "not taking commands"),
                    false => text_reply(StatusCode::OK, "up"),
                };
            }
            "/api" => {}
            path if path.starts_with("/api/") => {}
            _ => return text_reply(StatusCode::NOT_FOUND, "no such path"),
        }
        let mut command = match self.parse_command(request.method(), request.headers()) {
            Ok(command) => command,
            Err(reason) => {
                count(Counter::RefusedInvalid);
                return text_reply(StatusCode::BAD_REQUEST, &reason);
            }
        };
        let time_left = command.deadline.since(command.arrived_at);
        let (head, body) = request.into_parts();
        let id = head.headers[CORRELATION_ID_HEADER].clone();
        // During a stop the rest of the body would arrive too late for an answer.
        let stopped = self.lifecycle.wait_until_stopped_for(self.limits.keep_idle_after_stop);
        let body = match self.body_memory.read_request(body, self.limits.request_bodies, stopped).await {
            Ok(body) => body,
            Err(error) => return refuse_unread(&id, error),
        };
        // From here on the command is accepted, and its connection is not closed before the answer is
        // written.
        let command_guard = client.begin_command();
        if client.exceeds_command_limit(&self.limits) {
            // No launch was made, so the command certainly has not run.
            count(Counter::RefusedTooManyCommands);
            log!("command {}: refused: too many commands", ShownId(&id));
            return text_reply(StatusCode::SERVICE_UNAVAILABLE, "too many commands");
        }
        let ticket = match &self.sites {
            None => None,
            Some(sites) => {
                let names = self.dispatcher.names();
                let profile_goal =
                    names.definition(command.profile).map(|(name, profile)| (name, profile.goal_time));
                match profile_goal
                    .map_or(Ok(None), |(name, goal)| sites.admit(name, goal, client.accepted_at))
                {
                    Ok(ticket) => ticket,
                    // No launch was made, so the command certainly has not run.
                    Err(retry_after) => {
                        count(Counter::RefusedBySite);
                        log!("command {}: refused by the site failover plan", ShownId(&id));
                        return rejection(retry_after);
                    }
                }
            }
        };
        // The command's time counts from its last byte, which may have waited in the kernel. If the body is
        // incomplete, it counts anew from the last byte.
        command.arrived_at = self.dispatcher.clock.timestamp(client.arrival.earliest_end());
        command.deadline = command.arrived_at + time_left;
        let path = head.uri.path_and_query().cloned().unwrap_or_else(|| PathAndQuery::from_static("/api"));
        let (method, headers) = (head.method, forwarded_headers(head.headers));
        let mut cut_guard = None;
        let body = match body {
            ReadBody::Buffered(body) => RequestBody::Buffered(body),
            ReadBody::Streaming(mut stream) => {
                stream.set_timeout(self.limits.client_silence, true);
                command.is_body_incomplete = true;
                // When the connection closes, hyper drops this future, or the answer, together with the rest of the body.
                cut_guard = Some(stream.cut_guard());
                client.recheck.notify_one();
                RequestBody::Streaming(Box::new(StreamingBody::new(
                    stream,
                    client.arrival.clone(),
                    Duration::from_micros(time_left.0),
                    self.limits.client_silence,
                )))
            }
        };
        let outbound = Rc::new(OutboundRequest { method, uri: path.into(), headers, body });
        let guards = ClientGuards { command: command_guard, ticket, cut: cut_guard };
        serve(self, command, id, outbound, guards).await
    }

    /// Parses the few header fields that the balancer's decisions need.
    fn parse_command(&self, method: &Method, headers: &HeaderMap) -> Result<Command, String> {
        let header = |name: &str| headers.get(name).and_then(|v| v.to_str().ok()).map(str::trim);
        if header(CORRELATION_ID_HEADER).is_none_or(str::is_empty)
            || headers.get_all(CORRELATION_ID_HEADER).iter().count() != 1
        {
            return Err(format!("{CORRELATION_ID_HEADER} is missing, or there are more of them"));
        }
        let name = header(PROFILE_HEADER).ok_or_else(|| format!("{PROFILE_HEADER} is missing"))?;
        let names = self.dispatcher.names();
        let (profile, definition) =
            names.find_profile(name).ok_or_else(|| format!("{PROFILE_HEADER} is unknown"))?;
        if method != Method::GET && method != Method::POST {
            return Err("only GET and POST are commands".into());
        }
        // Without its key a repeat could not be recognized as one.
        if definition.idempotency == Idempotency::ByKey
            && header(IDEMPOTENCY_KEY_HEADER).is_none_or(str::is_empty)
        {
            return Err(format!("{IDEMPOTENCY_KEY_HEADER} is missing"));
        }
        let time_left = header(TIME_LEFT_HEADER).ok_or_else(|| format!("{TIME_LEFT_HEADER} is missing"))?;
        let time_left: u64 =
            time_left.parse().map_err(|_| format!("{TIME_LEFT_HEADER} is not whole milliseconds"))?;
        let time_left = Duration::from_millis(time_left).min(self.limits.max_command_time);
        let now = self.dispatcher.clock.now();
        let mut command = Command::new(CommandId(0), profile, now, Micros(time_left.as_micros() as u64));
        // A hint that cannot be parsed is ignored.
        command.work_hint = header(WEIGHT_HINT_HEADER).and_then(|h| h.parse().ok()).map(Micros);
        command.is_client_retry = header(REPEAT_HEADER) == Some("1");
        command.affinity_key = header(FACTS_HEADER).map_or(0, affinity_key);
        Ok(command)
    }
}

/// The reply to a request whose body was not read to its end. No launch was made, so it certainly has not run.
fn refuse_unread(id: &HeaderValue, error: ReadError) -> Reply {
    let (counter, status, text) = match error {
        ReadError::TooLarge => (Counter::RefusedInvalid, StatusCode::PAYLOAD_TOO_LARGE, "body too large"),
        ReadError::Broken => (Counter::RefusedInvalid, StatusCode::BAD_REQUEST, "body broken off"),
        ReadError::BudgetExhausted => {
            (Counter::RefusedBodyMemory, StatusCode::SERVICE_UNAVAILABLE, "too many bytes held")
        }
        ReadError::Abandoned => (Counter::RefusedStopping, StatusCode::SERVICE_UNAVAILABLE, "stopping"),
        ReadError::TooSlow => {
            (Counter::RefusedBodySlow, StatusCode::REQUEST_TIMEOUT, "body not here in time")
        }
    };
    count(counter);
    log!("command {}: refused: {text}", ShownId(id));
    text_reply(status, text)
}

/// A hash of the `nameKey` among the command's further facts (`name=value,name=value`). It is the same at
/// every node for the same key; 0 means that there is no key.
fn affinity_key(facts: &str) -> u64 {
    let pairs = facts.split(',').filter_map(|pair| pair.split_once('='));
    let key = pairs.filter(|(name, _)| name.trim() == "nameKey").map(|(_, value)| value.trim()).next();
    key.filter(|key| !key.is_empty() && *key != "0").map_or(0, |key| stable_hash(key).max(1))
}

#[cfg(test)]
mod tests {
    use super::affinity_key;

    /// If nodes parsed different keys from the same header, or none, they would send related commands to
    /// different backends.
    #[test]
    fn name_key_is_parsed_from_facts() {
        let same = affinity_key("nameKey=5c0f");
        assert_ne!(same, 0);
        for facts in ["nameKey=5c0f", "size=3, nameKey = 5c0f", "nameKey=5c0f,nameKey=6"] {
            assert_eq!(affinity_key(facts), same, "{facts}");
        }
        for facts in ["", "nameKey", "nameKey=", "nameKey=0", "namekeys=5c0f", "a=b"] {
            assert_eq!(affinity_key(facts), 0, "{facts}");
        }
    }
}
