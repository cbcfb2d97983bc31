//! A minimal node with one deliberate fault, for the tests of the judges on the real clock: `yarrowfront-faulty FAULT`, with
//! `ROUTER_CONFIG` as for the real node. It sends every command to the first backend of its configuration.
#![forbid(unsafe_code)]

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{client, server, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use std::cell::Cell;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};

#[derive(Clone, Copy, PartialEq)]
enum NodeFault {
    None,
    /// Exits on its own after a hundred commands.
    Crash,
    /// Exits before it listens, or aborts, or never listens.
    ExitAtStart,
    AbortAtStart,
    HangAtStart,
    /// Exits when it accepts its first connection.
    ExitAtConnection,
    /// Does not exit on SIGTERM.
    IgnoreSigterm,
    /// Closes the connection instead of answering, for one request id in sixteen, however often it is sent.
    LoseAnswers,
    /// Answers every tenth command with the answer to the one before.
    SwapAnswers,
    /// Sends every command to the backend twice.
    DuplicateLaunch,
    /// Reports all other nodes as dead on its admin address.
    ReportAllDead,
    /// Claims the whole of what the fleet shares.
    TakeWholeShare,
    /// Reports a fleet without other members.
    KnowNobody,
    /// Reports ever lower incarnations of the other members.
    DecreasingIncarnation,
}

struct Node {
    fault: NodeFault,
    name: String,
    /// The other members of the fleet.
    peers: Vec<String>,
    /// How often the fleet view was requested.
    view_requests: Cell<u64>,
    backend: String,
    command_count: Cell<u64>,
    last_answer: std::cell::RefCell<Bytes>,
}

type Answer = Result<Response<Full<Bytes>>, String>;

async fn send_to_backend(node: &Node, head: &hyper::http::request::Parts, body: Bytes) -> Answer {
    let stream = TcpStream::connect(&node.backend).await.map_err(|e| e.to_string())?;
    let (mut sender, connection) =
        client::conn::http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
    spawn_local(async move {
        let _ = connection.await;
    });
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = head.uri.clone();
    *request.headers_mut() = head.headers.clone();
    request.headers_mut().remove("content-length");
    let response = sender.send_request(request).await.map_err(|e| e.to_string())?;
    let (head, body) = response.into_parts();
    let body = body.collect().await.map_err(|e| e.to_string())?.to_bytes();
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = head.status;
    Ok(answer)
}

fn loses_answer(head: &hyper::http::request::Parts) -> bool {
    head.headers.get("x-correlation-id").is_some_and(|id| id.as_bytes().ends_with(b"0"))
}

/// Its fleet view: all peers alive, apart from its fault.
fn fleet_view(node: &Node) -> String {
    let request_count = node.view_requests.get() + 1;
    node.view_requests.set(request_count);
    let state = if node.fault == NodeFault::ReportAllDead && request_count > 10 { "dead" } else { "alive" };
    let incarnation = if node.fault == NodeFault::DecreasingIncarnation { 1000 - request_count } else { 0 };
    let member = |name: &String| json!({"name": name, "life": 1, "edition": incarnation, "standing": state});
    let members: Vec<Value> = match node.fault {
        NodeFault::KnowNobody => Vec::new(),
        _ => node.peers.iter().map(member).collect(),
    };
    let share_divisor = if node.fault == NodeFault::TakeWholeShare { 1 } else { node.peers.len() + 1 };
    json!({"name": node.name, "life": 1, "members": members, "portion": {"nodes": share_divisor}}).to_string()
}

async fn answer(node: Rc<Node>, request: Request<Incoming>) -> Answer {
    if request.uri().path() == "/fleet" {
        return Ok(Response::new(Full::new(Bytes::from(fleet_view(&node)))));
    }
    if request.uri().path() == "/up" {
        return Ok(Response::new(Full::new(Bytes::from_static(b"up\n"))));
    }
    let count = node.command_count.get() + 1;
    node.command_count.set(count);
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|e| e.to_string())?.to_bytes();
    match node.fault {
        NodeFault::Crash if count > 100 => std::process::exit(3),
        NodeFault::LoseAnswers if loses_answer(&head) => return Err("lost".into()),
        NodeFault::DuplicateLaunch => drop(send_to_backend(&node, &head, body.clone()).await),
        _ => {}
    }
    let answer = send_to_backend(&node, &head, body).await;
    let Ok(answer) = answer else {
        let mut answer = Response::new(Full::new(Bytes::new()));
        *answer.status_mut() = StatusCode::BAD_GATEWAY;
        return Ok(answer);
    };
    let (head, body) = answer.into_parts();
    let body = body.collect().await.map_err(|e| e.to_string())?.to_bytes();
    let previous = node.last_answer.replace(body.clone());
    let is_swapped = node.fault == NodeFault::SwapAnswers && count.is_multiple_of(10);
    Ok(Response::from_parts(head, Full::new(if is_swapped { previous } else { body })))
}

