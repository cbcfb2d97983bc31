//! Reads the body of a backend's answer until it is known how its client gets it: whole, or while it comes.
//!
//! Of an answer up to the window the last byte is timed: it is buffered, and nothing of it is passed on before it is whole, so
//! that its command can still fail in order. Of a larger one the first bytes are timed: it is passed on while it comes. An
//! answer of unknown length may be either until the window is full.

use crate::bodies::{ReadBody, ReadError};
use crate::body_memory::{BodyMemory, BufferedBody};
use crate::body_stream::BodyStream;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::future::pending;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// The limits of an answer's body while it is read. How long that may take is up to the caller.
#[derive(Clone, Copy)]
pub struct AnswerBodyLimits {
    /// The size up to which the last byte of an answer is timed.
    pub window_bytes: usize,
    /// The maximum size in bytes; larger answers are broken off.
    pub max_bytes: usize,
    /// An answer of unknown length with more bytes than this is taken for one that is larger than the window.
    pub long_from_bytes: usize,
    /// How long after its first bytes an answer of unknown length is passed on that is taken for a long one, and how long
    /// after them any other.
    pub hold_back_long: Duration,
    pub hold_back_short: Duration,
}

impl AnswerBodyLimits {
    /// When an answer of unknown length is passed on that has given this many bytes and no end.
    fn pass_on_at(
        &self,
        first_data_at: Instant,
        received_bytes: usize,
        begin_by: Option<Instant>,
    ) -> Instant {
        if received_bytes <= self.long_from_bytes {
            return first_data_at + self.hold_back_short;
        }
        let pass_on_at = first_data_at + self.hold_back_long;
        begin_by.map_or(pass_on_at, |begin_by| begin_by.min(pass_on_at))
    }
}

impl BodyMemory {
    /// Reads the body of an answer until it is whole or is to be passed on while it comes. One whose announced length
    /// exceeds the maximum is rejected at once. With `begin_by`, a long one, or what seems to be one, is passed on by this
    /// time.
    pub async fn read_answer(
        &self,
        body: Incoming,
        limits: AnswerBodyLimits,
        begin_by: Option<Instant>,
    ) -> Result<ReadBody, ReadError> {
        let announced_bytes = body.size_hint().exact();
        let buffer =
            self.start_buffer(announced_bytes.unwrap_or(0), limits.window_bytes, limits.max_bytes)?;
        match announced_bytes {
            Some(bytes) if bytes > limits.window_bytes as u64 => {
                self.read_long(body, buffer, limits, begin_by).await
            }
            Some(_) => read_whole(body, buffer).await,
            None => self.read_of_unknown_length(body, buffer, limits, begin_by).await,
        }
    }

    /// Reads the first data of an answer that is larger than the window. Its head alone is passed on if none has come in
    /// time.
    async fn read_long(
        &self,
        mut body: Incoming,
        mut buffer: BufferedBody,
        limits: AnswerBodyLimits,
        begin_by: Option<Instant>,
    ) -> Result<ReadBody, ReadError> {
        while buffer.len() == 0 {
            tokio::select! {
                biased;
                is_incomplete = read_frame(&mut body, &mut buffer) => if !is_incomplete? { break },
                () = wait_until(begin_by) => break,
            }
        }
        self.pass_on(body, buffer, limits)
    }

    async fn read_of_unknown_length(
        &self,
        mut body: Incoming,
        mut buffer: BufferedBody,
        limits: AnswerBodyLimits,
        begin_by: Option<Instant>,
    ) -> Result<ReadBody, ReadError> {
        let mut first_data_at = None;
        while buffer.len() <= limits.window_bytes {
            let pass_on_at =
                first_data_at.map(|first_at| limits.pass_on_at(first_at, buffer.len(), begin_by));
            let is_incomplete = tokio::select! {
                biased;
                is_incomplete = read_frame(&mut body, &mut buffer) => is_incomplete?,
                () = wait_until(pass_on_at) => break,
            };
            if !is_incomplete {
                return Ok(ReadBody::whole(buffer));
            }
            first_data_at = first_data_at.or_else(|| (buffer.len() > 0).then(Instant::now));
        }
        self.pass_on(body, buffer, limits)
    }

    fn pass_on(
        &self,
        body: Incoming,
        buffer: BufferedBody,
        limits: AnswerBodyLimits,
    ) -> Result<ReadBody, ReadError> {
        let reservation = self.reserve_window(limits.window_bytes)?;
        let is_long = body.size_hint().exact().is_some() || buffer.len() > limits.long_from_bytes;
        let mut stream = BodyStream::new(buffer, body, reservation, limits.max_bytes);
        if !is_long {
            stream.set_long_from(limits.long_from_bytes);
        }
        Ok(ReadBody::Streaming(stream))
    }
}

async fn read_whole(mut body: Incoming, mut buffer: BufferedBody) -> Result<ReadBody, ReadError> {
    while read_frame(&mut body, &mut buffer).await? {}
    Ok(ReadBody::whole(buffer))
}

/// Reads one frame; false if the body is whole.
async fn read_frame(body: &mut Incoming, buffer: &mut BufferedBody) -> Result<bool, ReadError> {
    let Some(frame) = body.frame().await else { return Ok(false) };
    if let Ok(data) = frame.map_err(|_| ReadError::Broken)?.into_data() {
        buffer.push(&data)?;
    }
    Ok(true)
}

async fn wait_until(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => pending().await,
    }
}
