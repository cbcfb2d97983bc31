//! Outgoing datagrams, the updates piggybacked on them within the byte budget, and the exchange of checksums that repairs
//! differences between views.

use super::{View, CROWDED_TRANSMITS, FREE_BYTES_PER_PROBE, GOSSIP_CROWDED_LEN, TRANSMITS_PER_DOUBLING};
use crate::checksums;
use crate::node_info::MemberState;
use crate::wire::{Datagram, Kind, MemberUpdate, MAX_DATAGRAM_BYTES, VERSION};
use rand::seq::SliceRandom;
use rand::RngExt;
use std::net::SocketAddr;
use yarrowfront::times::{Micros, Timestamp};

impl View {
    /// The current update about a member, or about this node itself.
    pub(super) fn update_about(&self, name: &str, include_info: bool) -> Option<MemberUpdate> {
        if name == self.name {
            return Some(MemberUpdate {
                name: name.to_owned(),
                generation: self.generation,
                incarnation: self.incarnation,
                state: self.state,
                reported_by: None,
                info_incarnation: self.info_incarnation,
                info: (include_info || self.info_incarnation == self.incarnation).then(|| self.info.clone()),
            });
        }
        let member = self.members.get(name)?;
        Some(MemberUpdate {
            name: name.to_owned(),
            generation: member.generation,
            incarnation: member.incarnation,
            state: member.state,
            reported_by: (member.state != MemberState::Alive)
                .then(|| member.suspected_by.last().unwrap_or(&member.reported_by).clone()),
            info_incarnation: member.info_incarnation,
            info: (include_info
                || member.info_incarnation == member.incarnation && member.state.is_present())
            .then(|| member.info.clone()),
        })
    }

    /// A datagram of this node without updates.
    pub(super) fn new_datagram(&self, kind: Kind, probe_id: u32, target: Option<&str>) -> Datagram {
        Datagram {
            version: VERSION,
            fleet: self.config.fleet.clone(),
            kind,
            probe_id,
            sender: self.name.clone(),
            generation: self.generation,
            incarnation: self.incarnation,
            address: self.info.address,
            target: target.map(str::to_owned),
            digest: self.digest,
            present_count: self.present_count as u32,
            load: (kind == Kind::Ack).then_some(self.load),
            checksums: None,
            is_final: None,
            wants_info: None,
            updates: None,
        }
    }

    /// The bytes that a datagram may have according to the byte budget.
    pub(super) fn update_budget(&mut self, now: Timestamp) -> usize {
        // One datagram's worth is reserved for the exchange of checksums.
        (self.budget.available(now) - MAX_DATAGRAM_BYTES as f64).clamp(0.0, MAX_DATAGRAM_BYTES as f64)
            as usize
    }

    /// Piggybacks updates: a report about the receiver itself first, then the least transmitted ones.
    pub(super) fn piggyback(&mut self, datagram: &mut Datagram, to: Option<&str>, budget: usize) {
        let mut remaining = budget.min(MAX_DATAGRAM_BYTES).saturating_sub(datagram.encoded_len() + 8);
        let mut updates = Vec::new();
        let accused = to.filter(|to| self.members.get(*to).is_some_and(|m| m.state != MemberState::Alive));
        let mut sent: Vec<String> = Vec::new();
        for name in accused.into_iter().chain(self.gossip.iter().take(64)) {
            let Some(update) = self.update_about(name, false) else { continue };
            let size = update.encoded_len();
            if size > remaining || sent.iter().any(|earlier| earlier == name) {
                continue;
            }
            remaining -= size;
            sent.push(name.to_owned());
            updates.push(update);
        }
        let max_transmits = match self.gossip.len() > GOSSIP_CROWDED_LEN {
            true => CROWDED_TRANSMITS,
            false => (TRANSMITS_PER_DOUBLING * (self.present_count as f64 + 1.0).log2()).ceil() as u32,
        };
        for name in &sent {
            self.gossip.mark_sent(name, max_transmits);
        }
        datagram.updates = (!updates.is_empty()).then_some(updates);
    }

    /// Queues the datagram for sending and charges the byte budget.
    pub(super) fn enqueue(&mut self, now: Timestamp, at: SocketAddr, datagram: Datagram) {
        // An address learned from a datagram is used only if it is in the allowed networks.
        if at == self.info.address || !self.config.allows(at) {
            return;
        }
        if let Some(bytes) = datagram.to_bytes() {
            self.budget.available(now);
            // Probes and acks themselves are not charged, only the updates that they carry.
            let free = if matches!(datagram.kind, Kind::Updates | Kind::Checksums) {
                0
            } else {
                FREE_BYTES_PER_PROBE
            };
            self.budget.spend(bytes.len().saturating_sub(free));
            self.counters.datagrams_sent += 1;
            self.counters.bytes_sent += bytes.len() as u64;
            self.outbox.push_back((at, bytes));
        }
    }

    /// Sends a datagram to a known member.
    pub(super) fn send(&mut self, now: Timestamp, to: &str, kind: Kind, probe_id: u32, target: Option<&str>) {
        if let Some(at) = self.address(to) {
            self.send_to(now, at, target, kind, probe_id, Some(to));
        }
    }

