//! A state-space search of small fleets around the real `View` and the real share rule. All orders of transitions are
//! explored up to a given depth, and long random walks go beyond it: a datagram is delivered, dropped or duplicated, time
//! advances, a node restarts, links are cut and healed. The invariants are checked after each transition.

use crate::net::{address, name};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashSet};
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
use yarrowfront::times::{Micros, Timestamp};
use yarrowfront_view::config::ViewConfig;
use yarrowfront_view::node_info::{Generation, Incarnation, MemberState, NodeInfo, Phase};
use yarrowfront_view::share::{Share, ShareReason, ShareTracker, SlotOccupancy, NO_SHARE};
use yarrowfront_view::view::View;
use yarrowfront_view::wire::{Datagram, Kind};

/// A transition of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The first datagram on the link from one node to another is delivered, delivered and kept, or dropped.
    Deliver(usize, usize),
    Duplicate(usize, usize),
    Drop(usize, usize),
    /// Time advances to the next timeout of any node, which is handled.
    AdvanceTime,
    /// The node restarts, with its clock set back if the flag is set.
    Restart(usize, bool),
    /// Only nodes with the same bit in this mask can reach each other.
    Partition(u8),
}

/// A violated invariant, and the transitions that led to it.
#[derive(Clone, Debug)]
pub struct Violation {
    pub description: String,
    pub path: Vec<Transition>,
}

/// The extent of a search.
#[derive(Clone, Copy, Debug, Default)]
pub struct SearchStats {
    pub states: usize,
    pub steps: usize,
}

/// A fault put into the datagrams or into the share rule, to show that the invariants detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    None,
    /// Higher incarnations arrive as incarnation 0.
    NoRefutation,
    /// Updates about the receiver itself are lost.
    NoSelfReports,
    /// Checksums, and the updates that answer them, are lost.
    NoChecksums,
    /// Probes of seeds and dead members are lost.
    NoReconnect,
    /// Updates arrive without `NodeInfo`.
    NoNodeInfo,
    /// A node restarts with the generation that it had.
    SameGeneration,
    /// A node without a majority keeps its whole share.
    NoRelease,
    /// A share is taken over as soon as its holder is missing.
    NoTakeoverDelay,
    /// Any side of a partition takes itself for the majority.
    NoMajority,
    /// No half share is left to missing nodes.
    NoHalfShares,
    /// A node that returns to a majority takes its whole share at once.
    NoSettling,
    /// A node without a slot takes a share like the others.
    NoEmptyShare,
}

pub const INJECTED_FAULTS: [InjectedFault; 12] = [
    InjectedFault::NoRefutation,
    InjectedFault::NoSelfReports,
    InjectedFault::NoChecksums,
    InjectedFault::NoReconnect,
    InjectedFault::NoNodeInfo,
    InjectedFault::SameGeneration,
    InjectedFault::NoRelease,
    InjectedFault::NoTakeoverDelay,
    InjectedFault::NoMajority,
    InjectedFault::NoHalfShares,
    InjectedFault::NoSettling,
    InjectedFault::NoEmptyShare,
];

#[derive(Clone)]
struct Node {
    view: View,
    share_tracker: ShareTracker,
    share: Share,
    share_updated_at: Timestamp,
}

#[derive(Clone)]
struct FleetModel {
    now: Timestamp,
    nodes: Vec<Node>,
    /// Datagrams in transit, by sender and receiver, limited to a few per link, as in a network.
    links: BTreeMap<(usize, usize), Vec<Vec<u8>>>,
    partition_mask: u8,
    highest: BTreeMap<usize, (Generation, Incarnation)>,
    restarts: u8,
    /// The number of configured slots. Nodes beyond it have no slot of their own.
    slots: u32,
    fault: InjectedFault,
}

/// The most datagrams in transit on a link. Further ones are dropped.
const MAX_DATAGRAMS_PER_LINK: usize = 3;
/// The time between two updates of a node's share, as in the node.
const SHARE_INTERVAL: Micros = Micros::from_millis(200);

fn config(node: usize, nodes: usize) -> ViewConfig {
    let times = "[times]\nperiod = 200\nseeds = 400\nrelease = 1000\nsure = 6000\nforget = 20000";
    let seeds: Vec<String> = (0..nodes.min(2)).map(|seed| format!("\"{}\"", address(seed))).collect();
    let text = format!(
        "fleet = \"small\"\nlisten = \"{}\"\nnetworks = [\"127.0.0.0/8\"]\nseeds = [{}]\n{times}",
        address(node),
        seeds.join(", ")
    );
    ViewConfig::from_toml(&text).unwrap_or_else(|why| panic!("{why}"))
}

