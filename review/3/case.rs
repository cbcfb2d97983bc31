//! A crowd of idle and half-way clients connects while ordinary clients go on sending each request on a new connection.
//! Does each request that the node's machine has taken get its final answer in time, or at least a close?

use stand::*;
use std::collections::HashMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const PROFILES: &str = r#"[
{"name":"fetch","goalTime":250000000,"timeLimit":630000000,"idempotency":"repeatable","group":"all","memorySpan":0,"payoff":2.0}]"#;
/// Half of the memory and of the descriptors that a node has at most.
const LIMITS: &str = r#"{"cores":1.0,"memory_mb":96,"sockets":512}"#;

/// The crowd: as many processes, each with so many connections, made one after another at this interval. Every other one
/// sends half a request. All stay and do nothing more.
const CROWD_PROCESSES: usize = 8;
const CROWD_CONNECTIONS: usize = 125;
const CROWD_INTERVAL: Duration = Duration::from_millis(16);
const CROWD_STAYS: Duration = Duration::from_secs(20);

/// The ordinary clients: one request at this interval.
const REQUESTS: usize = 500;
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
const CROWD_COMES_AT: usize = 100;
const TIME_LEFT: Duration = Duration::from_millis(630);
/// Half a second after the client's time a request is lost; 50 ms more on sockets.
const LOST_AFTER: Duration = Duration::from_millis(630 + 500 + 50);
const READ_FOR: Duration = Duration::from_secs(5);
const WORK: Duration = Duration::from_millis(70);

/// A part of the crowd, in a process of its own. The case ends it.
fn run_crowd(at: SocketAddr) {
    let mut open: Vec<TcpStream> = Vec::new();
    for number in 0..CROWD_CONNECTIONS {
        if let Ok(mut stream) = TcpStream::connect_timeout(&at, Duration::from_secs(1)) {
            if number % 2 == 0 {
                let _ = stream.write_all(b"POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Cor");
            }
            open.push(stream);
        }
        sleep(CROWD_INTERVAL);
    }
    sleep(CROWD_STAYS);
}

/// What became of one request.
enum Fate {
    Answered,
    /// Not taken, or shut unread, as the page allows in a crowd.
    Excused,
    Lost,
}

/// When the last byte of each request was written.
type SentAt = Arc<Mutex<HashMap<String, Instant>>>;

fn run_request(number: usize, at: SocketAddr, sent_at: &SentAt, record: &Record) -> Fate {
    let id = format!("c{number}");
    let request = format!(
        "GET /api HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: {id}\r\nX-Service-Class: fetch\r\nX-Time-Left-Ms: {}\r\n\r\n",
        TIME_LEFT.as_millis()
    );
    let Ok(mut stream) = TcpStream::connect_timeout(&at, Duration::from_millis(500)) else {
        record.line(format!("client: {id}: not connected"));
        return Fate::Excused;
    };
    let _ = (stream.set_nodelay(true), stream.set_read_timeout(Some(READ_FOR)));
    sent_at.lock().unwrap().insert(id.clone(), Instant::now());
    if let Err(error) = stream.write_all(request.as_bytes()) {
        record.line(format!("client: {id}: not written: {error}"));
        return Fate::Excused;
    }
    let sent = Instant::now();
    let answer = Reader::new(stream).read();
    let took = sent.elapsed();
    let (fate, text) = match answer {
        Ok(Some(answer)) if took > LOST_AFTER => {
            (Fate::Lost, format!("{} {:?}", answer.status(), answer.text()))
        }
        Ok(Some(answer)) => (Fate::Answered, format!("{} {:?}", answer.status(), answer.text())),
        Ok(None) => (Fate::Excused, "closed with no answer".to_owned()),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
            (Fate::Lost, "no answer and no close".to_owned())
        }
        Err(error) => (Fate::Excused, format!("shut: {error}")),
    };
    let mark = if matches!(fate, Fate::Lost) { " <- lost" } else { "" };
    record.line(format!("client: {id} after {} ms: {text}{mark}", took.as_millis()));
    fate
}

