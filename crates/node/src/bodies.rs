//! Bodies of requests and answers. They are buffered up to a window; what is larger is streamed. The memory
//! of all bodies counts against one budget for as long as any part of it is held.

use crate::body_memory::{BodyMemory, BufferedBody};
use crate::body_stream::{drain_remainder, BodyStream};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::fmt;
use std::future::Future;
use std::pin::{pin, Pin};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

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

/// The limits of a request's body while it is read.
#[derive(Clone, Copy)]
pub struct RequestBodyLimits {
    /// Bodies up to this many bytes are buffered completely.
    pub window_bytes: usize,
    /// The maximum size in bytes; larger bodies are rejected.
    pub max_bytes: usize,
    /// How long the sender may send nothing, and the minimum rate in bytes per second: until the window is
    /// full, each received byte extends the deadline accordingly.
    pub max_silence: Duration,
    pub min_bytes_per_s: usize,
}

/// The result of reading a body.
pub enum ReadBody {
    Buffered(Bytes),
    /// The body is passed on while it comes.
    Streaming(BodyStream),
}

impl ReadBody {
    /// A body of which all has come.
    pub fn whole(buffer: BufferedBody) -> ReadBody {
        ReadBody::Buffered(Bytes::from_owner(buffer))
    }
}

impl BodyMemory {
    /// Checks the size that a body announces and returns a buffer for it. A body that may exceed the window needs no
    /// memory in advance.
    pub fn start_buffer(
        &self,
        announced_bytes: u64,
        window_bytes: usize,
        max_bytes: usize,
    ) -> Result<BufferedBody, ReadError> {
        if announced_bytes > max_bytes as u64 {
            return Err(ReadError::TooLarge);
        }
        if announced_bytes > window_bytes as u64 {
            return Ok(BufferedBody::new(0, self.clone()));
        }
        if announced_bytes > self.free_bytes() as u64 {
            return Err(ReadError::BudgetExhausted);
        }
        Ok(BufferedBody::new(announced_bytes as usize, self.clone()))
    }

    /// Reads the body of a request, or the beginning of one that exceeds the window. A body whose announced length exceeds
    /// the maximum is rejected at once.
    pub async fn read_request(
        &self,
        mut body: Incoming,
        limits: RequestBodyLimits,
        abandoned: impl Future<Output = ()>,
    ) -> Result<ReadBody, ReadError> {
        let mut abandoned = pin!(abandoned);
        let announced_bytes = body.size_hint().lower();
        let mut buffer = self.start_buffer(announced_bytes, limits.window_bytes, limits.max_bytes)?;
        let started = Instant::now();
        while buffer.len() <= limits.window_bytes {
            let earned_time = Duration::from_secs_f64(buffer.len() as f64 / limits.min_bytes_per_s as f64);
            let frame = timeout_at(started + limits.max_silence + earned_time, body.frame());
            let frame = tokio::select! {
                biased;
                frame = frame => frame.map_err(|_| ReadError::TooSlow)?,
                () = &mut abandoned => {
                    drain_remainder(body);
                    return Err(ReadError::Abandoned);
                }
            };
            let Some(frame) = frame else { return Ok(ReadBody::whole(buffer)) };
            let Ok(data) = frame.map_err(|_| ReadError::Broken)?.into_data() else { continue };
            if let Err(reason) = buffer.push(&data) {
                drain_remainder(body);
                return Err(reason);
            }
        }
        let reservation = self.reserve_window(limits.window_bytes)?;
        Ok(ReadBody::Streaming(BodyStream::new(buffer, body, reservation, limits.max_bytes)))
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
