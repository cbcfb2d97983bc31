//! What goes to a backend of a command, and what comes of a launch.

use crate::bodies::{Flow, Start};
use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Uri};
use std::cell::{Cell, RefCell};
use tokio::sync::watch;
use yarrowfront::command::Outcome;
use yarrowfront::ids::BackendId;

/// How long a command's client still waits, in milliseconds: on its way here and on to a backend.
pub const TIME_LEFT: &str = "x-time-left-ms";

/// What goes on of a command, as it came.
pub struct Cargo {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Load,
}

/// A command's body.
pub enum Load {
    Whole(Bytes),
    /// It can be sent once: here until a launch has it, and again where that launch has sent nothing of it.
    Flows(RefCell<Option<Flow>>),
}

impl Cargo {
    /// Whether it cannot be sent any more, as a part of it is gone.
    pub fn spent(&self) -> bool {
        matches!(&self.body, Load::Flows(flow) if flow.borrow().is_none())
    }

    pub fn flows(&self) -> bool {
        matches!(self.body, Load::Flows(_))
    }
}

/// What a command holds of a launch of its own: calls it off, and tells whether any of it may have been written.
#[derive(Default)]
pub struct Reins {
    off: watch::Sender<bool>,
    written: Cell<bool>,
    /// Nobody waits for it any more.
    left: Cell<bool>,
}

impl Reins {
    pub fn call_off(&self) {
        self.off.send_replace(true);
    }

    /// Its command is over: what has not begun must not begin. What is written runs on, so that the module learns from it;
    /// should it turn out that nothing was written after all, it ends then.
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
        // It cannot fail while its sender lives.
        let _ = self.off.subscribe().wait_for(|off| *off).await;
    }

    /// From here on it may have been written, or was surely not.
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

/// A backend's answer: whole, or its start and what follows.
pub struct Answer {
    pub headers: HeaderMap,
    pub body: Start,
}

/// How a launch ended.
pub struct Done {
    pub number: u8,
    pub backend: BackendId,
    pub outcome: Outcome,
    pub answer: Option<Answer>,
    /// Its load report, and by which turn of the names it was read.
    pub report: Option<(u32, Vec<f32>)>,
}

impl Done {
    /// Nothing has come of it but this.
    pub fn bare(number: u8, backend: BackendId, outcome: Outcome) -> Done {
        Done { number, backend, outcome, answer: None, report: None }
    }
}

#[cfg(test)]
mod tests {
    use super::Reins;

    /// A launch goes on only for a command that still waits or where it may have been written: also one that was thought
    /// to be when its command ended, and then found its connection closed with nothing sent.
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
