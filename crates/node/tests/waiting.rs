//! A request's time counts from its last byte, wherever the request waits: in the kernel's queue, for its body to be passed
//! on, for a connection, for its answer.

#[allow(dead_code)]
mod world;

use serde_json::Value;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use world::*;

/// How long the clients of these tests wait for an answer.
const TIME_LEFT: Duration = Duration::from_millis(630);
/// An answer that comes later than this after its client's time counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(500);

fn with_limits(config: &mut Value) {
    for profile in config["settings"]["profiles"].as_array_mut().expect("profiles") {
        profile["goalTime"] = 250_000_000.into();
        profile["timeLimit"] = 630_000_000.into();
    }
}

fn timed_request(profile: &str, body: &str) -> String {
    command_request_within(profile, body, TIME_LEFT.as_millis() as u64)
}

/// Connects clients that stay and send nothing, the beginning of a head, or all but the end of a body.
fn connect_crowd(address: SocketAddr, size: usize) -> Vec<TcpStream> {
    let whole = timed_request("read", "half");
    let parts = ["", &whole[..40], &whole[..whole.len() - 3], "GET /up HTTP/1.1\r\nHost: n\r\n\r\n"];
    let connect = |number: usize| {
        let mut stream = connect_to(address);
        stream.write_all(parts[number % parts.len()].as_bytes()).expect("written");
        stream
    };
    (0..size).map(connect).collect()
}

/// Connections that stay and send nothing, or half a request, do not hold up the requests behind them. The failure: each one
/// that was told to make room kept its place for 0.1 to 0.5 s, and requests waited unread for up to 3.6 s.
#[test]
fn a_crowd_that_stays_holds_up_no_request() {
    const CROWD_SIZE: usize = 400;
    let fixture = NodeFixture::new(
        2,
        |_| BackendAction::Succeed,
        |config| {
            with_limits(config);
            config["limits"]["sockets"] = 110.into();
        },
    );
    let _crowd = connect_crowd(fixture.listen, CROWD_SIZE);
    for profile in ["read", "mark", "pay"] {
        let since = Instant::now();
        let status = fixture.send_command(profile).status();
        assert!(since.elapsed() < TIME_LEFT + LOST_AFTER, "{profile}: {status} after {:?}", since.elapsed());
        assert_eq!(status, 200, "{profile}");
    }
}
