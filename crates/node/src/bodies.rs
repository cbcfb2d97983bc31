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
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant, Sleep};

/// The reason why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    TooLarge,
    /// The node's memory budget for bodies is used up.
    BudgetExhausted,
    Broken,
    /// It arrives too slowly.
    TooSlow,
    /// The command is no longer waiting for it.
    Abandoned,
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

impl std::error::Error for ReadError {}

/// The memory budget of all bodies together, requests and answers.
#[derive(Clone)]
pub struct BodyMemory {
    max_bytes: usize,
    held_bytes: Arc<AtomicUsize>,
    /// Bytes held by the other process of this node.
    peer_held: Arc<AtomicUsize>,
}

/// The buffered bytes of one body, counted against the budget as they are allocated.
struct BufferedBody {
    bytes: Vec<u8>,
    counted_bytes: usize,
    /// The size of the whole body; zero if it is not known.
    expected_bytes: usize,
    memory: BodyMemory,
}

/// A buffer grows by this many bytes at a time.
const GROWTH_BYTES: usize = 16 << 10;

impl AsRef<[u8]> for BufferedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for BufferedBody {
    fn drop(&mut self) {
        self.memory.held_bytes.fetch_sub(self.counted_bytes, Relaxed);
    }
}

impl BufferedBody {
    /// An empty buffer for a body of this size, as far as that is known.
    fn new(expected_bytes: usize, memory: BodyMemory) -> BufferedBody {
        BufferedBody { bytes: Vec::new(), counted_bytes: 0, expected_bytes, memory }
    }

