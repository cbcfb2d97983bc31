//! What a node announces about itself, and the states in which others see it.

use minicbor::decode::{Decoder, Error};
use minicbor::encode::{Encoder, Write};
use minicbor::{Decode, Encode};
use std::fmt;
use std::net::{IpAddr, SocketAddr};

/// The generation of a node's process: a greater one under the same name is a restarted node. It is the Unix time of
/// the start in microseconds, or one more than the greatest generation that the node has heard of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct Generation(#[n(0)] pub u64);

/// SWIM's incarnation number, within a generation. Only the node itself raises it: to refute a report, and when its
/// `NodeInfo` changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct Incarnation(#[n(0)] pub u32);

/// The state of a member. Of two reports with the same incarnation the later variant wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(index_only)]
pub enum MemberState {
    #[n(0)]
    Alive,
    #[n(1)]
    Suspect,
    #[n(2)]
    Dead,
    #[n(3)]
    Left,
}

impl MemberState {
    /// Whether the member counts as present. A suspect does until its suspicion times out.
    pub fn is_present(self) -> bool {
        self <= MemberState::Suspect
    }

    /// The state's name in the answer of `GET /fleet`, which is part of the operators' interface and must not change.
    pub fn as_str(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspected",
            MemberState::Dead => "dead",
            MemberState::Left => "left",
        }
    }
}

/// The lifecycle phase that a node announces. It is a number, so that an unknown phase of a newer build is passed on
/// unchanged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct Phase(#[n(0)] pub u8);

impl Phase {
    /// The node has no backend list yet, or its predecessor still holds the connections.
    pub const JOINING: Phase = Phase(0);
    pub const SERVING: Phase = Phase(1);
    /// The operators drain the node: its clients are sent away.
    pub const DRAINING: Phase = Phase(2);
    pub const STOPPING: Phase = Phase(3);
    /// The new process of an upgrade, while the old one finishes its commands in flight.
    pub const UPGRADING: Phase = Phase(4);
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match *self {
            Phase::JOINING => f.write_str("joining"),
            Phase::SERVING => f.write_str("serving"),
            Phase::DRAINING => f.write_str("sent away"),
            Phase::STOPPING => f.write_str("stopping"),
            Phase::UPGRADING => f.write_str("upgrading"),
            Phase(other) => write!(f, "phase {other}"),
        }
    }
}

/// What a node announces to the whole fleet about itself. It changes rarely, and each change raises the incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct NodeInfo {
    /// The address on which the node receives datagrams.
    #[cbor(n(0), with = "address_bytes")]
    pub address: SocketAddr,
    #[cbor(n(1), default)]
    pub site: String,
    #[cbor(n(2), default)]
    pub build: String,
    /// A digest of the node's settings: equal for equal settings.
    #[cbor(n(3), default)]
    pub settings_digest: u64,
    #[cbor(n(4), default)]
    pub phase: Phase,
    /// The node's slot among the nodes that its settings configure, and the number of slots.
    #[cbor(n(5), default)]
    pub slot: u32,
    #[cbor(n(6), default)]
    pub slots: u32,
}

/// A node's current load. It is sent with acks only and is not gossiped further.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Load {
    #[cbor(n(0), default)]
    pub in_flight: u32,
    /// Commands accepted since the start.
    #[cbor(n(1), default)]
    pub accepted: u64,
    /// Backends on the node's list, the version of the list, and the milliseconds since discovery last answered.
    #[cbor(n(2), default)]
    pub backend_count: u32,
    #[cbor(n(3), default)]
    pub list_version: u64,
    #[cbor(n(4), default)]
    pub list_age_ms: u64,
}

/// Encodes a socket address as 4 or 16 bytes of IP address and 2 bytes of port.
pub(crate) mod address_bytes {
    use super::*;

    pub fn encode<C, W: Write>(
        address: &SocketAddr,
        e: &mut Encoder<W>,
        _: &mut C,
    ) -> Result<(), minicbor::encode::Error<W::Error>> {
        let mut bytes = match address.ip() {
            IpAddr::V4(ip) => ip.octets().to_vec(),
            IpAddr::V6(ip) => ip.octets().to_vec(),
        };
        bytes.extend(address.port().to_be_bytes());
        e.bytes(&bytes)?;
        Ok(())
    }

    pub fn decode<C>(d: &mut Decoder, _: &mut C) -> Result<SocketAddr, Error> {
        let bytes = d.bytes()?;
        let malformed = || Error::message("malformed socket address");
        let (host, port) = bytes.split_last_chunk::<2>().ok_or_else(malformed)?;
        let host = match host.len() {
            4 => IpAddr::from(<[u8; 4]>::try_from(host).map_err(|_| malformed())?),
            16 => IpAddr::from(<[u8; 16]>::try_from(host).map_err(|_| malformed())?),
            _ => return Err(malformed()),
        };
        Ok(SocketAddr::new(host, u16::from_be_bytes(*port)))
    }
}
