//! Connections from clients: accepting and counting them, and closing them when sockets run short or the
//! node stops.

use crate::client_connections::{close_idle, Guest, Guests};
use crate::client_service::Intake;
use crate::log::note;
use crate::node::Node;
use crate::observed_stream::Watched;
use crate::request_framing::Followed;
use crate::transport::Transport;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use std::future::{poll_fn, ready};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::yield_now;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Binds and listens. With `shared`, several processes of the same user may listen on the address
/// (`SO_REUSEPORT`).
pub fn bind(address: SocketAddr, backlog: u32, shared: bool) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // After a restart, old connections of this address may still be in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(shared)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

/// This many accepts may fail in a row before there is a pause. A single failure, such as for a connection
/// that was closed before it was accepted, says nothing about the connections queued behind it.
const FAILURES_BEFORE_PAUSE: u32 = 8;

/// Counts accepts that failed in a row.
#[derive(Default)]
struct Failures {
    in_a_row: u32,
}

impl Failures {
    /// Pauses if the failures persist, as they do when file descriptors run out.
    async fn another(&mut self, pause: Duration) {
        self.in_a_row += 1;
        if self.in_a_row > FAILURES_BEFORE_PAUSE {
            sleep(pause).await;
        }
    }

    fn over(&mut self) {
        self.in_a_row = 0;
    }
}

/// Accepts connections until the node stops and all accepted commands are answered.
pub async fn accept(listener: Rc<TcpListener>, node: Rc<Node>) {
    let guests = Rc::new(Guests::default());
    tokio::task::spawn_local(send_away(guests.clone(), node.clone()));
    let mut over = pin!(node.stop.past(node.limits.accept_on));
    let mut failures = Failures::default();
    loop {
        let held = guests.here.borrow().len();
        let most = node.limits.client_sockets() + node.limits.surplus_sockets;
        let succeeded = node.stop.succeeded();
        if held >= most {
            close_idle(&guests.here.borrow(), node.limits.settle);
        }
        let accepted = tokio::select! {
            // The new process accepts from now on. It has the same listening socket, so it also takes what
            // is in the kernel's queue.
            () = node.stop.succession(!succeeded) => continue,
            accepted = listener.accept(), if held < most && !succeeded => accepted,
            // At the limit, further connections wait in the kernel's queue until one closes. The sleep lets
            // the loop close idle ones, as silent connections must not block accepting for ever.
            () = guests.left.notified(), if held >= most => continue,
            () = sleep(node.limits.settle), if held >= most => continue,
            () = &mut over => break,
        };
        match accepted {
            Ok((stream, _)) => {
                failures.over();
                welcome(stream, &guests, &node);
            }
            Err(error) => {
                note!("accept: {error}");
                failures.another(node.limits.accept_pause).await;
            }
        }
    }
    // For their clients, connections in the kernel's queue are established already, so they are served too.
    let mut idle = pin!(node.stop.past(node.limits.idle_on));
    loop {
        let accepted = tokio::select! {
            accepted = timeout(node.limits.last_look, listener.accept()) => accepted,
            () = &mut idle => break,
            () = node.stop.succession(true) => break,
        };
        match accepted {
            Ok(Ok((stream, _))) => {
                failures.over();
                welcome(stream, &guests, &node);
            }
            // File descriptors may run out for a moment. That is no reason to abandon the queued
            // connections.
            Ok(Err(_)) => failures.another(node.limits.accept_pause).await,
            Err(_) => break,
        }
    }
    drop(listener);
    node.stop.past(node.limits.idle_on).await;
    for (_, guest) in guests.here.borrow().iter() {
        guest.close();
    }
    let gone = async {
        while !guests.here.borrow().is_empty() {
            guests.left.notified().await;
        }
    };
    // The node waits only for commands in flight. Answers that are still streaming continue until the
    // process is killed.
    let owed = async {
        node.stop.past(node.limits.end_by.get()).await;
        // A stalled client is waited for no longer than `body_silent`.
        while guests.owed(node.limits.body_silent) {
            sleep(node.limits.settle).await;
        }
    };
    tokio::select! {
        () = gone => {}
        () = owed => note!("stop: {} connections still open", guests.here.borrow().len()),
    }
}

