//! A node process on loopback sockets, tested with tables of cases.

#[allow(dead_code)]
mod world;

use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering::SeqCst;
use std::thread::sleep;
use std::time::Duration;
use world::*;

/// A complete chunked body. Read by a longer `Content-Length` it would contain another command: request smuggling.
const CHUNKED_BODY: &str = "2\r\nab\r\n0\r\n\r\nPOST /api HTTP/1.1\r\nHost: o\r\nX-Correlation-Id: 66\r\n\
    X-Service-Class: read\r\nX-Time-Left-Ms: 450\r\nContent-Length: 0\r\n\r\n";

/// An invalid command is answered with its own status or a closed connection at once, and never reaches a backend.
#[test]
fn invalid_requests_are_rejected() {
    let fixture = NodeFixture::new(1, |_| BackendAction::Succeed, |_| {});
    let valid = command_request("mark", "a body", "");
    let without_header =
        |name: &str| valid.split("\r\n").filter(|l| !l.starts_with(name)).collect::<Vec<_>>().join("\r\n");
    let big = command_request("mark", "", "").replace("Length: 0", "Length: 33554433");
    let chunks_last = command_request("mark", "", "")
        .replace("Length: 0\r\n", "Length: 9\r\nTransfer-Encoding: chunked\r\n")
        + "body";
    let cases: &[(&str, String, u16)] = &[
        ("a valid command", valid.clone(), 200),
        ("the largest body", command_request("mark", &"x".repeat(64 << 10), ""), 200),
        ("unknown path", valid.replace("/api", "/apis"), 404),
        ("no id", without_header("X-Correlation-Id"), 400),
        ("two ids", command_request("mark", "a body", "X-Correlation-Id: 7\r\n"), 400),
        ("a negative length", valid.replace("Length: 6", "Length: -6"), 400),
        ("two different lengths", command_request("mark", "a body", "Content-Length: 5\r\n"), 400),
        ("a length beyond any limit", valid.replace("Length: 6", "Length: 62914560"), 413),
        (
            "two lengths, chunked first",
            command_request("mark", CHUNKED_BODY, "Transfer-Encoding: chunked\r\n"),
            400,
        ),
        ("two lengths, chunked last", chunks_last.replace("body", CHUNKED_BODY), 400),
        ("no profile", without_header("X-Service-Class"), 400),
        ("unknown profile", command_request("steal", "", ""), 400),
        ("no time left", without_header("X-Time-Left-Ms"), 400),
        ("an invalid time left", valid.replace("450", "4.5e2"), 400),
        ("a negative time left", valid.replace("450", "-450"), 400),
        ("no idempotency key", without_header("Idempotency-Key"), 400),
        ("another method", valid.replace("POST", "DELETE"), 400),
        ("not HTTP", "open sesame\r\n\r\n".into(), 400),
        (
            "a head without end",
            format!("GET /api HTTP/1.1\r\nX-Long: {}\r\n\r\n", "x".repeat(200 << 10)),
            431,
        ),
        ("too large a body", big, 413),
    ];
    for (what, text, status) in cases {
        let before = fixture.launch_count();
        assert_eq!(fixture.send_request(text).status(), *status, "{what}");
        assert_eq!(fixture.launch_count() > before, *status == 200, "{what}");
    }
}

/// A second request with the id of a command in progress must not make the command run twice, and the first client still
/// receives its answer.
#[test]
fn an_id_in_progress_is_launched_once() {
    let fixture = NodeFixture::new(2, |_| BackendAction::SucceedLate, |_| {});
    let text = command_request("pay", "a body", "");
    let mut first = fixture.connect();
    first.write_all(text.as_bytes()).expect("written");
    wait_until("the launch", || fixture.launch_count() == 1);
    let reply = fixture.send_request(&text);
    assert_eq!((reply.status(), reply.header("connection")), (409, Some("close")));
    assert_eq!(read_message(&mut first).unwrap_or_default().status(), 200);
    assert_eq!(fixture.launch_count(), 1);
    // Once the command is answered its id is still refused, as its effect must not happen twice; any other is served.
    assert_eq!(fixture.send_request(&text).status(), 409);
    assert_eq!(fixture.launch_count(), 1);
    assert_eq!(fixture.send_command("pay").status(), 200);
    // A command that may run any number of times may come again under its id.
    let repeatable = command_request("read", "a body", "");
    assert_eq!([(); 2].map(|()| fixture.send_request(&repeatable).status()), [200, 200]);
}

