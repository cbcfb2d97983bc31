//! Rehearsals play scenarios around the balancer: a model of clients, backends, discovery, the network and their troubles,
//! on a virtual or a real clock, with judges that check rules and measure service. Modules depend downward only: the
//! commands (`search`, `compare`, `experiment`, `report`) on the clocks (`virtual_clock`, `real`), these on policies and
//! judges, and these on the model.
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
