//! A second process of the node beside the first, which then goes: what holds over it, and what may go wrong.

#[allow(dead_code)]
mod world;

use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::os::unix::net::{UnixListener, UnixStream};
use std::process::Child;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};
use world::*;

/// A process beside those that run, and its second address.
fn beside(world: &World) -> (Child, SocketAddr) {
    let admin = second_address(&world.config);
    let file = world.folder.join("config.json");
    (start_node_in(&world.folder, &file, &[("ROUTER_ADMIN", &admin.to_string())]), admin)
}

/// Puts the second process in the place of the first, which is to end well.
fn upgrade(world: &mut World) -> SocketAddr {
    let (new, admin) = beside(world);
    wait_until_ready(admin);
    let mut old = std::mem::replace(&mut world.node, new);
    send_signal(&old, "-TERM");
    assert!(old.wait().expect("an end").success());
    admin
}

/// Under load, and again and again: each command gets its answer, and none that may run once runs twice. Clients that
/// keep their connection are told to go before it ends.
#[test]
fn nothing_is_lost() {
    let (mut world, _) = World::with_admin(4, |_| BackendAction::Succeed);
    let over = Arc::new(AtomicBool::new(false));
    let load = |kept: bool| {
        let (over, listen) = (over.clone(), world.listen);
        spawn(move || {
            let mut answers = Vec::new();
            let mut stream = None;
            while !over.load(SeqCst) {
                let mut open = stream.take().unwrap_or_else(|| dial(listen));
                open.write_all(command_request("pay", "a body", "").as_bytes()).expect("written");
                let reply = read_message(&mut open).unwrap_or_default();
                let close = reply.header("connection") == Some("close");
                answers.push(reply.status());
                stream = (kept && !close).then_some(open);
                sleep(Duration::from_millis(5));
            }
            answers
        })
    };
    let loads: Vec<_> = [true, false, true, false].map(load).into();
    for _ in 0..3 {
        sleep(Duration::from_millis(100));
        upgrade(&mut world);
    }
    over.store(true, SeqCst);
    let answers: Vec<u16> = loads.into_iter().flat_map(|l| l.join().expect("no client is cut off")).collect();
    assert!(answers.iter().all(|status| [200, 503].contains(status)), "{answers:?}");
    assert!(answers.iter().filter(|status| **status == 200).count() > answers.len() / 2, "{answers:?}");
    let mut launched: HashMap<String, usize> = HashMap::new();
    for (_, launch) in world.launches.lock().expect("launches").iter() {
        *launched.entry(launch.header("x-correlation-id").unwrap_or_default().to_owned()).or_default() += 1;
    }
    assert!(launched.values().all(|times| *times == 1), "{launched:?}");
}

/// What operators have said outlives the process, and a call to either of two holds in both: a backend left out stays
/// so, clients stay sent away, and so does the list as discovery told it last.
#[test]
fn what_was_said_holds() {
    let (mut world, first) = World::with_admin(3, |_| BackendAction::Succeed);
    wait_until("a watch", || world.watches.load(SeqCst) > 0);
    let mut gone = world.entries[2].clone();
    gone["status"] = "gone".into();
    let line = json!({"index": 10, "snapshot": false, "endpoints": [gone]}).to_string();
    world.list.send(line).expect("a watch");
    assert_eq!(call_admin(first, "PUT /backends/b0/maint").status(), 200);
    assert_eq!(call_admin(first, "PUT /healthcheck/fail").status(), 200);
    let second = upgrade(&mut world);
    assert_eq!(world.ask(UP).status(), 503, "clients are sent away still");
    assert_eq!(call_admin(second, "PUT /healthcheck/ok").status(), 200);
    assert_eq!(world.ask(UP).status(), 200);
    for _ in 0..12 {
        assert_eq!(world.command("read").status(), 200);
    }
    let seen: Vec<usize> = world.launches.lock().expect("launches").iter().map(|(n, _)| *n).collect();
    assert!(seen.iter().all(|n| *n == 1), "b0 is left out and b2 is gone: {seen:?}");
    // While two run: said to the old one, it holds in the new one, and the other way round.
    let mut kept = world.connect();
    kept.write_all(UP.as_bytes()).expect("written");
    assert_eq!(read_message(&mut kept).expect("an answer").status(), 200);
    let (new, third) = beside(&world);
    wait_until_ready(third);
    assert_eq!(call_admin(second, "PUT /backends/b0/ready").status(), 200);
    assert_eq!(call_admin(second, "PUT /backends/b1/maint").status(), 200);
    let before = world.launched();
    assert_eq!(world.command("read").status(), 200);
    assert_eq!(world.launches.lock().expect("launches")[before].0, 0, "the new process heard it");
    assert_eq!(call_admin(third, "PUT /backends/b0/maint").status(), 200);
    kept.write_all(command_request("read", "a body", "").as_bytes()).expect("written");
    let reply = read_message(&mut kept).expect("an answer");
    assert_eq!(
        (reply.status(), reply.header("connection")),
        (503, Some("close")),
        "the old process heard it"
    );
    let old = std::mem::replace(&mut world.node, new);
    send_signal(&old, "-KILL");
    old.wait_with_output().expect("an end");
    assert_eq!(call_admin(third, "PUT /backends/b0/ready").status(), 200, "no wait for one that is gone");
    assert_eq!(world.command("read").status(), 200);
}

