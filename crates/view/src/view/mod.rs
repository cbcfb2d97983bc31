//! The state machine: what is heard, what is due, what goes out, and what has changed.
//!
//! What it promises: an entry only ever grows by (life, edition, standing), so that all who hear the same believe the
//! same; a node raises its own edition, or its life, above whatever is said of it; nobody is called dead but after a
//! suspicion that it had the time to refute; memory and work are bounded whatever arrives.

mod merge;
mod probe;
mod send;

use crate::checksums as sums;
use crate::config::ViewConfig;
use crate::gossip::{ByteBudget, Gossip};
use crate::member::Member;
use crate::node_info::{Generation, Incarnation, Load, MemberState, NodeInfo};
use crate::wire::{Datagram, DecodeError, Kind};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use yarrowfront::times::{Micros, Timestamp};

/// With more news than this waiting each is told a few times only, and the sums mend the rest.
const CROWD: usize = 48;
const FEW: u32 = 4;
/// Others that are asked to ask, where a member has not answered.
const RELAYS: usize = 3;
/// Each news is told so many times for each doubling of the members: enough that nobody misses it but by a chance of
/// one in thousands, which the sums then mend.
const TELLINGS: f64 = 1.5;
/// One's own troubles stretch its times by up to half as much more for each (Lifeguard's local health; with its bound
/// of eight whole ones the smaller side of a partition took half a minute to know).
const TROUBLE: u32 = 4;
/// What is held for others at a time, and changes until they are fetched.
const ASKS: usize = 512;
const CHANGES: usize = 4096;
/// Bytes that may be saved up for a burst, as when all start at once or two halves of a fleet meet: a thousand members
/// were one again after 5.6 to 6 s with this, after 25 s with a quarter of it, and after 40 s with 64,000.
const BURST: f64 = 1_000_000.0;
/// Where more asks than this share are lost, whoever has not answered is asked in another round before it is suspected:
/// at a loss of a fifth of all datagrams one in forty asks fails by chance, one in a thousand twice.
const LOSSY: f64 = 0.15;
/// And more than this are lost by a cut: at a fifth of all datagrams it is a third.
const CUT: f64 = 0.45;
/// Of an ask or an answer, what it has without news.
const OWED: usize = 120;
/// Asks of one's own rival until it is taken to be gone.
const TRIES: u32 = 4;
/// Tries of seeds and of the dead by all members together, a second.
const TRIES_PER_S: f64 = 50.0;

/// Something that has changed in the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    pub at: Timestamp,
    pub name: String,
    pub generation: Generation,
    pub kind: ChangeKind,
    /// Whose word it is: a member's name, or this node's own.
    pub reported_by: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    Joined,
    /// It is there under a new start.
    Restarted,
    /// It was suspected, dead or gone, and has refuted that.
    Refuted,
    Suspected,
    Dead,
    Left,
    Forgotten,
    /// It tells something else of itself.
    InfoChanged,
    /// This node has raised its own edition or life above what was said of it.
    SelfRefuted,
    /// Another process has this node's name, and a later start.
    NameTaken,
    /// Nobody else is there any more, or somebody is there again.
    Alone,
    NoLongerAlone,
}

impl ChangeKind {
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
    /// Dropped: from outside the networks, of another fleet, of another version, malformed, of an old life.
    pub outside_networks: u64,
    pub other_fleet: u64,
    pub other_version: u64,
    pub malformed: u64,
    pub old_generation: u64,
    /// New members for whom there is no room.
    pub member_limit_reached: u64,
    pub changes: u64,
    /// Times that this node was stopped or kept from its work for longer than half a period.
    pub stalls: u64,
}

#[derive(Clone)]
enum Purpose {
    /// The ask of this round.
    Round,
    /// Another one's ask, under its number there.
    Relay { of: String, probe_id: u32, subject: String },
    /// Whether another process answers to this node's name.
    Rival,
}

#[derive(Clone)]
struct PendingProbe {
    purpose: Purpose,
    until: Timestamp,
    sent: Timestamp,
}

/// An ask of a round that is out.
#[derive(Clone)]
struct Round {
    probe_id: u32,
    target: String,
    generation: Generation,
    /// When others are asked to ask, if they have not been.
    relay: Option<Timestamp>,
    relays: usize,
    nothings: usize,
    /// It was asked in the round before, in vain.
    again: bool,
}

#[derive(Clone)]
struct Rival {
    address: SocketAddr,
    generation: Generation,
    tries: u32,
    answered: bool,
}

