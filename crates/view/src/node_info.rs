//! What a node tells of itself.

use minicbor::decode::{Decoder, Error};
use minicbor::encode::{Encoder, Write};
use minicbor::{Decode, Encode};
use std::fmt;
use std::net::{IpAddr, SocketAddr};

/// A start number: a name that comes back under a greater one is another life. Unix microseconds at the start, or one
/// more than the greatest that the node has heard of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct Generation(#[n(0)] pub u64);

/// Counts what a node has said of itself in a life: raised to refute, and when its card changes. SWIM's incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct Incarnation(#[n(0)] pub u32);

/// What is believed of a member; of two of one edition the later here holds.
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
    /// Whether it is taken to be there: a suspected one is, until its time is over.
    pub fn is_present(self) -> bool {
        self <= MemberState::Suspect
    }

    pub fn as_str(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspected",
            MemberState::Dead => "dead",
            MemberState::Left => "left",
        }
    }
}

/// What a node does, by its own word. A number, so that one of a newer build is passed on as it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct Phase(#[n(0)] pub u8);

impl Phase {
    /// It has no list yet, or its predecessor still has the connections.
    pub const JOINING: Phase = Phase(0);
    pub const SERVING: Phase = Phase(1);
    /// Clients are sent away by the operators' word.
    pub const DRAINING: Phase = Phase(2);
    pub const STOPPING: Phase = Phase(3);
    /// The new half of an upgrade, while the old one finishes what it has in hand.
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

/// What all are told of a node. It changes seldom, and by a new edition.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct NodeInfo {
    /// Where it hears datagrams.
    #[cbor(n(0), with = "address_bytes")]
    pub address: SocketAddr,
    #[cbor(n(1), default)]
    pub site: String,
    #[cbor(n(2), default)]
    pub build: String,
    /// Of its settings: equal where they are.
    #[cbor(n(3), default)]
    pub settings_digest: u64,
    #[cbor(n(4), default)]
    pub phase: Phase,
    /// Its place among the nodes that the settings state, and how many these are.
    #[cbor(n(5), default)]
    pub slot: u32,
    #[cbor(n(6), default)]
    pub slots: u32,
}

/// What a node tells those whom it asks and answers; nobody passes it on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct Load {
    #[cbor(n(0), default)]
    pub in_flight: u32,
    /// Commands taken since the start.
    #[cbor(n(1), default)]
    pub accepted: u64,
    /// Backends on its list, the list's version, and how long ago discovery last said anything, in milliseconds.
    #[cbor(n(2), default)]
    pub backend_count: u32,
    #[cbor(n(3), default)]
    pub list_version: u64,
    #[cbor(n(4), default)]
    pub list_age_ms: u64,
}

/// An address as bytes: 4 or 16 of the host, 2 of the port.
pub(crate) mod address_bytes {
    use super::*;

    pub fn encode<C, W: Write>(
        at: &SocketAddr,
        e: &mut Encoder<W>,
        _: &mut C,
    ) -> Result<(), minicbor::encode::Error<W::Error>> {
        let mut bytes = match at.ip() {
            IpAddr::V4(ip) => ip.octets().to_vec(),
            IpAddr::V6(ip) => ip.octets().to_vec(),
        };
        bytes.extend(at.port().to_be_bytes());
        e.bytes(&bytes)?;
        Ok(())
    }

    pub fn decode<C>(d: &mut Decoder, _: &mut C) -> Result<SocketAddr, Error> {
        let bytes = d.bytes()?;
        let bad = || Error::message("no address");
        let (host, port) = bytes.split_last_chunk::<2>().ok_or_else(bad)?;
        let host = match host.len() {
            4 => IpAddr::from(<[u8; 4]>::try_from(host).map_err(|_| bad())?),
            16 => IpAddr::from(<[u8; 16]>::try_from(host).map_err(|_| bad())?),
            _ => return Err(bad()),
        };
        Ok(SocketAddr::new(host, u16::from_be_bytes(*port)))
    }
}
