//! Connections from clients: accepted, counted, and closed when there is no more room or the node stops.

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

/// Listens there; beside a process of the same user that does, if both share it.
pub fn bind(address: SocketAddr, backlog: u32, shared: bool) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // A node that starts again finds its own old connections still winding down.
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(shared)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

/// Accepts may fail so often in a row before there is a pause: one that fails by chance, or for a connection that has gone,
/// says nothing of those behind it.
const FAILURES_BEFORE_PAUSE: u32 = 8;

/// Accepts that failed one after another.
#[derive(Default)]
struct Failures {
    in_a_row: u32,
}

impl Failures {
    /// Waits where the cause lasts, as the want of descriptors does.
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

/// Accepts until the node stops and all that was taken is answered.
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
            // A new process takes them: what waits in the kernel's queue is in its queue too.
            () = node.stop.succession(!succeeded) => continue,
            accepted = listener.accept(), if held < most && !succeeded => accepted,
            // Until one goes the kernel keeps the others. Silent ones must not stop that for ever.
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
    // What the kernel holds has been accepted as far as its client can tell.
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
            // Descriptors may be short just now: nobody is left behind for that.
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
    // Nothing is waited for but commands in hand: answers that flow go on until the process is killed.
    let owed = async {
        node.stop.past(node.limits.end_by.get()).await;
        while guests.owed(node.limits.body_silent) {
            sleep(node.limits.settle).await;
        }
    };
    tokio::select! {
        () = gone => {}
        () = owed => note!("stop: {} connections still open", guests.here.borrow().len()),
    }
}

/// While the operators send clients away, ends the connections on which nothing is open, as they come to be so.
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
        // An idle one makes room; the surplus sockets are there for the time that it takes to go.
        close_idle(&guests.here.borrow(), limits.settle);
    } else if guests.known.get() > limits.kept_sockets() {
        // So many asked once and stayed: those that have been idle for a while go, one for each that comes.
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
                // First what has come on it: a command that is read by now is answered before the end.
                biased;
                // A client that goes ends it: whatever was in hand is dropped and told to the module.
                _ = poll_fn(|cx| connection.poll_without_shutdown(cx)) => break true,
                () = ready(()), if closing => {
                    Pin::new(&mut connection).graceful_shutdown();
                    closing = false;
                }
                () = guest.look.notified() => {
                    // Its client's end lay behind something that nobody reads just now.
                    if guest.gone.get() {
                        break true;
                    }
                    if guest.close.take() {
                        // What the kernel already has for it is seen and read before it ends.
                        yield_now().await;
                        closing = true;
                    }
                }
                // Looked for at each turn.
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

/// Ends a connection from this side, and reads on until its client does so too, or for so long: closed with something
/// unread the kernel resets it, and the answer that is on its way is lost.
async fn linger(mut stream: Transport, wait: Duration) {
    let reading = async {
        let mut rest = [0; 4096];
        if stream.shutdown().await.is_ok() {
            while stream.read(&mut rest).await.is_ok_and(|n| n > 0) {}
        }
    };
    let _ = timeout(wait, reading).await;
}
