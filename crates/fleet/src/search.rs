//! Small worlds around the real view and the real rule of portions, searched through all orders of what can happen next
//! to a stated depth, and by long drawn walks beyond it: a datagram comes, is lost or comes again, time passes, a node
//! starts again, ways are cut and whole. What is promised is looked at after each step.

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

/// What can happen next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The first datagram on that way comes, comes and stays to come again, or is lost.
    Come(usize, usize),
    Again(usize, usize),
    Lose(usize, usize),
    /// Time goes on to what any node waits for next, and that is done.
    Time,
    /// That node starts again; its clock may have gone back.
    Restart(usize, bool),
    /// Only nodes on one side of this mask reach each other.
    Cut(u8),
}

/// A broken promise, and how it was come to.
#[derive(Clone, Debug)]
pub struct Broken {
    pub promise: String,
    pub path: Vec<Choice>,
}

/// How much was looked at.
#[derive(Clone, Copy, Debug, Default)]
pub struct Looked {
    pub states: usize,
    pub steps: usize,
}

/// A fault that is put between the views, or into the rule, to see that the promises bite.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    None,
    /// Higher editions arrive as the first one.
    NoRefutation,
    /// Nobody hears what is said of himself.
    Deaf,
    /// Sums, and what they ask for, are lost.
    NoSums,
    /// Seeds and the dead are not tried again.
    NoTrying,
    /// News comes without cards.
    NoCards,
    /// A node starts again in the life that it had.
    SameLife,
    /// Whoever sees no majority keeps its whole portion.
    NoRelease,
    /// A portion is taken as soon as its holder is missing.
    NoWaiting,
    /// Any side takes itself for the majority.
    NoMajority,
    /// Nothing is left to the missing.
    NoHalves,
    /// Whoever comes back to a majority takes its whole portion at once.
    NoFresh,
    /// Whoever has no place of its own takes a portion like the others.
    NoNone,
}

pub const SABOTAGES: [Sabotage; 12] = [
    Sabotage::NoRefutation,
    Sabotage::Deaf,
    Sabotage::NoSums,
    Sabotage::NoTrying,
    Sabotage::NoCards,
    Sabotage::SameLife,
    Sabotage::NoRelease,
    Sabotage::NoWaiting,
    Sabotage::NoMajority,
    Sabotage::NoHalves,
    Sabotage::NoFresh,
    Sabotage::NoNone,
];

#[derive(Clone)]
struct Node {
    view: View,
    sharer: ShareTracker,
    share: Share,
    looked: Timestamp,
}

#[derive(Clone)]
struct World {
    now: Timestamp,
    nodes: Vec<Node>,
    /// On the way, by sender and receiver; no more than a few each, as a network holds.
    ways: BTreeMap<(usize, usize), Vec<Vec<u8>>>,
    mask: u8,
    highest: BTreeMap<usize, (Generation, Incarnation)>,
    restarts: u8,
    /// How many places the settings state: nodes beyond them have none of their own.
    slots: u32,
    sabotage: Sabotage,
}

/// Datagrams that a way holds; more are lost, the newest first.
const HELD: usize = 3;
/// Between two looks at a node's portion, as in the node.
const LOOK: Micros = Micros::from_millis(200);

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

impl World {
    fn new(nodes: usize, slots: u32, sabotage: Sabotage) -> World {
        let mut world = World {
            now: Timestamp(1_000_000_000),
            nodes: Vec::new(),
            ways: BTreeMap::new(),
            mask: 0,
            highest: BTreeMap::new(),
            restarts: 0,
            slots,
            sabotage,
        };
        world.nodes =
            (0..nodes).map(|node| world.node(node, nodes, Generation(world.now.0 + node as u64))).collect();
        world
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
        let sharer = ShareTracker::new(now, config.timing);
        let share = self.first(node);
        let view = View::new(now, config, &name(node), generation, info, node as u64 + generation.0);
        Node { view, sharer, share, looked: Timestamp(0) }
    }

