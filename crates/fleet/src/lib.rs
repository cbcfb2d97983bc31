//! Tools for the membership views of many nodes: simulation on a virtual network, a state-space search of small fleets, and
//! a comparison of the views that running nodes report.
#![forbid(unsafe_code)]

pub mod http;
pub mod measure;
pub mod net;
pub mod plot;
pub mod search;
pub mod watch;