    /// Appends data. Memory is allocated only as data comes: what is set aside for data that does not come is not free
    /// for other bodies.
    fn push(&mut self, data: &[u8]) -> Result<(), ReadError> {
        let length = self.bytes.len() + data.len();
        if length > self.counted_bytes {
            self.grow(length)?;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    fn grow(&mut self, length: usize) -> Result<(), ReadError> {
        let grown_bytes = length.next_multiple_of(GROWTH_BYTES);
        let needed_bytes =
            if length <= self.expected_bytes { grown_bytes.min(self.expected_bytes) } else { grown_bytes };
        let added_bytes = needed_bytes - self.counted_bytes;
        if added_bytes > self.memory.free_bytes() {
            return Err(ReadError::BudgetExhausted);
        }
        self.memory.held_bytes.fetch_add(added_bytes, Relaxed);
        self.counted_bytes = needed_bytes;
        self.bytes.reserve_exact(needed_bytes - self.bytes.len());
        Ok(())
    }
}

/// The reservation that a streaming body keeps in the budget: it never buffers more than this at a time.
pub struct WindowReservation(BodyMemory, usize);

impl Drop for WindowReservation {
    fn drop(&mut self) {
        self.0.held_bytes.fetch_sub(self.1, Relaxed);
    }
}

/// How a body is read.
#[derive(Clone, Copy)]
pub struct ReadLimits {
    /// Bodies up to this many bytes are buffered completely.
    pub window_bytes: usize,
    /// The maximum size in bytes; larger bodies are rejected.
    pub max_bytes: usize,
    /// How long the sender may send nothing, and the minimum rate in bytes per second: until the window is
    /// full, each received byte extends the deadline accordingly.
    pub max_silence: Duration,
    pub min_bytes_per_s: usize,
    /// If the body is not complete this long after its first bytes, it is streamed from then on. With `None`
    /// it is always buffered up to the window.
    pub stream_after: Option<Duration>,
}

/// The result of reading a body.
pub enum ReadBody {
    Buffered(Bytes),
    /// The body is larger than the window, or is streamed early.
    Streaming(BodyStream),
}

impl BodyMemory {
    /// A budget of this many bytes, shared by all clones.
    pub fn new(max_bytes: usize) -> BodyMemory {
        BodyMemory { max_bytes, held_bytes: Arc::default(), peer_held: Arc::default() }
    }

    /// The bytes that are free in the budget.
    pub fn free_bytes(&self) -> usize {
        self.max_bytes.saturating_sub(self.held_bytes.load(Relaxed) + self.peer_held.load(Relaxed))
    }

    /// The bytes that this process holds or has reserved.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.load(Relaxed)
    }

    /// Sets the bytes that the other process of this node holds; they reduce this process's budget.
    pub fn set_peer_bytes(&self, bytes: usize) {
        self.peer_held.store(bytes, Relaxed);
    }

    /// Reserves a part of the budget, if it is free.
    pub fn reserve_window(&self, bytes: usize) -> Result<WindowReservation, ReadError> {
        if bytes > self.free_bytes() {
            return Err(ReadError::BudgetExhausted);
        }
        self.held_bytes.fetch_add(bytes, Relaxed);
        Ok(WindowReservation(self.clone(), bytes))
    }

    /// Reads a body, or the beginning of one that exceeds the window. A body whose announced length exceeds
    /// the maximum is rejected at once.
    ///
    /// With `stream_by`, a body of unknown length of which some has come by this time is streamed from then on: it may be a
    /// long one.
    pub async fn read(
        &self,
        mut body: Incoming,
        limits: ReadLimits,
        stream_by: Option<Instant>,
        abandoned: impl Future<Output = ()>,
    ) -> Result<ReadBody, ReadError> {
        let mut abandoned = pin!(abandoned);
        let announced_bytes = body.size_hint().lower();
        let has_known_length = body.size_hint().exact().is_some();
        let stream_by = stream_by.filter(|_| !has_known_length);
        let exceeds_window = announced_bytes > limits.window_bytes as u64;
        if announced_bytes > limits.max_bytes as u64 {
            return Err(ReadError::TooLarge);
        }
        if !exceeds_window && announced_bytes > self.free_bytes() as u64 {
            return Err(ReadError::BudgetExhausted);
        }
        let known_bytes = if exceeds_window { 0 } else { announced_bytes as usize };
        let mut buffer = BufferedBody::new(known_bytes, self.clone());
        let started = Instant::now();
        let mut pauses = Pauses::new(started);
        let mut stream_at: Option<Instant> = None;
        loop {
            let earned_time =
                Duration::from_secs_f64(buffer.bytes.len() as f64 / limits.min_bytes_per_s as f64);
            let deadline = started + limits.max_silence + earned_time;
            let frame =
                timeout_at(stream_at.map_or(deadline, |stream_at| stream_at.min(deadline)), body.frame());
            let frame = tokio::select! {
                biased;
                frame = frame => frame,
                () = &mut abandoned => {
                    drain_remainder(body);
                    return Err(ReadError::Abandoned);
                }
            };
            let frame = match frame {
                Ok(Some(frame)) => frame.map_err(|_| ReadError::Broken)?,
                Ok(None) => return Ok(ReadBody::Buffered(Bytes::from_owner(buffer))),
                Err(_) if stream_at.is_some_and(|stream_at| stream_at <= Instant::now()) => break,
                Err(_) => return Err(ReadError::TooSlow),
            };
            let Ok(data) = frame.into_data() else { continue };
            if let Err(reason) = buffer.push(&data) {
                drain_remainder(body);
                return Err(reason);
            }
            if buffer.bytes.len() > limits.window_bytes || exceeds_window && limits.stream_after.is_some() {
                break;
            }
            pauses.record_data();
            let early_time = limits.stream_after.map(|delay| Instant::now() + delay);
            stream_at = stream_at.or(early_time.into_iter().chain(stream_by).min());
        }
        let reservation = self.reserve_window(limits.window_bytes)?;
        let received_bytes = buffer.bytes.len();
        Ok(ReadBody::Streaming(BodyStream {
            buffered: Some(Bytes::from_owner(buffer)),
            remainder: Some(body),
            drain_on_drop: false,
            received_bytes,
            max_bytes: limits.max_bytes,
            max_silence: limits.max_silence,
            silence_timer: None,
            has_known_length,
            is_long: exceeds_window || received_bytes > limits.window_bytes,
            window_bytes: limits.window_bytes,
            completion_timer: None,
            pauses,
            failure: None,
            reservation,
            on_end: None,
            kept_alive: None,
            is_cut: Rc::default(),
        }))
    }
}

/// How a streaming body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    Complete,
    /// The sender broke it off, or it was too large.
    Broken,
}

