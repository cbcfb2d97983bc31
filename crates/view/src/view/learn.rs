//! What is said of others is taken where it holds over what is believed; what is said of this node it knows better.

use super::{Rival, View, What};
use crate::card::{Edition, Life, Standing};
use crate::member::{suspicion, Member};
use crate::sums;
use crate::wire::{Datagram, Kind, News};
use rand::RngExt;
use std::net::SocketAddr;
use yarrowfront::times::Timestamp;

impl View {
    /// Whoever is not taken to be alive is told so, once a period: only its own word can change that.
    pub(super) fn accuse(&mut self, now: Timestamp, datagram: &Datagram) {
        let period = self.terms.times.period;
        let Some(member) = self.members.get_mut(&datagram.from) else { return };
        let refuted = (datagram.life, datagram.edition) > (member.life, member.edition);
        let lately = member.accused.is_some_and(|at| now.since(at) < period);
        if member.standing == Standing::Alive || refuted || lately {
            return;
        }
        member.accused = Some(now);
        let (news, at) = (self.news(&datagram.from, false), self.address(&datagram.from));
        self.tell(now, at.unwrap_or(datagram.address), news);
    }

    /// A datagram in this node's own name: a process beside it, or an echo.
    pub(super) fn namesake(&mut self, now: Timestamp, datagram: &Datagram) {
        if datagram.address == self.card.address {
            return;
        }
        if datagram.kind == Kind::Answer && self.asks.remove(&datagram.ask).is_some() {
            if let Some(rival) = self.rival.as_mut().filter(|rival| rival.life <= datagram.life) {
                rival.tries = 0;
                if !std::mem::replace(&mut rival.answered, true) {
                    let (name, life) = (self.name.clone(), datagram.life);
                    self.note(now, &name, life, What::Displaced, &datagram.address.to_string());
                }
            }
        } else if datagram.life > self.life {
            self.rivalled(datagram.address, datagram.life);
        } else if datagram.kind == Kind::Ask {
            // The earlier of the two asks whether there is a later one.
            self.answer(now, datagram.address, None, datagram.ask, true);
        }
    }

    pub(super) fn rivalled(&mut self, address: SocketAddr, life: Life) {
        match &mut self.rival {
            Some(rival) => rival.life = rival.life.max(life),
            None => self.rival = Some(Rival { address, life, tries: 0, answered: false }),
        }
    }

    /// Something is said of this node itself: it knows better.
    pub(super) fn about_me(&mut self, now: Timestamp, news: &News) {
        if news.life < self.life {
            return;
        }
        if news.life == self.life {
            if (news.edition, news.standing) > (self.edition, Standing::Alive) {
                if news.standing == Standing::Suspected {
                    self.trouble_by(1);
                }
                let carded = self.carded;
                self.raise_edition(Edition(news.edition.0 + 1));
                self.carded = carded;
                self.announce(now);
            }
            return;
        }
        let elsewhere = news.card.as_ref().map(|card| card.address).filter(|at| *at != self.card.address);
        match elsewhere {
            _ if !news.standing.here() => self.raise_life(now, news.life),
            Some(address) => self.rivalled(address, news.life),
            None if news.card.is_some() => self.raise_life(now, news.life),
            // Whoever it is, it may be there: without an address it cannot be asked.
            None => self.lacking = true,
        }
    }

    /// Takes what holds over what is believed, and passes it on.
    pub(super) fn learn(&mut self, now: Timestamp, news: &News, teller: &str, spread: bool) {
        if news.name == self.name {
            return self.about_me(now, news);
        }
        let by = news.by.as_deref().unwrap_or(teller);
        if news.card.as_ref().is_some_and(|card| !self.terms.near(card.address)) {
            self.counts.strangers += 1;
            return;
        }
        let Some(member) = self.members.get_mut(&news.name) else {
            // What has been forgotten stays so: only somebody who is here is news.
            if news.standing.here() {
                self.join(now, news, by);
                if !spread {
                    self.gossip.drop(&news.name);
                }
            }
            return;
        };
        let mut standing = news.standing;
        if standing == Standing::Dead && member.standing == Standing::Alive && news.life == member.life {
            // Word from a side that was cut off: whoever is alive here is to have the time to refute it.
            standing = Standing::Suspected;
        }
        let rank = (news.life, news.edition, standing);
        if rank <= member.rank() {
            if rank == member.rank() && standing == Standing::Suspected && self.confirm(&news.name, by) {
                self.confirmed(&news.name);
            }
            return;
        }
        let (life, edition, was) = (member.life, member.edition, member.standing);
        let carded = (news.life, news.carded) == (member.life, member.carded);
        let same = news.card.as_ref().is_none_or(|card| *card == member.card);
        match &news.card {
            Some(card) => (member.card, member.carded) = (card.clone(), news.carded),
            None if carded => {}
            // It would be believed where it was before.
            None if standing.here() || news.life != member.life => {
                self.lacking = true;
                return;
            }
            None => {}
        }
        (member.life, member.edition) = (news.life, news.edition);
        if news.life > life {
            (member.heard, member.load, member.trip) = (None, None, None);
        }
        if was.here() {
            self.digest ^= sums::part(&news.name, life, edition);
            self.digest ^= sums::part(&news.name, news.life, news.edition);
        }
        let by = by.to_owned();
        if news.life > life && standing == Standing::Alive {
            self.set_for(now, &news.name, Standing::Alive, &by, What::Restarted);
        } else if standing != was || standing == Standing::Suspected {
            self.set(now, &news.name, standing, &by);
            if standing != news.standing {
                // No more is owed to it than the shortest suspicion.
                let over = now + suspicion(self.terms.times.period, self.here, usize::MAX);
                self.set_timer(&news.name, Some(over));
            }
        } else if !same {
            self.note(now, &news.name, news.life, What::Card, &by);
        }
        // Whoever is said to be dead is to hear of it in any case.
        if spread || standing != Standing::Alive {
            self.gossip.add(&news.name);
        }
    }

    pub(super) fn join(&mut self, now: Timestamp, news: &News, by: &str) {
        let Some(card) = news.card.clone() else {
            self.lacking = true;
            return;
        };
        if self.members.len() + 1 >= self.terms.most_members {
            self.counts.no_room += 1;
            return;
        }
        let member = Member {
            life: news.life,
            edition: news.edition,
            standing: Standing::Alive,
            card,
            carded: news.carded,
            since: now,
            by: by.to_owned(),
            heard: None,
            load: None,
            trip: None,
            asked: 0,
            lost: 0,
            timer: None,
            suspecters: Vec::new(),
            accused: None,
        };
        self.members.insert(news.name.clone(), member);
        self.here += 1;
        self.digest ^= sums::part(&news.name, news.life, news.edition);
        // Somewhere in the rest of this round.
        let place = self.chance.random_range(self.turn..=self.order.len());
        self.order.insert(place, news.name.clone());
        self.note(now, &news.name, news.life, What::Joined, by);
        if news.standing == Standing::Suspected {
            self.set(now, &news.name, Standing::Suspected, by);
        }
        self.gossip.add(&news.name);
    }
}
