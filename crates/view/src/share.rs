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

use crate::config::Timing;
use crate::node_info::MemberState;
use crate::view::View;
use std::collections::BTreeMap;
use yarrowfront::times::{Micros, Timestamp};

/// One part of so many, for nodes that take nothing of what all share.
pub const NO_SHARE: u32 = 1_000_000;

/// Plain facts for the decisions: as one of so many nodes, at that place among them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    pub nodes: u32,
    pub index: u32,
    /// Past this the facts are too old: `Sharer::without` holds.
    pub valid_until: Timestamp,
    pub reason: ShareReason,
}

/// Why a node takes the portion that it takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareReason {
    /// As the settings have it.
    Configured,
    /// It has just begun, or come back to a majority.
    Settling,
    /// It does not see a majority of the places.
    NoMajority,
    /// More nodes than places are there, or it has no place of its own.
    ExtraNodes,
    /// Places have been missing for so long that the others share most of their portions.
    SlotsMissing,
}

impl ShareReason {
    pub fn as_str(self) -> &'static str {
        match self {
            ShareReason::Configured => "as the settings have it",
            ShareReason::Settling => "this node has just begun, or come back",
            ShareReason::NoMajority => "this node sees no majority of the places",
            ShareReason::ExtraNodes => "there are more nodes than places",
            ShareReason::SlotsMissing => "places have been missing for long",
        }
    }
}

/// What a look at the view finds of the places.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SlotOccupancy {
    /// Places whose one holder is taken to be alive, this node's own among them.
    pub live: u32,
    /// Places that nobody has held for longer than `sure`.
    pub missing: u32,
    /// Nodes without a place of their own that may be there.
    pub extra_nodes: u32,
    /// Whether this node has a place of its own.
    pub owns_slot: bool,
    /// How many with a place come before this node's, of those that are not missing.
    pub preceding: u32,
}

impl SlotOccupancy {
    /// Of so many places, at that moment.
    pub fn from_view(view: &View, slots: u32, now: Timestamp, takeover_delay: Micros) -> SlotOccupancy {
        let mut held: BTreeMap<u32, (u32, bool, bool)> = BTreeMap::new();
        let mut extra_nodes = 0;
        let mine = view.info();
        let own = [(view.name(), mine, MemberState::Alive, Timestamp(0))];
        let others = view.members().map(|(name, m)| (name, &m.info, m.state, m.state_since));
        for (_, info, state, since) in own.into_iter().chain(others) {
            // Gone, but not for long enough: it may be there.
            let gone = !state.is_present() && now.since(since) >= takeover_delay;
            if gone {
                continue;
            }
            if info.slots == slots && info.slot < slots {
                let slot = held.entry(info.slot).or_default();
                slot.0 += 1;
                slot.1 |= state == MemberState::Alive;
                extra_nodes += u32::from(slot.0 > 1);
            } else {
                extra_nodes += 1;
            }
        }
        let single = |slot: &&(u32, bool, bool)| slot.0 == 1 && slot.1;
        SlotOccupancy {
            live: held.values().filter(single).count() as u32,
            missing: slots - held.len() as u32,
            extra_nodes,
            owns_slot: mine.slots == slots && held.get(&mine.slot).is_some_and(|slot| slot.0 == 1),
            preceding: held.range(..mine.slot).count() as u32,
        }
    }

    pub fn has_majority(&self, slots: u32) -> bool {
        self.live * 2 > slots
    }
}

/// Keeps what it takes to know how long something has been so.
#[derive(Clone, Debug)]
pub struct ShareTracker {
    timing: Timing,
    started_at: Timestamp,
    /// Without a break since, and seen last.
    majority_since: Option<Timestamp>,
    majority_seen: Option<Timestamp>,
    /// It has not yet been among a majority for `sure` since it was out of one, or began.
    holds_back: bool,
}

