//! The state machine: what is heard, what is due, what goes out, and what has changed.
//!
//! What it promises: an entry only ever grows by (life, edition, standing), so that all who hear the same believe the
//! same; a node raises its own edition, or its life, above whatever is said of it; nobody is called dead but after a
//! suspicion that it had the time to refute; memory and work are bounded whatever arrives.

mod ask;
mod learn;
mod speak;

use crate::card::{Card, Edition, Life, Load, Standing};
use crate::gossip::{Gossip, Purse};
use crate::member::Member;
use crate::sums;
use crate::terms::ViewTerms;
use crate::wire::{Datagram, Kind, Unread};
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
    pub life: Life,
    pub what: What,
    /// Whose word it is: a member's name, or this node's own.
    pub by: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
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
    Card,
    /// This node has raised its own edition or life above what was said of it.
    Raised,
    /// Another process has this node's name, and a later start.
    Displaced,
    /// Nobody else is there any more, or somebody is there again.
    Alone,
    Together,
}

impl What {
    pub fn word(self) -> &'static str {
        match self {
            What::Joined => "joined",
            What::Restarted => "started again",
            What::Refuted => "alive after all",
            What::Suspected => "suspected",
            What::Dead => "dead",
            What::Left => "left",
            What::Forgotten => "forgotten",
            What::Card => "tells something else of itself",
            What::Raised => "this node refutes what was said of it",
            What::Displaced => "another process has this node's name",
            What::Alone => "this node is alone",
            What::Together => "this node is no longer alone",
        }
    }
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub heard: u64,
    pub sent: u64,
    pub bytes_sent: u64,
    /// Dropped: from outside the networks, of another fleet, of another version, malformed, of an old life.
    pub strangers: u64,
    pub other_fleet: u64,
    pub other_version: u64,
    pub malformed: u64,
    pub old_life: u64,
    /// New members for whom there is no room.
    pub no_room: u64,
    pub changes: u64,
    /// Times that this node was stopped or kept from its work for longer than half a period.
    pub stalls: u64,
}

#[derive(Clone)]
enum Purpose {
    /// The ask of this round.
    Round,
    /// Another one's ask, under its number there.
    Relay { of: String, ask: u32, subject: String },
    /// Whether another process answers to this node's name.
    Rival,
}

#[derive(Clone)]
struct Asked {
    purpose: Purpose,
    until: Timestamp,
    sent: Timestamp,
}

/// An ask of a round that is out.
#[derive(Clone)]
struct Round {
    ask: u32,
    target: String,
    life: Life,
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
    life: Life,
    tries: u32,
    answered: bool,
}

/// Cloned by searches alone.
#[derive(Clone)]
pub struct View {
    pub terms: ViewTerms,
    name: String,
    life: Life,
    edition: Edition,
    carded: Edition,
    card: Card,
    load: Load,
    standing: Standing,
    chance: ChaCha8Rng,
    members: BTreeMap<String, Member>,
    here: usize,
    digest: u64,
    /// Members in the order in which they are asked, and how far this round of them is.
    order: Vec<String>,
    turn: usize,
    rounds: Vec<Round>,
    round_at: Timestamp,
    asks: BTreeMap<u32, Asked>,
    last_ask: u32,
    trouble: u32,
    /// Of this node's own asks of late, the share that had no answer by themselves.
    lossy: f64,
    timers: BTreeSet<(Timestamp, String)>,
    seeds_at: Timestamp,
    rival: Option<Rival>,
    gossip: Gossip,
    purse: Purse,
    differs: Option<Timestamp>,
    exchange_at: Timestamp,
    /// News has come that was of no use without a card.
    lacking: bool,
    out: VecDeque<(SocketAddr, Vec<u8>)>,
    changes: VecDeque<Change>,
    counts: Counts,
    alone: bool,
    born: Timestamp,
    stalled: Option<Timestamp>,
    answered: Option<Timestamp>,
}