/// A body that is passed on while it arrives. A slow reader slows down the sender (backpressure).
pub struct BodyStream {
    buffered: Option<Bytes>,
    /// `None` once the body has ended.
    remainder: Option<Incoming>,
    /// The sender is a client that is owed an answer. It reads the answer only if the body is drained rather
    /// than cut off.
    drain_on_drop: bool,
    received_bytes: usize,
    max_bytes: usize,
    max_silence: Duration,
    /// The timeout for the next data from the sender, started when the reader had to wait for it.
    silence_timer: Option<Pin<Box<Sleep>>>,
    has_known_length: bool,
    /// It is larger than the window, so that its first bytes are timed and not its last.
    is_long: bool,
    window_bytes: usize,
    /// When a body that is not long must have come to its end.
    completion_timer: Option<Box<CompletionTimer>>,
    pauses: Pauses,
    /// The error with which the body has ended, until its reader has it.
    failure: Option<ReadError>,
    #[allow(dead_code, reason = "held for its reservation in the memory budget")]
    reservation: WindowReservation,
    /// Called once with how the body ended.
    on_end: Option<Box<dyn FnOnce(StreamEnd)>>,
    /// Kept alive until the body has ended.
    kept_alive: Option<Rc<dyn Any>>,
    /// The connection that carries it was dropped: an end of the body that is seen afterwards is not its
    /// real end.
    is_cut: Rc<Cell<bool>>,
}

/// Ends a body whose end comes too late for its receiver.
struct CompletionTimer {
    timer: Pin<Box<Sleep>>,
    deadline: Instant,
    /// How long after the deadline, or after later data of a body of unknown length, the end may still come.
    allowance: Duration,
}

impl CompletionTimer {
    /// More of a body of unknown length has come, which may turn out to be a long one: it may pause as it did before.
    fn extend(&mut self, pauses: &Pauses) {
        let next_pause = self.allowance.max(pauses.longest_to_expect());
        let end_at = (self.deadline + self.allowance).max(pauses.last_data_at + next_pause);
        self.timer.as_mut().reset(end_at);
    }
}

/// A sender that pauses for longer than this is not waited for, however slow it was before.
const MAX_EXPECTED_PAUSE: Duration = Duration::from_secs(2);

/// The pauses of a body's sender.
struct Pauses {
    last_data_at: Instant,
    longest: Duration,
}

impl Pauses {
    fn new(started_at: Instant) -> Pauses {
        Pauses { last_data_at: started_at, longest: Duration::ZERO }
    }

    fn record_data(&mut self) {
        let now = Instant::now();
        self.longest = self.longest.max(now - self.last_data_at);
        self.last_data_at = now;
    }

    /// How long the sender may pause if it goes on as before.
    fn longest_to_expect(&self) -> Duration {
        (2 * self.longest).min(MAX_EXPECTED_PAUSE)
    }
}

/// Held by the task that reads from the connection. When it is dropped with the connection, it marks the
/// body as cut off.
pub struct CutOnDrop(pub Rc<Cell<bool>>);

impl Drop for CutOnDrop {
    fn drop(&mut self) {
        self.0.set(true);
    }
}

impl BodyStream {
    /// Sets the callback that is called once when the body has ended.
    pub fn on_end(&mut self, callback: impl FnOnce(StreamEnd) + 'static) {
        self.on_end = Some(Box::new(callback));
    }

    /// Keeps a value alive until the body has ended.
    pub fn keep_until_end(&mut self, value: Rc<dyn Any>) {
        self.kept_alive = Some(value);
    }

    /// Returns a guard that must be dropped together with the connection that carries the body.
    pub fn cut_guard(&self) -> CutOnDrop {
        CutOnDrop(self.is_cut.clone())
    }

    /// Sets how long the sender may send nothing, and whether the sender is a client.
    pub fn set_timeout(&mut self, max_silence: Duration, sender_is_client: bool) {
        (self.max_silence, self.drain_on_drop) = (max_silence, sender_is_client);
    }

    /// Sets when a body that is not larger than the window must be complete, and how much later than that its
    /// end may still come. A body of unknown length that keeps coming may be a larger one.
    pub fn set_deadline(&mut self, deadline: Instant, allowance: Duration) {
        if !self.is_long {
            let timer = Box::pin(sleep_until(deadline + allowance));
            let mut completion = CompletionTimer { timer, deadline, allowance };
            if !self.has_known_length {
                completion.extend(&self.pauses);
            }
            self.completion_timer = Some(Box::new(completion));
        }
    }

    /// Counts data that has come, which may show that the body is a long one.
    fn count_data(&mut self, bytes: usize) {
        self.received_bytes += bytes;
        self.pauses.record_data();
        self.is_long |= self.received_bytes > self.window_bytes;
        if self.is_long {
            self.completion_timer = None;
        } else if let Some(timer) = self.completion_timer.as_mut().filter(|_| !self.has_known_length) {
            timer.extend(&self.pauses);
        }
    }

