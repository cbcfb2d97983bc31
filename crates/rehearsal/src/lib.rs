//! Rehearsals: a model of clients, backends, the list, the network and their troubles; a virtual and a real clock
//! to play it on; judges; experiments. Arrows point downward only: from the commands (`search`, `compare`,
//! `experiment`, `report`) to the clocks (`virtual_clock`, `real`), to policies and judges, to the model.
#![forbid(unsafe_code)]

pub mod compare;
mod event_queue;
pub mod experiment;
pub mod judge;
pub mod model;
pub mod paper;
pub mod policy;
pub mod program;
pub mod real;
pub mod report;
pub mod rng;
pub mod scenario;
pub mod search;
pub mod soak;
pub mod span;
pub mod stats;
pub mod virtual_clock;
