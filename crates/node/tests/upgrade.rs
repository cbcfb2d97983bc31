//! Upgrades: a second process of the node starts beside the first, which then exits; what carries over and what may go wrong.

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

/// Starts another process beside the running ones and returns it with its admin address.
fn start_beside(fixture: &NodeFixture) -> (Child, SocketAddr) {
    let admin = free_admin_address(&fixture.config);
    let file = fixture.dir.join("config.json");
    (start_node_in(&fixture.dir, &file, &[("ROUTER_ADMIN", &admin.to_string())]), admin)
}

/// Replaces the running process with a new one; the old one must exit successfully.
fn upgrade(fixture: &mut NodeFixture) -> SocketAddr {
    let (new, admin) = start_beside(fixture);
    wait_until_ready(admin);
    let mut old = std::mem::replace(&mut fixture.process, new);
    send_signal(&old, "-TERM");
    assert!(old.wait().expect("an end").success());
    admin
}

/// Repeated upgrades under load: each command is answered, and no once-only command runs twice. Clients that keep their
/// connection are told to close it before it ends.
#[test]
fn upgrades_under_load_lose_nothing() {
    let (mut fixture, _) = NodeFixture::with_admin(4, |_| BackendAction::Succeed);
    let is_over = Arc::new(AtomicBool::new(false));
    let start_client = |keeps_connection: bool| {
        let (is_over, listen) = (is_over.clone(), fixture.listen);
        spawn(move || {
            let mut answers = Vec::new();
            let mut stream = None;
            while !is_over.load(SeqCst) {
                let mut connection = stream.take().unwrap_or_else(|| connect_to(listen));
                connection.write_all(command_request("pay", "a body", "").as_bytes()).expect("written");
                let reply = read_message(&mut connection).unwrap_or_default();
                let close = reply.header("connection") == Some("close");
                answers.push(reply.status());
                stream = (keeps_connection && !close).then_some(connection);
                sleep(Duration::from_millis(5));
            }
            answers
        })
    };
    let clients: Vec<_> = [true, false, true, false].map(start_client).into();
    for _ in 0..3 {
        sleep(Duration::from_millis(100));
        upgrade(&mut fixture);
    }
    is_over.store(true, SeqCst);
    let answers: Vec<u16> =
        clients.into_iter().flat_map(|l| l.join().expect("no client is cut off")).collect();
    assert!(answers.iter().all(|status| [200, 503].contains(status)), "{answers:?}");
    assert!(answers.iter().filter(|status| **status == 200).count() > answers.len() / 2, "{answers:?}");
    let mut launched: HashMap<String, usize> = HashMap::new();
    for (_, launch) in fixture.launches.lock().expect("launches").iter() {
        *launched.entry(launch.header("x-correlation-id").unwrap_or_default().to_owned()).or_default() += 1;
    }
    assert!(launched.values().all(|times| *times == 1), "{launched:?}");
}

/// Guards against an effect that happens once in each process of an upgrade. The failure: the new process learned the ids of the
/// old one every 50 ms, and only of those that were out just then.
#[test]
fn an_id_that_may_have_run_in_one_process_does_not_run_in_the_other() {
    let (mut fixture, _) = NodeFixture::with_admin(4, |_| BackendAction::SucceedLate);
    // A connection that was used is closed with its next answer, so each serves one command after the handover.
    let mut kept: Vec<_> = (0..8).map(|_| fixture.connect()).collect();
    for stream in &mut kept {
        stream.write_all(UP_REQUEST.as_bytes()).expect("written");
        assert_eq!(read_message(stream).unwrap_or_default().status(), 200);
    }
    let request_before = command_request("pay", "before", "");
    assert_eq!(fixture.send_request(&request_before).status(), 200);
    let (new, admin) = start_beside(&fixture);
    wait_until_ready(admin);
    assert_eq!(fixture.send_request(&request_before).status(), 409, "it ran before the new process");
    let mut requests = vec![request_before];
    for (number, mut stream) in kept.into_iter().enumerate() {
        let request = command_request("pay", "once", "");
        let before = fixture.launch_count();
        stream.write_all(request.as_bytes()).expect("written");
        wait_until("the launch", || fixture.launch_count() > before);
        drop(stream);
        if number % 2 == 0 {
            // The old process has nothing of it in hand any more.
            sleep(Duration::from_millis(400));
        }
        assert_eq!(fixture.send_request(&request).status(), 409, "command {number}");
        assert_eq!(fixture.launch_count(), before + 1, "command {number}");
        requests.push(request);
    }
    let mut old = std::mem::replace(&mut fixture.process, new);
    send_signal(&old, "-TERM");
    assert!(old.wait().expect("an end").success());
    let before = fixture.launch_count();
    for request in &requests {
        assert_eq!(fixture.send_request(request).status(), 409, "the old process has gone");
    }
    assert_eq!(fixture.launch_count(), before);
}

