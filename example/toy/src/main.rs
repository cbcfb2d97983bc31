//! Toy backends and a toy discovery, to try the node by hand: see the README beside it. The backends are
//! those that the node's configuration knows; lines typed on standard input change what they do.
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

/// What a backend does, besides working one command at a time.
struct Backend {
    millis: u64,
    failing: bool,
    draining: bool,
    inflight: usize,
}

#[derive(Default)]
struct List {
    index: u64,
    entries: Vec<Value>,
    /// Each change, with the version that it made.
    changes: Vec<(u64, Value)>,
}

#[derive(Default)]
struct World {
    list: Mutex<List>,
    changed: Condvar,
    backends: Mutex<HashMap<String, Backend>>,
    /// One core each: whoever holds it works.
    cores: HashMap<String, Mutex<()>>,
}

/// A message's first line, its length of body read over.
fn read(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let (mut first, mut line, mut length) = (String::new(), String::new(), 0);
    stream.read_line(&mut first).ok().filter(|&n| n > 0)?;
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
    Some(first)
}

fn backend(world: &World, name: &str, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut stream = BufReader::new(stream);
    while let Some(first) = read(&mut stream) {
        let path = first.split(' ').nth(1).unwrap_or_default().to_owned();
        let answer = if path == "/metrics/load" || path == "/alive" {
            let inflight = world.backends.lock().expect("backends")[name].inflight;
            let load = json!({"inflight": inflight, "queue": inflight.saturating_sub(1), "util": 0.0});
            ("200 OK", format!("{load}\n"))
        } else {
            work(world, name, &path)
        };
        let (status, body) = answer;
        let more = if status.starts_with("503") { "X-Unprocessed: 1\r\n" } else { "" };
        let head = format!("HTTP/1.1 {status}\r\n{more}Content-Length: {}\r\n\r\n", body.len());
        stream.get_mut().write_all((head + &body).as_bytes())?;
    }
    Ok(())
}

fn work(world: &World, name: &str, path: &str) -> (&'static str, String) {
    {
        let mut backends = world.backends.lock().expect("backends");
        let own = backends.get_mut(name).expect("a known name");
        if own.draining {
            return ("503 Service Unavailable", "draining\n".into());
        }
        own.inflight += 1;
    }
    let (millis, failing) = {
        let _core = world.cores[name].lock().expect("a core");
        let (millis, failing) = {
            let own = &world.backends.lock().expect("backends")[name];
            (own.millis, own.failing)
        };
        sleep(Duration::from_millis(millis));
        (millis, failing)
    };
    world.backends.lock().expect("backends").get_mut(name).expect("a known name").inflight -= 1;
    match failing {
        true => ("500 Internal Server Error", "failing\n".into()),
        false => ("200 OK", format!("{name} served {path} in {millis} ms\n")),
    }
}

/// The list once, or a watch on its changes.
fn discovery(world: &World, stream: TcpStream) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    let Some(first) = read(&mut reader) else { return Ok(()) };
    let path = first.split(' ').nth(1).unwrap_or_default();
    let asked = path.split(['?', '&']).find_map(|p| p.strip_prefix("index="));
    let mut seen: Option<u64> = asked.and_then(|v| v.parse().ok());
    if !path.contains("stream=1") {
        let list = world.list.lock().expect("the list");
        let body = json!({"index": list.index, "snapshot": true, "endpoints": list.entries}).to_string();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        return stream.write_all((head + &body).as_bytes());
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    loop {
        let line = {
            let mut list = world.list.lock().expect("the list");
            if seen == Some(list.index) {
                list = world.changed.wait_timeout(list, Duration::from_secs(2)).expect("the list").0;
            }
            let (index, version) = (list.index, seen.replace(list.index));
            match version {
                Some(v) if v == index => String::new(),
                Some(v) if v < index => {
                    let new = list.changes.iter().filter(|(at, _)| *at > v);
                    let new: Vec<&Value> = new.map(|(_, entry)| entry).collect();
                    json!({"index": index, "snapshot": false, "endpoints": new}).to_string()
                }
                _ => json!({"index": index, "snapshot": true, "endpoints": list.entries}).to_string(),
            }
        };
        stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())?;
    }
}