impl FleetModel {
    fn new(nodes: usize, slots: u32, fault: InjectedFault) -> FleetModel {
        let mut model = FleetModel {
            now: Timestamp(1_000_000_000),
            nodes: Vec::new(),
            links: BTreeMap::new(),
            partition_mask: 0,
            highest: BTreeMap::new(),
            restarts: 0,
            slots,
            fault,
        };
        model.nodes =
            (0..nodes).map(|node| model.node(node, nodes, Generation(model.now.0 + node as u64))).collect();
        model
    }

    fn node(&self, node: usize, nodes: usize, generation: Generation) -> Node {
        let (config, now) = (config(node, nodes), self.now);
        let info = NodeInfo {
            address: address(node),
            site: String::new(),
            build: String::new(),
            settings_digest: 0,
            phase: Phase::SERVING,
            slot: node as u32,
            slots: self.slots,
        };
        let share_tracker = ShareTracker::new(now, config.timing);
        let share = self.initial_share(node);
        let view = View::new(now, config, &name(node), generation, info, node as u64 + generation.0);
        Node { view, share_tracker, share, share_updated_at: Timestamp(0) }
    }

    /// The share before anything is known.
    fn initial_share(&self, node: usize) -> Share {
        let share = ShareTracker::fallback(self.slots, node as u32, self.now);
        match (node as u32) < self.slots {
            true => share,
            false => Share { nodes: NO_SHARE, ..share },
        }
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        (self.partition_mask >> from) & 1 == (self.partition_mask >> to) & 1
    }

    /// Applies the injected fault to a datagram; `None` if it is lost.
    fn apply_fault(&self, to: usize, bytes: Vec<u8>) -> Option<Vec<u8>> {
        let mut datagram = Datagram::from_bytes(&bytes).ok()?;
        let mut updates = datagram.updates.take().unwrap_or_default();
        match self.fault {
            InjectedFault::NoRefutation => {
                datagram.incarnation = Incarnation(0);
                updates
                    .iter_mut()
                    .filter(|n| n.state == MemberState::Alive)
                    .for_each(|n| n.incarnation = Incarnation(0));
            }
            InjectedFault::NoSelfReports => updates.retain(|n| n.name != name(to)),
            InjectedFault::NoChecksums if datagram.kind == Kind::Checksums => return None,
            InjectedFault::NoChecksums if datagram.kind == Kind::Updates && updates.len() > 1 => return None,
            InjectedFault::NoReconnect
                if datagram.kind == Kind::Ping && datagram.probe_id == 0 && self.now.0 > 1_002_000_000 =>
            {
                return None
            }
            InjectedFault::NoNodeInfo if self.now.0 > 1_002_000_000 => {
                updates.iter_mut().for_each(|n| n.info = None)
            }
            _ => return Some(bytes),
        }
        datagram.updates = (!updates.is_empty()).then_some(updates);
        datagram.to_bytes()
    }

    fn take_outgoing(&mut self, from: usize) {
        while let Some((at, bytes)) = self.nodes[from].view.next_datagram() {
            let Some(to) = (0..self.nodes.len()).find(|to| address(*to) == at) else { continue };
            if !self.can_reach(from, to) {
                continue;
            }
            let bytes = match self.fault {
                InjectedFault::None => Some(bytes),
                _ => self.apply_fault(to, bytes),
            };
            let link = self.links.entry((from, to)).or_default();
            if link.len() < MAX_DATAGRAMS_PER_LINK {
                link.extend(bytes);
            }
        }
        while self.nodes[from].view.next_change().is_some() {}
    }

    fn deliver(&mut self, from: usize, to: usize, keep: bool) {
        let Some(link) = self.links.get_mut(&(from, to)).filter(|link| !link.is_empty()) else { return };
        let bytes = if keep { link[0].clone() } else { link.remove(0) };
        if self.can_reach(from, to) {
            self.nodes[to].view.receive(self.now, address(from), &bytes);
            self.take_outgoing(to);
        }
    }

