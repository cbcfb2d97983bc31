//! Ways between processes on loopback, TCP and UDP, and what may happen to them; schedules of such faults, drawn from
//! one seed, written down, and shrunk. A package of its own below the rehearsal, as the node's tests play with it too.
#![forbid(unsafe_code)]

mod relay;
pub mod schedule;

pub use relay::{Impairment, Links};