/// A connection that sends nothing, or stops in the middle of its first command, is closed; one that has carried a command is
/// kept open.
#[test]
fn connections_without_a_command_are_closed() {
    let fixture = NodeFixture::new(1, |_| BackendAction::Succeed, |_| {});
    let text = command_request("read", "a body", "");
    let parts = [0, 40, text.len() - 3, text.len()].map(|part| {
        let mut stream = fixture.connect();
        stream.write_all(&text.as_bytes()[..part]).expect("written");
        (part, stream)
    });
    for (part, mut stream) in parts {
        match part == text.len() {
            true => assert_eq!(read_message(&mut stream).expect("an answer").status(), 200),
            false => {
                // Either an error or just the end, but before the read times out.
                let mut rest = Vec::new();
                let end = stream.read_to_end(&mut rest);
                assert!(end.is_ok(), "{part} bytes: {end:?}");
                assert!(rest.is_empty() || rest.starts_with(b"HTTP/1.1 4"), "{part} bytes");
            }
        }
        if part == text.len() {
            stream.write_all(command_request("read", "", "").as_bytes()).expect("written");
            assert_eq!(read_message(&mut stream).expect("an answer").status(), 200);
        }
    }
}

/// What the end of a first launch proves about whether the command ran, and so whether a second launch may follow, by profile.
#[test]
fn relaunches_follow_only_where_they_are_safe() {
    type ActionOf = fn(usize) -> BackendAction;
    let cases: &[(&str, ActionOf, bool)] = &[
        ("an error", |n| if n == 0 { BackendAction::Status(500, "") } else { BackendAction::Succeed }, true),
        (
            "full",
            |n| {
                if n == 0 {
                    BackendAction::Status(503, "X-Unprocessed: 1\r\n")
                } else {
                    BackendAction::Succeed
                }
            },
            false,
        ),
        (
            "timed out unprocessed",
            |n| {
                if n == 0 {
                    BackendAction::Status(504, "X-Unprocessed: 1\r\n")
                } else {
                    BackendAction::Succeed
                }
            },
            false,
        ),
        (
            "503 without proof",
            |n| if n == 0 { BackendAction::Status(503, "") } else { BackendAction::Succeed },
            true,
        ),
        (
            "closed without an answer",
            |n| if n == 0 { BackendAction::CloseConnection } else { BackendAction::Succeed },
            true,
        ),
        (
            "half an answer",
            |n| if n == 0 { BackendAction::TruncatedAnswer } else { BackendAction::Succeed },
            true,
        ),
    ];
    for (what, action_of, may_have_run) in cases {
        for (profile, may_repeat) in [("read", true), ("mark", true), ("pay", false)] {
            let fixture = NodeFixture::new(2, *action_of, |_| {});
            let relaunches = may_repeat || !may_have_run;
            let reply = fixture.send_command(profile);
            assert_eq!(reply.status(), if relaunches { 200 } else { 502 }, "{what}, {profile}");
            assert_eq!(fixture.launch_count(), if relaunches { 2 } else { 1 }, "{what}, {profile}");
            // In every case the node keeps serving.
            assert_eq!(fixture.send_command("pay").status(), 200, "{what}, {profile}");
        }
    }
}