impl View {
    /// A node's view at its start: it knows itself, and where the seeds are.
    pub fn new(now: Timestamp, terms: ViewTerms, name: &str, life: Life, card: Card, seed: u64) -> View {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let first = Micros(chance.random_range(0..=terms.times.period.0));
        let purse = Purse::new(now, f64::from(terms.bytes_per_s), BURST);
        let mut view = View {
            name: name.to_owned(),
            life,
            edition: Edition(0),
            carded: Edition(0),
            card,
            load: Load::default(),
            standing: Standing::Alive,
            chance,
            members: BTreeMap::new(),
            here: 1,
            digest: sums::part(name, life, Edition(0)),
            order: Vec::new(),
            turn: 0,
            rounds: Vec::new(),
            round_at: now + first,
            asks: BTreeMap::new(),
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
            counts: Counts::default(),
            alone: true,
            born: now,
            stalled: None,
            answered: None,
            terms,
        };
        view.gossip.add(name);
        view
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    pub fn life(&self) -> Life {
        self.life
    }

    pub fn edition(&self) -> Edition {
        self.edition
    }

    pub fn card(&self) -> &Card {
        &self.card
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
    pub fn here(&self) -> usize {
        self.here
    }

    /// Of all that are here, by name, life and edition: equal where two views are.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// How much this node's own troubles stretch its times: 0 for not at all.
    pub fn trouble(&self) -> u32 {
        self.trouble
    }

    pub fn alone(&self) -> bool {
        self.here == 1
    }

    /// Where another process with this node's name and a later start is, if one has answered.
    pub fn displaced(&self) -> Option<SocketAddr> {
        self.rival.as_ref().filter(|rival| rival.answered).map(|rival| rival.address)
    }

    /// When it began, or went on after being kept from its work for longer than it may be out of touch.
    pub fn awake_since(&self) -> Timestamp {
        self.stalled.map_or(self.born, |at| at.max(self.born))
    }

    /// When an ask of this node's was last answered.
    pub fn answered(&self) -> Option<Timestamp> {
        self.answered
    }

    pub fn change(&mut self) -> Option<Change> {
        self.changes.pop_front()
    }

    /// The next datagram to send.
    pub fn outgoing(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.out.pop_front()
    }

    /// When it wants to be called next.
    pub fn next(&self) -> Timestamp {
        let relay = self.rounds.iter().filter_map(|round| round.relay).min();
        let timer = self.timers.first().map(|(at, _)| *at);
        let ask = self.asks.values().map(|asked| asked.until).min();
        let soonest = [relay, timer, ask].into_iter().flatten().min();
        let own = self.round_at.min(self.seeds_at);
        soonest.map_or(own, |at| at.min(own))
    }

    fn note(&mut self, now: Timestamp, name: &str, life: Life, what: What, by: &str) {
        self.counts.changes += 1;
        if self.changes.len() >= CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(Change { at: now, name: name.to_owned(), life, what, by: by.to_owned() });
    }

    /// Other terms, as the operators' file now says. What is known stays.
    pub fn follow(&mut self, now: Timestamp, terms: ViewTerms) {
        self.purse = Purse::new(now, f64::from(terms.bytes_per_s), BURST);
        self.terms = terms;
        self.seeds_at = now;
    }

    /// What this node says of itself from now on.
    pub fn told(&mut self, card: &Card, load: Load) {
        self.load = load;
        if self.card != *card {
            self.card = card.clone();
            self.raise_edition(Edition(self.edition.0 + 1));
            self.carded = self.edition;
            self.gossip.add(&self.name.clone());
        }
    }

    fn raise_edition(&mut self, edition: Edition) {
        self.digest ^= sums::part(&self.name, self.life, self.edition);
        self.edition = edition;
        self.digest ^= sums::part(&self.name, self.life, self.edition);
    }

    /// Begins another life: the one that it was said to have is over, or was never its own.
    pub fn raise_life(&mut self, now: Timestamp, above: Life) {
        self.digest ^= sums::part(&self.name, self.life, self.edition);
        (self.life, self.edition, self.carded) = (Life(above.0.max(self.life.0) + 1), Edition(0), Edition(0));
        self.digest ^= sums::part(&self.name, self.life, self.edition);
        (self.rival, self.standing) = (None, Standing::Alive);
        self.announce(now);
    }

    fn announce(&mut self, now: Timestamp) {
        let (name, life) = (self.name.clone(), self.life);
        self.gossip.add(&name);
        self.note(now, &name, life, What::Raised, &name);
    }

    /// Goes, and says so to some of those that are here. Nothing is sent after that.
    pub fn leave(&mut self, now: Timestamp) {
        self.standing = Standing::Left;
        let name = self.name.clone();
        self.gossip.add(&name);
        for other in self.some(2 * RELAYS, None) {
            self.send(now, &other, Kind::Tell, 0, None);
        }
    }

    fn address(&self, name: &str) -> Option<SocketAddr> {
        let known = || self.members.get(name).map(|member| member.card.address);
        self.terms.via.get(name).copied().or_else(known)
    }

    fn stretch(&self, span: Micros) -> Micros {
        Micros(span.0 * u64::from(self.trouble + 2) / 2)
    }

    fn trouble_by(&mut self, by: i32) {
        self.trouble = self.trouble.saturating_add_signed(by).min(TROUBLE);
    }

    /// Kept from its work for long, a node has no word on who was silent: nothing is held against anybody.
    fn wake(&mut self, now: Timestamp) {
        let late = now.since(self.next());
        if late.0 <= self.terms.times.period.0 / 2 {
            return;
        }
        self.counts.stalls += 1;
        if late > self.terms.times.release {
            self.stalled = Some(now);
        }
        self.rounds.clear();
        self.asks.clear();
        (self.round_at, self.seeds_at) = (now, self.seeds_at.max(now));
        let periods = late.0 / self.terms.times.period.0.max(1);
        self.trouble_by(periods.clamp(1, u64::from(TROUBLE)) as i32);
        let timers: Vec<String> = self.timers.iter().map(|(_, name)| name.clone()).collect();
        self.timers.clear();
        for name in timers {
            let Some(member) = self.members.get_mut(&name) else { continue };
            let at = member.timer.map(|at| at + late);
            member.since = member.since + late;
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
    pub fn due(&mut self, now: Timestamp) {
        self.wake(now);
        if self.standing == Standing::Left {
            (self.round_at, self.seeds_at) = (now + self.terms.times.seeds, now + self.terms.times.seeds);
            return;
        }
        let over = |(number, asked): (&u32, &Asked)| (asked.until <= now).then_some(*number);
        let over: Vec<u32> = self.asks.iter().filter_map(over).collect();
        for number in over {
            if let Some(Asked { purpose: Purpose::Relay { of, ask, .. }, .. }) = self.asks.remove(&number) {
                self.send(now, &of, Kind::Nothing, ask, None);
            }
        }
        while let Some((at, name)) = self.timers.first().filter(|(at, _)| *at <= now).cloned() {
            self.timers.remove(&(at, name.clone()));
            self.timer(now, &name);
        }
        for ask in 0..self.rounds.len() {
            if self.rounds[ask].relay.is_some_and(|at| at <= now) {
                self.relay(now, ask);
            }
        }
        if self.seeds_at <= now {
            self.try_again(now);
        }
        if self.round_at <= now {
            let again = self.end_round(now);
            self.round_at = now + self.stretch(self.terms.times.period);
            if self.displaced().is_none() {
                self.begin_round(now, again);
            }
        }
        self.look_round(now);
    }

    fn look_round(&mut self, now: Timestamp) {
        if self.alone != self.alone() {
            self.alone = self.alone();
            let (name, life) = (self.name.clone(), self.life);
            let what = if self.alone { What::Alone } else { What::Together };
            self.note(now, &name, life, what, &name);
        }
    }

    /// A suspicion is over, or the time to forget has come.
    fn timer(&mut self, now: Timestamp, name: &str) {
        let Some(member) = self.members.get_mut(name) else { return };
        member.timer = None;
        let life = member.life;
        match member.standing {
            Standing::Suspected => {
                let by = self.name.clone();
                self.set(now, name, Standing::Dead, &by);
                self.gossip.add(name);
            }
            Standing::Dead | Standing::Left => {
                self.members.remove(name);
                self.gossip.drop(name);
                let by = self.name.clone();
                self.note(now, name, life, What::Forgotten, &by);
            }
            Standing::Alive => {}
        }
    }

    /// Sets what is believed of a member, in the same life and edition.
    fn set(&mut self, now: Timestamp, name: &str, standing: Standing, by: &str) {
        let what = match standing {
            Standing::Alive => What::Refuted,
            Standing::Suspected => What::Suspected,
            Standing::Dead => What::Dead,
            Standing::Left => What::Left,
        };
        self.set_for(now, name, standing, by, what);
    }

    fn set_for(&mut self, now: Timestamp, name: &str, standing: Standing, by: &str, what: What) {
        let Some(member) = self.members.get_mut(name) else { return };
        let (was, life, edition) = (member.standing, member.life, member.edition);
        (member.standing, member.since, member.by) = (standing, now, by.to_owned());
        member.suspecters.clear();
        if was.here() != standing.here() {
            self.digest ^= sums::part(name, life, edition);
            match standing.here() {
                true => self.here += 1,
                false => self.here -= 1,
            }
        }
        self.set_timer(name, (!standing.here()).then(|| now + self.terms.times.forget));
        if standing == Standing::Suspected {
            self.confirm(name, by);
        }
        self.note(now, name, life, what, by);
    }

    /// A datagram that came from there.
    pub fn heard(&mut self, now: Timestamp, from: SocketAddr, bytes: &[u8]) {
        self.wake(now);
        if !self.terms.near(from) {
            self.counts.strangers += 1;
            return;
        }
        let datagram = match Datagram::read(bytes) {
            Ok(datagram) => datagram,
            Err(Unread::Malformed) => {
                self.counts.malformed += 1;
                return;
            }
            Err(Unread::OtherVersion) => {
                self.counts.other_version += 1;
                return;
            }
        };
        if datagram.fleet != self.terms.fleet {
            self.counts.other_fleet += 1;
            return;
        }
        if !self.terms.near(datagram.address) {
            self.counts.strangers += 1;
            return;
        }
        self.counts.heard += 1;
        if self.standing != Standing::Left {
            self.take(now, datagram);
            self.look_round(now);
        }
    }

    fn take(&mut self, now: Timestamp, datagram: Datagram) {
        if datagram.from == self.name {
            self.namesake(now, &datagram);
            return;
        }
        let known =
            self.members.get(&datagram.from).map(|member| (member.life, member.standing, member.edition));
        if known.is_some_and(|(life, _, _)| life > datagram.life) {
            // An old life, or a second process of that name: it is to know that there is a later one.
            self.counts.old_life += 1;
            let news = self.news(&datagram.from, true);
            self.tell(now, datagram.address, news);
            return;
        }
        for news in datagram.news.iter().flatten() {
            // What is told to mend a view is no news to all: whoever lacks it finds out in the same way.
            let spread = datagram.kind != Kind::Tell || news.name == datagram.from;
            self.learn(now, news, &datagram.from, spread);
        }
        let said = (datagram.life, datagram.edition);
        self.lacking |= self.members.get(&datagram.from).is_some_and(|m| (m.life, m.edition) < said);
        let stranger =
            match self.members.get_mut(&datagram.from).filter(|member| member.life == datagram.life) {
                Some(member) => {
                    member.heard = Some(now);
                    member.load = datagram.load.or(member.load);
                    false
                }
                None => true,
            };
        self.accuse(now, &datagram);
        let at = match stranger {
            true => datagram.address,
            false => self.address(&datagram.from).unwrap_or(datagram.address),
        };
        match datagram.kind {
            Kind::Ask => {
                let target = if stranger { None } else { Some(datagram.from.as_str()) };
                self.answer(now, at, target, datagram.ask, stranger);
            }
            Kind::Answer => {
                self.answered_by(now, &datagram);
                if stranger || datagram.whole == Some(true) {
                    let own = self.news(&self.name.clone(), true);
                    self.tell(now, at, own);
                }
            }
            Kind::AskFor => self.ask_for(now, &datagram),
            Kind::Nothing => {
                if let Some(round) = self.rounds.iter_mut().find(|round| round.ask == datagram.ask) {
                    round.nothings += 1;
                }
            }
            Kind::Sums => self.sums(now, at, &datagram),
            Kind::Tell => {}
        }
        self.compare(now, at, &datagram);
    }

    /// Of what is held, to be tested against its bounds: asks out, and news still to be told.
    pub fn held(&self) -> (usize, usize) {
        (self.asks.len(), self.gossip.len())
    }
}
