//! Sums over all that a node holds to be here, by which two of them find where they differ without telling all.

use crate::node_info::{Generation, Incarnation};
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

/// A name as a number, the same at every node.
pub(crate) fn mark(name: &str) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(name)
}

/// What a member that is here adds to the digest.
pub(crate) fn part(name: &str, generation: Generation, incarnation: Incarnation) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one((name, generation.0, incarnation.0))
}

/// Into how many parts the names go: some four members in each, and no more than a datagram holds.
pub(crate) fn parts(members: usize) -> usize {
    (members / 4).next_power_of_two().clamp(4, 256)
}

/// In which of so many parts a name stands.
pub(crate) fn of(name: &str, parts: usize) -> usize {
    (mark(name) >> 32) as usize % parts
}

/// The sums of the parts, four bytes each.
pub(crate) fn all<'a>(
    members: impl Iterator<Item = (&'a str, Generation, Incarnation)>,
    parts: usize,
) -> Vec<u8> {
    let mut sums = vec![0u32; parts];
    for (name, generation, incarnation) in members {
        sums[of(name, parts)] ^= part(name, generation, incarnation) as u32;
    }
    sums.iter().flat_map(|sum| sum.to_be_bytes()).collect()
}

/// Which parts differ between two lists of sums of one length.
pub(crate) fn differing(ours: &[u8], theirs: &[u8]) -> Vec<usize> {
    let parts = ours.chunks(4).zip(theirs.chunks(4));
    parts.enumerate().filter(|(_, (a, b))| a != b).map(|(i, _)| i).collect()
}
