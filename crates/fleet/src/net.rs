//! A virtual network around the real `View`: datagrams have a latency, get lost, and links can be cut.

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

/// A node's process. Dead ones are kept, to be started again.
pub struct Node {
    pub view: View,
    pub share_tracker: ShareTracker,
    pub is_up: bool,
    /// The process is stopped until then. Arriving datagrams wait, as in a socket's buffer.
    pub paused_until: Option<Timestamp>,
    /// When the view's timeout is handled next, if it is scheduled.
    next_call: Option<Timestamp>,
    pub partition: u32,
    /// The current second and the bytes sent in it, the most bytes in any second, and all bytes sent.
    pub current_second: (u64, u64),
    pub peak_second_bytes: u64,
    pub bytes_sent: u64,
}

/// The behaviour of the network.
#[derive(Clone, Copy, Debug)]
pub struct DatagramModel {
    /// The percentage of datagrams that are lost.
    pub loss_percent: f64,
    /// The shortest latency of a datagram, and the most that is randomly added.
    pub min_latency: Micros,
    pub max_jitter: Micros,
    /// The percentage of datagrams that arrive twice.
    pub duplicate_percent: f64,
}

impl Default for DatagramModel {
    fn default() -> DatagramModel {
        DatagramModel {
            loss_percent: 0.0,
            min_latency: Micros(200),
            max_jitter: Micros(800),
            duplicate_percent: 0.0,
        }
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Timeout(usize),
    Deliver { to: usize, from: usize, bytes: Vec<u8> },
}

pub struct VirtualNetwork {
    pub now: Timestamp,
    pub nodes: Vec<Node>,
    pub model: DatagramModel,
    /// A site and the additional percentage of loss on all datagrams to and from its nodes.
    pub lossy_site: Option<(u32, f64)>,
    /// Links that are cut, one direction each.
    pub blocked_links: Vec<(usize, usize)>,
    events: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    event_sequence: u64,
    rng: ChaCha8Rng,
    config: fn(SocketAddr) -> ViewConfig,
    starts: u64,
    /// Deaths that views have reported: when, by which node, of which node.
    pub reported_deaths: Vec<(Timestamp, usize, usize)>,
    pub changes: u64,
    pub suspicions: u64,
}

/// The address of a node.
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

/// The node with this name.
fn node_of_name(name: &str) -> Option<usize> {
    name.strip_prefix('n')?.parse().ok()
}

impl VirtualNetwork {
    pub fn new(seed: u64, config: fn(SocketAddr) -> ViewConfig) -> VirtualNetwork {
        VirtualNetwork {
            // Later than zero, so that a node can have started before.
            now: Timestamp(1_000_000_000),
            nodes: Vec::new(),
            model: DatagramModel::default(),
            lossy_site: None,
            blocked_links: Vec::new(),
            events: BinaryHeap::new(),
            event_sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            config,
            starts: 0,
            reported_deaths: Vec::new(),
            changes: 0,
            suspicions: 0,
        }
    }

    fn node_info(&self, node: usize, slots: u32) -> NodeInfo {
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

    /// Starts or restarts a node in a fleet with this many configured slots, with these nodes as seeds.
    pub fn start(&mut self, node: usize, slots: u32, seeds: &[usize]) {
        let mut config = (self.config)(address(node));
        config.seeds = seeds.iter().map(|seed| address(*seed)).collect();
        self.starts += 1;
        let (seed, info, times) = (self.rng.random(), self.node_info(node, slots), config.timing);
        let generation = Generation(self.now.0 + self.starts);
        let view = View::new(self.now, config, &name(node), generation, info, seed);
        let share_tracker = ShareTracker::new(self.now, times);
        let started = Node {
            view,
            share_tracker,
            is_up: true,
            paused_until: None,
            next_call: None,
            partition: 0,
            current_second: (0, 0),
            peak_second_bytes: 0,
            bytes_sent: 0,
        };
        match self.nodes.get_mut(node) {
            Some(before) => *before = Node { partition: before.partition, ..started },
            None => self.nodes.push(started),
        }
        self.schedule_node(node);
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].is_up = false;
    }

    fn schedule(&mut self, at: Timestamp, event: Event) {
        self.event_sequence += 1;
        self.events.push(Reverse((at, self.event_sequence, event)));
    }

    fn schedule_node(&mut self, node: usize) {
        let at = self.nodes[node].view.next_timeout().max(self.now);
        let at = self.nodes[node].paused_until.map_or(at, |until| until.max(at));
        if self.nodes[node].next_call.is_none_or(|called| called > at) {
            self.nodes[node].next_call = Some(at);
            self.schedule(at, Event::Timeout(node));
        }
    }

    fn can_reach(&self, from: usize, to: usize) -> bool {
        let same_partition = self.nodes[from].partition == self.nodes[to].partition;
        same_partition && !self.blocked_links.contains(&(from, to))
    }

    fn is_lost(&mut self, from: usize, to: usize) -> bool {
        let site_loss =
            self.lossy_site.filter(|(site, _)| [from, to].iter().any(|node| *node as u32 % 3 == *site));
        let draw: f64 = self.rng.random_range(0.0..100.0);
        draw < self.model.loss_percent
            || site_loss.is_some_and(|(_, loss)| self.rng.random_range(0.0..100.0) < loss)
    }

