//! Decisions and actions: plain values that the caller carries out.

use crate::ids::{BackendId, CommandHandle};
use crate::times::Micros;

/// What to do with a command now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Launch it at this backend.
    Launch(BackendId),
    /// Keep it: it is queued, or has a launch in flight.
    Wait,
    /// Reject it, with this retry-after; the client may safely send it again.
    Reject(Micros),
    /// Answer with an error: the command may have run, and a retry by the client is not safe.
    Fail,
    /// Stop waiting for this launch; its outcome then leads to the next decision.
    CancelLaunch(u8),
}

/// Work for the caller that is not the answer to a question about a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask the backend for a load report.
    Probe(BackendId),
    /// Call discovery for the list of backends.
    RequestList,
    /// Close the idle connections to this backend.
    CloseIdleConnections(BackendId),
    /// Call `decide` again for this queued command.
    Reevaluate(CommandHandle),
}
