//! What the stages of a command share about its launches: the request to forward, the control over a launch,
//! and its result.

use crate::bodies::{Flow, Start};
use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use std::cell::{Cell, RefCell};
use tokio::sync::watch;
use yarrowfront::command::Outcome;
use yarrowfront::ids::BackendId;

/// The header with the time that the command's client still waits, in milliseconds: in the client's request
/// and in the one that goes to a backend.
pub const TIME_LEFT: &str = "x-time-left-ms";

/// The parts of a command's request that go to a backend, unchanged.
pub struct Cargo {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Load,
}

/// The body of a command.
pub enum Load {
    Whole(Bytes),
    /// A streaming body can be sent only once. It is here until a launch takes it, and again if that launch
    /// has sent nothing of it.
    Flows(RefCell<Option<Flow>>),
}

impl Cargo {
    /// Whether the command can no longer be sent because a part of its body is gone.
    pub fn spent(&self) -> bool {
        matches!(&self.body, Load::Flows(flow) if flow.borrow().is_none())
    }

    pub fn flows(&self) -> bool {
        matches!(self.body, Load::Flows(_))
    }
}

/// The command's handle on one of its launches: cancels it, and tells whether any of it may have been
/// written.
#[derive(Default)]
pub struct Reins {
    off: watch::Sender<bool>,
    written: Cell<bool>,
    /// The command no longer waits for this launch.
    left: Cell<bool>,
}

impl Reins {
    pub fn call_off(&self) {
        self.off.send_replace(true);
    }

    /// The command is over. A launch that has not been written is cancelled. One that has been written runs
    /// on, so that the balancer learns from its outcome; if it turns out that nothing was written after all,
    /// it is cancelled then.
    pub fn leave(&self) {
        self.left.set(true);
        if !self.written.get() {
            self.call_off();
        }
    }

    pub fn is_off(&self) -> bool {
        *self.off.borrow()
    }

    pub async fn called_off(&self) {
        // This cannot fail, as the sender lives as long as `self`.
        let _ = self.off.subscribe().wait_for(|off| *off).await;
    }

    /// Records whether the launch may have been written from here on, or certainly was not.
    pub fn writes(&self, may: bool) {
        self.written.set(may);
        if !may && self.left.get() {
            self.call_off();
        }
    }

    pub fn written(&self) -> bool {
        self.written.get()
    }
}

/// The answer of a backend: complete, or its beginning with the rest still streaming.
pub struct Answer {
    pub headers: HeaderMap,
    pub body: Start,
}

/// How a launch ended.
pub struct Done {
    /// The number of the launch within its command, starting at 0.
    pub number: u8,
    pub backend: BackendId,
    pub outcome: Outcome,
    pub answer: Option<Answer>,
    /// The values of the load report, and the generation of the names by which its fields were parsed.
    pub report: Option<(u32, Vec<f32>)>,
}

impl Done {
    /// A result without an answer or a report.
    pub fn bare(number: u8, backend: BackendId, outcome: Outcome) -> Done {
        Done { number, backend, outcome, answer: None, report: None }
    }
}

#[cfg(test)]
mod tests {
    use super::Reins;

    /// A launch runs on only while its command waits or if it may have been written. The last cases are
    /// launches whose write was in progress when the command ended and whose connection then turned out to
    /// be closed with nothing sent: they must be cancelled too.
    #[test]
    fn a_launch_whose_command_is_over() {
        type Step = fn(&Reins);
        let (writes, leaves): (Step, Step) = (|reins| reins.writes(true), Reins::leave);
        let stale: Step = |reins| reins.writes(false);
        let cases: [(&[Step], bool); 6] = [
            (&[], false),
            (&[leaves], true),
            (&[writes, leaves], false),
            (&[writes, leaves, stale], true),
            (&[writes, stale], false),
            (&[writes, stale, leaves], true),
        ];
        for (number, (steps, off)) in cases.into_iter().enumerate() {
            let reins = Reins::default();
            steps.iter().for_each(|step| step(&reins));
            assert_eq!(reins.is_off(), off, "case {number}");
        }
    }
}
