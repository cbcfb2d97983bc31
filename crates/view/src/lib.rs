//! Fleet membership: the view that each node keeps of the other nodes, with their state, process generation and who
//! reported it. The protocol follows SWIM with the remedies of Lifeguard; `docs/view.md` discusses the alternatives and
//! cites the sources. The crate does no I/O: it takes bytes and times, returns bytes and times, and draws from a seeded
//! random generator. `view` is the state machine, `wire` the message format, and `share` derives what the balancing
//! decisions may take from a view.
#![forbid(unsafe_code)]

mod checksums;
pub mod config;
mod gossip;
pub mod member;
pub mod node_info;
pub mod share;
pub mod view;
pub mod wire;
