//! Two of four backends hang in the middle of their work while clients send long bodies. Does each request that the
//! node has taken get its final answer?

use stand::*;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const PROFILES: &str = r#"[
{"name":"fetch","goalTime":250000000,"timeLimit":630000000,"idempotency":"repeatable","group":"all","memorySpan":0,"payoff":2.0},
{"name":"publish","goalTime":250000000,"timeLimit":630000000,"idempotency":"by_key","group":"all","memorySpan":2500000000,"payoff":5.0}]"#;

/// The time that a client waits for its answer, and the latest time at which an answer still counts as given: half a
/// second later, and 50 ms on sockets.
const TIME_LEFT: Duration = Duration::from_millis(630);
const LOST_AFTER: Duration = Duration::from_millis(630 + 500 + 50);
/// How long a client tries to write its request, and how long it reads on to see whether an answer comes at all.
const WRITE_FOR: Duration = Duration::from_secs(3);
const READ_FOR: Duration = Duration::from_secs(10);
const WORK: Duration = Duration::from_millis(70);
/// The long bodies, in bytes: 32 MB at most on the page. Which of them the kernel's buffers hold depends on the machine.
const LONG_BODIES: [usize; 12] = [4, 5, 6, 7, 8, 9, 4, 5, 6, 7, 8, 9];
const MB: usize = 1_000_000;

/// Reads one request and answers it. While `hangs` is set, a request that has begun is not read on.
fn serve_backend(name: &'static str, mut reader: Reader, hangs: &AtomicBool, record: &Record) {
    loop {
        let Ok(Some(head)) = reader.read_head() else { return };
        let id = head.header("x-correlation-id").to_owned();
        if hangs.load(SeqCst) {
            record.line(format!("backend {name}: hangs in {id}"));
            while hangs.load(SeqCst) {
                sleep(Duration::from_millis(100));
            }
            return;
        }
        let Ok(body) = reader.read_body(&head) else { return };
        sleep(WORK);
        record.line(format!("backend {name}: ran {id} with {} bytes", body.len()));
        if reader.stream.write_all(&answer(&format!("answer to {id}"))).is_err() {
            return;
        }
    }
}

/// Sends one request on a connection of its own and waits for its answer. Returns whether it is lost: its last byte was
/// written, the connection is open, and no answer came in time.
fn run_request(id: &str, body: usize, at: SocketAddr, record: &Record) -> io::Result<bool> {
    let mut stream = TcpStream::connect(at)?;
    stream.set_nodelay(true)?;
    let head = match body {
        0 => format!("GET /api HTTP/1.1\r\nX-Service-Class: fetch\r\nX-Correlation-Id: {id}\r\n"),
        _ => format!(
            "POST /api HTTP/1.1\r\nX-Service-Class: publish\r\nX-Correlation-Id: {id}\r\nIdempotency-Key: k-{id}\r\n\
             Content-Length: {body}\r\n"
        ),
    };
    let head = format!("{head}Host: origin.svc\r\nX-Time-Left-Ms: {}\r\n\r\n", TIME_LEFT.as_millis());
    stream.set_write_timeout(Some(WRITE_FOR))?;
    let written = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&vec![b'x'; body]));
    let sent = Instant::now();
    if let Err(error) = written {
        // Not taken: its last byte was never written.
        record.line(format!("client: {id} with {body} bytes could not be written whole: {error}"));
        return Ok(false);
    }
    record.line(format!("client: {id} with {body} bytes, last byte written"));
    stream.set_read_timeout(Some(READ_FOR))?;
    let answer = Reader::new(stream).read();
    let took = sent.elapsed();
    let (is_lost, text) = match &answer {
        Ok(Some(answer)) => (took > LOST_AFTER, format!("{} {:?}", answer.status(), answer.text())),
        Ok(None) => (true, "closed with no answer".to_owned()),
        Err(error) => (true, format!("no answer: {error}")),
    };
    let mark = if is_lost { " <- lost" } else { "" };
    record.line(format!("client: {id} after {} ms: {text}{mark}", took.as_millis()));
    Ok(is_lost)
}

fn main() {
    run_case(Duration::from_secs(100), |setting| {
        let record = setting.record.clone();
        let hangs = Arc::new(AtomicBool::new(false));
        let never = Arc::new(AtomicBool::new(false));
        let mut backends = Vec::new();
        for (index, name) in ["web-1", "web-2", "web-3", "web-4"].into_iter().enumerate() {
            let (record, hangs) = (record.clone(), if index < 2 { hangs.clone() } else { never.clone() });
            let address = start_backend(move |reader| serve_backend(name, reader, &hangs, &record))?;
            backends.push(Listed { name, address, zone: "a", group: 0, status: "ready" });
        }
        let list = list_message(1, true, &backends);
        let discovery = start_discovery(list.clone())?;
        let listen = free_address()?;
        let node = setting.start_node("n1", &config(listen, discovery, &list, PROFILES, SMALL), listen)?;
        let at = node.listen;
        for number in 0..20 {
            run_request(&format!("before-{number}"), 0, at, &record)?;
        }
        if setting.trouble {
            record.line("web-1 and web-2 hang from now on");
            hangs.store(true, SeqCst);
        }
        let clients: Vec<_> = LONG_BODIES
            .iter()
            .enumerate()
            .map(|(number, size)| {
                let (record, size) = (record.clone(), *size);
                spawn(move || run_request(&format!("long-{number}"), size * MB, at, &record))
            })
            .collect();
        let mut lost = 0;
        for client in clients {
            lost += u32::from(client.join().map_err(|_| io::Error::other("a client failed"))??);
        }
        hangs.store(false, SeqCst);
        record.line(format!(
            "{lost} of {} requests with long bodies were taken and got no answer in time",
            LONG_BODIES.len()
        ));
        Ok(if lost > 0 { End::Broken } else { End::Held })
    })
}
