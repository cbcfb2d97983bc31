//! Relays: each ordered pair of processes has its own, on a thread beside the test.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use socket2::SockRef;
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Shutdown, SocketAddr};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, Instant};

/// What happens to all that goes one way. The plain one passes everything on at once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Impairment {
    /// Nothing passes: datagrams are lost, connections that stand are silent, new ones are accepted and silent.
    pub blocked: bool,
    /// TCP alone: new connections are refused by a reset, and those that stand are reset.
    pub resets_connections: bool,
    /// Of a hundred datagrams so many are lost, come twice, or are held back until the next one has passed.
    pub loss_percent: u8,
    pub duplicate_percent: u8,
    pub reorder_percent: u8,
    /// Everything comes so much later, and by chance up to so much more.
    pub latency: Duration,
    pub jitter: Duration,
    /// Bytes a second at the most; 0 for as many as there are. TCP alone.
    pub bytes_per_second: u32,
}

type Pair = (String, String);

#[derive(Default)]
struct Table {
    laws: BTreeMap<Pair, Impairment>,
    /// What has passed each way: datagrams and pieces of streams.
    passed: BTreeMap<Pair, u64>,
}

#[derive(Clone, Default)]
struct Shared(Arc<Mutex<Table>>);

impl Shared {
    fn table(&self) -> MutexGuard<'_, Table> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn law(&self, pair: &Pair) -> Impairment {
        self.table().laws.get(pair).copied().unwrap_or_default()
    }

    fn passes(&self, pair: &Pair) {
        *self.table().passed.entry(pair.clone()).or_default() += 1;
    }
}

enum Way {
    Udp(std::net::UdpSocket),
    Tcp(std::net::TcpListener),
}

/// All ways of a play, until it is dropped.
pub struct Links {
    shared: Shared,
    ways: mpsc::UnboundedSender<(Way, Pair, SocketAddr, u64)>,
    seed: u64,
}

impl Links {
    /// Its chance, of what is lost and how late, is drawn from the seed.
    pub fn new(seed: u64) -> Links {
        let (ways, mut new) = mpsc::unbounded_channel::<(Way, Pair, SocketAddr, u64)>();
        let shared = Shared::default();
        let kept = shared.clone();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let Ok(runtime) = runtime else { return };
            LocalSet::new().block_on(&runtime, async move {
                while let Some((way, pair, to, seed)) = new.recv().await {
                    let chance = ChaCha8Rng::seed_from_u64(seed);
                    match way {
                        Way::Udp(socket) => drop(spawn_local(udp(socket, kept.clone(), pair, to, chance))),
                        Way::Tcp(listener) => drop(spawn_local(tcp(listener, kept.clone(), pair, to))),
                    }
                }
            });
        });
        Links { shared, ways, seed }
    }

    /// A way for datagrams from one to the other, who hears them at `to`: where the one has to send them.
    pub fn open_udp(&self, from: &str, to: &str, at: SocketAddr, host: IpAddr) -> io::Result<SocketAddr> {
        let socket = std::net::UdpSocket::bind((host, 0))?;
        let here = socket.local_addr()?;
        self.start_relay(Way::Udp(socket), from, to, at);
        Ok(here)
    }

    /// A way for connections from one to the other, who accepts them at `at`. Bytes go by the law of their own
    /// direction, the connection itself by that of `from` to `to`.
    pub fn open_tcp(&self, from: &str, to: &str, at: SocketAddr, host: IpAddr) -> io::Result<SocketAddr> {
        let listener = std::net::TcpListener::bind((host, 0))?;
        let here = listener.local_addr()?;
        self.start_relay(Way::Tcp(listener), from, to, at);
        Ok(here)
    }

    fn start_relay(&self, way: Way, from: &str, to: &str, at: SocketAddr) {
        let pair = (from.to_owned(), to.to_owned());
        let seed = pair
            .0
            .bytes()
            .chain(pair.1.bytes())
            .fold(self.seed, |s, b| s.wrapping_mul(31).wrapping_add(b.into()));
        let _ = self.ways.send((way, pair, at, seed));
    }

    /// The law of one direction from now on.
    pub fn set_impairment(&self, from: &str, to: &str, law: Impairment) {
        self.shared.table().laws.insert((from.to_owned(), to.to_owned()), law);
    }

    /// The law of both directions.
    pub fn set_impairment_both_ways(&self, one: &str, other: &str, law: Impairment) {
        self.set_impairment(one, other, law);
        self.set_impairment(other, one, law);
    }

    /// All ways are plain from now on.
    pub fn heal(&self) {
        self.shared.table().laws.clear();
    }

    /// How much has passed from one to the other: datagrams, or pieces of streams.
    pub fn forwarded_count(&self, from: &str, to: &str) -> u64 {
        self.shared.table().passed.get(&(from.to_owned(), to.to_owned())).copied().unwrap_or_default()
    }
}

