//! The loss of a whole site, without sockets and without a clock: what is known of other sites, where a lost one's load
//! goes and what is refused first, and how a return is paced. `docs/sites.md` tells why it is as it is.
#![forbid(unsafe_code)]

pub mod admission;
pub mod detection;
pub mod failover;
pub mod plan;
pub mod return_ramp;
