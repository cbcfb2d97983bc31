//! Links and schedules: impairments take effect as documented, and a schedule survives being written and parsed.

use links::schedule::{apply_to_links, Fault, Schedule};
use links::{Impairment, Links};
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

fn impairment(change: impl FnOnce(&mut Impairment)) -> Impairment {
    let mut impairment = Impairment::default();
    change(&mut impairment);
    impairment
}

/// Sends 100 datagrams through a link with this impairment and returns those that arrived, in the order of arrival.
fn send_datagrams(impairment: Impairment) -> Vec<u8> {
    let links = Links::new(3);
    let (sender, receiver) =
        (UdpSocket::bind((LOOPBACK, 0)).expect("a port"), UdpSocket::bind((LOOPBACK, 0)).expect("a port"));
    let relay =
        links.open_udp("a", "b", receiver.local_addr().expect("its address"), LOOPBACK).expect("a link");
    links.set_impairment("a", "b", impairment);
    // An impairment of the other direction has no effect on this one.
    links.set_impairment("b", "a", Impairment { blocked: true, ..Impairment::default() });
    receiver.set_read_timeout(Some(Duration::from_millis(300))).expect("a timeout");
    for number in 0..100u8 {
        sender.send_to(&[number], relay).expect("sent");
        sleep(Duration::from_micros(200));
    }
    let mut byte = [0];
    std::iter::from_fn(|| receiver.recv(&mut byte).ok().map(|_| byte[0])).collect()
}

/// Each impairment of datagrams: none, blocked, lost, duplicated, reordered, delayed.
#[test]
fn datagram_impairments_take_effect() {
    let unimpaired = send_datagrams(Impairment::default());
    assert_eq!(unimpaired, (0..100).collect::<Vec<u8>>());
    assert_eq!(send_datagrams(impairment(|impairment| impairment.blocked = true)), Vec::<u8>::new());
    let arrived = send_datagrams(impairment(|impairment| impairment.loss_percent = 30)).len();
    assert!((50..90).contains(&arrived), "{arrived} of 100");
    let doubled = send_datagrams(impairment(|impairment| impairment.duplicate_percent = 30)).len();
    assert!((110..150).contains(&doubled), "{doubled} of 100");
    let reordered = send_datagrams(impairment(|impairment| impairment.reorder_percent = 20));
    assert!(reordered.len() >= 99 && reordered.windows(2).any(|pair| pair[0] > pair[1]), "{reordered:?}");
    let start = Instant::now();
    let delayed = send_datagrams(impairment(|impairment| impairment.latency = Duration::from_millis(150)));
    assert!(delayed.len() == 100 && start.elapsed() > Duration::from_millis(150));
}

/// Starts an echo server and opens a link to it.
fn start_echo_server(links: &Links) -> SocketAddr {
    let listener = TcpListener::bind((LOOPBACK, 0)).expect("a port");
    let at = listener.local_addr().expect("its address");
    spawn(move || {
        for mut stream in listener.incoming().flatten() {
            spawn(move || {
                let mut byte = [0; 4096];
                while let Ok(size @ 1..) = stream.read(&mut byte) {
                    let _ = stream.write_all(&byte[..size]);
                }
            });
        }
    });
    links.open_tcp("a", "b", at, LOOPBACK).expect("a link")
}

fn echo(stream: &mut TcpStream, text: &[u8], timeout_ms: u64) -> std::io::Result<Vec<u8>> {
    stream.set_read_timeout(Some(Duration::from_millis(timeout_ms)))?;
    stream.write_all(text)?;
    let mut back = vec![0; text.len()];
    stream.read_exact(&mut back)?;
    Ok(back)
}

/// Each impairment of connections: none, blocked in either direction and healed without loss, slow, reset and refused.
#[test]
fn connection_impairments_take_effect() {
    let links = Links::new(4);
    let relay = start_echo_server(&links);
    let mut stream = TcpStream::connect(relay).expect("a connection");
    assert_eq!(echo(&mut stream, b"one", 2000).expect("no impairment"), b"one");
    for (from, to) in [("a", "b"), ("b", "a")] {
        links.set_impairment(from, to, impairment(|impairment| impairment.blocked = true));
        assert!(echo(&mut stream, b"two", 200).is_err(), "silent from {from} to {to}");
        links.heal();
        let mut back = [0; 3];
        stream.set_read_timeout(Some(Duration::from_secs(2))).expect("a timeout");
        stream.read_exact(&mut back).expect("nothing is lost by blocking");
        assert_eq!(&back, b"two");
    }
    links.set_impairment("b", "a", impairment(|impairment| impairment.bytes_per_second = 2000));
    let start = Instant::now();
    assert!(echo(&mut stream, &[7; 1000], 3000).is_ok());
    assert!(start.elapsed() > Duration::from_millis(300), "{:?}", start.elapsed());
    links.heal();
    links.set_impairment("a", "b", impairment(|impairment| impairment.resets_connections = true));
    sleep(Duration::from_millis(100));
    let after_reset = echo(&mut stream, b"three", 1000).or_else(|_| echo(&mut stream, b"three", 1000));
    assert!(after_reset.is_err(), "the connection is reset");
    let refused = TcpStream::connect(relay).and_then(|mut stream| echo(&mut stream, b"four", 500));
    assert!(refused.is_err(), "a new one is reset too");
    links.heal();
    let mut stream = TcpStream::connect(relay).expect("a connection");
    assert_eq!(echo(&mut stream, b"five", 2000).expect("healed"), b"five");
}