/// A new process that does not come up, or dies when it has the connections, leaves the old one as it was; a third one
/// is refused while two run.
#[test]
fn the_old_process_goes_on() {
    let (mut world, first) = World::with_admin(2, |_| BackendAction::Succeed);
    let bad = world.folder.join("bad.json");
    std::fs::write(&bad, "{").expect("a file");
    let taken = first.to_string();
    for (what, file, admin) in
        [("a bad file", &bad, ""), ("a taken address", &world.folder.join("config.json"), &*taken)]
    {
        let variables = [("ROUTER_ADMIN", admin)];
        let new = start_node_in(&world.folder, file, &variables[usize::from(admin.is_empty())..]);
        let output = new.wait_with_output().expect("an end");
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success() && text.lines().count() == 1, "{what}: {text}");
        assert_eq!(world.command("read").status(), 200, "{what}");
    }
    for round in 0..3 {
        let (mut new, admin) = beside(&world);
        wait_until_ready(admin);
        let (third, _) = beside(&world);
        let output = third.wait_with_output().expect("an end");
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success() && text.contains("two processes"), "{round}: {text}");
        assert_eq!(world.command("read").status(), 200, "{round}: by the new one");
        new.kill().expect("killed");
        new.wait().expect("an end");
        assert_eq!(world.command("read").status(), 200, "{round}: by the old one again");
        assert_eq!(call_admin(first, "GET /healthcheck").status(), 200);
    }
    upgrade(&mut world);
    assert_eq!(world.command("read").status(), 200, "and then one that holds");
}

/// Whatever stands where the old process should be costs a bounded wait: the start is as from nothing, and says so.
#[test]
fn nobody_to_ask() {
    type Peer = fn(&std::path::Path);
    let stale: Peer = |path| drop(UnixListener::bind(path).expect("a socket"));
    let hangs: Peer = |path| {
        let door = UnixListener::bind(path).expect("a socket");
        spawn(move || door.incoming().flatten().map(std::mem::ManuallyDrop::new).count());
    };
    let other: Peer = |path| {
        let door = UnixListener::bind(path).expect("a socket");
        spawn(move || {
            for mut stream in door.incoming().flatten() {
                let _ = stream.write_all(b"\n{\"hello\":{\"version\":99}}\n");
                let _ = stream.read(&mut [0; 64]);
            }
        });
    };
    for (what, peer, says) in
        [("stale", stale, false), ("hangs", hangs, true), ("another version", other, true)]
    {
        let (mut first, _) = World::with_admin(1, |_| BackendAction::Succeed);
        first.node.kill().expect("killed");
        first.node.wait().expect("an end");
        let path = first.folder.join(format!("{}.sock", first.listen));
        std::fs::remove_file(&path).expect("the old one's file");
        peer(&path);
        let (mut new, admin) = beside(&first);
        let mut log = BufReader::new(new.stderr.take().expect("a log"));
        first.node = new;
        wait_until_ready(admin);
        assert_eq!(first.command("read").status(), 200, "{what}");
        let mut text = String::new();
        while !text.contains("listening on") {
            assert!(log.read_line(&mut text).expect("a line") > 0, "{what}: {text}");
        }
        assert_eq!(text.contains("starting as from nothing"), says, "{what}: {text}");
    }
}

