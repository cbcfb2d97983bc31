//! What goes out: datagrams, what they carry within the bytes there are, and sums to find what was missed.

use super::{View, CROWD, FEW, OWED, TELLINGS};
use crate::card::Standing;
use crate::sums;
use crate::wire::{Datagram, Kind, News, LARGEST, VERSION};
use rand::seq::SliceRandom;
use rand::RngExt;
use std::net::SocketAddr;
use yarrowfront::times::{Micros, Timestamp};

impl View {
    /// What is believed of a member, or of this node itself.
    pub(super) fn news(&self, name: &str, card: bool) -> Option<News> {
        if name == self.name {
            return Some(News {
                name: name.to_owned(),
                life: self.life,
                edition: self.edition,
                standing: self.standing,
                by: None,
                carded: self.carded,
                card: (card || self.carded == self.edition).then(|| self.card.clone()),
            });
        }
        let member = self.members.get(name)?;
        Some(News {
            name: name.to_owned(),
            life: member.life,
            edition: member.edition,
            standing: member.standing,
            by: (member.standing != Standing::Alive)
                .then(|| member.suspecters.last().unwrap_or(&member.by).clone()),
            carded: member.carded,
            card: (card || member.carded == member.edition && member.standing.here())
                .then(|| member.card.clone()),
        })
    }

    pub(super) fn datagram(&self, kind: Kind, ask: u32, target: Option<&str>) -> Datagram {
        Datagram {
            version: VERSION,
            fleet: self.terms.fleet.clone(),
            kind,
            ask,
            from: self.name.clone(),
            life: self.life,
            edition: self.edition,
            address: self.card.address,
            target: target.map(str::to_owned),
            digest: self.digest,
            here: self.here as u32,
            load: (kind == Kind::Answer).then_some(self.load),
            sums: None,
            last: None,
            whole: None,
            news: None,
        }
    }

    /// Bytes that a datagram may have, by what is left to spend.
    pub(super) fn afford(&mut self, now: Timestamp) -> usize {
        // What sums may ask for is kept back.
        (self.purse.held(now) - LARGEST as f64).clamp(0.0, LARGEST as f64) as usize
    }

    /// News for whoever it goes to: what it is accused of first, then what was told least.
    pub(super) fn fill(&mut self, datagram: &mut Datagram, to: Option<&str>, budget: usize) {
        let mut left = budget.min(LARGEST).saturating_sub(datagram.size() + 8);
        let mut news = Vec::new();
        let accused = to.filter(|to| self.members.get(*to).is_some_and(|m| m.standing != Standing::Alive));
        let mut told: Vec<String> = Vec::new();
        for name in accused.into_iter().chain(self.gossip.next().take(64)) {
            let Some(one) = self.news(name, false) else { continue };
            let size = one.size();
            if size > left || told.iter().any(|before| before == name) {
                continue;
            }
            left -= size;
            told.push(name.to_owned());
            news.push(one);
        }
        let most = match self.gossip.len() > CROWD {
            true => FEW,
            false => (TELLINGS * (self.here as f64 + 1.0).log2()).ceil() as u32,
        };
        for name in &told {
            self.gossip.told(name, most);
        }
        datagram.news = (!news.is_empty()).then_some(news);
    }

    pub(super) fn push(&mut self, now: Timestamp, at: SocketAddr, datagram: Datagram) {
        // What an address in a datagram names is sent to only if it may be heard too.
        if at == self.card.address || !self.terms.near(at) {
            return;
        }
        if let Some(bytes) = datagram.bytes() {
            self.purse.held(now);
            // Asks and answers as such are owed: what they carry beyond that is paid for.
            let owed = if matches!(datagram.kind, Kind::Tell | Kind::Sums) { 0 } else { OWED };
            self.purse.spend(bytes.len().saturating_sub(owed));
            self.counts.sent += 1;
            self.counts.bytes_sent += bytes.len() as u64;
            self.out.push_back((at, bytes));
        }
    }

    pub(super) fn send(&mut self, now: Timestamp, to: &str, kind: Kind, ask: u32, target: Option<&str>) {
        if let Some(at) = self.address(to) {
            self.send_to(now, at, target, kind, ask, Some(to));
        }
    }

