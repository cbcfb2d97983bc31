//! All backends, what the list says of them, and what a trouble's step means for them.

use crate::model::backend::{Backend, IdempotencyStore};
use crate::model::troubles::Step;
use crate::rng::SeededRng;
use crate::scenario::{Scenario, Scope};
use yarrowfront::decide::{BackendState, ListEntry};
use yarrowfront::ids::{BackendId, BackendTypeId, GroupId, ZoneId};
use yarrowfront::times::{Micros, Timestamp};

/// What a step asks of whoever drives the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DriverAction {
    /// What was on its connections is lost, and new ones are refused.
    ResetConnections(usize),
    /// The list is to look at it then.
    Publish(Timestamp, usize),
    ScheduleStep(Timestamp, Step),
    /// It has started, cold.
    ReportColdStart(usize),
    /// It may go on at another rate.
    UpdateNextChange(usize),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AnswerFate {
    Delivered,
    /// Its connection breaks off.
    ConnectionBroken,
    /// It never comes, and its connection stays open.
    Lost,
}

pub struct Fleet {
    pub backends: Vec<Backend>,
    kinds: Vec<u8>,
    /// Machines that others have replaced: they never come back.
    retired: Vec<bool>,
    pub idempotency_store: IdempotencyStore,
    /// What the list says: of whom nothing, those are not in it.
    pub entries: Vec<ListEntry>,
    /// The list's version, and which line each version changed.
    pub changes: Vec<usize>,
    pub discovery_is_up: bool,
    pub resets: f64,
    pub lost: f64,
    pub extra_delay_us: i64,
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
            idempotency_store: IdempotencyStore::default(),
            entries: Vec::new(),
            changes: Vec::new(),
            discovery_is_up: true,
            resets: scenario.net.resets,
            lost: 0.0,
            extra_delay_us: 0,
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
        k: crate::scenario::BackendKind,
        place: (u16, u16),
        started: Option<Timestamp>,
        now: Timestamp,
    ) {
        let number = self.backends.len() as u64;
        self.backends.push(Backend::new(k, place, started, now, self.budget, (self.seed, number)));
        self.kinds.push(kind as u8);
        self.retired.push(false);
        self.entries.push(ListEntry {
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

    pub fn backend_name(&self, i: usize) -> String {
        format!("b{i}")
    }

    /// Within which memory a tag sent there is looked up.
    pub fn scope_id(&self, scope: Scope, i: usize) -> u32 {
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
        let state = match (b.is_up && !b.is_cut_off, b.draining) {
            (false, _) => BackendState::Gone,
            (true, true) => BackendState::Draining,
            (true, false) => BackendState::Ready,
        };
        let said = &mut self.entries[i];
        let new = (state, b.started);
        if (said.state, said.started_at) == new {
            return false;
        }
        (said.state, said.started_at) = new;
        self.changes.push(i);
        true
    }

    /// The lines of all backends that are in the list.
    pub fn snapshot(&self) -> impl Iterator<Item = ListEntry> + '_ {
        self.entries.iter().filter(|l| l.state != BackendState::Gone).copied()
    }

    /// What becomes of an answer on its way.
    pub fn draw_answer_fate(&self, draw: &mut SeededRng) -> AnswerFate {
        match draw.uniform() {
            x if x < self.resets => AnswerFate::ConnectionBroken,
            x if x < self.resets + self.lost => AnswerFate::Lost,
            _ => AnswerFate::Delivered,
        }
    }

    /// What a step does to the backends. The node's and the list's own steps are the driver's.
    pub fn apply(&mut self, now: Timestamp, step: Step, asked: &mut Vec<DriverAction>) {
        let noticed = now + self.list.notice.span();
        let added = now + self.list.add.span();
        match step {
            Step::Drain(i) if self.backends[i].is_up => {
                self.backends[i].draining = true;
                asked.push(DriverAction::Publish(now, i));
            }
            Step::StopDrained(i) if self.backends[i].draining => self.down(now, i, now, asked),
            Step::Kill(i) if self.backends[i].is_up => self.down(now, i, noticed, asked),
            Step::Restart(i) if !self.backends[i].is_up && !self.retired[i] => {
                self.backends[i].rise(now);
                asked.extend([DriverAction::ReportColdStart(i), DriverAction::Publish(added, i)]);
            }
            Step::Replace(i) if !self.retired[i] => {
                self.retired[i] = true;
                let (b, kind) = (&self.backends[i], usize::from(self.kinds[i]));
                let (k, place) = (b.kind.clone(), (b.zone, b.group));
                self.add(kind, k, place, Some(now), now);
                let new = self.backends.len() - 1;
                asked.extend([DriverAction::ReportColdStart(new), DriverAction::Publish(added, new)]);
            }
            Step::CutOff(i) => {
                self.backends[i].is_cut_off = true;
                asked.push(DriverAction::Publish(noticed, i));
            }
            Step::Reconnect(i) => {
                self.backends[i].is_cut_off = false;
                // Connections from before are reset now that something comes back on them.
                asked.extend([DriverAction::ResetConnections(i), DriverAction::Publish(added, i)]);
            }
            Step::Stall(i, span) => {
                let b = &mut self.backends[i];
                b.stalled_until = b.stalled_until.max(now + span);
            }
            Step::Hang(i, hung) => self.backends[i].is_hung = hung,
            Step::ScaleSpeed(i, part) => self.backends[i].part *= part,
            Step::AddErrors(i, more) => {
                let b = &mut self.backends[i];
                b.errors = (b.errors + more).clamp(0.0, 1.0);
            }
            Step::DiscoveryDown => self.discovery_is_up = false,
            Step::DiscoveryUp => self.discovery_is_up = true,
            Step::AddResets(more) => self.resets = (self.resets + more).clamp(0.0, 1.0),
            Step::AddLostAnswers(more) => self.lost = (self.lost + more).clamp(0.0, 1.0),
            Step::AddDelay(more) => self.extra_delay_us += more,
            _ => {}
        }
        if let Step::Stall(i, _) | Step::Hang(i, _) | Step::ScaleSpeed(i, _) = step {
            self.backends[i].changed(now);
            asked.push(DriverAction::UpdateNextChange(i));
        }
    }

    fn down(&mut self, now: Timestamp, i: usize, told: Timestamp, asked: &mut Vec<DriverAction>) {
        self.backends[i].die(now);
        asked.extend([DriverAction::ResetConnections(i), DriverAction::Publish(told, i)]);
    }

    /// It was pushed over while cold.
    pub fn crash(&mut self, now: Timestamp, i: usize, asked: &mut Vec<DriverAction>) {
        let back = now + self.backends[i].kind.falls.span();
        self.apply(now, Step::Kill(i), asked);
        asked.push(DriverAction::ScheduleStep(back, Step::Restart(i)));
    }
}
