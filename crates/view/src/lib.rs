//! The view of the fleet that each node keeps: who is there, in which life and state, by whose word. Membership after
//! SWIM with the remedies of Lifeguard; `docs/view.md` says what was weighed and cites the sources. Pure: bytes and
//! times in, bytes and times out, with seeded chance. `view` is the state machine, `wire` its words, `share` what the
//! decisions may take from it.
#![forbid(unsafe_code)]

mod checksums;
pub mod config;
mod gossip;
pub mod member;
pub mod node_info;
pub mod share;
pub mod view;
pub mod wire;
