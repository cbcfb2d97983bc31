//! The state machine of a rolling change: it takes the reports of the nodes and decides what to do next.
//!
//! Invariants: no more nodes are out of service at once than the plan allows, including those that are missing for other
//! reasons; nothing is changed during a hold, and trials are renewed until the change continues or is rolled back; a stage
//! passes by its verdict or by an operator's order only; from every state all nodes can reach one version, and if a node
//! prevents that an operator is asked.

use crate::journal::{Action, OperatorOrder, Record};
use crate::node_report::{NodeReport, PollOutcome, SecondReport};
use crate::plan::{Change, NodeId, Plan};
use crate::verdict::{StageVerdict, Verdict};
use std::collections::{BTreeMap, BTreeSet};
use yarrowfront::times::{Micros, Timestamp};

/// A second is judged this long after its end, when every node has had time to report it.
const REPORT_DELAY_SECONDS: u64 = 3;
/// How often the lease of a trial is renewed within its duration.
const RENEWALS_PER_LEASE: u64 = 4;
/// How long unchanged nodes have to do as well as usual before a hold because of them ends.
const RECOVERY_PERIOD: Micros = Micros(10_000_000);

/// The phase of a rolling change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Advancing,
    /// All stages have passed, and the trials are confirmed.
    Confirming,
    RollingBack,
    Done,
    RolledBack,
}

/// The version that a node reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeVersion {
    Former,
    OnTrial,
    New,
    /// Neither version: the node was changed by someone else.
    Other,
    Unknown,
}

/// Why nothing more is changed at the moment.
#[derive(Clone, Debug, PartialEq)]
pub enum HoldReason {
    /// An operator has paused the change.
    Paused,
    /// Unchanged nodes do worse than usual as well, so the change is not the cause.
    FleetDegraded,
    /// These nodes are not serving or do not answer.
    Missing(Vec<String>),
    /// These measures were not decided within `max_watch`.
    Undecided(Vec<String>),
    /// A node has neither version, or does not follow.
    Blocked(String),
}

impl HoldReason {
    /// Whether an operator has to decide how to continue. Other holds end by themselves or by `OperatorOrder::Resume`.
    pub fn needs_operator(&self) -> bool {
        matches!(self, HoldReason::Undecided(_) | HoldReason::Blocked(_))
    }

    /// The reason as text, for the journal.
    pub fn text(&self) -> String {
        match self {
            HoldReason::Paused => "paused by an operator".to_owned(),
            HoldReason::FleetDegraded => {
                "unchanged nodes do worse than they used to: it is not the change".to_owned()
            }
            HoldReason::Missing(names) => format!("missing: {}", names.join(", ")),
            HoldReason::Undecided(names) => {
                format!("not known within the longest time: {}", names.join(", "))
            }
            HoldReason::Blocked(why) => why.clone(),
        }
    }
}

/// The outcome of an action: it succeeded, the node refused it, or no answer came and the outcome is unknown.
#[derive(Clone, Debug, PartialEq)]
pub enum ActionOutcome {
    Done,
    Refused(String),
    Unknown(String),
}

#[derive(Clone, Debug, Default)]
struct NodeState {
    last_poll: PollOutcome,
    /// An action followed the last report, so that the node's version is unknown until its next report.
    is_stale: bool,
    /// Since when the node has not answered.
    silent_since: Option<Timestamp>,
    /// The action in progress, and since when.
    in_progress: Option<(Action, Timestamp)>,
    /// Since when the node has the new version, and the generation of its process.
    changed: Option<(Timestamp, u64)>,
    /// Its memory in kB and its file descriptors when the new version had settled.
    baseline: Option<(u64, u64)>,
    /// When the lease of the trial was last renewed.
    renewed_at: Option<Timestamp>,
    /// When the first action but a renewal began. Until then the node's seconds count as those of an unchanged node.
    first_action_at: Option<Timestamp>,
    /// Why the node refused an action, and when.
    last_failure: Option<(String, Timestamp)>,
    /// The node has restarted by itself since it was changed.
    has_restarted: bool,
}

