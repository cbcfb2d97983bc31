//! Handling the loss of a whole site, without sockets or a clock: detection of the state of other sites, failover of
//! a lost site's load and what is rejected first, and the slow start of a site that returns. `docs/sites.md` gives
//! the reasons.
#![forbid(unsafe_code)]

pub mod admission;
pub mod detection;
pub mod failover;
pub mod plan;
pub mod return_ramp;
