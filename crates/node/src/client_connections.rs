//! The open connections from clients, and which requests and commands are in progress on each of them.

use crate::limits::Limits;
use crate::request_arrival::RequestArrival;
use slab::Slab;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::Waker;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Why the node closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// It has been idle, or in the middle of a head, for too long.
    Idle,
    /// Its place is needed for another connection.
    MakesRoom,
    /// Operators have the clients drained.
    Draining,
    Stopping,
}

/// A connection from a client.
pub struct ClientConnection {
    clients: Rc<ClientConnections>,
    /// Commands in flight on this connection.
    pub commands: Cell<usize>,
    /// The number of request heads that hyper has delivered, and the number of the first head that stated
    /// two body lengths.
    heads_delivered: Cell<usize>,
    pub conflicting_head: Cell<Option<usize>>,
    /// The number of requests that hyper has delivered and that are not answered yet, and whether part of a
    /// further request was received.
    unanswered_requests: Cell<usize>,
    pub has_partial_request: Cell<bool>,
    /// A complete command has been received on it.
    had_command: Cell<bool>,
    idle_since: Cell<Instant>,
    pub accepted_at: Instant,
    /// The arrival of the request that is being received.
    pub arrival: Rc<RequestArrival>,
    /// Notifies the connection's task to check its state again: what follows the current request, and
    /// whether it can still detect the client's close.
    pub recheck: Notify,
    /// Close the connection once the commands in flight are answered; and why.
    pub close_requested: Cell<bool>,
    close_reason: Cell<Option<CloseReason>>,
    /// Data from the client may be waiting unread, which hides the client's close behind it; and whether
    /// that close was detected nevertheless.
    may_have_unread: Cell<bool>,
    pub close_detected: Cell<bool>,
    /// The waker of the task that reads from it, woken when the data held back behind a command may be
    /// delivered.
    read_waker: Cell<Option<Waker>>,
    /// Since when the client has accepted no data although some is waiting to be written.
    write_stalled_since: Cell<Option<Instant>>,
    /// Close the connection even in the middle of a head that makes no progress.
    pub is_evicted: Cell<bool>,
    /// The connection is shut down and waits for its client to close it too; and the notification that ends
    /// this wait.
    is_lingering: Cell<bool>,
    linger_ended: Notify,
}

/// All connections from clients.
#[derive(Default)]
pub struct ClientConnections {
    pub open: RefCell<Slab<Rc<ClientConnection>>>,
    /// Commands in flight on all connections.
    pub commands: Cell<usize>,
    /// The number of connections that have received a command.
    pub connections_with_command: Cell<usize>,
    /// Notified when a connection has ended.
    pub connection_closed: Notify,
}

/// Keeps a command counted as in flight while it exists.
pub struct CommandGuard(Rc<ClientConnection>);

/// Keeps a request counted as unanswered while it exists.
pub struct RequestGuard(Rc<ClientConnection>);

impl ClientConnections {
    /// Whether an answer is owed on any connection (see `ClientConnection::owes_answer`).
    pub fn owes_answer(&self, max_stall: Duration) -> bool {
        self.open.borrow().iter().any(|(_, client)| client.owes_answer(max_stall))
    }
}

impl ClientConnection {
    /// A connection that was just accepted.
    pub fn new(clients: Rc<ClientConnections>, arrival: RequestArrival) -> ClientConnection {
        let (recheck, conflicting_head, close_requested) = (Notify::new(), Cell::default(), Cell::default());
        let (
            commands,
            heads_delivered,
            unanswered_requests,
            had_command,
            is_evicted,
            has_partial_request,
            write_stalled_since,
            may_have_unread,
            close_detected,
        ) = Default::default();
        ClientConnection {
            clients,
            commands,
            heads_delivered,
            conflicting_head,
            unanswered_requests,
            has_partial_request,
            had_command,
            idle_since: Cell::new(Instant::now()),
            accepted_at: Instant::now(),
            arrival: Rc::new(arrival),
            recheck,
            close_requested,
            close_reason: Cell::default(),
            may_have_unread,
            close_detected,
            read_waker: Cell::default(),
            write_stalled_since,
            is_evicted,
            is_lingering: Cell::new(false),
            linger_ended: Notify::new(),
        }
    }