/// Cloned by searches alone.
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
    chance: ChaCha8Rng,
    members: BTreeMap<String, Member>,
    present_count: usize,
    digest: u64,
    /// Members in the order in which they are asked, and how far this round of them is.
    order: Vec<String>,
    turn: usize,
    rounds: Vec<Round>,
    round_at: Timestamp,
    pending_probes: BTreeMap<u32, PendingProbe>,
    last_ask: u32,
    trouble: u32,
    /// Of this node's own asks of late, the share that had no answer by themselves.
    lossy: f64,
    timers: BTreeSet<(Timestamp, String)>,
    seeds_at: Timestamp,
    rival: Option<Rival>,
    gossip: Gossip,
    purse: ByteBudget,
    differs: Option<Timestamp>,
    exchange_at: Timestamp,
    /// News has come that was of no use without a card.
    lacking: bool,
    out: VecDeque<(SocketAddr, Vec<u8>)>,
    changes: VecDeque<Change>,
    counters: Counters,
    alone: bool,
    born: Timestamp,
    stalled: Option<Timestamp>,
    answered: Option<Timestamp>,
}

impl View {
    /// A node's view at its start: it knows itself, and where the seeds are.
    pub fn new(
        now: Timestamp,
        config: ViewConfig,
        name: &str,
        generation: Generation,
        info: NodeInfo,
        seed: u64,
    ) -> View {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let first = Micros(chance.random_range(0..=config.timing.probe_interval.0));
        let purse = ByteBudget::new(now, f64::from(config.bytes_per_s), BURST);
        let mut view = View {
            name: name.to_owned(),
            generation,
            incarnation: Incarnation(0),
            info_incarnation: Incarnation(0),
            info,
            load: Load::default(),
            state: MemberState::Alive,
            chance,
            members: BTreeMap::new(),
            present_count: 1,
            digest: sums::part(name, generation, Incarnation(0)),
            order: Vec::new(),
            turn: 0,
            rounds: Vec::new(),
            round_at: now + first,
            pending_probes: BTreeMap::new(),
            last_ask: 0,
            trouble: 0,
            lossy: 0.0,
            timers: BTreeSet::new(),
            seeds_at: now,
            rival: None,
            gossip: Gossip::default(),
            purse,
            differs: None,
            exchange_at: now,
            lacking: false,
            out: VecDeque::new(),
            changes: VecDeque::new(),
            counters: Counters::default(),
            alone: true,
            born: now,
            stalled: None,
            answered: None,
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

    /// All others that are known, the dead too until they are forgotten.
    pub fn members(&self) -> impl Iterator<Item = (&str, &Member)> {
        self.members.iter().map(|(name, member)| (name.as_str(), member))
    }

    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// How many are here, this node among them.
    pub fn present_count(&self) -> usize {
        self.present_count
    }

    /// Of all that are here, by name, life and edition: equal where two views are.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// How much this node's own troubles stretch its times: 0 for not at all.
    pub fn local_health_score(&self) -> u32 {
        self.trouble
    }

    pub fn is_alone(&self) -> bool {
        self.present_count == 1
    }

    /// Where another process with this node's name and a later start is, if one has answered.
    pub fn displaced_by(&self) -> Option<SocketAddr> {
        self.rival.as_ref().filter(|rival| rival.answered).map(|rival| rival.address)
    }

    /// When it began, or went on after being kept from its work for longer than it may be out of touch.
    pub fn running_since(&self) -> Timestamp {
        self.stalled.map_or(self.born, |at| at.max(self.born))
    }

    /// When an ask of this node's was last answered.
    pub fn last_answered(&self) -> Option<Timestamp> {
        self.answered
    }

    pub fn next_change(&mut self) -> Option<Change> {
        self.changes.pop_front()
    }

    /// The next datagram to send.
    pub fn next_datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.out.pop_front()
    }

    /// When it wants to be called next.
    pub fn next_timeout(&self) -> Timestamp {
        let relay = self.rounds.iter().filter_map(|round| round.relay).min();
        let timer = self.timers.first().map(|(at, _)| *at);
        let probe_id = self.pending_probes.values().map(|asked| asked.until).min();
        let soonest = [relay, timer, probe_id].into_iter().flatten().min();
        let own = self.round_at.min(self.seeds_at);
        soonest.map_or(own, |at| at.min(own))
    }

    fn note(&mut self, now: Timestamp, name: &str, generation: Generation, kind: ChangeKind, by: &str) {
        self.counters.changes += 1;
        if self.changes.len() >= CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(Change {
            at: now,
            name: name.to_owned(),
            generation,
            kind,
            reported_by: by.to_owned(),
        });
    }

    /// Other terms, as the operators' file now says. What is known stays.
    pub fn reconfigure(&mut self, now: Timestamp, config: ViewConfig) {
        self.purse = ByteBudget::new(now, f64::from(config.bytes_per_s), BURST);
        self.config = config;
        self.seeds_at = now;
    }

    /// What this node says of itself from now on.
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
        self.digest ^= sums::part(&self.name, self.generation, self.incarnation);
        self.incarnation = incarnation;
        self.digest ^= sums::part(&self.name, self.generation, self.incarnation);
    }