/// Successful answers may be larger than the protocol allows, and are forwarded whole. One that announces gigabytes fails by
/// its head already: waiting for the rest would leave its command no time for another launch.
#[test]
fn large_answers_are_forwarded_and_huge_ones_fail_early() {
    let fixture = NodeFixture::new(
        1,
        |_| BackendAction::OversizedAnswer,
        |config| config["limits"]["memory_mb"] = 32.into(),
    );
    for n in 1..=20 {
        let reply = fixture.send_command("pay");
        assert_eq!((reply.status(), reply.body.len()), (200, 400_009), "command {n}");
        assert!(reply.body.starts_with(b"from \x01\x02") && reply.body.ends_with(b"x"));
        assert_eq!(fixture.launch_count(), n);
    }
    let fixture = NodeFixture::new(
        2,
        |n| if n == 0 { BackendAction::HugeContentLength } else { BackendAction::Succeed },
        |_| {},
    );
    assert_eq!((fixture.send_command("read").status(), fixture.launch_count()), (200, 2));
}

/// A refused connection proves that the backend was not reached: even a once-only command goes to another backend.
#[test]
fn a_refused_connection_does_not_count_as_a_launch() {
    let fixture = NodeFixture::new(
        1,
        |_| BackendAction::Succeed,
        |config| {
            let entries = config["known"]["endpoints"].as_array_mut().expect("entries");
            let mut dead = entries[0].clone();
            (dead["name"], dead["address"]) = ("dead".into(), "127.0.0.1:9".into());
            entries.push(dead);
        },
    );
    for n in 1..=12 {
        assert_eq!(fixture.send_command("pay").status(), 200);
        assert_eq!(fixture.launch_count(), n);
    }
}

/// Backends may close idle connections at any time: a command that was certainly not sent goes out on another one, and only
/// once.
#[test]
fn connections_closed_by_backends_lose_no_command() {
    let fixture = NodeFixture::new(1, |_| BackendAction::SucceedAndClose, |_| {});
    for n in 1..=20 {
        assert_eq!(fixture.send_command("pay").status(), 200, "command {n}");
        assert_eq!(fixture.launch_count(), n);
        sleep(Duration::from_millis(5));
    }
}

/// Bodies and end-to-end headers are forwarded unchanged in both directions; hop-by-hop headers are not forwarded.
#[test]
fn bodies_and_end_to_end_headers_are_forwarded() {
    let fixture = NodeFixture::new(1, |_| BackendAction::Succeed, |_| {});
    let headers = "X-Facts: a=1,b=2\r\nConnection: X-Mine, keep-alive\r\nX-Mine: 1\r\nTE: trailers\r\n";
    let text =
        command_request("mark", "\u{1}\r\n\r\nbody", headers).replace("/api", "/api/a%20b?obj=7&x=%2F");
    let reply = fixture.send_request(&text);
    assert_eq!(reply.body, b"from \x01\x02\r\n");
    assert_eq!((reply.header("x-kept"), reply.header("keep-alive")), (Some("yes"), None));
    let launches = fixture.launches.lock().expect("launches");
    let launch = &launches[0].1;
    assert_eq!(launch.start_line, "POST /api/a%20b?obj=7&x=%2F HTTP/1.1");
    assert_eq!(launch.body, "\u{1}\r\n\r\nbody".as_bytes());
    for (name, value) in [
        ("x-correlation-id", text.split("Id: ").nth(1).and_then(|t| t.split('\r').next())),
        ("idempotency-key", Some("5c0f")),
        ("x-facts", Some("a=1,b=2")),
        ("x-mine", None),
        ("te", None),
    ] {
        assert_eq!(launch.header(name), value, "{name}");
    }
    let left: u64 = launch.header("x-time-left-ms").and_then(|l| l.parse().ok()).expect("the time left");
    assert!(left <= 450);
}

