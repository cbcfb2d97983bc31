//! Asks: one member a round, others where it does not answer, seeds and the dead now and then; and answers to them.

use super::{PendingProbe, Purpose, Round, View, ASKS, CROWD, CUT, LOSSY, RELAYS, TRIES, TRIES_PER_S};
use crate::member::{suspicion_timeout, MAX_CONFIRMATIONS};
use crate::node_info::MemberState;
use crate::wire::{Datagram, Kind};
use rand::seq::SliceRandom;
use rand::RngExt;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use yarrowfront::times::{Micros, Timestamp};

impl View {
    /// So many members that are here, by chance.
    pub(super) fn some(&mut self, most: usize, but: Option<&str>) -> Vec<String> {
        let mut found: Vec<String> = Vec::new();
        let mut tries = 4 * most + 8;
        while found.len() < most.min(self.present_count - 1) && tries > 0 && !self.order.is_empty() {
            tries -= 1;
            let name = &self.order[self.chance.random_range(0..self.order.len())];
            let here = self.members.get(name).is_some_and(|member| member.state.is_present());
            if here && but != Some(name.as_str()) && !found.contains(name) {
                found.push(name.clone());
            }
        }
        found
    }

    pub(super) fn number(&mut self, now: Timestamp, purpose: Purpose, span: Micros) -> u32 {
        self.last_ask = self.last_ask.wrapping_add(1).max(1);
        if self.pending_probes.len() >= ASKS {
            self.pending_probes.pop_first();
        }
        self.pending_probes.insert(self.last_ask, PendingProbe { purpose, until: now + span, sent: now });
        self.last_ask
    }

    /// The next one that is here, each once before any is asked again.
    pub(super) fn next_target(&mut self) -> Option<String> {
        for _ in 0..2 {
            while self.turn < self.order.len() {
                let name = &self.order[self.turn];
                self.turn += 1;
                if self.members.get(name).is_some_and(|member| member.state.is_present()) {
                    return Some(name.clone());
                }
            }
            self.turn = 0;
            self.order =
                self.members.iter().filter(|(_, m)| m.state.is_present()).map(|(n, _)| n.clone()).collect();
            self.order.shuffle(&mut self.chance);
        }
        None
    }

    /// Asks the next member, and those that did not answer on a lossy way.
    pub(super) fn begin_round(&mut self, now: Timestamp, again: Vec<String>) {
        let next = self.next_target().filter(|name| !again.contains(name));
        let again = again.into_iter().map(|name| (name, true));
        for (target, again) in again.chain(next.map(|name| (name, false))) {
            self.begin_ask(now, target, again);
        }
        // One that is suspected is to hear of it, and to have another chance to be heard. Its silence then confirms
        // nothing: hundreds that ask one member on a lossy way would soon find it silent three times by chance.
        let suspected = |name: &&String| self.members[*name].state == MemberState::Suspect;
        let timed = self.timers.iter().take(16).map(|(_, name)| name).filter(suspected).cloned();
        let timed: Vec<String> = timed.collect();
        if !timed.is_empty() {
            let name = timed[self.chance.random_range(0..timed.len())].clone();
            self.send(now, &name, Kind::Ping, 0, Some(&name));
        }
    }

    fn begin_ask(&mut self, now: Timestamp, target: String, again: bool) {
        let period = self.stretch(self.config.timing.probe_interval);
        let probe_id = self.number(now, Purpose::Round, Micros(period.0 * 2));
        let relay = Some(now + self.stretch(self.config.timing.probe_timeout));
        let Some(member) = self.members.get_mut(&target) else { return };
        member.probes_sent += 1;
        let generation = member.generation;
        self.rounds.push(Round {
            probe_id,
            target: target.clone(),
            generation,
            relay,
            relays: 0,
            nothings: 0,
            again,
        });
        self.send(now, &target, Kind::Ping, probe_id, Some(&target));
    }

    /// One has not answered: others are asked to ask it, and it is asked once more.
    pub(super) fn relay(&mut self, now: Timestamp, place: usize) {
        let (probe_id, target) = (self.rounds[place].probe_id, self.rounds[place].target.clone());
        // Where most asks fail it is the way that is cut, and one other is enough to tell.
        let most = if self.lossy > CUT { 1 } else { RELAYS };
        let relays = self.some(most, Some(&target));
        (self.rounds[place].relay, self.rounds[place].relays) = (None, relays.len());
        for name in relays {
            self.send(now, &name, Kind::PingReq, probe_id, Some(&target));
        }
        self.send(now, &target, Kind::Ping, probe_id, Some(&target));
    }

    /// Whoever has not been heard by now is suspected; on a lossy way only after another round, for which they are
    /// returned.
    pub(super) fn end_round(&mut self, now: Timestamp) -> Vec<String> {
        let (mut again, by) = (Vec::new(), self.name.clone());
        for round in std::mem::take(&mut self.rounds) {
            // Others that could not be heard either tell of troubles of one's own.
            self.trouble_by(1 + round.relays.saturating_sub(round.nothings) as i32);
            let Some(member) = self.members.get_mut(&round.target) else { continue };
            member.probes_lost += 1;
            self.lossy += 0.05 * (1.0 - self.lossy);
            if member.state == MemberState::Alive && self.lossy > LOSSY && !round.again {
                again.push(round.target);
            } else if member.state == MemberState::Alive && member.generation == round.generation {
                self.set(now, &round.target, MemberState::Suspect, &by);
                self.gossip.add(&round.target);
            } else if member.state == MemberState::Suspect && self.confirm(&round.target, &by) {
                self.confirmed(&round.target);
            }
        }
        again
    }