    /// Begins another life: the one that it was said to have is over, or was never its own.
    pub fn raise_generation(&mut self, now: Timestamp, above: Generation) {
        self.digest ^= sums::part(&self.name, self.generation, self.incarnation);
        (self.generation, self.incarnation, self.info_incarnation) =
            (Generation(above.0.max(self.generation.0) + 1), Incarnation(0), Incarnation(0));
        self.digest ^= sums::part(&self.name, self.generation, self.incarnation);
        (self.rival, self.state) = (None, MemberState::Alive);
        self.announce(now);
    }

    fn announce(&mut self, now: Timestamp) {
        let (name, generation) = (self.name.clone(), self.generation);
        self.gossip.add(&name);
        self.note(now, &name, generation, ChangeKind::SelfRefuted, &name);
    }

    /// Goes, and says so to some of those that are here. Nothing is sent after that.
    pub fn leave(&mut self, now: Timestamp) {
        self.state = MemberState::Left;
        let name = self.name.clone();
        self.gossip.add(&name);
        for other in self.some(2 * RELAYS, None) {
            self.send(now, &other, Kind::Updates, 0, None);
        }
    }

    fn address(&self, name: &str) -> Option<SocketAddr> {
        let known = || self.members.get(name).map(|member| member.info.address);
        self.config.address_overrides.get(name).copied().or_else(known)
    }

    fn stretch(&self, span: Micros) -> Micros {
        Micros(span.0 * u64::from(self.trouble + 2) / 2)
    }

    fn trouble_by(&mut self, by: i32) {
        self.trouble = self.trouble.saturating_add_signed(by).min(TROUBLE);
    }

    /// Kept from its work for long, a node has no word on who was silent: nothing is held against anybody.
    fn wake(&mut self, now: Timestamp) {
        let late = now.since(self.next_timeout());
        if late.0 <= self.config.timing.probe_interval.0 / 2 {
            return;
        }
        self.counters.stalls += 1;
        if late > self.config.timing.release_after {
            self.stalled = Some(now);
        }
        self.rounds.clear();
        self.pending_probes.clear();
        (self.round_at, self.seeds_at) = (now, self.seeds_at.max(now));
        let periods = late.0 / self.config.timing.probe_interval.0.max(1);
        self.trouble_by(periods.clamp(1, u64::from(TROUBLE)) as i32);
        let timers: Vec<String> = self.timers.iter().map(|(_, name)| name.clone()).collect();
        self.timers.clear();
        for name in timers {
            let Some(member) = self.members.get_mut(&name) else { continue };
            let at = member.timer.map(|at| at + late);
            member.state_since = member.state_since + late;
            self.set_timer(&name, at);
        }
    }

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