    fn flush_outgoing(&mut self, from: usize) {
        while let Some((at, bytes)) = self.nodes[from].view.next_datagram() {
            let node = &mut self.nodes[from];
            let second = self.now.0 / 1_000_000;
            if node.current_second.0 != second {
                node.current_second = (second, 0);
            }
            // Each datagram has an IP and a UDP header.
            let size = bytes.len() as u64 + 28;
            (node.current_second.1, node.bytes_sent) = (node.current_second.1 + size, node.bytes_sent + size);
            node.peak_second_bytes = node.peak_second_bytes.max(node.current_second.1);
            let Some(to) = index(at).filter(|to| *to < self.nodes.len()) else { continue };
            if !self.can_reach(from, to) || self.is_lost(from, to) {
                continue;
            }
            let copies = if self.rng.random_range(0.0..100.0) < self.model.duplicate_percent { 2 } else { 1 };
            for _ in 0..copies {
                let jitter = Micros(self.rng.random_range(0..=self.model.max_jitter.0));
                let arrival = self.now + self.model.min_latency + jitter;
                self.schedule(arrival, Event::Deliver { to, from, bytes: bytes.clone() });
            }
        }
        while let Some(change) = self.nodes[from].view.next_change() {
            self.changes += 1;
            match (change.kind, node_of_name(&change.name)) {
                (ChangeKind::Dead, Some(of)) => self.reported_deaths.push((change.at, from, of)),
                (ChangeKind::Suspected, _) => self.suspicions += 1,
                _ => {}
            }
        }
    }

    /// Runs the simulation for this time.
    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(Reverse((at, _, _))) = self.events.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, _, event))) = self.events.pop() else { break };
            self.now = at;
            match event {
                Event::Timeout(node) => self.run_node(node),
                Event::Deliver { to, from, bytes } => {
                    let now = self.now;
                    let node = &mut self.nodes[to];
                    match node.paused_until.filter(|until| *until > now) {
                        Some(until) => self.schedule(until + Micros(1), Event::Deliver { to, from, bytes }),
                        None if node.is_up => {
                            node.view.receive(now, address(from), &bytes);
                            self.schedule_node(to);
                            self.flush_outgoing(to);
                        }
                        None => {}
                    }
                }
            }
        }
        self.now = end;
    }

    fn run_node(&mut self, node: usize) {
        let now = self.now;
        let it = &mut self.nodes[node];
        if it.next_call != Some(now) {
            // An earlier call has been scheduled instead.
            return;
        }
        it.next_call = None;
        if !it.is_up {
            return;
        }
        let paused = it.paused_until.is_some_and(|until| until > now);
        if !paused && it.view.next_timeout() <= now {
            it.view.handle_timeout(now);
            self.flush_outgoing(node);
        }
        self.schedule_node(node);
    }

    /// Stops a process for this time. Its datagrams wait.
    pub fn pause(&mut self, node: usize, span: Micros) {
        self.nodes[node].paused_until = Some(self.now + span);
    }

    /// The nodes that are running.
    pub fn running_nodes(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|node| self.nodes[*node].is_up).collect()
    }

    /// Whether each running node considers exactly the running nodes of its partition present, in the same generation and
    /// incarnation.
    pub fn views_agree(&self) -> bool {
        let mut partitions: BTreeMap<u32, Vec<usize>> = BTreeMap::new();
        self.running_nodes()
            .into_iter()
            .for_each(|node| partitions.entry(self.nodes[node].partition).or_default().push(node));
        partitions.values().all(|members| {
            let digest = self.nodes[members[0]].view.digest();
            // Equal digests mean equal members, so a single view shows which ones.
            let all_present = |node: &usize| {
                members.iter().all(|other| node == other || self.considers_present(members[0], *other))
            };
            let same_view = |node: &usize| {
                let view = &self.nodes[*node].view;
                view.digest() == digest && view.present_count() == members.len()
            };
            members.iter().all(same_view) && all_present(&members[0])
        })
    }

    fn considers_present(&self, node: usize, other: usize) -> bool {
        self.nodes[node].view.member(&name(other)).is_some_and(|member| member.state.is_present())
    }

    /// Runs until all views agree, and returns how long that took, or `None` if it exceeds `max`.
    pub fn run_until_agreed(&mut self, max: Micros) -> Option<Micros> {
        let start = self.now;
        while !self.views_agree() {
            if self.now.since(start) >= max {
                return None;
            }
            self.run(Micros::from_millis(50));
        }
        Some(self.now.since(start))
    }

    /// The number of running nodes that no longer consider this node present.
    pub fn count_aware_of_death(&self, of: usize) -> usize {
        let knows = |node: &usize| {
            self.nodes[*node].view.member(&name(of)).is_none_or(|member| !member.state.is_present())
        };
        self.running_nodes().iter().filter(|node| **node != of && knows(node)).count()
    }

    /// The share of each running node.
    pub fn shares(&mut self, slots: u32) -> Vec<(usize, Share)> {
        let (now, running) = (self.now, self.running_nodes());
        let mut update = |index: usize| {
            let node = &mut self.nodes[index];
            (index, node.share_tracker.update(now, &node.view, slots, index as u32))
        };
        running.into_iter().map(&mut update).collect()
    }
}
