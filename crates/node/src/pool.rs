//! The pool of connections to backends. It uses the most recently used idle connection first, opens a new
//! one if there is none, and never opens more than the socket budget allows.

use crate::bodies::{OutgoingBody, ReadBody};
use crate::body_memory::BodyMemory;
use crate::body_stream::StreamEnd;
use crate::limits::Limits;
use crate::log::log;
use crate::observed_stream::{ObservedStream, StreamObserver};
use crate::transport::Transport;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::task::AbortHandle;
use tokio::time::{timeout, Instant};
use yarrowfront::ids::BackendId;

/// Counts a socket while it is open or being opened.
struct SocketGuard(Rc<Cell<usize>>);

impl SocketGuard {
    fn new(open_sockets: &Rc<Cell<usize>>) -> SocketGuard {
        open_sockets.set(open_sockets.get() + 1);
        SocketGuard(open_sockets.clone())
    }
}

impl Drop for SocketGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A connection in use. Dropping it closes the connection, which is how a launch is cancelled.
pub struct Lease {
    sender: SendRequest<OutgoingBody>,
    /// It was opened for this use and does not come from the pool.
    is_new: bool,
    address: SocketAddr,
    /// No request is outstanding on it.
    is_idle: Rc<Cell<bool>>,
    _task: AbortOnDrop,
}

/// Detects data that a backend sends on a connection without an outstanding request.
struct UnsolicitedDataObserver {
    is_idle: Rc<Cell<bool>>,
    unsolicited_at: Rc<Cell<Option<Instant>>>,
}

impl StreamObserver for UnsolicitedDataObserver {
    fn read(
        &mut self,
        stream: Pin<&mut Transport>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(stream.poll_read(cx, buf))?;
        if self.is_idle.get() && buf.filled().len() > before {
            self.unsolicited_at.set(Some(Instant::now()));
            log!("pool: a backend sent data without a request; connections now rest after each answer");
        }
        Poll::Ready(Ok(()))
    }
}

/// Aborts the task that drives a connection, which closes the connection.
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

struct IdleConnection {
    lease: Lease,
    idle_since: Instant,
}

/// Why no connection could be leased.
pub enum LeaseError {
    /// The socket budget is used up and no idle connection can be closed.
    NoSocket,
    /// The connection was refused, reset or not established in time.
    ConnectFailed,
}

/// The result of a request on a leased connection.
pub enum Exchange {
    /// The complete answer, or its beginning.
    Answered(Response<ReadBody>),
    /// The backend had closed the pooled connection, and the request was certainly not written: retry on
    /// another connection.
    Stale(Request<OutgoingBody>),
    /// The connection was newly opened and failed, and the request was certainly not written.
    ConnectFailed(Request<OutgoingBody>),
    /// The request may have been written completely, and no valid answer came.
    ConnectionLost,
}

/// The idle connections to backends, and the means to open new ones.
pub struct Pool {
    limits: Rc<Limits>,
    body_memory: BodyMemory,
    idle: RefCell<HashMap<BackendId, Vec<IdleConnection>>>,
    /// When data was last received on an idle connection, as it happens when a backend answers twice.
    unsolicited_at: Rc<Cell<Option<Instant>>>,
}

impl Pool {
    pub fn new(limits: Rc<Limits>, body_memory: BodyMemory) -> Pool {
        Pool { limits, body_memory, idle: RefCell::new(HashMap::new()), unsolicited_at: Rc::default() }
    }

    /// Returns the most recently used idle connection that is still usable, or opens a new one.
    pub async fn lease(&self, backend: BackendId, address: SocketAddr) -> Result<Lease, LeaseError> {
        while let Some(mut lease) = self.take_newest_idle(backend, address) {
            // This is ready at once unless the backend has closed the connection or has not read all of
            // the previous command yet.
            if let Ok(Ok(())) = timeout(self.limits.ready_timeout, lease.sender.ready()).await {
                return Ok(lease);
            }
        }
        self.open_connection(address).await
    }

