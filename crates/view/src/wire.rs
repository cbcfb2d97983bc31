//! The words between nodes: one CBOR map a datagram, of at most 1,200 bytes. Keys that a build does not know are skipped,
//! and a key that is not there has its least value, so that two builds live side by side.

use crate::node_info::{place, Card, Edition, Life, Load, Standing};
use minicbor::{Decode, Encode};
use std::net::SocketAddr;

/// Of the words below. Datagrams of another one are counted and dropped.
pub const VERSION: u8 = 1;
/// The largest datagram, in bytes: it passes every way unbroken.
pub const LARGEST: usize = 1200;
/// The longest name, site, build or fleet, in bytes.
pub const LONGEST_TEXT: usize = 64;
/// Lives and editions from here on are no honest ones: a start in the year 5000, and a refutation each millisecond for
/// three weeks.
const LIVES: u64 = 100_000_000_000_000_000;
const EDITIONS: u32 = 1 << 31;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum Kind {
    /// Are you there? Answered with the same number.
    #[n(0)]
    Ask,
    #[n(1)]
    Answer,
    /// Ask another one for me.
    #[n(2)]
    AskFor,
    /// I have asked for you, and nobody has answered me: the way between the two of us is good.
    #[n(3)]
    Nothing,
    /// News alone, owed no answer.
    #[n(4)]
    Tell,
    /// Sums of all that I hold to be here, to find what one of us has missed; answered by news.
    #[n(5)]
    Sums,
}

/// One thing about a member.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub struct News {
    #[n(0)]
    pub name: String,
    #[n(1)]
    pub life: Life,
    #[n(2)]
    pub edition: Edition,
    #[n(3)]
    pub standing: Standing,
    /// Who says so first hand, of a suspicion or a death.
    #[n(4)]
    pub by: Option<String>,
    /// The edition that its card came with: without the card the news is of use to those who have that one.
    #[n(5)]
    pub carded: Edition,
    #[n(6)]
    pub card: Option<Card>,
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
    pub ask: u32,
    #[n(4)]
    pub from: String,
    #[n(5)]
    pub life: Life,
    #[n(6)]
    pub edition: Edition,
    #[cbor(n(7), with = "place")]
    pub address: SocketAddr,
    /// Who is asked, or is to be asked.
    #[n(8)]
    pub target: Option<String>,
    /// Of all that the sender holds to be here, and how many these are.
    #[cbor(n(9), default)]
    pub digest: u64,
    #[cbor(n(10), default)]
    pub here: u32,
    #[n(11)]
    pub load: Option<Load>,
    #[cbor(n(12), with = "minicbor::bytes", default)]
    pub sums: Option<Vec<u8>>,
    /// Of sums: owed news alone, no sums; and with cards.
    #[n(13)]
    pub last: Option<bool>,
    #[n(14)]
    pub whole: Option<bool>,
    #[n(15)]
    pub news: Option<Vec<News>>,
}

impl News {
    pub(crate) fn honest(&self) -> bool {
        let texts = [Some(&self.name), self.by.as_ref()];
        let card = self.card.iter().flat_map(|card| [&card.site, &card.build]);
        texts.into_iter().flatten().chain(card).all(|text| text.len() <= LONGEST_TEXT)
            && !self.name.is_empty()
            && self.life.0 < LIVES
            && self.edition.0 < EDITIONS
    }

    /// Its size in a datagram, in bytes.
    pub(crate) fn size(&self) -> usize {
        minicbor::to_vec(self).map_or(LARGEST, |bytes| bytes.len())
    }
}

impl Datagram {
    /// Its size as it is, in bytes.
    pub(crate) fn size(&self) -> usize {
        minicbor::to_vec(self).map_or(LARGEST, |bytes| bytes.len())
    }

    /// Its bytes; none if they are more than a datagram has.
    pub fn bytes(&self) -> Option<Vec<u8>> {
        minicbor::to_vec(self).ok().filter(|bytes| bytes.len() <= LARGEST)
    }

    /// What these bytes say, or why they say nothing. The work is bounded by their number.
    pub fn read(bytes: &[u8]) -> Result<Datagram, Unread> {
        if bytes.len() > LARGEST {
            return Err(Unread::Malformed);
        }
        let datagram: Datagram = minicbor::decode(bytes).map_err(|_| Unread::Malformed)?;
        if datagram.version != VERSION {
            return Err(Unread::OtherVersion);
        }
        let named = (1..=LONGEST_TEXT).contains(&datagram.from.len());
        let target = datagram.target.as_ref().is_none_or(|target| target.len() <= LONGEST_TEXT);
        let news = datagram.news.iter().flatten().all(News::honest);
        match named && target && news && datagram.life.0 < LIVES && datagram.edition.0 < EDITIONS {
            true => Ok(datagram),
            false => Err(Unread::Malformed),
        }
    }
}

/// Why bytes are no datagram of ours.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    Malformed,
    OtherVersion,
}