/// An id that is in hand in either of two processes is open in both: passed on again its command would run twice.
#[test]
fn ids_in_hand_of_both() {
    let acts = |n| if n < 2 { BackendAction::Sized(24 << 20) } else { BackendAction::Succeed };
    let (mut world, first) = World::with_admin(4, acts);
    let (old, new) = (command_request("pay", "a body", ""), command_request("pay", "a body", ""));
    let [mut by_old, mut kept] = [(); 2].map(|()| world.connect());
    by_old.write_all(old.as_bytes()).expect("written");
    wait_until("it is in hand", || by_old.peek(&mut [0; 8]).is_ok_and(|n| n > 0));
    kept.write_all(UP.as_bytes()).expect("written");
    assert_eq!(read_message(&mut kept).expect("an answer").status(), 200);
    let (process, admin) = beside(&world);
    wait_until_ready(admin);
    assert_eq!(world.ask(&old).status(), 409, "asked again of the new one");
    let mut by_new = world.connect();
    by_new.write_all(new.as_bytes()).expect("written");
    wait_until("it is in hand", || by_new.peek(&mut [0; 8]).is_ok_and(|n| n > 0));
    // The old one hears of it with the next beat, a call's answer behind that.
    sleep(Duration::from_millis(500));
    assert_eq!(call_admin(first, "PUT /healthcheck/ok").status(), 200);
    kept.write_all(new.as_bytes()).expect("written");
    assert_eq!(read_message(&mut kept).unwrap_or_default().status(), 409, "asked again of the old one");
    assert_eq!(world.launched(), 2);
    let mut old = std::mem::replace(&mut world.node, process);
    old.kill().expect("killed");
    old.wait().expect("an end");
}

/// What a new process is told, asked for as one would; another version, half a word and noise get nothing, and the
/// process at the door serves on. A backend called back is told to have started then, whatever the list says: to a new
/// process it would be warm.
#[test]
fn what_a_new_process_is_told() {
    let (world, admin) = World::with_admin(2, |_| BackendAction::Succeed);
    let path = world.folder.join(format!("{}.sock", world.listen));
    let ask = |text: &str| {
        let mut stream = UnixStream::connect(&path).expect("a door");
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a limit");
        stream.write_all(text.as_bytes()).expect("written");
        let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
        lines.next();
        lines.next().and_then(|line| serde_json::from_str::<Value>(&line).ok())
    };
    for text in ["{\"hello\":{\"version\":99}}\n", "{\"hello\":{\"vers", "no word\n", "{\"done\":null}\n"] {
        assert_eq!(ask(text), None, "{text}");
    }
    for text in ["PUT /backends/b0/maint", "PUT /backends/b0/ready", "PUT /backends/b1/maint"] {
        assert_eq!(call_admin(admin, text).status(), 200);
    }
    wait_until("a watch", || world.watches.load(SeqCst) > 0);
    let line = json!({"index": 77, "snapshot": true, "endpoints": world.entries}).to_string();
    world.list.send(line).expect("a watch");
    let mut state = Value::Null;
    wait_until("the list of that index", || {
        state = ask("{\"hello\":{\"version\":1}}\n").unwrap_or_default()["state"].clone();
        state["list"]["index"] == 77
    });
    assert_eq!(state["left_out"], json!(["b1"]));
    let entries = &state["list"]["endpoints"];
    assert!(entries[0]["since_ms"].as_u64() > Some(0) && entries[1]["since_ms"] == 0, "{entries}");
    assert_eq!(world.command("read").status(), 200);
}

