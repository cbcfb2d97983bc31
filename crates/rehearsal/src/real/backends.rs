//! Simulated backends on sockets: each has its own listener and its own model.

use crate::judge::Observation;
use crate::real::answer_forms::PacedBody;
use crate::real::harness::{Harness, LaunchResult};
use crate::real::ports;
use bytes::Bytes;
use http_body_util::{BodyExt, Either, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Version};
use hyper_util::rt::TokioIo;
use links::body_form::Framing;
use serde_json::json;
use socket2::SockRef;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};
use yarrowfront::times::Micros;

type AnswerBody = Either<Full<Bytes>, PacedBody>;
type AnswerResult = Result<Response<AnswerBody>, &'static str>;

fn whole_body(bytes: impl Into<Bytes>) -> AnswerBody {
    Either::Left(Full::new(bytes.into()))
}

/// The header with the attempt's number, which its client writes in hexadecimal.
pub const ATTEMPT_ID_HEADER: &str = "x-correlation-id";

/// Opens a backend's listener and starts its clock.
pub fn start_backend(harness: &Rc<Harness>, backend: usize) -> Result<(), String> {
    let (listener, port) = ports::listen_async()?;
    harness.control(backend).port.set(port);
    spawn_local(accept_connections(harness.clone(), backend, listener));
    spawn_local(advance_when_due(harness.clone(), backend));
    Ok(())
}

async fn bind(port: u16) -> Result<TcpListener, String> {
    TcpListener::bind(("127.0.0.1", port))
        .await
        .map_err(|e| format!("a backend cannot listen on {port}: {e}"))
}

/// Accepts connections while the backend's process is up; while it is down they are refused.
async fn accept_connections(harness: Rc<Harness>, backend: usize, first_listener: TcpListener) {
    let control = harness.control(backend);
    let mut epoch = control.connection_epoch.subscribe();
    let mut listener = Some(first_listener);
    loop {
        match &listener {
            Some(listener) => tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        spawn_local(serve_connection(harness.clone(), backend, stream));
                    }
                }
                changed = epoch.changed() => if changed.is_err() { return },
            },
            None => {
                if epoch.changed().await.is_err() {
                    return;
                }
            }
        }
        match (harness.is_up(backend), listener.is_some()) {
            (false, true) => listener = None,
            (true, false) => match bind(control.port.get()).await {
                Ok(bound) => listener = Some(bound),
                Err(why) => harness.report_error(why),
            },
            _ => {}
        }
    }
}

/// Advances the model whenever its next change is due.
async fn advance_when_due(harness: Rc<Harness>, backend: usize) {
    let control = harness.control(backend);
    loop {
        match harness.next_backend_change(backend) {
            Some(at) => tokio::select! {
                () = sleep_until(harness.to_instant(at)) => harness.advance_backend(backend),
                () = control.next_change_updated.notified() => {}
            },
            None => control.next_change_updated.notified().await,
        }
    }
}

async fn serve_connection(harness: Rc<Harness>, backend: usize, stream: TcpStream) {
    let control = harness.control(backend);
    let mut epoch = control.connection_epoch.subscribe();
    epoch.mark_unchanged();
    let _ = stream.set_nodelay(true);
    harness.add_overhead(backend, true);
    let service_harness = harness.clone();
    let service = service_fn(move |request| handle_request(service_harness.clone(), backend, request));
    let mut serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = &mut serving => {}
        // The process has died, or the network has recovered from an outage: the connection is reset. Its orderly end would
        // be the end of an answer without a length.
        _ = epoch.changed() => {
            let stream = serving.into_parts().io.into_inner();
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    }
}

fn text_response(status: StatusCode, text: &str) -> Response<AnswerBody> {
    let mut response = Response::new(whole_body(format!("{text}\n")));
    *response.status_mut() = status;
    response
}

/// Cancels the launch when the node closes the connection: hyper drops the pending answer then.
struct CancelOnDrop {
    harness: Rc<Harness>,
    backend: usize,
    key: u64,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        self.harness.cancel_launch(self.backend, self.key);
    }
}

