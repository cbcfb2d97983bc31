//! The membership state machine: it takes received datagrams and timeouts, and yields datagrams to send and changes.
//!
//! Invariants: the knowledge about a member only grows by (generation, incarnation, state), so that nodes with the same
//! updates agree; a node raises its own incarnation, or its generation, above whatever is reported of it; no member is
//! declared dead without a suspicion that it had the time to refute; memory and work are bounded whatever arrives.

mod merge;
mod probe;
mod send;

use crate::checksums;
use crate::config::ViewConfig;
use crate::gossip::{ByteBudget, GossipQueue};
use crate::member::Member;
use crate::node_info::{Generation, Incarnation, Load, MemberState, NodeInfo};
use crate::wire::{Datagram, DecodeError, Kind};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use yarrowfront::times::{Micros, Timestamp};

/// With more than this many updates queued each is sent only `CROWDED_TRANSMITS` times, and the checksums repair what
/// is missed.
const GOSSIP_CROWDED_LEN: usize = 48;
const CROWDED_TRANSMITS: u32 = 4;
/// The number of other members asked to probe a member that has not answered (SWIM's k).
const INDIRECT_PROBES: usize = 3;
/// How often an update is sent per doubling of the members: enough that a member misses it with a chance of one in
/// thousands only, which the checksums then repair.
const TRANSMITS_PER_DOUBLING: f64 = 1.5;
/// The upper bound of the local health score (Lifeguard). Each point lengthens the probe interval and timeout by half.
/// With Lifeguard's own bound, eight points of a whole interval each, the smaller side of a partition took half a minute
/// to detect it.
const MAX_LOCAL_HEALTH_SCORE: u32 = 4;
/// The most probes that are tracked at a time, and the most changes kept until they are fetched.
const MAX_PENDING_PROBES: usize = 512;
const MAX_QUEUED_CHANGES: usize = 4096;
/// The bytes that may be saved up for a burst, such as a simultaneous start or the end of a partition: 1,000 members
/// agreed again after 5.6 to 6 s with this value, after 25 s with a quarter of it, and after 40 s with 64,000.
const BURST_BYTES: f64 = 1_000_000.0;
/// Above this share of lost probes a silent member is probed in another round before it is suspected: with a fifth of
/// all datagrams lost one in forty probes fails by chance, and one in a thousand twice in a row.
const LOSSY_PROBE_SHARE: f64 = 0.15;
/// Above this share of lost probes the links are taken to be cut: with a fifth of all datagrams lost it is a third.
const CUT_PROBE_SHARE: f64 = 0.45;
/// The bytes of a probe or an ack without updates, which are not charged to the byte budget.
const FREE_BYTES_PER_PROBE: usize = 120;
/// The number of unanswered probes after which another process with this node's name is taken to be gone.
const MAX_RIVAL_PROBES: u32 = 4;
/// How often per second all members together try to reach seeds and dead members.
const RECONNECTS_PER_S: f64 = 50.0;

/// A change of the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    pub at: Timestamp,
    pub name: String,
    pub generation: Generation,
    pub kind: ChangeKind,
    /// The node that reported the change: a member, or this node itself.
    pub reported_by: String,
}

/// The kind of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    Joined,
    /// The member runs under a new generation.
    Restarted,
    /// The member was suspected, dead or had left, and has refuted that.
    Refuted,
    Suspected,
    Dead,
    Left,
    Forgotten,
    /// The member's `NodeInfo` has changed.
    InfoChanged,
    /// This node has raised its own incarnation or generation above what was reported of it.
    SelfRefuted,
    /// Another process has this node's name and a later generation.
    NameTaken,
    /// No other member is present any more.
    Alone,
    /// Another member is present again.
    NoLongerAlone,
}

