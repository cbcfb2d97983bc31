//! A body that is passed on while it arrives, in either direction.

use crate::bodies::ReadError;
use crate::body_memory::{BufferedBody, WindowReservation};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{sleep, sleep_until, timeout, Instant, Sleep};

/// How a streaming body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    Complete,
    /// The sender broke it off, or it was too large.
    Broken,
}

/// Why a body that streams ended before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyBreak {
    /// Its sender broke it off.
    SenderBroke,
    /// Its sender has sent nothing for too long.
    SenderSilent,
    /// It is not long, and did not come to its end in its receiver's time.
    OutOfTime,
    TooLarge,
    /// Its receiver went away.
    ReceiverGone,
}

impl BodyBreak {
    /// What the reader of the body is told.
    fn error(self) -> ReadError {
        match self {
            BodyBreak::SenderBroke | BodyBreak::ReceiverGone => ReadError::Broken,
            BodyBreak::SenderSilent | BodyBreak::OutOfTime => ReadError::TooSlow,
            BodyBreak::TooLarge => ReadError::TooLarge,
        }
    }
}

/// What a streaming body belongs to: kept alive until the body has been passed on, and told if it is broken off.
pub trait BodyOwner {
    /// Records that the body was broken off after this many bytes.
    fn record_break(&self, reason: BodyBreak, received_bytes: usize);
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
    /// The number of bytes from which on the body is taken for a long one; `None` if it is one.
    long_from_bytes: Option<usize>,
    /// When a body that is not long must have come to its end.
    completion_timer: Option<Pin<Box<Sleep>>>,
    /// The error with which the body has ended, until its reader has it.
    failure: Option<ReadError>,
    #[allow(dead_code, reason = "held for its reservation in the memory budget")]
    reservation: WindowReservation,
    /// Called once with how the body ended.
    on_end: Option<Box<dyn FnOnce(StreamEnd)>>,
    owner: Option<Rc<dyn BodyOwner>>,
    /// The connection that carries it was dropped: an end of the body that is seen afterwards is not its
    /// real end.
    is_cut: Rc<Cell<bool>>,
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
    /// Passes on what is buffered of a body, and then what comes of it.
    pub fn new(
        buffer: BufferedBody,
        remainder: Incoming,
        reservation: WindowReservation,
        max_bytes: usize,
    ) -> BodyStream {
        BodyStream {
            received_bytes: buffer.len(),
            buffered: (buffer.len() > 0).then(|| Bytes::from_owner(buffer)),
            remainder: Some(remainder),
            drain_on_drop: false,
            max_bytes,
            max_silence: Duration::MAX,
            silence_timer: None,
            long_from_bytes: None,
            completion_timer: None,
            failure: None,
            reservation,
            on_end: None,
            owner: None,
            is_cut: Rc::default(),
        }
    }

    /// The body is not taken for a long one unless it has more bytes than this.
    pub fn set_long_from(&mut self, bytes: usize) {
        self.long_from_bytes = Some(bytes);
    }

    /// Sets the callback that is called once when the body has ended.
    pub fn on_end(&mut self, callback: impl FnOnce(StreamEnd) + 'static) {
        self.on_end = Some(Box::new(callback));
    }

    /// Sets what the body belongs to.
    pub fn set_owner(&mut self, owner: Rc<dyn BodyOwner>) {
        self.owner = Some(owner);
    }

    /// Returns a guard that must be dropped together with the connection that carries the body.
    pub fn cut_guard(&self) -> CutOnDrop {
        CutOnDrop(self.is_cut.clone())
    }

    /// Sets how long the sender may send nothing, and whether the sender is a client.
    pub fn set_timeout(&mut self, max_silence: Duration, sender_is_client: bool) {
        (self.max_silence, self.drain_on_drop) = (max_silence, sender_is_client);
    }

    /// Sets when a body that is not taken for a long one must have come to its end.
    pub fn set_deadline(&mut self, deadline: Instant) {
        self.completion_timer = self.long_from_bytes.map(|_| Box::pin(sleep_until(deadline)));
    }

    /// Counts data that has come, which may show that the body is a long one.
    fn count_data(&mut self, bytes: usize) {
        self.received_bytes += bytes;
        if self.long_from_bytes.is_some_and(|long_from_bytes| self.received_bytes > long_from_bytes) {
            self.completion_timer = None;
        }
    }

    /// Whether the body's end comes too late.
    fn is_overdue(&mut self, cx: &mut Context<'_>) -> bool {
        self.completion_timer.as_mut().is_some_and(|timer| timer.as_mut().poll(cx).is_ready())
    }

    /// Ends the body as broken. Its reader learns that at the next poll: at an error it drops what it has not sent yet,
    /// which may be all that its own peer would have seen.
    fn fail<T>(&mut self, reason: BodyBreak, cx: &mut Context<'_>) -> Poll<T> {
        self.finish(StreamEnd::Broken);
        self.record_break(reason);
        self.failure = Some(reason.error());
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    fn record_break(&self, reason: BodyBreak) {
        if let Some(owner) = &self.owner {
            owner.record_break(reason, self.received_bytes);
        }
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
        let Some(remainder) = self.remainder.take() else { return };
        self.record_break(BodyBreak::ReceiverGone);
        if self.drain_on_drop {
            drain_remainder(remainder);
        }
    }
}

/// How long a body is drained after its command was answered; a well-behaved client needs this long for a
/// few hundred kB.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads and discards the rest of a body. If the connection were closed with unread data, the kernel would
/// reset it and the client would lose the answer.
pub fn drain_remainder(mut body: Incoming) {
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
                if silence_timer.as_mut().poll(cx).is_ready() {
                    return self.fail(BodyBreak::SenderSilent, cx);
                }
                if self.is_overdue(cx) {
                    return self.fail(BodyBreak::OutOfTime, cx);
                }
                return Poll::Pending;
            };
            self.silence_timer = None;
            let data = match frame {
                None if self.is_cut.get() => {
                    return self.fail(BodyBreak::SenderBroke, cx);
                }
                None => {
                    self.finish(StreamEnd::Complete);
                    return Poll::Ready(None);
                }
                Some(Err(_)) => {
                    return self.fail(BodyBreak::SenderBroke, cx);
                }
                Some(Ok(frame)) => frame.into_data(),
            };
            // Trailers apply only to the connection on which they arrived.
            let Ok(data) = data else { continue };
            self.count_data(data.len());
            if self.received_bytes > self.max_bytes {
                return self.fail(BodyBreak::TooLarge, cx);
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