    /// One more suspects it: the suspicion becomes shorter.
    pub(super) fn confirm(&mut self, name: &str, by: &str) -> bool {
        let (period, here) = (self.config.timing.probe_interval, self.present_count);
        let Some(member) = self.members.get_mut(name) else { return false };
        if member.suspected_by.len() > MAX_CONFIRMATIONS || member.suspected_by.iter().any(|one| one == by) {
            return false;
        }
        member.suspected_by.push(by.to_owned());
        let over = member.state_since + suspicion_timeout(period, here, member.suspected_by.len());
        self.set_timer(name, Some(over));
        true
    }

    /// A confirmation is news too, but the first to be spared when there is much else.
    pub(super) fn confirmed(&mut self, name: &str) {
        if self.gossip.len() <= CROWD {
            self.gossip.add(name);
        }
    }

    /// Tries the seeds and one of the dead, as often as all together may: so two halves that have forgotten each
    /// other meet again.
    pub(super) fn try_again(&mut self, now: Timestamp) {
        let timing = &self.config.timing;
        let pause = timing.seed_interval.0.max((self.present_count as f64 / TRIES_PER_S * 1e6) as u64);
        self.seeds_at = now + Micros(self.chance.random_range(pause / 2..=pause * 3 / 2));
        if let Some(mut rival) = self.rival.take() {
            rival.tries += 1;
            if rival.tries > TRIES {
                self.raise_generation(now, rival.generation);
            } else {
                let (at, name) = (rival.address, self.name.clone());
                self.rival = Some(rival);
                let probe_id = self.number(now, Purpose::Rival, self.config.timing.seed_interval);
                self.send_to(now, at, Some(&name), Kind::Ping, probe_id, None);
            }
        }
        let here: BTreeSet<SocketAddr> = self
            .members
            .iter()
            .filter(|(_, m)| m.state.is_present())
            .filter_map(|(n, _)| self.address(n))
            .collect();
        let away = |at: &&SocketAddr| !here.contains(at) && **at != self.info.address;
        let mut seeds: Vec<SocketAddr> = self.config.seeds.iter().filter(away).copied().collect();
        seeds.shuffle(&mut self.chance);
        for at in seeds.into_iter().take(RELAYS) {
            self.send_to(now, at, None, Kind::Ping, 0, None);
        }
        let dead: Vec<&String> =
            self.members.iter().filter(|(_, m)| !m.state.is_present()).map(|(n, _)| n).collect();
        if !dead.is_empty() {
            let name = dead[self.chance.random_range(0..dead.len())].clone();
            self.send(now, &name, Kind::Ping, 0, Some(&name));
        }
    }

    pub(super) fn answer(
        &mut self,
        now: Timestamp,
        at: SocketAddr,
        to: Option<&str>,
        probe_id: u32,
        stranger: bool,
    ) {
        let mut datagram = self.datagram(Kind::Ack, probe_id, None);
        datagram.wants_info = stranger.then_some(true);
        let budget = self.afford(now);
        self.fill(&mut datagram, to, budget);
        self.push(now, at, datagram);
    }

    pub(super) fn answered_by(&mut self, now: Timestamp, datagram: &Datagram) {
        let Some(asked) = self.pending_probes.get(&datagram.probe_id) else { return };
        match &asked.purpose {
            Purpose::Round => {
                let found = self.rounds.iter().position(|round| round.probe_id == datagram.probe_id);
                let Some(round) = found.map(|place| &self.rounds[place]) else { return };
                let direct = datagram.sender == round.target && datagram.generation >= round.generation;
                if !direct && datagram.target.as_deref() != Some(round.target.as_str()) {
                    return;
                }
                let round = self.rounds.swap_remove(found.unwrap_or_default());
                let trip = now.since(asked.sent);
                self.answered = Some(now);
                self.lossy += 0.05 * (f64::from(u8::from(round.relay.is_none())) - self.lossy);
                if let Some(member) = self.members.get_mut(&round.target) {
                    if direct && round.relay.is_some() {
                        let before = member.rtt.unwrap_or(trip);
                        member.rtt = Some(Micros((before.0 * 7 + trip.0) / 8));
                    } else {
                        member.probes_lost += 1;
                    }
                }
                self.trouble_by(-1);
                self.pending_probes.remove(&datagram.probe_id);
            }
            Purpose::Relay { of, probe_id, subject } => {
                if *subject != datagram.sender {
                    return;
                }
                let (of, probe_id, subject) = (of.clone(), *probe_id, subject.clone());
                self.pending_probes.remove(&datagram.probe_id);
                self.send(now, &of, Kind::Ack, probe_id, Some(&subject));
            }
            Purpose::Rival => {}
        }
    }

    pub(super) fn ask_for(&mut self, now: Timestamp, datagram: &Datagram) {
        let Some(subject) = datagram.target.clone().filter(|name| self.members.contains_key(name)) else {
            return;
        };
        let purpose = Purpose::Relay {
            of: datagram.sender.clone(),
            probe_id: datagram.probe_id,
            subject: subject.clone(),
        };
        let probe_id = self.number(now, purpose, self.config.timing.probe_timeout);
        self.send(now, &subject, Kind::Ping, probe_id, Some(&subject));
    }
}
