//! Connections to backends: the newest idle one first, a new one where there is none, and no more of them
//! than the budget allows.

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

/// Counts a socket for as long as it is open or being opened.
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

/// A connection in use. Dropped, it is closed: that is how a launch is given up.
pub struct Lease {
    sender: SendRequest<Out>,
    /// It was opened for this use.
    fresh: bool,
    address: SocketAddr,
    /// Nothing is out on it.
    idle: Rc<Cell<bool>>,
    _task: TaskEnd,
}

/// Notices on a connection to a backend when something comes that nobody has asked for.
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
            note!("pool: something has come that nobody has asked for: connections rest after an answer");
        }
        Poll::Ready(Ok(()))
    }
}

/// Ends the task that drives a connection, and with it the connection.
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
    /// The budget is used up, with nothing idle in it.
    Full,
    /// Refused, reset or not up in time.
    Unreachable,
}

/// What came of a request on a leased connection.
pub enum Exchange {
    /// The whole answer, or its start.
    Came(Response<Start>),
    /// The backend had closed the pooled connection, and the request was surely never written: take another.
    Stale(Request<Out>),
    /// So had it a new one.
    Unreachable(Request<Out>),
    /// It may have been written whole, and no answer came that is one.
    Broken,
}

pub struct Pool {
    limits: Rc<Limits>,
    room: Room,
    idle: RefCell<HashMap<BackendId, Vec<Idle>>>,
    /// When something last came on an idle connection, as a second answer does.
    twice: Rc<Cell<Option<Instant>>>,
}

impl Pool {
    pub fn new(limits: Rc<Limits>, room: Room) -> Pool {
        Pool { limits, room, idle: RefCell::new(HashMap::new()), twice: Rc::default() }
    }

    /// The newest idle connection there that is still good, or a new one.
    pub async fn lease(&self, backend: BackendId, address: SocketAddr) -> Result<Lease, NoLease> {
        while let Some(mut lease) = self.newest(backend, address) {
            // Ready at once, unless the backend has closed it meanwhile or has yet to read the last command.
            if let Ok(Ok(())) = timeout(self.limits.ready_wait, lease.sender.ready()).await {
                return Ok(lease);
            }
        }
        self.dial(address).await
    }

    fn newest(&self, backend: BackendId, address: SocketAddr) -> Option<Lease> {
        let mut idle = self.idle.borrow_mut();
        let there = idle.get_mut(&backend)?;
        // Where answers come twice, one whose answer has only just come may still bring another, and whatever is sent on
        // it would be finished by that.
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

    /// Whether an idle connection may still be used, if that is where the backend is.
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
            // What breaks here is told to whoever holds the sender.
            let _ = connection.await;
            drop(open);
        });
        Ok(Lease { sender, fresh: true, address, idle, _task: TaskEnd(task.abort_handle()) })
    }

    /// A connection within the time for it. What lacks on this machine, a port or a descriptor, is waited for.
    async fn connect(&self, address: SocketAddr) -> Result<Transport, NoLease> {
        let lacks = Cell::new(false);
        let dial = async {
            loop {
                match Transport::connect(address).await {
                    Ok(stream) => return Ok(stream),
                    Err(error) if is_local(&error) => {
                        note!("pool: no socket for a dial just now: {error}");
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

    /// Sends a request and reads the answer. Once it has come whole the connection is there for the next; one that
    /// flows has it until then.
    pub async fn exchange(
        self: &Rc<Pool>,
        backend: BackendId,
        mut lease: Lease,
        request: Request<Out>,
    ) -> Exchange {
        let response = match lease.sender.try_send_request(request).await {
            Ok(response) => response,
            // Only a request that comes back was surely never written.
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
                // The lease goes with it: nothing more can come of this connection.
                note!("pool: an answer is left out: {why:?}");
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

    /// Keeps a connection for another use.
    pub fn give_back(&self, backend: BackendId, lease: Lease) {
        if !lease.sender.is_closed() {
            lease.idle.set(true);
            let idle = Idle { lease, since: Instant::now() };
            self.idle.borrow_mut().entry(backend).or_default().push(idle);
        }
    }

    /// Closes all idle connections there.
    pub fn close(&self, backend: BackendId) {
        self.idle.borrow_mut().remove(&backend);
    }

    /// Closes those that have stood idle for too long or lead nowhere any more.
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
