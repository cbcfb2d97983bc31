//! What the balancing decisions may take from a view: among how many nodes the fleet-wide limits are divided, and this
//! node's index among them.
//!
//! A view may be wrong, and a cold backend must not be overloaded because of that. The settings configure `S` slots. A
//! node that owns a slot may use a share of `1/S`. It uses less whenever it sees more nodes than slots. It uses more only
//! while it has seen a majority of the slots without interruption for longer than `takeover_delay`, and even then it
//! leaves a half share, `1/2S`, to each missing slot. A node keeps to the half share if it has not seen a majority within
//! `release_after`, has just started, or was stalled. A node without a slot of its own takes nothing until it has been in
//! a majority for `takeover_delay`. Two majorities of the same slots have a node in common, so at most one side of a
//! partition uses more than its share. By the time it does (`takeover_delay` is at least four times `release_after`) the
//! nodes outside have released theirs: the shares sum to at most one. `docs/view.md` has the full argument, and the
//! search in `crates/fleet` checks it.

use crate::config::Timing;
use crate::node_info::MemberState;
use crate::view::View;
use std::collections::BTreeMap;
use yarrowfront::times::{Micros, Timestamp};

/// The node count that stands for no share: a share of one millionth, which counts as nothing.
pub const NO_SHARE: u32 = 1_000_000;

/// A node's share: one of `nodes` equal parts, at position `index`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    pub nodes: u32,
    pub index: u32,
    /// After this time the share is stale and `ShareTracker::fallback` applies.
    pub valid_until: Timestamp,
    pub reason: ShareReason,
}

/// Why a node takes the share that it takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareReason {
    /// The share that the settings configure.
    Configured,
    /// The node has just started, or has just returned to a majority.
    Settling,
    /// The node does not see a majority of the slots.
    NoMajority,
    /// There are more nodes than slots, or the node has no slot of its own.
    ExtraNodes,
    /// Slots have been missing for so long that the other nodes divide most of their shares.
    SlotsMissing,
}

impl ShareReason {
    /// The reason in words. The answer of `GET /fleet` contains these texts, so they are part of the operators' interface
    /// and must not change.
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

/// How the configured slots are occupied, according to a view.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SlotOccupancy {
    /// Slots with exactly one holder, which is alive. This node's own slot is included.
    pub live: u32,
    /// Slots that no node has held for longer than `takeover_delay`.
    pub missing: u32,
    /// Nodes without a slot of their own that may be running.
    pub extra_nodes: u32,
    /// Whether this node has a slot of its own.
    pub owns_slot: bool,
    /// The number of slots before this node's that are not missing.
    pub preceding: u32,
}

impl SlotOccupancy {
    /// Counts the occupancy of the configured slots.
    pub fn from_view(view: &View, slots: u32, now: Timestamp, takeover_delay: Micros) -> SlotOccupancy {
        let mut holders: BTreeMap<u32, (u32, bool, bool)> = BTreeMap::new();
        let mut extra_nodes = 0;
        let own_info = view.info();
        let own = [(view.name(), own_info, MemberState::Alive, Timestamp(0))];
        let others = view.members().map(|(name, m)| (name, &m.info, m.state, m.state_since));
        for (_, info, state, since) in own.into_iter().chain(others) {
            // A node that has been gone for less than the delay may still be running.
            let is_gone = !state.is_present() && now.since(since) >= takeover_delay;
            if is_gone {
                continue;
            }
            if info.slots == slots && info.slot < slots {
                let slot = holders.entry(info.slot).or_default();
                slot.0 += 1;
                slot.1 |= state == MemberState::Alive;
                extra_nodes += u32::from(slot.0 > 1);
            } else {
                extra_nodes += 1;
            }
        }
        let has_live_holder = |slot: &&(u32, bool, bool)| slot.0 == 1 && slot.1;
        SlotOccupancy {
            live: holders.values().filter(has_live_holder).count() as u32,
            missing: slots - holders.len() as u32,
            extra_nodes,
            owns_slot: own_info.slots == slots && holders.get(&own_info.slot).is_some_and(|slot| slot.0 == 1),
            preceding: holders.range(..own_info.slot).count() as u32,
        }
    }

    /// Whether this node sees more than half of the slots.
    pub fn has_majority(&self, slots: u32) -> bool {
        self.live * 2 > slots
    }
}

