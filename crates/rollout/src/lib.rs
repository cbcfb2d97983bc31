//! A rolling change of the program or the settings of a fleet, without sockets and without a clock: the plan, the reports
//! of the nodes, and the decision what to do next. `docs/rollout.md` explains the design.
#![forbid(unsafe_code)]

pub mod controller;
pub mod evidence;
pub mod journal;
pub mod node_report;
pub mod plan;
pub mod settings_diff;
pub mod simulation;
pub mod verdict;