    /// What holds before anything is known.
    fn first(&self, node: usize) -> Share {
        let share = ShareTracker::fallback(self.slots, node as u32, self.now);
        match (node as u32) < self.slots {
            true => share,
            false => Share { nodes: NO_SHARE, ..share },
        }
    }

    fn open(&self, from: usize, to: usize) -> bool {
        (self.mask >> from) & 1 == (self.mask >> to) & 1
    }

    /// What the sabotage makes of a datagram; nothing if it is lost.
    fn spoil(&self, to: usize, bytes: Vec<u8>) -> Option<Vec<u8>> {
        let mut datagram = Datagram::from_bytes(&bytes).ok()?;
        let mut news = datagram.updates.take().unwrap_or_default();
        match self.sabotage {
            Sabotage::NoRefutation => {
                datagram.incarnation = Incarnation(0);
                news.iter_mut()
                    .filter(|n| n.state == MemberState::Alive)
                    .for_each(|n| n.incarnation = Incarnation(0));
            }
            Sabotage::Deaf => news.retain(|n| n.name != name(to)),
            Sabotage::NoSums if datagram.kind == Kind::Checksums => return None,
            Sabotage::NoSums if datagram.kind == Kind::Updates && news.len() > 1 => return None,
            Sabotage::NoTrying
                if datagram.kind == Kind::Ping && datagram.probe_id == 0 && self.now.0 > 1_002_000_000 =>
            {
                return None
            }
            Sabotage::NoCards if self.now.0 > 1_002_000_000 => news.iter_mut().for_each(|n| n.info = None),
            _ => return Some(bytes),
        }
        datagram.updates = (!news.is_empty()).then_some(news);
        datagram.to_bytes()
    }

    fn collect(&mut self, from: usize) {
        while let Some((at, bytes)) = self.nodes[from].view.next_datagram() {
            let Some(to) = (0..self.nodes.len()).find(|to| address(*to) == at) else { continue };
            if !self.open(from, to) {
                continue;
            }
            let bytes = match self.sabotage {
                Sabotage::None => Some(bytes),
                _ => self.spoil(to, bytes),
            };
            let way = self.ways.entry((from, to)).or_default();
            if way.len() < HELD {
                way.extend(bytes);
            }
        }
        while self.nodes[from].view.next_change().is_some() {}
    }

    fn come(&mut self, from: usize, to: usize, stays: bool) {
        let Some(way) = self.ways.get_mut(&(from, to)).filter(|way| !way.is_empty()) else { return };
        let bytes = if stays { way[0].clone() } else { way.remove(0) };
        if self.open(from, to) {
            self.nodes[to].view.receive(self.now, address(from), &bytes);
            self.collect(to);
        }
    }

    fn step(&mut self, choice: Choice) {
        match choice {
            Choice::Come(from, to) => self.come(from, to, false),
            Choice::Again(from, to) => self.come(from, to, true),
            Choice::Lose(from, to) => drop(self.ways.get_mut(&(from, to)).map(|way| way.remove(0))),
            Choice::Time => {
                let next =
                    self.nodes.iter().map(|node| node.view.next_timeout().min(node.looked + LOOK)).min();
                self.now = next.unwrap_or(self.now).max(self.now);
                for node in 0..self.nodes.len() {
                    if self.nodes[node].view.next_timeout() <= self.now {
                        self.nodes[node].view.handle_timeout(self.now);
                        self.collect(node);
                    }
                    if self.nodes[node].looked + LOOK <= self.now {
                        self.look(node);
                    }
                }
            }
            Choice::Restart(node, back) => {
                self.restarts += 1;
                let before = self.nodes[node].view.generation().0;
                let generation = match (self.sabotage, back) {
                    (Sabotage::SameLife, _) => before,
                    (_, true) => before - 7,
                    _ => self.now.0.max(before + 1),
                };
                if self.sabotage != Sabotage::SameLife {
                    self.highest.remove(&node);
                }
                self.nodes[node] = self.node(node, self.nodes.len(), Generation(generation));
            }
            Choice::Cut(mask) => self.mask = mask,
        }
    }