    /// Does what is due by now.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        self.wake(now);
        if self.state == MemberState::Left {
            (self.round_at, self.seeds_at) =
                (now + self.config.timing.seed_interval, now + self.config.timing.seed_interval);
            return;
        }
        let over = |(number, asked): (&u32, &PendingProbe)| (asked.until <= now).then_some(*number);
        let over: Vec<u32> = self.pending_probes.iter().filter_map(over).collect();
        for number in over {
            if let Some(PendingProbe { purpose: Purpose::Relay { of, probe_id, .. }, .. }) =
                self.pending_probes.remove(&number)
            {
                self.send(now, &of, Kind::Nack, probe_id, None);
            }
        }
        while let Some((at, name)) = self.timers.first().filter(|(at, _)| *at <= now).cloned() {
            self.timers.remove(&(at, name.clone()));
            self.timer(now, &name);
        }
        for probe_id in 0..self.rounds.len() {
            if self.rounds[probe_id].relay.is_some_and(|at| at <= now) {
                self.relay(now, probe_id);
            }
        }
        if self.seeds_at <= now {
            self.try_again(now);
        }
        if self.round_at <= now {
            let again = self.end_round(now);
            self.round_at = now + self.stretch(self.config.timing.probe_interval);
            if self.displaced_by().is_none() {
                self.begin_round(now, again);
            }
        }
        self.look_round(now);
    }

    fn look_round(&mut self, now: Timestamp) {
        if self.alone != self.is_alone() {
            self.alone = self.is_alone();
            let (name, generation) = (self.name.clone(), self.generation);
            let kind = if self.alone { ChangeKind::Alone } else { ChangeKind::NoLongerAlone };
            self.note(now, &name, generation, kind, &name);
        }
    }

    /// A suspicion is over, or the time to forget has come.
    fn timer(&mut self, now: Timestamp, name: &str) {
        let Some(member) = self.members.get_mut(name) else { return };
        member.timer = None;
        let generation = member.generation;
        match member.state {
            MemberState::Suspect => {
                let by = self.name.clone();
                self.set(now, name, MemberState::Dead, &by);
                self.gossip.add(name);
            }
            MemberState::Dead | MemberState::Left => {
                self.members.remove(name);
                self.gossip.drop(name);
                let by = self.name.clone();
                self.note(now, name, generation, ChangeKind::Forgotten, &by);
            }
            MemberState::Alive => {}
        }
    }

    /// Sets what is believed of a member, in the same life and edition.
    fn set(&mut self, now: Timestamp, name: &str, state: MemberState, by: &str) {
        let kind = match state {
            MemberState::Alive => ChangeKind::Refuted,
            MemberState::Suspect => ChangeKind::Suspected,
            MemberState::Dead => ChangeKind::Dead,
            MemberState::Left => ChangeKind::Left,
        };
        self.set_for(now, name, state, by, kind);
    }

    fn set_for(&mut self, now: Timestamp, name: &str, state: MemberState, by: &str, kind: ChangeKind) {
        let Some(member) = self.members.get_mut(name) else { return };
        let (was, generation, incarnation) = (member.state, member.generation, member.incarnation);
        (member.state, member.state_since, member.reported_by) = (state, now, by.to_owned());
        member.suspected_by.clear();
        if was.is_present() != state.is_present() {
            self.digest ^= sums::part(name, generation, incarnation);
            match state.is_present() {
                true => self.present_count += 1,
                false => self.present_count -= 1,
            }
        }
        self.set_timer(name, (!state.is_present()).then(|| now + self.config.timing.forget_after));
        if state == MemberState::Suspect {
            self.confirm(name, by);
        }
        self.note(now, name, generation, kind, by);
    }

    /// A datagram that came from there.
    pub fn receive(&mut self, now: Timestamp, from: SocketAddr, bytes: &[u8]) {
        self.wake(now);
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
            self.take(now, datagram);
            self.look_round(now);
        }
    }

    fn take(&mut self, now: Timestamp, datagram: Datagram) {
        if datagram.sender == self.name {
            self.namesake(now, &datagram);
            return;
        }
        let known = self
            .members
            .get(&datagram.sender)
            .map(|member| (member.generation, member.state, member.incarnation));
        if known.is_some_and(|(generation, _, _)| generation > datagram.generation) {
            // An old life, or a second process of that name: it is to know that there is a later one.
            self.counters.old_generation += 1;
            let news = self.news(&datagram.sender, true);
            self.tell(now, datagram.address, news);
            return;
        }
        for news in datagram.updates.iter().flatten() {
            // What is told to mend a view is no news to all: whoever lacks it finds out in the same way.
            let spread = datagram.kind != Kind::Updates || news.name == datagram.sender;
            self.learn(now, news, &datagram.sender, spread);
        }
        let said = (datagram.generation, datagram.incarnation);
        self.lacking |=
            self.members.get(&datagram.sender).is_some_and(|m| (m.generation, m.incarnation) < said);
        let stranger = match self
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
        self.accuse(now, &datagram);
        let at = match stranger {
            true => datagram.address,
            false => self.address(&datagram.sender).unwrap_or(datagram.address),
        };
        match datagram.kind {
            Kind::Ping => {
                let target = if stranger { None } else { Some(datagram.sender.as_str()) };
                self.answer(now, at, target, datagram.probe_id, stranger);
            }
            Kind::Ack => {
                self.answered_by(now, &datagram);
                if stranger || datagram.wants_info == Some(true) {
                    let own = self.news(&self.name.clone(), true);
                    self.tell(now, at, own);
                }
            }
            Kind::PingReq => self.ask_for(now, &datagram),
            Kind::Nack => {
                if let Some(round) = self.rounds.iter_mut().find(|round| round.probe_id == datagram.probe_id)
                {
                    round.nothings += 1;
                }
            }
            Kind::Checksums => self.sums(now, at, &datagram),
            Kind::Updates => {}
        }
        self.compare(now, at, &datagram);
    }

    /// Of what is held, to be tested against its bounds: asks out, and news still to be told.
    pub fn pending_counts(&self) -> (usize, usize) {
        (self.pending_probes.len(), self.gossip.len())
    }
}