    fn step(&mut self, transition: Transition) {
        match transition {
            Transition::Deliver(from, to) => self.deliver(from, to, false),
            Transition::Duplicate(from, to) => self.deliver(from, to, true),
            Transition::Drop(from, to) => drop(self.links.get_mut(&(from, to)).map(|link| link.remove(0))),
            Transition::AdvanceTime => {
                let next = self
                    .nodes
                    .iter()
                    .map(|node| node.view.next_timeout().min(node.share_updated_at + SHARE_INTERVAL))
                    .min();
                self.now = next.unwrap_or(self.now).max(self.now);
                for node in 0..self.nodes.len() {
                    if self.nodes[node].view.next_timeout() <= self.now {
                        self.nodes[node].view.handle_timeout(self.now);
                        self.take_outgoing(node);
                    }
                    if self.nodes[node].share_updated_at + SHARE_INTERVAL <= self.now {
                        self.update_share(node);
                    }
                }
            }
            Transition::Restart(node, clock_back) => {
                self.restarts += 1;
                let before = self.nodes[node].view.generation().0;
                let generation = match (self.fault, clock_back) {
                    (InjectedFault::SameGeneration, _) => before,
                    (_, true) => before - 7,
                    _ => self.now.0.max(before + 1),
                };
                if self.fault != InjectedFault::SameGeneration {
                    self.highest.remove(&node);
                }
                self.nodes[node] = self.node(node, self.nodes.len(), Generation(generation));
            }
            Transition::Partition(partition_mask) => self.partition_mask = partition_mask,
        }
    }

    fn update_share(&mut self, node: usize) {
        let slots = self.slots;
        let (now, fault) = (self.now, self.fault);
        let it = &mut self.nodes[node];
        it.share_updated_at = now;
        let index = node as u32;
        it.share = it.share_tracker.update(now, &it.view, slots, index);
        let occupancy = SlotOccupancy::from_view(&it.view, slots, now, Micros(0));
        let whole = |nodes: u32| Share { nodes, ..it.share };
        it.share = match fault {
            InjectedFault::NoRelease if it.share.reason == ShareReason::NoMajority => whole(slots),
            InjectedFault::NoTakeoverDelay if occupancy.has_majority(slots) => {
                whole(slots - occupancy.missing)
            }
            InjectedFault::NoMajority if it.share.reason == ShareReason::NoMajority => {
                whole(slots - occupancy.missing)
            }
            InjectedFault::NoHalfShares if it.share.reason == ShareReason::SlotsMissing => {
                whole(slots - occupancy.missing)
            }
            InjectedFault::NoSettling if it.share.reason == ShareReason::Settling => whole(slots),
            InjectedFault::NoEmptyShare if it.share.nodes == NO_SHARE => whole(slots),
            _ => it.share,
        };
    }

    /// A node's current share, in millionths of the whole.
    fn share_millionths(&self, node: usize) -> u64 {
        let share = &self.nodes[node].share;
        let nodes = if share.valid_until < self.now { self.initial_share(node).nodes } else { share.nodes };
        if nodes == NO_SHARE {
            0
        } else {
            1_000_000 / u64::from(nodes)
        }
    }

    /// Checks the invariants of every state and returns the violated one, if any.
    fn find_violation(&mut self) -> Option<String> {
        for node in 0..self.nodes.len() {
            let view = &self.nodes[node].view;
            let current = (view.generation(), view.incarnation());
            let before = self.highest.entry(node).or_insert(current);
            if current < *before {
                return Some(format!("{} went back from {before:?} to {current:?}", name(node)));
            }
            *before = current;
        }
        let sum: u64 = (0..self.nodes.len()).map(|node| self.share_millionths(node)).sum();
        (sum > 1_000_000).then(|| format!("shares sum to {sum} millionths"))
    }

    /// Heals all links and checks that all views agree, with all nodes alive, within this time. Returns the violation, if
    /// any.
    fn fails_to_settle(&mut self, within: Micros) -> Option<String> {
        self.partition_mask = 0;
        let end = self.now + within;
        let (mut last_time, mut deliveries) = (self.now, 0);
        while self.now < end {
            // Nodes that answer answers would keep the network busy without time advancing.
            deliveries = if self.now > last_time { 0 } else { deliveries + 1 };
            last_time = self.now;
            if deliveries > 10_000 {
                return Some("datagrams are exchanged without end at one point in time".to_owned());
            }
            let links: Vec<(usize, usize)> =
                self.links.iter().filter(|(_, link)| !link.is_empty()).map(|(link, _)| *link).collect();
            match links.is_empty() {
                true => self.step(Transition::AdvanceTime),
                false => links.into_iter().for_each(|(from, to)| self.step(Transition::Deliver(from, to))),
            }
            if let Some(violation) = self.find_violation() {
                return Some(violation);
            }
            let agreed = self.nodes.iter().all(|node| {
                let alive = node.view.members().filter(|(_, m)| m.state == MemberState::Alive).count();
                alive + 1 == self.nodes.len() && node.view.digest() == self.nodes[0].view.digest()
            });
            if agreed {
                return None;
            }
        }
        Some(format!("views do not agree after {} s", within.0 / 1_000_000))
    }