/// A client that disconnects leaves nothing behind: its launch runs to its end, and the node serves the next client.
#[test]
fn clients_that_disconnect_leave_nothing_behind() {
    let fixture = NodeFixture::new(2, |_| BackendAction::SucceedLate, |_| {});
    for n in 1..=6 {
        let mut stream = fixture.connect();
        let text = command_request("pay", "a body", "");
        // Every other client disconnects in the middle of its head.
        let part = if n % 2 == 0 { 40 } else { text.len() };
        stream.write_all(&text.as_bytes()[..part]).expect("written");
        if n % 2 == 1 {
            wait_until("the launch", || fixture.launch_count() > n / 2);
        }
        drop(stream);
        sleep(Duration::from_millis(200));
    }
    wait_until("a served command", || fixture.send_command("read").status() == 200);
}

/// Where the settings allow probes, they are sent and answered, and none looks like a command.
#[test]
fn allowed_probes_are_sent() {
    let fixture = NodeFixture::new(
        3,
        |_| BackendAction::Succeed,
        |config| {
            let settings = &mut config["settings"];
            settings["balancers"] = 4.into();
            settings["limits"]["mayProbe"] = true.into();
            settings["report"] = json!({"how": "pull", "names": ["outstanding", "backlog", "utilization"]});
            settings["penalties"] = json!({"probe": 0.002});
        },
    );
    for n in 0..6 {
        assert_eq!(fixture.send_command("read").status(), 200, "command {n}");
    }
    let probes = fixture.probes.lock().expect("probes");
    assert!(!probes.is_empty());
    assert!(probes.iter().all(|p| p.header("x-correlation-id").is_none()), "{probes:?}");
}

/// Without any backend a command is rejected at once, with a retry time where the settings allow it.
#[test]
fn rejections_carry_a_retry_time_where_allowed() {
    for (allowed, expected) in [(true, true), (false, false)] {
        let fixture = match allowed {
            true => NodeFixture::new(0, |_| BackendAction::Succeed, |_| {}),
            false => NodeFixture::new(
                0,
                |_| BackendAction::Succeed,
                |c| c["settings"]["limits"]["retryAfter"] = false.into(),
            ),
        };
        let reply = fixture.send_command("pay");
        assert_eq!(reply.status(), 503);
        let after = reply.header("retry-after").map(|a| a.parse::<f64>().expect("seconds"));
        assert_eq!(after.is_some_and(|a| a > 0.0 && a <= 2.0), expected, "{after:?}");
    }
}

/// A draining or gone backend gets no launches. Messages and entries of the list that cannot be parsed are skipped, and the
/// others count.
#[test]
fn unreadable_list_entries_are_skipped() {
    let fixture = NodeFixture::new(2, |_| BackendAction::Succeed, |_| {});
    wait_until("a watch", || fixture.watch_count.load(SeqCst) >= 1);
    let update = |n: usize, key: &str, value: Value| {
        let mut entry = fixture.backend_entries[n].clone();
        entry[key] = value;
        json!({"index": 9, "snapshot": false, "endpoints": [entry]}).to_string()
    };
    let lines = [
        "not JSON".to_owned(),
        "{}".to_owned(),
        "[1,2]".to_owned(),
        update(0, "status", "asleep".into()),
        update(0, "address", "nowhere".into()),
        update(0, "zone", 7.into()),
        json!({"index": 9, "snapshot": false, "endpoints": [7, {"name": "b1", "status": "draining"}]})
            .to_string(),
    ];
    for line in lines {
        fixture.watch_lines.send(line).expect("a watch");
    }
    // The entry of b1 had only a name and a status, which is enough to stop sending to it.
    wait_until("the drain of b1", || {
        let before = fixture.launch_count();
        (0..8).all(|_| fixture.send_command("read").status() == 200)
            && fixture.launches.lock().expect("launches")[before..].iter().all(|(n, _)| *n == 0)
    });
    fixture.watch_lines.send(update(1, "status", "ready".into())).expect("a watch");
    fixture.watch_lines.send(update(0, "status", "gone".into())).expect("a watch");
    wait_until("b1 to serve", || {
        fixture.send_command("read").status() == 200
            && fixture.launches.lock().expect("launches").last().map(|l| l.0) == Some(1)
    });
}

