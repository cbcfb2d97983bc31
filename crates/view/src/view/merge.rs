//! What is said of others is taken where it holds over what is believed; what is said of this node it knows better.

use super::{ChangeKind, Rival, View};
use crate::checksums as sums;
use crate::member::{suspicion_timeout, Member};
use crate::node_info::{Generation, Incarnation, MemberState};
use crate::wire::{Datagram, Kind, MemberUpdate};
use rand::RngExt;
use std::net::SocketAddr;
use yarrowfront::times::Timestamp;

impl View {
    /// Whoever is not taken to be alive is told so, once a period: only its own word can change that.
    pub(super) fn accuse(&mut self, now: Timestamp, datagram: &Datagram) {
        let period = self.config.timing.probe_interval;
        let Some(member) = self.members.get_mut(&datagram.sender) else { return };
        let refuted = (datagram.generation, datagram.incarnation) > (member.generation, member.incarnation);
        let lately = member.last_accused.is_some_and(|at| now.since(at) < period);
        if member.state == MemberState::Alive || refuted || lately {
            return;
        }
        member.last_accused = Some(now);
        let (news, at) = (self.news(&datagram.sender, false), self.address(&datagram.sender));
        self.tell(now, at.unwrap_or(datagram.address), news);
    }

    /// A datagram in this node's own name: a process beside it, or an echo.
    pub(super) fn namesake(&mut self, now: Timestamp, datagram: &Datagram) {
        if datagram.address == self.info.address {
            return;
        }
        if datagram.kind == Kind::Ack && self.pending_probes.remove(&datagram.probe_id).is_some() {
            if let Some(rival) = self.rival.as_mut().filter(|rival| rival.generation <= datagram.generation) {
                rival.tries = 0;
                if !std::mem::replace(&mut rival.answered, true) {
                    let (name, generation) = (self.name.clone(), datagram.generation);
                    self.note(now, &name, generation, ChangeKind::NameTaken, &datagram.address.to_string());
                }
            }
        } else if datagram.generation > self.generation {
            self.rivalled(datagram.address, datagram.generation);
        } else if datagram.kind == Kind::Ping {
            // The earlier of the two asks whether there is a later one.
            self.answer(now, datagram.address, None, datagram.probe_id, true);
        }
    }

    pub(super) fn rivalled(&mut self, address: SocketAddr, generation: Generation) {
        match &mut self.rival {
            Some(rival) => rival.generation = rival.generation.max(generation),
            None => self.rival = Some(Rival { address, generation, tries: 0, answered: false }),
        }
    }

    /// Something is said of this node itself: it knows better.
    pub(super) fn about_me(&mut self, now: Timestamp, news: &MemberUpdate) {
        if news.generation < self.generation {
            return;
        }
        if news.generation == self.generation {
            if (news.incarnation, news.state) > (self.incarnation, MemberState::Alive) {
                if news.state == MemberState::Suspect {
                    self.trouble_by(1);
                }
                let info_incarnation = self.info_incarnation;
                self.raise_incarnation(Incarnation(news.incarnation.0 + 1));
                self.info_incarnation = info_incarnation;
                self.announce(now);
            }
            return;
        }
        let elsewhere = news.info.as_ref().map(|info| info.address).filter(|at| *at != self.info.address);
        match elsewhere {
            _ if !news.state.is_present() => self.raise_generation(now, news.generation),
            Some(address) => self.rivalled(address, news.generation),
            None if news.info.is_some() => self.raise_generation(now, news.generation),
            // Whoever it is, it may be there: without an address it cannot be asked.
            None => self.lacking = true,
        }
    }