/// A closed connection is forwarded in both directions: a node behind a link that misses it would keep the connection open.
#[test]
fn closed_connections_are_forwarded() {
    let links = Links::new(6);
    let listener = TcpListener::bind((LOOPBACK, 0)).expect("a port");
    let relay =
        links.open_tcp("a", "b", listener.local_addr().expect("its address"), LOOPBACK).expect("a link");
    for client_first in [true, false] {
        let client = TcpStream::connect(relay).expect("a connection");
        let (server, _) = listener.accept().expect("a connection");
        let (closed, mut open) = if client_first { (client, server) } else { (server, client) };
        drop(closed);
        open.set_read_timeout(Some(Duration::from_secs(2))).expect("a timeout");
        assert_eq!(open.read(&mut [0]).ok(), Some(0), "client first: {client_first}");
    }
}

/// A seed always generates the same schedule; a schedule parses back from its text; and a generated schedule ends with all
/// links healed and all processes running.
#[test]
fn schedules_survive_writing_and_parsing() {
    let names: Vec<String> = (0..5).map(|node| format!("n{node}")).collect();
    for seed in 0..200 {
        let schedule = Schedule::generate(seed, &names, 14, Duration::from_secs(20));
        assert_eq!(schedule, Schedule::generate(seed, &names, 14, Duration::from_secs(20)));
        assert_eq!(schedule.to_string().parse::<Schedule>(), Ok(schedule.clone()), "{schedule}");
        assert!(schedule.0.windows(2).all(|pair| pair[0].at_ms <= pair[1].at_ms), "{schedule}");
        let (mut stopped, mut impaired) = (Vec::new(), false);
        for scheduled in &schedule.0 {
            match &scheduled.fault {
                Fault::Kill(one) | Fault::Terminate(one) | Fault::Pause(one) => stopped.push(one.clone()),
                Fault::Start(one) | Fault::Resume(one) => stopped.retain(|other| other != one),
                Fault::Heal => impaired = false,
                _ => impaired = true,
            }
        }
        assert!(stopped.is_empty() && !impaired, "{schedule}");
    }
    for text in ["x heal", "5 melt n0", "5 apart", "5 lossy n0 many", "5"] {
        assert!(text.parse::<Schedule>().is_err(), "{text}");
    }
}

/// Shrinking a schedule of which two faults cause the failure leaves these two, whatever stands between them.
#[test]
fn shrinking_leaves_the_faults_that_cause_the_failure() {
    let names: Vec<String> = (0..4).map(|node| format!("n{node}")).collect();
    let mut schedule = Schedule::generate(9, &names, 30, Duration::from_secs(30));
    let culprits: Schedule = "3 kill n9\n7 one-way n9 n0".parse().expect("a schedule");
    let middle = schedule.0.len() / 2;
    schedule.0.insert(middle, culprits.0[0].clone());
    schedule.0.push(culprits.0[1].clone());
    let mut attempts = 0;
    let shrunk = schedule.shrink(|fewer| {
        attempts += 1;
        culprits.0.iter().all(|fault| fewer.0.contains(fault))
    });
    assert_eq!(shrunk, culprits);
    assert!(attempts < 80, "{attempts} attempts");
}

/// A fault affects the links that it names and no others.
#[test]
fn faults_affect_only_the_links_that_they_name() {
    let links = Links::new(1);
    let names: Vec<String> = ["a", "b", "c"].map(String::from).to_vec();
    let relay = start_echo_server(&links);
    apply_to_links(&"0 apart c".parse::<Schedule>().expect("a schedule").0[0].fault, &links, &names);
    let mut stream = TcpStream::connect(relay).expect("a connection");
    assert!(echo(&mut stream, b"x", 1000).is_ok(), "a and b are in one partition");
    apply_to_links(&"0 one-way a b".parse::<Schedule>().expect("a schedule").0[0].fault, &links, &names);
    assert!(echo(&mut stream, b"x", 200).is_err());
    apply_to_links(&Fault::Heal, &links, &names);
    assert!(echo(&mut TcpStream::connect(relay).expect("a connection"), b"y", 1000).is_ok());
}