    fn possible_transitions(&self) -> Vec<Transition> {
        let mut all = vec![Transition::AdvanceTime];
        for ((from, to), _) in self.links.iter().filter(|(_, link)| !link.is_empty()) {
            all.extend([Transition::Deliver(*from, *to), Transition::Drop(*from, *to)]);
        }
        if self.restarts == 0 {
            all.extend([Transition::Restart(0, false), Transition::Restart(0, true)]);
        }
        let last = 1u8 << (self.nodes.len() - 1);
        all.push(Transition::Partition(if self.partition_mask == 0 { last } else { 0 }));
        all
    }

    fn state_hash(&self) -> u64 {
        let hasher = BuildHasherDefault::<DefaultHasher>::default();
        let node_hash = |node: &Node| {
            let members: Vec<_> = node
                .view
                .members()
                .map(|(n, m)| (n.to_owned(), m.generation, m.incarnation, m.state))
                .collect();
            let own = (
                node.view.generation(),
                node.view.incarnation(),
                node.view.local_health_score(),
                node.view.next_timeout().0,
            );
            hasher.hash_one((members, own, node.share.nodes))
        };
        let nodes: Vec<u64> = self.nodes.iter().map(node_hash).collect();
        hasher.hash_one((self.now.0, nodes, &self.links, self.partition_mask, self.restarts))
    }
}

/// The longest time in which the views have to agree once all links are healed.
const SETTLE_TIMEOUT: Micros = Micros::from_millis(20_000);

/// Explores all orders of transitions of a fleet of this size up to `depth`. From each final state the views have to agree.
pub fn search_exhaustively(
    nodes: usize,
    depth: usize,
    fault: InjectedFault,
) -> Result<SearchStats, Violation> {
    let mut stats = SearchStats::default();
    let mut visited = HashSet::new();
    let mut frontier: Vec<(FleetModel, Vec<Transition>)> =
        vec![(FleetModel::new(nodes, nodes as u32, fault), Vec::new())];
    for level in 0..=depth {
        let mut next = Vec::new();
        for (model, path) in frontier {
            stats.states += 1;
            if level == depth {
                let mut end = model;
                if let Some(description) = end.fails_to_settle(SETTLE_TIMEOUT) {
                    return Err(Violation { description, path });
                }
                continue;
            }
            for transition in model.possible_transitions() {
                let (mut then, mut path) = (model.clone(), path.clone());
                then.step(transition);
                path.push(transition);
                stats.steps += 1;
                if let Some(description) = then.find_violation() {
                    return Err(Violation { description, path });
                }
                if visited.insert(then.state_hash()) {
                    next.push((then, path));
                }
            }
        }
        frontier = next;
    }
    Ok(stats)
}

/// One random walk of this many transitions, after which the views have to agree.
pub fn random_walk(
    nodes: usize,
    steps: usize,
    seed: u64,
    fault: InjectedFault,
) -> Result<SearchStats, Violation> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    // In every fifth walk there is one node more than slots, and in every third one datagrams are slow.
    let slots = if seed % 5 == 4 { nodes - 1 } else { nodes };
    let slow = seed % 3 == 2;
    let mut model = FleetModel::new(nodes, slots.max(1) as u32, fault);
    let mut path = Vec::new();
    for _ in 0..steps {
        let draw: u32 = rng.random();
        let transition = match slow && (draw >> 8).is_multiple_of(2) {
            true => Transition::AdvanceTime,
            false => draw_transition(&model, draw, &mut rng),
        };
        model.step(transition);
        path.push(transition);
        if let Some(description) = model.find_violation() {
            return Err(Violation { description, path });
        }
    }
    match model.fails_to_settle(SETTLE_TIMEOUT) {
        Some(description) => Err(Violation { description, path }),
        None => Ok(SearchStats { states: steps, steps }),
    }
}

/// Draws a transition. Mostly datagrams are delivered and time advances. Faults are rare and last long enough to be
/// detected.
fn draw_transition(model: &FleetModel, draw: u32, rng: &mut ChaCha8Rng) -> Transition {
    let links: Vec<(usize, usize)> =
        model.links.iter().filter(|(_, link)| !link.is_empty()).map(|(link, _)| *link).collect();
    match (draw % 1000, links.choose(rng)) {
        (0..=1, _) => Transition::Restart(rng.random_range(0..model.nodes.len()), draw.is_multiple_of(2)),
        (2..=4, _) => Transition::Partition((draw >> 10) as u8 & ((1 << model.nodes.len()) - 1)),
        (5..=6, _) => Transition::Partition(0),
        (7..=60, Some((from, to))) => Transition::Drop(*from, *to),
        (61..=90, Some((from, to))) => Transition::Duplicate(*from, *to),
        (_, Some((from, to))) => Transition::Deliver(*from, *to),
        _ => Transition::AdvanceTime,
    }
}