    /// Sends a datagram to an address; `to` is the name of the receiver if it is known.
    pub(super) fn send_to(
        &mut self,
        now: Timestamp,
        at: SocketAddr,
        target: Option<&str>,
        kind: Kind,
        probe_id: u32,
        to: Option<&str>,
    ) {
        let mut datagram = self.new_datagram(kind, probe_id, target);
        let budget = self.update_budget(now);
        // To an unknown receiver this node introduces itself.
        if to.is_none() || kind == Kind::Updates {
            datagram.updates = self.update_about(&self.name.clone(), true).map(|own| vec![own]);
        } else {
            self.piggyback(&mut datagram, to, budget);
        }
        self.enqueue(now, at, datagram);
    }

    /// Sends a single update.
    pub(super) fn send_update(&mut self, now: Timestamp, at: SocketAddr, update: Option<MemberUpdate>) {
        let Some(update) = update else { return };
        let mut datagram = self.new_datagram(Kind::Updates, 0, None);
        datagram.updates = Some(vec![update]);
        self.enqueue(now, at, datagram);
    }

    /// Compares the sender's digest with this node's. If they differ for longer than gossip takes, checksums are exchanged
    /// to find what one of the two has missed.
    pub(super) fn compare_digest(&mut self, now: Timestamp, at: SocketAddr, datagram: &Datagram) {
        if datagram.kind == Kind::Checksums {
            return;
        }
        if datagram.digest == self.digest {
            self.differs_since = None;
            return;
        }
        let interval = self.config.timing.probe_interval;
        let since = *self.differs_since.get_or_insert(now);
        // A new node, and one that lacks a `NodeInfo`, need not wait for updates that may already be on their way.
        let wait = if self.lacks_info || self.present_count * 2 < datagram.present_count as usize {
            Micros(0)
        } else {
            Micros(interval.0 * 4)
        };
        if now.since(since) < wait
            || now < self.next_exchange_at
            || self.budget.available(now) < MAX_DATAGRAM_BYTES as f64
        {
            return;
        }
        self.next_exchange_at = now + Micros(self.rng.random_range(interval.0 * 2..=interval.0 * 6));
        self.differs_since = None;
        self.send_checksums(now, at, datagram.present_count as usize, false);
    }

    pub(super) fn send_checksums(
        &mut self,
        now: Timestamp,
        at: SocketAddr,
        peer_present_count: usize,
        is_final: bool,
    ) {
        let buckets = checksums::bucket_count(self.present_count.max(peer_present_count));
        let mut datagram = self.new_datagram(Kind::Checksums, 0, None);
        datagram.checksums = Some(self.own_checksums(buckets));
        datagram.is_final = is_final.then_some(true);
        datagram.wants_info = std::mem::take(&mut self.lacks_info).then_some(true);
        self.enqueue(now, at, datagram);
    }

    pub(super) fn own_checksums(&self, buckets: usize) -> Vec<u8> {
        let present = self.members.iter().filter(|(_, m)| m.state.is_present());
        let present = present.map(|(name, m)| (name.as_str(), m.generation, m.incarnation));
        checksums::compute(present.chain([(self.name.as_str(), self.generation, self.incarnation)]), buckets)
    }

    /// Answers checksums with updates about the members in the differing buckets, in random order, as far as the byte
    /// budget allows.
    pub(super) fn handle_checksums(&mut self, now: Timestamp, at: SocketAddr, datagram: &Datagram) {
        let Some(theirs) = datagram.checksums.as_ref().filter(|checksums| !checksums.is_empty()) else {
            return;
        };
        let buckets = theirs.len() / 4;
        if theirs.len() % 4 != 0
            || buckets > MAX_DATAGRAM_BYTES / 4
            || self.budget.available(now) < MAX_DATAGRAM_BYTES as f64
        {
            return;
        }
        let differing = checksums::differing_buckets(&self.own_checksums(buckets), theirs);
        if differing.is_empty() {
            return;
        }
        if datagram.is_final != Some(true) {
            self.send_checksums(now, at, datagram.present_count as usize, true);
        }
        let mut wanted = vec![false; buckets];
        differing.iter().for_each(|bucket| wanted[*bucket] = true);
        let own = self.name.clone();
        let names =
            self.members.keys().chain([&own]).filter(|name| wanted[checksums::bucket_of(name, buckets)]);
        let mut names: Vec<String> = names.cloned().collect();
        names.shuffle(&mut self.rng);
        // A node that knows few members needs their `NodeInfo`s as well.
        let include_info =
            datagram.wants_info == Some(true) || (datagram.present_count as usize) * 2 < self.present_count;
        let mut updates = Vec::new();
        let mut remaining = 0;
        for name in names {
            let Some(update) = self.update_about(&name, include_info) else { continue };
            let size = update.encoded_len();
            if size > remaining {
                self.flush_updates(now, at, &mut updates);
                if self.budget.available(now) < MAX_DATAGRAM_BYTES as f64 {
                    return;
                }
                remaining = MAX_DATAGRAM_BYTES - 200 - self.name.len() - self.config.fleet.len();
            }
            remaining -= size.min(remaining);
            updates.push(update);
        }
        self.flush_updates(now, at, &mut updates);
    }

    /// Sends the collected updates, if any.
    pub(super) fn flush_updates(&mut self, now: Timestamp, at: SocketAddr, updates: &mut Vec<MemberUpdate>) {
        if !updates.is_empty() {
            let mut datagram = self.new_datagram(Kind::Updates, 0, None);
            datagram.updates = Some(std::mem::take(updates));
            self.enqueue(now, at, datagram);
        }
    }
}