    pub(super) fn send_to(
        &mut self,
        now: Timestamp,
        at: SocketAddr,
        target: Option<&str>,
        kind: Kind,
        ask: u32,
        to: Option<&str>,
    ) {
        let mut datagram = self.datagram(kind, ask, target);
        let budget = self.afford(now);
        // Whoever knows nobody says who it is.
        if to.is_none() || kind == Kind::Tell {
            datagram.news = self.news(&self.name.clone(), true).map(|own| vec![own]);
        } else {
            self.fill(&mut datagram, to, budget);
        }
        self.push(now, at, datagram);
    }

    pub(super) fn tell(&mut self, now: Timestamp, at: SocketAddr, news: Option<News>) {
        let Some(news) = news else { return };
        let mut datagram = self.datagram(Kind::Tell, 0, None);
        datagram.news = Some(vec![news]);
        self.push(now, at, datagram);
    }

    /// Two that differ for longer than news takes find by sums what one of them has missed.
    pub(super) fn compare(&mut self, now: Timestamp, at: SocketAddr, datagram: &Datagram) {
        if datagram.kind == Kind::Sums {
            return;
        }
        if datagram.digest == self.digest {
            self.differs = None;
            return;
        }
        let period = self.terms.times.period;
        let since = *self.differs.get_or_insert(now);
        // A newcomer and one that lacks something need not wait for what is on its way by itself.
        let wait = if self.lacking || self.here * 2 < datagram.here as usize {
            Micros(0)
        } else {
            Micros(period.0 * 4)
        };
        if now.since(since) < wait || now < self.exchange_at || self.purse.held(now) < LARGEST as f64 {
            return;
        }
        self.exchange_at = now + Micros(self.chance.random_range(period.0 * 2..=period.0 * 6));
        self.differs = None;
        self.send_sums(now, at, datagram.here as usize, false);
    }

    pub(super) fn send_sums(&mut self, now: Timestamp, at: SocketAddr, there: usize, last: bool) {
        let parts = sums::parts(self.here.max(there));
        let mut sums = self.datagram(Kind::Sums, 0, None);
        sums.sums = Some(self.own_sums(parts));
        sums.last = last.then_some(true);
        sums.whole = std::mem::take(&mut self.lacking).then_some(true);
        self.push(now, at, sums);
    }

    pub(super) fn own_sums(&self, parts: usize) -> Vec<u8> {
        let here = self.members.iter().filter(|(_, m)| m.standing.here());
        let here = here.map(|(name, m)| (name.as_str(), m.life, m.edition));
        sums::all(here.chain([(self.name.as_str(), self.life, self.edition)]), parts)
    }

    /// Tells what stands in the parts that differ, as far as there are bytes for it, from a part by chance on.
    pub(super) fn sums(&mut self, now: Timestamp, at: SocketAddr, datagram: &Datagram) {
        let Some(theirs) = datagram.sums.as_ref().filter(|sums| !sums.is_empty()) else { return };
        let parts = theirs.len() / 4;
        if theirs.len() % 4 != 0 || parts > LARGEST / 4 || self.purse.held(now) < LARGEST as f64 {
            return;
        }
        let differing = sums::differing(&self.own_sums(parts), theirs);
        if differing.is_empty() {
            return;
        }
        if datagram.last != Some(true) {
            self.send_sums(now, at, datagram.here as usize, true);
        }
        let mut wanted = vec![false; parts];
        differing.iter().for_each(|part| wanted[*part] = true);
        let own = self.name.clone();
        let names = self.members.keys().chain([&own]).filter(|name| wanted[sums::of(name, parts)]);
        let mut names: Vec<String> = names.cloned().collect();
        names.shuffle(&mut self.chance);
        // Whoever knows few of us needs the cards as well.
        let whole = datagram.whole == Some(true) || (datagram.here as usize) * 2 < self.here;
        let mut news = Vec::new();
        let mut left = 0;
        for name in names {
            let Some(one) = self.news(&name, whole) else { continue };
            let size = one.size();
            if size > left {
                self.flush(now, at, &mut news);
                if self.purse.held(now) < LARGEST as f64 {
                    return;
                }
                left = LARGEST - 200 - self.name.len() - self.terms.fleet.len();
            }
            left -= size.min(left);
            news.push(one);
        }
        self.flush(now, at, &mut news);
    }

    pub(super) fn flush(&mut self, now: Timestamp, at: SocketAddr, news: &mut Vec<News>) {
        if !news.is_empty() {
            let mut datagram = self.datagram(Kind::Tell, 0, None);
            datagram.news = Some(std::mem::take(news));
            self.push(now, at, datagram);
        }
    }
}
