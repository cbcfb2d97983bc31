//! The node as a process on loopback sockets, as tables of cases.

#[allow(dead_code)]
mod world;

use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering::SeqCst;
use std::thread::sleep;
use std::time::Duration;
use world::*;

/// A whole body by its chunks; by a length that reaches further, a command may hide behind it.
const CHUNKS: &str = "2\r\nab\r\n0\r\n\r\nPOST /api HTTP/1.1\r\nHost: o\r\nX-Correlation-Id: 66\r\n\
    X-Service-Class: read\r\nX-Time-Left-Ms: 450\r\nContent-Length: 0\r\n\r\n";

/// What is no command gets its own answer, or its connection's end, at once, and never reaches a backend.
#[test]
fn bad_input_is_refused() {
    let world = World::new(1, |_| BackendAction::Succeed, |_| {});
    let good = command_request("mark", "a body", "");
    let without =
        |name: &str| good.split("\r\n").filter(|l| !l.starts_with(name)).collect::<Vec<_>>().join("\r\n");
    let big = command_request("mark", "", "").replace("Length: 0", "Length: 33554433");
    let chunks_last = command_request("mark", "", "")
        .replace("Length: 0\r\n", "Length: 9\r\nTransfer-Encoding: chunked\r\n")
        + "body";
    let cases: &[(&str, String, u16)] = &[
        ("as it should be", good.clone(), 200),
        ("the largest body", command_request("mark", &"x".repeat(64 << 10), ""), 200),
        ("unknown path", good.replace("/api", "/apis"), 404),
        ("no id", without("X-Correlation-Id"), 400),
        ("two ids", command_request("mark", "a body", "X-Correlation-Id: 7\r\n"), 400),
        ("a length below nothing", good.replace("Length: 6", "Length: -6"), 400),
        ("two unlike lengths", command_request("mark", "a body", "Content-Length: 5\r\n"), 400),
        ("a length that nobody has", good.replace("Length: 6", "Length: 62914560"), 413),
        ("two lengths, chunks first", command_request("mark", CHUNKS, "Transfer-Encoding: chunked\r\n"), 400),
        ("two lengths, chunks last", chunks_last.replace("body", CHUNKS), 400),
        ("no profile", without("X-Service-Class"), 400),
        ("unknown profile", command_request("steal", "", ""), 400),
        ("no time left", without("X-Time-Left-Ms"), 400),
        ("time left that is none", good.replace("450", "4.5e2"), 400),
        ("less than no time", good.replace("450", "-450"), 400),
        ("tagged without its tag", without("Idempotency-Key"), 400),
        ("another method", good.replace("POST", "DELETE"), 400),
        ("no HTTP", "open sesame\r\n\r\n".into(), 400),
        (
            "a head without end",
            format!("GET /api HTTP/1.1\r\nX-Long: {}\r\n\r\n", "x".repeat(200 << 10)),
            431,
        ),
        ("a body too large", big, 413),
    ];
    for (what, text, status) in cases {
        let before = world.launched();
        assert_eq!(world.ask(text).status(), *status, "{what}");
        assert_eq!(world.launched() > before, *status == 200, "{what}");
    }
}

/// Whoever asks for one client's command under its id again must not make it run twice, while it is in hand;
/// its own client is answered all the same.
#[test]
fn an_open_id_goes_on_once() {
    let world = World::new(2, |_| BackendAction::Late, |_| {});
    let text = command_request("pay", "a body", "");
    let mut first = world.connect();
    first.write_all(text.as_bytes()).expect("written");
    wait_until("the launch is out", || world.launched() == 1);
    let reply = world.ask(&text);
    assert_eq!((reply.status(), reply.header("connection")), (409, Some("close")));
    assert_eq!(read_message(&mut first).unwrap_or_default().status(), 200);
    assert_eq!(world.launched(), 1);
    // Answered, its name is free.
    assert_eq!(world.ask(&text).status(), 200);
}

