//! One launch: sends a command to one backend and determines the outcome.

use crate::bodies::{OutgoingBody, ReadBody};
use crate::body_stream::StreamEnd;
use crate::dispatcher::Dispatcher;
use crate::guard::{self, LaunchFacts};
use crate::launch_types::{
    BackendAnswer, LaunchControl, LaunchResult, OutboundRequest, RequestBody, TIME_LEFT_HEADER,
};
use crate::log::log;
use crate::metrics::{count, Counter};
use crate::pool::{Exchange, LeaseError, Pool};
use crate::probe;
use crate::reply::forwarded_headers;
use crate::request_arrival::Overdue;
use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{sleep_until, timeout_at, Instant};
use tower::Service;
use yarrowfront::command::Outcome;
use yarrowfront::ids::{BackendId, CommandHandle};
use yarrowfront::times::Timestamp;

const UNPROCESSED_HEADER: &str = "x-unprocessed";
const BACKEND_LOAD_HEADER: &str = "x-backend-load";

/// A long answer begins to be passed on this long before its client's time is over at the latest.
const BEGIN_BEFORE_DEADLINE: Duration = Duration::from_millis(20);

/// The clock goes on between two readings of it.
const TELL_TOLERANCE: Duration = Duration::from_millis(1);

/// One launch of a command, addressed to a backend.
pub struct Launch {
    pub outbound: Rc<OutboundRequest>,
    pub handle: CommandHandle,
    pub number: u8,
    pub backend: BackendId,
    pub address: Option<SocketAddr>,
    /// When the client's deadline ends; for a body that is still streaming, the time that is left is counted
    /// from its last byte.
    pub deadline: Timestamp,
    pub control: Rc<LaunchControl>,
}

/// A `tower` service that carries out launches.
#[derive(Clone)]
pub struct Launcher {
    pub pool: Rc<Pool>,
    pub dispatcher: Rc<Dispatcher>,
    /// How long after its client's time an answer that has begun may still come to its end.
    pub late_answer_allowance: Duration,
}

impl Service<Launch> for Launcher {
    type Response = LaunchResult;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<LaunchResult, Infallible>>>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, launch: Launch) -> Self::Future {
        let launcher = self.clone();
        Box::pin(async move {
            let result = launcher.run(launch).await;
            if result.outcome == Outcome::NotSent {
                count(Counter::LaunchesNotSent);
            }
            if !matches!(result.outcome, Outcome::Finished | Outcome::Full) {
                let name = launcher.dispatcher.backend_name(result.backend);
                log!("launch: {name}: {}", outcome_text(result.outcome));
            }
            Ok(result)
        })
    }
}

impl Launcher {
    async fn run(&self, launch: Launch) -> LaunchResult {
        let (number, backend) = (launch.number, launch.backend);
        let mut result = LaunchResult::without_answer(number, backend, Outcome::NotSent);
        let deadline = self.dispatcher.clock.instant(launch.deadline);
        // A streaming body that was already consumed must not be sent as an empty one.
        let Some(address) = launch.address.filter(|_| !launch.outbound.is_body_consumed()) else {
            return result;
        };
        let stream_end: Rc<Cell<Option<StreamEnd>>> = Rc::default();
        let mut request = self.build_request(&launch, &stream_end);
        loop {
            // Waiting for a connection ends when the launch may no longer be written.
            let write_deadline = self
                .dispatcher
                .clock
                .instant(self.dispatcher.launch_valid_until(launch.handle, number).min(launch.deadline));
            let lease = match timeout_at(write_deadline, self.pool.lease(backend, address)).await {
                Ok(Ok(lease)) => lease,
                Ok(Err(LeaseError::ConnectFailed)) => {
                    result.outcome = Outcome::ConnectFailed;
                    return_body(&launch, request);
                    return result;
                }
                // No socket was available, or the time ran out during the connect: this says nothing about
                // the backend.
                Ok(Err(LeaseError::NoSocket)) | Err(_) => {
                    return_body(&launch, request);
                    return result;
                }
            };
            // Check once more: the conditions under which the launch was placed may have changed while it
            // waited for a connection, or while a pooled connection turned out to be closed.
            let is_at_address = self.dispatcher.address(backend) == Some(address);
            let facts = self.dispatcher.launch_facts(launch.handle, number);
            let now = facts.as_ref().map_or_else(|| self.dispatcher.clock.now(), |facts| facts.now);
            let is_still_valid = now < self.dispatcher.launch_valid_until(launch.handle, number);
            if launch.control.is_cancelled() || !is_at_address || !is_still_valid {
                // The connection is already open, so it goes to the pool. If its backend is no longer
                // listed, the sweep closes it.
                self.pool.give_back(backend, lease);
                return_body(&launch, request);
                return result;
            }
            if let Some(violation) = facts.as_ref().and_then(LaunchFacts::violation) {
                let name = self.dispatcher.backend_name(backend);
                guard::report(violation, &format!("launch {number} to {name}, {facts:?}"));
                self.pool.give_back(backend, lease);
                return_body(&launch, request);
                return result;
            }
            launch.control.set_may_be_written(true);
            // The time left is set just before the write. When it was set before the wait for a connection,
            // it promised the backend time that the client no longer had. For a streaming body it counts
            // from the last byte.
            let remaining = match launch.outbound.streaming_body() {
                Some(body) => body.time_left(),
                None => Duration::from_micros(launch.deadline.since(self.dispatcher.clock.now()).0),
            };
            let client_deadline = facts.and_then(|facts| facts.deadline);
            let remaining = match client_deadline {
                Some(deadline) => {
                    let left = deadline.since(self.dispatcher.clock.now());
                    guard::time_to_tell(remaining, Duration::from_micros(left.0) + TELL_TOLERANCE)
                }
                None => remaining,
            };
            let remaining_ms = remaining.as_millis() as u64;
            request.headers_mut().insert(TIME_LEFT_HEADER, HeaderValue::from(remaining_ms));
            let deadline_passed = wait_out_of_time(&launch.outbound, deadline);
            let begin_by = || Some(launch.outbound.deadline_or(deadline) - BEGIN_BEFORE_DEADLINE);
            let exchange = self.pool.exchange(backend, lease, request, begin_by);
            let exchange_result = tokio::select! {
                biased;
                exchange_result = exchange => exchange_result,
                outcome = deadline_passed => {
                    result.outcome = outcome;
                    return result;
                }
            };
            match exchange_result {
                Exchange::Stale(retried_request) => {
                    launch.control.set_may_be_written(false);
                    count(Counter::StaleConnections);
                    request = retried_request;
                    continue;
                }
                Exchange::Answered(mut response) => {
                    if let ReadBody::Streaming(stream) = response.body_mut() {
                        let deadline = launch.outbound.deadline_or(deadline);
                        stream.set_deadline(deadline + self.late_answer_allowance);
                    }
                    self.read_answer(&mut result, response);
                }
                Exchange::ConnectFailed(request) => {
                    return_body(&launch, request);
                    result.outcome = Outcome::ConnectFailed;
                }
                Exchange::ConnectionLost => {
                    result.outcome = match stream_end.get() {
                        // The last byte was never written, so the backend cannot have run the command.
                        Some(StreamEnd::Broken) => Outcome::NotSent,
                        None if launch.outbound.streaming_body().is_some() => Outcome::ConnectFailed,
                        _ => Outcome::ConnectionLost,
                    };
                }
            }
            return result;
        }
    }

