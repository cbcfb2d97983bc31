//! Simulated discovery: one endpoint per node, so that the judges know which node has received what.

use crate::real::harness::{Harness, ListMessage};
use crate::real::ports;
use bytes::Bytes;
use http_body_util::{combinators::UnsyncBoxBody, BodyExt, Full};
use hyper::body::{Body, Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// A watch without news sends an empty line this often.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// How long a call hangs before it fails during an outage in a soak.
const OUTAGE_HANG: Duration = Duration::from_secs(2);

/// How long a former address keeps serving its open connections.
const FORMER_ADDRESS_LIFETIME: Duration = Duration::from_millis(1500);

/// A response body that is streamed line by line.
struct StreamingBody(mpsc::UnboundedReceiver<Bytes>);

impl Body for StreamingBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0.poll_recv(context).map(|line| line.map(|bytes| Ok(Frame::data(bytes))))
    }
}

type AnswerResult = Result<Response<UnsyncBoxBody<Bytes, Infallible>>, &'static str>;

/// An address at which discovery serves one node. When it is dropped, it accepts no new connections and closes the open ones
/// after a while.
pub struct DiscoveryEndpoint {
    pub port: u16,
    accepting: AbortHandle,
    is_closed: Rc<watch::Sender<bool>>,
}

impl Drop for DiscoveryEndpoint {
    fn drop(&mut self) {
        self.accepting.abort();
        let is_closed = self.is_closed.clone();
        spawn_local(async move {
            sleep(FORMER_ADDRESS_LIFETIME).await;
            is_closed.send_replace(true);
        });
    }
}

/// Opens an endpoint for a node.
pub fn start_endpoint(harness: &Rc<Harness>, node: usize) -> Result<DiscoveryEndpoint, String> {
    let (listener, port) = ports::listen_async()?;
    let (harness, is_closed) = (harness.clone(), Rc::new(watch::Sender::new(false)));
    let close_receiver = is_closed.clone();
    let accepting = spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let harness = harness.clone();
            let mut close_receiver = close_receiver.subscribe();
            let _ = stream.set_nodelay(true);
            spawn_local(async move {
                let service = service_fn(move |request| handle_call(harness.clone(), node, port, request));
                tokio::select! {
                    _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service) => {}
                    _ = close_receiver.wait_for(|is_closed| *is_closed) => {}
                }
            });
        }
    });
    Ok(DiscoveryEndpoint { port, accepting: accepting.abort_handle(), is_closed })
}

/// Answers a call of this node at this port.
async fn handle_call(
    harness: Rc<Harness>,
    node: usize,
    port: u16,
    request: Request<Incoming>,
) -> AnswerResult {
    let mut response = Response::new(Full::new(Bytes::new()).boxed_unsync());
    let is_stressed = harness.scenario.stress.is_some();
    let answer_at = harness.queue_list_call();
    if !harness.discovery_is_up() || answer_at.is_none() {
        if is_stressed && answer_at.is_some() {
            // In a soak, a call during an outage hangs before it fails.
            sleep(OUTAGE_HANG).await;
        }
        if !harness.discovery_is_up() {
            harness.list_calls.record_failure(node, Instant::now());
        }
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return Ok(response);
    }
    if request.uri().path() != "/discovery/hosts" {
        *response.status_mut() = StatusCode::NOT_FOUND;
        return Ok(response);
    }
    if let Some(answer_at) = answer_at {
        sleep_until(answer_at).await;
    }
    let query = request.uri().query().unwrap_or_default();
    let query_value =
        |name: &str| query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
    if query_value("stream") != Some("1") {
        *response.body_mut() = Full::new(Bytes::from(harness.list_snapshot(node).to_string())).boxed_unsync();
        harness.record_list_delivery(node, None);
        return Ok(response);
    }
    let since = query_value("index").and_then(|n| n.parse().ok()).unwrap_or(usize::MAX);
    let (body_sender, chunks) = mpsc::unbounded_channel();
    let messages = harness.open_watch(node, since);
    spawn_local(stream_messages(harness.clone(), node, port, messages, body_sender));
    *response.body_mut() = StreamingBody(chunks).boxed_unsync();
    Ok(response)
}

/// Writes each message when it is due. Ends when discovery goes down or the node closes the connection. A call that
/// ends before its first message has failed.
async fn stream_messages(
    harness: Rc<Harness>,
    node: usize,
    port: u16,
    mut messages: mpsc::UnboundedReceiver<ListMessage>,
    body_sender: mpsc::UnboundedSender<Bytes>,
) {
    let mut is_answered = false;
    loop {
        let (backend, text) = match timeout(HEARTBEAT_INTERVAL, messages.recv()).await {
            Ok(Some((delivered_at, backend, text))) => {
                sleep_until(delivered_at).await;
                (Some(backend), text)
            }
            Ok(None) => return,
            Err(_) => (None, String::new()),
        };
        if !harness.discovery_is_up() {
            if !is_answered {
                harness.list_calls.record_failure(node, Instant::now());
            }
            return;
        }
        if body_sender.send(Bytes::from(format!("{text}\n"))).is_err() {
            return;
        }
        if !std::mem::replace(&mut is_answered, true) {
            harness.list_calls.record_answer(node, port);
        }
        if let Some(backend) = backend {
            harness.record_list_delivery(node, backend);
        }
    }
}
