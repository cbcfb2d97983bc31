//! Checksums over the members that a node considers present. Two nodes compare them to find where their views differ
//! without sending the whole view.

use crate::node_info::{Generation, Incarnation};
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};

/// Hash of a member's name, the same at every node.
pub(crate) fn name_hash(name: &str) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(name)
}

/// What a present member contributes (by XOR) to the digest of the view.
pub(crate) fn member_hash(name: &str, generation: Generation, incarnation: Incarnation) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one((name, generation.0, incarnation.0))
}

/// The number of buckets for this number of members: about four members per bucket, and no more buckets than fit into a
/// datagram.
pub(crate) fn bucket_count(members: usize) -> usize {
    (members / 4).next_power_of_two().clamp(4, 256)
}

/// The bucket of a name.
pub(crate) fn bucket_of(name: &str, buckets: usize) -> usize {
    (name_hash(name) >> 32) as usize % buckets
}

/// The checksums of all buckets, four bytes each.
pub(crate) fn compute<'a>(
    members: impl Iterator<Item = (&'a str, Generation, Incarnation)>,
    buckets: usize,
) -> Vec<u8> {
    let mut checksums = vec![0u32; buckets];
    for (name, generation, incarnation) in members {
        checksums[bucket_of(name, buckets)] ^= member_hash(name, generation, incarnation) as u32;
    }
    checksums.iter().flat_map(|checksum| checksum.to_be_bytes()).collect()
}

/// The buckets that differ between two lists of checksums of equal length.
pub(crate) fn differing_buckets(ours: &[u8], theirs: &[u8]) -> Vec<usize> {
    let buckets = ours.chunks(4).zip(theirs.chunks(4));
    buckets.enumerate().filter(|(_, (a, b))| a != b).map(|(i, _)| i).collect()
}