    fn look(&mut self, node: usize) {
        let slots = self.slots;
        let (now, sabotage) = (self.now, self.sabotage);
        let it = &mut self.nodes[node];
        it.looked = now;
        let me = node as u32;
        it.share = it.sharer.update(now, &it.view, slots, me);
        let missing = SlotOccupancy::from_view(&it.view, slots, now, Micros(0));
        let whole = |nodes: u32| Share { nodes, ..it.share };
        it.share = match sabotage {
            Sabotage::NoRelease if it.share.reason == ShareReason::NoMajority => whole(slots),
            Sabotage::NoWaiting if missing.has_majority(slots) => whole(slots - missing.missing),
            Sabotage::NoMajority if it.share.reason == ShareReason::NoMajority => {
                whole(slots - missing.missing)
            }
            Sabotage::NoHalves if it.share.reason == ShareReason::SlotsMissing => {
                whole(slots - missing.missing)
            }
            Sabotage::NoFresh if it.share.reason == ShareReason::Settling => whole(slots),
            Sabotage::NoNone if it.share.nodes == NO_SHARE => whole(slots),
            _ => it.share,
        };
    }

    /// What a node counts on now, in millionths of the whole.
    fn portion(&self, node: usize) -> u64 {
        let share = &self.nodes[node].share;
        let nodes = if share.valid_until < self.now { self.first(node).nodes } else { share.nodes };
        if nodes == NO_SHARE {
            0
        } else {
            1_000_000 / u64::from(nodes)
        }
    }

    /// What must hold in every state; what is broken, if anything is.
    fn check(&mut self) -> Option<String> {
        for node in 0..self.nodes.len() {
            let view = &self.nodes[node].view;
            let is = (view.generation(), view.incarnation());
            let before = self.highest.entry(node).or_insert(is);
            if is < *before {
                return Some(format!("{} went back from {before:?} to {is:?}", name(node)));
            }
            *before = is;
        }
        let sum: u64 = (0..self.nodes.len()).map(|node| self.portion(node)).sum();
        (sum > 1_000_000).then(|| format!("portions come to {sum} millionths"))
    }

    /// With all ways whole and nothing lost all views are one within this, and all nodes alive in them.
    fn settles(&mut self, within: Micros) -> Option<String> {
        self.mask = 0;
        let end = self.now + within;
        let (mut at, mut said) = (self.now, 0);
        while self.now < end {
            // Whoever answers answers for ever keeps the network busy without any time passing.
            said = if self.now > at { 0 } else { said + 1 };
            at = self.now;
            if said > 10_000 {
                return Some("there is no end to what is said at one moment".to_owned());
            }
            let ways: Vec<(usize, usize)> =
                self.ways.iter().filter(|(_, way)| !way.is_empty()).map(|(way, _)| *way).collect();
            match ways.is_empty() {
                true => self.step(Choice::Time),
                false => ways.into_iter().for_each(|(from, to)| self.step(Choice::Come(from, to))),
            }
            if let Some(broken) = self.check() {
                return Some(broken);
            }
            let agreed = self.nodes.iter().all(|node| {
                let alive = node.view.members().filter(|(_, m)| m.state == MemberState::Alive).count();
                alive + 1 == self.nodes.len() && node.view.digest() == self.nodes[0].view.digest()
            });
            if agreed {
                return None;
            }
        }
        Some(format!("views are not one after {} s", within.0 / 1_000_000))
    }

