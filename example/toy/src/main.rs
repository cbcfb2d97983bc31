//! Toy backends and a toy discovery for trying out the node by hand; see the README next to it. The backends are
//! those in the node's configuration. Lines typed on standard input change their behaviour.
#![forbid(unsafe_code)]

use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::ExitCode;
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const HELP: &str =
    "ready NAME | drain NAME | gone NAME | slow NAME MILLISECONDS | fail NAME | well NAME | list";

/// State of a toy backend, which works on one command at a time.
struct Backend {
    /// How long it works on a command.
    work_ms: u64,
    is_failing: bool,
    is_draining: bool,
    in_flight: usize,
}

/// Discovery's list of backends.
#[derive(Default)]
struct BackendList {
    index: u64,
    entries: Vec<Value>,
    /// Each change with the list index that it led to.
    changes: Vec<(u64, Value)>,
}

/// State shared by all threads.
#[derive(Default)]
struct SharedState {
    list: Mutex<BackendList>,
    changed: Condvar,
    backends: Mutex<HashMap<String, Backend>>,
    /// One core per backend: the thread that holds the lock is working.
    cores: HashMap<String, Mutex<()>>,
}

/// Reads a request and skips its body; returns the request line.
fn read_request(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let (mut request_line, mut line, mut length) = (String::new(), String::new(), 0);
    stream.read_line(&mut request_line).ok().filter(|&n| n > 0)?;
    loop {
        line.clear();
        stream.read_line(&mut line).ok().filter(|&n| n > 0)?;
        if line.trim().is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            if name.eq_ignore_ascii_case("content-length") {
                length = value.trim().parse().ok()?;
            }
        }
    }
    io::copy(&mut stream.by_ref().take(length), &mut io::sink()).ok()?;
    Some(request_line)
}

/// Answers the requests on one connection to a backend.
fn serve_backend(state: &SharedState, name: &str, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut stream = BufReader::new(stream);
    while let Some(request_line) = read_request(&mut stream) {
        let path = request_line.split(' ').nth(1).unwrap_or_default().to_owned();
        let answer = if path == "/metrics/load" || path == "/alive" {
            let in_flight = state.backends.lock().expect("backends")[name].in_flight;
            let load = json!({"inflight": in_flight, "queue": in_flight.saturating_sub(1), "util": 0.0});
            ("200 OK", format!("{load}\n"))
        } else {
            run_command(state, name, &path)
        };
        let (status, body) = answer;
        let extra_header = if status.starts_with("503") { "X-Unprocessed: 1\r\n" } else { "" };
        let head = format!("HTTP/1.1 {status}\r\n{extra_header}Content-Length: {}\r\n\r\n", body.len());
        stream.get_mut().write_all((head + &body).as_bytes())?;
    }
    Ok(())
}

/// Works on a command; returns status and body of the answer.
fn run_command(state: &SharedState, name: &str, path: &str) -> (&'static str, String) {
    {
        let mut backends = state.backends.lock().expect("backends");
        let backend = backends.get_mut(name).expect("a known name");
        if backend.is_draining {
            return ("503 Service Unavailable", "draining\n".into());
        }
        backend.in_flight += 1;
    }
    let (work_ms, is_failing) = {
        let _core = state.cores[name].lock().expect("a core");
        let (work_ms, is_failing) = {
            let backend = &state.backends.lock().expect("backends")[name];
            (backend.work_ms, backend.is_failing)
        };
        sleep(Duration::from_millis(work_ms));
        (work_ms, is_failing)
    };
    state.backends.lock().expect("backends").get_mut(name).expect("a known name").in_flight -= 1;
    match is_failing {
        true => ("500 Internal Server Error", "failing\n".into()),
        false => ("200 OK", format!("{name} served {path} in {work_ms} ms\n")),
    }
}

/// Sends the list once, or watches it and sends its changes.
fn serve_discovery(state: &SharedState, stream: TcpStream) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    let Some(request_line) = read_request(&mut reader) else { return Ok(()) };
    let path = request_line.split(' ').nth(1).unwrap_or_default();
    let index_text = path.split(['?', '&']).find_map(|p| p.strip_prefix("index="));
    let mut sent_index: Option<u64> = index_text.and_then(|text| text.parse().ok());
    if !path.contains("stream=1") {
        let list = state.list.lock().expect("the list");
        let body = json!({"index": list.index, "snapshot": true, "endpoints": list.entries}).to_string();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        return stream.write_all((head + &body).as_bytes());
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    loop {
        let line = {
            let mut list = state.list.lock().expect("the list");
            if sent_index == Some(list.index) {
                list = state.changed.wait_timeout(list, Duration::from_secs(2)).expect("the list").0;
            }
            let (index, previous_index) = (list.index, sent_index.replace(list.index));
            match previous_index {
                Some(previous) if previous == index => String::new(),
                Some(previous) if previous < index => {
                    let changes = list.changes.iter().filter(|(at, _)| *at > previous);
                    let changes: Vec<&Value> = changes.map(|(_, entry)| entry).collect();
                    json!({"index": index, "snapshot": false, "endpoints": changes}).to_string()
                }
                _ => json!({"index": index, "snapshot": true, "endpoints": list.entries}).to_string(),
            }
        };
        stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())?;
    }
}

