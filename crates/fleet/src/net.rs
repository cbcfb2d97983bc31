//! A virtual network around the real view: datagrams take time, get lost, and are cut by whoever plays.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};
use yarrowfront::times::{Micros, Timestamp};
use yarrowfront_view::config::ViewConfig;
use yarrowfront_view::node_info::{Generation, NodeInfo, Phase};
use yarrowfront_view::share::{Share, ShareTracker};
use yarrowfront_view::view::{ChangeKind, View};

/// A process of a node; dead ones are kept, to be started again.
pub struct Node {
    pub view: View,
    pub sharer: ShareTracker,
    pub up: bool,
    /// Stopped until then: what comes waits, as in a socket's buffer.
    pub paused: Option<Timestamp>,
    /// When it is called next, if it is.
    called: Option<Timestamp>,
    pub group: u32,
    /// Bytes sent in this second and in the largest one, and in all.
    pub second: (u64, u64),
    pub largest: u64,
    pub bytes: u64,
}

/// What happens on the way.
#[derive(Clone, Copy, Debug)]
pub struct Law {
    /// Of a hundred datagrams so many are lost.
    pub loss: f64,
    /// The least a datagram takes, and what chance adds at the most.
    pub least: Micros,
    pub more: Micros,
    /// Of a hundred, so many come twice.
    pub twice: f64,
}

impl Default for Law {
    fn default() -> Law {
        Law { loss: 0.0, least: Micros(200), more: Micros(800), twice: 0.0 }
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Due(usize),
    Come { to: usize, from: usize, bytes: Vec<u8> },
}

pub struct Net {
    pub now: Timestamp,
    pub nodes: Vec<Node>,
    pub law: Law,
    /// Further loss on whatever a node of this group sends or is sent, of a hundred.
    pub lossy: Option<(u32, f64)>,
    /// Ways that are cut, one direction each.
    pub cut: Vec<(usize, usize)>,
    events: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    turn: u64,
    chance: ChaCha8Rng,
    config: fn(SocketAddr) -> ViewConfig,
    lives: u64,
    /// Deaths that views have told of: when, at whom, of whom.
    pub deaths: Vec<(Timestamp, usize, usize)>,
    pub changes: u64,
    pub suspicions: u64,
}

/// Where a node hears datagrams.
pub fn address(node: usize) -> SocketAddr {
    let [_, a, b, c] = (node as u32 + 1).to_be_bytes();
    SocketAddr::new(Ipv4Addr::new(127, a, b, c).into(), 7946)
}

fn index(at: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(at) = at else { return None };
    ((at.ip().to_bits() & 0x00ff_ffff) as usize).checked_sub(1)
}

pub fn name(node: usize) -> String {
    format!("n{node}")
}

/// Which node is called so.
fn called(name: &str) -> Option<usize> {
    name.strip_prefix('n')?.parse().ok()
}

impl Net {
    pub fn new(seed: u64, config: fn(SocketAddr) -> ViewConfig) -> Net {
        Net {
            // Some time after which a node may have begun before.
            now: Timestamp(1_000_000_000),
            nodes: Vec::new(),
            law: Law::default(),
            lossy: None,
            cut: Vec::new(),
            events: BinaryHeap::new(),
            turn: 0,
            chance: ChaCha8Rng::seed_from_u64(seed),
            config,
            lives: 0,
            deaths: Vec::new(),
            changes: 0,
            suspicions: 0,
        }
    }

    fn info(&self, node: usize, slots: u32) -> NodeInfo {
        NodeInfo {
            address: address(node),
            site: format!("s{}", node % 3),
            build: "0.1.0".to_owned(),
            settings_digest: 7,
            phase: Phase::SERVING,
            slot: node as u32,
            slots,
        }
    }

    /// Starts a node, again if it was there, in a fleet that states so many places. It knows these seeds.
    pub fn start(&mut self, node: usize, slots: u32, seeds: &[usize]) {
        let mut config = (self.config)(address(node));
        config.seeds = seeds.iter().map(|seed| address(*seed)).collect();
        self.lives += 1;
        let (seed, info, times) = (self.chance.random(), self.info(node, slots), config.timing);
        let generation = Generation(self.now.0 + self.lives);
        let view = View::new(self.now, config, &name(node), generation, info, seed);
        let sharer = ShareTracker::new(self.now, times);
        let fresh = Node {
            view,
            sharer,
            up: true,
            paused: None,
            called: None,
            group: 0,
            second: (0, 0),
            largest: 0,
            bytes: 0,
        };
        match self.nodes.get_mut(node) {
            Some(before) => *before = Node { group: before.group, ..fresh },
            None => self.nodes.push(fresh),
        }
        self.wake(node);
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].up = false;
    }

    fn put(&mut self, at: Timestamp, event: Event) {
        self.turn += 1;
        self.events.push(Reverse((at, self.turn, event)));
    }

    fn wake(&mut self, node: usize) {
        let at = self.nodes[node].view.next_timeout().max(self.now);
        let at = self.nodes[node].paused.map_or(at, |until| until.max(at));
        if self.nodes[node].called.is_none_or(|called| called > at) {
            self.nodes[node].called = Some(at);
            self.put(at, Event::Due(node));
        }
    }