impl ChangeKind {
    /// The change in words. The field `lately` of `GET /fleet` contains these texts, so they are part of the operators'
    /// interface and must not change.
    pub fn as_str(self) -> &'static str {
        match self {
            ChangeKind::Joined => "joined",
            ChangeKind::Restarted => "started again",
            ChangeKind::Refuted => "alive after all",
            ChangeKind::Suspected => "suspected",
            ChangeKind::Dead => "dead",
            ChangeKind::Left => "left",
            ChangeKind::Forgotten => "forgotten",
            ChangeKind::InfoChanged => "tells something else of itself",
            ChangeKind::SelfRefuted => "this node refutes what was said of it",
            ChangeKind::NameTaken => "another process has this node's name",
            ChangeKind::Alone => "this node is alone",
            ChangeKind::NoLongerAlone => "this node is no longer alone",
        }
    }
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub datagrams_received: u64,
    pub datagrams_sent: u64,
    pub bytes_sent: u64,
    /// Dropped datagrams: from outside the allowed networks, of another fleet, of another version, malformed, and from an
    /// old generation of their sender.
    pub outside_networks: u64,
    pub other_fleet: u64,
    pub other_version: u64,
    pub malformed: u64,
    pub old_generation: u64,
    /// New members that were ignored because `max_members` was reached.
    pub member_limit_reached: u64,
    pub changes: u64,
    /// How often this node was stopped or stalled for longer than half a probe interval.
    pub stalls: u64,
}

/// Why a probe was sent.
#[derive(Clone)]
enum ProbePurpose {
    /// A probe of this node's current round.
    Direct,
    /// An indirect probe on behalf of another node, with that node's probe id.
    Relay { requester: String, probe_id: u32, subject: String },
    /// Checks whether another process with this node's name answers.
    Rival,
}

/// A tracked probe whose ack is awaited.
#[derive(Clone)]
struct PendingProbe {
    purpose: ProbePurpose,
    expires_at: Timestamp,
    sent_at: Timestamp,
}

/// A direct probe of the current round that has not been answered yet.
#[derive(Clone)]
struct RoundProbe {
    probe_id: u32,
    target: String,
    generation: Generation,
    /// When other members will be asked to probe the target; `None` once they have been asked.
    indirect_at: Option<Timestamp>,
    indirect_count: usize,
    nacks: usize,
    /// The target did not answer in the round before either.
    is_retry: bool,
}

/// Another process with this node's name.
#[derive(Clone)]
struct Rival {
    address: SocketAddr,
    generation: Generation,
    unanswered_probes: u32,
    answered: bool,
}

/// A node's view of the fleet. It is cloned by the state-space search of `crates/fleet` only.
#[derive(Clone)]
pub struct View {
    pub config: ViewConfig,
    name: String,
    generation: Generation,
    incarnation: Incarnation,
    info_incarnation: Incarnation,
    info: NodeInfo,
    load: Load,
    state: MemberState,
    rng: ChaCha8Rng,
    members: BTreeMap<String, Member>,
    present_count: usize,
    digest: u64,
    /// Members in the order in which they are probed, and the position of the next one.
    probe_order: Vec<String>,
    probe_position: usize,
    round_probes: Vec<RoundProbe>,
    next_round_at: Timestamp,
    pending_probes: BTreeMap<u32, PendingProbe>,
    last_probe_id: u32,
    local_health: u32,
    /// A moving average of the share of this node's direct probes that were not answered directly.
    lost_probe_share: f64,
    timers: BTreeSet<(Timestamp, String)>,
    next_seed_at: Timestamp,
    rival: Option<Rival>,
    gossip: GossipQueue,
    budget: ByteBudget,
    differs_since: Option<Timestamp>,
    next_exchange_at: Timestamp,
    /// An update arrived that could not be applied because its `NodeInfo` is missing.
    lacks_info: bool,
    outbox: VecDeque<(SocketAddr, Vec<u8>)>,
    changes: VecDeque<Change>,
    counters: Counters,
    was_alone: bool,
    started_at: Timestamp,
    resumed_at: Option<Timestamp>,
    last_answered: Option<Timestamp>,
}

