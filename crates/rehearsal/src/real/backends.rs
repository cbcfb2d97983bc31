//! Stand-in backends: the model behind sockets, one listener each.

use crate::judge::Observation;
use crate::real::ports;
use crate::real::stage::{Stage, Stay};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::json;
use std::future::pending;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};
use yarrowfront::times::Micros;

type Answer = Result<Response<Full<Bytes>>, &'static str>;

/// The header that names a try; its client writes the number in hexadecimal.
pub const ID: &str = "x-correlation-id";

/// Opens a backend's door and starts its clock.
pub fn start(stage: &Rc<Stage>, i: usize) -> Result<(), String> {
    let (listener, port) = ports::listen_here()?;
    stage.gate(i).port.set(port);
    spawn_local(door(stage.clone(), i, listener));
    spawn_local(tick(stage.clone(), i));
    Ok(())
}

async fn bind(port: u16) -> Result<TcpListener, String> {
    TcpListener::bind(("127.0.0.1", port))
        .await
        .map_err(|e| format!("a backend cannot listen on {port}: {e}"))
}

/// Takes connections while its process is up; a dead one refuses them.
async fn door(stage: Rc<Stage>, i: usize, first: TcpListener) {
    let gate = stage.gate(i);
    let mut life = gate.life.subscribe();
    let mut open = Some(first);
    loop {
        match &open {
            Some(listener) => tokio::select! {
                taken = listener.accept() => {
                    if let Ok((stream, _)) = taken {
                        spawn_local(connection(stage.clone(), i, stream));
                    }
                }
                changed = life.changed() => if changed.is_err() { return },
            },
            None => {
                if life.changed().await.is_err() {
                    return;
                }
            }
        }
        match (stage.is_up(i), open.is_some()) {
            (false, true) => open = None,
            (true, false) => match bind(gate.port.get()).await {
                Ok(listener) => open = Some(listener),
                Err(why) => stage.fail(why),
            },
            _ => {}
        }
    }
}

/// Lets the model's time pass whenever it has something to do.
async fn tick(stage: Rc<Stage>, i: usize) {
    let gate = stage.gate(i);
    loop {
        match stage.next(i) {
            Some(at) => tokio::select! {
                () = sleep_until(stage.instant(at)) => stage.pass(i),
                () = gate.turned.notified() => {}
            },
            None => gate.turned.notified().await,
        }
    }
}

async fn connection(stage: Rc<Stage>, i: usize, stream: TcpStream) {
    let gate = stage.gate(i);
    let mut life = gate.life.subscribe();
    life.mark_unchanged();
    let _ = stream.set_nodelay(true);
    stage.burden(i, true);
    let own = stage.clone();
    let service = service_fn(move |request| answer(own.clone(), i, request));
    let mut serving = std::pin::pin!(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        _ = serving.as_mut() => {}
        // The process has died, or the network is back after a cut: the connection is reset.
        _ = life.changed() => {}
    }
}

fn plain(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(format!("{text}\n"))));
    *response.status_mut() = status;
    response
}

/// Tells the model if the node closes the connection: hyper drops the answer then.
struct Staying {
    stage: Rc<Stage>,
    backend: usize,
    key: u64,
}

impl Drop for Staying {
    fn drop(&mut self) {
        self.stage.stop(self.backend, self.key);
    }
}

async fn silence(stage: &Stage, i: usize) {
    if stage.is_cut(i) {
        pending::<()>().await;
    }
    sleep_some(stage).await;
}

async fn sleep_some(stage: &Stage) {
    let delay = stage.delay();
    if !delay.is_zero() {
        sleep(delay).await;
    }
}

async fn answer(stage: Rc<Stage>, i: usize, request: Request<Incoming>) -> Answer {
    silence(&stage, i).await;
    match request.uri().path() {
        "/metrics/load" | "/alive" => return load(&stage, i).await,
        path if path == "/api" || path.starts_with("/api/") => {}
        _ => return Ok(plain(StatusCode::NOT_FOUND, "no such path")),
    }
    let id = request.headers().get(ID).and_then(|v| v.to_str().ok());
    let attempt = id.and_then(|id| u64::from_str_radix(id, 16).ok());
    let Some((attempt, sent)) = attempt.and_then(|a| Some((a, stage.of(a)?))) else {
        return Ok(plain(StatusCode::BAD_REQUEST, "no client has sent this"));
    };
    let announced_time_left = request.headers().get("x-time-left-ms").and_then(|v| v.to_str().ok());
    let announced_time_left =
        announced_time_left.and_then(|millis| millis.parse().ok()).map(Micros::from_millis);
    stage.see(Observation::LaunchStarted {
        node: sent.node,
        backend: i,
        attempt,
        at: stage.now(),
        announced_time_left,
    });
    let method = request.method().clone();
    if request.into_body().collect().await.is_err() {
        return Err("the command was cut short");
    }
    if method != Method::GET && method != Method::POST {
        return Ok(plain(StatusCode::METHOD_NOT_ALLOWED, "GET or POST"));
    }
    let (key, ended) = stage.arrive(i, attempt, sent);
    let staying = Staying { stage: stage.clone(), backend: i, key };
    let stay = ended.await.unwrap_or(Stay::Broken);
    silence(&stage, i).await;
    drop(staying);
    match stay {
        Stay::Done => {
            let body = json!({"try": format!("{attempt:016x}"), "command": sent.command, "backend": i});
            Ok(Response::new(Full::new(Bytes::from(body.to_string()))))
        }
        Stay::Full => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "full or draining");
            response.headers_mut().insert("x-unprocessed", hyper::header::HeaderValue::from_static("1"));
            Ok(response)
        }
        Stay::Error => Ok(plain(StatusCode::INTERNAL_SERVER_ERROR, "an error")),
        // hyper closes the connection without an answer.
        Stay::Broken => Err("broken off"),
        Stay::Silent => pending().await,
    }
}

async fn load(stage: &Stage, i: usize) -> Answer {
    if !stage.scenario.allow.probes {
        return Ok(plain(StatusCode::NOT_FOUND, "no probes here"));
    }
    stage.see(Observation::ProbeReceived);
    stage.burden(i, false);
    let Some(load) = stage.load(i) else {
        // A process that stands answers nobody.
        return pending().await;
    };
    sleep_some(stage).await;
    Ok(Response::new(Full::new(Bytes::from(load.to_string()))))
}
