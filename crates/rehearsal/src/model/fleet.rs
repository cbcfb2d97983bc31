//! All backends, what the list says of them, and what a trouble's step means for them.

use crate::draw::Draw;
use crate::model::backend::{Backend, Memory};
use crate::model::troubles::Step;
use crate::scenario::{Scenario, Scope};
use yarrowfront::decide::{BackendState, ListEntry};
use yarrowfront::ids::{BackendId, BackendTypeId, GroupId, ZoneId};
use yarrowfront::times::{Micros, Timestamp};

/// What a step asks of whoever drives the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Asked {
    /// What was on its connections is lost, and new ones are refused.
    Reset(usize),
    /// The list is to look at it then.
    Publish(Timestamp, usize),
    Later(Timestamp, Step),
    /// It has started, cold.
    Started(usize),
    /// It may go on at another rate.
    Turned(usize),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OnTheWay {
    Comes,
    /// Its connection breaks off.
    Breaks,
    /// It never comes, and its connection stays open.
    Lost,
}

pub struct Fleet {
    pub backends: Vec<Backend>,
    kinds: Vec<u8>,
    /// Machines that others have replaced: they never come back.
    retired: Vec<bool>,
    pub memory: Memory,
    /// What the list says: of whom nothing, those are not in it.
    pub said: Vec<ListEntry>,
    /// The list's version, and which line each version changed.
    pub changes: Vec<usize>,
    pub list_up: bool,
    pub resets: f64,
    pub lost: f64,
    pub delay: i64,
    seed: u64,
    list: crate::scenario::List,
    budget: (f64, Micros),
}

impl Fleet {
    pub fn new(scenario: &Scenario, seed: u64, now: Timestamp) -> Fleet {
        let mut fleet = Fleet {
            backends: Vec::new(),
            kinds: Vec::new(),
            retired: Vec::new(),
            memory: Memory::default(),
            said: Vec::new(),
            changes: Vec::new(),
            list_up: true,
            resets: scenario.net.resets,
            lost: 0.0,
            delay: 0,
            seed,
            list: scenario.list.clone(),
            budget: (scenario.allow.push_over, scenario.allow.push_span.span()),
        };
        for (kind, k) in scenario.backends.iter().enumerate() {
            for _ in 0..k.count {
                let i = fleet.backends.len();
                let zone = (i % usize::from(scenario.zones)) as u16;
                // Groups lie across zones, or a lost zone would take a tag's memory along.
                let group = (i / usize::from(k.group)) as u16;
                fleet.add(kind, k.clone(), (zone, group), None, now);
                fleet.publish(i);
            }
        }
        fleet
    }

    fn add(
        &mut self,
        kind: usize,
        k: crate::scenario::Kind,
        place: (u16, u16),
        started: Option<Timestamp>,
        now: Timestamp,
    ) {
        let number = self.backends.len() as u64;
        self.backends.push(Backend::new(k, place, started, now, self.budget, (self.seed, number)));
        self.kinds.push(kind as u8);
        self.retired.push(false);
        self.said.push(ListEntry {
            name_hash: number,
            weight: 1.0,
            backend: BackendId(number as u32),
            zone: ZoneId(place.0),
            backend_type: BackendTypeId(kind as u8),
            group: GroupId(place.1),
            state: BackendState::Gone,
            started_at: started.unwrap_or_default(),
        });
    }

    pub fn name(&self, i: usize) -> String {
        format!("b{i}")
    }

    /// Within which memory a tag sent there is looked up.
    pub fn scope(&self, scope: Scope, i: usize) -> u32 {
        let b = &self.backends[i];
        match scope {
            Scope::All => 0,
            Scope::Zone => 1 << 16 | u32::from(b.zone),
            Scope::Group => 2 << 16 | u32::from(b.group),
        }
    }