    /// Whether the body's end comes too late.
    fn is_overdue(&mut self, cx: &mut Context<'_>) -> bool {
        self.completion_timer.as_mut().is_some_and(|completion| completion.timer.as_mut().poll(cx).is_ready())
    }

    /// Ends the body as broken. Its reader learns that at the next poll: at an error it drops what it has not sent yet,
    /// which may be all that its own peer would have seen.
    fn fail<T>(&mut self, error: ReadError, cx: &mut Context<'_>) -> Poll<T> {
        self.finish(StreamEnd::Broken);
        self.failure = Some(error);
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    fn finish(&mut self, end: StreamEnd) {
        self.remainder = None;
        if let Some(on_end) = self.on_end.take() {
            on_end(end);
        }
    }
}

impl Drop for BodyStream {
    fn drop(&mut self) {
        if let Some(remainder) = self.remainder.take().filter(|_| self.drain_on_drop) {
            drain_remainder(remainder);
        }
    }
}

/// How long a body is drained after its command was answered; a well-behaved client needs this long for a
/// few hundred kB.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads and discards the rest of a body. If the connection were closed with unread data, the kernel would
/// reset it and the client would lose the answer.
fn drain_remainder(mut body: Incoming) {
    let remainder = async move { while let Some(Ok(_)) = body.frame().await {} };
    drop(tokio::task::spawn_local(timeout(DRAIN_TIMEOUT, remainder)));
}

impl Body for BodyStream {
    type Data = Bytes;
    type Error = ReadError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ReadError>>> {
        if let Some(buffered) = self.buffered.take() {
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        if let Some(error) = self.failure.take() {
            return Poll::Ready(Some(Err(error)));
        }
        loop {
            let Some(remainder) = &mut self.remainder else { return Poll::Ready(None) };
            let Poll::Ready(frame) = Pin::new(remainder).poll_frame(cx) else {
                let max_silence = self.max_silence;
                let silence_timer = self.silence_timer.get_or_insert_with(|| Box::pin(sleep(max_silence)));
                if silence_timer.as_mut().poll(cx).is_pending() && !self.is_overdue(cx) {
                    return Poll::Pending;
                }
                return self.fail(ReadError::TooSlow, cx);
            };
            self.silence_timer = None;
            let data = match frame {
                None if self.is_cut.get() => {
                    return self.fail(ReadError::Broken, cx);
                }
                None => {
                    self.finish(StreamEnd::Complete);
                    return Poll::Ready(None);
                }
                Some(Err(_)) => {
                    return self.fail(ReadError::Broken, cx);
                }
                Some(Ok(frame)) => frame.into_data(),
            };
            // Trailers apply only to the connection on which they arrived.
            let Ok(data) = data else { continue };
            self.count_data(data.len());
            if self.received_bytes > self.max_bytes {
                return self.fail(ReadError::TooLarge, cx);
            }
            if self.remainder.as_ref().is_some_and(Body::is_end_stream) {
                self.finish(StreamEnd::Complete);
            }
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
    }

    fn size_hint(&self) -> SizeHint {
        let buffered = self.buffered.as_ref().map_or(0, Bytes::len) as u64;
        match self.remainder.as_ref().map_or(Some(0), |remainder| remainder.size_hint().exact()) {
            Some(remainder) => SizeHint::with_exact(buffered + remainder),
            None => SizeHint::default(),
        }
    }
}

/// An outgoing body, to a backend or to a client.
pub enum OutgoingBody {
    Buffered(Full<Bytes>),
    Streaming(BodyStream),
}

impl From<Bytes> for OutgoingBody {
    fn from(bytes: Bytes) -> OutgoingBody {
        OutgoingBody::Buffered(Full::new(bytes))
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = ReadError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ReadError>>> {
        match self.get_mut() {
            OutgoingBody::Buffered(buffered) => {
                Pin::new(buffered).poll_frame(cx).map_err(|never| match never {})
            }
            OutgoingBody::Streaming(stream) => Pin::new(stream).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, OutgoingBody::Buffered(buffered) if buffered.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            OutgoingBody::Buffered(buffered) => buffered.size_hint(),
            OutgoingBody::Streaming(stream) => stream.size_hint(),
        }
    }
}
