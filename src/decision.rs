//! What the module says of a command, and what it wants besides: plain values for the caller to carry out.

use crate::ids::{BackendId, Hand};
use crate::times::Span;

/// What to do with a command now. `NotYet` leaves it in hand, held or with a launch out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Say {
    Launch(BackendId),
    NotYet,
    TurnBack(Span),
    Errored,
    /// Stop waiting for this launch; its outcome then says what follows.
    CallOff(u8),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Errand {
    Probe(BackendId),
    Follow,
    /// Close the idle connections there.
    Close(BackendId),
    /// Ask `place` for this held command again.
    Again(Hand),
}