/// While operators have clients drained, closes each connection as soon as nothing is in progress on it.
async fn send_away(guests: Rc<Guests>, node: Rc<Node>) {
    let settle = node.limits.settle;
    loop {
        node.stop.away_for(node.limits.idle_on).await;
        for (_, guest) in guests.here.borrow().iter().filter(|(_, g)| !g.evicted.get() && g.idle(settle)) {
            guest.evict();
        }
        sleep(settle).await;
    }
}

fn welcome(stream: TcpStream, guests: &Rc<Guests>, node: &Rc<Node>) {
    let stream = Transport::new(stream);
    let limits = &node.limits;
    if guests.here.borrow().len() >= limits.client_sockets() {
        // Closing an idle connection makes room. The surplus sockets cover the time until it is closed.
        close_idle(&guests.here.borrow(), limits.settle);
    } else if guests.known.get() > limits.kept_sockets() {
        // Too many clients keep an idle connection: for each new connection, one that has been idle for a
        // while is closed.
        close_idle(&guests.here.borrow(), limits.first_wait);
    }
    if let Some(counts) = node.desk.counts() {
        counts.connected(node.desk.clock.now());
    }
    let guest = Rc::new(Guest::new(guests.clone()));
    let key = guests.here.borrow_mut().insert(guest.clone());
    limits.sockets.clients.set(guests.here.borrow().len());
    let (guests, node) = (guests.clone(), node.clone());
    tokio::task::spawn_local(async move {
        let mut builder = http1::Builder::new();
        let limits = node.limits.clone();
        builder.max_buf_size(limits.head_bytes);
        let followed = Followed::new(guest.clone(), limits.head_bytes);
        let watched = Watched { stream, watch: followed };
        let service = TowerToHyperService::new(Intake { node: node.clone(), guest: guest.clone() });
        let mut connection = builder.serve_connection(TokioIo::new(watched), service);
        let mut closing = false;
        let ended = loop {
            let due = guest.due(&limits).max(Instant::now() + limits.settle);
            tokio::select! {
                // Input comes first: a command that was already read is answered before the connection
                // closes.
                biased;
                // When the client closes, the connection ends: the commands in flight are dropped, and the
                // balancer is informed.
                _ = poll_fn(|cx| connection.poll_without_shutdown(cx)) => break true,
                () = ready(()), if closing => {
                    Pin::new(&mut connection).graceful_shutdown();
                    closing = false;
                }
                () = guest.look.notified() => {
                    // The client's close was detected behind data that is not being read at present.
                    if guest.gone.get() {
                        break true;
                    }
                    if guest.close.take() {
                        // Yield once, so that data already in the kernel's buffer is read before the
                        // connection closes.
                        yield_now().await;
                        closing = true;
                    }
                }
                // The loop then checks for the client's close on each turn.
                () = sleep(limits.settle), if guest.blind() => {}
                () = sleep(limits.settle), if guest.evicted.get() => {
                    if !guest.owed(limits.body_silent) {
                        break false;
                    }
                }
                () = sleep_until(due), if !guest.evicted.get() => {
                    if guest.commands.get() == 0 && guest.due(&limits) <= Instant::now() {
                        guest.evict();
                    }
                }
            }
        };
        if ended {
            linger(connection.into_parts().io.into_inner().stream, limits.linger).await;
        }
        guests.here.borrow_mut().remove(key);
        node.limits.sockets.clients.set(guests.here.borrow().len());
        guests.left.notify_one();
    });
}

/// Closes the sending side, then reads until the client closes too or the wait is over. If the connection
/// were closed with unread data, the kernel would reset it and the answer in transit would be lost.
async fn linger(mut stream: Transport, wait: Duration) {
    let reading = async {
        let mut rest = [0; 4096];
        if stream.shutdown().await.is_ok() {
            while stream.read(&mut rest).await.is_ok_and(|n| n > 0) {}
        }
    };
    let _ = timeout(wait, reading).await;
}
