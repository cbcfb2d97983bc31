//! Connections from clients: accepting and counting them, and closing them when sockets run short or the
//! node stops.

use crate::client_connections::{close_idle, ClientConnection, ClientConnections, CloseReason};
use crate::client_service::ClientService;
use crate::guard::{self, Violation};
use crate::held_back::HeldBack;
use crate::limits::Limits;
use crate::log::log;
use crate::metrics::{count, Counter};
use crate::node::Node;
use crate::observed_stream::ObservedStream;
use crate::receive_time::time_since_last_data;
use crate::request_arrival::RequestArrival;
use crate::request_framing::{is_closed_by_peer, RequestObserver};
use crate::tasks::spawn_essential;
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
use tokio::task::{spawn_local, yield_now};
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
const MAX_FAILURES_WITHOUT_PAUSE: u32 = 8;

/// Counts accepts that failed in a row.
#[derive(Default)]
struct AcceptFailures {
    consecutive: u32,
}

impl AcceptFailures {
    /// If the failures persist, as they do when file descriptors run out, closes an idle connection and waits
    /// until a connection has closed, or for a pause.
    async fn record(&mut self, clients: &ClientConnections, limits: &Limits) {
        self.consecutive += 1;
        count(Counter::AcceptsFailed);
        if self.consecutive <= MAX_FAILURES_WITHOUT_PAUSE {
            return;
        }
        close_idle(&clients.open.borrow(), limits.crowded_idle_after);
        let _ = timeout(limits.accept_retry_pause, clients.connection_closed.notified()).await;
    }

    fn reset(&mut self) {
        self.consecutive = 0;
    }
}

/// Accepts connections until the node stops and all accepted commands are answered. If accepting fails, the node
/// stops.
pub async fn accept_connections(listener: Rc<TcpListener>, node: Rc<Node>) {
    let clients = Rc::new(ClientConnections::default());
    spawn_essential("draining", &node.lifecycle, close_idle_while_draining(clients.clone(), node.clone()));
    let accepting = spawn_local(accept_until_stopped(listener, clients.clone(), node.clone()));
    if accepting.await.is_err() {
        node.lifecycle.stop_after_failure("accept");
    }
    wait_until_answered(&clients, &node).await;
}

/// Accepts connections until the node stops, and then those that the kernel has already.
async fn accept_until_stopped(listener: Rc<TcpListener>, clients: Rc<ClientConnections>, node: Rc<Node>) {
    let mut stop_accepting = pin!(node.lifecycle.wait_until_stopped_for(node.limits.accept_after_stop));
    let mut failures = AcceptFailures::default();
    loop {
        let open_count = clients.open.borrow().len();
        let max_open = node.limits.max_client_sockets() + node.limits.surplus_client_sockets;
        let has_successor = node.lifecycle.has_successor();
        if open_count >= max_open {
            close_idle(&clients.open.borrow(), node.limits.crowded_idle_after);
        }
        let accepted = tokio::select! {
            // The new process accepts from now on. It has the same listening socket, so it also takes what
            // is in the kernel's queue.
            () = node.lifecycle.wait_for_successor(!has_successor) => continue,
            accepted = listener.accept(), if open_count < max_open && !has_successor => accepted,
            // At the limit, further connections wait in the kernel's queue until the one chosen above has
            // closed. If there was none to choose, the loop looks again soon, as the time of the requests in
            // the queue runs.
            () = clients.connection_closed.notified(), if open_count >= max_open => continue,
            () = sleep(node.limits.crowded_idle_after), if open_count >= max_open => continue,
            () = &mut stop_accepting => break,
        };
        match accepted {
            Ok((stream, _)) => {
                failures.reset();
                start_connection(stream, &clients, &node);
            }
            Err(error) => {
                log!("accept: {error}");
                failures.record(&clients, &node.limits).await;
            }
        }
    }
    // For their clients, connections in the kernel's queue are established already, so they are served too.
    let mut stop_serving_idle = pin!(node.lifecycle.wait_until_stopped_for(node.limits.keep_idle_after_stop));
    loop {
        let accepted = tokio::select! {
            accepted = timeout(node.limits.queue_drain_timeout, listener.accept()) => accepted,
            () = &mut stop_serving_idle => break,
            () = node.lifecycle.wait_for_successor(true) => break,
        };
        match accepted {
            Ok(Ok((stream, _))) => {
                failures.reset();
                start_connection(stream, &clients, &node);
            }
            // File descriptors may run out for a moment. That is no reason to abandon the queued
            // connections.
            Ok(Err(_)) => failures.record(&clients, &node.limits).await,
            Err(_) => break,
        }
    }
}

