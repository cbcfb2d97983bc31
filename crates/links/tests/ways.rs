//! The ways and the schedules themselves: what a law says happens, and a schedule is the same after it was written and read.

use links::schedule::{apply_to_links, Fault, Schedule};
use links::{Impairment, Links};
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const HERE: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

fn law(change: impl FnOnce(&mut Impairment)) -> Impairment {
    let mut law = Impairment::default();
    change(&mut law);
    law
}

/// Sends a hundred datagrams by a way with that law: which came, in their order.
fn datagrams(law: Impairment) -> Vec<u8> {
    let links = Links::new(3);
    let (near, far) =
        (UdpSocket::bind((HERE, 0)).expect("a port"), UdpSocket::bind((HERE, 0)).expect("a port"));
    let way = links.open_udp("a", "b", far.local_addr().expect("its address"), HERE).expect("a way");
    links.set_impairment("a", "b", law);
    // The other direction's law is another.
    links.set_impairment("b", "a", Impairment { blocked: true, ..Impairment::default() });
    far.set_read_timeout(Some(Duration::from_millis(300))).expect("a limit");
    for number in 0..100u8 {
        near.send_to(&[number], way).expect("sent");
        sleep(Duration::from_micros(200));
    }
    let mut byte = [0];
    std::iter::from_fn(|| far.recv(&mut byte).ok().map(|_| byte[0])).collect()
}

/// Each law of datagrams: plain, cut, lossy, doubled, out of order, late.
#[test]
fn laws_of_datagrams() {
    let plain = datagrams(Impairment::default());
    assert_eq!(plain, (0..100).collect::<Vec<u8>>());
    assert_eq!(datagrams(law(|law| law.blocked = true)), Vec::<u8>::new());
    let lossy = datagrams(law(|law| law.loss_percent = 30)).len();
    assert!((50..90).contains(&lossy), "{lossy} of 100");
    let doubled = datagrams(law(|law| law.duplicate_percent = 30)).len();
    assert!((110..150).contains(&doubled), "{doubled} of 100");
    let late_ones = datagrams(law(|law| law.reorder_percent = 20));
    assert!(late_ones.len() >= 99 && late_ones.windows(2).any(|pair| pair[0] > pair[1]), "{late_ones:?}");
    let start = Instant::now();
    let late = datagrams(law(|law| law.latency = Duration::from_millis(150)));
    assert!(late.len() == 100 && start.elapsed() > Duration::from_millis(150));
}

/// A server that says each byte back, and a way to it.
fn echo(links: &Links) -> SocketAddr {
    let listener = TcpListener::bind((HERE, 0)).expect("a port");
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
    links.open_tcp("a", "b", at, HERE).expect("a way")
}

fn said_back(stream: &mut TcpStream, text: &[u8], wait: u64) -> std::io::Result<Vec<u8>> {
    stream.set_read_timeout(Some(Duration::from_millis(wait)))?;
    stream.write_all(text)?;
    let mut back = vec![0; text.len()];
    stream.read_exact(&mut back)?;
    Ok(back)
}

/// Each law of connections: plain, cut and healed with nothing lost, one direction alone, slow, reset and refused.
#[test]
fn laws_of_connections() {
    let links = Links::new(4);
    let way = echo(&links);
    let mut stream = TcpStream::connect(way).expect("a connection");
    assert_eq!(said_back(&mut stream, b"one", 2000).expect("plain"), b"one");
    for (from, to) in [("a", "b"), ("b", "a")] {
        links.set_impairment(from, to, law(|law| law.blocked = true));
        assert!(said_back(&mut stream, b"two", 200).is_err(), "silent from {from} to {to}");
        links.heal();
        let mut back = [0; 3];
        stream.set_read_timeout(Some(Duration::from_secs(2))).expect("a limit");
        stream.read_exact(&mut back).expect("nothing is lost by a cut");
        assert_eq!(&back, b"two");
    }
    links.set_impairment("b", "a", law(|law| law.bytes_per_second = 2000));
    let start = Instant::now();
    assert!(said_back(&mut stream, &[7; 1000], 3000).is_ok());
    assert!(start.elapsed() > Duration::from_millis(300), "{:?}", start.elapsed());
    links.heal();
    links.set_impairment("a", "b", law(|law| law.resets_connections = true));
    sleep(Duration::from_millis(100));
    let broken = said_back(&mut stream, b"three", 1000).or_else(|_| said_back(&mut stream, b"three", 1000));
    assert!(broken.is_err(), "it is reset");
    let refused = TcpStream::connect(way).and_then(|mut stream| said_back(&mut stream, b"four", 500));
    assert!(refused.is_err(), "a new one is reset too");
    links.heal();
    let mut stream = TcpStream::connect(way).expect("a connection");
    assert_eq!(said_back(&mut stream, b"five", 2000).expect("whole again"), b"five");
}

