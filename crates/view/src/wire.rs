//! The message format between nodes: one CBOR map per datagram, of at most 1,200 bytes. Unknown keys are skipped and
//! missing keys take their default, so that different builds interoperate.

use crate::node_info::{address_bytes, Generation, Incarnation, Load, MemberState, NodeInfo};
use minicbor::{Decode, Encode};
use std::net::SocketAddr;

/// The version of this message format. Datagrams of another version are counted and dropped.
pub const VERSION: u8 = 1;
/// The largest datagram, which passes every network path without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// The longest node name, site, build or fleet name.
pub const MAX_TEXT_BYTES: usize = 64;
/// Generations and incarnations from these limits on are rejected as implausible: they would mean a start in the year
/// 5000, or a refutation every millisecond for three weeks.
const GENERATION_LIMIT: u64 = 100_000_000_000_000_000;
const INCARNATION_LIMIT: u32 = 1 << 31;

/// The kind of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum Kind {
    /// A probe, answered by an `Ack` with the same probe id.
    #[n(0)]
    Ping,
    #[n(1)]
    Ack,
    /// A request to probe another member on behalf of the sender (indirect probe).
    #[n(2)]
    PingReq,
    /// The answer to a `PingReq` whose target did not reply. It shows that the path between requester and relay works.
    #[n(3)]
    Nack,
    /// Member updates without a probe. It is not answered.
    #[n(4)]
    Updates,
    /// Checksums over the members that the sender considers present (anti-entropy). Answered with updates for the
    /// buckets that differ.
    #[n(5)]
    Checksums,
}

/// One update about a member.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct MemberUpdate {
    #[n(0)]
    pub name: String,
    #[n(1)]
    pub generation: Generation,
    #[n(2)]
    pub incarnation: Incarnation,
    #[n(3)]
    pub state: MemberState,
    /// The node that made the observation, for a suspicion or a death.
    #[n(4)]
    pub reported_by: Option<String>,
    /// The incarnation that the member's `NodeInfo` was announced with. An update without `info` is usable by nodes that
    /// already have that one.
    #[n(5)]
    pub info_incarnation: Incarnation,
    #[n(6)]
    pub info: Option<NodeInfo>,
}

/// A datagram between two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Datagram {
    #[n(0)]
    pub version: u8,
    #[n(1)]
    pub fleet: String,
    #[n(2)]
    pub kind: Kind,
    /// The number of a probe, repeated in its ack. Zero for a datagram that expects no tracked ack.
    #[n(3)]
    pub probe_id: u32,
    #[n(4)]
    pub sender: String,
    #[n(5)]
    pub generation: Generation,
    #[n(6)]
    pub incarnation: Incarnation,
    #[cbor(n(7), with = "address_bytes")]
    pub address: SocketAddr,
    /// The name of the member that is probed, or is to be probed.
    #[n(8)]
    pub target: Option<String>,
    /// The digest over all members that the sender considers present, and their number.
    #[cbor(n(9), default)]
    pub digest: u64,
    #[cbor(n(10), default)]
    pub present_count: u32,
    #[n(11)]
    pub load: Option<Load>,
    #[cbor(n(12), with = "minicbor::bytes", default)]
    pub checksums: Option<Vec<u8>>,
    /// With checksums: the receiver answers with updates only, not with checksums of its own.
    #[n(13)]
    pub is_final: Option<bool>,
    /// The sender lacks `NodeInfo`s and asks for updates that include them.
    #[n(14)]
    pub wants_info: Option<bool>,
    #[n(15)]
    pub updates: Option<Vec<MemberUpdate>>,
}

impl MemberUpdate {
    pub(crate) fn is_valid(&self) -> bool {
        let texts = [Some(&self.name), self.reported_by.as_ref()];
        let info = self.info.iter().flat_map(|info| [&info.site, &info.build]);
        texts.into_iter().flatten().chain(info).all(|text| text.len() <= MAX_TEXT_BYTES)
            && !self.name.is_empty()
            && self.generation.0 < GENERATION_LIMIT
            && self.incarnation.0 < INCARNATION_LIMIT
    }

    /// The encoded size in bytes.
    pub(crate) fn encoded_len(&self) -> usize {
        minicbor::to_vec(self).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len())
    }
}

impl Datagram {
    /// The encoded size in bytes, as the datagram is now.
    pub(crate) fn encoded_len(&self) -> usize {
        minicbor::to_vec(self).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len())
    }

    /// The encoded datagram, or `None` if it exceeds the largest size.
    pub fn to_bytes(&self) -> Option<Vec<u8>> {
        minicbor::to_vec(self).ok().filter(|bytes| bytes.len() <= MAX_DATAGRAM_BYTES)
    }

    /// Decodes and checks a datagram. The work is bounded by the number of bytes.
    pub fn from_bytes(bytes: &[u8]) -> Result<Datagram, DecodeError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DecodeError::Malformed);
        }
        let datagram: Datagram = minicbor::decode(bytes).map_err(|_| DecodeError::Malformed)?;
        if datagram.version != VERSION {
            return Err(DecodeError::OtherVersion);
        }
        let has_valid_sender = (1..=MAX_TEXT_BYTES).contains(&datagram.sender.len());
        let has_valid_target = datagram.target.as_ref().is_none_or(|target| target.len() <= MAX_TEXT_BYTES);
        let has_valid_updates = datagram.updates.iter().flatten().all(MemberUpdate::is_valid);
        match has_valid_sender
            && has_valid_target
            && has_valid_updates
            && datagram.generation.0 < GENERATION_LIMIT
            && datagram.incarnation.0 < INCARNATION_LIMIT
        {
            true => Ok(datagram),
            false => Err(DecodeError::Malformed),
        }
    }
}

/// Why bytes could not be decoded as a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    Malformed,
    OtherVersion,
}
