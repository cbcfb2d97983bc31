//! Load balancing decisions for fleets of HTTP servers. No I/O: see `decide` for the three calls.
#![forbid(unsafe_code)]

mod allowance;
mod backend;
mod chance;
pub mod command;
pub mod decide;
pub mod ids;
mod list_calls;
pub mod listed;
mod portion;
pub mod say;
pub mod terms;
pub mod times;
