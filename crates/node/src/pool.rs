//! Connections to backends: the newest idle one first, a new one where there is none, and no more of them
//! than the budget allows.

use crate::limits::Limits;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{timeout, Instant};
use yarrowfront::ids::BackendId;

pub type Sender = SendRequest<Full<Bytes>>;

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
    pub sender: Sender,
    /// It was opened for this use.
    pub fresh: bool,
    address: SocketAddr,
    _task: TaskEnd,
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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoLease {
    /// The budget is used up, with nothing idle in it.
    Full,
    /// Refused, reset or not up in time.
    Unreachable,
}

pub struct Pool {
    limits: Rc<Limits>,
    open: Rc<Cell<usize>>,
    idle: RefCell<HashMap<BackendId, Vec<Idle>>>,
}

impl Pool {
    pub fn new(limits: Rc<Limits>) -> Pool {
        Pool { limits, open: Rc::new(Cell::new(0)), idle: RefCell::new(HashMap::new()) }
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
        while let Some(Idle { mut lease, since }) = there.pop() {
            let young = since.elapsed() < self.limits.backend_idle;
            if young && lease.address == address && !lease.sender.is_closed() {
                lease.fresh = false;
                return Some(lease);
            }
        }
        None
    }

    pub async fn dial(&self, address: SocketAddr) -> Result<Lease, NoLease> {
        if self.open.get() >= self.limits.backend_sockets && !self.close_oldest() {
            return Err(NoLease::Full);
        }
        let open = Open::new(&self.open);
        let up = async {
            let stream = TcpStream::connect(address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            let mut builder = http1::Builder::new();
            builder.max_buf_size(self.limits.head_bytes);
            builder.handshake::<_, Full<Bytes>>(TokioIo::new(stream)).await.ok()
        };
        let (sender, connection) =
            timeout(self.limits.dial, up).await.ok().flatten().ok_or(NoLease::Unreachable)?;
        let task = tokio::task::spawn_local(async move {
            // What breaks here is told to whoever holds the sender.
            let _ = connection.await;
            drop(open);
        });
        Ok(Lease { sender, fresh: true, address, _task: TaskEnd(task.abort_handle()) })
    }

    /// A connection whose last answer has been read whole.
    pub fn give_back(&self, backend: BackendId, lease: Lease) {
        if !lease.sender.is_closed() {
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
            there.retain(|i| {
                i.since.elapsed() < self.limits.backend_idle
                    && !i.lease.sender.is_closed()
                    && at == Some(i.lease.address)
            });
            !there.is_empty()
        });
    }

    fn close_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.iter_mut().filter(|(_, there)| !there.is_empty()).min_by_key(|(_, t)| t[0].since);
        oldest.map(|(_, there)| there.remove(0)).is_some()
    }
}
