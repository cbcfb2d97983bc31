//! A node's portion of what all nodes share: which of the backends it keeps to, where it can learn of the
//! others only dearly.
//!
//! All nodes hold the backends in one order and start in it at places evenly apart: each then has as many
//! as any other. A node that keeps to few does much of their work itself, and so knows how busy they are.

use crate::settings::Settings;
use std::collections::hash_map::DefaultHasher;
use std::hash::{BuildHasher, BuildHasherDefault};

/// The part of a backend's time that a node's own load is to be: with seven nodes at each, the less busy of
/// few by own counts is late half as often as one of all at random; fewer gain no more (docs/fleet.md).
const SHARE: f64 = 0.1;
/// Nodes that keep to a backend at the least, and backends to a node: one more may fail and leave a choice.
const NODES: f64 = 4.0;
const FEWEST: f64 = 3.0;

/// A backend's place in the order, by what says the same of it at every node.
pub(crate) fn rank(mark: u64) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(mark)
}

/// The same for a key, in whose order each backend stands first for as many keys as it is large.
pub(crate) fn key_rank(mark: u64, size: f64, key: u64) -> u64 {
    let draw = (rank(rank(mark) ^ key) >> 11) as f64 + 1.0;
    (-(draw / (1u64 << 53) as f64).ln() / size.max(1e-3) * 1e9) as u64
}

/// Where in the order of so many backends this node starts.
pub(crate) fn place(terms: &Settings, backends: usize) -> usize {
    let nodes = terms.node_count.max(1) as usize;
    terms.node_index as usize % nodes * backends / nodes
}

/// How many of them it keeps to, with so much work coming in a unit of time.
pub(crate) fn few(terms: &Settings, backends: usize, load: f64) -> usize {
    let each = NODES * backends as f64 / f64::from(terms.node_count.max(1));
    (load / SHARE).max(each).max(FEWEST).ceil() as usize
}