/// Operators' requests outlive the process, and with two processes a request to either applies to both: a backend in
/// maintenance stays there, a failed health check stays failed, and the backend list stays as discovery sent it last.
#[test]
fn operator_requests_survive_an_upgrade() {
    let (mut fixture, first) = NodeFixture::with_admin(3, |_| BackendAction::Succeed);
    wait_until("a watch", || fixture.watch_count.load(SeqCst) > 0);
    let mut gone = fixture.backend_entries[2].clone();
    gone["status"] = "gone".into();
    let line = json!({"index": 10, "snapshot": false, "endpoints": [gone]}).to_string();
    fixture.watch_lines.send(line).expect("a watch");
    assert_eq!(call_admin(first, "PUT /backends/b0/maint").status(), 200);
    assert_eq!(call_admin(first, "PUT /healthcheck/fail").status(), 200);
    let second = upgrade(&mut fixture);
    assert_eq!(fixture.send_request(UP_REQUEST).status(), 503, "the health check still fails");
    assert_eq!(call_admin(second, "PUT /healthcheck/ok").status(), 200);
    assert_eq!(fixture.send_request(UP_REQUEST).status(), 200);
    for _ in 0..12 {
        assert_eq!(fixture.send_command("read").status(), 200);
    }
    let launched_at: Vec<usize> =
        fixture.launches.lock().expect("launches").iter().map(|(n, _)| *n).collect();
    assert!(launched_at.iter().all(|n| *n == 1), "b0 is in maintenance and b2 is gone: {launched_at:?}");
    // While two processes run, a request to the old one applies to the new one too, and the other way round.
    let mut kept = fixture.connect();
    kept.write_all(UP_REQUEST.as_bytes()).expect("written");
    assert_eq!(read_message(&mut kept).expect("an answer").status(), 200);
    let (new, third) = start_beside(&fixture);
    wait_until_ready(third);
    assert_eq!(call_admin(second, "PUT /backends/b0/ready").status(), 200);
    assert_eq!(call_admin(second, "PUT /backends/b1/maint").status(), 200);
    let before = fixture.launch_count();
    assert_eq!(fixture.send_command("read").status(), 200);
    assert_eq!(fixture.launches.lock().expect("launches")[before].0, 0, "the new process applies it");
    assert_eq!(call_admin(third, "PUT /backends/b0/maint").status(), 200);
    kept.write_all(command_request("read", "a body", "").as_bytes()).expect("written");
    let reply = read_message(&mut kept).expect("an answer");
    assert_eq!(
        (reply.status(), reply.header("connection")),
        (503, Some("close")),
        "the old process applies it"
    );
    let old = std::mem::replace(&mut fixture.process, new);
    send_signal(&old, "-KILL");
    old.wait_with_output().expect("an end");
    assert_eq!(
        call_admin(third, "PUT /backends/b0/ready").status(),
        200,
        "no wait for a process that is gone"
    );
    assert_eq!(fixture.send_command("read").status(), 200);
}

