//! Merging received updates: an update about another member is applied if it takes precedence over what is known, and a
//! report about this node is refuted.

use super::{ChangeKind, Rival, View};
use crate::checksums;
use crate::member::{suspicion_timeout, Member};
use crate::node_info::{Generation, Incarnation, MemberState};
use crate::wire::{Datagram, Kind, MemberUpdate};
use rand::RngExt;
use std::net::SocketAddr;
use yarrowfront::times::Timestamp;

impl View {
    /// Informs a sender that this node does not consider alive, at most once per probe interval: only the sender itself
    /// can refute that.
    pub(super) fn notify_accused(&mut self, now: Timestamp, datagram: &Datagram) {
        let interval = self.config.timing.probe_interval;
        let Some(member) = self.members.get_mut(&datagram.sender) else { return };
        let refuted = (datagram.generation, datagram.incarnation) > (member.generation, member.incarnation);
        let recently_accused = member.last_accused.is_some_and(|at| now.since(at) < interval);
        if member.state == MemberState::Alive || refuted || recently_accused {
            return;
        }
        member.last_accused = Some(now);
        let (update, at) = (self.update_about(&datagram.sender, false), self.address(&datagram.sender));
        self.send_update(now, at.unwrap_or(datagram.address), update);
    }

    /// Handles a datagram that bears this node's own name: it comes from another process, or is an echo.
    pub(super) fn handle_own_name(&mut self, now: Timestamp, datagram: &Datagram) {
        if datagram.address == self.info.address {
            return;
        }
        if datagram.kind == Kind::Ack && self.pending_probes.remove(&datagram.probe_id).is_some() {
            if let Some(rival) = self.rival.as_mut().filter(|rival| rival.generation <= datagram.generation) {
                rival.unanswered_probes = 0;
                if !std::mem::replace(&mut rival.answered, true) {
                    let (name, generation) = (self.name.clone(), datagram.generation);
                    self.record_change(
                        now,
                        &name,
                        generation,
                        ChangeKind::NameTaken,
                        &datagram.address.to_string(),
                    );
                }
            }
        } else if datagram.generation > self.generation {
            self.note_rival(datagram.address, datagram.generation);
        } else if datagram.kind == Kind::Ping {
            // The process with the earlier generation checks whether a later one exists.
            self.send_ack(now, datagram.address, None, datagram.probe_id, true);
        }
    }

    /// Remembers another process with this node's name, which is then probed.
    pub(super) fn note_rival(&mut self, address: SocketAddr, generation: Generation) {
        match &mut self.rival {
            Some(rival) => rival.generation = rival.generation.max(generation),
            None => self.rival = Some(Rival { address, generation, unanswered_probes: 0, answered: false }),
        }
    }

    /// Handles an update about this node itself and refutes it if necessary.
    pub(super) fn merge_about_self(&mut self, now: Timestamp, update: &MemberUpdate) {
        if update.generation < self.generation {
            return;
        }
        if update.generation == self.generation {
            if (update.incarnation, update.state) > (self.incarnation, MemberState::Alive) {
                if update.state == MemberState::Suspect {
                    self.adjust_local_health(1);
                }
                let info_incarnation = self.info_incarnation;
                self.raise_incarnation(Incarnation(update.incarnation.0 + 1));
                self.info_incarnation = info_incarnation;
                self.announce_self(now);
            }
            return;
        }
        let other_address =
            update.info.as_ref().map(|info| info.address).filter(|at| *at != self.info.address);
        match other_address {
            _ if !update.state.is_present() => self.raise_generation(now, update.generation),
            Some(address) => self.note_rival(address, update.generation),
            None if update.info.is_some() => self.raise_generation(now, update.generation),
            // Another process may be running, but it cannot be probed without an address.
            None => self.lacks_info = true,
        }
    }