/// Carries out a typed line.
fn obey(world: &World, line: &str) -> Result<(), String> {
    let words: Vec<&str> = line.split_whitespace().collect();
    let (verb, name) = match words[..] {
        [] => return Ok(()),
        ["list"] => {
            let list = world.list.lock().expect("the list");
            list.entries.iter().for_each(|e| println!("{} {}", e["name"], e["status"]));
            return Ok(());
        }
        [verb, name, ..] => (verb, name),
        _ => return Err(HELP.into()),
    };
    let mut backends = world.backends.lock().expect("backends");
    let own = backends.get_mut(name).ok_or("no such backend")?;
    let status = match verb {
        "slow" => {
            let millis = words.get(2).and_then(|m| m.parse().ok());
            own.millis = millis.ok_or("slow NAME MILLISECONDS")?;
            return Ok(());
        }
        "fail" | "well" => {
            own.failing = verb == "fail";
            return Ok(());
        }
        "ready" => "ready",
        "drain" => "draining",
        "gone" => "gone",
        _ => return Err(HELP.into()),
    };
    own.draining = status != "ready";
    let mut list = world.list.lock().expect("the list");
    list.index += 1;
    let index = list.index;
    let entry = list.entries.iter_mut().find(|e| e["name"] == name).ok_or("no such backend")?;
    if status == "ready" {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        entry["since_ms"] = (now.as_millis() as u64).into();
    }
    entry["status"] = status.into();
    let entry = entry.clone();
    list.changes.push((index, entry));
    world.changed.notify_all();
    Ok(())
}

fn text<'a>(value: &'a Value, key: &str) -> Result<&'a str, String> {
    value[key].as_str().ok_or_else(|| format!("{key} is missing or not a text"))
}

fn run() -> Result<(), String> {
    let path = std::env::args().nth(1).ok_or("usage: yarrowfront-toy CONFIG")?;
    let file = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
    let config: Value = serde_json::from_slice(&file).map_err(|e| format!("{path}: {e}"))?;
    let entries = config["known"]["endpoints"].as_array().ok_or("known.endpoints is not a list")?.clone();
    let mut world = World::default();
    let mut listeners = Vec::new();
    for entry in &entries {
        let (name, address) = (text(entry, "name")?.to_owned(), text(entry, "address")?);
        listeners.push((name.clone(), TcpListener::bind(address).map_err(|e| format!("{address}: {e}"))?));
        let fresh = Backend { millis: 50, failing: false, draining: false, inflight: 0 };
        world.backends.lock().expect("backends").insert(name.clone(), fresh);
        world.cores.insert(name, Mutex::new(()));
    }
    let index = config["known"]["index"].as_u64().unwrap_or(0);
    *world.list.lock().expect("the list") = List { index, entries, changes: Vec::new() };
    let address = text(&config, "discovery")?;
    let listener = TcpListener::bind(address).map_err(|e| format!("{address}: {e}"))?;
    let world = Arc::new(world);
    for (name, listener) in listeners {
        let world = world.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (world, name) = (world.clone(), name.clone());
                spawn(move || backend(&world, &name, stream));
            }
        });
    }
    let watched = world.clone();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let world = watched.clone();
            spawn(move || discovery(&world, stream));
        }
    });
    println!("toy backends and discovery are up; {HELP}");
    for line in io::stdin().lock().lines().map_while(Result::ok) {
        if let Err(why) = obey(&world, &line) {
            println!("{why}");
        }
    }
    // Without anybody to type it goes on until it is ended.
    loop {
        sleep(Duration::from_secs(3600));
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("yarrowfront-toy: {why}");
            ExitCode::FAILURE
        }
    }
}
