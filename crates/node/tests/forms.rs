//! Every HTTP/1.1 syntax that a client or a backend may use, split at any byte.

#[allow(dead_code)]
mod world;

use std::io::{Read, Write};
use std::thread::sleep;
use std::time::Duration;
use world::*;

/// A chunked command with chunk extensions and trailers.
fn chunked_command() -> String {
    command_request("mark", "", "")
        .replace("Content-Length: 0", "Transfer-Encoding: chunked")
        .replace("\r\n\r\n", "\r\n\r\n2;x=\"y\"\r\na \r\n4\r\nbody\r\n0\r\nX-Trailer: 1\r\n\r\n")
}

/// A command is forwarded the same way, whichever valid syntax its client uses.
#[test]
fn commands_in_every_syntax_are_forwarded_alike() {
    let plain = || command_request("mark", "a body", "");
    let http_1_0 = |headers: &str| plain().replace("HTTP/1.1\r\n", &format!("HTTP/1.0\r\n{headers}"));
    let cases: Vec<(&str, String, bool)> = vec![
        ("the usual form", plain(), true),
        ("an absolute target", plain().replace("POST /api", "POST http://origin.svc/api"), true),
        ("chunked", chunked_command(), true),
        ("an empty line first", "\r\n".to_owned() + &plain(), true),
        ("its length twice", command_request("mark", "a body", "Content-Length: 6\r\n"), true),
        ("HTTP/1.0", http_1_0(""), false),
        ("HTTP/1.0 with keep-alive", http_1_0("Connection: keep-alive\r\n"), true),
        ("Connection: close", plain().replace("Host:", "Connection: close\r\nHost:"), false),
    ];
    let fixture = NodeFixture::new(1, |_| BackendAction::Succeed, |_| {});
    for (n, (what, text, stays_open)) in cases.into_iter().enumerate() {
        let mut stream = fixture.connect();
        stream.write_all(text.as_bytes()).expect("written");
        assert_eq!(read_message(&mut stream).unwrap_or_default().status(), 200, "{what}");
        stream
            .set_read_timeout(Some(Duration::from_millis(if stays_open { 30 } else { 5000 })))
            .expect("a timeout");
        assert_eq!(stream.read(&mut [0]).is_err(), stays_open, "{what}: whether its connection stays open");
        let launch = fixture.launches.lock().expect("launches")[n].1.clone();
        assert_eq!((&*launch.start_line, &*launch.body), ("POST /api HTTP/1.1", &b"a body"[..]), "{what}");
    }
    let mut stream = fixture.connect();
    let text = command_request("mark", "a body", "Expect: 100-continue\r\n");
    let (head, body) = text.split_at(text.len() - 6);
    stream.write_all(head.as_bytes()).expect("written");
    assert_eq!(read_message(&mut stream).unwrap_or_default().status(), 100);
    stream.write_all(body.as_bytes()).expect("written");
    assert_eq!(read_message(&mut stream).unwrap_or_default().status(), 200);
    let three = [plain(), chunked_command(), command_request("read", "", "")].concat();
    stream.write_all(three.as_bytes()).expect("written");
    for n in 0..3 {
        assert_eq!(read_message(&mut stream).unwrap_or_default().status(), 200, "pipelined: {n}");
    }
    // A head with two body lengths is rejected after a chunked command too.
    let before = fixture.launch_count();
    let both = command_request("mark", "0\r\n\r\n", "Transfer-Encoding: chunked\r\n");
    stream.write_all((chunked_command() + &both).as_bytes()).expect("written");
    assert_eq!([200, 400], [(); 2].map(|()| read_message(&mut stream).unwrap_or_default().status()));
    assert_eq!(fixture.launch_count(), before + 1);
}

/// A command that arrives in two pieces is read like one that arrives at once, wherever it is split.
#[test]
fn commands_may_be_split_at_every_byte() {
    let fixture = NodeFixture::new(1, |_| BackendAction::Succeed, |_| {});
    let mut stream = fixture.connect();
    for write_command in [|| command_request("mark", "a body", ""), chunked_command] {
        for cut in 1..write_command().len() {
            let text = write_command();
            let (first, rest) = text.as_bytes().split_at(cut.min(text.len() - 1));
            stream.write_all(first).expect("written");
            sleep(Duration::from_micros(300));
            stream.write_all(rest).expect("written");
            assert_eq!(read_message(&mut stream).unwrap_or_default().status(), 200, "at {cut}");
        }
    }
    assert!(fixture.launches.lock().expect("launches").iter().all(|(_, launch)| launch.body == b"a body"));
}

/// Whatever a backend writes around its answer, the client receives that answer and nothing else.
#[test]
fn answers_in_every_syntax_are_forwarded_alone() {
    type Case = (fn(usize) -> BackendAction, u16);
    let cases: [Case; 6] = [
        (
            |_| {
                BackendAction::RawText("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood")
            },
            200,
        ),
        (
            |_| {
                BackendAction::RawText(
                    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\ngood",
                )
            },
            200,
        ),
        (
            |_| {
                BackendAction::RawText(
                    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\ngood",
                )
            },
            502,
        ),
        (
            |_| {
                BackendAction::RawText(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a\r\ngood\r\n0\r\nT: 1\r\n\r\n",
                )
            },
            200,
        ),
        (|_| BackendAction::RawText("HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\ngood"), 200),
        (
            |_| {
                BackendAction::RawText("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngoodHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
            },
            200,
        ),
    ];
    for (n, (action_of, status)) in cases.into_iter().enumerate() {
        let fixture = NodeFixture::new(1, action_of, |_| {});
        for round in 0..3 {
            let reply = fixture.send_command("pay");
            assert_eq!(reply.status(), status, "case {n}, round {round}");
            assert!(status != 200 || reply.body == b"good", "case {n}, round {round}: {reply:?}");
        }
    }
}
