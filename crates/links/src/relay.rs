//! Relays between processes: each ordered pair of processes has its own. They all run on one thread beside the test.

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

/// What happens to the traffic in one direction. The default forwards everything at once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Impairment {
    /// Nothing passes: datagrams are lost, open connections stall, new ones are accepted and stall.
    pub blocked: bool,
    /// TCP only: new connections are refused with a reset, and open ones are reset.
    pub resets_connections: bool,
    /// Share of datagrams that are lost.
    pub loss_percent: u8,
    /// Share of datagrams that are delivered twice.
    pub duplicate_percent: u8,
    /// Share of datagrams that are held reverse until the next one has passed.
    pub reorder_percent: u8,
    /// Delay of every datagram and of every chunk of a stream.
    pub latency: Duration,
    /// Upper bound of a random delay on top of `latency`; for datagrams only.
    pub jitter: Duration,
    /// TCP only: the bandwidth limit; 0 means unlimited.
    pub bytes_per_second: u32,
}

/// The names of the sending and of the receiving process.
type Direction = (String, String);

#[derive(Default)]
struct LinkTable {
    impairments: BTreeMap<Direction, Impairment>,
    /// The number of datagrams and stream chunks that were forwarded.
    forwarded: BTreeMap<Direction, u64>,
}

#[derive(Clone, Default)]
struct Shared(Arc<Mutex<LinkTable>>);

impl Shared {
    fn lock_table(&self) -> MutexGuard<'_, LinkTable> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn impairment(&self, direction: &Direction) -> Impairment {
        self.lock_table().impairments.get(direction).copied().unwrap_or_default()
    }

    fn count_forwarded(&self, direction: &Direction) {
        *self.lock_table().forwarded.entry(direction.clone()).or_default() += 1;
    }
}

enum Socket {
    Udp(std::net::UdpSocket),
    Tcp(std::net::TcpListener),
}

/// All links of a test. Dropping it ends the relay thread and with it all links.
pub struct Links {
    shared: Shared,
    new_links: mpsc::UnboundedSender<(Socket, Direction, SocketAddr, u64)>,
    seed: u64,
}

impl Links {
    /// Starts the relay thread. Random losses and delays are derived from the seed.
    pub fn new(seed: u64) -> Links {
        let (new_links, mut open_requests) =
            mpsc::unbounded_channel::<(Socket, Direction, SocketAddr, u64)>();
        let shared = Shared::default();
        let relay_shared = shared.clone();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let Ok(runtime) = runtime else { return };
            LocalSet::new().block_on(&runtime, async move {
                while let Some((socket, direction, target, seed)) = open_requests.recv().await {
                    let rng = ChaCha8Rng::seed_from_u64(seed);
                    match socket {
                        Socket::Udp(socket) => {
                            drop(spawn_local(relay_udp(socket, relay_shared.clone(), direction, target, rng)))
                        }
                        Socket::Tcp(listener) => {
                            drop(spawn_local(relay_tcp(listener, relay_shared.clone(), direction, target)))
                        }
                    }
                }
            });
        });
        Links { shared, new_links, seed }
    }

    /// Opens a relay for datagrams from one process to another, which receives them at `target`. Returns the address to
    /// which `from` has to send them.
    pub fn open_udp(
        &self,
        from: &str,
        to: &str,
        target: SocketAddr,
        relay_host: IpAddr,
    ) -> io::Result<SocketAddr> {
        let socket = std::net::UdpSocket::bind((relay_host, 0))?;
        let relay_address = socket.local_addr()?;
        self.start_relay(Socket::Udp(socket), from, to, target);
        Ok(relay_address)
    }

    /// Opens a relay for connections from one process to another, which accepts them at `target`. Returns the address to
    /// which `from` has to connect. Bytes are subject to the impairment of their own direction, the connection itself to
    /// that of `from` to `to`.
    pub fn open_tcp(
        &self,
        from: &str,
        to: &str,
        target: SocketAddr,
        relay_host: IpAddr,
    ) -> io::Result<SocketAddr> {
        let listener = std::net::TcpListener::bind((relay_host, 0))?;
        let relay_address = listener.local_addr()?;
        self.start_relay(Socket::Tcp(listener), from, to, target);
        Ok(relay_address)
    }

    fn start_relay(&self, socket: Socket, from: &str, to: &str, target: SocketAddr) {
        let direction = (from.to_owned(), to.to_owned());
        let seed = direction
            .0
            .bytes()
            .chain(direction.1.bytes())
            .fold(self.seed, |seed, byte| seed.wrapping_mul(31).wrapping_add(byte.into()));
        let _ = self.new_links.send((socket, direction, target, seed));
    }

    /// Sets the impairment of one direction from now on.
    pub fn set_impairment(&self, from: &str, to: &str, impairment: Impairment) {
        self.shared.lock_table().impairments.insert((from.to_owned(), to.to_owned()), impairment);
    }

    /// Sets the impairment of both directions from now on.
    pub fn set_impairment_both_ways(&self, one: &str, other: &str, impairment: Impairment) {
        self.set_impairment(one, other, impairment);
        self.set_impairment(other, one, impairment);
    }

    /// Removes all impairments.
    pub fn heal(&self) {
        self.shared.lock_table().impairments.clear();
    }

    /// The number of datagrams or stream chunks that were forwarded from one process to the other.
    pub fn forwarded_count(&self, from: &str, to: &str) -> u64 {
        self.shared.lock_table().forwarded.get(&(from.to_owned(), to.to_owned())).copied().unwrap_or_default()
    }
}

