//! Which of the shared backends a node keeps to where learning about the others is expensive.
//!
//! All nodes sort the backends in the same order and start in it at evenly spaced positions, so that each backend has
//! as many nodes as any other. A node that keeps to few backends does much of their work itself and so knows how busy
//! they are.

use crate::settings::Settings;
use std::collections::hash_map::DefaultHasher;
use std::hash::{BuildHasher, BuildHasherDefault};

/// Target share of a backend's time that one node's load takes. With seven nodes per backend, a launch at the less busy
/// of a few backends, by the node's own counts, is late half as often as one at a random backend of all. Keeping to even
/// fewer backends brings no further gain (docs/fleet.md).
const OWN_LOAD_PER_BACKEND: f64 = 0.1;
/// Smallest number of nodes per backend, and of backends per node: after the failure of one there is still a choice.
const MIN_NODES_PER_BACKEND: f64 = 4.0;
const MIN_BACKENDS_PER_NODE: f64 = 3.0;

/// A backend's position in the common order, from a hash of its name that is the same at every node.
pub(crate) fn hash_rank(name_hash: u64) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(name_hash)
}

/// A backend's position in the order for a key (weighted rendezvous hashing): each backend is first for a number of
/// keys in proportion to its weight.
pub(crate) fn key_rank(name_hash: u64, weight: f64, key: u64) -> u64 {
    let draw = (hash_rank(hash_rank(name_hash) ^ key) >> 11) as f64 + 1.0;
    (-(draw / (1u64 << 53) as f64).ln() / weight.max(1e-3) * 1e9) as u64
}

/// Index in the common order at which this node starts.
pub(crate) fn start_position(settings: &Settings, backend_count: usize) -> usize {
    let node_count = settings.node_count.max(1) as usize;
    settings.node_index as usize % node_count * backend_count / node_count
}

/// Number of backends that this node keeps to. `load` is its work per unit of time, in units of what one backend
/// does.
pub(crate) fn preferred_size(settings: &Settings, backend_count: usize, load: f64) -> usize {
    let fair_share = MIN_NODES_PER_BACKEND * backend_count as f64 / f64::from(settings.node_count.max(1));
    (load / OWN_LOAD_PER_BACKEND).max(fair_share).max(MIN_BACKENDS_PER_NODE).ceil() as usize
}