async fn run(fault: NodeFault) -> Result<(), String> {
    let path = std::env::var("ROUTER_CONFIG").map_err(|e| e.to_string())?;
    let file = std::fs::read(path).map_err(|e| e.to_string())?;
    let file: Value = serde_json::from_slice(&file).map_err(|e| e.to_string())?;
    let backend = file["known"]["endpoints"][0]["address"].as_str().ok_or("no backend")?.to_owned();
    let listen = file["listen"].as_str().ok_or("no address")?;
    match fault {
        NodeFault::ExitAtStart => std::process::exit(3),
        NodeFault::AbortAtStart => std::process::abort(),
        NodeFault::HangAtStart => std::future::pending().await,
        _ => {}
    }
    let listener = TcpListener::bind(listen).await.map_err(|e| e.to_string())?;
    let name = file["name"].as_str().ok_or("no name")?.to_owned();
    let peers = match file["fleet"].as_str().map(std::fs::read_to_string) {
        Some(text) => {
            let text = text.map_err(|e| e.to_string())?;
            let via: toml::Table = toml::from_str(&text).map_err(|e| e.to_string())?;
            via["via"].as_table().into_iter().flat_map(|via| via.keys().cloned()).collect()
        }
        None => Vec::new(),
    };
    let (command_count, view_requests, last_answer) = Default::default();
    let node = Rc::new(Node { fault, name, peers, view_requests, backend, command_count, last_answer });
    if let Some(admin) = file["admin"].as_str() {
        let listener = TcpListener::bind(admin).await.map_err(|e| e.to_string())?;
        spawn_local(accept_connections(listener, node.clone()));
    }
    let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
        .map_err(|e| e.to_string())?;
    spawn_local(accept_connections(listener, node));
    loop {
        term.recv().await;
        if fault != NodeFault::IgnoreSigterm {
            return Ok(());
        }
    }
}

async fn accept_connections(listener: TcpListener, node: Rc<Node>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        if node.fault == NodeFault::ExitAtConnection {
            std::process::exit(4);
        }
        let node = node.clone();
        spawn_local(async move {
            let service = service_fn(move |request| answer(node.clone(), request));
            let _ = server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

fn main() -> ExitCode {
    let fault = match std::env::args().nth(1).as_deref() {
        Some("none") => NodeFault::None,
        Some("crash") => NodeFault::Crash,
        Some("exit-at-start") => NodeFault::ExitAtStart,
        Some("abort-at-start") => NodeFault::AbortAtStart,
        Some("hang-at-start") => NodeFault::HangAtStart,
        Some("exit-at-connection") => NodeFault::ExitAtConnection,
        Some("deaf") => NodeFault::IgnoreSigterm,
        Some("lose") => NodeFault::LoseAnswers,
        Some("swap") => NodeFault::SwapAnswers,
        Some("twice") => NodeFault::DuplicateLaunch,
        Some("slanders") => NodeFault::ReportAllDead,
        Some("greedy") => NodeFault::TakeWholeShare,
        Some("hermit") => NodeFault::KnowNobody,
        Some("backwards") => NodeFault::DecreasingIncarnation,
        _ => {
            eprintln!(
                "yarrowfront-faulty: none, crash, exit-at-start, abort-at-start, hang-at-start, exit-at-connection, \
                 deaf, lose, swap, twice, slanders, greedy, hermit or backwards"
            );
            return ExitCode::FAILURE;
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ended = runtime.map_err(|e| e.to_string()).and_then(|r| LocalSet::new().block_on(&r, run(fault)));
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("yarrowfront-faulty: {why}");
            ExitCode::FAILURE
        }
    }
}