    fn take_newest_idle(&self, backend: BackendId, address: SocketAddr) -> Option<Lease> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&backend)?;
        // If backends have been seen to answer twice, a connection whose answer has only just arrived may
        // deliver a second one, which would be taken for the answer to the next request.
        let must_rest = self.unsolicited_at.get().is_some_and(|at| at.elapsed() < self.limits.rest_period);
        let rest_time = if must_rest { self.limits.rest_after_answer } else { Duration::ZERO };
        let mut usable_count = connections.partition_point(|idle| idle.idle_since.elapsed() >= rest_time);
        while usable_count > 0 {
            usable_count -= 1;
            let mut idle = connections.remove(usable_count);
            if self.is_usable(&idle, Some(address)) {
                idle.lease.is_new = false;
                idle.lease.is_idle.set(false);
                return Some(idle.lease);
            }
        }
        None
    }

    /// Whether an idle connection may be reused, given the present address of its backend.
    fn is_usable(&self, idle: &IdleConnection, address: Option<SocketAddr>) -> bool {
        idle.idle_since.elapsed() < self.limits.backend_idle_timeout.get()
            && address == Some(idle.lease.address)
            && !idle.lease.sender.is_closed()
    }

    async fn open_connection(&self, address: SocketAddr) -> Result<Lease, LeaseError> {
        let open_sockets = &self.limits.sockets.backends;
        if open_sockets.get() >= self.limits.max_backend_sockets() && !self.close_oldest_idle() {
            return Err(LeaseError::NoSocket);
        }
        let (socket_guard, is_idle) = (SocketGuard::new(open_sockets), Rc::<Cell<bool>>::default());
        let stream = self.connect(address).await?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(self.limits.max_head_bytes);
        let unsolicited_data_observer =
            UnsolicitedDataObserver { is_idle: is_idle.clone(), unsolicited_at: self.unsolicited_at.clone() };
        let handshake = builder.handshake::<_, OutgoingBody>(TokioIo::new(ObservedStream {
            stream,
            observer: unsolicited_data_observer,
        }));
        let (sender, connection) = handshake.await.map_err(|_| LeaseError::ConnectFailed)?;
        let task = tokio::task::spawn_local(async move {
            // An error here is reported through the sender.
            let _ = connection.await;
            drop(socket_guard);
        });
        Ok(Lease { sender, is_new: true, address, is_idle, _task: AbortOnDrop(task.abort_handle()) })
    }

    /// Connects within the connect timeout. If this machine lacks a port or a file descriptor, it retries until
    /// the timeout.
    async fn connect(&self, address: SocketAddr) -> Result<Transport, LeaseError> {
        let (max_time, retry_pause) = (self.limits.connect_timeout.get(), self.limits.accept_retry_pause);
        let is_waiting_for_socket = Cell::new(false);
        let connected = Transport::connect(address, max_time, retry_pause, &is_waiting_for_socket);
        match timeout(max_time, connected).await {
            Ok(Ok(stream)) => Ok(stream),
            Err(_) if is_waiting_for_socket.get() => Err(LeaseError::NoSocket),
            Ok(Err(_)) | Err(_) => Err(LeaseError::ConnectFailed),
        }
    }

    /// Sends a request and reads the answer. The connection returns to the pool once the answer is complete;
    /// a streaming answer keeps it until then. What seems to be a long answer is streamed by
    /// the time that `begin_by` tells.
    pub async fn exchange(
        self: &Rc<Pool>,
        backend: BackendId,
        mut lease: Lease,
        request: Request<OutgoingBody>,
        begin_by: impl Fn() -> Option<Instant>,
    ) -> Exchange {
        let response = match lease.sender.try_send_request(request).await {
            Ok(response) => response,
            // Only a request that hyper hands back was certainly not written.
            Err(mut error) => {
                return match error.take_message() {
                    None => Exchange::ConnectionLost,
                    Some(request) if lease.is_new => Exchange::ConnectFailed(request),
                    Some(request) => Exchange::Stale(request),
                }
            }
        };
        let (head, body) = response.into_parts();
        let read_body = match self.body_memory.read_answer(body, self.limits.answer_bodies, begin_by()).await
        {
            Ok(read_body) => read_body,
            Err(error) => {
                // The lease is dropped here, which closes the connection: it is in an unknown state.
                log!("pool: an answer could not be read: {error:?}");
                return Exchange::ConnectionLost;
            }
        };
        let read_body = match read_body {
            ReadBody::Buffered(body) => {
                self.give_back(backend, lease);
                ReadBody::Buffered(body)
            }
            ReadBody::Streaming(mut stream) => {
                let pool = self.clone();
                stream.set_timeout(self.limits.backend_silence, false);
                stream.on_end(move |end| {
                    if end == StreamEnd::Complete {
                        pool.give_back(backend, lease);
                    }
                });
                ReadBody::Streaming(stream)
            }
        };
        Exchange::Answered(Response::from_parts(head, read_body))
    }

    /// Returns a connection to the pool.
    pub fn give_back(&self, backend: BackendId, lease: Lease) {
        if !lease.sender.is_closed() {
            lease.is_idle.set(true);
            let idle = IdleConnection { lease, idle_since: Instant::now() };
            self.idle.borrow_mut().entry(backend).or_default().push(idle);
        }
    }

    /// Closes all idle connections to this backend.
    pub fn close(&self, backend: BackendId) {
        self.idle.borrow_mut().remove(&backend);
    }

    /// Closes connections that have been idle for too long or whose backend is gone or has moved.
    pub fn sweep(&self, address: impl Fn(BackendId) -> Option<SocketAddr>) {
        self.idle.borrow_mut().retain(|&backend, connections| {
            let at = address(backend);
            connections.retain(|idle| self.is_usable(idle, at));
            !connections.is_empty()
        });
    }

    fn close_oldest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle
            .iter_mut()
            .filter(|(_, connections)| !connections.is_empty())
            .min_by_key(|(_, connections)| connections[0].idle_since);
        oldest.map(|(_, connections)| connections.remove(0)).is_some()
    }
}