/// Closes the connections of a node that stops, and waits until no answer is owed or the time is over.
async fn wait_until_answered(clients: &ClientConnections, node: &Node) {
    node.lifecycle.wait_until_stopped_for(node.limits.keep_idle_after_stop).await;
    for (_, client) in clients.open.borrow().iter() {
        client.request_close(CloseReason::Stopping);
    }
    let all_closed = async {
        while !clients.open.borrow().is_empty() {
            clients.connection_closed.notified().await;
        }
    };
    // The node waits only for commands in flight. Answers that are still streaming continue until the
    // process is killed.
    let no_answer_owed = async {
        node.lifecycle.wait_until_stopped_for(node.limits.exit_after_stop.get()).await;
        // A stalled client is waited for no longer than `client_silence`.
        while clients.owes_answer(node.limits.client_silence) {
            sleep(node.limits.idle_after).await;
        }
    };
    tokio::select! {
        () = all_closed => {}
        () = no_answer_owed => log!("stop: {} connections still open", clients.open.borrow().len()),
    }
    let unanswered = node.dispatcher.unanswered_count();
    if unanswered > 0 {
        guard::report(Violation::EndedUnanswered, &format!("{unanswered} commands"));
    }
}

/// While operators have clients drained, closes each connection as soon as nothing is in progress on it.
async fn close_idle_while_draining(clients: Rc<ClientConnections>, node: Rc<Node>) {
    let idle_after = node.limits.idle_after;
    loop {
        node.lifecycle.wait_until_draining_for(node.limits.keep_idle_after_stop).await;
        for (_, client) in clients
            .open
            .borrow()
            .iter()
            .filter(|(_, client)| !client.is_evicted.get() && client.is_idle(idle_after))
        {
            client.evict(CloseReason::Draining);
        }
        sleep(idle_after).await;
    }
}

/// A connection that waited to be accepted for longer than this is logged.
const LOGGED_ACCEPT_DELAY: Duration = Duration::from_millis(200);

/// Logs a connection that waited long in the kernel's queue, and how full the node was when it came.
fn log_accept_delay(waited: Duration, clients: &ClientConnections) {
    if waited <= LOGGED_ACCEPT_DELAY {
        return;
    }
    let open = clients.open.borrow();
    let evicted = open.iter().filter(|(_, client)| client.is_evicted.get()).count();
    log!(
        "accept: a connection waited {} ms; {} open, {evicted} of them closing, {} commands in flight",
        waited.as_millis(),
        open.len(),
        clients.commands.get()
    );
}

/// Counts the end of a connection by its reason.
fn count_close(client: &ClientConnection) {
    count(match client.close_reason() {
        None => Counter::ConnectionsEnded,
        Some(CloseReason::Idle) => Counter::ConnectionsClosedIdle,
        Some(CloseReason::MakesRoom) => Counter::ConnectionsClosedForRoom,
        Some(CloseReason::Draining) => Counter::ConnectionsClosedDraining,
        Some(CloseReason::Stopping) => Counter::ConnectionsClosedStopping,
    });
}

/// A connection's place among the open ones, which ends with the task that serves it, however that ends.
struct ConnectionPlace {
    key: usize,
    client: Rc<ClientConnection>,
    clients: Rc<ClientConnections>,
    node: Rc<Node>,
}

impl ConnectionPlace {
    fn take(
        client: Rc<ClientConnection>,
        clients: &Rc<ClientConnections>,
        node: &Rc<Node>,
    ) -> ConnectionPlace {
        let key = clients.open.borrow_mut().insert(client.clone());
        node.limits.sockets.clients.set(clients.open.borrow().len());
        ConnectionPlace { key, client, clients: clients.clone(), node: node.clone() }
    }
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        count_close(&self.client);
        self.clients.open.borrow_mut().remove(self.key);
        self.node.limits.sockets.clients.set(self.clients.open.borrow().len());
        self.clients.connection_closed.notify_one();
    }
}