/// A watch ends with its connection, or falls silent in a network partition; the node opens a new one either way.
#[test]
fn a_lost_watch_is_replaced() {
    let fixture = NodeFixture::new(1, |_| BackendAction::Succeed, |_| {});
    wait_until("a watch", || fixture.watch_count.load(SeqCst) >= 1);
    fixture.watch_lines.send(String::new()).expect("a watch");
    wait_until("a second one", || fixture.watch_count.load(SeqCst) >= 2);
    fixture.watch_lines.send(SILENCE_WATCH.to_owned()).expect("a watch");
    wait_until("a third one, after silence", || fixture.watch_count.load(SeqCst) >= 3);
    assert_eq!(fixture.send_command("read").status(), 200);
}

/// A new configuration must neither end the node nor stop it from serving with the list that it has; from then on the list
/// comes from the new address. An invalid file changes nothing, and one log line names its fault.
#[test]
fn a_new_configuration_moves_the_watch() {
    let mut fixture = NodeFixture::new(2, |_| BackendAction::Succeed, |_| {});
    wait_until("a watch", || fixture.watch_count.load(SeqCst) >= 1);
    let (watch_lines, discovery_address, watch_count) = start_discovery(&unique_loopback_address());
    let mut config = fixture.config.clone();
    config["discovery"] = discovery_address.to_string().into();
    let (valid, mut invalid) = (config.to_string(), config);
    invalid["settings"]["limits"]["connIdle"] = Value::Null;
    for (text, key) in [("{", "not JSON"), (&*invalid.to_string(), "settings.limits.connIdle")] {
        let line = fixture.reload(text);
        assert!(line.contains("the old configuration stays") && line.contains(key), "{line}");
        assert_eq!((fixture.send_command("read").status(), watch_count.load(SeqCst)), (200, 0));
    }
    for _ in 0..2 {
        assert!(fixture.reload(&valid).contains(&discovery_address.to_string()));
        assert_eq!(fixture.send_command("read").status(), 200);
        // With the same configuration again the node keeps its watch.
        wait_until("the watch at the new address", || watch_count.load(SeqCst) == 1);
    }
    let mut gone = fixture.backend_entries[0].clone();
    gone["status"] = "gone".into();
    let line = json!({"index": 9, "snapshot": false, "endpoints": [gone]}).to_string();
    watch_lines.send(line).expect("a watch");
    wait_until("the removal of b0", || {
        let before = fixture.launch_count();
        (0..8).all(|_| fixture.send_command("read").status() == 200)
            && fixture.launches.lock().expect("launches")[before..].iter().all(|(n, _)| *n == 1)
    });
}

/// On SIGTERM all accepted commands are answered, also on connections that are opened after the signal, and the process exits
/// successfully.
#[test]
fn a_planned_stop_loses_nothing() {
    let mut fixture = NodeFixture::new(2, |_| BackendAction::SucceedLate, |_| {});
    let (mut early, mut kept) = (fixture.connect(), fixture.connect());
    let text = command_request("pay", "a body", "");
    early.write_all(text.as_bytes()).expect("written");
    kept.write_all("GET /up HTTP/1.1\r\nHost: n\r\n\r\n".as_bytes()).expect("written");
    assert_eq!(read_message(&mut kept).expect("an answer").status(), 200);
    fixture.send_signal("-TERM");
    let mut late = fixture.connect();
    // Half of a command that never becomes complete must not delay the end of the node.
    let mut half_sent = fixture.connect();
    half_sent.write_all(&text.as_bytes()[..50]).expect("written");
    sleep(Duration::from_millis(200));
    assert_eq!(fixture.send_request("GET /up HTTP/1.1\r\nHost: n\r\n\r\n").status(), 503);
    for stream in [&mut late, &mut kept] {
        stream.write_all(command_request("pay", "a body", "").as_bytes()).expect("written");
    }
    for (what, mut stream) in [("early", early), ("late", late), ("kept", kept)] {
        let reply = read_message(&mut stream).unwrap_or_default();
        // The decision module may reject it; the node must answer it whole either way.
        assert!(reply.status() == 200 || reply.status() == 503 && what != "early", "{what}: {reply:?}");
        assert_eq!(reply.header("connection"), Some("close"), "{what}");
    }
    assert!(fixture.process.wait().expect("an end").success());
}

