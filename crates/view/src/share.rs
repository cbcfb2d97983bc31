//! What the decisions may take from a view: how many nodes share what all share, and this node's place among them.
//!
//! A view may be wrong, and a cold backend must not be pushed over for that. Of `S` places that the settings state a
//! node that has one may count on `1/S`. It counts on less whenever it sees more nodes than places. It counts on more
//! only while it sees a majority of the places without a break for longer than `sure`, and then leaves a half portion,
//! `1/2S`, to each place that is missing. A node that has not seen a majority within `release`, has just begun, or was
//! kept from its work keeps to that half portion; one without a place of its own takes nothing until it has been
//! among a majority for `sure`. Majorities of one number of places meet in a node, so at most one side of any partition
//! counts on more, and by the time it does (`sure` is at least four times `release`) whoever is not of it has let go:
//! portions sum to one at most. `docs/view.md` has the argument whole, and a search shows it.

use crate::card::Standing;
use crate::terms::Times;
use crate::view::View;
use std::collections::BTreeMap;
use yarrowfront::times::{Micros, Timestamp};

/// One part of so many, for nodes that take nothing of what all share.
pub const NONE: u32 = 1_000_000;

/// Plain facts for the decisions: as one of so many nodes, at that place among them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    pub nodes: u32,
    pub me: u32,
    /// Past this the facts are too old: `Sharer::without` holds.
    pub until: Timestamp,
    pub why: Why,
}

/// Why a node takes the portion that it takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// As the settings have it.
    Stated,
    /// It has just begun, or come back to a majority.
    Fresh,
    /// It does not see a majority of the places.
    Unsure,
    /// More nodes than places are there, or it has no place of its own.
    Crowded,
    /// Places have been missing for so long that the others share most of their portions.
    Missing,
}

impl Why {
    pub fn word(self) -> &'static str {
        match self {
            Why::Stated => "as the settings have it",
            Why::Fresh => "this node has just begun, or come back",
            Why::Unsure => "this node sees no majority of the places",
            Why::Crowded => "there are more nodes than places",
            Why::Missing => "places have been missing for long",
        }
    }
}

/// What a look at the view finds of the places.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Places {
    /// Places whose one holder is taken to be alive, this node's own among them.
    pub seen: u32,
    /// Places that nobody has held for longer than `sure`.
    pub missing: u32,
    /// Nodes without a place of their own that may be there.
    pub extra: u32,
    /// Whether this node has a place of its own.
    pub own: bool,
    /// How many with a place come before this node's, of those that are not missing.
    pub before: u32,
}

impl Places {
    /// Of so many places, at that moment.
    pub fn of(view: &View, places: u32, now: Timestamp, sure: Micros) -> Places {
        let mut held: BTreeMap<u32, (u32, bool, bool)> = BTreeMap::new();
        let mut extra = 0;
        let mine = view.card();
        let own = [(view.name(), mine, Standing::Alive, Timestamp(0))];
        let others = view.members().map(|(name, m)| (name, &m.card, m.standing, m.since));
        for (_, card, standing, since) in own.into_iter().chain(others) {
            // Gone, but not for long enough: it may be there.
            let gone = !standing.here() && now.since(since) >= sure;
            if gone {
                continue;
            }
            if card.places == places && card.place < places {
                let place = held.entry(card.place).or_default();
                place.0 += 1;
                place.1 |= standing == Standing::Alive;
                extra += u32::from(place.0 > 1);
            } else {
                extra += 1;
            }
        }
        let single = |place: &&(u32, bool, bool)| place.0 == 1 && place.1;
        Places {
            seen: held.values().filter(single).count() as u32,
            missing: places - held.len() as u32,
            extra,
            own: mine.places == places && held.get(&mine.place).is_some_and(|place| place.0 == 1),
            before: held.range(..mine.place).count() as u32,
        }
    }

    pub fn majority(&self, places: u32) -> bool {
        self.seen * 2 > places
    }
}

/// Keeps what it takes to know how long something has been so.
#[derive(Clone, Debug)]
pub struct Sharer {
    times: Times,
    began: Timestamp,
    /// Without a break since, and seen last.
    since: Option<Timestamp>,
    seen: Option<Timestamp>,
    /// It has not yet been among a majority for `sure` since it was out of one, or began.
    out: bool,
}

impl Sharer {
    pub fn new(now: Timestamp, times: Times) -> Sharer {
        Sharer { times, began: now, since: None, seen: None, out: true }
    }

    /// What holds while nothing is known: the half portion of a place, or none.
    pub fn without(places: u32, me: u32, now: Timestamp) -> Share {
        let (places, me) = (places.max(1), me);
        let nodes = if places == 1 { 1 } else { places * 2 };
        Share { nodes, me: (me % places) * (nodes / places), until: now, why: Why::Unsure }
    }

    /// Looks at the view, for a node whose settings state so many places and that it has that one.
    pub fn look(&mut self, now: Timestamp, view: &View, places: u32, me: u32) -> Share {
        let found = Places::of(view, places.max(1), now, self.times.sure);
        let lately = |at: Timestamp| now.since(at) <= self.times.release;
        let heard = view.here() == 1 || view.answered().is_some_and(lately);
        self.awake(view.awake_since());
        self.choose(now, &found, heard, places.max(1), me)
    }

    /// It began, or was kept from its work until then: what it saw of a majority before that counts for nothing, and
    /// whoever took over from it meanwhile has to be seen first.
    pub fn awake(&mut self, since: Timestamp) {
        if since > self.began {
            (self.began, self.since, self.out) = (since, None, true);
        }
    }

    /// The rule itself.
    pub fn choose(&mut self, now: Timestamp, found: &Places, heard: bool, places: u32, me: u32) -> Share {
        let release = self.times.release;
        let majority = found.majority(places) && (heard || places == 1);
        if !majority {
            self.since = None;
        }
        if majority {
            self.since = self.since.or(Some(now));
            self.seen = Some(now);
        }
        let settled = |span: Micros| self.since.is_some_and(|since| now.since(since) >= span);
        let seen = self.seen.is_some_and(|at| at >= self.began && now.since(at) < release);
        let until = now + release;
        let half = Share { until, ..Sharer::without(places, me, now) };
        // The only place's own node has the whole from its start on, as it has without a view: nothing is left beside it.
        if !found.own && (places == 1 || !settled(self.times.sure)) {
            return Share { nodes: NONE, me: 0, until, why: Why::Crowded };
        }
        // Whoever comes back is seen to be there only when its news has gone round: until then the others may still
        // have left it no more than a half.
        self.out = !seen || self.out && !settled(self.times.sure);
        if self.out {
            return Share { why: if seen { Why::Fresh } else { Why::Unsure }, ..half };
        }
        let missing = if settled(self.times.sure) { found.missing } else { 0 };
        // All that are there share what the half portions of the missing leave.
        let holders = u64::from(places - missing + found.extra).max(1);
        let (whole, left) = (u64::from(2 * places), u64::from(2 * places - missing));
        let nodes = (holders * whole).div_ceil(left) as u32;
        let why = match () {
            () if found.extra > 0 => Why::Crowded,
            () if missing > 0 => Why::Missing,
            () => Why::Stated,
        };
        let me = if why == Why::Stated { me } else { spread(found.before, holders as u32, nodes) };
        Share { nodes, me, until, why }
    }
}

/// A place among `holders` as one among `nodes`, evenly apart.
fn spread(place: u32, holders: u32, nodes: u32) -> u32 {
    (u64::from(place) * u64::from(nodes) / u64::from(holders.max(1))) as u32
}