/// The controller of a rolling change.
#[derive(Clone, Debug)]
pub struct Controller {
    pub plan: Plan,
    former: String,
    new: String,
    pub stages: Vec<Vec<NodeId>>,
    nodes: Vec<NodeState>,
    pub phase: Phase,
    pub stage: usize,
    hold: Option<HoldReason>,
    is_paused: bool,
    /// Since when all nodes of the stage have the new version and are settled, and when an operator is asked if there is
    /// still no verdict.
    watched_since: Option<Timestamp>,
    verdict_due: Option<Timestamp>,
    /// Since when unchanged nodes have done as well as usual.
    healthy_since: Option<Timestamp>,
    /// Since when the nodes are being confirmed or rolled back.
    finishing_since: Option<Timestamp>,
    /// An operator has accepted the current stage.
    is_accepted: bool,
    /// At least one stage was passed by comparison or by an operator.
    has_compared: bool,
    pub verdict: Verdict,
    /// Ignores the verdict, for tests that show what it contributes.
    pub ignore_verdict: bool,
    /// Reported seconds that have not been judged yet: the node, whether it counts as changed, and its report.
    pending_seconds: BTreeMap<u64, Vec<(NodeId, bool, SecondReport)>>,
    last_judged_second: u64,
    /// Records that `next_records` will return.
    pending_records: Vec<Record>,
    /// The beginning of the current stage has been recorded.
    stage_recorded: bool,
}

impl Controller {
    /// A rolling change from the former to the new version, each given as a settings digest or a build name.
    pub fn new(plan: Plan, former: &str, new: &str) -> Controller {
        let (stages, verdict) = (plan.stage_nodes(), Verdict::new(&plan));
        Controller {
            nodes: vec![NodeState::default(); plan.nodes.len()],
            former: former.to_owned(),
            new: new.to_owned(),
            stages,
            phase: Phase::Advancing,
            stage: 0,
            hold: None,
            is_paused: false,
            watched_since: None,
            verdict_due: None,
            healthy_since: None,
            finishing_since: None,
            is_accepted: false,
            has_compared: false,
            verdict,
            ignore_verdict: false,
            pending_seconds: BTreeMap::new(),
            last_judged_second: 0,
            pending_records: Vec::new(),
            stage_recorded: false,
            plan,
        }
    }

