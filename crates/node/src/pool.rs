//! The pool of connections to backends. It uses the most recently used idle connection first, opens a new
//! one if there is none, and never opens more than the socket budget allows.

use crate::bodies::{Out, Over, Room, Start};
use crate::limits::Limits;
use crate::log::note;
use crate::observed_stream::{Watch, Watched};
use crate::transport::{is_local, Transport};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout, Instant};
use yarrowfront::ids::BackendId;

/// Counts a socket while it is open or being opened.
struct Open(Rc<Cell<usize>>);

impl Open {
    fn new(count: &Rc<Cell<usize>>) -> Open {
        count.set(count.get() + 1);
        Open(count.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A connection in use. Dropping it closes the connection, which is how a launch is cancelled.
pub struct Lease {
    sender: SendRequest<Out>,
    /// It was opened for this use and does not come from the pool.
    fresh: bool,
    address: SocketAddr,
    /// No request is outstanding on it.
    idle: Rc<Cell<bool>>,
    _task: TaskEnd,
}

/// Detects data that a backend sends on a connection without an outstanding request.
struct Heard {
    idle: Rc<Cell<bool>>,
    twice: Rc<Cell<Option<Instant>>>,
}

impl Watch for Heard {
    fn read(
        &mut self,
        stream: Pin<&mut Transport>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(stream.poll_read(cx, buf))?;
        if self.idle.get() && buf.filled().len() > before {
            self.twice.set(Some(Instant::now()));
            note!("pool: a backend sent data without a request; connections now rest after each answer");
        }
        Poll::Ready(Ok(()))
    }
}

/// Aborts the task that drives a connection, which closes the connection.
struct TaskEnd(AbortHandle);

impl Drop for TaskEnd {
    fn drop(&mut self) {
        self.0.abort();
    }
}

struct Idle {
    lease: Lease,
    since: Instant,
}

pub enum NoLease {
    /// The socket budget is used up and no idle connection can be closed.
    Full,
    /// The connection was refused, reset or not established in time.
    Unreachable,
}

/// The result of a request on a leased connection.
pub enum Exchange {
    /// The complete answer, or its beginning.
    Came(Response<Start>),
    /// The backend had closed the pooled connection, and the request was certainly not written: retry on
    /// another connection.
    Stale(Request<Out>),
    /// The same on a connection that was newly opened.
    Unreachable(Request<Out>),
    /// The request may have been written completely, and no valid answer came.
    Broken,
}

pub struct Pool {
    limits: Rc<Limits>,
    room: Room,
    idle: RefCell<HashMap<BackendId, Vec<Idle>>>,
    /// When data was last received on an idle connection, as it happens when a backend answers twice.
    twice: Rc<Cell<Option<Instant>>>,
}

impl Pool {
    pub fn new(limits: Rc<Limits>, room: Room) -> Pool {
        Pool { limits, room, idle: RefCell::new(HashMap::new()), twice: Rc::default() }
    }

    /// Returns the most recently used idle connection that is still usable, or opens a new one.
    pub async fn lease(&self, backend: BackendId, address: SocketAddr) -> Result<Lease, NoLease> {
        while let Some(mut lease) = self.newest(backend, address) {
            // This is ready at once unless the backend has closed the connection or has not read all of
            // the previous command yet.
            if let Ok(Ok(())) = timeout(self.limits.ready_wait, lease.sender.ready()).await {
                return Ok(lease);
            }
        }
        self.dial(address).await
    }

    fn newest(&self, backend: BackendId, address: SocketAddr) -> Option<Lease> {
        let mut idle = self.idle.borrow_mut();
        let there = idle.get_mut(&backend)?;
        // If backends have been seen to answer twice, a connection whose answer has only just arrived may
        // deliver a second one, which would be taken for the answer to the next request.
        let twice = self.twice.get().is_some_and(|at| at.elapsed() < self.limits.twice_for);
        let rest = if twice { self.limits.quiet } else { Duration::ZERO };
        let mut rested = there.partition_point(|idle| idle.since.elapsed() >= rest);
        while rested > 0 {
            rested -= 1;
            let mut idle = there.remove(rested);
            if self.good(&idle, Some(address)) {
                idle.lease.fresh = false;
                idle.lease.idle.set(false);
                return Some(idle.lease);
            }
        }
        None
    }

    /// Whether an idle connection may be reused, given the present address of its backend.
    fn good(&self, idle: &Idle, address: Option<SocketAddr>) -> bool {
        idle.since.elapsed() < self.limits.backend_idle.get()
            && address == Some(idle.lease.address)
            && !idle.lease.sender.is_closed()
    }

    async fn dial(&self, address: SocketAddr) -> Result<Lease, NoLease> {
        let count = &self.limits.sockets.backends;
        if count.get() >= self.limits.backend_sockets() && !self.close_oldest() {
            return Err(NoLease::Full);
        }
        let (open, idle) = (Open::new(count), Rc::<Cell<bool>>::default());
        let stream = self.connect(address).await?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(self.limits.head_bytes);
        let heard = Heard { idle: idle.clone(), twice: self.twice.clone() };
        let handshake = builder.handshake::<_, Out>(TokioIo::new(Watched { stream, watch: heard }));
        let (sender, connection) = handshake.await.map_err(|_| NoLease::Unreachable)?;
        let task = tokio::task::spawn_local(async move {
            // An error here is reported through the sender.
            let _ = connection.await;
            drop(open);
        });
        Ok(Lease { sender, fresh: true, address, idle, _task: TaskEnd(task.abort_handle()) })
    }

    /// Connects within the dial timeout. If this machine lacks a port or a file descriptor, it retries until
    /// the timeout.
    async fn connect(&self, address: SocketAddr) -> Result<Transport, NoLease> {
        let lacks = Cell::new(false);
        let dial = async {
            loop {
                match Transport::connect(address).await {
                    Ok(stream) => return Ok(stream),
                    Err(error) if is_local(&error) => {
                        note!("pool: no local socket available to connect: {error}");
                        lacks.set(true);
                        sleep(self.limits.accept_pause).await;
                        lacks.set(false);
                    }
                    Err(_) => return Err(NoLease::Unreachable),
                }
            }
        };
        let unanswered = |_| if lacks.get() { NoLease::Full } else { NoLease::Unreachable };
        timeout(self.limits.dial.get(), dial).await.map_err(unanswered)?
    }

    /// Sends a request and reads the answer. The connection returns to the pool once the answer is complete;
    /// a streaming answer keeps it until then.
    pub async fn exchange(
        self: &Rc<Pool>,
        backend: BackendId,
        mut lease: Lease,
        request: Request<Out>,
    ) -> Exchange {
        let response = match lease.sender.try_send_request(request).await {
            Ok(response) => response,
            // Only a request that hyper hands back was certainly not written.
            Err(mut error) => {
                return match error.take_message() {
                    None => Exchange::Broken,
                    Some(request) if lease.fresh => Exchange::Unreachable(request),
                    Some(request) => Exchange::Stale(request),
                }
            }
        };
        let (head, body) = response.into_parts();
        let start = match self.room.read(body, self.limits.answers, pending()).await {
            Ok(start) => start,
            Err(why) => {
                // The lease is dropped here, which closes the connection: it is in an unknown state.
                note!("pool: an answer could not be read: {why:?}");
                return Exchange::Broken;
            }
        };
        let start = match start {
            Start::Whole(body) => {
                self.give_back(backend, lease);
                Start::Whole(body)
            }
            Start::Flows(mut flow) => {
                let pool = self.clone();
                flow.patience(self.limits.flow_silent, false);
                flow.when_over(move |over| {
                    if over == Over::Whole {
                        pool.give_back(backend, lease);
                    }
                });
                Start::Flows(flow)
            }
        };
        Exchange::Came(Response::from_parts(head, start))
    }

    /// Returns a connection to the pool.
    pub fn give_back(&self, backend: BackendId, lease: Lease) {
        if !lease.sender.is_closed() {
            lease.idle.set(true);
            let idle = Idle { lease, since: Instant::now() };
            self.idle.borrow_mut().entry(backend).or_default().push(idle);
        }
    }

    /// Closes all idle connections to this backend.
    pub fn close(&self, backend: BackendId) {
        self.idle.borrow_mut().remove(&backend);
    }

    /// Closes connections that have been idle for too long or whose backend is gone or has moved.
    pub fn sweep(&self, address: impl Fn(BackendId) -> Option<SocketAddr>) {
        self.idle.borrow_mut().retain(|&backend, there| {
            let at = address(backend);
            there.retain(|idle| self.good(idle, at));
            !there.is_empty()
        });
    }

    fn close_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.iter_mut().filter(|(_, there)| !there.is_empty()).min_by_key(|(_, t)| t[0].since);
        oldest.map(|(_, there)| there.remove(0)).is_some()
    }
}