    /// Builds the request as the client sent it. The time that is left is added when the request is written.
    fn build_request(
        &self,
        launch: &Launch,
        stream_end: &Rc<Cell<Option<StreamEnd>>>,
    ) -> Request<OutgoingBody> {
        let body = match &launch.outbound.body {
            RequestBody::Buffered(body) => OutgoingBody::from(body.clone()),
            RequestBody::Streaming(body) => match body.take() {
                Some(mut stream) => {
                    // The request owns its body again if that is put back, so the body must not own the request.
                    let (stream_end, outbound) = (stream_end.clone(), Rc::downgrade(&launch.outbound));
                    stream.on_end(move |end| {
                        stream_end.set(Some(end));
                        let outbound = outbound.upgrade();
                        if let Some(body) = outbound.as_ref().and_then(|outbound| outbound.streaming_body()) {
                            body.record_end();
                        }
                    });
                    OutgoingBody::Streaming(stream)
                }
                None => OutgoingBody::from(Bytes::new()),
            },
        };
        let mut request = Request::new(body);
        *request.method_mut() = launch.outbound.method.clone();
        *request.uri_mut() = launch.outbound.uri.clone();
        *request.headers_mut() = launch.outbound.headers.clone();
        request
    }

    fn read_answer(&self, result: &mut LaunchResult, response: Response<ReadBody>) {
        let (head, body) = response.into_parts();
        if let Some(load) = head.headers.get(BACKEND_LOAD_HEADER) {
            let names = self.dispatcher.names();
            result.report = probe::parse_report(&names.report_fields, load.as_bytes())
                .map(|values| (names.revision, values));
        }
        let unprocessed =
            head.headers.get(UNPROCESSED_HEADER).is_some_and(|v| v.as_bytes().trim_ascii() == b"1");
        result.outcome = match head.status {
            StatusCode::OK => Outcome::Finished,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unprocessed => Outcome::Full,
            _ => Outcome::Errored,
        };
        if result.outcome == Outcome::Finished {
            let mut headers = forwarded_headers(head.headers);
            headers.remove(BACKEND_LOAD_HEADER);
            result.answer = Some(BackendAnswer { headers, body });
        }
    }
}

/// Returns a body of which nothing was sent, so that another launch can use it.
fn return_body(launch: &Launch, request: Request<OutgoingBody>) {
    if let (Some(body), OutgoingBody::Streaming(stream)) =
        (launch.outbound.streaming_body(), request.into_body())
    {
        body.put_back(stream);
    }
}

/// Completes with the launch's outcome once its client's time is over.
async fn wait_out_of_time(outbound: &OutboundRequest, deadline: Instant) -> Outcome {
    let Some(body) = outbound.streaming_body() else {
        sleep_until(deadline).await;
        return Outcome::TimedOut;
    };
    // Until the last byte is passed on, the backend cannot have run the command.
    tokio::select! {
        biased;
        ended_at = body.wait_ended() => {
            sleep_until(ended_at + body.client_time()).await;
            Outcome::TimedOut
        }
        overdue = body.wait_overdue() => match overdue {
            Overdue::NotTaken => {
                log!("launch: a backend did not take a command's body in the command's time");
                Outcome::ConnectFailed
            }
            Overdue::ClientSilent => Outcome::NotSent,
        }
    }
}

/// The text for the log line; the on-call page uses the same words.
fn outcome_text(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Finished => "finished",
        Outcome::Full => "full or draining",
        Outcome::Errored => "answered with an error",
        Outcome::TimedOut => "no answer in the command's time",
        Outcome::ConnectFailed => "no connection",
        Outcome::ConnectionLost => "the connection broke before the answer",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "not sent: no time or socket left, or the client or backend is gone",
    }
}