    fn choices(&self) -> Vec<Choice> {
        let mut all = vec![Choice::Time];
        for ((from, to), _) in self.ways.iter().filter(|(_, way)| !way.is_empty()) {
            all.extend([Choice::Come(*from, *to), Choice::Lose(*from, *to)]);
        }
        if self.restarts == 0 {
            all.extend([Choice::Restart(0, false), Choice::Restart(0, true)]);
        }
        let last = 1u8 << (self.nodes.len() - 1);
        all.push(Choice::Cut(if self.mask == 0 { last } else { 0 }));
        all
    }

    fn key(&self) -> u64 {
        let hasher = BuildHasherDefault::<DefaultHasher>::default();
        let of = |node: &Node| {
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
        let nodes: Vec<u64> = self.nodes.iter().map(of).collect();
        hasher.hash_one((self.now.0, nodes, &self.ways, self.mask, self.restarts))
    }
}

/// How long small worlds may take to settle once all ways are whole.
const SETTLES: Micros = Micros::from_millis(20_000);

/// Everything that can happen from the start of a world of so many nodes, to that depth; from each end it must settle.
pub fn orders(nodes: usize, depth: usize, sabotage: Sabotage) -> Result<Looked, Broken> {
    let mut looked = Looked::default();
    let mut seen = HashSet::new();
    let mut edge: Vec<(World, Vec<Choice>)> = vec![(World::new(nodes, nodes as u32, sabotage), Vec::new())];
    for level in 0..=depth {
        let mut next = Vec::new();
        for (world, path) in edge {
            looked.states += 1;
            if level == depth {
                let mut end = world;
                if let Some(promise) = end.settles(SETTLES) {
                    return Err(Broken { promise, path });
                }
                continue;
            }
            for choice in world.choices() {
                let (mut then, mut path) = (world.clone(), path.clone());
                then.step(choice);
                path.push(choice);
                looked.steps += 1;
                if let Some(promise) = then.check() {
                    return Err(Broken { promise, path });
                }
                if seen.insert(then.key()) {
                    next.push((then, path));
                }
            }
        }
        edge = next;
    }
    Ok(looked)
}

/// One drawn walk of so many steps, and then to where it must settle.
pub fn walk(nodes: usize, steps: usize, seed: u64, sabotage: Sabotage) -> Result<Looked, Broken> {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    // In every fifth walk there are more nodes than places, in every third news is slow.
    let slots = if seed % 5 == 4 { nodes - 1 } else { nodes };
    let slow = seed % 3 == 2;
    let mut world = World::new(nodes, slots.max(1) as u32, sabotage);
    let mut done = Vec::new();
    for _ in 0..steps {
        let draw: u32 = chance.random();
        let choice = match slow && (draw >> 8).is_multiple_of(2) {
            true => Choice::Time,
            false => draw_choice(&world, draw, &mut chance),
        };
        world.step(choice);
        done.push(choice);
        if let Some(promise) = world.check() {
            return Err(Broken { promise, path: done });
        }
    }
    match world.settles(SETTLES) {
        Some(promise) => Err(Broken { promise, path: done }),
        None => Ok(Looked { states: steps, steps }),
    }
}

/// Mostly datagrams come and time passes; now and then something breaks, for long enough to be believed.
fn draw_choice(world: &World, draw: u32, chance: &mut ChaCha8Rng) -> Choice {
    let ways: Vec<(usize, usize)> =
        world.ways.iter().filter(|(_, way)| !way.is_empty()).map(|(way, _)| *way).collect();
    match (draw % 1000, ways.choose(chance)) {
        (0..=1, _) => Choice::Restart(chance.random_range(0..world.nodes.len()), draw.is_multiple_of(2)),
        (2..=4, _) => Choice::Cut((draw >> 10) as u8 & ((1 << world.nodes.len()) - 1)),
        (5..=6, _) => Choice::Cut(0),
        (7..=60, Some((from, to))) => Choice::Lose(*from, *to),
        (61..=90, Some((from, to))) => Choice::Again(*from, *to),
        (_, Some((from, to))) => Choice::Come(*from, *to),
        _ => Choice::Time,
    }
}