impl View {
    /// The view of a starting node, which knows only itself and the seeds. `seed` seeds the random generator.
    pub fn new(
        now: Timestamp,
        config: ViewConfig,
        name: &str,
        generation: Generation,
        info: NodeInfo,
        seed: u64,
    ) -> View {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let first_round_delay = Micros(rng.random_range(0..=config.timing.probe_interval.0));
        let budget = ByteBudget::new(now, f64::from(config.bytes_per_s), BURST_BYTES);
        let mut view = View {
            name: name.to_owned(),
            generation,
            incarnation: Incarnation(0),
            info_incarnation: Incarnation(0),
            info,
            load: Load::default(),
            state: MemberState::Alive,
            rng,
            members: BTreeMap::new(),
            present_count: 1,
            digest: checksums::member_hash(name, generation, Incarnation(0)),
            probe_order: Vec::new(),
            probe_position: 0,
            round_probes: Vec::new(),
            next_round_at: now + first_round_delay,
            pending_probes: BTreeMap::new(),
            last_probe_id: 0,
            local_health: 0,
            lost_probe_share: 0.0,
            timers: BTreeSet::new(),
            next_seed_at: now,
            rival: None,
            gossip: GossipQueue::default(),
            budget,
            differs_since: None,
            next_exchange_at: now,
            lacks_info: false,
            outbox: VecDeque::new(),
            changes: VecDeque::new(),
            counters: Counters::default(),
            was_alone: true,
            started_at: now,
            resumed_at: None,
            last_answered: None,
            config,
        };
        view.gossip.add(name);
        view
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    pub fn generation(&self) -> Generation {
        self.generation
    }

    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    pub fn info(&self) -> &NodeInfo {
        &self.info
    }

    pub fn load(&self) -> Load {
        self.load
    }

    /// All other known members, including dead and departed ones until they are forgotten.
    pub fn members(&self) -> impl Iterator<Item = (&str, &Member)> {
        self.members.iter().map(|(name, member)| (name.as_str(), member))
    }

    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// The number of members present, including this node.
    pub fn present_count(&self) -> usize {
        self.present_count
    }

    /// A digest over the name, generation and incarnation of all present members: equal where two views agree.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Lifeguard's local health score: 0 for healthy, and greater the more this node's timings are lengthened.
    pub fn local_health_score(&self) -> u32 {
        self.local_health
    }

    pub fn is_alone(&self) -> bool {
        self.present_count == 1
    }

    /// The address of another process with this node's name and a later generation, if one has answered.
    pub fn displaced_by(&self) -> Option<SocketAddr> {
        self.rival.as_ref().filter(|rival| rival.answered).map(|rival| rival.address)
    }

    /// When this node started, or resumed after a stall of more than `release_after`.
    pub fn running_since(&self) -> Timestamp {
        self.resumed_at.map_or(self.started_at, |at| at.max(self.started_at))
    }

    /// When a probe of this node was last answered.
    pub fn last_answered(&self) -> Option<Timestamp> {
        self.last_answered
    }

    /// The oldest change that has not been fetched yet.
    pub fn next_change(&mut self) -> Option<Change> {
        self.changes.pop_front()
    }

    /// The next datagram to send, with its destination.
    pub fn next_datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.outbox.pop_front()
    }

    /// When `handle_timeout` is to be called next.
    pub fn next_timeout(&self) -> Timestamp {
        let indirect = self.round_probes.iter().filter_map(|round_probe| round_probe.indirect_at).min();
        let timer = self.timers.first().map(|(at, _)| *at);
        let expiry = self.pending_probes.values().map(|probe| probe.expires_at).min();
        let soonest = [indirect, timer, expiry].into_iter().flatten().min();
        let own = self.next_round_at.min(self.next_seed_at);
        soonest.map_or(own, |at| at.min(own))
    }

    fn record_change(
        &mut self,
        now: Timestamp,
        name: &str,
        generation: Generation,
        kind: ChangeKind,
        reporter: &str,
    ) {
        self.counters.changes += 1;
        if self.changes.len() >= MAX_QUEUED_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(Change {
            at: now,
            name: name.to_owned(),
            generation,
            kind,
            reported_by: reporter.to_owned(),
        });
    }

