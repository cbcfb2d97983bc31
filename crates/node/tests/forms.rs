//! All forms of HTTP/1.1 that a client or a backend may use, cut anywhere.

#[allow(dead_code)]
mod world;

use std::io::{Read, Write};
use std::thread::sleep;
use std::time::Duration;
use world::*;

fn chunked() -> String {
    command_request("mark", "", "")
        .replace("Content-Length: 0", "Transfer-Encoding: chunked")
        .replace("\r\n\r\n", "\r\n\r\n2;x=\"y\"\r\na \r\n4\r\nbody\r\n0\r\nX-Trailer: 1\r\n\r\n")
}

/// Whichever way a command is written, the same one goes on.
#[test]
fn commands_in_every_form() {
    let good = || command_request("mark", "a body", "");
    let ten = |more: &str| good().replace("HTTP/1.1\r\n", &format!("HTTP/1.0\r\n{more}"));
    let cases: Vec<(&str, String, bool)> = vec![
        ("as usual", good(), true),
        ("an absolute target", good().replace("POST /api", "POST http://origin.svc/api"), true),
        ("chunks", chunked(), true),
        ("a line ahead", "\r\n".to_owned() + &good(), true),
        ("its length twice", command_request("mark", "a body", "Content-Length: 6\r\n"), true),
        ("HTTP/1.0", ten(""), false),
        ("HTTP/1.0 that stays", ten("Connection: keep-alive\r\n"), true),
        ("for the last time", good().replace("Host:", "Connection: close\r\nHost:"), false),
    ];
    let world = World::new(1, |_| BackendAction::Succeed, |_| {});
    for (n, (what, text, stays)) in cases.into_iter().enumerate() {
        let mut stream = world.connect();
        stream.write_all(text.as_bytes()).expect("written");
        assert_eq!(read_message(&mut stream).unwrap_or_default().status(), 200, "{what}");
        stream.set_read_timeout(Some(Duration::from_millis(if stays { 30 } else { 5000 }))).expect("a limit");
        assert_eq!(stream.read(&mut [0]).is_err(), stays, "{what}: whether its connection stays");
        let launch = world.launches.lock().expect("launches")[n].1.clone();
        assert_eq!((&*launch.start_line, &*launch.body), ("POST /api HTTP/1.1", &b"a body"[..]), "{what}");
    }
    let mut stream = world.connect();
    let text = command_request("mark", "a body", "Expect: 100-continue\r\n");
    let (head, body) = text.split_at(text.len() - 6);
    stream.write_all(head.as_bytes()).expect("written");
    assert_eq!(read_message(&mut stream).unwrap_or_default().status(), 100);
    stream.write_all(body.as_bytes()).expect("written");
    assert_eq!(read_message(&mut stream).unwrap_or_default().status(), 200);
    let three = [good(), chunked(), command_request("read", "", "")].concat();
    stream.write_all(three.as_bytes()).expect("written");
    for n in 0..3 {
        assert_eq!(read_message(&mut stream).unwrap_or_default().status(), 200, "pipelined: {n}");
    }
    // Behind chunks too a head with two lengths is none.
    let before = world.launched();
    let both = command_request("mark", "0\r\n\r\n", "Transfer-Encoding: chunked\r\n");
    stream.write_all((chunked() + &both).as_bytes()).expect("written");
    assert_eq!([200, 400], [(); 2].map(|()| read_message(&mut stream).unwrap_or_default().status()));
    assert_eq!(world.launched(), before + 1);
}

/// What comes in pieces is what came at once, wherever it is cut.
#[test]
fn cut_at_every_byte() {
    let world = World::new(1, |_| BackendAction::Succeed, |_| {});
    let mut stream = world.connect();
    for form in [|| command_request("mark", "a body", ""), chunked] {
        for cut in 1..form().len() {
            let text = form();
            let (first, rest) = text.as_bytes().split_at(cut.min(text.len() - 1));
            stream.write_all(first).expect("written");
            sleep(Duration::from_micros(300));
            stream.write_all(rest).expect("written");
            assert_eq!(read_message(&mut stream).unwrap_or_default().status(), 200, "at {cut}");
        }
    }
    assert!(world.launches.lock().expect("launches").iter().all(|(_, launch)| launch.body == b"a body"));
}

/// Whatever a backend may write around its answer, its client gets that answer and nothing else.
#[test]
fn answers_in_every_form() {
    type Case = (fn(usize) -> BackendAction, u16);
    let cases: [Case; 6] = [
        (
            |_| {
                BackendAction::Text("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood")
            },
            200,
        ),
        (
            |_| BackendAction::Text("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\ngood"),
            200,
        ),
        (
            |_| BackendAction::Text("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\ngood"),
            502,
        ),
        (
            |_| {
                BackendAction::Text(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;a\r\ngood\r\n0\r\nT: 1\r\n\r\n",
                )
            },
            200,
        ),
        (|_| BackendAction::Text("HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\ngood"), 200),
        (
            |_| {
                BackendAction::Text("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngoodHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
            },
            200,
        ),
    ];
    for (n, (acts, status)) in cases.into_iter().enumerate() {
        let world = World::new(1, acts, |_| {});
        for round in 0..3 {
            let reply = world.command("pay");
            assert_eq!(reply.status(), status, "case {n}, round {round}");
            assert!(status != 200 || reply.body == b"good", "case {n}, round {round}: {reply:?}");
        }
    }
}
