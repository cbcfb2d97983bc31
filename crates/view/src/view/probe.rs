//! Probing: one member per round, indirect probes where it does not answer, occasional probes of seeds and dead members,
//! and the answers to probes.

use super::{
    PendingProbe, ProbePurpose, RoundProbe, View, CUT_PROBE_SHARE, GOSSIP_CROWDED_LEN, INDIRECT_PROBES,
    LOSSY_PROBE_SHARE, MAX_PENDING_PROBES, MAX_RIVAL_PROBES, RECONNECTS_PER_S,
};
use crate::member::{suspicion_timeout, MAX_CONFIRMATIONS};
use crate::node_info::MemberState;
use crate::wire::{Datagram, Kind};
use rand::seq::SliceRandom;
use rand::RngExt;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use yarrowfront::times::{Micros, Timestamp};

impl View {
    /// Up to `max` random present members, without the excepted one.
    pub(super) fn random_members(&mut self, max: usize, except: Option<&str>) -> Vec<String> {
        let mut found: Vec<String> = Vec::new();
        let mut attempts = 4 * max + 8;
        while found.len() < max.min(self.present_count - 1) && attempts > 0 && !self.probe_order.is_empty() {
            attempts -= 1;
            let name = &self.probe_order[self.rng.random_range(0..self.probe_order.len())];
            let is_present = self.members.get(name).is_some_and(|member| member.state.is_present());
            if is_present && except != Some(name.as_str()) && !found.contains(name) {
                found.push(name.clone());
            }
        }
        found
    }

    /// Assigns a probe id and tracks the probe until it expires. The oldest tracked probe is dropped at the limit.
    pub(super) fn register_probe(&mut self, now: Timestamp, purpose: ProbePurpose, span: Micros) -> u32 {
        self.last_probe_id = self.last_probe_id.wrapping_add(1).max(1);
        if self.pending_probes.len() >= MAX_PENDING_PROBES {
            self.pending_probes.pop_first();
        }
        self.pending_probes
            .insert(self.last_probe_id, PendingProbe { purpose, expires_at: now + span, sent_at: now });
        self.last_probe_id
    }

    /// The next present member to probe. Each is probed once, in random order, before any is probed again.
    pub(super) fn next_target(&mut self) -> Option<String> {
        for _ in 0..2 {
            while self.probe_position < self.probe_order.len() {
                let name = &self.probe_order[self.probe_position];
                self.probe_position += 1;
                if self.members.get(name).is_some_and(|member| member.state.is_present()) {
                    return Some(name.clone());
                }
            }
            self.probe_position = 0;
            self.probe_order =
                self.members.iter().filter(|(_, m)| m.state.is_present()).map(|(n, _)| n.clone()).collect();
            self.probe_order.shuffle(&mut self.rng);
        }
        None
    }

    /// Starts a probe round: the next member, and the retries that a lossy network allows.
    pub(super) fn begin_round(&mut self, now: Timestamp, retries: Vec<String>) {
        let next = self.next_target().filter(|name| !retries.contains(name));
        let retries = retries.into_iter().map(|name| (name, true));
        for (target, is_retry) in retries.chain(next.map(|name| (name, false))) {
            self.start_probe(now, target, is_retry);
        }
        // A suspect is to learn of the suspicion and to get another chance to answer. If it stays silent here, that does
        // not confirm the suspicion: hundreds of nodes probing one member over lossy links would soon find it silent
        // three times by chance.
        let is_suspect = |name: &&String| self.members[*name].state == MemberState::Suspect;
        let suspects = self.timers.iter().take(16).map(|(_, name)| name).filter(is_suspect).cloned();
        let suspects: Vec<String> = suspects.collect();
        if !suspects.is_empty() {
            let name = suspects[self.rng.random_range(0..suspects.len())].clone();
            self.send(now, &name, Kind::Ping, 0, Some(&name));
        }
    }

    fn start_probe(&mut self, now: Timestamp, target: String, is_retry: bool) {
        let interval = self.scale_by_health(self.config.timing.probe_interval);
        let probe_id = self.register_probe(now, ProbePurpose::Direct, Micros(interval.0 * 2));
        let indirect_at = Some(now + self.scale_by_health(self.config.timing.probe_timeout));
        let Some(member) = self.members.get_mut(&target) else { return };
        member.probes_sent += 1;
        let generation = member.generation;
        self.round_probes.push(RoundProbe {
            probe_id,
            target: target.clone(),
            generation,
            indirect_at,
            indirect_count: 0,
            nacks: 0,
            is_retry,
        });
        self.send(now, &target, Kind::Ping, probe_id, Some(&target));
    }

