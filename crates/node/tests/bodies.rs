//! Bodies of commands and answers that are larger than a window, in every form and at every pace.

#[allow(dead_code)]
mod world;

use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;
use world::*;

const MIB: usize = 1 << 20;

/// Times that no busy machine uses up.
fn patient(config: &mut Value) {
    for profile in config["settings"]["profiles"].as_array_mut().expect("profiles") {
        profile["goalTime"] = 10_000_000_000u64.into();
        profile["timeLimit"] = 20_000_000_000u64.into();
    }
    config["settings"]["limits"]["dialTimeout"] = 5_000_000_000u64.into();
}

/// Memory of a process in MiB.
fn resident(world: &World) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", world.node.id())).expect("it runs");
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).expect("its memory");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse::<usize>().ok()).expect("a number") >> 10
}

/// Answers go through whole in whatever form they come, also those that come late once they have begun; one that
/// breaks off does not look whole.
#[test]
fn answers_in_every_form() {
    type Case = (fn(usize) -> BackendAction, Option<usize>);
    let cases: [Case; 8] = [
        (|_| BackendAction::Sized(3 * MIB), Some(3 * MIB)),
        (|_| BackendAction::Sized((64 << 10) + 1), Some((64 << 10) + 1)),
        (|_| BackendAction::Chunked(MIB), Some(MIB)),
        (|_| BackendAction::Chunked(100), Some(100)),
        (|_| BackendAction::ByEnd(MIB), Some(MIB)),
        (|_| BackendAction::Pause(MIB), Some(MIB)),
        (|_| BackendAction::Half(MIB), None),
        (|_| BackendAction::Half(100), None),
    ];
    for (number, (acts, length)) in cases.into_iter().enumerate() {
        let world = World::new(1, acts, patient);
        // Shorter than the pause.
        let millis = if number == 5 { 2000 } else { 20_000 };
        let mut stream = world.connect();
        for _ in 0..2 {
            stream.write_all(asked("mark", "a body", millis).as_bytes()).expect("written");
            match (read_message(&mut stream), length) {
                (Some(reply), Some(length)) => {
                    assert_eq!(reply.status(), 200, "case {number}");
                    assert!(reply.body == bytes(length), "case {number}: {} bytes", reply.body.len());
                }
                (Some(reply), None) => assert_ne!(reply.status(), 200, "case {number}: {}", reply.body.len()),
                (None, length) => {
                    assert_eq!(length, None, "case {number}: cut off");
                    break;
                }
            }
        }
    }
    let world = World::new(1, |_| BackendAction::Trickle, patient);
    assert_eq!(world.ask(&asked("read", "a body", 20_000)).status(), 200);
}

/// Clients that do not read hold their backends up and not the node: its memory stays, others are served, and all is
/// there when they read on.
#[test]
fn slow_readers() {
    let acts = |n| if n < 12 { BackendAction::Sized(24 * MIB) } else { BackendAction::Succeed };
    let world = World::new(14, acts, |config| {
        patient(config);
        config["limits"]["memory_mb"] = 48.into();
    });
    let mut slow: Vec<TcpStream> = Vec::new();
    for n in 1..=12 {
        let mut stream = world.connect();
        stream.write_all(asked("pay", "a body", 20_000).as_bytes()).expect("written");
        slow.push(stream);
        wait_until("the launch is out", || world.launched() == n);
    }
    let begun = |s: &TcpStream| s.peek(&mut [0; 8]).is_ok_and(|n| n > 0);
    wait_until("all have begun", || slow.iter().all(begun));
    for _ in 0..20 {
        assert_eq!(world.ask(&asked("read", "a body", 20_000)).status(), 200);
    }
    sleep(Duration::from_millis(300));
    assert!(resident(&world) < 48, "{} MiB", resident(&world));
    for (n, stream) in slow.iter_mut().enumerate() {
        let reply = read_message(stream).expect("whole");
        assert!(reply.body == bytes(24 * MIB), "{n}: {} bytes", reply.body.len());
    }
    assert!(resident(&world) < 48, "{} MiB", resident(&world));
}

/// Writes a command with a large body in three parts, with a pause before the second and the third; in chunks if so said.
/// Its client waits for less than two such pauses of 1.5 s.
fn upload(stream: &mut TcpStream, profile: &str, count: usize, chunked: bool, pause: u64) {
    let millis = if pause > 1000 { 2500 } else { 20_000 };
    let (head, body) = (asked(profile, "", millis), bytes(count));
    let told = match chunked {
        true => "Transfer-Encoding: chunked".to_owned(),
        false => format!("Content-Length: {count}"),
    };
    stream.write_all(head.replace("Content-Length: 0", &told).as_bytes()).expect("written");
    for (n, part) in body.chunks(count / 3 + 1).enumerate() {
        if n > 0 {
            sleep(Duration::from_millis(pause));
        }
        let line = if chunked { format!("{:x}\r\n", part.len()) } else { String::new() };
        let end = if chunked { "\r\n" } else { "" };
        let all = [line.as_bytes(), part, end.as_bytes()].concat();
        stream.write_all(&all).expect("written");
    }
    if chunked {
        stream.write_all(b"0\r\n\r\n").expect("written");
    }
}