/// Derives a node's share from its view and remembers for how long it has seen a majority.
#[derive(Clone, Debug)]
pub struct ShareTracker {
    timing: Timing,
    started_at: Timestamp,
    /// Since when a majority has been seen without interruption, and when one was seen last.
    majority_since: Option<Timestamp>,
    majority_seen: Option<Timestamp>,
    /// The node keeps to the half share: since it started, or last lost the majority, it has not yet been in one for
    /// `takeover_delay`.
    holds_back: bool,
}

impl ShareTracker {
    pub fn new(now: Timestamp, timing: Timing) -> ShareTracker {
        ShareTracker { timing, started_at: now, majority_since: None, majority_seen: None, holds_back: true }
    }

    /// The share while nothing is known: the half share of a slot, or the whole if there is only one slot.
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

    /// Computes the share of the node at slot `index` of the configured `slots` from its view.
    pub fn update(&mut self, now: Timestamp, view: &View, slots: u32, index: u32) -> Share {
        let occupancy = SlotOccupancy::from_view(view, slots.max(1), now, self.timing.takeover_delay);
        let is_recent = |at: Timestamp| now.since(at) <= self.timing.release_after;
        let has_recent_answer = view.present_count() == 1 || view.last_answered().is_some_and(is_recent);
        self.resumed(view.running_since());
        self.decide(now, &occupancy, has_recent_answer, slots.max(1), index)
    }

    /// Tells the tracker that the node started, or resumed after a stall, at `since`. A majority seen before that no
    /// longer counts, because other nodes may have taken over the share meanwhile and have to be seen first.
    pub fn resumed(&mut self, since: Timestamp) {
        if since > self.started_at {
            (self.started_at, self.majority_since, self.holds_back) = (since, None, true);
        }
    }

    /// Decides the share by the rule in the module documentation. `has_recent_answer` states whether another node has
    /// answered recently.
    pub fn decide(
        &mut self,
        now: Timestamp,
        occupancy: &SlotOccupancy,
        has_recent_answer: bool,
        slots: u32,
        index: u32,
    ) -> Share {
        let release = self.timing.release_after;
        let majority = occupancy.has_majority(slots) && (has_recent_answer || slots == 1);
        if !majority {
            self.majority_since = None;
        }
        if majority {
            self.majority_since = self.majority_since.or(Some(now));
            self.majority_seen = Some(now);
        }
        let settled_for = |span: Micros| self.majority_since.is_some_and(|since| now.since(since) >= span);
        let recently_seen =
            self.majority_seen.is_some_and(|at| at >= self.started_at && now.since(at) < release);
        let valid_until = now + release;
        let half_share = Share { valid_until, ..ShareTracker::fallback(slots, index, now) };
        // With a single slot its owner has the whole share from its start on, as it has without a view, so nothing is
        // left for another node.
        if !occupancy.owns_slot && (slots == 1 || !settled_for(self.timing.takeover_delay)) {
            return Share { nodes: NO_SHARE, index: 0, valid_until, reason: ShareReason::ExtraNodes };
        }
        // The other nodes notice a returning node only when its updates have spread. Until then they may still leave it
        // no more than a half share.
        self.holds_back = !recently_seen || self.holds_back && !settled_for(self.timing.takeover_delay);
        if self.holds_back {
            return Share {
                reason: if recently_seen { ShareReason::Settling } else { ShareReason::NoMajority },
                ..half_share
            };
        }
        let missing = if settled_for(self.timing.takeover_delay) { occupancy.missing } else { 0 };
        // The nodes present divide what the half shares of the missing slots leave.
        let node_count = u64::from(slots - missing + occupancy.extra_nodes).max(1);
        let (half_shares, remaining) = (u64::from(2 * slots), u64::from(2 * slots - missing));
        let nodes = (node_count * half_shares).div_ceil(remaining) as u32;
        let reason = match () {
            () if occupancy.extra_nodes > 0 => ShareReason::ExtraNodes,
            () if missing > 0 => ShareReason::SlotsMissing,
            () => ShareReason::Configured,
        };
        let index = if reason == ShareReason::Configured {
            index
        } else {
            spread_index(occupancy.preceding, node_count as u32, nodes)
        };
        Share { nodes, index, valid_until, reason }
    }
}

/// Maps a position among `holders` to one among `nodes`, evenly spaced.
fn spread_index(slot: u32, holders: u32, nodes: u32) -> u32 {
    (u64::from(slot) * u64::from(nodes) / u64::from(holders.max(1))) as u32
}
