//! Load balancing decisions for fleets of HTTP servers. No I/O: see `decide` for the three calls.
#![forbid(unsafe_code)]

mod allowance;
mod backend;
pub mod backend_list;
mod chance;
pub mod command;
pub mod decide;
pub mod decision;
pub mod ids;
mod list_calls;
mod portion;
pub mod settings;
pub mod times;
