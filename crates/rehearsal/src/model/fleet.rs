//! All backends, what discovery's list says of them, and how the steps of troubles change them.

use crate::model::backend::{Backend, IdempotencyStore};
use crate::model::troubles::Step;
use crate::rng::SeededRng;
use crate::scenario::{Scenario, Scope};
use yarrowfront::decide::{BackendState, ListEntry};
use yarrowfront::ids::{BackendId, BackendTypeId, GroupId, ZoneId};
use yarrowfront::times::{Micros, Timestamp};

/// Work for the driver of the fleet that results from a step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DriverAction {
    /// Reset all connections to the backend: what was in progress on them is lost.
    ResetConnections(usize),
    /// Call `publish` for the backend at this time.
    Publish(Timestamp, usize),
    /// Apply the step at this time.
    ScheduleStep(Timestamp, Step),
    /// Report to the judges that the backend has started cold.
    ReportColdStart(usize),
    /// The rate of the backend may have changed, so that its next change has to be scheduled again.
    UpdateNextChange(usize),
}

/// What happens to an answer on its way from a backend to a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AnswerFate {
    Delivered,
    /// Its connection is reset.
    ConnectionBroken,
    /// It never arrives, and its connection stays open.
    Lost,
}

/// The backends, discovery's list and the state of the network between nodes and backends.
pub struct Fleet {
    pub backends: Vec<Backend>,
    /// The kind of each backend, as an index into the scenario's kinds.
    kind_indices: Vec<u8>,
    /// Whether another backend has replaced this one, so that it never comes back.
    is_replaced: Vec<bool>,
    pub idempotency_store: IdempotencyStore,
    /// The list's entry of each backend. Backends in the state `Gone` are not in the list.
    pub entries: Vec<ListEntry>,
    /// The backend whose entry each version of the list changed; its length is the version.
    pub changes: Vec<usize>,
    pub discovery_is_up: bool,
    /// The share of answers whose connection is reset.
    pub reset_share: f64,
    /// The share of answers that never arrive.
    pub answer_loss_share: f64,
    /// Delay that troubles add to each one-way latency between nodes and backends, in microseconds.
    pub extra_delay_us: i64,
    seed: u64,
    list_settings: crate::scenario::List,
    /// The multiple of its capacity that a cold backend can be sent, and within which span.
    cold_budget: (f64, Micros),
}

impl Fleet {
    /// The fleet at the start of a scenario: all backends are warm and listed.
    pub fn new(scenario: &Scenario, seed: u64, now: Timestamp) -> Fleet {
        let mut fleet = Fleet {
            backends: Vec::new(),
            kind_indices: Vec::new(),
            is_replaced: Vec::new(),
            idempotency_store: IdempotencyStore::default(),
            entries: Vec::new(),
            changes: Vec::new(),
            discovery_is_up: true,
            reset_share: scenario.net.resets,
            answer_loss_share: 0.0,
            extra_delay_us: 0,
            seed,
            list_settings: scenario.list.clone(),
            cold_budget: (scenario.allow.push_over, scenario.allow.push_span.span()),
        };
        for (kind_index, backend_kind) in scenario.backends.iter().enumerate() {
            for _ in 0..backend_kind.count {
                let i = fleet.backends.len();
                let zone = (i % usize::from(scenario.zones)) as u16;
                // Groups span zones; otherwise the loss of a zone would lose the memory of idempotency keys.
                let group = (i / usize::from(backend_kind.group)) as u16;
                fleet.add(kind_index, backend_kind.clone(), (zone, group), None, now);
                fleet.publish(i);
            }
        }
        fleet
    }

    fn add(
        &mut self,
        kind_index: usize,
        backend_kind: crate::scenario::BackendKind,
        place: (u16, u16),
        started: Option<Timestamp>,
        now: Timestamp,
    ) {
        let number = self.backends.len() as u64;
        self.backends.push(Backend::new(
            backend_kind,
            place,
            started,
            now,
            self.cold_budget,
            (self.seed, number),
        ));
        self.kind_indices.push(kind_index as u8);
        self.is_replaced.push(false);
        self.entries.push(ListEntry {
            name_hash: number,
            weight: 1.0,
            backend: BackendId(number as u32),
            zone: ZoneId(place.0),
            backend_type: BackendTypeId(kind_index as u8),
            group: GroupId(place.1),
            state: BackendState::Gone,
            started_at: started.unwrap_or_default(),
        });
    }

    /// The name of a backend in discovery's list.
    pub fn backend_name(&self, i: usize) -> String {
        format!("b{i}")
    }

    /// The scope in which an idempotency key is looked up if it is sent to this backend.
    pub fn scope_id(&self, scope: Scope, i: usize) -> u32 {
        let b = &self.backends[i];
        match scope {
            Scope::All => 0,
            Scope::Zone => 1 << 16 | u32::from(b.zone),
            Scope::Group => 2 << 16 | u32::from(b.group),
        }
    }

