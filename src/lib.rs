//! Load-balancing decisions for fleets of HTTP servers, without any I/O. The entry point is `decide::Balancer`.
#![forbid(unsafe_code)]

mod allowance;
mod backend;
pub mod backend_list;
pub mod command;
pub mod decide;
pub mod decision;
pub mod ids;
mod list_calls;
mod portion;
mod random;
pub mod settings;
pub mod times;