    /// Records that hyper has delivered a head. Returns false if it stated two body lengths, so that the end
    /// of its body is ambiguous.
    pub fn record_head(&self) -> bool {
        self.heads_delivered.set(self.heads_delivered.get() + 1);
        self.idle_since.set(Instant::now());
        self.conflicting_head.get() != Some(self.heads_delivered.get())
    }

    /// When the connection will have been idle, or stuck in the middle of a head, for too long.
    pub fn idle_deadline(&self, limits: &Limits) -> Instant {
        match self.had_command.get() {
            true => self.idle_since.get() + limits.client_idle_timeout,
            false => self.idle_since.get() + limits.first_head_timeout,
        }
    }

    /// Closes the connection once the commands in flight are answered.
    pub fn request_close(&self, reason: CloseReason) {
        self.close_reason.set(self.close_reason.get().or(Some(reason)));
        self.close_requested.set(true);
        self.recheck.notify_one();
    }

    /// Closes the connection even in the middle of a head, or while it waits for its client to close it.
    pub fn evict(&self, reason: CloseReason) {
        if self.is_lingering.get() {
            self.linger_ended.notify_one();
            return;
        }
        self.is_evicted.set(true);
        self.request_close(reason);
    }

    /// Why the node closes the connection; `None` if it does not.
    pub fn close_reason(&self) -> Option<CloseReason> {
        self.close_reason.get()
    }

    /// Whether no request was received on it, and not even a part of one.
    pub fn is_unused(&self) -> bool {
        self.heads_delivered.get() == 0 && !self.has_partial_request.get()
    }

    /// Marks the connection as shut down and waits until its place is needed.
    pub async fn wait_while_lingering(&self) {
        self.is_lingering.set(true);
        self.idle_since.set(Instant::now());
        self.linger_ended.notified().await;
    }

    /// Counts a request as unanswered for as long as the returned guard exists.
    pub fn begin_request(self: &Rc<ClientConnection>) -> RequestGuard {
        self.unanswered_requests.set(self.unanswered_requests.get() + 1);
        RequestGuard(self.clone())
    }

    /// Given the number of heads that were read, whether the last one is not answered yet: hyper has still
    /// to deliver it, its answer is not ready, or the answer is still streaming.
    pub fn has_unanswered_request(&self, heads_read: usize) -> bool {
        self.heads_delivered.get() < heads_read
            || self.unanswered_requests.get() > 0
            || self.commands.get() > 0
    }

    /// Wakes this reader once the command in flight is answered: hyper assumes that a reader that returned
    /// no data will wake it.
    pub fn wake_when_answered(&self, waker: &Waker) {
        self.read_waker.set(Some(waker.clone()));
    }

    fn wake_reader(&self) {
        if let Some(waker) = self.read_waker.take() {
            waker.wake();
        }
    }

    /// Records whether unread data may be waiting from now on.
    pub fn set_may_have_unread(&self, may: bool) {
        self.may_have_unread.set(may);
    }

    /// A command is in flight, and the client's close would not be detected.
    pub fn cannot_detect_close(&self) -> bool {
        self.may_have_unread.get() && self.commands.get() > 0
    }

    /// Records whether the client has accepted all data of the latest write.
    pub fn record_write(&self, is_stalled: bool) {
        self.write_stalled_since
            .set(is_stalled.then(|| self.write_stalled_since.get().unwrap_or_else(Instant::now)));
    }

    /// Whether an answer is owed: a command is in flight, or the client still has to read the rest of an
    /// answer and has not been stalled for this long yet.
    pub fn owes_answer(&self, max_stall: Duration) -> bool {
        self.commands.get() > 0
            || self.write_stalled_since.get().is_some_and(|since| since.elapsed() < max_stall)
    }