    /// Updates the list's entry of a backend from its state; true if the entry has changed.
    pub fn publish(&mut self, i: usize) -> bool {
        let b = &self.backends[i];
        let state = match (b.is_up && !b.is_cut_off, b.is_draining) {
            (false, _) => BackendState::Gone,
            (true, true) => BackendState::Draining,
            (true, false) => BackendState::Ready,
        };
        let entry = &mut self.entries[i];
        let new = (state, b.started_at);
        if (entry.state, entry.started_at) == new {
            return false;
        }
        (entry.state, entry.started_at) = new;
        self.changes.push(i);
        true
    }

    /// The entries of all backends that are in the list.
    pub fn snapshot(&self) -> impl Iterator<Item = ListEntry> + '_ {
        self.entries.iter().filter(|l| l.state != BackendState::Gone).copied()
    }

    /// Draws what happens to an answer on its way.
    pub fn draw_answer_fate(&self, rng: &mut SeededRng) -> AnswerFate {
        match rng.uniform() {
            x if x < self.reset_share => AnswerFate::ConnectionBroken,
            x if x < self.reset_share + self.answer_loss_share => AnswerFate::Lost,
            _ => AnswerFate::Delivered,
        }
    }

    /// Applies a step to the backends, discovery and the network. Steps of nodes are the driver's.
    pub fn apply(&mut self, now: Timestamp, step: Step, actions: &mut Vec<DriverAction>) {
        let death_listed_at = now + self.list_settings.notice.span();
        let start_listed_at = now + self.list_settings.add.span();
        match step {
            Step::Drain(i) if self.backends[i].is_up => {
                self.backends[i].is_draining = true;
                actions.push(DriverAction::Publish(now, i));
            }
            Step::StopDrained(i) if self.backends[i].is_draining => self.kill_backend(now, i, now, actions),
            Step::Kill(i) if self.backends[i].is_up => self.kill_backend(now, i, death_listed_at, actions),
            Step::Restart(i) if !self.backends[i].is_up && !self.is_replaced[i] => {
                self.backends[i].restart(now);
                actions.extend([DriverAction::ReportColdStart(i), DriverAction::Publish(start_listed_at, i)]);
            }
            Step::Replace(i) if !self.is_replaced[i] => {
                self.is_replaced[i] = true;
                let (b, kind_index) = (&self.backends[i], usize::from(self.kind_indices[i]));
                let (backend_kind, place) = (b.kind.clone(), (b.zone, b.group));
                self.add(kind_index, backend_kind, place, Some(now), now);
                let new = self.backends.len() - 1;
                actions.extend([
                    DriverAction::ReportColdStart(new),
                    DriverAction::Publish(start_listed_at, new),
                ]);
            }
            Step::CutOff(i) => {
                self.backends[i].is_cut_off = true;
                actions.push(DriverAction::Publish(death_listed_at, i));
            }
            Step::Reconnect(i) => {
                self.backends[i].is_cut_off = false;
                // Connections from before the cut are reset now that packets arrive again.
                actions
                    .extend([DriverAction::ResetConnections(i), DriverAction::Publish(start_listed_at, i)]);
            }
            Step::Stall(i, span) => {
                let b = &mut self.backends[i];
                b.stalled_until = b.stalled_until.max(now + span);
            }
            Step::Hang(i, hung) => self.backends[i].is_hung = hung,
            Step::ScaleSpeed(i, factor) => self.backends[i].speed_factor *= factor,
            Step::AddErrors(i, change) => {
                let b = &mut self.backends[i];
                b.error_share = (b.error_share + change).clamp(0.0, 1.0);
            }
            Step::DiscoveryDown => self.discovery_is_up = false,
            Step::DiscoveryUp => self.discovery_is_up = true,
            Step::AddResets(change) => self.reset_share = (self.reset_share + change).clamp(0.0, 1.0),
            Step::AddLostAnswers(change) => {
                self.answer_loss_share = (self.answer_loss_share + change).clamp(0.0, 1.0)
            }
            Step::AddDelay(change) => self.extra_delay_us += change,
            _ => {}
        }
        if let Step::Stall(i, _) | Step::Hang(i, _) | Step::ScaleSpeed(i, _) = step {
            self.backends[i].refresh_rate(now);
            actions.push(DriverAction::UpdateNextChange(i));
        }
    }

    fn kill_backend(
        &mut self,
        now: Timestamp,
        i: usize,
        listed_at: Timestamp,
        actions: &mut Vec<DriverAction>,
    ) {
        self.backends[i].kill(now);
        actions.extend([DriverAction::ResetConnections(i), DriverAction::Publish(listed_at, i)]);
    }

    /// A cold backend crashes from too much work; it restarts after the time that its kind states.
    pub fn crash(&mut self, now: Timestamp, i: usize, actions: &mut Vec<DriverAction>) {
        let restart_at = now + self.backends[i].kind.falls.span();
        self.apply(now, Step::Kill(i), actions);
        actions.push(DriverAction::ScheduleStep(restart_at, Step::Restart(i)));
    }
}
