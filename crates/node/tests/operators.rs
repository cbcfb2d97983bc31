//! Operators' requests to the admin address of a node, as tables of cases.

#[allow(dead_code)]
mod world;

use serde_json::json;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;
use world::*;

/// Each admin request has one defined answer, and an invalid request changes nothing. More connections with incomplete
/// requests than the admin address has room for do not keep other operators out.
#[test]
fn admin_requests_are_answered_as_defined() {
    let (fixture, admin) = NodeFixture::with_admin(1, |_| BackendAction::Succeed);
    let mut incomplete: Vec<TcpStream> = (0..40).map(|_| connect_to(admin)).collect();
    for stream in &mut incomplete[20..] {
        stream
            .write_all(b"PUT /backends/b0/maint HTTP/1.1\r\nHost: n\r\nContent-Length: 9\r\n\r\nhalf")
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
    assert_eq!(fixture.send_command("read").status(), 200, "b0 is still used: half a request has no effect");
    let head = format!("GET /healthcheck HTTP/1.1\r\nX: {}", "x".repeat(32 << 10));
    let mut long = connect_to(admin);
    long.write_all(head.as_bytes()).expect("written");
    assert_eq!(read_message(&mut long).expect("an answer").status(), 431);
}

/// Once the node has confirmed that a backend is in maintenance, nothing is sent to it, whatever the list says and however
/// often it was asked; a single request ends the maintenance. With all backends in maintenance, commands are rejected at once.
#[test]
fn backends_in_maintenance_get_no_launches() {
    let (fixture, admin) = NodeFixture::with_admin(2, |_| BackendAction::Succeed);
    assert_eq!(call_admin(admin, "PUT /backends/b0/maint").status(), 200);
    assert_eq!(call_admin(admin, "PUT /backends/b0/maint").status(), 200);
    let snapshot = json!({"index": 9, "snapshot": true, "endpoints": fixture.backend_entries}).to_string();
    let mut gone = fixture.backend_entries[0].clone();
    gone["status"] = "gone".into();
    let mut restarted = fixture.backend_entries[0].clone();
    restarted["since_ms"] = 1_700_000_000_000u64.into();
    let update = |entry| json!({"index": 10, "snapshot": false, "endpoints": [entry]}).to_string();
    wait_until("a watch", || fixture.watch_count.load(std::sync::atomic::Ordering::SeqCst) > 0);
    for (what, message) in [("listed", snapshot), ("gone", update(gone)), ("started anew", update(restarted))]
    {
        fixture.watch_lines.send(message).expect("a watch");
        sleep(Duration::from_millis(50));
        let before = fixture.launch_count();
        assert!((0..12).all(|_| fixture.send_command("read").status() == 200), "{what}");
        let launches = fixture.launches.lock().expect("launches");
        assert!(launches[before..].iter().all(|(n, _)| *n == 1), "{what}: sent to b0");
    }
    assert_eq!(call_admin(admin, "PUT /backends/b1/maint").status(), 200);
    let reply = fixture.send_command("read");
    assert_eq!(reply.status(), 503, "no backend is left: {reply:?}");
    assert!(reply.header("retry-after").is_some(), "{reply:?}");
    assert_eq!(call_admin(admin, "PUT /backends/b0/ready").status(), 200);
    let before = fixture.launch_count();
    assert_eq!(fixture.send_command("read").status(), 200);
    assert_eq!(fixture.launches.lock().expect("launches")[before].0, 0, "b0 is used again");
}

/// A node with a failed health check answers its clients and closes their connections without losing a command. The opposite
/// request undoes it, also while connections are being closed, and each request may come twice.
#[test]
fn a_failed_health_check_drains_clients() {
    let (mut fixture, admin) = NodeFixture::with_admin(1, |_| BackendAction::SucceedLate);
    let send = |stream: &mut TcpStream, text: &str| {
        stream.write_all(text.as_bytes()).expect("written");
        read_message(stream).unwrap_or_default()
    };
    let [mut idle, mut half_sent, mut used] = [(); 3].map(|()| fixture.connect());
    for stream in [&mut idle, &mut used] {
        assert_eq!(send(stream, UP_REQUEST).status(), 200);
    }
    let text = command_request("read", "a body", "");
    half_sent.write_all(&text.as_bytes()[..60]).expect("written");
    for _ in 0..2 {
        assert_eq!(call_admin(admin, "PUT /healthcheck/fail").status(), 200);
    }
    assert_eq!(fixture.send_request(UP_REQUEST).status(), 503);
    assert_eq!(call_admin(admin, "GET /healthcheck").status(), 200, "the process is ready nevertheless");
    let reply = send(&mut used, &command_request("read", "a body", ""));
    assert_eq!((reply.status(), reply.header("connection")), (200, Some("close")));
    assert_eq!(idle.read(&mut [0]).ok(), Some(0), "an idle connection ends");
    let mut late = fixture.connect();
    assert_eq!(
        send(&mut late, &command_request("read", "a body", "")).status(),
        200,
        "new clients are still served"
    );
    let reply = send(&mut half_sent, &text[60..]);
    assert_eq!(
        (reply.status(), reply.header("connection")),
        (200, Some("close")),
        "a half-sent command is not cut off"
    );
    for _ in 0..2 {
        assert_eq!(call_admin(admin, "PUT /healthcheck/ok").status(), 200);
    }
    assert_eq!(fixture.send_request(UP_REQUEST).status(), 200);
    let mut kept = fixture.connect();
    assert_eq!(send(&mut kept, UP_REQUEST).status(), 200);
    for request in ["PUT /healthcheck/fail", "PUT /healthcheck/ok"] {
        assert_eq!(call_admin(admin, request).status(), 200);
    }
    sleep(Duration::from_millis(1000));
    assert_eq!(send(&mut kept, UP_REQUEST).status(), 200, "undone in time: no connection is closed");
    assert_eq!(call_admin(admin, "PUT /healthcheck/fail").status(), 200);
    fixture.send_signal("-TERM");
    assert!(fixture.process.wait().expect("an end").success(), "SIGTERM ends a drained node too");
}