    /// A probe timed out: asks other members to probe the target, and probes it once more directly.
    pub(super) fn probe_indirectly(&mut self, now: Timestamp, round_index: usize) {
        let (probe_id, target) =
            (self.round_probes[round_index].probe_id, self.round_probes[round_index].target.clone());
        // Where most probes fail the links are cut, and one relay is enough to find out.
        let relay_count = if self.lost_probe_share > CUT_PROBE_SHARE { 1 } else { INDIRECT_PROBES };
        let relays = self.random_members(relay_count, Some(&target));
        (self.round_probes[round_index].indirect_at, self.round_probes[round_index].indirect_count) =
            (None, relays.len());
        for name in relays {
            self.send(now, &name, Kind::PingReq, probe_id, Some(&target));
        }
        self.send(now, &target, Kind::Ping, probe_id, Some(&target));
    }

    /// Ends the round: members that have not answered are suspected. Where many probes are lost they are returned instead,
    /// to be probed in another round first.
    pub(super) fn end_round(&mut self, now: Timestamp) -> Vec<String> {
        let (mut retries, reporter) = (Vec::new(), self.name.clone());
        for round_probe in std::mem::take(&mut self.round_probes) {
            // Relays that have not answered either, not even with a nack, indicate trouble at this node.
            self.adjust_local_health(1 + round_probe.indirect_count.saturating_sub(round_probe.nacks) as i32);
            let Some(member) = self.members.get_mut(&round_probe.target) else { continue };
            member.probes_lost += 1;
            self.lost_probe_share += 0.05 * (1.0 - self.lost_probe_share);
            if member.state == MemberState::Alive
                && self.lost_probe_share > LOSSY_PROBE_SHARE
                && !round_probe.is_retry
            {
                retries.push(round_probe.target);
            } else if member.state == MemberState::Alive && member.generation == round_probe.generation {
                self.set_state(now, &round_probe.target, MemberState::Suspect, &reporter);
                self.gossip.add(&round_probe.target);
            } else if member.state == MemberState::Suspect
                && self.confirm_suspicion(&round_probe.target, &reporter)
            {
                self.gossip_confirmation(&round_probe.target);
            }
        }
        retries
    }

    /// Records the suspicion of a further node, which shortens the timeout. Returns false if it adds nothing.
    pub(super) fn confirm_suspicion(&mut self, name: &str, suspecter: &str) -> bool {
        let (interval, members) = (self.config.timing.probe_interval, self.present_count);
        let Some(member) = self.members.get_mut(name) else { return false };
        if member.suspected_by.len() > MAX_CONFIRMATIONS
            || member.suspected_by.iter().any(|known| known == suspecter)
        {
            return false;
        }
        member.suspected_by.push(suspecter.to_owned());
        let timeout = member.state_since + suspicion_timeout(interval, members, member.suspected_by.len());
        self.set_timer(name, Some(timeout));
        true
    }

    /// Gossips the confirmation of a suspicion, unless many other updates are queued.
    pub(super) fn gossip_confirmation(&mut self, name: &str) {
        if self.gossip.len() <= GOSSIP_CROWDED_LEN {
            self.gossip.add(name);
        }
    }

