//! Which of the backends a node keeps to, where it can learn of the others only dearly.
//!
//! All nodes hold the backends in one order and start in it at places evenly apart: each backend then has
//! as many nodes as any other, without a word between them. A node that keeps to few has a good part of what
//! each of them does itself, so that its own counts and tokens tell how busy they are; spread over all it
//! would know none.

use crate::terms::Terms;
use std::collections::hash_map::DefaultHasher;
use std::hash::Hasher;

/// The part of a backend's time that a node's own load is to be: with some seven nodes at each, the less busy
/// of few by own counts is late half as often as one of all at random; fewer at each gain no more, and some
/// backends then have twice the nodes of others (docs/fleet.md).
const SHARE: f64 = 0.1;
/// Nodes that keep to a backend at the least, and backends to a node: one more may fail and leave a choice.
const NODES: f64 = 4.0;
const FEWEST: f64 = 3.0;

/// A backend's place in the order, by what says the same of it at every node.
pub(crate) fn rank(mark: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write_u64(mark);
    hasher.finish()
}

/// Where in the order of so many backends this node starts.
pub(crate) fn place(terms: &Terms, backends: usize) -> usize {
    let nodes = terms.nodes.max(1) as usize;
    terms.me as usize % nodes * backends / nodes
}

/// How many of them it keeps to, with so much work coming in a unit of time.
pub(crate) fn few(terms: &Terms, backends: usize, load: f64) -> usize {
    let each = NODES * backends as f64 / f64::from(terms.nodes.max(1));
    (load / SHARE).max(each).max(FEWEST).ceil() as usize
}