/// How often the kernel had no room for a new connection in a listener's queue, on the whole machine.
fn queue_overflows() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/net/netstat").ok()?;
    let mut lines = text.lines().filter(|line| line.starts_with("TcpExt:"));
    let (names, values) = (lines.next()?, lines.next()?);
    let column = names.split(' ').position(|name| name == "ListenOverflows")?;
    values.split(' ').nth(column)?.parse().ok()
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, role, at] = &arguments[..] {
        if role == "crowd" {
            return run_crowd(at.parse().expect("an address"));
        }
    }
    run_case(Duration::from_secs(100), |setting| {
        let record = setting.record.clone();
        let (sent_at, told_too_long) = (SentAt::default(), Arc::new(Mutex::new(0)));
        let mut backends = Vec::new();
        for name in
            ["web-1", "web-2", "web-3", "web-4", "web-5", "web-6", "web-7", "web-8", "web-9", "web-10"]
        {
            let (record, sent_at, told_too_long) = (record.clone(), sent_at.clone(), told_too_long.clone());
            let address = start_backend(move |mut reader| {
                while let Ok(Some(request)) = reader.read() {
                    let id = request.header("x-correlation-id").to_owned();
                    let told = request
                        .header("x-time-left-ms")
                        .parse()
                        .map_or(Duration::ZERO, Duration::from_millis);
                    let gone = sent_at.lock().unwrap().get(&id).map_or(Duration::ZERO, Instant::elapsed);
                    let left = TIME_LEFT.saturating_sub(gone);
                    record.line(format!(
                        "backend {name}: runs {id}, told {} ms, left {} ms",
                        told.as_millis(),
                        left.as_millis()
                    ));
                    *told_too_long.lock().unwrap() += u32::from(told > left + Duration::from_millis(150));
                    sleep(WORK);
                    if reader.stream.write_all(&answer(&format!("answer to {id}"))).is_err() {
                        return;
                    }
                }
            })?;
            backends.push(Listed { name, address, zone: "a", group: 0, status: "ready" });
        }
        let list = list_message(1, true, &backends);
        let discovery = start_discovery(list.clone())?;
        let listen = free_address()?;
        let node = setting.start_node("n1", &config(listen, discovery, &list, PROFILES, LIMITS), listen)?;
        let (at, overflows) = (node.listen, queue_overflows());
        let (mut clients, mut crowd) = (Vec::new(), Vec::new());
        for number in 0..REQUESTS {
            if number == CROWD_COMES_AT && setting.trouble {
                record.line(format!("a crowd of {} comes", CROWD_PROCESSES * CROWD_CONNECTIONS));
                for _ in 0..CROWD_PROCESSES {
                    crowd.push(setting.start_helper(&["crowd".to_owned(), at.to_string()])?);
                }
            }
            let (record, sent_at) = (record.clone(), sent_at.clone());
            clients.push(spawn(move || run_request(number, at, &sent_at, &record)));
            sleep(REQUEST_INTERVAL);
        }
        let (mut lost, mut excused) = (0, 0);
        for client in clients {
            match client.join().map_err(|_| io::Error::other("a client failed"))? {
                Fate::Answered => {}
                Fate::Excused => excused += 1,
                Fate::Lost => lost += 1,
            }
        }
        for mut helper in crowd {
            let _ = helper.kill();
            let _ = helper.wait();
        }
        if let (Some(before), Some(after)) = (overflows, queue_overflows()) {
            record.line(format!(
                "overflows of listeners' queues on this machine meanwhile: {}",
                after - before
            ));
        }
        let told_too_long = *told_too_long.lock().unwrap();
        record.line(format!(
            "{told_too_long} attempts were told more time than their client had left and 150 ms"
        ));
        record.line(format!(
            "{lost} of {REQUESTS} requests were lost; {excused} were shut unread or not taken"
        ));
        Ok(if lost > 0 { End::Broken } else { End::Held })
    })
}