    /// Tries to reach the seeds and one dead member, at a rate shared by all members. Two halves of a fleet that have
    /// forgotten each other find each other again in this way.
    pub(super) fn reconnect(&mut self, now: Timestamp) {
        let timing = &self.config.timing;
        let pause = timing.seed_interval.0.max((self.present_count as f64 / RECONNECTS_PER_S * 1e6) as u64);
        self.next_seed_at = now + Micros(self.rng.random_range(pause / 2..=pause * 3 / 2));
        if let Some(mut rival) = self.rival.take() {
            rival.unanswered_probes += 1;
            if rival.unanswered_probes > MAX_RIVAL_PROBES {
                self.raise_generation(now, rival.generation);
            } else {
                let (at, name) = (rival.address, self.name.clone());
                self.rival = Some(rival);
                let probe_id =
                    self.register_probe(now, ProbePurpose::Rival, self.config.timing.seed_interval);
                self.send_to(now, at, Some(&name), Kind::Ping, probe_id, None);
            }
        }
        let present: BTreeSet<SocketAddr> = self
            .members
            .iter()
            .filter(|(_, m)| m.state.is_present())
            .filter_map(|(n, _)| self.address(n))
            .collect();
        let is_absent = |at: &&SocketAddr| !present.contains(at) && **at != self.info.address;
        let mut seeds: Vec<SocketAddr> = self.config.seeds.iter().filter(is_absent).copied().collect();
        seeds.shuffle(&mut self.rng);
        for at in seeds.into_iter().take(INDIRECT_PROBES) {
            self.send_to(now, at, None, Kind::Ping, 0, None);
        }
        let dead: Vec<&String> =
            self.members.iter().filter(|(_, m)| !m.state.is_present()).map(|(n, _)| n).collect();
        if !dead.is_empty() {
            let name = dead[self.rng.random_range(0..dead.len())].clone();
            self.send(now, &name, Kind::Ping, 0, Some(&name));
        }
    }

    /// Answers a probe. A sender that is not known is asked for its `NodeInfo`.
    pub(super) fn send_ack(
        &mut self,
        now: Timestamp,
        at: SocketAddr,
        to: Option<&str>,
        probe_id: u32,
        sender_is_unknown: bool,
    ) {
        let mut datagram = self.new_datagram(Kind::Ack, probe_id, None);
        datagram.wants_info = sender_is_unknown.then_some(true);
        let budget = self.update_budget(now);
        self.piggyback(&mut datagram, to, budget);
        self.enqueue(now, at, datagram);
    }

    /// Matches an ack with the tracked probe: it ends a direct or indirect probe, or is passed on to the requester.
    pub(super) fn handle_ack(&mut self, now: Timestamp, datagram: &Datagram) {
        let Some(probe) = self.pending_probes.get(&datagram.probe_id) else { return };
        match &probe.purpose {
            ProbePurpose::Direct => {
                let found = self
                    .round_probes
                    .iter()
                    .position(|round_probe| round_probe.probe_id == datagram.probe_id);
                let Some(round_probe) = found.map(|index| &self.round_probes[index]) else { return };
                let direct =
                    datagram.sender == round_probe.target && datagram.generation >= round_probe.generation;
                if !direct && datagram.target.as_deref() != Some(round_probe.target.as_str()) {
                    return;
                }
                let round_probe = self.round_probes.swap_remove(found.unwrap_or_default());
                let rtt = now.since(probe.sent_at);
                self.last_answered = Some(now);
                self.lost_probe_share +=
                    0.05 * (f64::from(u8::from(round_probe.indirect_at.is_none())) - self.lost_probe_share);
                if let Some(member) = self.members.get_mut(&round_probe.target) {
                    if direct && round_probe.indirect_at.is_some() {
                        let before = member.rtt.unwrap_or(rtt);
                        member.rtt = Some(Micros((before.0 * 7 + rtt.0) / 8));
                    } else {
                        member.probes_lost += 1;
                    }
                }
                self.adjust_local_health(-1);
                self.pending_probes.remove(&datagram.probe_id);
            }
            ProbePurpose::Relay { requester, probe_id, subject } => {
                if *subject != datagram.sender {
                    return;
                }
                let (requester, probe_id, subject) = (requester.clone(), *probe_id, subject.clone());
                self.pending_probes.remove(&datagram.probe_id);
                self.send(now, &requester, Kind::Ack, probe_id, Some(&subject));
            }
            ProbePurpose::Rival => {}
        }
    }

    /// Probes a member on behalf of another node.
    pub(super) fn handle_ping_req(&mut self, now: Timestamp, datagram: &Datagram) {
        let Some(subject) = datagram.target.clone().filter(|name| self.members.contains_key(name)) else {
            return;
        };
        let purpose = ProbePurpose::Relay {
            requester: datagram.sender.clone(),
            probe_id: datagram.probe_id,
            subject: subject.clone(),
        };
        let probe_id = self.register_probe(now, purpose, self.config.timing.probe_timeout);
        self.send(now, &subject, Kind::Ping, probe_id, Some(&subject));
    }
}