    fn open(&self, from: usize, to: usize) -> bool {
        let groups = self.nodes[from].group == self.nodes[to].group;
        groups && !self.cut.contains(&(from, to))
    }

    fn lost(&mut self, from: usize, to: usize) -> bool {
        let more = self.lossy.filter(|(group, _)| [from, to].iter().any(|node| *node as u32 % 3 == *group));
        let draw: f64 = self.chance.random_range(0.0..100.0);
        draw < self.law.loss || more.is_some_and(|(_, loss)| self.chance.random_range(0.0..100.0) < loss)
    }

    fn send_all(&mut self, from: usize) {
        while let Some((at, bytes)) = self.nodes[from].view.next_datagram() {
            let node = &mut self.nodes[from];
            let second = self.now.0 / 1_000_000;
            if node.second.0 != second {
                node.second = (second, 0);
            }
            // An IP and a UDP head go with each.
            let size = bytes.len() as u64 + 28;
            (node.second.1, node.bytes) = (node.second.1 + size, node.bytes + size);
            node.largest = node.largest.max(node.second.1);
            let Some(to) = index(at).filter(|to| *to < self.nodes.len()) else { continue };
            if !self.open(from, to) || self.lost(from, to) {
                continue;
            }
            let copies = if self.chance.random_range(0.0..100.0) < self.law.twice { 2 } else { 1 };
            for _ in 0..copies {
                let more = Micros(self.chance.random_range(0..=self.law.more.0));
                let comes = self.now + self.law.least + more;
                self.put(comes, Event::Come { to, from, bytes: bytes.clone() });
            }
        }
        while let Some(change) = self.nodes[from].view.next_change() {
            self.changes += 1;
            match (change.kind, called(&change.name)) {
                (ChangeKind::Dead, Some(of)) => self.deaths.push((change.at, from, of)),
                (ChangeKind::Suspected, _) => self.suspicions += 1,
                _ => {}
            }
        }
    }

    /// Plays on for so long.
    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(Reverse((at, _, _))) = self.events.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, _, event))) = self.events.pop() else { break };
            self.now = at;
            match event {
                Event::Due(node) => self.due(node),
                Event::Come { to, from, bytes } => {
                    let now = self.now;
                    let node = &mut self.nodes[to];
                    match node.paused.filter(|until| *until > now) {
                        Some(until) => self.put(until + Micros(1), Event::Come { to, from, bytes }),
                        None if node.up => {
                            node.view.receive(now, address(from), &bytes);
                            self.wake(to);
                            self.send_all(to);
                        }
                        None => {}
                    }
                }
            }
        }
        self.now = end;
    }

    fn due(&mut self, node: usize) {
        let now = self.now;
        let it = &mut self.nodes[node];
        if it.called != Some(now) {
            // Another call, an earlier one, has come in its place.
            return;
        }
        it.called = None;
        if !it.up {
            return;
        }
        let paused = it.paused.is_some_and(|until| until > now);
        if !paused && it.view.next_timeout() <= now {
            it.view.handle_timeout(now);
            self.send_all(node);
        }
        self.wake(node);
    }

    /// Stops a process for so long; what comes for it waits.
    pub fn pause(&mut self, node: usize, span: Micros) {
        self.nodes[node].paused = Some(self.now + span);
    }

    /// Nodes that run.
    pub fn up(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|node| self.nodes[*node].up).collect()
    }

    /// Whether all that run hold just those to be here that run and are of their group, in one life and edition.
    pub fn agree(&self) -> bool {
        let mut groups: BTreeMap<u32, Vec<usize>> = BTreeMap::new();
        self.up().into_iter().for_each(|node| groups.entry(self.nodes[node].group).or_default().push(node));
        groups.values().all(|group| {
            let digest = self.nodes[group[0]].view.digest();
            // The digest is of all that are here, so one look at a single view tells of whom.
            let there = |one: &usize| group.iter().all(|other| one == other || self.holds(group[0], *other));
            let same = |one: &usize| {
                let view = &self.nodes[*one].view;
                view.digest() == digest && view.present_count() == group.len()
            };
            group.iter().all(same) && there(&group[0])
        })
    }

    fn holds(&self, one: usize, other: usize) -> bool {
        self.nodes[one].view.member(&name(other)).is_some_and(|member| member.state.is_present())
    }

    /// Plays on until all agree, in steps; how long that took, if it came so far.
    pub fn until_agreed(&mut self, most: Micros) -> Option<Micros> {
        let start = self.now;
        while !self.agree() {
            if self.now.since(start) >= most {
                return None;
            }
            self.run(Micros::from_millis(50));
        }
        Some(self.now.since(start))
    }

    /// Of those that run, how many have called that node dead since.
    pub fn know_death(&self, of: usize) -> usize {
        let knows = |one: &usize| {
            self.nodes[*one].view.member(&name(of)).is_none_or(|member| !member.state.is_present())
        };
        self.up().iter().filter(|one| **one != of && knows(one)).count()
    }

    /// What each node that runs may count on.
    pub fn shares(&mut self, slots: u32) -> Vec<(usize, Share)> {
        let (now, up) = (self.now, self.up());
        let mut look = |one: usize| {
            let node = &mut self.nodes[one];
            (one, node.sharer.update(now, &node.view, slots, one as u32))
        };
        up.into_iter().map(&mut look).collect()
    }
}