fn start_connection(stream: TcpStream, clients: &Rc<ClientConnections>, node: &Rc<Node>) {
    count(Counter::ConnectionsAccepted);
    log_accept_delay(time_since_last_data(&stream), clients);
    let stream = Transport::new(stream);
    let limits = &node.limits;
    if clients.open.borrow().len() >= limits.max_client_sockets() {
        // Closing an idle connection makes room. The surplus sockets cover the time until it is closed.
        close_idle(&clients.open.borrow(), limits.idle_after);
    } else if clients.connections_with_command.get() > limits.max_kept_client_sockets() {
        // Too many clients keep an idle connection: for each new connection, one that has been idle for a
        // while is closed.
        close_idle(&clients.open.borrow(), limits.first_head_timeout);
    }
    if let Some(counts) = node.dispatcher.counts() {
        counts.count_connection(node.dispatcher.clock.now());
    }
    let client = Rc::new(ClientConnection::new(clients.clone(), RequestArrival::new(stream.observe())));
    let place = ConnectionPlace::take(client.clone(), clients, node);
    let node = node.clone();
    spawn_local(async move {
        serve_connection(stream, client, &node).await;
        drop(place);
    });
}

/// Serves the requests on a connection until it has ended.
async fn serve_connection(stream: Transport, client: Rc<ClientConnection>, node: &Rc<Node>) {
    let mut builder = http1::Builder::new();
    let limits = &node.limits;
    builder.max_buf_size(limits.max_head_bytes);
    let held_back = HeldBack::new(node.body_memory.clone(), limits.max_head_bytes);
    let request_observer = RequestObserver::new(client.clone(), held_back);
    let socket = stream.observe();
    let observed = ObservedStream { stream, observer: request_observer };
    let service = TowerToHyperService::new(ClientService { node: node.clone(), client: client.clone() });
    let mut connection = builder.serve_connection(TokioIo::new(observed), service);
    let (mut is_closing, mut has_shut_down) = (false, false);
    let mut is_clients_end = false;
    let is_graceful = loop {
        let idle_deadline = client.idle_deadline(limits).max(Instant::now() + limits.idle_after);
        tokio::select! {
            // Input comes first: a command that was already read is answered before the connection
            // closes.
            biased;
            // When the client closes, the connection ends: the commands in flight are dropped, and the
            // balancer is informed.
            ended = poll_fn(|cx| connection.poll_without_shutdown(cx)) => {
                // An error is the client's: a connection that broke, or data that is no request.
                is_clients_end = ended.is_err();
                break true;
            }
            () = ready(()), if is_closing => {
                Pin::new(&mut connection).graceful_shutdown();
                (is_closing, has_shut_down) = (false, true);
            }
            // Everything that had come was read, and no request is complete. The place is needed now:
            // connections that wait to be accepted may hold complete requests.
            () = ready(()), if has_shut_down
                && client.is_evicted.get()
                && !client.owes_answer(limits.client_silence) => break false,
            () = client.recheck.notified() => {
                // The client's close was detected behind data that is not being read at present.
                if client.close_detected.get() {
                    is_clients_end = true;
                    break true;
                }
                if client.close_requested.take() {
                    // Yield once, so that data already in the kernel's buffer is read before the
                    // connection closes.
                    yield_now().await;
                    is_closing = true;
                }
            }
            // The loop then checks for the client's close on each turn.
            () = sleep(limits.close_check_interval), if client.cannot_detect_close() => {}
            // As above for an evicted connection that still owes an answer.
            () = sleep(limits.idle_after), if client.is_evicted.get() => {}
            () = sleep_until(idle_deadline), if !client.is_evicted.get() => {
                if client.commands.get() == 0 && client.idle_deadline(limits) <= Instant::now() {
                    client.evict(CloseReason::Idle);
                }
            }
        }
    };
    let is_closed_by_client = || socket.upgrade().is_none_or(|socket| is_closed_by_peer(&socket));
    if client.commands.get() > 0 && !is_clients_end && !is_closed_by_client() {
        guard::report(Violation::ClosedUnanswered, &format!("{:?}", client.close_reason()));
    }
    // Nothing was written to an evicted client without a request, so nothing of it can be lost.
    if is_graceful && !(client.is_evicted.get() && client.is_unused()) {
        let stream = connection.into_parts().io.into_inner().stream;
        tokio::select! {
            () = close_gracefully(stream, limits.close_timeout) => {}
            () = client.wait_while_lingering() => {}
        }
    }
}

/// The bytes of unread data that are discarded at once.
const DISCARDED_AT_ONCE: usize = 4096;

/// Closes the sending side, then reads until the client closes too or the wait is over. If the connection
/// were closed with unread data, the kernel would reset it and the answer in transit would be lost.
async fn close_gracefully(mut stream: Transport, max_wait: Duration) {
    let reading = async {
        // On the heap: an array would take its place in the task of every connection from its start.
        let mut discarded = vec![0; DISCARDED_AT_ONCE];
        if stream.shutdown().await.is_ok() {
            while stream.read(&mut discarded).await.is_ok_and(|n| n > 0) {}
        }
    };
    let _ = timeout(max_wait, reading).await;
}