    /// Continues from the journal of an earlier controller. The nodes report their versions themselves; a stage that had
    /// not passed is watched again from its start.
    pub fn resume<'a>(&mut self, records: impl Iterator<Item = &'a Record>) {
        for record in records {
            match record {
                Record::Passed { stage, .. } => {
                    (self.stage, self.has_compared) = (stage + 1, true);
                }
                Record::Confirming => self.phase = Phase::Confirming,
                Record::RollbackStarted { .. } => self.phase = Phase::RollingBack,
                Record::Done => self.phase = Phase::Done,
                Record::RolledBack => self.phase = Phase::RolledBack,
                Record::Ordered { order: OperatorOrder::Pause } => self.is_paused = true,
                Record::Ordered { .. } => self.is_paused = false,
                _ => {}
            }
        }
        if self.phase == Phase::Advancing && self.stage >= self.stages.len() {
            self.phase = Phase::Confirming;
        }
    }

    fn node_name(&self, id: NodeId) -> String {
        self.plan.node(id).name.clone()
    }

    fn changes_settings(&self) -> bool {
        matches!(self.plan.change, Change::Settings(_))
    }

    /// Whether all nodes have one version.
    pub fn is_finished(&self) -> bool {
        matches!(self.phase, Phase::Done | Phase::RolledBack)
    }

    pub fn hold_reason(&self) -> Option<&HoldReason> {
        self.hold.as_ref()
    }

    fn version_of(&self, report: &NodeReport) -> NodeVersion {
        let version = if self.changes_settings() { &report.settings_digest } else { &report.build };
        match () {
            () if *version == self.former && report.trial.is_none() => NodeVersion::Former,
            () if *version == self.new && report.trial.is_some() => NodeVersion::OnTrial,
            () if *version == self.new => NodeVersion::New,
            () => NodeVersion::Other,
        }
    }

    /// The version in a node's last report, or `Unknown` if an action was done since.
    pub fn version_at(&self, id: NodeId) -> NodeVersion {
        let state = &self.nodes[id.0];
        let report = state.last_poll.report().filter(|_| !state.is_stale);
        report.map_or(NodeVersion::Unknown, |report| self.version_of(report))
    }

    fn has_new_version(&self, id: NodeId) -> bool {
        matches!(self.version_at(id), NodeVersion::OnTrial | NodeVersion::New)
    }

    /// The outcome of the last poll of a node that counts.
    pub fn last_poll(&self, id: NodeId) -> &PollOutcome {
        &self.nodes[id.0].last_poll
    }

    /// Takes the outcomes of polling all nodes, in the plan's order. The nodes must have been polled after the outcomes
    /// passed to `action_finished` arrived.
    pub fn observe(&mut self, now: Timestamp, polls: Vec<PollOutcome>) {
        for (id, poll) in self.plan.node_ids().collect::<Vec<_>>().into_iter().zip(polls) {
            self.observe_node(now, id, poll);
        }
        let complete_until = (now.0 / 1_000_000).saturating_sub(REPORT_DELAY_SECONDS);
        let later = self.pending_seconds.split_off(&complete_until);
        for (at, second) in std::mem::replace(&mut self.pending_seconds, later) {
            self.last_judged_second = at;
            let second: Vec<(NodeId, bool, &SecondReport)> =
                second.iter().map(|(id, changed, second)| (*id, *changed, second)).collect();
            self.verdict.observe(&second);
        }
    }

    fn observe_node(&mut self, now: Timestamp, id: NodeId, poll: PollOutcome) {
        let settle = self.plan.timing.settle;
        let version = poll.report().map_or(NodeVersion::Unknown, |report| self.version_of(report));
        let state = &mut self.nodes[id.0];
        let PollOutcome::Report(mut report) = poll else {
            // A single missing answer does not count.
            state.silent_since.get_or_insert(now);
            let is_silent =
                state.silent_since.is_some_and(|at| now.since(at) >= self.plan.timing.silent_timeout);
            if poll == PollOutcome::Gone || is_silent {
                state.last_poll = poll;
            }
            return;
        };
        (state.silent_since, state.is_stale) = (None, false);
        match version {
            NodeVersion::OnTrial | NodeVersion::New if report.is_serving() => {
                let generation = report.generation;
                let (since, _) = *state.changed.get_or_insert((now, generation));
                state.first_action_at.get_or_insert(now);
                if now.since(since) >= settle {
                    state.baseline.get_or_insert((report.memory_kb, report.descriptors));
                }
            }
            NodeVersion::Former => {
                // A process of the same generation was only unreachable for so long that its trial has expired.
                state.has_restarted |=
                    state.changed.is_some_and(|(_, generation)| generation != report.generation);
                (state.changed, state.baseline) = (None, None);
            }
            _ => {}
        }
        let seconds = std::mem::take(&mut report.seconds);
        let (first_action_at, changed) = (state.first_action_at, state.changed);
        for second in seconds {
            // A second counts as unchanged if it ended before the first action on the node, and as changed if it began after
            // the node had settled. Seconds in between count for neither side.
            let (began, ended) =
                (Timestamp(second.unix_second * 1_000_000), Timestamp((second.unix_second + 1) * 1_000_000));
            let is_changed = match (first_action_at, changed) {
                (None, _) => Some(false),
                (Some(at), _) if ended <= at => Some(false),
                (_, Some((since, _))) if began >= since + settle => Some(true),
                _ => None,
            };
            if let Some(is_changed) = is_changed.filter(|_| second.unix_second > self.last_judged_second) {
                self.pending_seconds.entry(second.unix_second).or_default().push((id, is_changed, second));
            }
        }
        state.last_poll = PollOutcome::Report(report);
    }

    /// Takes the outcome of an action.
    pub fn action_finished(&mut self, now: Timestamp, id: NodeId, action: Action, outcome: ActionOutcome) {
        let state = &mut self.nodes[id.0];
        if state.in_progress.is_some_and(|(current, _)| current == action) {
            state.in_progress = None;
        }
        // A node that falls silent right after an action may no longer have the version that it last reported. Otherwise it
        // was counted as rolled back while it still had the new version.
        state.is_stale |= action != Action::RenewTrial;
        let error = match outcome {
            ActionOutcome::Done => None,
            ActionOutcome::Refused(why) | ActionOutcome::Unknown(why) if action == Action::RenewTrial => {
                Some(why)
            }
            ActionOutcome::Refused(why) => {
                state.last_failure = Some((why.clone(), now));
                Some(why)
            }
            ActionOutcome::Unknown(why) => Some(why),
        };
        if error.is_none() {
            state.last_failure = None;
            state.renewed_at = Some(now);
        }
        let node = self.node_name(id);
        if action != Action::RenewTrial || error.is_some() {
            self.pending_records.push(Record::ActionFinished { node, action, error });
        }
    }

    /// Applies an operator's order, or returns why it does not fit the current phase.
    pub fn order(&mut self, now: Timestamp, order: OperatorOrder) -> Result<(), String> {
        let is_advancing = self.phase == Phase::Advancing;
        match order {
            OperatorOrder::Pause if is_advancing => self.is_paused = true,
            OperatorOrder::Resume if is_advancing => {
                (self.is_paused, self.hold) = (false, None);
                self.verdict_due = Some(now + self.plan.timing.max_watch);
            }
            OperatorOrder::Accept if is_advancing && self.watched_since.is_some() => self.is_accepted = true,
            OperatorOrder::Accept => return Err("no stage is being watched".to_owned()),
            OperatorOrder::Back if matches!(self.phase, Phase::Advancing | Phase::Confirming) => {
                self.pending_records.push(Record::Ordered { order });
                self.start_rollback(now, "an operator's word".to_owned());
                return Ok(());
            }
            _ => return Err("the change is not advancing".to_owned()),
        }
        self.pending_records.push(Record::Ordered { order });
        Ok(())
    }

    fn start_rollback(&mut self, now: Timestamp, reason: String) {
        (self.phase, self.hold, self.is_paused) = (Phase::RollingBack, None, false);
        self.finishing_since = Some(now);
        self.nodes.iter_mut().for_each(|state| (state.last_failure, state.has_restarted) = (None, false));
        self.pending_records.push(Record::RollbackStarted { reason });
    }

    fn set_hold(&mut self, hold: Option<HoldReason>) {
        let kind = |hold: &Option<HoldReason>| hold.as_ref().map(std::mem::discriminant);
        if kind(&hold) != kind(&self.hold) {
            self.pending_records.push(match &hold {
                Some(hold) => Record::Hold { reason: hold.text(), needs_operator: hold.needs_operator() },
                None => Record::Resumed,
            });
        }
        self.hold = hold;
    }

    /// Nodes that are not serving, or have not answered for too long.
    fn missing_nodes(&self) -> Vec<NodeId> {
        let missing = |id: &NodeId| {
            let state = &self.nodes[id.0];
            match &state.last_poll {
                PollOutcome::Report(report) => !report.is_serving(),
                // Before its first answer a node is not known to be running.
                PollOutcome::Silent | PollOutcome::Gone => true,
            }
        };
        self.plan.node_ids().filter(missing).collect()
    }

    /// Nodes with an action in progress that may take them out of service.
    fn busy_nodes(&self) -> Vec<NodeId> {
        let busy = |id: &NodeId| {
            self.nodes[id.0].in_progress.is_some_and(|(action, _)| action != Action::RenewTrial)
        };
        self.plan.node_ids().filter(busy).collect()
    }

    /// How many more nodes may be taken out of service now.
    fn disruption_budget(&self) -> usize {
        let unavailable: BTreeSet<NodeId> =
            self.missing_nodes().into_iter().chain(self.busy_nodes()).collect();
        self.plan.max_unavailable.saturating_sub(unavailable.len())
    }

    /// Decides what to do next. The records are to be written to the journal in this order, before any action among them
    /// is carried out.
    pub fn next_records(&mut self, now: Timestamp) -> Vec<Record> {
        match self.phase {
            Phase::Advancing => self.advance(now),
            Phase::Confirming => self.confirm_nodes(now),
            Phase::RollingBack => self.roll_back(now),
            Phase::Done | Phase::RolledBack => {}
        }
        if matches!(self.phase, Phase::Advancing | Phase::Confirming) {
            self.renew_trials(now);
        }
        std::mem::take(&mut self.pending_records)
    }

    fn start_action(&mut self, now: Timestamp, id: NodeId, action: Action) {
        let state = &mut self.nodes[id.0];
        state.in_progress = Some((action, now));
        state.last_failure = None;
        if action != Action::RenewTrial {
            state.first_action_at.get_or_insert(now);
        }
        let node = self.node_name(id);
        self.pending_records.push(Record::ActionStarted { node, action });
    }

    fn renew_trials(&mut self, now: Timestamp) {
        let interval = Micros(self.plan.timing.trial_lease.0 / RENEWALS_PER_LEASE);
        for id in self.plan.node_ids().collect::<Vec<_>>() {
            let state = &self.nodes[id.0];
            let last = state.renewed_at.or(state.changed.map(|(at, _)| at));
            let due = last.is_none_or(|at| now.since(at) >= interval);
            if self.version_at(id) == NodeVersion::OnTrial && state.in_progress.is_none() && due {
                self.nodes[id.0].renewed_at = Some(now);
                self.start_action(now, id, Action::RenewTrial);
            }
        }
    }

    /// A reason to roll back at once, whatever the measured figures are.
    fn immediate_failure(&self, now: Timestamp) -> Option<String> {
        let gone = |id: &NodeId| self.nodes[id.0].last_poll == PollOutcome::Gone;
        let changed = |id: &NodeId| self.nodes[id.0].changed.is_some();
        let unchanged_gone = self.plan.node_ids().filter(|id| gone(id) && !changed(id)).count();
        for id in self.plan.node_ids() {
            let (state, name) = (&self.nodes[id.0], self.node_name(id));
            // If unchanged nodes are gone as well, the change is not the cause.
            if gone(&id) && state.in_progress.is_none() && changed(&id) && unchanged_gone == 0 {
                return Some(format!("{name} is gone after its change"));
            }
            let report = state.last_poll.report();
            let has_other_generation = |generation: u64| {
                report.is_some_and(|report| report.generation != generation) && state.in_progress.is_none()
            };
            if state.has_restarted
                || state.changed.is_some_and(|(_, generation)| has_other_generation(generation))
            {
                return Some(format!("{name} has started again after its change"));
            }
            if let Some(growth) = report.and_then(|report| self.resource_growth(state, report)) {
                return Some(format!("{name}: {growth}"));
            }
            if let Some((why, _)) = &state.last_failure {
                return Some(format!("{name} does not take it: {why}"));
            }
            let is_overdue = |since: Timestamp| {
                now > since + self.plan.timing.command_timeout + self.plan.timing.silent_timeout
            };
            if state.in_progress.is_some_and(|(action, since)| action == Action::Apply && is_overdue(since)) {
                return Some(format!("{name} does not come up"));
            }
        }
        None
    }

    /// Whether a changed node's memory or descriptors have grown beyond the margin since it settled.
    fn resource_growth(&self, state: &NodeState, report: &NodeReport) -> Option<String> {
        let (memory, descriptors) = state.baseline?;
        let growth = |now: u64, then: u64| now as f64 - then as f64;
        let memory = growth(report.memory_kb, memory) / 1024.0;
        if memory > self.plan.margins.memory_mb {
            return Some(format!("its memory has grown by {memory:.0} MB"));
        }
        let descriptors = growth(report.descriptors, descriptors);
        (descriptors > self.plan.margins.descriptors)
            .then(|| format!("its descriptors have grown by {descriptors:.0}"))
    }

    fn advance(&mut self, now: Timestamp) {
        if !std::mem::replace(&mut self.stage_recorded, true) {
            let nodes = self.stages[self.stage].iter().map(|id| self.node_name(*id)).collect();
            self.pending_records.push(Record::Stage { stage: self.stage, nodes });
        }
        let answer = self.verdict.evaluate();
        let worse = match &answer {
            StageVerdict::Worse(why) if !self.ignore_verdict => Some(why.clone()),
            _ => None,
        };
        if let Some(why) = self.immediate_failure(now).or(worse) {
            return self.start_rollback(now, why);
        }
        let foreign = self.plan.node_ids().find(|id| self.version_at(*id) == NodeVersion::Other);
        let missing = self.missing_nodes();
        // A changed node that is gone together with unchanged ones is not held against the change when it returns.
        for id in &missing {
            let state = &mut self.nodes[id.0];
            if state.last_poll == PollOutcome::Gone && state.in_progress.is_none() {
                (state.changed, state.baseline) = (None, None);
            }
        }
        if !self.verdict.is_fleet_degraded() {
            self.healthy_since.get_or_insert(now);
        } else {
            self.healthy_since = None;
        }
        let is_degraded = matches!(self.hold, Some(HoldReason::FleetDegraded));
        let has_recovered =
            self.healthy_since.is_some_and(|at| !is_degraded || now.since(at) >= RECOVERY_PERIOD);
        // Nodes that have not answered yet are missing only after they have had time to answer.
        let names = |ids: &[NodeId]| ids.iter().map(|id| self.node_name(*id)).collect::<Vec<_>>();
        let hold = match () {
            () if self.is_paused => Some(HoldReason::Paused),
            () if foreign.is_some() => {
                let name = foreign.map(|id| self.node_name(id)).unwrap_or_default();
                Some(HoldReason::Blocked(format!("{name} has neither the former nor the new")))
            }
            () if missing.iter().any(|id| self.nodes[id.0].in_progress.is_none()) => {
                Some(HoldReason::Missing(names(&missing)))
            }
            () if !has_recovered => Some(HoldReason::FleetDegraded),
            () => None,
        };
        if hold.is_some() {
            // The time of a hold does not count towards the watch time of the stage.
            if self.watched_since.is_some() {
                self.watched_since = Some(now);
            }
            return self.set_hold(hold);
        }
        if !matches!(self.hold, Some(HoldReason::Undecided(_))) {
            self.set_hold(None);
        }
        let due: Vec<NodeId> = self.stages[..=self.stage].concat();
        let remaining: Vec<NodeId> = due.into_iter().filter(|id| !self.has_new_version(*id)).collect();
        if !remaining.is_empty() {
            (self.watched_since, self.verdict_due) = (None, None);
            let is_ready = |id: &NodeId| {
                self.nodes[id.0].in_progress.is_none() && self.version_at(*id) == NodeVersion::Former
            };
            let next: Vec<NodeId> =
                remaining.into_iter().filter(is_ready).take(self.disruption_budget()).collect();
            next.into_iter().for_each(|id| self.start_action(now, id, Action::Apply));
            return;
        }
        self.watch_stage(now, answer);
    }

    /// Watches a stage all of whose nodes have the new version.
    fn watch_stage(&mut self, now: Timestamp, answer: StageVerdict) {
        let timing = self.plan.timing;
        let last_change =
            self.nodes.iter().filter_map(|state| state.changed.map(|(at, _)| at)).max().unwrap_or(now);
        if now < last_change + timing.settle {
            return;
        }
        let watched_since = *self.watched_since.get_or_insert(now);
        let verdict_due = *self.verdict_due.get_or_insert(now + timing.max_watch);
        if std::mem::take(&mut self.is_accepted) {
            return self.pass_stage(now, "an operator's word");
        }
        // The verdict lags by the seconds that have not been reported yet.
        if now < watched_since + timing.min_watch + Micros(REPORT_DELAY_SECONDS * 1_000_000) {
            return;
        }
        let sites: BTreeSet<&str> =
            self.stages[self.stage].iter().map(|id| &*self.plan.node(*id).site).collect();
        let unchanged =
            |id: &NodeId| !self.has_new_version(*id) && sites.contains(&*self.plan.node(*id).site);
        let comparable = self.plan.node_ids().any(|id| unchanged(&id));
        match answer {
            _ if !comparable && self.has_compared => {
                self.pass_stage(now, "the stages before: nobody is left to compare with")
            }
            StageVerdict::NoWorse if comparable => self.pass_stage(now, "its figures"),
            _ if self.ignore_verdict => self.pass_stage(now, "time alone"),
            _ if now < verdict_due => {}
            StageVerdict::Undecided(names) if comparable => self.set_hold(Some(HoldReason::Undecided(names))),
            _ => self.set_hold(Some(HoldReason::Undecided(vec!["nobody to compare with".to_owned()]))),
        }
    }

    fn pass_stage(&mut self, now: Timestamp, grounds: &str) {
        self.set_hold(None);
        self.pending_records.push(Record::Passed { stage: self.stage, grounds: grounds.to_owned() });
        (self.has_compared, self.watched_since, self.verdict_due) = (true, None, None);
        self.stage += 1;
        self.stage_recorded = false;
        if self.stage == self.stages.len() {
            self.phase = Phase::Confirming;
            self.finishing_since = Some(now);
            self.pending_records.push(Record::Confirming);
        } else {
            self.verdict.next_stage();
        }
    }

    /// Asks an operator about nodes that have prevented the end for too long. The other nodes are still acted on.
    fn report_blocked(&mut self, now: Timestamp, remaining: &[NodeId]) {
        let since = *self.finishing_since.get_or_insert(now);
        let failed = remaining.iter().find_map(|id| {
            self.nodes[id.0].last_failure.as_ref().map(|(why, _)| format!("{}: {why}", self.node_name(*id)))
        });
        let is_overdue = now.since(since) >= self.plan.timing.max_watch;
        let names = || remaining.iter().map(|id| self.node_name(*id)).collect::<Vec<_>>().join(", ");
        match failed {
            Some(why) => self.set_hold(Some(HoldReason::Blocked(why))),
            None if is_overdue => {
                self.set_hold(Some(HoldReason::Blocked(format!("still not there: {}", names()))))
            }
            None => self.set_hold(None),
        }
    }

    fn confirm_nodes(&mut self, now: Timestamp) {
        let remaining: Vec<NodeId> =
            self.plan.node_ids().filter(|id| self.version_at(*id) != NodeVersion::New).collect();
        if remaining.is_empty() {
            (self.phase, self.hold) = (Phase::Done, None);
            return self.pending_records.push(Record::Done);
        }
        for id in remaining.iter().copied() {
            let is_ready = self.may_act_on(now, id);
            match self.version_at(id) {
                NodeVersion::OnTrial if is_ready => self.start_action(now, id, Action::Confirm),
                // The node was unreachable for so long that its trial expired, or it has restarted.
                NodeVersion::Former if is_ready && self.disruption_budget() > 0 => {
                    self.start_action(now, id, Action::Apply)
                }
                _ => {}
            }
        }
        self.report_blocked(now, &remaining);
    }

    /// Whether a new action on the node may start: none is in progress or the last one has timed out, and some time has
    /// passed since a failure.
    fn may_act_on(&self, now: Timestamp, id: NodeId) -> bool {
        let state = &self.nodes[id.0];
        match (state.in_progress, &state.last_failure) {
            (Some((_, since)), _) => {
                now > since + self.plan.timing.command_timeout + self.plan.timing.silent_timeout
            }
            (None, Some((_, at))) => now > *at + self.plan.timing.silent_timeout,
            (None, None) => true,
        }
    }

    fn roll_back(&mut self, now: Timestamp) {
        let remaining: Vec<NodeId> =
            self.plan.node_ids().filter(|id| self.version_at(*id) != NodeVersion::Former).collect();
        let busy = !self.busy_nodes().is_empty();
        if remaining.is_empty() && !busy {
            (self.phase, self.hold) = (Phase::RolledBack, None);
            return self.pending_records.push(Record::RolledBack);
        }
        for id in remaining.iter().copied() {
            let is_ready = self.may_act_on(now, id);
            match self.version_at(id) {
                NodeVersion::OnTrial if is_ready => self.start_action(now, id, Action::RevertTrial),
                // Reverting a program starts one process and ends another, so that it is limited like the change itself.
                // Nodes that are missing because of the change do not count here: they must not keep the others on it.
                NodeVersion::New
                    if is_ready
                        && (self.changes_settings()
                            || self.busy_nodes().len() < self.plan.max_unavailable) =>
                {
                    self.start_action(now, id, Action::RevertConfirmed);
                }
                _ => {}
            }
        }
        self.report_blocked(now, &remaining);
    }
}