    /// Applies a changed membership file. The knowledge about members stays.
    pub fn reconfigure(&mut self, now: Timestamp, config: ViewConfig) {
        self.budget = ByteBudget::new(now, f64::from(config.bytes_per_s), BURST_BYTES);
        self.config = config;
        self.next_seed_at = now;
    }

    /// Sets what this node announces about itself from now on.
    pub fn update_self(&mut self, info: &NodeInfo, load: Load) {
        self.load = load;
        if self.info != *info {
            self.info = info.clone();
            self.raise_incarnation(Incarnation(self.incarnation.0 + 1));
            self.info_incarnation = self.incarnation;
            self.gossip.add(&self.name.clone());
        }
    }

    fn raise_incarnation(&mut self, incarnation: Incarnation) {
        self.digest ^= checksums::member_hash(&self.name, self.generation, self.incarnation);
        self.incarnation = incarnation;
        self.digest ^= checksums::member_hash(&self.name, self.generation, self.incarnation);
    }

    /// Starts a new generation of this node above the given one, which has ended or was never its own.
    pub fn raise_generation(&mut self, now: Timestamp, above: Generation) {
        self.digest ^= checksums::member_hash(&self.name, self.generation, self.incarnation);
        (self.generation, self.incarnation, self.info_incarnation) =
            (Generation(above.0.max(self.generation.0) + 1), Incarnation(0), Incarnation(0));
        self.digest ^= checksums::member_hash(&self.name, self.generation, self.incarnation);
        (self.rival, self.state) = (None, MemberState::Alive);
        self.announce_self(now);
    }

    fn announce_self(&mut self, now: Timestamp) {
        let (name, generation) = (self.name.clone(), self.generation);
        self.gossip.add(&name);
        self.record_change(now, &name, generation, ChangeKind::SelfRefuted, &name);
    }

    /// Leaves the fleet and informs some of the present members. Nothing is sent after that.
    pub fn leave(&mut self, now: Timestamp) {
        self.state = MemberState::Left;
        let name = self.name.clone();
        self.gossip.add(&name);
        for other in self.random_members(2 * INDIRECT_PROBES, None) {
            self.send(now, &other, Kind::Updates, 0, None);
        }
    }

    fn address(&self, name: &str) -> Option<SocketAddr> {
        let known = || self.members.get(name).map(|member| member.info.address);
        self.config.address_overrides.get(name).copied().or_else(known)
    }

    /// Lengthens a timing by the local health score.
    fn scale_by_health(&self, span: Micros) -> Micros {
        Micros(span.0 * u64::from(self.local_health + 2) / 2)
    }

    fn adjust_local_health(&mut self, change: i32) {
        self.local_health = self.local_health.saturating_add_signed(change).min(MAX_LOCAL_HEALTH_SCORE);
    }

    /// Detects that this node was stalled. It cannot tell then which members were silent, so pending probes are dropped
    /// and all member timers are extended by the stall.
    fn detect_stall(&mut self, now: Timestamp) {
        let late = now.since(self.next_timeout());
        if late.0 <= self.config.timing.probe_interval.0 / 2 {
            return;
        }
        self.counters.stalls += 1;
        if late > self.config.timing.release_after {
            self.resumed_at = Some(now);
        }
        self.round_probes.clear();
        self.pending_probes.clear();
        (self.next_round_at, self.next_seed_at) = (now, self.next_seed_at.max(now));
        let missed_rounds = late.0 / self.config.timing.probe_interval.0.max(1);
        self.adjust_local_health(missed_rounds.clamp(1, u64::from(MAX_LOCAL_HEALTH_SCORE)) as i32);
        let timers: Vec<String> = self.timers.iter().map(|(_, name)| name.clone()).collect();
        self.timers.clear();
        for name in timers {
            let Some(member) = self.members.get_mut(&name) else { continue };
            let at = member.timer.map(|at| at + late);
            member.state_since = member.state_since + late;
            self.set_timer(&name, at);
        }
    }