/// A second new process that comes while the first is still being told what there is, more than its socket holds, finds no
/// room, and the first one's end makes room again. Before, both were let in.
#[test]
fn two_new_processes_at_once() {
    let (world, _) = World::with_admin(1, |_| BackendAction::Succeed);
    let path = world.folder.join(format!("{}.sock", world.listen));
    wait_until("a watch", || world.watches.load(SeqCst) > 0);
    let many = (0..6000).map(|n| {
        let mut entry = world.entries[0].clone();
        (entry["name"], entry["status"]) =
            (format!("b{n}").into(), if n == 0 { "ready" } else { "draining" }.into());
        entry
    });
    let line = json!({"index": 77, "snapshot": true, "endpoints": many.collect::<Vec<_>>()}).to_string();
    world.list.send(line).expect("a watch");
    let hello = || {
        let mut stream = UnixStream::connect(&path).expect("a door");
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a limit");
        stream.write_all(b"{\"hello\":{\"version\":1}}\n").expect("written");
        stream
    };
    // Behind the byte that the listening socket comes beside.
    let word = |stream: UnixStream| {
        let line = BufReader::new(stream).lines().nth(1).and_then(Result::ok).unwrap_or_default();
        (line.split('"').nth(1).unwrap_or_default().to_owned(), line.len())
    };
    wait_until("the list is taken", || word(hello()).1 > 600_000);
    let being_told = || {
        let (mut first, mut begin) = (hello(), [0; 8]);
        let told = first.read_exact(&mut begin).is_ok() && &begin == b"\n{\"state";
        told.then_some(first)
    };
    wait_until("a second one has come in the time that the first has", || {
        let since = Instant::now();
        let Some(_first) = being_told() else { return false };
        let said = word(hello()).0;
        // Whoever does not read on is given up after 0.6 s, and then there is room.
        let in_time = since.elapsed() < Duration::from_millis(400);
        assert!(!in_time || said == "no", "{said}");
        in_time
    });
    wait_until("there is room again", || word(hello()).0 == "state");
    assert_eq!(world.command("read").status(), 200);
}

/// A new process that is told to stop before it has read its start takes the connections all the same and lets them go
/// again as it ends: who comes meanwhile is served, and then the old one serves on, until another comes that stays.
#[test]
fn a_new_process_that_is_told_to_stop() {
    let (mut world, _) = World::with_admin(2, |_| BackendAction::Succeed);
    let admin = second_address(&world.config).to_string();
    let (mut new, _, mut told) = start_held(&world.folder, &[("ROUTER_ADMIN", &admin)]);
    send_signal(&new, "-TERM");
    told.write_all(world.config.to_string().as_bytes()).expect("written");
    drop(told);
    let mut after = 0;
    wait_until("it has ended, and the old one serves", || {
        assert_eq!(world.command("read").status(), 200, "{after} after its end");
        after += u32::from(new.try_wait().expect("a process").is_some_and(|end| end.success()));
        after == 10
    });
    upgrade(&mut world);
    assert_eq!(world.command("read").status(), 200, "by one that stays");
}

/// Two processes are one node, also for its budget of launches: the new one launches nothing beyond commands' first
/// while the old one runs and a window after, as the old one may have spent what is spare; then it may.
#[test]
fn what_is_spare_is_had_once() {
    let mut world = World::new(
        4,
        |n| if n < 2 { BackendAction::Status(503, "X-Unprocessed: 1\r\n") } else { BackendAction::Succeed },
        |config| {
            config["admin"] = second_address(config).to_string().into();
            let rules = &mut config["settings"]["guarantees"];
            rules["spareAttempts"] = 1.into();
            rules["repeatRatio"] = 0.into();
            rules["extraWindow"] = 50_000_000.into();
        },
    );
    let (new, admin) = beside(&world);
    wait_until_ready(admin);
    assert_eq!((world.command("read").status(), world.launched()), (503, 1), "while the old one runs");
    let mut old = std::mem::replace(&mut world.node, new);
    send_signal(&old, "-TERM");
    assert!(old.wait().expect("an end").success());
    sleep(Duration::from_millis(200));
    assert_eq!((world.command("read").status(), world.launched()), (200, 3), "a window after it has ended");
}
