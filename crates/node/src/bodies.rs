//! Bodies of requests and answers. They are buffered up to a window; what is larger is streamed. The memory
//! of all bodies counts against one budget for as long as any part of it is held.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::any::Any;
use std::cell::Cell;
use std::fmt;
use std::future::Future;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{sleep, timeout, timeout_at, Instant, Sleep};

/// The reason why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    TooLarge,
    /// The node's memory budget for bodies is used up.
    NoRoom,
    Broken,
    /// It arrives too slowly.
    Late,
    /// The command is no longer waiting for it.
    GivenUp,
}

impl fmt::Display for Unread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

impl std::error::Error for Unread {}

/// The memory budget of all bodies together, requests and answers.
#[derive(Clone)]
pub struct Room {
    most: usize,
    held: Arc<AtomicUsize>,
    /// Bytes held by the other process of this node.
    others: Arc<AtomicUsize>,
}

/// The buffered bytes of one body, counted against the budget.
struct Kept {
    bytes: Vec<u8>,
    room: Room,
}

impl AsRef<[u8]> for Kept {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Kept {
    fn drop(&mut self) {
        self.room.held.fetch_sub(self.bytes.len(), Relaxed);
    }
}

impl Kept {
    fn push(&mut self, data: &[u8]) -> Result<(), Unread> {
        if data.len() > self.room.free() {
            return Err(Unread::NoRoom);
        }
        self.room.held.fetch_add(data.len(), Relaxed);
        self.bytes.extend_from_slice(data);
        Ok(())
    }
}

/// The reservation that a streaming body keeps in the budget: it never buffers more than this at a time.
pub struct Window(Room, usize);

impl Drop for Window {
    fn drop(&mut self) {
        self.0.held.fetch_sub(self.1, Relaxed);
    }
}

/// How a body is read.
#[derive(Clone, Copy)]
pub struct Reading {
    /// Bodies up to this many bytes are buffered completely.
    pub window: usize,
    /// The maximum size in bytes; larger bodies are rejected.
    pub most: usize,
    /// How long the sender may send nothing, and the minimum rate in bytes per second: until the window is
    /// full, each received byte extends the deadline accordingly.
    pub silent: Duration,
    pub rate: usize,
    /// If the body is not complete this long after its first bytes, it is streamed from then on. With `None`
    /// it is always buffered up to the window.
    pub early: Option<Duration>,
}

/// The result of reading a body.
pub enum Start {
    Whole(Bytes),
    /// The body is larger than the window, or is streamed early.
    Flows(Flow),
}

impl Room {
    pub fn new(most: usize) -> Room {
        Room { most, held: Arc::default(), others: Arc::default() }
    }

    fn free(&self) -> usize {
        self.most.saturating_sub(self.held.load(Relaxed) + self.others.load(Relaxed))
    }

    pub fn held(&self) -> usize {
        self.held.load(Relaxed)
    }

    pub fn others_hold(&self, bytes: usize) {
        self.others.store(bytes, Relaxed);
    }

    fn window(&self, bytes: usize) -> Result<Window, Unread> {
        if bytes > self.free() {
            return Err(Unread::NoRoom);
        }
        self.held.fetch_add(bytes, Relaxed);
        Ok(Window(self.clone(), bytes))
    }

    /// Reads a body, or the beginning of one that exceeds the window. A body whose announced length exceeds
    /// the maximum is rejected at once.
    pub async fn read(
        &self,
        mut body: Incoming,
        by: Reading,
        given_up: impl Future<Output = ()>,
    ) -> Result<Start, Unread> {
        let mut given_up = pin!(given_up);
        let told = body.size_hint().lower();
        let more = told > by.window as u64;
        if told > by.most as u64 {
            return Err(Unread::TooLarge);
        }
        if !more && told > self.free() as u64 {
            return Err(Unread::NoRoom);
        }
        let mut kept = Kept { bytes: Vec::new(), room: self.clone() };
        if !more {
            kept.bytes.reserve_exact(told as usize);
        }
        let came = Instant::now();
        let mut early: Option<Instant> = None;
        loop {
            let earned = Duration::from_secs_f64(kept.bytes.len() as f64 / by.rate as f64);
            let late = came + by.silent + earned;
            let frame = timeout_at(early.map_or(late, |early| early.min(late)), body.frame());
            let frame = tokio::select! {
                biased;
                frame = frame => frame,
                () = &mut given_up => {
                    linger(body);
                    return Err(Unread::GivenUp);
                }
            };
            let frame = match frame {
                Ok(Some(frame)) => frame.map_err(|_| Unread::Broken)?,
                Ok(None) => return Ok(Start::Whole(Bytes::from_owner(kept))),
                Err(_) if early.is_some_and(|early| early <= Instant::now()) => break,
                Err(_) => return Err(Unread::Late),
            };
            let Ok(data) = frame.into_data() else { continue };
            if let Err(why) = kept.push(&data) {
                linger(body);
                return Err(why);
            }
            if kept.bytes.len() > by.window || more && by.early.is_some() {
                break;
            }
            early = early.or(by.early.map(|early| Instant::now() + early));
        }
        let window = self.window(by.window)?;
        let passed = kept.bytes.len();
        Ok(Start::Flows(Flow {
            first: Some(Bytes::from_owner(kept)),
            rest: Some(body),
            linger: false,
            passed,
            most: by.most,
            silent: by.silent,
            since: None,
            window,
            over: None,
            kept: None,
            cut: Rc::default(),
        }))
    }
}

/// How a streaming body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Over {
    Whole,
    /// The sender broke it off, or it was too large.
    Broken,
}

