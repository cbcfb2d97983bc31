//! What operators ask of a node by its second address, as tables of cases.

#[allow(dead_code)]
mod world;

use serde_json::json;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;
use world::*;

/// Each call has its one answer; what is no call changes nothing. Callers that hold their connection with no whole
/// call on it, more of them than there is room for, keep nobody out.
#[test]
fn calls_and_what_is_none() {
    let (world, admin) = World::with_admin(1, |_| BackendAction::Succeed);
    let mut silent: Vec<TcpStream> = (0..40).map(|_| dial(admin)).collect();
    for half in &mut silent[20..] {
        half.write_all(b"PUT /backends/b0/maint HTTP/1.1\r\nHost: n\r\nContent-Length: 9\r\n\r\nhalf")
            .expect("written");
    }
    let cases = [
        ("GET /healthcheck", 200, ""),
        ("PUT /healthcheck", 405, "GET"),
        ("GET /healthcheck/fail", 405, "PUT"),
        ("DELETE /backends/b0/maint", 405, "PUT"),
        ("PUT /backends/b9/maint", 404, ""),
        ("PUT /backends/b9/ready", 404, ""),
        ("PUT /backends/b0/gone", 404, ""),
        ("PUT /backends//maint", 404, ""),
        ("PUT /backends/%62%30/ready", 200, ""),
        ("PUT /backends/%ff/ready", 404, ""),
        ("GET /stats", 404, ""),
        ("GET /", 404, ""),
    ];
    for (text, status, allow) in cases {
        let reply = call_admin(admin, text);
        assert_eq!(reply.status(), status, "{text}: {reply:?}");
        assert_eq!(reply.header("allow").unwrap_or_default(), allow, "{text}");
        assert_eq!(reply.body.iter().filter(|b| **b == b'\n').count(), 1, "{text}: one line");
    }
    assert_eq!(world.command("read").status(), 200, "b0 is still used: half a call is none");
    let head = format!("GET /healthcheck HTTP/1.1\r\nX: {}", "x".repeat(32 << 10));
    let mut long = dial(admin);
    long.write_all(head.as_bytes()).expect("written");
    assert_eq!(read_message(&mut long).expect("an answer").status(), 431);
}

/// From the yes on nothing goes to a backend that is left out, whatever the list says, by however many calls; a single
/// call back has it used again. With all out, commands are turned back at once.
#[test]
fn backends_left_out() {
    let (world, admin) = World::with_admin(2, |_| BackendAction::Succeed);
    assert_eq!(call_admin(admin, "PUT /backends/b0/maint").status(), 200);
    assert_eq!(call_admin(admin, "PUT /backends/b0/maint").status(), 200);
    let whole = json!({"index": 9, "snapshot": true, "endpoints": world.entries}).to_string();
    let mut gone = world.entries[0].clone();
    gone["status"] = "gone".into();
    let mut anew = world.entries[0].clone();
    anew["since_ms"] = 1_700_000_000_000u64.into();
    let changes = |entry| json!({"index": 10, "snapshot": false, "endpoints": [entry]}).to_string();
    wait_until("a watch", || world.watches.load(std::sync::atomic::Ordering::SeqCst) > 0);
    for (what, line) in [("listed", whole), ("gone", changes(gone)), ("started anew", changes(anew))] {
        world.list.send(line).expect("a watch");
        sleep(Duration::from_millis(50));
        let before = world.launched();
        assert!((0..12).all(|_| world.command("read").status() == 200), "{what}");
        let launches = world.launches.lock().expect("launches");
        assert!(launches[before..].iter().all(|(n, _)| *n == 1), "{what}: sent to b0");
    }
    assert_eq!(call_admin(admin, "PUT /backends/b1/maint").status(), 200);
    let reply = world.command("read");
    assert_eq!(reply.status(), 503, "nobody is left: {reply:?}");
    assert!(reply.header("retry-after").is_some(), "{reply:?}");
    assert_eq!(call_admin(admin, "PUT /backends/b0/ready").status(), 200);
    let before = world.launched();
    assert_eq!(world.command("read").status(), 200);
    assert_eq!(world.launches.lock().expect("launches")[before].0, 0, "b0 is used again");
}

/// Clients that are sent away get their answers and lose their connections, and nothing that they have sent; the call
/// back undoes it, also half way, and each call may come twice.
#[test]
fn clients_sent_away() {
    let (mut world, admin) = World::with_admin(1, |_| BackendAction::Late);
    let ask = |stream: &mut TcpStream, text: &str| {
        stream.write_all(text.as_bytes()).expect("written");
        read_message(stream).unwrap_or_default()
    };
    let [mut idle, mut half, mut used] = [(); 3].map(|()| world.connect());
    for stream in [&mut idle, &mut used] {
        assert_eq!(ask(stream, UP).status(), 200);
    }
    let text = command_request("read", "a body", "");
    half.write_all(&text.as_bytes()[..60]).expect("written");
    for _ in 0..2 {
        assert_eq!(call_admin(admin, "PUT /healthcheck/fail").status(), 200);
    }
    assert_eq!(world.ask(UP).status(), 503);
    assert_eq!(call_admin(admin, "GET /healthcheck").status(), 200, "the process is ready all the same");
    let reply = ask(&mut used, &command_request("read", "a body", ""));
    assert_eq!((reply.status(), reply.header("connection")), (200, Some("close")));
    assert_eq!(idle.read(&mut [0]).ok(), Some(0), "an idle connection ends");
    let mut late = world.connect();
    assert_eq!(
        ask(&mut late, &command_request("read", "a body", "")).status(),
        200,
        "whoever comes is served"
    );
    let reply = ask(&mut half, &text[60..]);
    assert_eq!(
        (reply.status(), reply.header("connection")),
        (200, Some("close")),
        "half a head is not cut off"
    );
    for _ in 0..2 {
        assert_eq!(call_admin(admin, "PUT /healthcheck/ok").status(), 200);
    }
    assert_eq!(world.ask(UP).status(), 200);
    let mut kept = world.connect();
    assert_eq!(ask(&mut kept, UP).status(), 200);
    for call_back in ["PUT /healthcheck/fail", "PUT /healthcheck/ok"] {
        assert_eq!(call_admin(admin, call_back).status(), 200);
    }
    sleep(Duration::from_millis(1000));
    assert_eq!(ask(&mut kept, UP).status(), 200, "called back half way: nothing ends");
    assert_eq!(call_admin(admin, "PUT /healthcheck/fail").status(), 200);
    world.signal("-TERM");
    assert!(world.node.wait().expect("an end").success(), "a stop ends a drained node too");
}