impl ShareTracker {
    pub fn new(now: Timestamp, timing: Timing) -> ShareTracker {
        ShareTracker { timing, started_at: now, majority_since: None, majority_seen: None, holds_back: true }
    }

    /// What holds while nothing is known: the half portion of a place, or none.
    pub fn fallback(slots: u32, index: u32, now: Timestamp) -> Share {
        let (slots, index) = (slots.max(1), index);
        let nodes = if slots == 1 { 1 } else { slots * 2 };
        Share {
            nodes,
            index: (index % slots) * (nodes / slots),
            valid_until: now,
            reason: ShareReason::NoMajority,
        }
    }

    /// Looks at the view, for a node whose settings state so many places and that it has that one.
    pub fn update(&mut self, now: Timestamp, view: &View, slots: u32, index: u32) -> Share {
        let found = SlotOccupancy::from_view(view, slots.max(1), now, self.timing.takeover_delay);
        let lately = |at: Timestamp| now.since(at) <= self.timing.release_after;
        let heard = view.present_count() == 1 || view.last_answered().is_some_and(lately);
        self.resumed(view.running_since());
        self.decide(now, &found, heard, slots.max(1), index)
    }

    /// It began, or was kept from its work until then: what it saw of a majority before that counts for nothing, and
    /// whoever took over from it meanwhile has to be seen first.
    pub fn resumed(&mut self, since: Timestamp) {
        if since > self.started_at {
            (self.started_at, self.majority_since, self.holds_back) = (since, None, true);
        }
    }

    /// The rule itself.
    pub fn decide(
        &mut self,
        now: Timestamp,
        found: &SlotOccupancy,
        heard: bool,
        slots: u32,
        index: u32,
    ) -> Share {
        let release = self.timing.release_after;
        let majority = found.has_majority(slots) && (heard || slots == 1);
        if !majority {
            self.majority_since = None;
        }
        if majority {
            self.majority_since = self.majority_since.or(Some(now));
            self.majority_seen = Some(now);
        }
        let settled = |span: Micros| self.majority_since.is_some_and(|since| now.since(since) >= span);
        let seen = self.majority_seen.is_some_and(|at| at >= self.started_at && now.since(at) < release);
        let valid_until = now + release;
        let half = Share { valid_until, ..ShareTracker::fallback(slots, index, now) };
        // The only place's own node has the whole from its start on, as it has without a view: nothing is left beside it.
        if !found.owns_slot && (slots == 1 || !settled(self.timing.takeover_delay)) {
            return Share { nodes: NO_SHARE, index: 0, valid_until, reason: ShareReason::ExtraNodes };
        }
        // Whoever comes back is seen to be there only when its news has gone round: until then the others may still
        // have left it no more than a half.
        self.holds_back = !seen || self.holds_back && !settled(self.timing.takeover_delay);
        if self.holds_back {
            return Share {
                reason: if seen { ShareReason::Settling } else { ShareReason::NoMajority },
                ..half
            };
        }
        let missing = if settled(self.timing.takeover_delay) { found.missing } else { 0 };
        // All that are there share what the half portions of the missing leave.
        let holders = u64::from(slots - missing + found.extra_nodes).max(1);
        let (whole, left) = (u64::from(2 * slots), u64::from(2 * slots - missing));
        let nodes = (holders * whole).div_ceil(left) as u32;
        let reason = match () {
            () if found.extra_nodes > 0 => ShareReason::ExtraNodes,
            () if missing > 0 => ShareReason::SlotsMissing,
            () => ShareReason::Configured,
        };
        let index = if reason == ShareReason::Configured {
            index
        } else {
            spread_index(found.preceding, holders as u32, nodes)
        };
        Share { nodes, index, valid_until, reason }
    }
}

/// A place among `holders` as one among `nodes`, evenly apart.
fn spread_index(slot: u32, holders: u32, nodes: u32) -> u32 {
    (u64::from(slot) * u64::from(nodes) / u64::from(holders.max(1))) as u32
}
