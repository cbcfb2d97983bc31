//! What clients and backends saw: the words in which both clocks tell the judges.

use crate::model::clients::AttemptOutcome;
use yarrowfront::times::{Micros, Timestamp};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalAnswer {
    Finished,
    Rejected,
    Errored,
}

/// How a command ended for its client, all its tries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CommandOutcome {
    Finished,
    Rejected,
    Errored,
    Lost,
    TimedOut,
    ClientLeft,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// A client wants a command done.
    CommandDue {
        command: u64,
        profile: u16,
        at: Timestamp,
    },
    /// A node has a try of it whole, and `until` when the client waits.
    AttemptReceived {
        attempt: u64,
        command: u64,
        profile: u16,
        node: usize,
        at: Timestamp,
        until: Timestamp,
    },
    /// The client has gone before its answer.
    ClientLeft {
        attempt: u64,
        at: Timestamp,
    },
    /// A whole final answer; `made_for` is the try that the backend's body names.
    Answered {
        attempt: u64,
        answer: FinalAnswer,
        made_for: Option<u64>,
        at: Timestamp,
    },
    /// Its client's connection ended without a whole answer.
    ConnectionBroken {
        attempt: u64,
        at: Timestamp,
    },
    /// No try of the command goes on, and none will start.
    CommandSettled {
        command: u64,
        profile: u16,
        at: Timestamp,
        outcome: CommandOutcome,
    },
    /// A node's first byte of a launch.
    LaunchStarted {
        node: usize,
        backend: usize,
        attempt: u64,
        at: Timestamp,
        /// The time that its client is said to have left, where that was told.
        announced_time_left: Option<Micros>,
    },
    /// A launch has come whole to a backend's process.
    LaunchReceived {
        backend: usize,
        work: f64,
        at: Timestamp,
    },
    /// Its work has begun there and may have its effect.
    WorkStarted {
        backend: usize,
        attempt: u64,
        command: u64,
        profile: u16,
        work: f64,
        at: Timestamp,
    },
    /// The list has written a line to a node.
    ListEntryDelivered {
        node: usize,
        backend: usize,
        ready: bool,
        at: Timestamp,
    },
    /// A backend's process has started, cold: the share it can do now, the time to the whole, and the work it
    /// does in a microsecond then.
    ColdStart {
        backend: usize,
        at: Timestamp,
        share: f64,
        warm: f64,
        capacity: f64,
    },
    BackendCrashed {
        backend: usize,
        at: Timestamp,
    },
    ProbeReceived,
    /// A node's process has been killed or restarted: what it had taken is excused.
    NodeKilled {
        node: usize,
        at: Timestamp,
    },
    /// A node's process that was stopped goes on, and its clients with it.
    NodeResumed {
        node: usize,
    },
    /// A node has a new process, which knows nothing of what the one before was told.
    NodeStarted {
        node: usize,
    },
    /// A node's process has ended though nobody asked it to, or did not end when asked.
    NodeCrashed {
        node: usize,
        at: Timestamp,
    },
}

/// A command ends as its last try did.
impl From<AttemptOutcome> for CommandOutcome {
    fn from(last: AttemptOutcome) -> CommandOutcome {
        match last {
            AttemptOutcome::Finished => CommandOutcome::Finished,
            AttemptOutcome::Rejected(_) => CommandOutcome::Rejected,
            AttemptOutcome::Errored => CommandOutcome::Errored,
            AttemptOutcome::Lost | AttemptOutcome::NotConnected => CommandOutcome::Lost,
            AttemptOutcome::TimedOut => CommandOutcome::TimedOut,
        }
    }
}