    /// The list looks at a backend: true if there is something new to tell.
    pub fn publish(&mut self, i: usize) -> bool {
        let b = &self.backends[i];
        let state = match (b.up && !b.cut, b.draining) {
            (false, _) => BackendState::Gone,
            (true, true) => BackendState::Draining,
            (true, false) => BackendState::Ready,
        };
        let said = &mut self.said[i];
        let new = (state, b.started);
        if (said.state, said.started_at) == new {
            return false;
        }
        (said.state, said.started_at) = new;
        self.changes.push(i);
        true
    }

    /// The lines of all backends that are in the list.
    pub fn whole(&self) -> impl Iterator<Item = ListEntry> + '_ {
        self.said.iter().filter(|l| l.state != BackendState::Gone).copied()
    }

    /// What becomes of an answer on its way.
    pub fn answer(&self, draw: &mut Draw) -> OnTheWay {
        match draw.unit() {
            x if x < self.resets => OnTheWay::Breaks,
            x if x < self.resets + self.lost => OnTheWay::Lost,
            _ => OnTheWay::Comes,
        }
    }

    /// What a step does to the backends. The node's and the list's own steps are the driver's.
    pub fn step(&mut self, now: Timestamp, step: Step, asked: &mut Vec<Asked>) {
        let noticed = now + self.list.notice.span();
        let added = now + self.list.add.span();
        match step {
            Step::Drain(i) if self.backends[i].up => {
                self.backends[i].draining = true;
                asked.push(Asked::Publish(now, i));
            }
            Step::Leave(i) if self.backends[i].draining => self.down(now, i, now, asked),
            Step::Die(i) if self.backends[i].up => self.down(now, i, noticed, asked),
            Step::Rise(i) if !self.backends[i].up && !self.retired[i] => {
                self.backends[i].rise(now);
                asked.extend([Asked::Started(i), Asked::Publish(added, i)]);
            }
            Step::Replace(i) if !self.retired[i] => {
                self.retired[i] = true;
                let (b, kind) = (&self.backends[i], usize::from(self.kinds[i]));
                let (k, place) = (b.kind.clone(), (b.zone, b.group));
                self.add(kind, k, place, Some(now), now);
                let new = self.backends.len() - 1;
                asked.extend([Asked::Started(new), Asked::Publish(added, new)]);
            }
            Step::Cut(i) => {
                self.backends[i].cut = true;
                asked.push(Asked::Publish(noticed, i));
            }
            Step::Mend(i) => {
                self.backends[i].cut = false;
                // Connections from before are reset now that something comes back on them.
                asked.extend([Asked::Reset(i), Asked::Publish(added, i)]);
            }
            Step::Stand(i, span) => {
                let b = &mut self.backends[i];
                b.stands_until = b.stands_until.max(now + span);
            }
            Step::Hang(i, hung) => self.backends[i].hung = hung,
            Step::Slow(i, part) => self.backends[i].part *= part,
            Step::Errors(i, more) => {
                let b = &mut self.backends[i];
                b.errors = (b.errors + more).clamp(0.0, 1.0);
            }
            Step::ListDown => self.list_up = false,
            Step::ListUp => self.list_up = true,
            Step::Resets(more) => self.resets = (self.resets + more).clamp(0.0, 1.0),
            Step::LostAnswers(more) => self.lost = (self.lost + more).clamp(0.0, 1.0),
            Step::Delay(more) => self.delay += more,
            _ => {}
        }
        if let Step::Stand(i, _) | Step::Hang(i, _) | Step::Slow(i, _) = step {
            self.backends[i].changed(now);
            asked.push(Asked::Turned(i));
        }
    }

    fn down(&mut self, now: Timestamp, i: usize, told: Timestamp, asked: &mut Vec<Asked>) {
        self.backends[i].die(now);
        asked.extend([Asked::Reset(i), Asked::Publish(told, i)]);
    }

    /// It was pushed over while cold.
    pub fn fall(&mut self, now: Timestamp, i: usize, asked: &mut Vec<Asked>) {
        let back = now + self.backends[i].kind.falls.span();
        self.step(now, Step::Die(i), asked);
        asked.push(Asked::Later(back, Step::Rise(i)));
    }
}