/// With more connections than its socket budget the node still reads each one that it has accepted: those that send nothing,
/// or stop in the middle of a command, are closed to make room, and no command is rejected because of them.
#[test]
fn a_full_socket_budget_leaves_no_connection_unread() {
    let fixture =
        NodeFixture::new(1, |_| BackendAction::Succeed, |config| config["limits"]["sockets"] = 110.into());
    let whole = command_request("read", "a body", "");
    for part in [0, 40, whole.len() - 3, whole.len()] {
        let mut idle: Vec<TcpStream> = (0..40).map(|_| fixture.connect()).collect();
        for stream in &mut idle {
            let _ = stream.write_all(&whole.as_bytes()[..part]);
            if part == whole.len() {
                let _ = read_message(stream);
            }
        }
        for n in 0..10 {
            assert_eq!(fixture.send_command("read").status(), 200, "command {n} beside {part} bytes");
        }
    }
}

/// Clients that send one command and keep their connection must not use up the connections of others: beyond some number the
/// answer closes the connection, and new clients are served as before.
#[test]
fn idle_clients_make_room_for_new_ones() {
    let fixture =
        NodeFixture::new(1, |_| BackendAction::Succeed, |config| config["limits"]["sockets"] = 240.into());
    let mut kept = Vec::new();
    let mut ended = 0;
    for n in 0..80 {
        let mut stream = fixture.connect();
        stream.write_all(command_request("read", "", "").as_bytes()).expect("written");
        let reply = read_message(&mut stream).expect("an answer");
        assert_eq!(reply.status(), 200, "connection {n}");
        ended += usize::from(reply.header("connection") == Some("close"));
        kept.push(stream);
    }
    assert!((30..=70).contains(&ended), "{ended} of 80 ended");
    // The first clients may still send commands.
    kept[0].write_all(command_request("read", "", "").as_bytes()).expect("written");
    assert_eq!(read_message(&mut kept[0]).expect("an answer").status(), 200);
}

/// An invalid configuration at the start ends the node with one line that names the key.
#[test]
fn invalid_start_configurations_name_the_key() {
    let valid = json!({
        "name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"index": 4, "snapshot": true, "endpoints": []}, "settings": default_settings(),
    });
    type Change = fn(&mut Value);
    let cases: &[(&str, Change)] = &[
        ("name", |c| c["name"] = Value::Null),
        ("listen", |c| c["listen"] = "here".into()),
        ("discovery", |c| c["discovery"] = 7.into()),
        ("seed", |c| c["seed"] = "xyz".into()),
        ("limits.sockets", |c| c["limits"]["sockets"] = "many".into()),
        ("limits.sockets", |c| c["limits"]["sockets"] = 79.into()),
        ("limits.memory_mb", |c| c["limits"]["memory_mb"] = 7.into()),
        ("admin", |c| c["admin"] = "here".into()),
        ("admin", |c| (c["listen"], c["admin"]) = ("127.0.0.1:9".into(), "127.0.0.1:9".into())),
        ("limits.memory_mb", |c| c["limits"] = json!({"sockets": 1024})),
        ("settings", |c| c["settings"] = Value::Null),
        ("settings.limits.connIdle", |c| c["settings"]["limits"]["connIdle"] = Value::Null),
        ("profiles[1].idempotency", |c| c["settings"]["profiles"][1]["idempotency"] = "twice".into()),
        ("settings.profiles[0].name", |c| c["settings"]["profiles"][0]["name"] = Value::Null),
        ("settings.zones", |c| c["settings"]["zones"] = 7.into()),
        ("known", |c| c["known"] = json!({"endpoints": 7})),
    ];
    for (key, change) in cases {
        let mut config = valid.clone();
        change(&mut config);
        let (child, dir) = start_node(&config, &[]);
        let output = child.wait_with_output().expect("an end");
        let _ = std::fs::remove_dir_all(dir);
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success() && text.lines().count() == 1, "{key}: {text}");
        assert!(text.contains(key), "{key}: {text}");
    }
}

