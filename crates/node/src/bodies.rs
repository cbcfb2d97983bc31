//! Bodies of commands and answers: read whole up to a window, past that passed on as they come, and counted for as
//! long as any part of one is held.

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

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    TooLarge,
    /// The node holds as many bytes as it may.
    NoRoom,
    Broken,
    /// It does not get on.
    Late,
    /// Nobody waits for it any more.
    GivenUp,
}

impl fmt::Display for Unread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

impl std::error::Error for Unread {}

/// The bytes that all bodies together may take. Shared by both directions.
#[derive(Clone)]
pub struct Room {
    most: usize,
    held: Arc<AtomicUsize>,
    /// What the other process of this node holds.
    others: Arc<AtomicUsize>,
}

/// One body's bytes and its part of the room.
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

/// A part of the room that a body has for as long as it flows: what it holds of it at a time comes to no more.
pub struct Window(Room, usize);

impl Drop for Window {
    fn drop(&mut self) {
        self.0.held.fetch_sub(self.1, Relaxed);
    }
}

/// How a body is read.
#[derive(Clone, Copy)]
pub struct Reading {
    /// Read whole up to here.
    pub window: usize,
    /// More than this is none.
    pub most: usize,
    /// How long it may be silent, and the bytes a second that give it more time until the window is full.
    pub silent: Duration,
    pub rate: usize,
    /// So long after its first bytes it is passed on as it comes, if it has not come whole by then; none where it
    /// is read up to the window in any case.
    pub early: Option<Duration>,
}

/// What has been read.
pub enum Start {
    Whole(Bytes),
    /// There is more of it than is held.
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

    /// A body, or its start where there is more of it than a window. One that is told to be too large is refused
    /// at once.
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

/// How a body that flows has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Over {
    Whole,
    /// Whoever it comes from broke it off, or it was too large.
    Broken,
}

/// A body that is passed on as it comes: whoever reads it slowly slows whoever writes it.
pub struct Flow {
    first: Option<Bytes>,
    /// Until it has ended.
    rest: Option<Incoming>,
    /// Whoever writes it is owed an answer, and reads it only if not cut off.
    linger: bool,
    passed: usize,
    most: usize,
    silent: Duration,
    /// Since when whoever writes it has been waited for.
    since: Option<Pin<Box<Sleep>>>,
    #[allow(dead_code, reason = "held for the room that it takes")]
    window: Window,
    /// Told how it ended, once.
    over: Option<Box<dyn FnOnce(Over)>>,
    /// What must live until it has ended.
    kept: Option<Rc<dyn Any>>,
    /// The connection that it comes on has been dropped: what then looks like its end is none.
    cut: Rc<Cell<bool>>,
}

/// Whoever reads from a connection holds this; dropped with it, it cuts what was still coming.
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

    /// Keeps something until it has ended.
    pub fn keep(&mut self, kept: Rc<dyn Any>) {
        self.kept = Some(kept);
    }

    /// To be dropped with the connection that it comes on.
    pub fn cut(&self) -> Cut {
        Cut(self.cut.clone())
    }

    /// How long whoever writes it may be silent, and whether it is a client.
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

/// How long a body is read on after its command has been answered: an honest one of a few hundred kB takes as long.
const LINGER: Duration = Duration::from_secs(5);

/// Reads on and drops what comes: a connection that is closed with something unread takes the answer with it.
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
            // Trailers belong to the connection that they came on.
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

/// A body as it goes out, on either side.
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
