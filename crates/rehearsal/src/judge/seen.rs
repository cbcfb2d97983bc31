//! What clients and backends saw: the words in which both clocks tell the judges.

use crate::model::clients::TryEnd;
use yarrowfront::times::{Micros, Timestamp};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Final {
    Finished,
    TurnedBack,
    Errored,
}

/// How a command ended for its client, all its tries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    Finished,
    TurnedBack,
    Errored,
    Lost,
    TimedOut,
    Left,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Seen {
    /// A client wants a command done.
    Due {
        command: u64,
        profile: u16,
        at: Timestamp,
    },
    /// A node has a try of it whole, and `until` when the client waits.
    Taken {
        attempt: u64,
        command: u64,
        profile: u16,
        node: usize,
        at: Timestamp,
        until: Timestamp,
    },
    /// The client has gone before its answer.
    Left {
        attempt: u64,
        at: Timestamp,
    },
    /// A whole final answer; `made_for` is the try that the backend's body names.
    Answered {
        attempt: u64,
        what: Final,
        made_for: Option<u64>,
        at: Timestamp,
    },
    /// Its client's connection ended without a whole answer.
    Broken {
        attempt: u64,
        at: Timestamp,
    },
    /// No try of the command goes on, and none will start.
    Settled {
        command: u64,
        profile: u16,
        at: Timestamp,
        ending: Ending,
    },
    /// A node's first byte of a launch.
    Launched {
        node: usize,
        backend: usize,
        attempt: u64,
        at: Timestamp,
        /// The time that its client is said to have left, where that was told.
        told_left: Option<Micros>,
    },
    /// A launch has come whole to a backend's process.
    Reached {
        backend: usize,
        work: f64,
        at: Timestamp,
    },
    /// Its work has begun there and may have its effect.
    Began {
        backend: usize,
        attempt: u64,
        command: u64,
        profile: u16,
        work: f64,
        at: Timestamp,
    },
    /// The list has written a line to a node.
    Told {
        node: usize,
        backend: usize,
        ready: bool,
        at: Timestamp,
    },
    /// A backend's process has started, cold: the share it can do now, the time to the whole, and the work it
    /// does in a microsecond then.
    Started {
        backend: usize,
        at: Timestamp,
        share: f64,
        warm: f64,
        capacity: f64,
    },
    Fell {
        backend: usize,
        at: Timestamp,
    },
    Probed,
    /// A node's process has been killed or restarted: what it had taken is excused.
    Killed {
        node: usize,
        at: Timestamp,
    },
    /// A node's process that was stopped goes on, and its clients with it.
    WentOn {
        node: usize,
    },
    /// A node has a new process, which knows nothing of what the one before was told.
    Fresh {
        node: usize,
    },
    /// A node's process has ended though nobody asked it to, or did not end when asked.
    Crashed {
        node: usize,
        at: Timestamp,
    },
}

/// A command ends as its last try did.
impl From<TryEnd> for Ending {
    fn from(last: TryEnd) -> Ending {
        match last {
            TryEnd::Finished => Ending::Finished,
            TryEnd::TurnedBack(_) => Ending::TurnedBack,
            TryEnd::Errored => Ending::Errored,
            TryEnd::Lost | TryEnd::Refused => Ending::Lost,
            TryEnd::TimedOut => Ending::TimedOut,
        }
    }
}