fn happens(rng: &mut ChaCha8Rng, percent: u8) -> bool {
    rng.random_range(0..100) < percent
}

fn draw_delay(rng: &mut ChaCha8Rng, impairment: &Impairment) -> Duration {
    impairment.latency + impairment.jitter.mul_f64(rng.random_range(0.0..1.0))
}

async fn relay_udp(
    socket: std::net::UdpSocket,
    shared: Shared,
    direction: Direction,
    target: SocketAddr,
    mut rng: ChaCha8Rng,
) {
    let socket = socket.set_nonblocking(true).and_then(|()| UdpSocket::from_std(socket));
    let Ok(socket) = socket.map(Rc::new) else { return };
    let mut bytes = vec![0; 65536];
    let mut held_back: Option<Vec<u8>> = None;
    loop {
        let Ok((size, _)) = socket.recv_from(&mut bytes).await else { continue };
        let impairment = shared.impairment(&direction);
        if impairment.blocked || happens(&mut rng, impairment.loss_percent) {
            continue;
        }
        shared.count_forwarded(&direction);
        let datagram = bytes[..size].to_vec();
        if held_back.is_none() && happens(&mut rng, impairment.reorder_percent) {
            held_back = Some(datagram);
            continue;
        }
        let copies = 1 + usize::from(happens(&mut rng, impairment.duplicate_percent));
        let outgoing = std::iter::repeat_n(datagram, copies).chain(held_back.take());
        for datagram in outgoing {
            let delay = draw_delay(&mut rng, &impairment);
            if delay.is_zero() {
                let _ = socket.send_to(&datagram, target).await;
                continue;
            }
            let socket = socket.clone();
            spawn_local(async move {
                sleep(delay).await;
                let _ = socket.send_to(&datagram, target).await;
            });
        }
    }
}

async fn relay_tcp(
    listener: std::net::TcpListener,
    shared: Shared,
    direction: Direction,
    target: SocketAddr,
) {
    let listener = listener.set_nonblocking(true).and_then(|()| TcpListener::from_std(listener));
    let Ok(listener) = listener else { return };
    loop {
        let Ok((client, _)) = listener.accept().await else { continue };
        if shared.impairment(&direction).resets_connections {
            close_with_reset(&client);
            continue;
        }
        let (shared, direction) = (shared.clone(), direction.clone());
        spawn_local(async move {
            while shared.impairment(&direction).blocked {
                sleep(POLL_INTERVAL).await;
            }
            let Ok(server) = TcpStream::connect(target).await else { return close_with_reset(&client) };
            let _ = (client.set_nodelay(true), server.set_nodelay(true));
            let reverse = (direction.1.clone(), direction.0.clone());
            // A reset ends both directions.
            let (ends, reset_shared, reset_direction) =
                (Rc::new((client, server)), shared.clone(), direction.clone());
            let was_reset = async {
                while !reset_shared.impairment(&reset_direction).resets_connections {
                    sleep(POLL_INTERVAL).await;
                }
            };
            tokio::select! {
                () = async { tokio::join!(forward(&ends.0, &ends.1, &shared, &direction), forward(&ends.1, &ends.0, &shared, &reverse)); } => {}
                () = was_reset => {
                    close_with_reset(&ends.0);
                    close_with_reset(&ends.1);
                }
            }
        });
    }
}

/// How often waiting tasks check whether the impairment has changed.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Makes the kernel send a reset instead of an orderly end when the stream is dropped.
fn close_with_reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

/// Forwards bytes in one direction until their end, and then the end itself: the other side has to see when its peer has
/// closed the connection.
async fn forward(from: &TcpStream, to: &TcpStream, shared: &Shared, direction: &Direction) {
    forward_bytes(from, to, shared, direction).await;
    let _ = SockRef::from(to).shutdown(Shutdown::Write);
}

async fn forward_bytes(from: &TcpStream, to: &TcpStream, shared: &Shared, direction: &Direction) {
    let mut bytes = vec![0; 16384];
    let mut next_send_at = Instant::now();
    loop {
        if from.readable().await.is_err() {
            break;
        }
        let impairment = shared.impairment(direction);
        if impairment.blocked {
            sleep(POLL_INTERVAL).await;
            continue;
        }
        let max_read_size = if impairment.bytes_per_second == 0 {
            bytes.len()
        } else {
            (impairment.bytes_per_second as usize / 50).max(1)
        };
        let max_read_size = max_read_size.min(bytes.len());
        let size = match from.try_read(&mut bytes[..max_read_size]) {
            Ok(0) => break,
            Ok(size) => size,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
            Err(_) => break,
        };
        shared.count_forwarded(direction);
        if !impairment.latency.is_zero() {
            sleep(impairment.latency).await;
        }
        if impairment.bytes_per_second > 0 {
            next_send_at = next_send_at.max(Instant::now())
                + Duration::from_secs_f64(size as f64 / f64::from(impairment.bytes_per_second));
            tokio::time::sleep_until(next_send_at).await;
        }
        let mut unsent = &bytes[..size];
        while !unsent.is_empty() {
            match to.try_write(unsent) {
                Ok(size) => unsent = &unsent[size..],
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