/// Bodies go on whole, in either form and at any pace; one that its client breaks off is never run, and one whose start
/// is gone is not sent again.
#[test]
fn bodies_of_commands() {
    let world = World::new(2, |_| BackendAction::Succeed, patient);
    let mut stream = world.connect();
    for (n, (count, chunked, pause)) in
        [(3 * MIB, false, 0), (MIB, true, 0), (MIB, false, 1500), (300_000, true, 1500)]
            .into_iter()
            .enumerate()
    {
        upload(&mut stream, "pay", count, chunked, pause);
        assert_eq!(read_message(&mut stream).unwrap_or_default().status(), 200, "case {n}");
        let launches = world.launches.lock().expect("launches");
        assert_eq!(launches.len(), n + 1);
        assert!(launches[n].1.body == bytes(count), "case {n}: {} bytes", launches[n].1.body.len());
    }
    for (told, line) in
        [(format!("Content-Length: {MIB}"), ""), ("Transfer-Encoding: chunked".to_owned(), "80000\r\n")]
    {
        let mut gone = world.connect();
        let head = asked("pay", "", 20_000).replace("Content-Length: 0", &told);
        gone.write_all((head + line).as_bytes()).expect("written");
        gone.write_all(&bytes(MIB / 2)).expect("written");
        drop(gone);
    }
    assert_eq!(world.ask(&asked("read", "a body", 20_000)).status(), 200);
    assert_eq!(world.launched(), 5, "half a body never ran");
    for (profile, acts, status) in [
        ("read", (|_| BackendAction::Break) as fn(usize) -> BackendAction, 503),
        ("pay", |_| BackendAction::Break, 502),
        ("pay", |_| BackendAction::Status(503, "X-Unprocessed: 1\r\n"), 503),
    ] {
        let world = World::new(2, acts, patient);
        let mut stream = world.connect();
        upload(&mut stream, profile, MIB, false, 0);
        assert_eq!(read_message(&mut stream).unwrap_or_default().status(), status, "{profile}");
        assert_eq!(world.launched(), 1, "{profile}: its start is gone");
    }
}

/// A client that still writes when its command is turned back gets to see that, and its connection serves on.
#[test]
fn turned_back_while_it_writes() {
    let world = World::new(
        1,
        |_| BackendAction::Succeed,
        |config| {
            config["known"] = json!({"index": 1, "snapshot": true, "endpoints": []});
        },
    );
    let mut stream = world.connect();
    upload(&mut stream, "pay", 8 * MIB, false, 100);
    assert_eq!(read_message(&mut stream).unwrap_or_default().status(), 503);
    stream.write_all(b"GET /up HTTP/1.1\r\nHost: n\r\n\r\n").expect("written");
    assert_eq!(read_message(&mut stream).unwrap_or_default().status(), 200);
    assert_eq!(stream.set_read_timeout(Some(Duration::from_millis(50))).ok(), Some(()));
    assert!(stream.read(&mut [0]).is_err(), "nothing more comes");
}

/// At a stop an answer that flows is not cut off, however long its client takes; a body that still comes is turned
/// back while there is time for that, and its client, which goes on writing, gets to see it.
#[test]
fn a_stop_between_bodies() {
    let mut world = World::new(
        2,
        |_| BackendAction::Sized(24 * MIB),
        |config| {
            patient(config);
            for profile in config["settings"]["profiles"].as_array_mut().expect("profiles") {
                profile["timeLimit"] = 2_000_000_000u64.into();
            }
        },
    );
    let [mut reads, mut writes, mut begins] = [(); 3].map(|()| world.connect());
    reads.write_all(asked("pay", "a body", 20_000).as_bytes()).expect("written");
    wait_until("it has begun", || reads.peek(&mut [0; 8]).is_ok_and(|n| n > 0));
    for (stream, first) in [(&mut writes, MIB), (&mut begins, 100)] {
        let head = asked("pay", "", 20_000).replace("Length: 0", &format!("Length: {}", first + MIB));
        stream.write_all(head.as_bytes()).expect("written");
        stream.write_all(&bytes(first)).expect("written");
    }
    sleep(Duration::from_millis(100));
    world.signal("-TERM");
    for (stream, what) in [(&mut writes, "flows"), (&mut begins, "is read")] {
        let reply = read_message(stream).unwrap_or_default();
        assert_eq!((reply.status(), reply.header("connection")), (503, Some("close")), "{what}");
        assert!(stream.write_all(&bytes(MIB)).is_ok(), "{what}: it is read on");
    }
    // Past the time limit, and what else an end may wait for.
    sleep(Duration::from_millis(3000));
    let reply = read_message(&mut reads).expect("whole");
    assert!(reply.body == bytes(24 * MIB), "{} bytes", reply.body.len());
    assert!(world.node.wait().expect("an end").success());
    assert_eq!(world.launched(), 1, "what did not come whole never ran");
}
