//! What the module says of a command, and what it wants besides: plain values for the caller to carry out.

use crate::ids::{BackendId, CommandHandle};
use crate::times::Micros;

/// What to do with a command now. `NotYet` leaves it in hand, held or with a launch out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    Launch(BackendId),
    Wait,
    Reject(Micros),
    Fail,
    /// Stop waiting for this launch; its outcome then says what follows.
    CancelLaunch(u8),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    Probe(BackendId),
    RequestList,
    /// Close the idle connections there.
    CloseIdleConnections(BackendId),
    /// Ask `place` for this held command again.
    Reevaluate(CommandHandle),
}