    /// Takes what holds over what is believed, and passes it on.
    pub(super) fn learn(&mut self, now: Timestamp, news: &MemberUpdate, teller: &str, spread: bool) {
        if news.name == self.name {
            return self.about_me(now, news);
        }
        let by = news.reported_by.as_deref().unwrap_or(teller);
        if news.info.as_ref().is_some_and(|info| !self.config.allows(info.address)) {
            self.counters.outside_networks += 1;
            return;
        }
        let Some(member) = self.members.get_mut(&news.name) else {
            // What has been forgotten stays so: only somebody who is here is news.
            if news.state.is_present() {
                self.join(now, news, by);
                if !spread {
                    self.gossip.drop(&news.name);
                }
            }
            return;
        };
        let mut state = news.state;
        if state == MemberState::Dead
            && member.state == MemberState::Alive
            && news.generation == member.generation
        {
            // Word from a side that was cut off: whoever is alive here is to have the time to refute it.
            state = MemberState::Suspect;
        }
        let rank = (news.generation, news.incarnation, state);
        if rank <= member.rank() {
            if rank == member.rank() && state == MemberState::Suspect && self.confirm(&news.name, by) {
                self.confirmed(&news.name);
            }
            return;
        }
        let (generation, incarnation, was) = (member.generation, member.incarnation, member.state);
        let info_incarnation =
            (news.generation, news.info_incarnation) == (member.generation, member.info_incarnation);
        let same = news.info.as_ref().is_none_or(|info| *info == member.info);
        match &news.info {
            Some(info) => (member.info, member.info_incarnation) = (info.clone(), news.info_incarnation),
            None if info_incarnation => {}
            // It would be believed where it was before.
            None if state.is_present() || news.generation != member.generation => {
                self.lacking = true;
                return;
            }
            None => {}
        }
        (member.generation, member.incarnation) = (news.generation, news.incarnation);
        if news.generation > generation {
            (member.last_heard, member.load, member.rtt) = (None, None, None);
        }
        if was.is_present() {
            self.digest ^= sums::part(&news.name, generation, incarnation);
            self.digest ^= sums::part(&news.name, news.generation, news.incarnation);
        }
        let by = by.to_owned();
        if news.generation > generation && state == MemberState::Alive {
            self.set_for(now, &news.name, MemberState::Alive, &by, ChangeKind::Restarted);
        } else if state != was || state == MemberState::Suspect {
            self.set(now, &news.name, state, &by);
            if state != news.state {
                // No more is owed to it than the shortest suspicion.
                let over = now
                    + suspicion_timeout(self.config.timing.probe_interval, self.present_count, usize::MAX);
                self.set_timer(&news.name, Some(over));
            }
        } else if !same {
            self.note(now, &news.name, news.generation, ChangeKind::InfoChanged, &by);
        }
        // Whoever is said to be dead is to hear of it in any case.
        if spread || state != MemberState::Alive {
            self.gossip.add(&news.name);
        }
    }

    pub(super) fn join(&mut self, now: Timestamp, news: &MemberUpdate, by: &str) {
        let Some(info) = news.info.clone() else {
            self.lacking = true;
            return;
        };
        if self.members.len() + 1 >= self.config.max_members {
            self.counters.member_limit_reached += 1;
            return;
        }
        let member = Member {
            generation: news.generation,
            incarnation: news.incarnation,
            state: MemberState::Alive,
            info,
            info_incarnation: news.info_incarnation,
            state_since: now,
            reported_by: by.to_owned(),
            last_heard: None,
            load: None,
            rtt: None,
            probes_sent: 0,
            probes_lost: 0,
            timer: None,
            suspected_by: Vec::new(),
            last_accused: None,
        };
        self.members.insert(news.name.clone(), member);
        self.present_count += 1;
        self.digest ^= sums::part(&news.name, news.generation, news.incarnation);
        // Somewhere in the rest of this round.
        let place = self.chance.random_range(self.turn..=self.order.len());
        self.order.insert(place, news.name.clone());
        self.note(now, &news.name, news.generation, ChangeKind::Joined, by);
        if news.state == MemberState::Suspect {
            self.set(now, &news.name, MemberState::Suspect, by);
        }
        self.gossip.add(&news.name);
    }
}
