//! What clients, backends and discovery observe during a play. Both clocks report it to the judges in these types.
//!
//! An attempt is one request of a client to a node for a command; a launch is one request of a node to a backend.
//! Work is in microseconds on a core of speed one.

use crate::model::clients::AttemptOutcome;
use std::fmt;
use yarrowfront::times::{Micros, Timestamp};

/// The kind of a final answer to an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalAnswer {
    Finished,
    /// Shed by the node: a retry is harmless.
    Rejected,
    Errored,
}

/// How a command ended for its client, after all its attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CommandOutcome {
    Finished,
    Rejected,
    Errored,
    /// No whole answer, or no connection to a node.
    Lost,
    TimedOut,
    ClientLeft,
}

/// One observation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// A client wants a command done.
    CommandDue { command: u64, profile: u16, at: Timestamp },
    /// A node has received an attempt completely. The client waits for its answer until `until`.
    AttemptReceived { attempt: u64, command: u64, profile: u16, node: usize, at: Timestamp, until: Timestamp },
    /// The client closed its connection before the answer.
    ClientLeft { attempt: u64, at: Timestamp },
    /// The client got a whole final answer; `made_for` is the attempt that the backend's body names.
    Answered { attempt: u64, answer: FinalAnswer, made_for: Option<u64>, at: Timestamp },
    /// The first bytes of an answer came whose end its backend gives later. Of a long one the last byte is not timed.
    AnswerBegun { attempt: u64, is_long: bool, at: Timestamp },
    /// An answer that had begun was broken off, by its backend or by a node although its backend still gave it.
    AnswerBroken { attempt: u64, by_backend: bool, at: Timestamp },
    /// The client's connection ended without a whole answer.
    ConnectionBroken { attempt: u64, at: Timestamp },
    /// No attempt of the command is open, and none will start.
    CommandSettled { command: u64, profile: u16, at: Timestamp, outcome: CommandOutcome },
    /// A node has started to send a launch to a backend.
    LaunchStarted {
        node: usize,
        backend: usize,
        attempt: u64,
        at: Timestamp,
        /// The remaining time of the client as the node passed it on, if it did.
        announced_time_left: Option<Micros>,
    },
    /// A backend's process has received a launch completely.
    LaunchReceived { backend: usize, work: f64, at: Timestamp },
    /// A backend has started to execute a command, which may have its effect from now on.
    WorkStarted { backend: usize, attempt: u64, command: u64, profile: u16, work: f64, at: Timestamp },
    /// Discovery has sent a node the state of a backend.
    ListEntryDelivered { node: usize, backend: usize, ready: bool, at: Timestamp },
    /// A backend's process has started cold. It has the share `share` of its capacity now and all of it after `warm`
    /// microseconds; `capacity` is the work that it does per microsecond then.
    ColdStart { backend: usize, at: Timestamp, share: f64, warm: f64, capacity: f64 },
    /// A cold backend has crashed from too much work.
    BackendCrashed { backend: usize, at: Timestamp },
    /// A backend has received a probe.
    ProbeReceived,
    /// A node's process was killed or paused by the rehearsal, so that the attempts it had received need no answer.
    NodeKilled { node: usize, at: Timestamp },
    /// A node's process was killed at the end of a planned stop, when its time for that was over.
    StopEndedByKill { node: usize },
    /// A node's paused process runs again, and clients use it again.
    NodeResumed { node: usize },
    /// A node has a new process, which does not know what discovery told the one before.
    NodeStarted { node: usize },
    /// A node's process has ended without being asked to, or did not do what it was asked to.
    NodeCrashed { node: usize, at: Timestamp, crash: NodeCrash },
}

/// What a node's process did wrong as a process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeCrash {
    /// It has exited by itself with this code.
    Exited(i32),
    /// It has ended by itself by this signal.
    Signalled(i32),
    /// It did not accept commands in time after its start.
    NotReady,
    /// It did not exit in time after it was told to.
    DidNotExit,
}

impl fmt::Display for NodeCrash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NodeCrash::Exited(code) => write!(f, "exited by itself with code {code}"),
            NodeCrash::Signalled(signal) => write!(f, "was ended by signal {signal}"),
            NodeCrash::NotReady => f.write_str("did not accept commands in time after its start"),
            NodeCrash::DidNotExit => f.write_str("did not exit when it was told to"),
        }
    }
}

/// A command ends as its last attempt did.
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