/// A new process that fails to start, or dies after it has taken the connections, leaves the old one as it was. A third process
/// is refused while two run.
#[test]
fn a_failed_upgrade_leaves_the_old_process_serving() {
    let (mut fixture, first) = NodeFixture::with_admin(2, |_| BackendAction::Succeed);
    let invalid = fixture.dir.join("bad.json");
    std::fs::write(&invalid, "{").expect("a file");
    let taken_address = first.to_string();
    for (what, file, admin) in [
        ("an invalid file", &invalid, ""),
        ("a taken address", &fixture.dir.join("config.json"), &*taken_address),
    ] {
        let variables = [("ROUTER_ADMIN", admin)];
        let new = start_node_in(&fixture.dir, file, &variables[usize::from(admin.is_empty())..]);
        let output = new.wait_with_output().expect("an end");
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success() && text.lines().count() == 1, "{what}: {text}");
        assert_eq!(fixture.send_command("read").status(), 200, "{what}");
    }
    for round in 0..3 {
        let (mut new, admin) = start_beside(&fixture);
        wait_until_ready(admin);
        let (third, _) = start_beside(&fixture);
        let output = third.wait_with_output().expect("an end");
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success() && text.contains("two processes"), "{round}: {text}");
        assert_eq!(fixture.send_command("read").status(), 200, "{round}: by the new process");
        new.kill().expect("killed");
        new.wait().expect("an end");
        assert_eq!(fixture.send_command("read").status(), 200, "{round}: by the old process again");
        assert_eq!(call_admin(first, "GET /healthcheck").status(), 200);
    }
    upgrade(&mut fixture);
    assert_eq!(fixture.send_command("read").status(), 200, "after an upgrade that lasts");
}

/// If something else holds the old process's socket, the new one waits for a bounded time, starts without former state and logs
/// that.
#[test]
fn without_a_usable_old_process_the_start_is_fresh() {
    type Peer = fn(&std::path::Path);
    let stale: Peer = |path| drop(UnixListener::bind(path).expect("a socket"));
    let hanging: Peer = |path| {
        let listener = UnixListener::bind(path).expect("a socket");
        spawn(move || listener.incoming().flatten().map(std::mem::ManuallyDrop::new).count());
    };
    let other_version: Peer = |path| {
        let listener = UnixListener::bind(path).expect("a socket");
        spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let _ = stream.write_all(b"\n{\"hello\":{\"version\":99}}\n");
                let _ = stream.read(&mut [0; 64]);
            }
        });
    };
    for (what, peer, says_so) in
        [("stale", stale, false), ("hangs", hanging, true), ("another version", other_version, true)]
    {
        let (mut fixture, _) = NodeFixture::with_admin(1, |_| BackendAction::Succeed);
        fixture.process.kill().expect("killed");
        fixture.process.wait().expect("an end");
        let path = fixture.dir.join(format!("{}.sock", fixture.listen));
        std::fs::remove_file(&path).expect("the socket of the old process");
        peer(&path);
        let (mut new, admin) = start_beside(&fixture);
        let mut log = BufReader::new(new.stderr.take().expect("a log"));
        fixture.process = new;
        wait_until_ready(admin);
        assert_eq!(fixture.send_command("read").status(), 200, "{what}");
        let mut text = String::new();
        while !text.contains("listening on") {
            assert!(log.read_line(&mut text).expect("a line") > 0, "{what}: {text}");
        }
        assert_eq!(text.contains("starting as from nothing"), says_so, "{what}: {text}");
    }
}