/// A body that is passed on while it arrives. A slow reader slows down the sender (backpressure).
pub struct Flow {
    first: Option<Bytes>,
    /// `None` once the body has ended.
    rest: Option<Incoming>,
    /// The sender is a client that is owed an answer. It reads the answer only if the body is drained rather
    /// than cut off.
    linger: bool,
    passed: usize,
    most: usize,
    silent: Duration,
    /// The timeout for the next data from the sender, started when the reader had to wait for it.
    since: Option<Pin<Box<Sleep>>>,
    #[allow(dead_code, reason = "held for its reservation in the memory budget")]
    window: Window,
    /// Called once with how the body ended.
    over: Option<Box<dyn FnOnce(Over)>>,
    /// Kept alive until the body has ended.
    kept: Option<Rc<dyn Any>>,
    /// The connection that carries it was dropped: an end of the body that is seen afterwards is not its
    /// real end.
    cut: Rc<Cell<bool>>,
}

/// Held by the task that reads from the connection. When it is dropped with the connection, it marks the
/// body as cut off.
pub struct Cut(pub Rc<Cell<bool>>);

impl Drop for Cut {
    fn drop(&mut self) {
        self.0.set(true);
    }
}

impl Flow {
    pub fn when_over(&mut self, over: impl FnOnce(Over) + 'static) {
        self.over = Some(Box::new(over));
    }

    /// Keeps a value alive until the body has ended.
    pub fn keep(&mut self, kept: Rc<dyn Any>) {
        self.kept = Some(kept);
    }

    /// Returns a guard that must be dropped together with the connection that carries the body.
    pub fn cut(&self) -> Cut {
        Cut(self.cut.clone())
    }

    /// Sets how long the sender may send nothing, and whether the sender is a client.
    pub fn patience(&mut self, silent: Duration, client: bool) {
        (self.silent, self.linger) = (silent, client);
    }

    fn ends(&mut self, over: Over) {
        self.rest = None;
        if let Some(told) = self.over.take() {
            told(over);
        }
    }
}

impl Drop for Flow {
    fn drop(&mut self) {
        if let Some(rest) = self.rest.take().filter(|_| self.linger) {
            linger(rest);
        }
    }
}

/// How long a body is drained after its command was answered; a well-behaved client needs this long for a
/// few hundred kB.
const LINGER: Duration = Duration::from_secs(5);

/// Reads and discards the rest of a body. If the connection were closed with unread data, the kernel would
/// reset it and the client would lose the answer.
fn linger(mut body: Incoming) {
    let rest = async move { while let Some(Ok(_)) = body.frame().await {} };
    drop(tokio::task::spawn_local(timeout(LINGER, rest)));
}

impl Body for Flow {
    type Data = Bytes;
    type Error = Unread;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Unread>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        loop {
            let Some(rest) = &mut self.rest else { return Poll::Ready(None) };
            let Poll::Ready(frame) = Pin::new(rest).poll_frame(cx) else {
                let silent = self.silent;
                let since = self.since.get_or_insert_with(|| Box::pin(sleep(silent)));
                if since.as_mut().poll(cx).is_pending() {
                    return Poll::Pending;
                }
                self.ends(Over::Broken);
                return Poll::Ready(Some(Err(Unread::Late)));
            };
            self.since = None;
            let data = match frame {
                None if self.cut.get() => {
                    self.ends(Over::Broken);
                    return Poll::Ready(Some(Err(Unread::Broken)));
                }
                None => {
                    self.ends(Over::Whole);
                    return Poll::Ready(None);
                }
                Some(Err(_)) => {
                    self.ends(Over::Broken);
                    return Poll::Ready(Some(Err(Unread::Broken)));
                }
                Some(Ok(frame)) => frame.into_data(),
            };
            // Trailers apply only to the connection on which they arrived.
            let Ok(data) = data else { continue };
            self.passed += data.len();
            if self.passed > self.most {
                self.ends(Over::Broken);
                return Poll::Ready(Some(Err(Unread::TooLarge)));
            }
            if self.rest.as_ref().is_some_and(Body::is_end_stream) {
                self.ends(Over::Whole);
            }
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
    }

    fn size_hint(&self) -> SizeHint {
        let first = self.first.as_ref().map_or(0, Bytes::len) as u64;
        match self.rest.as_ref().map_or(Some(0), |rest| rest.size_hint().exact()) {
            Some(rest) => SizeHint::with_exact(first + rest),
            None => SizeHint::default(),
        }
    }
}

/// An outgoing body, to a backend or to a client.
pub enum Out {
    Whole(Full<Bytes>),
    Flows(Flow),
}

impl From<Bytes> for Out {
    fn from(bytes: Bytes) -> Out {
        Out::Whole(Full::new(bytes))
    }
}

impl Body for Out {
    type Data = Bytes;
    type Error = Unread;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Unread>>> {
        match self.get_mut() {
            Out::Whole(whole) => Pin::new(whole).poll_frame(cx).map_err(|never| match never {}),
            Out::Flows(flow) => Pin::new(flow).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Out::Whole(whole) if whole.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Out::Whole(whole) => whole.size_hint(),
            Out::Flows(flow) => flow.size_hint(),
        }
    }
}