/// The same deployment with other settings: names in another order, some changed, added and removed; the list is pushed, no
/// command has two launches at once, and load reports come with answers and in other fields.
fn other_settings(config: &Value) -> Value {
    let mut other = config.clone();
    let settings = &mut other["settings"];
    let profiles = settings["profiles"].clone();
    let mut lookup = profiles[0].clone();
    (lookup["name"], lookup["goalTime"]) = ("lookup".into(), 800_000_000.into());
    let mut read = profiles[0].clone();
    read["goalTime"] = 900_000_000.into();
    settings["profiles"] = json!([profiles[2], lookup, read]);
    settings["zones"] = json!(["there", "here"]);
    settings["zone"] = 1.into();
    settings["flavors"] = json!(["large", "small"]);
    settings["discovery"] = "push".into();
    settings["balancers"] = 20.into();
    settings["limits"]["secondCopies"] = false.into();
    settings["limits"]["connIdle"] = 10_000_000_000u64.into();
    settings["familyInfo"] = json!({"warmKeys": true});
    settings["report"] = json!({"how": "piggyback", "names": ["backlog", "outstanding"]});
    other
}

/// Settings change back and forth under load: commands in progress end by the settings under which they came, each command is
/// answered once, and a once-only one is launched once; new commands follow the new settings at once.
#[test]
fn settings_switch_under_load_and_back() {
    let with_long_limits = |config: &mut Value| {
        for profile in config["settings"]["profiles"].as_array_mut().expect("profiles") {
            profile["goalTime"] = 1_000_000_000.into();
            profile["timeLimit"] = 2_000_000_000.into();
        }
    };
    let mut fixture = NodeFixture::new(3, |_| BackendAction::SucceedLate, with_long_limits);
    let (first, second) = (fixture.config.clone(), other_settings(&fixture.config));
    wait_until("a watch", || fixture.watch_count.load(SeqCst) >= 1);
    for (settings, gone, new) in
        [(&second, "mark", "lookup"), (&first, "lookup", "mark"), (&second, "mark", "lookup")]
    {
        let before = fixture.launch_count();
        let mut streams = Vec::new();
        // More than can be launched at once: some are launched and some are queued when the signal comes.
        for n in 0..24 {
            let profile = ["read", "pay", gone][n % 3];
            let mut stream = fixture.connect();
            // Far longer than any launch takes, even on a busy machine.
            let text = command_request(profile, profile, "").replace("Left-Ms: 450", "Left-Ms: 5000");
            stream.write_all(text.as_bytes()).expect("written");
            streams.push(stream);
        }
        wait_until("launches", || fixture.launch_count() >= before + 2);
        let line = fixture.reload(&settings.to_string());
        assert!(line.contains("changed: ") && line.contains("settings.profiles"), "{line}");
        assert_eq!(fixture.send_command(gone).status(), 400, "{gone} is not a profile now");
        assert_ne!(fixture.send_command(new).status(), 400, "{new} is one now");
        let mut finished = 0;
        for mut stream in streams {
            let status = read_message(&mut stream).expect("an answer").status();
            assert!([200, 503].contains(&status), "{status}");
            finished += usize::from(status == 200);
            stream.set_read_timeout(Some(Duration::from_millis(20))).expect("a timeout");
            assert!(read_message(&mut stream).is_none(), "a second answer");
        }
        assert!(finished >= 2, "{finished}");
        let launches = fixture.launches.lock().expect("launches");
        let mut once: Vec<_> =
            launches[before..].iter().map(|(_, m)| m).filter(|m| m.body == b"pay").collect();
        let all = once.len();
        once.sort_by_key(|m| m.header("x-correlation-id").map(str::to_owned));
        once.dedup_by_key(|m| m.header("x-correlation-id").map(str::to_owned));
        assert_eq!(once.len(), all, "a once-only command was launched twice");
    }
    // There is one watch throughout. The same configuration again changes nothing, and the list is still followed.
    assert!(fixture.reload(&second.to_string()).contains("as they were"));
    assert_eq!(fixture.watch_count.load(SeqCst), 1);
    let mut gone = fixture.backend_entries[0].clone();
    gone["status"] = "draining".into();
    fixture
        .watch_lines
        .send(json!({"index": 9, "snapshot": false, "endpoints": [gone]}).to_string())
        .expect("a watch");
    wait_until("the drain of b0", || {
        let before = fixture.launch_count();
        (0..6).for_each(|_| drop(fixture.send_command("read")));
        fixture.launches.lock().expect("launches")[before..].iter().all(|(n, _)| *n != 0)
    });
    // A drain outlasts the switch: discovery has not ended it since.
    fixture.reload(&first.to_string());
    let before = fixture.launch_count();
    (0..6).for_each(|_| drop(fixture.send_command("read")));
    assert!(fixture.launches.lock().expect("launches")[before..].iter().all(|(n, _)| *n != 0));
}