async fn wait_for_network(harness: &Harness, backend: usize) {
    if harness.is_cut_off(backend) {
        pending::<()>().await;
    }
    sleep_extra_delay(harness).await;
}

async fn sleep_extra_delay(harness: &Harness) {
    let delay = harness.extra_delay();
    if !delay.is_zero() {
        sleep(delay).await;
    }
}

async fn handle_request(harness: Rc<Harness>, backend: usize, request: Request<Incoming>) -> AnswerResult {
    wait_for_network(&harness, backend).await;
    match request.uri().path() {
        "/metrics/load" | "/alive" => return answer_probe(&harness, backend).await,
        path if path == "/api" || path.starts_with("/api/") => {}
        _ => return Ok(text_response(StatusCode::NOT_FOUND, "no such path")),
    }
    let id = request.headers().get(ATTEMPT_ID_HEADER).and_then(|v| v.to_str().ok());
    let attempt = id.and_then(|id| u64::from_str_radix(id, 16).ok());
    let Some((attempt, info)) = attempt.and_then(|a| Some((a, harness.attempt_info(a)?))) else {
        return Ok(text_response(StatusCode::BAD_REQUEST, "no client has sent this"));
    };
    let announced_time_left = request.headers().get("x-time-left-ms").and_then(|v| v.to_str().ok());
    let announced_time_left =
        announced_time_left.and_then(|millis| millis.parse().ok()).map(Micros::from_millis);
    harness.observe(Observation::LaunchStarted {
        node: info.node,
        backend,
        attempt,
        at: harness.now(),
        announced_time_left,
    });
    let method = request.method().clone();
    if request.into_body().collect().await.is_err() {
        return Err("the command is incomplete");
    }
    if method != Method::GET && method != Method::POST {
        return Ok(text_response(StatusCode::METHOD_NOT_ALLOWED, "GET or POST"));
    }
    let (key, result_receiver) = harness.start_launch(backend, attempt, info);
    let cancel_on_drop = CancelOnDrop { harness: harness.clone(), backend, key };
    let result = result_receiver.await.unwrap_or(LaunchResult::ConnectionBroken);
    wait_for_network(&harness, backend).await;
    drop(cancel_on_drop);
    match result {
        LaunchResult::Done => {
            let body = json!({"try": format!("{attempt:016x}"), "command": info.command, "backend": backend});
            Ok(success_response(&harness, backend, attempt, body.to_string()).await)
        }
        LaunchResult::Full => {
            let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "full or draining");
            response.headers_mut().insert("x-unprocessed", hyper::header::HeaderValue::from_static("1"));
            Ok(response)
        }
        LaunchResult::Error => Ok(text_response(StatusCode::INTERNAL_SERVER_ERROR, "an error")),
        // On an error hyper closes the connection without an answer.
        LaunchResult::ConnectionBroken => Err("connection broken"),
        LaunchResult::Unanswered => pending().await,
    }
}

/// A successful answer, in a drawn form if there is one for the attempt.
async fn success_response(
    harness: &Rc<Harness>,
    backend: usize,
    attempt: u64,
    content: String,
) -> Response<AnswerBody> {
    let Some(form) = harness.answer_forms.form_of(attempt) else {
        return Response::new(whole_body(content));
    };
    sleep(form.head_after).await;
    let body = PacedBody::new(harness, backend, attempt, &form, content.into_bytes());
    let mut response = Response::new(Either::Right(body));
    if form.framing == Framing::UntilClose {
        // hyper then tells no length and ends the body with the connection.
        *response.version_mut() = Version::HTTP_10;
    }
    response
}

async fn answer_probe(harness: &Harness, backend: usize) -> AnswerResult {
    if !harness.scenario.allow.probes {
        return Ok(text_response(StatusCode::NOT_FOUND, "no probes here"));
    }
    harness.observe(Observation::ProbeReceived);
    harness.add_overhead(backend, false);
    let Some(load) = harness.load_report(backend) else {
        // A stalled or hanging process does not answer.
        return pending().await;
    };
    sleep_extra_delay(harness).await;
    Ok(Response::new(whole_body(load.to_string())))
}