/// A connection that says nothing, or stops in the middle, is not kept for whoever opened it; one that has had
/// a command is.
#[test]
fn strangers_are_not_kept() {
    let world = World::new(1, |_| BackendAction::Succeed, |_| {});
    let text = command_request("read", "a body", "");
    let parts = [0, 40, text.len() - 3, text.len()].map(|part| {
        let mut stream = world.connect();
        stream.write_all(&text.as_bytes()[..part]).expect("written");
        (part, stream)
    });
    for (part, mut stream) in parts {
        match part == text.len() {
            true => assert_eq!(read_message(&mut stream).expect("an answer").status(), 200),
            false => {
                // An error or just the end, but before the read gives up.
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

/// Rule 2 on sockets: what an end of the first launch proves, and so what may follow, by profile.
#[test]
fn outcomes_of_a_launch() {
    type Acts = fn(usize) -> BackendAction;
    let first: &[(&str, Acts, bool)] = &[
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
            "over",
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
            "503 that proves nothing",
            |n| if n == 0 { BackendAction::Status(503, "") } else { BackendAction::Succeed },
            true,
        ),
        ("broken off", |n| if n == 0 { BackendAction::Break } else { BackendAction::Succeed }, true),
        ("half an answer", |n| if n == 0 { BackendAction::HalfAnswer } else { BackendAction::Succeed }, true),
    ];
    for (what, acts, may_have_run) in first {
        for (profile, repeats) in [("read", true), ("mark", true), ("pay", false)] {
            let world = World::new(2, *acts, |_| {});
            let again = repeats || !may_have_run;
            let reply = world.command(profile);
            assert_eq!(reply.status(), if again { 200 } else { 502 }, "{what}, {profile}");
            assert_eq!(world.launched(), if again { 2 } else { 1 }, "{what}, {profile}");
            // And whatever it was, the node goes on.
            assert_eq!(world.command("pay").status(), 200, "{what}, {profile}");
        }
    }
}

/// Good answers may be larger than the protocol has them, and go through whole. One that tells of gigabytes is
/// known as spoilt by its head: waiting for the rest would cost its command the time for another launch.
#[test]
fn large_answers() {
    let world = World::new(1, |_| BackendAction::Large, |config| config["limits"]["memory_mb"] = 32.into());
    for n in 1..=20 {
        let reply = world.command("pay");
        assert_eq!((reply.status(), reply.body.len()), (200, 400_009), "command {n}");
        assert!(reply.body.starts_with(b"from \x01\x02") && reply.body.ends_with(b"x"));
        assert_eq!(world.launched(), n);
    }
    let world = World::new(2, |n| if n == 0 { BackendAction::Huge } else { BackendAction::Succeed }, |_| {});
    assert_eq!((world.command("read").status(), world.launched()), (200, 2));
}

/// A backend that nobody listens for was surely not reached: even a once-only command goes elsewhere.
#[test]
fn a_refused_connection_is_no_launch() {
    let world = World::new(
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
        assert_eq!(world.command("pay").status(), 200);
        assert_eq!(world.launched(), n);
    }
}

/// A backend closes idle connections as it likes: what is surely unsent goes out on another, and only once.
#[test]
fn connections_closed_by_backends() {
    let world = World::new(1, |_| BackendAction::FinishAndClose, |_| {});
    for n in 1..=20 {
        assert_eq!(world.command("pay").status(), 200, "command {n}");
        assert_eq!(world.launched(), n);
        sleep(Duration::from_millis(5));
    }
}

/// Bytes go through as they came, both ways; what belongs to one connection does not.
#[test]
fn bytes_and_headers_go_on() {
    let world = World::new(1, |_| BackendAction::Succeed, |_| {});
    let more = "X-Facts: a=1,b=2\r\nConnection: X-Mine, keep-alive\r\nX-Mine: 1\r\nTE: trailers\r\n";
    let text = command_request("mark", "\u{1}\r\n\r\nbody", more).replace("/api", "/api/a%20b?obj=7&x=%2F");
    let reply = world.ask(&text);
    assert_eq!(reply.body, b"from \x01\x02\r\n");
    assert_eq!((reply.header("x-kept"), reply.header("keep-alive")), (Some("yes"), None));
    let launches = world.launches.lock().expect("launches");
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

/// A client that goes leaves nothing behind: its launch runs on, and the node serves the next.
#[test]
fn clients_that_leave() {
    let world = World::new(2, |_| BackendAction::Late, |_| {});
    for n in 1..=6 {
        let mut stream = world.connect();
        let text = command_request("pay", "a body", "");
        // Every other one goes in the middle of its head.
        let part = if n % 2 == 0 { 40 } else { text.len() };
        stream.write_all(&text.as_bytes()[..part]).expect("written");
        if n % 2 == 1 {
            wait_until("the launch is out", || world.launched() > n / 2);
        }
        drop(stream);
        sleep(Duration::from_millis(200));
    }
    wait_until("served again", || world.command("read").status() == 200);
}

/// Where the settings allow it the module's probes go out and come back, and none looks like a command.
#[test]
fn probes_go_out() {
    let world = World::new(
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
        assert_eq!(world.command("read").status(), 200, "command {n}");
    }
    let probes = world.probes.lock().expect("probes");
    assert!(!probes.is_empty());
    assert!(probes.iter().all(|p| p.header("x-correlation-id").is_none()), "{probes:?}");
}

/// Where nobody can serve, a turn-back comes at once, and says when to come again where that may be said.
#[test]
fn turned_back_with_a_time() {
    for (allowed, said) in [(true, true), (false, false)] {
        let world = match allowed {
            true => World::new(0, |_| BackendAction::Succeed, |_| {}),
            false => World::new(
                0,
                |_| BackendAction::Succeed,
                |c| c["settings"]["limits"]["retryAfter"] = false.into(),
            ),
        };
        let reply = world.command("pay");
        assert_eq!(reply.status(), 503);
        let after = reply.header("retry-after").map(|a| a.parse::<f64>().expect("seconds"));
        assert_eq!(after.is_some_and(|a| a > 0.0 && a <= 2.0), said, "{after:?}");
    }
}

/// Rule 3, and lines that no one can read: they are left out and the others count.
#[test]
fn lines_of_the_list() {
    let world = World::new(2, |_| BackendAction::Succeed, |_| {});
    wait_until("a watch", || world.watches.load(SeqCst) >= 1);
    let entry = |n: usize, key: &str, value: Value| {
        let mut entry = world.entries[n].clone();
        entry[key] = value;
        json!({"index": 9, "snapshot": false, "endpoints": [entry]}).to_string()
    };
    let lines = [
        "not JSON".to_owned(),
        "{}".to_owned(),
        "[1,2]".to_owned(),
        entry(0, "status", "asleep".into()),
        entry(0, "address", "nowhere".into()),
        entry(0, "zone", 7.into()),
        json!({"index": 9, "snapshot": false, "endpoints": [7, {"name": "b1", "status": "draining"}]})
            .to_string(),
    ];
    for line in lines {
        world.list.send(line).expect("a watch");
    }
    // Its entry had a name and a state, no more: enough to send nothing there.
    wait_until("b1 drains", || {
        let before = world.launched();
        (0..8).all(|_| world.command("read").status() == 200)
            && world.launches.lock().expect("launches")[before..].iter().all(|(n, _)| *n == 0)
    });
    world.list.send(entry(1, "status", "ready".into())).expect("a watch");
    world.list.send(entry(0, "status", "gone".into())).expect("a watch");
    wait_until("b1 serves", || {
        world.command("read").status() == 200
            && world.launches.lock().expect("launches").last().map(|l| l.0) == Some(1)
    });
}

/// A watch ends with its connection, or in silence when the network is cut; either way there is a new one.
#[test]
fn a_lost_watch_is_made_again() {
    let world = World::new(1, |_| BackendAction::Succeed, |_| {});
    wait_until("a watch", || world.watches.load(SeqCst) >= 1);
    world.list.send(String::new()).expect("a watch");
    wait_until("a second one", || world.watches.load(SeqCst) >= 2);
    world.list.send(SILENCE.to_owned()).expect("a watch");
    wait_until("a third one, after silence", || world.watches.load(SeqCst) >= 3);
    assert_eq!(world.command("read").status(), 200);
}

/// A new configuration must not end the node, nor stop it from serving what it knows; from then on the list
/// comes from where the file says. A bad file changes nothing, and its fault stands in one line.
#[test]
fn a_new_configuration_moves_the_watch() {
    let mut world = World::new(2, |_| BackendAction::Succeed, |_| {});
    wait_until("a watch", || world.watches.load(SeqCst) >= 1);
    let (list, told, watches) = start_discovery(&unique_loopback_address());
    let mut config = world.config.clone();
    config["discovery"] = told.to_string().into();
    let (good, mut bad) = (config.to_string(), config);
    bad["settings"]["limits"]["connIdle"] = Value::Null;
    for (text, key) in [("{", "not JSON"), (&*bad.to_string(), "settings.limits.connIdle")] {
        let line = world.reload(text);
        assert!(line.contains("the old configuration stays") && line.contains(key), "{line}");
        assert_eq!((world.command("read").status(), watches.load(SeqCst)), (200, 0));
    }
    for _ in 0..2 {
        assert!(world.reload(&good).contains(&told.to_string()));
        assert_eq!(world.command("read").status(), 200);
        // Told the same again it stays with the watch that it has.
        wait_until("the watch has moved", || watches.load(SeqCst) == 1);
    }
    let mut gone = world.entries[0].clone();
    gone["status"] = "gone".into();
    let line = json!({"index": 9, "snapshot": false, "endpoints": [gone]}).to_string();
    list.send(line).expect("a watch");
    wait_until("b0 is gone", || {
        let before = world.launched();
        (0..8).all(|_| world.command("read").status() == 200)
            && world.launches.lock().expect("launches")[before..].iter().all(|(n, _)| *n == 1)
    });
}

/// A planned stop answers all that was taken, also on connections that come after the signal, and ends well.
#[test]
fn a_planned_stop_loses_nothing() {
    let mut world = World::new(2, |_| BackendAction::Late, |_| {});
    let (mut early, mut kept) = (world.connect(), world.connect());
    let text = command_request("pay", "a body", "");
    early.write_all(text.as_bytes()).expect("written");
    kept.write_all("GET /up HTTP/1.1\r\nHost: n\r\n\r\n".as_bytes()).expect("written");
    assert_eq!(read_message(&mut kept).expect("an answer").status(), 200);
    world.signal("-TERM");
    let mut late = world.connect();
    // Half of a command that never comes whole must not hold the node up.
    let mut half = world.connect();
    half.write_all(&text.as_bytes()[..50]).expect("written");
    sleep(Duration::from_millis(200));
    assert_eq!(world.ask("GET /up HTTP/1.1\r\nHost: n\r\n\r\n").status(), 503);
    for stream in [&mut late, &mut kept] {
        stream.write_all(command_request("pay", "a body", "").as_bytes()).expect("written");
    }
    for (what, mut stream) in [("early", early), ("late", late), ("kept", kept)] {
        let reply = read_message(&mut stream).unwrap_or_default();
        // Whether there is room for it is the module's to say; that it is answered whole is the node's.
        assert!(reply.status() == 200 || reply.status() == 503 && what != "early", "{what}: {reply:?}");
        assert_eq!(reply.header("connection"), Some("close"), "{what}");
    }
    assert!(world.node.wait().expect("an end").success());
}

/// With more connections than it may hold the node still reads each one that it has accepted: those that say
/// nothing, or stop in the middle, make room, and no command is turned back for their sake.
#[test]
fn a_full_budget_leaves_nobody_unread() {
    let world = World::new(1, |_| BackendAction::Succeed, |config| config["limits"]["sockets"] = 110.into());
    let whole = command_request("read", "a body", "");
    for part in [0, 40, whole.len() - 3, whole.len()] {
        let mut idle: Vec<TcpStream> = (0..40).map(|_| world.connect()).collect();
        for stream in &mut idle {
            let _ = stream.write_all(&whole.as_bytes()[..part]);
            if part == whole.len() {
                let _ = read_message(stream);
            }
        }
        for n in 0..10 {
            assert_eq!(world.command("read").status(), 200, "command {n} beside {part} bytes");
        }
    }
}

/// Clients that ask once and stay must not take the connections of those that have yet to ask: past some the
/// answer ends the connection, and new ones are served as before.
#[test]
fn one_time_askers_make_room() {
    let world = World::new(1, |_| BackendAction::Succeed, |config| config["limits"]["sockets"] = 240.into());
    let mut kept = Vec::new();
    let mut ended = 0;
    for n in 0..80 {
        let mut stream = world.connect();
        stream.write_all(command_request("read", "", "").as_bytes()).expect("written");
        let reply = read_message(&mut stream).expect("an answer");
        assert_eq!(reply.status(), 200, "connection {n}");
        ended += usize::from(reply.header("connection") == Some("close"));
        kept.push(stream);
    }
    assert!((30..=70).contains(&ended), "{ended} of 80 ended");
    // The first ones may still ask.
    kept[0].write_all(command_request("read", "", "").as_bytes()).expect("written");
    assert_eq!(read_message(&mut kept[0]).expect("an answer").status(), 200);
}

/// A bad start file ends the node with one line that names the key.
#[test]
fn bad_start_files() {
    let good = json!({
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
        let mut config = good.clone();
        change(&mut config);
        let (child, folder) = start(&config, &[]);
        let output = child.wait_with_output().expect("an end");
        let _ = std::fs::remove_dir_all(folder);
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success() && text.lines().count() == 1, "{key}: {text}");
        assert!(text.contains(key), "{key}: {text}");
    }
}

/// The same deployment in another shape: names in another order, some changed, new and left out; the list comes
/// by itself, no two launches are out at once, reports come with answers and in other fields.
fn other_shape(config: &Value) -> Value {
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

/// There and back under load: what is in hand at the moment of a switch ends by what it came in under, each command
/// is answered once, and a once-only one is launched once; new ones go by the new names at once.
#[test]
fn a_switch_under_load_and_back() {
    let patient = |config: &mut Value| {
        for profile in config["settings"]["profiles"].as_array_mut().expect("profiles") {
            profile["goalTime"] = 1_000_000_000.into();
            profile["timeLimit"] = 2_000_000_000.into();
        }
    };
    let mut world = World::new(3, |_| BackendAction::Late, patient);
    let (first, second) = (world.config.clone(), other_shape(&world.config));
    wait_until("a watch", || world.watches.load(SeqCst) >= 1);
    for (shape, gone, new) in
        [(&second, "mark", "lookup"), (&first, "lookup", "mark"), (&second, "mark", "lookup")]
    {
        let before = world.launched();
        let mut streams = Vec::new();
        // More than have room at once: some are out and some are held when the signal comes.
        for n in 0..24 {
            let profile = ["read", "pay", gone][n % 3];
            let mut stream = world.connect();
            // Far longer than any launch takes, also on a busy machine.
            let text = command_request(profile, profile, "").replace("Left-Ms: 450", "Left-Ms: 5000");
            stream.write_all(text.as_bytes()).expect("written");
            streams.push(stream);
        }
        wait_until("launches are out", || world.launched() >= before + 2);
        let line = world.reload(&shape.to_string());
        assert!(line.contains("changed: ") && line.contains("settings.profiles"), "{line}");
        assert_eq!(world.command(gone).status(), 400, "{gone} is no profile now");
        assert_ne!(world.command(new).status(), 400, "{new} is one now");
        let mut finished = 0;
        for mut stream in streams {
            let status = read_message(&mut stream).expect("an answer").status();
            assert!([200, 503].contains(&status), "{status}");
            finished += usize::from(status == 200);
            stream.set_read_timeout(Some(Duration::from_millis(20))).expect("a limit");
            assert!(read_message(&mut stream).is_none(), "a second answer");
        }
        assert!(finished >= 2, "{finished}");
        let launches = world.launches.lock().expect("launches");
        let mut once: Vec<_> =
            launches[before..].iter().map(|(_, m)| m).filter(|m| m.body == b"pay").collect();
        let all = once.len();
        once.sort_by_key(|m| m.header("x-correlation-id").map(str::to_owned));
        once.dedup_by_key(|m| m.header("x-correlation-id").map(str::to_owned));
        assert_eq!(once.len(), all, "a once-only command was launched twice");
    }
    // One watch throughout; told the same again nothing changes, and the list goes on being heeded.
    assert!(world.reload(&second.to_string()).contains("as they were"));
    assert_eq!(world.watches.load(SeqCst), 1);
    let mut gone = world.entries[0].clone();
    gone["status"] = "draining".into();
    world
        .list
        .send(json!({"index": 9, "snapshot": false, "endpoints": [gone]}).to_string())
        .expect("a watch");
    wait_until("b0 drains", || {
        let before = world.launched();
        (0..6).for_each(|_| drop(world.command("read")));
        world.launches.lock().expect("launches")[before..].iter().all(|(n, _)| *n != 0)
    });
    // A drain outlives the switch: nothing has said since that it is over.
    world.reload(&first.to_string());
    let before = world.launched();
    (0..6).for_each(|_| drop(world.command("read")));
    assert!(world.launches.lock().expect("launches")[before..].iter().all(|(n, _)| *n != 0));
}

/// Whatever is wrong with a new file, nothing changes, and one line names the key.
#[test]
fn bad_new_files() {
    let mut world = World::new(1, |_| BackendAction::Succeed, |_| {});
    let good = other_shape(&world.config);
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
        let mut config = good.clone();
        change(&mut config);
        let line = world.reload(&config.to_string());
        assert!(line.contains("the old configuration stays") && line.contains(key), "{key}: {line}");
        // By the old settings `mark` is a profile and `lookup` is none.
        let statuses = [world.command("mark").status(), world.command("lookup").status()];
        assert_eq!(statuses, [200, 400], "{key}");
    }
}
