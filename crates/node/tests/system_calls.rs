//! System calls that fail or end short, as Linux documents them: what a node is owed by its sockets is less than what
//! loopback usually gives.

#[allow(dead_code)]
mod world;

use serde_json::Value;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::thread::{scope, sleep, spawn};
use std::time::{Duration, Instant};
use world::*;

const CLIENTS: usize = 3;
const COMMANDS: usize = 60;
/// An answer takes some milliseconds; one that comes later has lain somewhere.
const PROMPT: Duration = Duration::from_millis(1000);

fn shimmed(variables: &[(&str, &str)], backends: usize) -> World {
    let library = shim::library().to_str().expect("a path in UTF-8");
    let mut all = vec![("LD_PRELOAD", library)];
    all.extend_from_slice(variables);
    World::with_variables(backends, |_| BackendAction::Succeed, patient, &all)
}

fn patient(config: &mut Value) {
    for profile in config["settings"]["profiles"].as_array_mut().expect("profiles") {
        profile["goalTime"] = 4_000_000_000u64.into();
        profile["timeLimit"] = 5_000_000_000u64.into();
    }
}

fn asks(profile: &str) -> String {
    command_request(profile, &"body ".repeat(40), "").replace("X-Time-Left-Ms: 480", "X-Time-Left-Ms: 5000")
}

/// Several clients ask on kept connections; what was not answered by 200 in time.
fn failures(world: &World, profile: &str) -> Vec<String> {
    let client = || {
        let mut stream = world.connect();
        let mut failed = Vec::new();
        for n in 0..COMMANDS {
            let since = Instant::now();
            stream.write_all(asks(profile).as_bytes()).expect("written");
            let answer = read_message(&mut stream);
            let status = answer.as_ref().map_or(0, Message::status);
            if status != 200 || since.elapsed() > PROMPT {
                failed.push(format!("command {n}: {status} after {:?}", since.elapsed()));
            }
            if answer.is_none_or(|answer| answer.header("connection") == Some("close")) {
                stream = world.connect();
            }
        }
        failed
    };
    scope(|all| {
        let clients: Vec<_> = (0..CLIENTS).map(|_| all.spawn(client)).collect();
        clients.into_iter().flat_map(|client| client.join().expect("a client")).collect()
    })
}

/// A read or write that moves less than it could leaves the rest in the kernel, and no further event tells of it.
#[test]
fn reads_and_writes_that_end_short() {
    for variables in [[("SHIM_SHORT", "4")], [("SHIM_INTERRUPT", "4")]] {
        let world = shimmed(&variables, 4);
        for profile in ["read", "pay"] {
            assert_eq!(failures(&world, profile), [""; 0], "{variables:?}, {profile}");
        }
    }
}

/// An accept that fails for a moment loses nobody.
#[test]
fn accepts_that_fail_for_a_moment() {
    let world = shimmed(&[("SHIM_ACCEPT", "2")], 2);
    for _ in 0..40 {
        let since = Instant::now();
        assert_eq!(world.ask(&asks("pay")).status(), 200);
        assert!(since.elapsed() < PROMPT);
    }
}

/// Accepts that fail by chance hold up nobody behind them: in a crowd a request lay in the kernel for 0.3 s, and its backend
/// was told the time that its client had had before.
#[test]
fn accepts_that_fail_in_a_crowd() {
    const CROWD: usize = 500;
    let library = shim::library().to_str().expect("a path in UTF-8");
    let variables = [("LD_PRELOAD", library), ("SHIM_ACCEPT", "3")];
    let sockets = |config: &mut Value| config["limits"]["sockets"] = 4096.into();
    let world = World::with_variables(2, |_| BackendAction::Succeed, sockets, &variables);
    assert_eq!(world.command("pay").status(), 200);
    let since = Instant::now();
    let _crowd: Vec<_> = (0..CROWD).map(|_| world.connect()).collect();
    assert_eq!(world.command("pay").status(), 200);
    assert!(since.elapsed() < PROMPT, "{:?}", since.elapsed());
}

/// A dial that fails for want of a local port says nothing of the backend, and nothing of the command has run.
#[test]
fn dials_that_fail_for_want_of_a_port() {
    let world = shimmed(&[("SHIM_CONNECT", "2")], 4);
    assert_eq!(failures(&world, "pay"), [""; 0]);
}

/// Kills a node that a test waits for in vain, unless the test has ended by then.
struct Bounded(Arc<AtomicBool>);

impl Bounded {
    fn new(node: u32) -> Bounded {
        let over = Arc::new(AtomicBool::new(false));
        let ended = over.clone();
        spawn(move || {
            sleep(Duration::from_secs(20));
            if !ended.load(SeqCst) {
                let _ = std::process::Command::new("kill").args(["-KILL", &node.to_string()]).status();
            }
        });
        Bounded(over)
    }
}

impl Drop for Bounded {
    fn drop(&mut self) {
        self.0.store(true, SeqCst);
    }
}

/// Signals in series under calls that are interrupted: none is lost, and none ends the process but the one that is to.
#[test]
fn signals_under_interrupted_calls() {
    for _ in 0..4 {
        let mut world = shimmed(&[("SHIM_INTERRUPT", "3")], 2);
        let _bounded = Bounded::new(world.node.id());
        let text = world.config.to_string();
        for _ in 0..12 {
            assert!(world.reload(&text).contains("reload: discovery is at"));
        }
        assert_eq!(world.ask(&asks("pay")).status(), 200);
        let told = Instant::now();
        for signal in ["-HUP", "-TERM", "-TERM", "-HUP"] {
            world.signal(signal);
        }
        assert!(world.node.wait().expect("an end").success());
        assert!(told.elapsed() < Duration::from_secs(3), "{:?}", told.elapsed());
    }
}