/// Executes a line typed by the user.
fn execute_line(state: &SharedState, line: &str) -> Result<(), String> {
    let words: Vec<&str> = line.split_whitespace().collect();
    let (verb, name) = match words[..] {
        [] => return Ok(()),
        ["list"] => {
            let list = state.list.lock().expect("the list");
            list.entries.iter().for_each(|entry| println!("{} {}", entry["name"], entry["status"]));
            return Ok(());
        }
        [verb, name, ..] => (verb, name),
        _ => return Err(HELP.into()),
    };
    let mut backends = state.backends.lock().expect("backends");
    let backend = backends.get_mut(name).ok_or("no backend has this name")?;
    let status = match verb {
        "slow" => {
            let work_ms = words.get(2).and_then(|m| m.parse().ok());
            backend.work_ms = work_ms.ok_or("slow NAME MILLISECONDS")?;
            return Ok(());
        }
        "fail" | "well" => {
            backend.is_failing = verb == "fail";
            return Ok(());
        }
        "ready" => "ready",
        "drain" => "draining",
        "gone" => "gone",
        _ => return Err(HELP.into()),
    };
    backend.is_draining = status != "ready";
    let mut list = state.list.lock().expect("the list");
    list.index += 1;
    let index = list.index;
    let entry =
        list.entries.iter_mut().find(|entry| entry["name"] == name).ok_or("no backend has this name")?;
    if status == "ready" {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        entry["since_ms"] = (now.as_millis() as u64).into();
    }
    entry["status"] = status.into();
    let entry = entry.clone();
    list.changes.push((index, entry));
    state.changed.notify_all();
    Ok(())
}

fn string_at<'a>(value: &'a Value, key: &str) -> Result<&'a str, String> {
    value[key].as_str().ok_or_else(|| format!("{key} is missing or not a string"))
}

fn run() -> Result<(), String> {
    let path = std::env::args().nth(1).ok_or("usage: yarrowfront-toy CONFIG")?;
    let file = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
    let config: Value = serde_json::from_slice(&file).map_err(|e| format!("{path}: {e}"))?;
    let entries = config["known"]["endpoints"].as_array().ok_or("known.endpoints is not a list")?.clone();
    let mut state = SharedState::default();
    let mut listeners = Vec::new();
    for entry in &entries {
        let (name, address) = (string_at(entry, "name")?.to_owned(), string_at(entry, "address")?);
        listeners.push((name.clone(), TcpListener::bind(address).map_err(|e| format!("{address}: {e}"))?));
        let backend = Backend { work_ms: 50, is_failing: false, is_draining: false, in_flight: 0 };
        state.backends.lock().expect("backends").insert(name.clone(), backend);
        state.cores.insert(name, Mutex::new(()));
    }
    let index = config["known"]["index"].as_u64().unwrap_or(0);
    *state.list.lock().expect("the list") = BackendList { index, entries, changes: Vec::new() };
    let address = string_at(&config, "discovery")?;
    let listener = TcpListener::bind(address).map_err(|e| format!("{address}: {e}"))?;
    let state = Arc::new(state);
    for (name, listener) in listeners {
        let state = state.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (state, name) = (state.clone(), name.clone());
                spawn(move || serve_backend(&state, &name, stream));
            }
        });
    }
    let watched = state.clone();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let state = watched.clone();
            spawn(move || serve_discovery(&state, stream));
        }
    });
    println!("toy backends and discovery are up; {HELP}");
    for line in io::stdin().lock().lines().map_while(Result::ok) {
        if let Err(error) = execute_line(&state, &line) {
            println!("{error}");
        }
    }
    // Without standard input the process runs until it is stopped.
    loop {
        sleep(Duration::from_secs(3600));
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("yarrowfront-toy: {error}");
            ExitCode::FAILURE
        }
    }
}
