//! The systems that yarrowfront serves, as plain state without I/O and without a clock: every call is told the
//! time. The virtual clock and the real one drive the same backends, arrivals, clients and troubles.

pub mod arrivals;
pub mod backend;
pub mod clients;
pub mod fleet;
pub mod settings;
pub mod troubles;