    /// Applies an update that takes precedence over what is known, and gossips it if `gossip_further` is set.
    pub(super) fn merge(
        &mut self,
        now: Timestamp,
        update: &MemberUpdate,
        sender: &str,
        gossip_further: bool,
    ) {
        if update.name == self.name {
            return self.merge_about_self(now, update);
        }
        let reporter = update.reported_by.as_deref().unwrap_or(sender);
        if update.info.as_ref().is_some_and(|info| !self.config.allows(info.address)) {
            self.counters.outside_networks += 1;
            return;
        }
        let Some(member) = self.members.get_mut(&update.name) else {
            // A forgotten member stays forgotten: only a present one is added.
            if update.state.is_present() {
                self.add_member(now, update, reporter);
                if !gossip_further {
                    self.gossip.remove(&update.name);
                }
            }
            return;
        };
        let mut state = update.state;
        if state == MemberState::Dead
            && member.state == MemberState::Alive
            && update.generation == member.generation
        {
            // A report from the other side of a partition. A member that is alive here gets the time to refute it.
            state = MemberState::Suspect;
        }
        let rank = (update.generation, update.incarnation, state);
        if rank <= member.rank() {
            if rank == member.rank()
                && state == MemberState::Suspect
                && self.confirm_suspicion(&update.name, reporter)
            {
                self.gossip_confirmation(&update.name);
            }
            return;
        }
        let (generation, incarnation, old_state) = (member.generation, member.incarnation, member.state);
        let has_same_info =
            (update.generation, update.info_incarnation) == (member.generation, member.info_incarnation);
        let info_unchanged = update.info.as_ref().is_none_or(|info| *info == member.info);
        match &update.info {
            Some(info) => (member.info, member.info_incarnation) = (info.clone(), update.info_incarnation),
            None if has_same_info => {}
            // Without the current `NodeInfo` the member would be looked for at its old address.
            None if state.is_present() || update.generation != member.generation => {
                self.lacks_info = true;
                return;
            }
            None => {}
        }
        (member.generation, member.incarnation) = (update.generation, update.incarnation);
        if update.generation > generation {
            (member.last_heard, member.load, member.rtt) = (None, None, None);
        }
        if old_state.is_present() {
            self.digest ^= checksums::member_hash(&update.name, generation, incarnation);
            self.digest ^= checksums::member_hash(&update.name, update.generation, update.incarnation);
        }
        let reporter = reporter.to_owned();
        if update.generation > generation && state == MemberState::Alive {
            self.set_state_as(now, &update.name, MemberState::Alive, &reporter, ChangeKind::Restarted);
        } else if state != old_state || state == MemberState::Suspect {
            self.set_state(now, &update.name, state, &reporter);
            if state != update.state {
                // The shortest suspicion is enough, because another node has already declared the member dead.
                let timeout = now
                    + suspicion_timeout(self.config.timing.probe_interval, self.present_count, usize::MAX);
                self.set_timer(&update.name, Some(timeout));
            }
        } else if !info_unchanged {
            self.record_change(now, &update.name, update.generation, ChangeKind::InfoChanged, &reporter);
        }
        // A member that is reported as not alive has to learn of it in any case.
        if gossip_further || state != MemberState::Alive {
            self.gossip.add(&update.name);
        }
    }

    /// Adds a new member, unless its `NodeInfo` is missing or the limit is reached.
    pub(super) fn add_member(&mut self, now: Timestamp, update: &MemberUpdate, reporter: &str) {
        let Some(info) = update.info.clone() else {
            self.lacks_info = true;
            return;
        };
        if self.members.len() + 1 >= self.config.max_members {
            self.counters.member_limit_reached += 1;
            return;
        }
        let member = Member {
            generation: update.generation,
            incarnation: update.incarnation,
            state: MemberState::Alive,
            info,
            info_incarnation: update.info_incarnation,
            state_since: now,
            reported_by: reporter.to_owned(),
            last_heard: None,
            load: None,
            rtt: None,
            probes_sent: 0,
            probes_lost: 0,
            timer: None,
            suspected_by: Vec::new(),
            last_accused: None,
        };
        self.members.insert(update.name.clone(), member);
        self.present_count += 1;
        self.digest ^= checksums::member_hash(&update.name, update.generation, update.incarnation);
        // The new member is probed at a random position in the rest of this cycle.
        let position = self.rng.random_range(self.probe_position..=self.probe_order.len());
        self.probe_order.insert(position, update.name.clone());
        self.record_change(now, &update.name, update.generation, ChangeKind::Joined, reporter);
        if update.state == MemberState::Suspect {
            self.set_state(now, &update.name, MemberState::Suspect, reporter);
        }
        self.gossip.add(&update.name);
    }
}