/// A command id in progress in one of two processes is in progress in both: otherwise a repeated command would run twice.
#[test]
fn command_ids_in_progress_are_shared() {
    let action_of = |n| if n < 2 { BackendAction::BodyWithLength(24 << 20) } else { BackendAction::Succeed };
    let (mut fixture, first) = NodeFixture::with_admin(4, action_of);
    let (old_command, new_command) =
        (command_request("pay", "a body", ""), command_request("pay", "a body", ""));
    let [mut by_old, mut kept] = [(); 2].map(|()| fixture.connect());
    by_old.write_all(old_command.as_bytes()).expect("written");
    wait_until("the start of the answer", || by_old.peek(&mut [0; 8]).is_ok_and(|n| n > 0));
    kept.write_all(UP_REQUEST.as_bytes()).expect("written");
    assert_eq!(read_message(&mut kept).expect("an answer").status(), 200);
    let (process, admin) = start_beside(&fixture);
    wait_until_ready(admin);
    assert_eq!(fixture.send_request(&old_command).status(), 409, "repeated at the new process");
    let mut by_new = fixture.connect();
    by_new.write_all(new_command.as_bytes()).expect("written");
    wait_until("the start of the answer", || by_new.peek(&mut [0; 8]).is_ok_and(|n| n > 0));
    // The old process learns of it with the next heartbeat; the answer to an admin request comes after that.
    sleep(Duration::from_millis(500));
    assert_eq!(call_admin(first, "PUT /healthcheck/ok").status(), 200);
    kept.write_all(new_command.as_bytes()).expect("written");
    assert_eq!(read_message(&mut kept).unwrap_or_default().status(), 409, "repeated at the old process");
    assert_eq!(fixture.launch_count(), 2);
    let mut old = std::mem::replace(&mut fixture.process, process);
    old.kill().expect("killed");
    old.wait().expect("an end");
}

/// The state that a new process receives over the upgrade socket. Another version, a partial message and noise get no state,
/// and the process keeps serving. A backend back from maintenance is reported as started at that time, whatever the list says:
/// otherwise a new process would consider it warm.
#[test]
fn a_new_process_receives_the_present_state() {
    let (fixture, admin) = NodeFixture::with_admin(2, |_| BackendAction::Succeed);
    let path = fixture.dir.join(format!("{}.sock", fixture.listen));
    let exchange = |text: &str| {
        let mut stream = UnixStream::connect(&path).expect("a listening socket");
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a timeout");
        stream.write_all(text.as_bytes()).expect("written");
        let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
        lines.next();
        lines.next().and_then(|line| serde_json::from_str::<Value>(&line).ok())
    };
    for text in ["{\"hello\":{\"version\":99}}\n", "{\"hello\":{\"vers", "no word\n", "{\"done\":null}\n"] {
        assert_eq!(exchange(text), None, "{text}");
    }
    for text in ["PUT /backends/b0/maint", "PUT /backends/b0/ready", "PUT /backends/b1/maint"] {
        assert_eq!(call_admin(admin, text).status(), 200);
    }
    wait_until("a watch", || fixture.watch_count.load(SeqCst) > 0);
    let line = json!({"index": 77, "snapshot": true, "endpoints": fixture.backend_entries}).to_string();
    fixture.watch_lines.send(line).expect("a watch");
    let mut state = Value::Null;
    wait_until("the list of that index", || {
        state = exchange("{\"hello\":{\"version\":1}}\n").unwrap_or_default()["state"].clone();
        state["list"]["index"] == 77
    });
    assert_eq!(state["left_out"], json!(["b1"]));
    let entries = &state["list"]["endpoints"];
    assert!(entries[0]["since_ms"].as_u64() > Some(0) && entries[1]["since_ms"] == 0, "{entries}");
    assert_eq!(fixture.send_command("read").status(), 200);
}

