//! What the stages of a command share about its launches: the request to forward, the control over a launch,
//! and its result.

use crate::bodies::{BodyStream, ReadBody};
use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use std::cell::{Cell, RefCell};
use tokio::sync::watch;
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
    /// A streaming body can be sent only once. It is here until a launch takes it, and again if that launch
    /// has sent nothing of it.
    Streaming(RefCell<Option<BodyStream>>),
}

impl OutboundRequest {
    /// Whether the command can no longer be sent because a part of its body is gone.
    pub fn is_body_consumed(&self) -> bool {
        matches!(&self.body, RequestBody::Streaming(stream) if stream.borrow().is_none())
    }

    /// Whether the body is streaming, so that the command can be sent only once.
    pub fn is_streaming(&self) -> bool {
        matches!(self.body, RequestBody::Streaming(_))
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
