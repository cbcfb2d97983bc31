//! Stand-in discovery: one door for each node, so that it is known who was told what.

use crate::real::harness::{Line, Stage};
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
use tokio::time::{sleep, sleep_until, timeout};

/// A watch with nothing to tell says so with an empty line.
const BEAT: Duration = Duration::from_secs(2);

/// How long a call hangs before it fails, in a soak's outages.
const HANGS: Duration = Duration::from_secs(2);

/// How long a former address serves on what is open there.
const FORMER_SERVES_FOR: Duration = Duration::from_millis(1500);

/// A body that comes line by line.
struct Lines(mpsc::UnboundedReceiver<Bytes>);

impl Body for Lines {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0.poll_recv(context).map(|line| line.map(|bytes| Ok(Frame::data(bytes))))
    }
}

type Answer = Result<Response<UnsyncBoxBody<Bytes, Infallible>>, &'static str>;

/// An address at which discovery serves one node. Dropped, it takes no new connection, and ends those that are open a while
/// later.
pub struct Door {
    pub port: u16,
    accepting: AbortHandle,
    closed: Rc<watch::Sender<bool>>,
}

impl Drop for Door {
    fn drop(&mut self) {
        self.accepting.abort();
        let closed = self.closed.clone();
        spawn_local(async move {
            sleep(FORMER_SERVES_FOR).await;
            closed.send_replace(true);
        });
    }
}

/// Opens discovery's door for a node.
pub fn start(stage: &Rc<Stage>, node: usize) -> Result<Door, String> {
    let (listener, port) = ports::listen_async()?;
    let (stage, closed) = (stage.clone(), Rc::new(watch::Sender::new(false)));
    let closing = closed.clone();
    let accepting = spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let stage = stage.clone();
            let mut closing = closing.subscribe();
            let _ = stream.set_nodelay(true);
            spawn_local(async move {
                let service = service_fn(move |request| answer(stage.clone(), node, request));
                tokio::select! {
                    _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service) => {}
                    _ = closing.wait_for(|closed| *closed) => {}
                }
            });
        }
    });
    Ok(Door { port, accepting: accepting.abort_handle(), closed })
}

async fn answer(stage: Rc<Stage>, node: usize, request: Request<Incoming>) -> Answer {
    let mut response = Response::new(Full::new(Bytes::new()).boxed_unsync());
    let stressed = stage.scenario.stress.is_some();
    let turn = stage.list_turn();
    if !stage.list_up() || turn.is_none() {
        if stressed && turn.is_some() {
            // While it is down a call hangs first.
            sleep(HANGS).await;
        }
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return Ok(response);
    }
    if request.uri().path() != "/discovery/hosts" {
        *response.status_mut() = StatusCode::NOT_FOUND;
        return Ok(response);
    }
    if let Some(turn) = turn {
        sleep_until(turn).await;
    }
    let query = request.uri().query().unwrap_or_default();
    let value = |name: &str| query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
    if value("stream") != Some("1") {
        *response.body_mut() = Full::new(Bytes::from(stage.whole(node).to_string())).boxed_unsync();
        stage.told(node, None);
        return Ok(response);
    }
    let since = value("index").and_then(|n| n.parse().ok()).unwrap_or(usize::MAX);
    let (to, lines) = mpsc::unbounded_channel();
    spawn_local(tell(stage.clone(), node, stage.watch(node, since), to));
    *response.body_mut() = Lines(lines).boxed_unsync();
    Ok(response)
}

/// Writes each line when it is due. Ends when the list goes down or its node has gone.
async fn tell(
    stage: Rc<Stage>,
    node: usize,
    mut lines: mpsc::UnboundedReceiver<Line>,
    to: mpsc::UnboundedSender<Bytes>,
) {
    loop {
        let (backend, text) = match timeout(BEAT, lines.recv()).await {
            Ok(Some((due, backend, text))) => {
                sleep_until(due).await;
                (Some(backend), text)
            }
            Ok(None) => return,
            Err(_) => (None, String::new()),
        };
        if !stage.list_up() || to.send(Bytes::from(format!("{text}\n"))).is_err() {
            return;
        }
        if let Some(backend) = backend {
            stage.told(node, backend);
        }
    }
}
