//! The words between nodes: one CBOR map a datagram, of at most 1,200 bytes. Keys that a build does not know are skipped,
//! and a key that is not there has its least value, so that two builds live side by side.

use crate::node_info::{address_bytes, Generation, Incarnation, Load, MemberState, NodeInfo};
use minicbor::{Decode, Encode};
use std::net::SocketAddr;

/// Of the words below. Datagrams of another one are counted and dropped.
pub const VERSION: u8 = 1;
/// The largest datagram, in bytes: it passes every way unbroken.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// The longest name, site, build or fleet, in bytes.
pub const MAX_TEXT_BYTES: usize = 64;
/// Lives and editions from here on are no honest ones: a start in the year 5000, and a refutation each millisecond for
/// three weeks.
const GENERATION_LIMIT: u64 = 100_000_000_000_000_000;
const INCARNATION_LIMIT: u32 = 1 << 31;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum Kind {
    /// Are you there? Answered with the same number.
    #[n(0)]
    Ping,
    #[n(1)]
    Ack,
    /// Ask another one for me.
    #[n(2)]
    PingReq,
    /// I have asked for you, and nobody has answered me: the way between the two of us is good.
    #[n(3)]
    Nack,
    /// News alone, owed no answer.
    #[n(4)]
    Updates,
    /// Sums of all that I hold to be here, to find what one of us has missed; answered by news.
    #[n(5)]
    Checksums,
}

/// One thing about a member.
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
    /// Who says so first hand, of a suspicion or a death.
    #[n(4)]
    pub reported_by: Option<String>,
    /// The edition that its card came with: without the card the news is of use to those who have that one.
    #[n(5)]
    pub info_incarnation: Incarnation,
    #[n(6)]
    pub info: Option<NodeInfo>,
}

#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Datagram {
    #[n(0)]
    pub version: u8,
    #[n(1)]
    pub fleet: String,
    #[n(2)]
    pub kind: Kind,
    /// The number of an ask, given back with its answer.
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
    /// Who is asked, or is to be asked.
    #[n(8)]
    pub target: Option<String>,
    /// Of all that the sender holds to be here, and how many these are.
    #[cbor(n(9), default)]
    pub digest: u64,
    #[cbor(n(10), default)]
    pub present_count: u32,
    #[n(11)]
    pub load: Option<Load>,
    #[cbor(n(12), with = "minicbor::bytes", default)]
    pub checksums: Option<Vec<u8>>,
    /// Of sums: owed news alone, no sums; and with cards.
    #[n(13)]
    pub is_final: Option<bool>,
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

    /// Its size in a datagram, in bytes.
    pub(crate) fn encoded_len(&self) -> usize {
        minicbor::to_vec(self).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len())
    }
}

impl Datagram {
    /// Its size as it is, in bytes.
    pub(crate) fn encoded_len(&self) -> usize {
        minicbor::to_vec(self).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len())
    }

    /// Its bytes; none if they are more than a datagram has.
    pub fn to_bytes(&self) -> Option<Vec<u8>> {
        minicbor::to_vec(self).ok().filter(|bytes| bytes.len() <= MAX_DATAGRAM_BYTES)
    }

    /// What these bytes say, or why they say nothing. The work is bounded by their number.
    pub fn from_bytes(bytes: &[u8]) -> Result<Datagram, DecodeError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DecodeError::Malformed);
        }
        let datagram: Datagram = minicbor::decode(bytes).map_err(|_| DecodeError::Malformed)?;
        if datagram.version != VERSION {
            return Err(DecodeError::OtherVersion);
        }
        let named = (1..=MAX_TEXT_BYTES).contains(&datagram.sender.len());
        let target = datagram.target.as_ref().is_none_or(|target| target.len() <= MAX_TEXT_BYTES);
        let news = datagram.updates.iter().flatten().all(MemberUpdate::is_valid);
        match named
            && target
            && news
            && datagram.generation.0 < GENERATION_LIMIT
            && datagram.incarnation.0 < INCARNATION_LIMIT
        {
            true => Ok(datagram),
            false => Err(DecodeError::Malformed),
        }
    }
}

/// Why bytes are no datagram of ours.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    Malformed,
    OtherVersion,
}
