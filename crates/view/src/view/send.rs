//! What goes out: datagrams, what they carry within the bytes there are, and sums to find what was missed.

use super::{View, CROWD, FEW, OWED, TELLINGS};
use crate::checksums as sums;
use crate::node_info::MemberState;
use crate::wire::{Datagram, Kind, MemberUpdate, MAX_DATAGRAM_BYTES, VERSION};
use rand::seq::SliceRandom;
use rand::RngExt;
use std::net::SocketAddr;
use yarrowfront::times::{Micros, Timestamp};

impl View {
    /// What is believed of a member, or of this node itself.
    pub(super) fn news(&self, name: &str, info: bool) -> Option<MemberUpdate> {
        if name == self.name {
            return Some(MemberUpdate {
                name: name.to_owned(),
                generation: self.generation,
                incarnation: self.incarnation,
                state: self.state,
                reported_by: None,
                info_incarnation: self.info_incarnation,
                info: (info || self.info_incarnation == self.incarnation).then(|| self.info.clone()),
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
            info: (info || member.info_incarnation == member.incarnation && member.state.is_present())
                .then(|| member.info.clone()),
        })
    }

    pub(super) fn datagram(&self, kind: Kind, probe_id: u32, target: Option<&str>) -> Datagram {
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

    /// Bytes that a datagram may have, by what is left to spend.
    pub(super) fn afford(&mut self, now: Timestamp) -> usize {
        // What sums may ask for is kept back.
        (self.purse.held(now) - MAX_DATAGRAM_BYTES as f64).clamp(0.0, MAX_DATAGRAM_BYTES as f64) as usize
    }

    /// News for whoever it goes to: what it is accused of first, then what was told least.
    pub(super) fn fill(&mut self, datagram: &mut Datagram, to: Option<&str>, budget: usize) {
        let mut left = budget.min(MAX_DATAGRAM_BYTES).saturating_sub(datagram.encoded_len() + 8);
        let mut news = Vec::new();
        let accused = to.filter(|to| self.members.get(*to).is_some_and(|m| m.state != MemberState::Alive));
        let mut told: Vec<String> = Vec::new();
        for name in accused.into_iter().chain(self.gossip.next().take(64)) {
            let Some(one) = self.news(name, false) else { continue };
            let size = one.encoded_len();
            if size > left || told.iter().any(|before| before == name) {
                continue;
            }
            left -= size;
            told.push(name.to_owned());
            news.push(one);
        }
        let most = match self.gossip.len() > CROWD {
            true => FEW,
            false => (TELLINGS * (self.present_count as f64 + 1.0).log2()).ceil() as u32,
        };
        for name in &told {
            self.gossip.told(name, most);
        }
        datagram.updates = (!news.is_empty()).then_some(news);
    }

    pub(super) fn push(&mut self, now: Timestamp, at: SocketAddr, datagram: Datagram) {
        // What an address in a datagram names is sent to only if it may be heard too.
        if at == self.info.address || !self.config.allows(at) {
            return;
        }
        if let Some(bytes) = datagram.to_bytes() {
            self.purse.held(now);
            // Asks and answers as such are owed: what they carry beyond that is paid for.
            let owed = if matches!(datagram.kind, Kind::Updates | Kind::Checksums) { 0 } else { OWED };
            self.purse.spend(bytes.len().saturating_sub(owed));
            self.counters.datagrams_sent += 1;
            self.counters.bytes_sent += bytes.len() as u64;
            self.out.push_back((at, bytes));
        }
    }

    pub(super) fn send(&mut self, now: Timestamp, to: &str, kind: Kind, probe_id: u32, target: Option<&str>) {
        if let Some(at) = self.address(to) {
            self.send_to(now, at, target, kind, probe_id, Some(to));
        }
    }

    pub(super) fn send_to(
        &mut self,
        now: Timestamp,
        at: SocketAddr,
        target: Option<&str>,
        kind: Kind,
        probe_id: u32,
        to: Option<&str>,
    ) {
        let mut datagram = self.datagram(kind, probe_id, target);
        let budget = self.afford(now);
        // Whoever knows nobody says who it is.
        if to.is_none() || kind == Kind::Updates {
            datagram.updates = self.news(&self.name.clone(), true).map(|own| vec![own]);
        } else {
            self.fill(&mut datagram, to, budget);
        }
        self.push(now, at, datagram);
    }

    pub(super) fn tell(&mut self, now: Timestamp, at: SocketAddr, news: Option<MemberUpdate>) {
        let Some(news) = news else { return };
        let mut datagram = self.datagram(Kind::Updates, 0, None);
        datagram.updates = Some(vec![news]);
        self.push(now, at, datagram);
    }

    /// Two that differ for longer than news takes find by sums what one of them has missed.
    pub(super) fn compare(&mut self, now: Timestamp, at: SocketAddr, datagram: &Datagram) {
        if datagram.kind == Kind::Checksums {
            return;
        }
        if datagram.digest == self.digest {
            self.differs = None;
            return;
        }
        let period = self.config.timing.probe_interval;
        let since = *self.differs.get_or_insert(now);
        // A newcomer and one that lacks something need not wait for what is on its way by itself.
        let wait = if self.lacking || self.present_count * 2 < datagram.present_count as usize {
            Micros(0)
        } else {
            Micros(period.0 * 4)
        };
        if now.since(since) < wait
            || now < self.exchange_at
            || self.purse.held(now) < MAX_DATAGRAM_BYTES as f64
        {
            return;
        }
        self.exchange_at = now + Micros(self.chance.random_range(period.0 * 2..=period.0 * 6));
        self.differs = None;
        self.send_sums(now, at, datagram.present_count as usize, false);
    }

    pub(super) fn send_sums(&mut self, now: Timestamp, at: SocketAddr, there: usize, last: bool) {
        let parts = sums::parts(self.present_count.max(there));
        let mut sums = self.datagram(Kind::Checksums, 0, None);
        sums.checksums = Some(self.own_sums(parts));
        sums.is_final = last.then_some(true);
        sums.wants_info = std::mem::take(&mut self.lacking).then_some(true);
        self.push(now, at, sums);
    }

    pub(super) fn own_sums(&self, parts: usize) -> Vec<u8> {
        let here = self.members.iter().filter(|(_, m)| m.state.is_present());
        let here = here.map(|(name, m)| (name.as_str(), m.generation, m.incarnation));
        sums::all(here.chain([(self.name.as_str(), self.generation, self.incarnation)]), parts)
    }

    /// Tells what stands in the parts that differ, as far as there are bytes for it, from a part by chance on.
    pub(super) fn sums(&mut self, now: Timestamp, at: SocketAddr, datagram: &Datagram) {
        let Some(theirs) = datagram.checksums.as_ref().filter(|sums| !sums.is_empty()) else { return };
        let parts = theirs.len() / 4;
        if theirs.len() % 4 != 0
            || parts > MAX_DATAGRAM_BYTES / 4
            || self.purse.held(now) < MAX_DATAGRAM_BYTES as f64
        {
            return;
        }
        let differing = sums::differing(&self.own_sums(parts), theirs);
        if differing.is_empty() {
            return;
        }
        if datagram.is_final != Some(true) {
            self.send_sums(now, at, datagram.present_count as usize, true);
        }
        let mut wanted = vec![false; parts];
        differing.iter().for_each(|part| wanted[*part] = true);
        let own = self.name.clone();
        let names = self.members.keys().chain([&own]).filter(|name| wanted[sums::of(name, parts)]);
        let mut names: Vec<String> = names.cloned().collect();
        names.shuffle(&mut self.chance);
        // Whoever knows few of us needs the cards as well.
        let whole =
            datagram.wants_info == Some(true) || (datagram.present_count as usize) * 2 < self.present_count;
        let mut news = Vec::new();
        let mut left = 0;
        for name in names {
            let Some(one) = self.news(&name, whole) else { continue };
            let size = one.encoded_len();
            if size > left {
                self.flush(now, at, &mut news);
                if self.purse.held(now) < MAX_DATAGRAM_BYTES as f64 {
                    return;
                }
                left = MAX_DATAGRAM_BYTES - 200 - self.name.len() - self.config.fleet.len();
            }
            left -= size.min(left);
            news.push(one);
        }
        self.flush(now, at, &mut news);
    }

    pub(super) fn flush(&mut self, now: Timestamp, at: SocketAddr, news: &mut Vec<MemberUpdate>) {
        if !news.is_empty() {
            let mut datagram = self.datagram(Kind::Updates, 0, None);
            datagram.updates = Some(std::mem::take(news));
            self.push(now, at, datagram);
        }
    }
}
