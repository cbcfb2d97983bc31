//! A model of the systems around yarrowfront: plain state without I/O and without a clock; every call is given the time.
//! The virtual and the real clock drive the same model of backends, arrivals, clients and troubles.

pub mod arrivals;
pub mod backend;
pub mod clients;
pub mod fleet;
pub mod settings;
pub mod troubles;