    /// Replaces the timer of a member.
    fn set_timer(&mut self, name: &str, at: Option<Timestamp>) {
        let Some(member) = self.members.get_mut(name) else { return };
        if let Some(before) = member.timer.take() {
            self.timers.remove(&(before, name.to_owned()));
        }
        if let Some(at) = at {
            member.timer = Some(at);
            self.timers.insert((at, name.to_owned()));
        }
    }

    /// Does everything that is due.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        self.detect_stall(now);
        if self.state == MemberState::Left {
            (self.next_round_at, self.next_seed_at) =
                (now + self.config.timing.seed_interval, now + self.config.timing.seed_interval);
            return;
        }
        let expired = |(id, probe): (&u32, &PendingProbe)| (probe.expires_at <= now).then_some(*id);
        let expired: Vec<u32> = self.pending_probes.iter().filter_map(expired).collect();
        for id in expired {
            if let Some(PendingProbe { purpose: ProbePurpose::Relay { requester, probe_id, .. }, .. }) =
                self.pending_probes.remove(&id)
            {
                self.send(now, &requester, Kind::Nack, probe_id, None);
            }
        }
        while let Some((at, name)) = self.timers.first().filter(|(at, _)| *at <= now).cloned() {
            self.timers.remove(&(at, name.clone()));
            self.member_timeout(now, &name);
        }
        for index in 0..self.round_probes.len() {
            if self.round_probes[index].indirect_at.is_some_and(|at| at <= now) {
                self.probe_indirectly(now, index);
            }
        }
        if self.next_seed_at <= now {
            self.reconnect(now);
        }
        if self.next_round_at <= now {
            let retries = self.end_round(now);
            self.next_round_at = now + self.scale_by_health(self.config.timing.probe_interval);
            if self.displaced_by().is_none() {
                self.begin_round(now, retries);
            }
        }
        self.check_alone(now);
    }

    /// Records a change when this node becomes alone or stops being alone.
    fn check_alone(&mut self, now: Timestamp) {
        if self.was_alone != self.is_alone() {
            self.was_alone = self.is_alone();
            let (name, generation) = (self.name.clone(), self.generation);
            let kind = if self.was_alone { ChangeKind::Alone } else { ChangeKind::NoLongerAlone };
            self.record_change(now, &name, generation, kind, &name);
        }
    }

    /// A member's timer has fired: its suspicion ends in death, or it is forgotten.
    fn member_timeout(&mut self, now: Timestamp, name: &str) {
        let Some(member) = self.members.get_mut(name) else { return };
        member.timer = None;
        let generation = member.generation;
        match member.state {
            MemberState::Suspect => {
                let reporter = self.name.clone();
                self.set_state(now, name, MemberState::Dead, &reporter);
                self.gossip.add(name);
            }
            MemberState::Dead | MemberState::Left => {
                self.members.remove(name);
                self.gossip.remove(name);
                let reporter = self.name.clone();
                self.record_change(now, name, generation, ChangeKind::Forgotten, &reporter);
            }
            MemberState::Alive => {}
        }
    }

    /// Sets a member's state within the same generation and incarnation.
    fn set_state(&mut self, now: Timestamp, name: &str, state: MemberState, reporter: &str) {
        let kind = match state {
            MemberState::Alive => ChangeKind::Refuted,
            MemberState::Suspect => ChangeKind::Suspected,
            MemberState::Dead => ChangeKind::Dead,
            MemberState::Left => ChangeKind::Left,
        };
        self.set_state_as(now, name, state, reporter, kind);
    }

    /// As `set_state`, recorded as a change of the given kind.
    fn set_state_as(
        &mut self,
        now: Timestamp,
        name: &str,
        state: MemberState,
        reporter: &str,
        kind: ChangeKind,
    ) {
        let Some(member) = self.members.get_mut(name) else { return };
        let (old_state, generation, incarnation) = (member.state, member.generation, member.incarnation);
        (member.state, member.state_since, member.reported_by) = (state, now, reporter.to_owned());
        member.suspected_by.clear();
        if old_state.is_present() != state.is_present() {
            self.digest ^= checksums::member_hash(name, generation, incarnation);
            match state.is_present() {
                true => self.present_count += 1,
                false => self.present_count -= 1,
            }
        }
        self.set_timer(name, (!state.is_present()).then(|| now + self.config.timing.forget_after));
        if state == MemberState::Suspect {
            self.confirm_suspicion(name, reporter);
        }
        self.record_change(now, name, generation, kind, reporter);
    }

    /// Processes a datagram received from that address.
    pub fn receive(&mut self, now: Timestamp, from: SocketAddr, bytes: &[u8]) {
        self.detect_stall(now);
        if !self.config.allows(from) {
            self.counters.outside_networks += 1;
            return;
        }
        let datagram = match Datagram::from_bytes(bytes) {
            Ok(datagram) => datagram,
            Err(DecodeError::Malformed) => {
                self.counters.malformed += 1;
                return;
            }
            Err(DecodeError::OtherVersion) => {
                self.counters.other_version += 1;
                return;
            }
        };
        if datagram.fleet != self.config.fleet {
            self.counters.other_fleet += 1;
            return;
        }
        if !self.config.allows(datagram.address) {
            self.counters.outside_networks += 1;
            return;
        }
        self.counters.datagrams_received += 1;
        if self.state != MemberState::Left {
            self.handle_datagram(now, datagram);
            self.check_alone(now);
        }
    }

    /// Merges the updates of a valid datagram and answers it.
    fn handle_datagram(&mut self, now: Timestamp, datagram: Datagram) {
        if datagram.sender == self.name {
            self.handle_own_name(now, &datagram);
            return;
        }
        let known = self
            .members
            .get(&datagram.sender)
            .map(|member| (member.generation, member.state, member.incarnation));
        if known.is_some_and(|(generation, _, _)| generation > datagram.generation) {
            // The sender is an old generation, or a second process of that name. It is informed of the later one.
            self.counters.old_generation += 1;
            let update = self.update_about(&datagram.sender, true);
            self.send_update(now, datagram.address, update);
            return;
        }
        for update in datagram.updates.iter().flatten() {
            // Updates that repair this view are not gossiped further: other nodes that miss them are repaired in the
            // same way.
            let gossip_further = datagram.kind != Kind::Updates || update.name == datagram.sender;
            self.merge(now, update, &datagram.sender, gossip_further);
        }
        let announced = (datagram.generation, datagram.incarnation);
        self.lacks_info |=
            self.members.get(&datagram.sender).is_some_and(|m| (m.generation, m.incarnation) < announced);
        let sender_is_unknown = match self
            .members
            .get_mut(&datagram.sender)
            .filter(|member| member.generation == datagram.generation)
        {
            Some(member) => {
                member.last_heard = Some(now);
                member.load = datagram.load.or(member.load);
                false
            }
            None => true,
        };
        self.notify_accused(now, &datagram);
        let at = match sender_is_unknown {
            true => datagram.address,
            false => self.address(&datagram.sender).unwrap_or(datagram.address),
        };
        match datagram.kind {
            Kind::Ping => {
                let target = if sender_is_unknown { None } else { Some(datagram.sender.as_str()) };
                self.send_ack(now, at, target, datagram.probe_id, sender_is_unknown);
            }
            Kind::Ack => {
                self.handle_ack(now, &datagram);
                if sender_is_unknown || datagram.wants_info == Some(true) {
                    let own = self.update_about(&self.name.clone(), true);
                    self.send_update(now, at, own);
                }
            }
            Kind::PingReq => self.handle_ping_req(now, &datagram),
            Kind::Nack => {
                if let Some(round_probe) =
                    self.round_probes.iter_mut().find(|round_probe| round_probe.probe_id == datagram.probe_id)
                {
                    round_probe.nacks += 1;
                }
            }
            Kind::Checksums => self.handle_checksums(now, at, &datagram),
            Kind::Updates => {}
        }
        self.compare_digest(now, at, &datagram);
    }

    /// The number of tracked probes and of queued updates, which tests compare with their bounds.
    pub fn pending_counts(&self) -> (usize, usize) {
        (self.pending_probes.len(), self.gossip.len())
    }
}