/// Whatever is wrong with a new configuration, nothing changes, and one log line names the key.
#[test]
fn invalid_new_configurations_change_nothing() {
    let mut fixture = NodeFixture::new(1, |_| BackendAction::Succeed, |_| {});
    let valid = other_settings(&fixture.config);
    type Change = fn(&mut Value);
    let cases: &[(&str, Change)] = &[
        ("name takes a restart", |c| c["name"] = "n2".into()),
        ("listen takes a restart", |c| c["listen"] = "127.0.0.1:9".into()),
        ("seed takes a restart", |c| c["seed"] = "8d".into()),
        ("limits.sockets takes a restart", |c| c["limits"]["sockets"] = 512.into()),
        ("limits.memory_mb takes a restart", |c| c["limits"]["memory_mb"] = 64.into()),
        ("settings is missing", |c| c["settings"] = Value::Null),
        ("guarantees.fall is missing", |c| c["settings"]["guarantees"]["fall"] = Value::Null),
        ("guarantees.startCapacity is out of its range", |c| {
            c["settings"]["guarantees"]["startCapacity"] = 2.into();
        }),
        ("discovery has an unknown value", |c| c["settings"]["discovery"] = "guess".into()),
        ("report.how has an unknown value", |c| c["settings"]["report"]["how"] = "often".into()),
        ("familyInfo.warmKeys is not true or false", |c| {
            c["settings"]["familyInfo"]["warmKeys"] = "yes".into();
        }),
        ("limits.cancel is not true or false", |c| c["settings"]["limits"]["cancel"] = 1.into()),
        ("limits.connIdle", |c| c["settings"]["limits"]["connIdle"] = "long".into()),
        ("settings.zones names \"here\" twice", |c| c["settings"]["zones"] = json!(["here", "here"])),
        ("settings.profiles names \"pay\" twice", |c| c["settings"]["profiles"][1]["name"] = "pay".into()),
        ("settings.zone", |c| c["settings"]["zone"] = 2.into()),
    ];
    for (key, change) in cases {
        let mut config = valid.clone();
        change(&mut config);
        let line = fixture.reload(&config.to_string());
        assert!(line.contains("the old configuration stays") && line.contains(key), "{key}: {line}");
        // In the old settings `mark` is a profile and `lookup` is not.
        let statuses = [fixture.send_command("mark").status(), fixture.send_command("lookup").status()];
        assert_eq!(statuses, [200, 400], "{key}");
    }
}