/// An end is passed on too, either way: a node behind a way has to see its client go, or it keeps the connection.
#[test]
fn ends_are_passed_on() {
    let links = Links::new(6);
    let listener = TcpListener::bind((HERE, 0)).expect("a port");
    let way = links.open_tcp("a", "b", listener.local_addr().expect("its address"), HERE).expect("a way");
    for client_first in [true, false] {
        let near = TcpStream::connect(way).expect("a connection");
        let (far, _) = listener.accept().expect("a connection");
        let (gone, mut left) = if client_first { (near, far) } else { (far, near) };
        drop(gone);
        left.set_read_timeout(Some(Duration::from_secs(2))).expect("a limit");
        assert_eq!(left.read(&mut [0]).ok(), Some(0), "client first: {client_first}");
    }
}

/// One seed is one schedule; it reads as it was written; and what is drawn ends with all ways whole, all processes there.
#[test]
fn schedules_are_written_and_read() {
    let names: Vec<String> = (0..5).map(|node| format!("n{node}")).collect();
    for seed in 0..200 {
        let drawn = Schedule::generate(seed, &names, 14, Duration::from_secs(20));
        assert_eq!(drawn, Schedule::generate(seed, &names, 14, Duration::from_secs(20)));
        assert_eq!(drawn.to_string().parse::<Schedule>(), Ok(drawn.clone()), "{drawn}");
        assert!(drawn.0.windows(2).all(|pair| pair[0].at_ms <= pair[1].at_ms), "{drawn}");
        let (mut down, mut cut) = (Vec::new(), false);
        for step in &drawn.0 {
            match &step.fault {
                Fault::Kill(one) | Fault::Terminate(one) | Fault::Pause(one) => down.push(one.clone()),
                Fault::Start(one) | Fault::Resume(one) => down.retain(|other| other != one),
                Fault::Heal => cut = false,
                _ => cut = true,
            }
        }
        assert!(down.is_empty() && !cut, "{drawn}");
    }
    for text in ["x heal", "5 melt n0", "5 apart", "5 lossy n0 many", "5"] {
        assert!(text.parse::<Schedule>().is_err(), "{text}");
    }
}

/// Of a schedule that fails by two of its steps those two are left, whatever stands between them.
#[test]
fn shrinking_leaves_what_is_to_blame() {
    let names: Vec<String> = (0..4).map(|node| format!("n{node}")).collect();
    let mut schedule = Schedule::generate(9, &names, 30, Duration::from_secs(30));
    let guilty: Schedule = "3 kill n9\n7 one-way n9 n0".parse().expect("a schedule");
    let middle = schedule.0.len() / 2;
    schedule.0.insert(middle, guilty.0[0].clone());
    schedule.0.push(guilty.0[1].clone());
    let mut plays = 0;
    let small = schedule.shrink(|fewer| {
        plays += 1;
        guilty.0.iter().all(|step| fewer.0.contains(step))
    });
    assert_eq!(small, guilty);
    assert!(plays < 80, "{plays} plays");
}

/// A fault meets the ways that it names and no others.
#[test]
fn faults_on_ways() {
    let links = Links::new(1);
    let names: Vec<String> = ["a", "b", "c"].map(String::from).to_vec();
    let way = echo(&links);
    apply_to_links(&"0 apart c".parse::<Schedule>().expect("a schedule").0[0].fault, &links, &names);
    let mut stream = TcpStream::connect(way).expect("a connection");
    assert!(said_back(&mut stream, b"x", 1000).is_ok(), "a and b are together");
    apply_to_links(&"0 one-way a b".parse::<Schedule>().expect("a schedule").0[0].fault, &links, &names);
    assert!(said_back(&mut stream, b"x", 200).is_err());
    apply_to_links(&Fault::Heal, &links, &names);
    assert!(said_back(&mut TcpStream::connect(way).expect("a connection"), b"y", 1000).is_ok());
}
