//! What the stages of a command share about its launches: the request to forward, the control over a launch,
//! and its result.

use crate::bodies::ReadBody;
use crate::body_stream::BodyStream;
use crate::request_arrival::{Overdue, RequestArrival};
use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;
use yarrowfront::command::Outcome;
use yarrowfront::ids::BackendId;

/// The header with the time that the command's client still waits, in milliseconds: in the client's request
/// and in the one that goes to a backend.
pub const TIME_LEFT_HEADER: &str = "x-time-left-ms";

/// The parts of a command's request that go to a backend, unchanged.
pub struct OutboundRequest {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: RequestBody,
}

/// The body of a command.
pub enum RequestBody {
    Buffered(Bytes),
    Streaming(Box<StreamingBody>),
}

/// A body that is passed on while it arrives. It can be sent only once.
pub struct StreamingBody {
    /// It is here until a launch takes it, and again if that launch has sent nothing of it.
    stream: RefCell<Option<BodyStream>>,
    arrival: Rc<RequestArrival>,
    /// How long the client waits after its last byte, and how long it may pause before that.
    client_time: Duration,
    max_silence: Duration,
    /// When the client had written the last byte, once that is passed on.
    ended_at: watch::Sender<Option<Instant>>,
}

impl StreamingBody {
    pub fn new(
        stream: BodyStream,
        arrival: Rc<RequestArrival>,
        client_time: Duration,
        max_silence: Duration,
    ) -> StreamingBody {
        let ended_at = watch::Sender::new(None);
        StreamingBody { stream: RefCell::new(Some(stream)), arrival, client_time, max_silence, ended_at }
    }

    /// The body, unless a launch has it or has sent a part of it.
    pub fn take(&self) -> Option<BodyStream> {
        self.stream.take()
    }

    /// Returns a body of which nothing was sent.
    pub fn put_back(&self, stream: BodyStream) {
        self.stream.replace(Some(stream));
    }

    fn is_consumed(&self) -> bool {
        self.stream.borrow().is_none()
    }

    /// Records that the body has ended, whole or not.
    pub fn record_end(&self) {
        self.ended_at.send_replace(Some(self.arrival.earliest_end()));
    }

    /// Completes once the body has ended, with the time of its last byte.
    pub async fn wait_ended(&self) -> Instant {
        match self.ended_at.subscribe().wait_for(Option::is_some).await.map(|ended_at| *ended_at) {
            Ok(Some(ended_at)) => ended_at,
            _ => std::future::pending().await,
        }
    }

    /// Completes once the client may have waited for its whole time, although the body was not passed on.
    pub async fn wait_overdue(&self) -> Overdue {
        self.arrival.wait_overdue(self.client_time, self.max_silence).await
    }

    /// How long the client waits after its last byte.
    pub fn client_time(&self) -> Duration {
        self.client_time
    }

    /// When the client's time is over, as far as its last byte may have been written.
    pub fn deadline(&self) -> Instant {
        self.ended_at.borrow().unwrap_or_else(|| self.arrival.earliest_end()) + self.client_time
    }

    /// What the client certainly has left, as far as its last byte may have been written.
    pub fn time_left(&self) -> Duration {
        self.client_time.saturating_sub(self.arrival.earliest_end().elapsed())
    }
}

impl OutboundRequest {
    /// Whether the command can no longer be sent because a part of its body is gone.
    pub fn is_body_consumed(&self) -> bool {
        self.streaming_body().is_some_and(StreamingBody::is_consumed)
    }

    /// When the client's time is over: this deadline, unless it counts from the last byte of a streaming body.
    pub fn deadline_or(&self, deadline: Instant) -> Instant {
        self.streaming_body().map_or(deadline, StreamingBody::deadline)
    }

    /// The body if it is streaming, so that the command can be sent only once.
    pub fn streaming_body(&self) -> Option<&StreamingBody> {
        match &self.body {
            RequestBody::Buffered(_) => None,
            RequestBody::Streaming(body) => Some(body),
        }
    }
}

/// The command's handle on one of its launches: cancels it, and tells whether any of it may have been
/// written.
#[derive(Default)]
pub struct LaunchControl {
    cancelled: watch::Sender<bool>,
    may_be_written: Cell<bool>,
    /// The command no longer waits for this launch.
    is_detached: Cell<bool>,
}

impl LaunchControl {
    /// Cancels the launch.
    pub fn cancel(&self) {
        self.cancelled.send_replace(true);
    }

    /// The command is over. A launch that has not been written is cancelled. One that has been written runs
    /// on, so that the balancer learns from its outcome; if it turns out that nothing was written after all,
    /// it is cancelled then.
    pub fn detach(&self) {
        self.is_detached.set(true);
        if !self.may_be_written.get() {
            self.cancel();
        }
    }

    /// Whether the launch was cancelled.
    pub fn is_cancelled(&self) -> bool {
        *self.cancelled.borrow()
    }

    /// Completes when the launch is cancelled.
    pub async fn wait_cancelled(&self) {
        // This cannot fail, as the sender lives as long as `self`.
        let _ = self.cancelled.subscribe().wait_for(|cancelled| *cancelled).await;
    }

    /// Records whether the launch may have been written from here on, or certainly was not.
    pub fn set_may_be_written(&self, may_be_written: bool) {
        self.may_be_written.set(may_be_written);
        if !may_be_written && self.is_detached.get() {
            self.cancel();
        }
    }

    /// Whether any of the launch may have been written.
    pub fn may_be_written(&self) -> bool {
        self.may_be_written.get()
    }
}

/// The answer of a backend: complete, or its beginning with the rest still streaming.
pub struct BackendAnswer {
    pub headers: HeaderMap,
    pub body: ReadBody,
}

/// How a launch ended.
pub struct LaunchResult {
    /// The number of the launch within its command, starting at 0.
    pub number: u8,
    pub backend: BackendId,
    pub outcome: Outcome,
    pub answer: Option<BackendAnswer>,
    /// The values of the load report, and the revision of the names by which its fields were parsed.
    pub report: Option<(u32, Vec<f32>)>,
}

impl LaunchResult {
    /// A result without an answer or a report.
    pub fn without_answer(number: u8, backend: BackendId, outcome: Outcome) -> LaunchResult {
        LaunchResult { number, backend, outcome, answer: None, report: None }
    }
}

#[cfg(test)]
mod tests {
    use super::LaunchControl;

    /// A launch runs on only while its command waits or if it may have been written. The last cases are
    /// launches whose write was in progress when the command ended and whose connection then turned out to
    /// be closed with nothing sent: they must be cancelled too.
    #[test]
    fn unwritten_launch_is_cancelled_when_its_command_ends() {
        type Step = fn(&LaunchControl);
        let (write, detach): (Step, Step) =
            (|control| control.set_may_be_written(true), LaunchControl::detach);
        let unsent_after_all: Step = |control| control.set_may_be_written(false);
        let cases: [(&[Step], bool); 6] = [
            (&[], false),
            (&[detach], true),
            (&[write, detach], false),
            (&[write, detach, unsent_after_all], true),
            (&[write, unsent_after_all], false),
            (&[write, unsent_after_all, detach], true),
        ];
        for (number, (steps, cancelled)) in cases.into_iter().enumerate() {
            let control = LaunchControl::default();
            steps.iter().for_each(|step| step(&control));
            assert_eq!(control.is_cancelled(), cancelled, "case {number}");
        }
    }
}
