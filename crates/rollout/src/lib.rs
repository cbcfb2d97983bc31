//! A rolling change of the program or its settings, without sockets and without a clock: a plan, what nodes told of
//! themselves, and what to do next. `docs/rollout.md` tells why it is as it is.
#![forbid(unsafe_code)]

pub mod controller;
pub mod evidence;
pub mod journal;
pub mod node_report;
pub mod plan;
pub mod settings_diff;
pub mod simulation;
pub mod verdict;