fn percent(chance: &mut ChaCha8Rng, of: u8) -> bool {
    chance.random_range(0..100) < of
}

fn delay(chance: &mut ChaCha8Rng, law: &Impairment) -> Duration {
    law.latency + law.jitter.mul_f64(chance.random_range(0.0..1.0))
}

async fn udp(
    socket: std::net::UdpSocket,
    shared: Shared,
    pair: Pair,
    to: SocketAddr,
    mut chance: ChaCha8Rng,
) {
    let socket = socket.set_nonblocking(true).and_then(|()| UdpSocket::from_std(socket));
    let Ok(socket) = socket.map(Rc::new) else { return };
    let mut bytes = vec![0; 65536];
    let mut held: Option<Vec<u8>> = None;
    loop {
        let Ok((size, _)) = socket.recv_from(&mut bytes).await else { continue };
        let law = shared.law(&pair);
        if law.blocked || percent(&mut chance, law.loss_percent) {
            continue;
        }
        shared.passes(&pair);
        let one = bytes[..size].to_vec();
        if held.is_none() && percent(&mut chance, law.reorder_percent) {
            held = Some(one);
            continue;
        }
        let copies = 1 + usize::from(percent(&mut chance, law.duplicate_percent));
        let all = std::iter::repeat_n(one, copies).chain(held.take());
        for one in all {
            let wait = delay(&mut chance, &law);
            if wait.is_zero() {
                let _ = socket.send_to(&one, to).await;
                continue;
            }
            let socket = socket.clone();
            spawn_local(async move {
                sleep(wait).await;
                let _ = socket.send_to(&one, to).await;
            });
        }
    }
}

async fn tcp(listener: std::net::TcpListener, shared: Shared, pair: Pair, to: SocketAddr) {
    let listener = listener.set_nonblocking(true).and_then(|()| TcpListener::from_std(listener));
    let Ok(listener) = listener else { return };
    loop {
        let Ok((near, _)) = listener.accept().await else { continue };
        if shared.law(&pair).resets_connections {
            reset(&near);
            continue;
        }
        let (shared, pair) = (shared.clone(), pair.clone());
        spawn_local(async move {
            while shared.law(&pair).blocked {
                sleep(STEP).await;
            }
            let Ok(far) = TcpStream::connect(to).await else { return reset(&near) };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let back = (pair.1.clone(), pair.0.clone());
            // A reset is one of both directions.
            let (ends, law, pair_of_law) = (Rc::new((near, far)), shared.clone(), pair.clone());
            let broken = async {
                while !law.law(&pair_of_law).resets_connections {
                    sleep(STEP).await;
                }
            };
            tokio::select! {
                () = async { tokio::join!(pass(&ends.0, &ends.1, &shared, &pair), pass(&ends.1, &ends.0, &shared, &back)); } => {}
                () = broken => {
                    reset(&ends.0);
                    reset(&ends.1);
                }
            }
        });
    }
}

/// How soon a change of law is seen by what waits.
const STEP: Duration = Duration::from_millis(5);

/// Closed with this nothing is said but a reset.
fn reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

/// Passes bytes on one way until their end, and the end too: whoever is at the other side has to see a client go.
async fn pass(from: &TcpStream, to: &TcpStream, shared: &Shared, pair: &Pair) {
    pass_bytes(from, to, shared, pair).await;
    let _ = SockRef::from(to).shutdown(Shutdown::Write);
}

async fn pass_bytes(from: &TcpStream, to: &TcpStream, shared: &Shared, pair: &Pair) {
    let mut bytes = vec![0; 16384];
    let mut free = Instant::now();
    loop {
        if from.readable().await.is_err() {
            break;
        }
        let law = shared.law(pair);
        if law.blocked {
            sleep(STEP).await;
            continue;
        }
        let most =
            if law.bytes_per_second == 0 { bytes.len() } else { (law.bytes_per_second as usize / 50).max(1) };
        let most = most.min(bytes.len());
        let size = match from.try_read(&mut bytes[..most]) {
            Ok(0) => break,
            Ok(size) => size,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
            Err(_) => break,
        };
        shared.passes(pair);
        if !law.latency.is_zero() {
            sleep(law.latency).await;
        }
        if law.bytes_per_second > 0 {
            free = free.max(Instant::now())
                + Duration::from_secs_f64(size as f64 / f64::from(law.bytes_per_second));
            tokio::time::sleep_until(free).await;
        }
        let mut rest = &bytes[..size];
        while !rest.is_empty() {
            match to.try_write(rest) {
                Ok(size) => rest = &rest[size..],
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    if to.writable().await.is_err() {
                        return;
                    }
                }
                Err(_) => return,
            }
        }
    }
}
