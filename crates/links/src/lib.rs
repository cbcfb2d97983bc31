//! TCP and UDP links between processes on loopback, with injected network faults, and schedules of such faults, which
//! are generated from a seed, written as text and shrunk. This is a package of its own, below the rehearsal, because the
//! node's tests use it too.
#![forbid(unsafe_code)]

pub mod body_form;
mod relay;
pub mod schedule;

pub use relay::{Impairment, Links};