    /// Part of a request was received, or all of one that is not answered.
    fn has_pending_input(&self) -> bool {
        self.unanswered_requests.get() > 0 || self.has_partial_request.get()
    }

    /// Whether closing the connection now would lose part of a request, or a request that is not answered.
    fn would_lose_request(&self) -> bool {
        !self.is_lingering.get() && self.has_pending_input()
    }

    /// Whether closing the connection now loses nothing that the client has sent.
    pub fn is_idle(&self, min_idle: Duration) -> bool {
        !self.has_pending_input() && self.commands.get() == 0 && self.idle_since.get().elapsed() >= min_idle
    }

    /// Counts a command as in flight for as long as the returned guard exists.
    pub fn begin_command(self: &Rc<ClientConnection>) -> CommandGuard {
        if !self.had_command.replace(true) {
            self.clients.connections_with_command.set(self.clients.connections_with_command.get() + 1);
        }
        self.commands.set(self.commands.get() + 1);
        self.clients.commands.set(self.clients.commands.get() + 1);
        CommandGuard(self.clone())
    }

    /// Whether there are more connections than may be kept open between commands.
    pub fn exceeds_kept_connections(&self, limits: &Limits) -> bool {
        self.clients.connections_with_command.get() > limits.max_kept_client_sockets()
            || self.clients.open.borrow().len() > limits.max_client_sockets()
    }

    /// Whether there are more commands in flight than are allowed.
    pub fn exceeds_command_limit(&self, limits: &Limits) -> bool {
        self.clients.commands.get() > limits.max_client_sockets()
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        if self.had_command.get() {
            self.clients.connections_with_command.set(self.clients.connections_with_command.get() - 1);
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.unanswered_requests.set(self.0.unanswered_requests.get() - 1);
        self.0.wake_reader();
        self.0.idle_since.set(Instant::now());
    }
}

impl Drop for CommandGuard {
    fn drop(&mut self) {
        self.0.commands.set(self.0.commands.get() - 1);
        self.0.wake_reader();
        self.0.clients.commands.set(self.0.clients.commands.get() - 1);
        self.0.idle_since.set(Instant::now());
    }
}

/// Closes the connection that has been idle longest, if there is one. Connections that are shut down already
/// come first, then those on which nothing of a request was received, and among these the ones that never had
/// a command; last those with part of a request, because the rest may be on its way. A connection that was just
/// accepted does not count as idle, because it would be closed before its first command is read.
///
/// While most connections without a command hold no part of a request, one that does is not closed: others
/// will count as idle soon. A crowd of partial requests must not wait for the few others.
pub fn close_idle(clients: &Slab<Rc<ClientConnection>>, min_idle: Duration) {
    let without_command = || {
        let connections = clients.iter().map(|(_, client)| client);
        connections.filter(|client| client.commands.get() == 0 && client.write_stalled_since.get().is_none())
    };
    let partial_requests = without_command().filter(|client| client.would_lose_request()).count();
    let keep_partial_requests = 2 * partial_requests < without_command().count();
    let is_idle = |client: &&Rc<ClientConnection>| client.idle_since.get().elapsed() >= min_idle;
    let may_close = |client: &&Rc<ClientConnection>| !(keep_partial_requests && client.would_lose_request());
    let close_order = |client: &&Rc<ClientConnection>| {
        (
            !client.is_lingering.get(),
            client.has_pending_input(),
            client.had_command.get(),
            client.idle_since.get(),
        )
    };
    let longest_idle = without_command().filter(is_idle).filter(may_close).min_by_key(close_order);
    if let Some(longest_idle) = longest_idle {
        // This resets the idle time, so that the connection is not picked again before it had time to close.
        longest_idle.idle_since.set(Instant::now());
        longest_idle.evict(CloseReason::MakesRoom);
    }
}