/// A second new process that connects while the first is still receiving its state, which is larger than the socket buffer, is
/// refused; the end of the first one makes room again. The failure: both were accepted.
#[test]
fn a_second_new_process_is_refused() {
    let (fixture, _) = NodeFixture::with_admin(1, |_| BackendAction::Succeed);
    let path = fixture.dir.join(format!("{}.sock", fixture.listen));
    wait_until("a watch", || fixture.watch_count.load(SeqCst) > 0);
    let entries = (0..6000).map(|n| {
        let mut entry = fixture.backend_entries[0].clone();
        (entry["name"], entry["status"]) =
            (format!("b{n}").into(), if n == 0 { "ready" } else { "draining" }.into());
        entry
    });
    let line = json!({"index": 77, "snapshot": true, "endpoints": entries.collect::<Vec<_>>()}).to_string();
    fixture.watch_lines.send(line).expect("a watch");
    let send_hello = || {
        let mut stream = UnixStream::connect(&path).expect("a listening socket");
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a timeout");
        stream.write_all(b"{\"hello\":{\"version\":1}}\n").expect("written");
        stream
    };
    // The answer follows the byte that carries the listening socket.
    let read_answer = |stream: UnixStream| {
        let line = BufReader::new(stream).lines().nth(1).and_then(Result::ok).unwrap_or_default();
        (line.split('"').nth(1).unwrap_or_default().to_owned(), line.len())
    };
    wait_until("the list to be applied", || read_answer(send_hello()).1 > 600_000);
    let begin_transfer = || {
        let (mut stream, mut start) = (send_hello(), [0; 8]);
        let has_begun = stream.read_exact(&mut start).is_ok() && &start == b"\n{\"state";
        has_begun.then_some(stream)
    };
    wait_until("a second process to connect while the first is served", || {
        let since = Instant::now();
        let Some(_first) = begin_transfer() else { return false };
        let answer = read_answer(send_hello()).0;
        // A process that stops reading is dropped after 0.6 s, and then there is room.
        let in_time = since.elapsed() < Duration::from_millis(400);
        assert!(!in_time || answer == "no", "{answer}");
        in_time
    });
    wait_until("room for a new process", || read_answer(send_hello()).0 == "state");
    assert_eq!(fixture.send_command("read").status(), 200);
}

/// A new process that receives SIGTERM before it has read its configuration still takes the connections and hands them back as
/// it exits: clients are served meanwhile, and then the old process serves on until another new one stays.
#[test]
fn a_new_process_that_stops_at_once_hands_back() {
    let (mut fixture, _) = NodeFixture::with_admin(2, |_| BackendAction::Succeed);
    let admin = free_admin_address(&fixture.config).to_string();
    let (mut new, _, mut config_writer) = start_node_reading_fifo(&fixture.dir, &[("ROUTER_ADMIN", &admin)]);
    send_signal(&new, "-TERM");
    config_writer.write_all(fixture.config.to_string().as_bytes()).expect("written");
    drop(config_writer);
    let mut commands_after_exit = 0;
    wait_until("its exit and ten commands by the old process", || {
        assert_eq!(
            fixture.send_command("read").status(),
            200,
            "{commands_after_exit} commands after its exit"
        );
        commands_after_exit += u32::from(new.try_wait().expect("a process").is_some_and(|end| end.success()));
        commands_after_exit == 10
    });
    upgrade(&mut fixture);
    assert_eq!(fixture.send_command("read").status(), 200, "by a process that stays");
}

/// Two processes of a node share its retry budget: while the old one runs, and for one window after, the new one makes only the
/// first launch of each command, because the old one may have used up the spare launches. Then it may retry.
#[test]
fn two_processes_do_not_double_the_retry_budget() {
    let mut fixture = NodeFixture::new(
        4,
        |n| if n < 2 { BackendAction::Status(503, "X-Unprocessed: 1\r\n") } else { BackendAction::Succeed },
        |config| {
            config["admin"] = free_admin_address(config).to_string().into();
            let rules = &mut config["settings"]["guarantees"];
            rules["spareAttempts"] = 1.into();
            rules["repeatRatio"] = 0.into();
            rules["extraWindow"] = 50_000_000.into();
        },
    );
    let (new, admin) = start_beside(&fixture);
    wait_until_ready(admin);
    assert_eq!(
        (fixture.send_command("read").status(), fixture.launch_count()),
        (503, 1),
        "while the old process runs"
    );
    let mut old = std::mem::replace(&mut fixture.process, new);
    send_signal(&old, "-TERM");
    assert!(old.wait().expect("an end").success());
    sleep(Duration::from_millis(200));
    assert_eq!(
        (fixture.send_command("read").status(), fixture.launch_count()),
        (200, 3),
        "a window after it has exited"
    );
}
