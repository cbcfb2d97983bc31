//! All decisions of one node: distributed Join-Idle-Queue without token withdrawals (docs/design.md).
//! `place`, `after`, `wait` say what becomes of a command; facts come in by `list`, `report`, `dropped`, and
//! what the node wants besides goes out by `errand`. Nothing here blocks, reads a clock or touches a socket.

use crate::allowance::{Allowance, UNSTATED};
use crate::backend::{Backend, Row};
pub use crate::backend_list::{BackendState, ListEntry, ListUpdateKind};
use crate::chance::Chance;
use crate::command::{Bounds, Command, Held, Launch, LaunchState, Outcome, MOST_LAUNCHES};
pub use crate::decision::{Action, Decision};
use crate::ids::{BackendId, BackendTypeId, CommandHandle};
use crate::list_calls::ListCalls;
use crate::portion;
use crate::settings::{DedupScope, Idempotency, Profile, RetryBudget, Settings};
use crate::times::{Micros, Timestamp};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Default)]
pub struct Balancer {
    terms: Settings,
    chance: Chance,
    backends: Vec<Backend>,
    index: BTreeMap<BackendId, usize>,
    /// By the operators' word, whatever the list says.
    left_out: BTreeSet<BackendId>,
    /// By rank, from this node's own place on: the first `reach` are met.
    ready: Vec<usize>,
    reach: usize,
    /// Of those, how many it keeps to while they have room.
    near: usize,
    /// Commands of late, halved in four seconds.
    met: f64,
    met_at: Timestamp,
    /// Work that each backend met has done for it of late, fading as they do.
    done: f64,
    pool: Vec<usize>,
    rows: Vec<Row>,
    /// The usual work over all profiles.
    usual: f64,
    answers: f64,
    kind_pace: BTreeMap<BackendTypeId, f64>,
    /// Commands held, the next one to go last.
    held: Vec<Held>,
    errands: Vec<Action>,
    order: u64,
    launched_at: Timestamp,
    margin: f64,
    /// What may still be launched beyond commands' first.
    allowance: Allowance,
    pressure: f64,
    /// Of the work that comes, the share let in: the dearest.
    open: f64,
    /// What launches take of their goal time, of late.
    fill: f64,
    /// What came of late, by value, cost and key.
    recent: [(f64, f64, u64); RECENT],
    /// Commands of others that backends hold, by the reports of late.
    crowd: f64,
    /// The share of failures that half of the backends met have at least.
    common: f64,
    /// Shares of late: reports belied, told full, dials failed, lost on connections just used, on idle ones.
    belied: f64,
    fulls: f64,
    dials: f64,
    spoilt: f64,
    idled: f64,
    /// For how long a connection is taken to outlast having nothing sent on it.
    lasts: f64,
    probes: f64,
    probe_trip: f64,
    list_calls: ListCalls,
    /// From then on nothing is sent by the list as it is known: news that has not arrived binds this node.
    list_holds_until: Timestamp,
}

/// A process may be held up for so long between its decision and its write.
const HOLD_UP: Micros = Micros::from_millis(150);

/// The proposal's expiry and exploring share.
const TOKEN_EXPIRY: Micros = Micros::from_millis(2000);
const EXPLORE: f64 = 0.1;
/// Backends met at the least: a third failing at once still leaves a choice. Half as many again where probes
/// find the idle one among them; fewer lost where none report.
const FEWEST: usize = 8;
/// What a command may spend on probes, of its payoff: a hundredth. At a higher price it buys not even one.
const FOR_PROBES: f64 = 0.01;
/// Enough commands to tell dear from cheap, few enough to follow a change.
const RECENT: usize = 32;
/// How far one late launch closes the node: four in a row by half.
const CLOSING: f64 = 0.15;
/// The share of launches that may be late before the node closes, and the mean part of their goal time that
/// launches are to take among many nodes: 0.9 of that with a fifth of the share late (docs/assumptions.md).
const ACCEPTED: f64 = 0.1;
const MEAN: f64 = 0.23;
/// So much more where backends say themselves that they are full, to one launch in forty or more: their
/// queues are bounded, and so is how far times spread. Half of the accepted share is late at that mean.
const BOUNDED: f64 = 0.4;
/// Backends probed for a launch: three find an idle one nearly always at two thirds load.
const ASKED: usize = 3;
/// Rounds of them while none is found idle: at two thirds load the third leaves one in thirty.
const ROUNDS: u8 = 5;
/// In a command's usual time: a held one looks round so often, news lasts so long, a probe is waited for so
/// much longer than its trip and back. First found in milliseconds, at 75 of them for a command.
const LOOK: f64 = 0.27;
const FRESH: f64 = 0.13;
const ASKING: f64 = 0.033;

/// Answers of a profile before hints are heeded: a slope through fewer is chance.
const HINTED: f64 = 12.0;

/// The share of failed dials from which on only open connections are used.
const DIALS_FAIL: f64 = 0.15;

/// Idle for less is as good as in use: nothing on the way forgets so soon. And the share of launches lost on
/// connections idle for longer that tells of them: two of six; a heavy command may look lost anywhere.
const BRIEF: Micros = Micros::from_millis(200);
const IDLED: f64 = 0.3;

/// Places that a key has more for each backend's worth of commands, as their work is about halved where it is
/// known. While it draws little it has one, or two where reports count what is held.
const HOT: f64 = 0.75;

/// So long without a launch a node takes its chance.
const ALONE: Micros = Micros::from_millis(1000);

/// A launch out for so many times what was expected is written off, past its goal time and within it: sooner
/// where its answer is worth nothing any more, later where a second copy may follow.
const LOST: [f64; 2] = [6.0, 10.0];
/// And within the goal time where the first is called off for the second: nothing is doubled.
const CALLED_OFF: f64 = 7.0;

/// What a command of a profile is taken to need until an answer tells, of its goal time.
const FIRST_GUESS: f64 = 0.1;

fn first_guess(profile: &Profile) -> f64 {
    FIRST_GUESS * profile.goal_time.as_f64()
}

impl Balancer {
    pub fn new(terms: Settings, seed: u64, now: Timestamp) -> Balancer {
        let rows: Vec<_> = terms.profiles.iter().map(|profile| Row::new(first_guess(profile))).collect();
        let usual = rows.iter().map(|row| row.mean).fold(0.0, f64::max);
        let mut node = Balancer {
            terms,
            chance: Chance::new(seed),
            reach: FEWEST,
            near: FEWEST,
            met_at: now,
            rows,
            usual,
            margin: 1.6,
            open: 1.0,
            lasts: f64::INFINITY,
            list_holds_until: Timestamp(u64::MAX),
            ..Balancer::default()
        };
        node.fill = MEAN;
        node.list_calls = ListCalls::at_start(&node.terms, now, &mut node.chance);
        node
    }

    /// Where to send this command: a backend, not yet, or never. Also asked when its `wait` is over.
    pub fn decide(&mut self, now: Timestamp, hand: CommandHandle, command: &mut Command) -> Decision {
        if command.is_closed {
            return Decision::Wait;
        }
        if !command.seen {
            self.meet(now, command);
            if !self.admitted(command) {
                return self.reject_or_fail(command);
            }
        }
        if command.awaited().is_some() {
            return self.overdue(now, hand, command);
        }
        if command.in_flight_count() > 0 && !self.terms.concurrent_launches_allowed {
            return Decision::Wait; // written off, and asked for by a timer set before
        }
        if self.granted_at(now, command) > now {
            return self.anew(now, hand, command); // held, and what it was held for is spent
        }
        if now >= self.list_holds_until {
            return self.hold(now, hand, command);
        }
        let chosen = self.choose(now, command);
        if self.ask_first(now, hand, command, chosen) {
            return Decision::Wait;
        }
        match chosen {
            Some(i) if self.stale(now, i) => {
                self.backends[i].open = 0;
                command.look_at = now;
                self.errands.push(Action::Reevaluate(hand)); // the last pushed goes first
                self.errands.push(Action::CloseIdleConnections(self.backends[i].listed.backend));
                Decision::Wait
            }
            Some(i) => self.launch(now, command, i),
            None => self.hold(now, hand, command),
        }
    }

    /// What to do after this outcome of a launch.
    pub fn on_launch_outcome(
        &mut self,
        now: Timestamp,
        hand: CommandHandle,
        command: &mut Command,
        n: u8,
        outcome: Outcome,
    ) -> Decision {
        let Some(launch) = command.launch(n).filter(|l| l.state == LaunchState::InFlight) else {
            return Decision::Wait;
        };
        let not_run = outcome.proves_not_run(self.terms.full_may_have_run);
        launch.state = if not_run { LaunchState::NotRun } else { LaunchState::MayHaveRun };
        let launch = *launch;
        if command.is_closed || outcome == Outcome::Finished {
            self.unhold(command); // it may have been held for a second launch
        }
        self.learn(now, command, &launch, outcome);
        self.wake_next();
        if command.is_closed || outcome == Outcome::Finished || command.awaited().is_some() {
            return Decision::Wait;
        }
        self.anew(now, hand, command)
    }

    /// The last byte is here of a command whose launch began before it: until now that held no place, as a
    /// backend begins with the last byte, and slow clients would make it look full and silent.
    pub fn on_body_complete(&mut self, now: Timestamp, command: &mut Command) {
        command.on_body_complete(now);
        if let Some(launch) = command.awaited() {
            self.backends[self.index[&launch.backend]].occupy(now, launch.expected_work);
        }
    }

    /// What follows when no launch is awaited any more: another one, or the end.
    fn anew(&mut self, now: Timestamp, hand: CommandHandle, command: &mut Command) -> Decision {
        let at = self.granted_at(now, command);
        let need =
            if at > now { Micros((self.cost(command) * self.margin.sqrt()) as u64) } else { Micros(0) };
        if at + need < self.goal_end(command) && self.may_launch(at, command) {
            self.unhold(command);
            command.rounds = 0;
            if at <= now {
                return self.decide(now, hand, command);
            }
            command.look_at = at;
            return Decision::Wait;
        }
        if command.in_flight_count() > 0 {
            return Decision::Wait; // one that was written off may still be answered
        }
        self.reject_or_fail(command)
    }

    /// When a further launch is within the budget: of its second half only dear commands get any.
    fn granted_at(&self, now: Timestamp, command: &Command) -> Timestamp {
        if command.launch_count() == 0 {
            return now;
        }
        let budget = self.budget();
        let (spent, all) = self.allowance.stands(now, budget);
        let usual = self.recent.iter().map(|r| r.0).sum::<f64>() / RECENT as f64;
        let granted = spent + 1.0 <= all && (spent < 0.5 * all || command.value >= 0.8 * usual);
        match granted {
            true => now,
            false => self.allowance.eases(now, budget),
        }
    }

    fn budget(&self) -> RetryBudget {
        self.terms.retry_budget.unwrap_or(UNSTATED)
    }

    /// How long until `place` should be asked again for this command, or `errand` for the node (`None`).
    pub fn wakeup_delay(&self, now: Timestamp, command: Option<&Command>) -> Option<Micros> {
        let at = command.map_or(self.list_calls.next_at(), |command| command.look_at);
        (at < Timestamp(u64::MAX)).then(|| at.since(now))
    }

    pub fn on_client_gone(&mut self, command: &mut Command) {
        self.unhold(command);
        command.is_closed = true;
        command.look_at = Timestamp(u64::MAX);
    }

    pub fn apply_list(
        &mut self,
        now: Timestamp,
        kind: ListUpdateKind,
        lines: impl Iterator<Item = ListEntry>,
    ) {
        if kind.is_failure() {
            self.list_calls.ended(now, &self.terms, &mut self.chance);
            return;
        }
        if kind != ListUpdateKind::Cached {
            self.list_calls.watch_opened();
        }
        let whole = kind != ListUpdateKind::Delta;
        self.backends.iter_mut().filter(|_| whole).for_each(|b| b.listed.state = BackendState::Gone);
        for line in lines {
            self.line(now, line);
        }
        self.arrange();
    }

    /// News that this node has not heard counts as known to it from then on; none once it has been heard, or while
    /// discovery is down: then the list serves on. Until the grace is over commands go by the list as it is known, and from
    /// then on they are held for its answer. Without effect where the list is pushed.
    pub fn set_list_expiry(&mut self, binds: Option<Timestamp>) {
        let grace = Micros(self.terms.drain_grace.0.saturating_sub(HOLD_UP.0));
        let binds = binds.filter(|_| self.terms.list_is_requested);
        self.list_holds_until = binds.map_or(Timestamp(u64::MAX), |at| at + grace);
        self.wake_next();
    }

    /// Leaves a backend out whatever the list says of it, or uses it again: then it is cold, all learned is
    /// void. Its token comes before all others until it is used, as nothing else need tell of it soon.
    pub fn set_maintenance(&mut self, now: Timestamp, backend: BackendId, out: bool) {
        if out {
            self.left_out.insert(backend);
            self.errands.push(Action::CloseIdleConnections(backend));
        } else if self.left_out.remove(&backend) {
            if let Some(&i) = self.index.get(&backend) {
                self.line(now, ListEntry { started_at: now, ..self.backends[i].listed });
                self.backends[i].untried = true;
            }
        }
        self.arrange();
    }

    /// Until when a launch that has to wait may be written: by the list, the operators, its time, and the
    /// other launches of its command. Never where that is past.
    pub fn launch_valid_until(&self, command: &Command, n: u8) -> Timestamp {
        let (bounds, launch) = (self.bounds(command, Some(n)), command.launches().nth(usize::from(n)));
        let there = launch.and_then(|launch| self.index.get(&launch.backend)).is_some_and(|&i| self.takes(i));
        let ends = if command.is_body_incomplete { Timestamp(u64::MAX) } else { command.deadline };
        let until = bounds.until.min(ends).min(self.list_holds_until);
        if bounds.launch && there {
            until
        } else {
            Timestamp(0)
        }
    }

    pub fn is_in_maintenance(&self, backend: BackendId) -> bool {
        self.left_out.contains(&backend)
    }

    fn takes(&self, i: usize) -> bool {
        let at = &self.backends[i].listed;
        at.state == BackendState::Ready && !self.is_in_maintenance(at.backend)
    }

    fn arrange(&mut self) {
        let (ready, rest): (Vec<_>, Vec<_>) = (0..self.backends.len()).partition(|&i| self.takes(i));
        self.ready = ready;
        rest.into_iter().for_each(|i| self.backends[i].token = None);
        let backends = &self.backends;
        self.ready.sort_by_cached_key(|&i| portion::rank(backends[i].listed.name_hash));
        let start = portion::place(&self.terms, self.ready.len());
        self.ready.rotate_left(start);
        self.wake_next();
    }

    /// Goes by other terms from now on. Profiles keep their places and new ones stand behind them, so that a
    /// command ends by what it came in under; what is known of backends, and what is out there, stays.
    pub fn replace_settings(&mut self, terms: Settings) {
        self.terms = terms;
        let new = self.terms.profiles.iter().skip(self.rows.len());
        self.rows.extend(new.map(|profile| Row::new(first_guess(profile))));
        self.arrange();
    }

    /// As one of so many nodes that share what all share, at that place among them, from now on.
    pub fn set_membership(&mut self, nodes: u32, me: u32) {
        (self.terms.node_count, self.terms.node_index) = (nodes, me);
        self.arrange();
    }

    /// Another process of this node runs, the one before, or has ended.
    pub fn set_predecessor_running(&mut self, now: Timestamp, other: bool) {
        self.allowance.beside(now, other, self.budget());
    }

    fn line(&mut self, now: Timestamp, line: ListEntry) {
        let kind_pace = self.kind_pace.get(&line.backend_type).copied().unwrap_or(1.0);
        // Many nodes' parts of a cold backend's budget come to less than a command each: their vessels start
        // filled by a random part of what is lacking, so that their first commands do not come all together.
        let brim = self.part(now, line.started_at) * self.terms.collapse_window.as_f64();
        let poured = (self.usual - brim).max(0.0) * self.chance.unit();
        let fresh = Backend::fresh(now, line, kind_pace, poured);
        match self.index.get(&line.backend) {
            None => {
                self.index.insert(line.backend, self.backends.len());
                self.backends.push(fresh);
            }
            Some(&i) if self.backends[i].listed.started_at < line.started_at => {
                // It has started anew: all learned is void, but our launches there are still owed outcomes.
                let (in_flight, pending) = (self.backends[i].in_flight, self.backends[i].pending);
                self.backends[i] = Backend { in_flight, pending, ..fresh };
            }
            Some(&i) => {
                let others = self.backends[i].relist(line);
                self.crowd += 0.01 * f64::from(self.terms.weights_are_live) * (others - self.crowd);
            }
        }
    }

    pub fn on_load_report(
        &mut self,
        now: Timestamp,
        at: BackendId,
        found: bool,
        trip: Option<Micros>,
        values: &[f32],
    ) {
        let Some(&i) = self.index.get(&at) else { return };
        let sighted = self.sighted();
        let b = &mut self.backends[i];
        if let Some(trip) = trip {
            b.probe_out = None;
            b.down = !found;
            self.probe_trip += 0.05 * f64::from(found) * (trip.as_f64() - self.probe_trip);
        }
        let value = |at: Option<usize>| at.and_then(|at| values.get(at)).map(|&v| f64::from(v));
        let queued = value(self.terms.report_queue_index);
        // Reports carry a little noise: less than half a command is none. Where they tell of those that wait
        // alone, how busy the cores are stands for those in work.
        let busy = value(self.terms.report_utilization_index).map_or(0.0, |busy| busy.min(1.0));
        let counted =
            value(self.terms.report_in_flight_index).map(|held| held.max(queued.unwrap_or(0.0)).round());
        let Some(held) = counted.or(queued.map(|queued| queued.round() + busy)) else { return };
        // A token that has just been minted by the answer that this came with is none.
        b.token = b.token.filter(|_| held == 0.0 || trip.is_some() || !sighted);
        b.others = (held - f64::from(b.in_flight)).max(0.0);
        b.report_at = now;
        // Some twenty reports: a few seconds of a node that sees little, and no single one tells much.
        self.crowd += 0.05 * (b.others - self.crowd);
        if held < 0.1 && b.in_flight == 0 {
            b.ghost = 0.0;
            if b.served && b.listed.state == BackendState::Ready && sighted {
                b.token = Some(now);
            }
            self.wake_next();
        }
    }

    pub fn next_action(&mut self, now: Timestamp) -> Option<Action> {
        if self.errands.is_empty() && self.list_calls.take_due(now, &self.terms) {
            return Some(Action::RequestList);
        }
        self.errands.pop()
    }

    fn meet(&mut self, now: Timestamp, command: &mut Command) {
        command.seen = true;
        self.order += 1;
        command.order = self.order;
        // A node meets as many backends as it can send to in half a token's life: spread over hundreds it
        // would know none of them, while other nodes meet others.
        let fade = self.fade(now);
        self.met = 1.0 + self.met * fade;
        self.done *= fade;
        self.dials *= fade;
        self.met_at = now;
        let rate = self.met * std::f64::consts::LN_2 / 4e6;
        let fewest = if self.sighted() { FEWEST * 3 / 2 } else { FEWEST };
        // A key's place is the same everywhere only as far as all meet it: as many then as keep a connection.
        let life = if self.terms.key_affinity {
            self.terms.connection_idle_timeout.max(TOKEN_EXPIRY)
        } else {
            TOKEN_EXPIRY
        };
        self.reach = fewest.max((0.5 * rate * life.as_f64()) as usize);
        self.near = usize::MAX;
        if self.dear() || self.terms.connection_penalty > 0.0 {
            // The few that could ask cost more than they gain, and their news is old when the next one comes.
            self.near = portion::few(&self.terms, self.ready.len(), rate * self.usual);
        } else {
            self.probes =
                (self.probes + (FOR_PROBES / self.terms.probe_penalty.max(1e-4)).min(5.0)).min(40.0);
        }
        self.allowance.count(now, self.budget(), false);
        let cost = self.cost(command);
        let each = if self.terms.payoff_is_per_work { 1.0 } else { cost.max(1.0) };
        let value = self.profile(command).payoff / each;
        // A client's repeat has spent part of its goal time somewhere else.
        command.value = if command.is_client_retry { value * 0.5 } else { value };
        self.recent[self.order as usize % RECENT] = (command.value, cost.max(1.0), command.affinity_key);
        // Two nodes go by late launches, many by how much of the goal time all of them take. Some credit, or
        // single heavy commands would turn away work all the time.
        let unseen = self.unseen();
        let apart = MEAN * (1.0 + BOUNDED * (40.0 * self.fulls).min(1.0)) - self.fill;
        let by_mean = unseen * apart * self.open * self.open;
        let step = CLOSING * (ACCEPTED * (1.0 - 0.8 * unseen) + by_mean);
        self.open = (self.open + step).clamp(0.1, 1.4);
    }

    /// What is left by now of the sums that stand as of the last command.
    fn fade(&self, now: Timestamp) -> f64 {
        (-now.since(self.met_at).as_f64() / 4e6).exp2()
    }

    /// Probes are allowed, and cost too much to go by.
    fn dear(&self) -> bool {
        self.terms.probes_allowed && self.terms.probe_penalty > FOR_PROBES
    }

    /// Whether a command is of the dearest work that comes, as far as the node is open: drawn among equals,
    /// so that nodes neither close nor open all together.
    fn admitted(&mut self, command: &Command) -> bool {
        let draw = self.chance.unit();
        let (mut dearer, mut all) = (0.0, 0.0);
        for &(value, cost, _) in &self.recent {
            all += cost;
            dearer +=
                if value > command.value { cost } else { f64::from(value == command.value) * draw * cost };
        }
        dearer <= self.open * all
    }

    /// A launch out past its goal time: the fleet is fuller than this node can see. One out far longer than
    /// expected is written off: it holds no place any more, and within the goal time its command may move on.
    fn overdue(&mut self, now: Timestamp, hand: CommandHandle, command: &mut Command) -> Decision {
        let end = self.goal_end(command);
        command.look_at = Timestamp(u64::MAX);
        let Some(out) = command.awaited() else { return Decision::Wait };
        out.is_lost = now >= out.lost_at;
        let launch = *out;
        if launch.is_lost {
            let i = self.index[&launch.backend];
            self.tell_lost(&launch, true);
            self.weigh(now, i, 0.0, 1.0);
            self.backends[i].release(&launch);
            self.backends[i].haunt(now, launch.expected_work);
            self.wake_next();
            if self.terms.concurrent_launches_allowed {
                return self.anew(now, hand, command);
            }
            // Called off first, and launched again only when that is over: never two at once.
            let last = command.launch_count() - 1;
            return match self.terms.cancel_supported && now < end && self.may_launch(now, command) {
                true => Decision::CancelLaunch(last as u8),
                false => Decision::Wait,
            };
        }
        command.look_at = if now < end { end.min(launch.lost_at) } else { launch.lost_at };
        if now >= end && self.behind(&launch) {
            self.heed(&launch, 1.0);
            self.close(1.0 - self.unseen());
        }
        Decision::Wait
    }

    /// Whether reports show what others do, and launches to those idle by them have not belied them of late.
    fn sighted(&self) -> bool {
        let t = &self.terms;
        let tells = t.report_in_flight_index.is_some()
            || t.report_utilization_index.is_some() && t.reports_piggybacked;
        tells && (t.probes_allowed || t.reports_piggybacked) && self.belied < 0.35
    }

    /// Whether reports tell all commands held, and not how full a backend is alone.
    fn counts(&self) -> bool {
        self.sighted() && self.terms.report_in_flight_index.is_some()
    }

    /// Whether it can look where it likes: reports that come with answers tell of whom it has just been to.
    fn asks(&self) -> bool {
        !self.terms.reports_piggybacked && self.sighted()
    }

    /// Late though sent to an idle backend, as reports had it: that is the command or the backend.
    fn behind(&self, launch: &Launch) -> bool {
        !self.counts() || launch.work_ahead > 1.5 * launch.expected_work
    }

    /// What launches take of their goal time tells how full the fleet is, sooner than the few late ones. It
    /// spreads about exponentially: a share of them is late when the mean is one over the share's logarithm.
    fn heed(&mut self, launch: &Launch, part: f64) {
        self.fill += 0.3 * f64::from(self.behind(launch)) * (part - self.fill);
    }

    /// How much of what happens to backends this node neither does nor sees: nothing for two nodes.
    fn unseen(&self) -> f64 {
        let nodes = if self.counts() { 2 } else { self.terms.node_count.max(2) };
        1.0 - 2.0 / f64::from(nodes)
    }

    fn close(&mut self, part: f64) {
        self.open = (self.open * (1.0 - CLOSING * part)).max(0.1);
    }

    fn profile(&self, command: &Command) -> &Profile {
        &self.terms.profiles[usize::from(command.profile.0)]
    }

    fn row(&self, command: &Command) -> &Row {
        &self.rows[usize::from(command.profile.0)]
    }

    fn goal_end(&self, command: &Command) -> Timestamp {
        let profile = self.profile(command);
        (command.arrived_at + profile.goal_time).min(command.deadline)
    }

    /// Expected work in standard microseconds.
    fn cost(&self, command: &Command) -> f64 {
        let row = self.row(command);
        let Some(hint) = command.work_hint.filter(|_| row.answers > HINTED && row.spread > 0.0) else {
            return row.mean;
        };
        // Rough hints mislead when taken at their word: they count as far as past work went along with them.
        let slope = (row.along / row.spread).clamp(0.0, row.mean / row.hint.max(1.0));
        (row.mean + slope * (hint.as_f64() - row.hint)).clamp(0.2 * row.mean, 4.0 * row.mean)
    }

    /// The same where too much would have it refused: of a profile that has not been met no more than the usual work.
    fn least_cost(&self, command: &Command) -> f64 {
        let met = self.row(command).answers > 0.0;
        let most = if met { f64::MAX } else { self.usual };
        self.cost(command).min(most)
    }

    /// Where this command may still go: everywhere, or for a tagged one that may have run, where and until.
    fn bounds(&self, command: &Command, but: Option<u8>) -> Bounds {
        let profile = self.profile(command);
        let mut bounds =
            Bounds { launch: true, turn_back: true, until: Timestamp(u64::MAX), zone: None, group: None };
        let Some(ran) = command.may_have_run(but) else { return bounds };
        match (profile.idempotency, profile.dedup_scope) {
            (Idempotency::Repeatable, _) => {}
            (Idempotency::Once, _) => (bounds.launch, bounds.turn_back) = (false, false),
            (Idempotency::ByKey, among) => {
                // A microsecond less: spans are counted from the send on a finer clock.
                bounds.until = ran.sent_at + profile.dedup_window - Micros(1);
                bounds.turn_back = among == DedupScope::All;
                bounds.zone = (among == DedupScope::Zone).then_some(ran.zone);
                bounds.group = (among == DedupScope::Group).then_some(ran.group);
            }
        }
        bounds
    }

    fn may_launch(&self, now: Timestamp, command: &Command) -> bool {
        let bounds = self.bounds(command, None);
        let most = self.terms.max_launches.min(MOST_LAUNCHES);
        let may = bounds.launch && !command.is_body_consumed && command.launch_count() < most;
        may && now < bounds.until && now < command.deadline
    }

    /// Time there for a unit of work. What is not known yet is taken from the kind and the warm-up; what was
    /// learned fades by half each second after the first without an answer, or a backend once slow is never
    /// tried again.
    fn pace(&self, now: Timestamp, b: &Backend) -> f64 {
        let warmth = self.warmth(now, b.listed.started_at);
        if b.answers < 3 && warmth < 1.0 {
            // Somewhere between the least it may have by now and all of it.
            return b.pace / warmth.sqrt();
        }
        let idle = if b.in_flight == 0 { now.since(b.quiet_since).as_f64() / 1e6 } else { 0.0 };
        b.pace * (1.0 - idle).min(0.0).exp2().max(0.1)
    }

    /// Expected time for work there, with all that is ahead of it.
    fn expected(&self, now: Timestamp, b: &Backend, cost: f64) -> f64 {
        // Behind others nothing has faded: only an idle one is worth a try on the chance that it has changed.
        let pace = self.pace(now, b).max(b.pace);
        let mut ahead = self.ahead(now, b) * pace;
        if b.in_flight > 0 {
            // A silence lasts about as long again as it has lasted.
            ahead = ahead.max(now.since(b.quiet_since).as_f64());
        }
        ahead + cost * pace
    }

    fn ahead(&self, now: Timestamp, b: &Backend) -> f64 {
        b.pending + b.ghost_left(now).max(self.others(now, b) * self.usual)
    }

    /// Commands of others there: by its last report, and the longer ago that was, by what is usual.
    fn others(&self, now: Timestamp, b: &Backend) -> f64 {
        if !self.sighted() {
            return 0.0;
        }
        let halves = now.since(b.report_at).as_f64() / (self.usual * b.pace);
        self.crowd + (b.others - self.crowd) * (-halves).exp2()
    }

    fn choose(&mut self, now: Timestamp, command: &Command) -> Option<usize> {
        if !self.may_launch(now, command) {
            return None;
        }
        let first = command.launch_count() == 0;
        // What cannot be sent again is no means to try the unknown.
        let explore = self.chance.unit() < EXPLORE && self.profile(command).idempotency != Idempotency::Once;
        let ready = std::mem::take(&mut self.ready);
        let mut pool = std::mem::take(&mut self.pool);
        pool.clear();
        let mut hopeful = false;
        // A tagged command that may have run is bound to a group that this node may never meet otherwise.
        let reach = if first { self.reach.min(ready.len()) } else { ready.len() };
        self.common = self.common_share(&ready[..reach]);
        // Where new connections fail the open ones are all there is: each dial more is work for the backends.
        let open_only = self.dials > DIALS_FAIL
            && !explore
            && ready[..reach].iter().any(|&i| self.connected(now, i) || self.backends[i].in_flight > 0);
        let mut near = self.near;
        for &i in &ready[..reach] {
            if near == 0 && !pool.is_empty() {
                break;
            }
            if open_only && !self.connected(now, i) {
                continue;
            }
            let willing = self.willing(now, i, command);
            near = near.saturating_sub(usize::from(willing));
            // Whom it has been to is no hope for it.
            hopeful |= willing && !command.launches().any(|l| l.backend == self.backends[i].listed.backend);
            if willing && self.room(now, i, command) {
                pool.push(i);
            }
        }
        if !hopeful && !open_only {
            // When all look bad, all are as good as any.
            pool.extend(ready[..reach].iter().copied().filter(|&i| self.room(now, i, command)));
        }
        if pool.is_empty()
            && now.since(self.launched_at) > ALONE
            && ready[..reach].iter().all(|&i| self.backends[i].in_flight == 0)
        {
            // With nothing out nothing more is learned: what it believes would keep this node shut for good.
            pool.extend(ready[..reach].iter().copied().filter(|&i| self.bears_a_try(now, i, command)));
        }
        if pool.is_empty() && first && self.is_due_again(now, command) {
            self.rows[usize::from(command.profile.0)].learn_anew();
            let idle = |i: &usize| self.idle(now, &self.backends[*i]) && self.bears_a_try(now, *i, command);
            pool.extend(ready[..reach].iter().copied().filter(idle));
        }
        if self.terms.key_affinity && command.affinity_key != 0 && !(explore && self.counts()) {
            self.keep_warm(command, &mut pool, ready.len());
        }
        let mut best = None;
        if first && !explore {
            best = self.oldest_token(now, &pool);
        }
        if best.is_none() && !pool.is_empty() {
            if command.asked > Timestamp(0) && pool.iter().any(|&i| self.fresh(now, i)) {
                pool.retain(|&i| self.fresh(now, i));
            }
            // Two at random, or those asked for this command, who were drawn so.
            if command.asked == Timestamp(0) {
                let draws = [self.chance.draw(), self.chance.draw()];
                let two = draws.map(|draw| pool[draw as usize % pool.len()]);
                pool.clear();
                pool.extend(two);
            }
            // What a report shows of others counts as our own would.
            best = pool.iter().copied().min_by_key(|&i| {
                let b = &self.backends[i];
                (b.in_flight + self.others(now, b).round() as u32, self.step(b))
            });
        }
        self.ready = ready;
        self.pool = pool;
        best
    }

    /// Those of a pool where the command's key is likely to have been met: the first in an order that all
    /// nodes share. A key that draws much has as many places as its traffic needs.
    fn keep_warm(&self, command: &Command, pool: &mut Vec<usize>, all: usize) {
        let alike = self.recent.iter().filter(|(_, _, key)| *key == command.affinity_key).count();
        let drawn = alike.saturating_sub(1) as f64 / RECENT as f64;
        let at = |i: &usize| &self.backends[*i].listed;
        pool.sort_by_cached_key(|i| portion::key_rank(at(i).name_hash, at(i).weight, command.affinity_key));
        let places = if self.counts() { 2 } else { 1 };
        pool.truncate(places + (drawn * HOT * all as f64) as usize);
    }

    /// Speed in coarse steps, so that like backends stay alike and age decides among their tokens.
    fn step(&self, b: &Backend) -> i64 {
        let far = b.listed.zone.0 != self.terms.zone;
        // A crossing counts as its price in units of a tenth of a command's time.
        let dear = if far { 1.0 + 10.0 * self.terms.cross_zone_penalty } else { 1.0 };
        (4.0 * (b.pace * dear).log2()).round() as i64
    }

    fn oldest_token(&self, now: Timestamp, pool: &[usize]) -> Option<usize> {
        let held = pool.iter().copied().filter(|&i| {
            let b = &self.backends[i];
            let idle = |at| now.since(at) < TOKEN_EXPIRY && (at >= b.report_at || b.others == 0.0);
            b.untried || b.token.is_some_and(idle)
        });
        let at = |i: usize| &self.backends[i];
        held.min_by_key(|&i| (!at(i).untried, self.step(at(i)), at(i).token))
    }

    fn connected(&self, now: Timestamp, i: usize) -> bool {
        let b = &self.backends[i];
        let least = self.lasts.min(self.terms.connection_idle_timeout.as_f64());
        b.open > 0 && (b.in_flight > 0 || now.since(b.used_at).as_f64() < least)
    }

    /// Whether the connections there have been idle for too long to be trusted, and not for so long as to be
    /// closed already. Where new ones fail they are all there is.
    fn stale(&self, now: Timestamp, i: usize) -> bool {
        let (b, sure) = (&self.backends[i], self.connected(now, i) || self.dials > DIALS_FAIL);
        !sure && b.open > 0 && now.since(b.used_at) < self.terms.connection_idle_timeout
    }

    /// Where launches on connections idle for long are lost, and few on those just used, something drops idle
    /// ones: half that time is trusted, and twice as much after seventy answers, so that it is tried again.
    fn tell_lost(&mut self, launch: &Launch, lost: bool) {
        let known = lost && self.backends[self.index[&launch.backend]].bad >= 0.3; // it is gone, or hangs
        let share = if launch.connection_idle < BRIEF { &mut self.spoilt } else { &mut self.idled };
        *share += 0.2 * f64::from(!known) * (f64::from(lost) - *share);
        if self.spoilt > 0.5 * IDLED {
            self.lasts = f64::INFINITY; // it is not the connections
        } else if lost && !known && launch.connection_idle >= BRIEF && self.idled > IDLED + 2.0 * self.spoilt
        {
            self.lasts = self.lasts.min(0.5 * launch.connection_idle.as_f64());
        } else if !lost {
            self.lasts *= 1.01;
        }
    }

    /// Whether it may go there at all: not where it was, and within what its profile allows.
    fn allowed(&self, i: usize, command: &Command) -> bool {
        let (at, bounds) = (&self.backends[i].listed, self.bounds(command, None));
        !command.launches().any(|l| l.backend == at.backend)
            && bounds.zone.is_none_or(|z| z == at.zone)
            && bounds.group.is_none_or(|g| g == at.group)
    }

    fn room(&self, now: Timestamp, i: usize, command: &Command) -> bool {
        let b = &self.backends[i];
        if f64::from(b.in_flight) + 1.0 > b.cap.floor() || !self.allowed(i, command) {
            return false;
        }
        let cost = self.cost(command);
        let left = self.goal_end(command).since(now).as_f64();
        // With nothing ahead there is no better place for it: only a backend late as a rule is left out.
        let idle = self.idle(now, b);
        // With many nodes an own count of zero is no sign of idleness: most of the margin then, from two on.
        let fits = if idle {
            let doubt = self.margin.powf(0.7 - 1.4 / f64::from(self.terms.node_count.max(2)));
            let row = self.row(command);
            // Only an answer tells what a profile needs, so one that has had none is tried.
            row.answers == 0.0 || row.mean * self.pace(now, b) * doubt <= left
        } else {
            self.expected(now, b, cost) * self.margin <= left
        };
        fits && self.pour(now, b, cost).is_some()
    }

    /// Whether it may go there though there is no room by what is known: nothing speaks against the backend itself.
    fn bears_a_try(&self, now: Timestamp, i: usize, command: &Command) -> bool {
        let b = &self.backends[i];
        b.bad < 0.3 && self.allowed(i, command) && self.pour(now, b, self.cost(command)).is_some()
    }

    /// Whether nothing is ahead there, for all that is known of it.
    fn idle(&self, now: Timestamp, b: &Backend) -> bool {
        b.in_flight == 0 && b.ghost_left(now) == 0.0 && self.others(now, b) < 0.5
    }

    /// Whether a profile is taken to need more than its goal time wherever it is sent, and has been sent nowhere for that
    /// long: what was learned of it may be old, and only another answer can tell.
    fn is_due_again(&self, now: Timestamp, command: &Command) -> bool {
        let row = self.row(command);
        let goal = self.profile(command).goal_time;
        row.mean * self.margin > goal.as_f64() && now.since(row.launched_at) >= goal
    }

    /// The share of its capacity that a backend has at least, so long after its start.
    fn warmth(&self, now: Timestamp, started: Timestamp) -> f64 {
        if started == Timestamp(0) {
            return 1.0; // the list's word for a long time ago
        }
        let start = self.terms.initial_capacity.max(0.01);
        let share = now.since(started).as_f64() / self.terms.warm_up_time.as_f64().max(1.0);
        (start + (1.0 - start) * share).min(1.0)
    }

    /// How many nodes meet a backend, ourselves among them.
    fn sharers(&self) -> f64 {
        let part = self.reach.min(self.near) as f64 / self.ready.len().max(1) as f64;
        (f64::from(self.terms.node_count) * part.min(1.0)).max(1.0)
    }

    /// Our part of what goes to a backend: as one of like nodes that meet it, or by what has been done for us
    /// of late if that is more: most nodes carry little, some far more, and no fleet does more than it can.
    fn share(&self, now: Timestamp) -> f64 {
        (1.0 / self.sharers()).max(self.done * self.fade(now) * std::f64::consts::LN_2 / 4e6)
    }

    /// Our part of what a cold backend can take in a microsecond beyond what it gets done: the vessel full
    /// and what drains of it meanwhile come to less than all.
    fn part(&self, now: Timestamp, started: Timestamp) -> f64 {
        0.47 * (self.terms.collapse_load_multiple - 1.0).max(0.1)
            * self.warmth(now, started)
            * self.share(now)
    }

    /// What a cold backend was given and has not done, as a vessel that drains in the stated span: its level
    /// after this work, or nothing if that would be too much.
    fn pour(&self, now: Timestamp, b: &Backend, cost: f64) -> Option<f64> {
        let rate = self.part(now, b.listed.started_at);
        let level = (b.poured - rate * now.since(b.poured_at).as_f64()).max(0.0) + cost;
        let brim = rate * self.terms.collapse_window.as_f64();
        let warm = self.warmth(now, b.listed.started_at) >= 1.0;
        (warm || level <= brim || level <= cost).then_some(level)
    }

    /// Whether a backend gets work: drawn, when in doubt, from the posterior of its chance of success.
    fn willing(&mut self, now: Timestamp, i: usize, command: &Command) -> bool {
        self.weigh(now, i, 0.0, 0.0);
        let trip = self.probe_trip;
        let b = &self.backends[i];
        // A probe out for many times its usual trip tells of a stalled process long before it fails.
        if b.down || b.probe_out.is_some_and(|at| now.since(at).as_f64() > 4.0 * trip + 4000.0) {
            return false;
        }
        if b.bad < 0.3 {
            return true;
        }
        if self.profile(command).idempotency == Idempotency::Once {
            // Beyond doubt is who has no more of them than chance gives each.
            let usual = self.common * (b.good + b.bad);
            return b.bad < 0.3 + usual + usual.sqrt();
        }
        // The chance drawn must be 0.8 of what half of all reach: it is above x if fewer than `a` of
        // `a + b - 1` draws fall under x.
        let least = 0.8 * (1.0 - self.common);
        let (a, n) = (1 + b.good.round() as u32, 1 + (b.good.round() + b.bad.round()) as u32);
        let under = (0..n).filter(|_| self.chance.unit() < least).count() as u32;
        under < a
    }

    /// What half of those met have of failures tells of the way there or of all, and of no one backend.
    fn common_share(&self, met: &[usize]) -> f64 {
        if met.iter().all(|&i| self.backends[i].bad < 0.3) {
            return 0.0;
        }
        let share = |b: &Backend| b.bad / (b.good + b.bad + 1.0);
        let mut shares: Vec<f64> = met.iter().map(|&i| share(&self.backends[i])).collect();
        let middle = (shares.len() - 1) / 2;
        *shares.select_nth_unstable_by(middle, f64::total_cmp).1
    }

    fn weigh(&mut self, now: Timestamp, i: usize, good: f64, bad: f64) {
        // Evidence halves in three seconds, and past eight good outcomes the older of both kinds counts less.
        // Where many nodes meet a backend, each tries it again the later: together as often as three.
        if self.backends[i].bad > 0.0 {
            let half = 3e6 * (self.sharers() / 3.0).clamp(1.0, 10.0);
            let b = &mut self.backends[i];
            let fade = (-now.since(b.weighed_at).as_f64() / half).exp2();
            b.good *= fade;
            b.bad *= fade;
        }
        let b = &mut self.backends[i];
        b.weighed_at = now;
        let over = ((b.good + good) / 8.0).max(1.0);
        (b.good, b.bad) = ((b.good + good) / over, ((b.bad + bad) / over).min(8.0));
    }

    fn launch(&mut self, now: Timestamp, command: &mut Command, i: usize) -> Decision {
        let held = command.waiting;
        self.unhold(command);
        let cost = self.cost(command);
        let ahead = self.ahead(now, &self.backends[i]);
        let level = self.pour(now, &self.backends[i], cost).unwrap_or(0.0);
        let due = self.expected(now, &self.backends[i], cost.max(self.usual));
        let within = if self.terms.concurrent_launches_allowed { LOST[1] } else { CALLED_OFF };
        let lost = [LOST[0], within].map(|times| now + Micros((times * due) as u64));
        let lost_at = self.goal_end(command).max(lost[0]).min(lost[1]);
        let dialled = !self.connected(now, i);
        let there = &self.backends[i];
        let idle = if dialled || there.in_flight > 0 { Micros(0) } else { now.since(there.used_at) };
        if command.launch_count() > 0 {
            self.allowance.count(now, self.budget(), true);
        }
        let b = &mut self.backends[i];
        b.open = if dialled { 0 } else { b.open - 1 };
        (b.token, b.untried) = (None, false);
        if !command.is_body_incomplete {
            b.occupy(now, cost);
        }
        b.poured = level;
        b.poured_at = now;
        self.launched_at = now;
        self.rows[usize::from(command.profile.0)].launched_at = now;
        command.add(Launch {
            backend: b.listed.backend,
            zone: b.listed.zone,
            group: b.listed.group,
            sent_at: now,
            state: LaunchState::InFlight,
            expected_work: cost,
            work_ahead: ahead + cost,
            depth: b.in_flight,
            lost_at,
            is_lost: command.is_body_incomplete,
            is_new_connection: dialled,
            connection_idle: idle,
        });
        command.look_at = self.goal_end(command).min(lost_at).max(now);
        if held {
            self.wake_next();
        }
        self.pressure *= 0.98;
        Decision::Launch(self.backends[i].listed.backend)
    }

    /// Where other nodes send too and probes are allowed, a launch that is not to an idle backend by fresh
    /// news asks first: some are probed and the command is held for the trip, a hundredth of its time.
    /// While none has room it asks again and again, later each time. True while it is to wait.
    fn ask_first(
        &mut self,
        now: Timestamp,
        hand: CommandHandle,
        command: &mut Command,
        chosen: Option<usize>,
    ) -> bool {
        let idle = chosen.is_some_and(|i| {
            let b = &self.backends[i];
            self.fresh(now, i) && b.in_flight == 0 && b.others == 0.0
        });
        if !self.asks() || self.terms.node_count < 2 || idle || self.ready.is_empty() {
            return false;
        }
        let more = command.rounds < ROUNDS || chosen.is_none();
        if now >= command.asked && more && self.probes >= ASKED as f64 && self.may_launch(now, command) {
            let trip = (ASKING * self.usual + 2.0 * self.probe_trip) as u64;
            let trip = Micros(trip << command.rounds.saturating_sub(2).min(3));
            if now + trip >= self.goal_end(command) {
                return false;
            }
            command.asked = now + trip;
            command.rounds += 1;
            let first = chosen.unwrap_or_else(|| self.met_one());
            self.probe_some(now, first);
            self.insert(now + trip, hand, command);
        }
        now < command.asked
    }

    /// Whether what is known of a backend is news: a report, or an answer that left it to itself.
    fn fresh(&self, now: Timestamp, i: usize) -> bool {
        let b = &self.backends[i];
        now.since(b.report_at.max(b.token.unwrap_or(Timestamp(0)))).as_f64() <= FRESH * self.usual
    }

    fn met_one(&mut self) -> usize {
        self.ready[self.chance.draw() as usize % self.ready.len().min(self.reach)]
    }

    /// Probes a few of those met, this one first, and none of whom there is news or a probe out already.
    fn probe_some(&mut self, now: Timestamp, mut next: usize) {
        let mut left = ASKED;
        for _ in 0..4 * ASKED {
            if left > 0 && self.backends[next].probe_out.is_none() && !self.fresh(now, next) {
                left -= 1;
                self.probes = (self.probes - 1.0).max(0.0);
                self.backends[next].probe_out = Some(now);
                self.errands.push(Action::Probe(self.backends[next].listed.backend));
            }
            next = self.met_one();
        }
    }

    /// Own launches that end in a microsecond, by what each backend's answers take and how likely they come.
    fn rate(&self, now: Timestamp) -> f64 {
        let met = self.ready.iter().take(self.reach).map(|&i| &self.backends[i]);
        let likely = |b: &Backend| (1.0 + b.good) / (1.0 + b.good + b.bad) * b.cap.floor();
        let each = |b: &Backend| likely(b) / (b.pace * (self.usual + self.ahead(now, b) - b.pending));
        met.filter(|b| !b.down).map(each).sum()
    }

    fn hold(&mut self, now: Timestamp, hand: CommandHandle, command: &mut Command) -> Decision {
        if !self.may_launch(now, command) {
            return self.reject_or_fail(command);
        }
        let ahead = self.held.len() - self.standing(command);
        // A held command starts with nothing ahead of it: it needs less than one sent to stand behind others.
        let need = Micros((self.least_cost(command) * self.margin.sqrt()) as u64);
        let latest = (self.goal_end(command) - need).min(self.bounds(command, None).until);
        let wait = Micros(((ahead + 1) as f64 / self.rate(now).max(1e-9)) as u64);
        if command.waiting {
            if now < latest && now + wait.scaled(0.5) < latest {
                // Own answers are rare among many nodes: what has come free must be looked for.
                let look = now + Micros((LOOK * self.usual) as u64);
                command.look_at = if self.terms.probes_allowed { latest.min(look) } else { latest };
                return Decision::Wait;
            }
            if now < self.list_holds_until {
                self.close(1.0);
            }
            return self.reject_or_fail(command);
        }
        if now + wait >= latest {
            return self.reject_or_fail(command);
        }
        self.insert(latest, hand, command);
        // Whoever is pushed out of time by this one is told at once.
        if let Some(last) = self.held.first() {
            let wait = Micros((self.held.len() as f64 * 0.5 / self.rate(now).max(1e-9)) as u64);
            if now + wait >= last.latest {
                self.errands.push(Action::Reevaluate(last.hand));
            }
        }
        Decision::Wait
    }

    fn wake_next(&mut self) {
        if let Some(next) = self.held.last() {
            self.errands.push(Action::Reevaluate(next.hand));
        }
    }

    /// Where a command stands among the held, or would.
    fn standing(&self, command: &Command) -> usize {
        let rank = (command.value, Reverse(command.order));
        self.held.partition_point(|h| (h.value, Reverse(h.order)) < rank)
    }

    fn insert(&mut self, latest: Timestamp, hand: CommandHandle, command: &mut Command) {
        command.look_at = latest;
        if !command.waiting {
            command.waiting = true;
            let at = self.standing(command);
            self.held.insert(at, Held { value: command.value, order: command.order, hand, latest });
        }
    }

    fn unhold(&mut self, command: &mut Command) {
        if command.waiting {
            command.waiting = false;
            let at = self.standing(command);
            debug_assert_eq!(self.held[at].order, command.order);
            self.held.remove(at);
        }
    }

    /// Ends a command without an answer of a backend's: turned back where that is harmless.
    pub fn reject_or_fail(&mut self, command: &mut Command) -> Decision {
        self.unhold(command);
        command.is_closed = true;
        command.look_at = Timestamp(u64::MAX);
        if !self.bounds(command, None).turn_back {
            return Decision::Fail;
        }
        self.pressure = 0.98 * self.pressure + 0.02;
        // The more is being turned back, the later to come, and never all together.
        let spread = 0.5 + 0.5 * self.chance.unit();
        Decision::Reject(self.terms.max_retry_after.scaled((0.1 + 2.0 * self.pressure).min(1.0) * spread))
    }

    fn learn(&mut self, now: Timestamp, command: &Command, launch: &Launch, outcome: Outcome) {
        let Some(&i) = self.index.get(&launch.backend) else { return };
        let took = now.since(launch.sent_at).as_f64();
        if matches!(outcome, Outcome::TimedOut | Outcome::ConnectionLost) {
            // A connection that has lost its way swallows whatever is sent on it next: a new one is cheap.
            self.errands.push(Action::CloseIdleConnections(launch.backend));
            self.backends[i].open = 0;
            if !launch.is_lost {
                self.tell_lost(launch, true);
            }
        }
        self.fulls += 0.01 * (f64::from(outcome == Outcome::Full) - self.fulls);
        let failed = f64::from(outcome == Outcome::ConnectFailed);
        self.dials += 0.25 * f64::from(launch.is_new_connection) * (failed - self.dials);
        if matches!(outcome, Outcome::Finished | Outcome::Errored | Outcome::Full) {
            let b = &mut self.backends[i];
            (b.open, b.used_at) = (b.open + 1, now);
            self.tell_lost(launch, false);
        }
        let goal = self.profile(command).goal_time.as_f64();
        let alone = launch.work_ahead <= 1.5 * launch.expected_work && outcome != Outcome::Cancelled;
        let late = f64::from(took > goal || outcome == Outcome::Full);
        self.belied += 0.1 * f64::from(alone) * (late - self.belied);
        let b = &self.backends[i];
        // A time-out tells of the backend only if it was silent throughout, and for long: some clients
        // give up within a usual answer's time, and a heavy command takes long anywhere.
        let silent = b.quiet_since <= launch.sent_at && took > 4.0 * launch.work_ahead * b.pace;
        let bad = match outcome {
            // Counted when it was written off.
            Outcome::TimedOut | Outcome::ConnectionLost if launch.is_lost => 0.0,
            Outcome::TimedOut if !silent => 0.0,
            Outcome::Finished | Outcome::Full | Outcome::Cancelled | Outcome::NotSent => 0.0,
            Outcome::ConnectFailed => 2.0,
            Outcome::Errored | Outcome::TimedOut | Outcome::ConnectionLost => 1.0,
        };
        let finished = outcome == Outcome::Finished;
        self.weigh(now, i, if finished { 1.0 } else { 0.0 }, bad);
        let b = &mut self.backends[i];
        let before = launch.sent_at < b.listed.started_at;
        if !launch.is_lost {
            b.release(launch);
        }
        if outcome == Outcome::Full && self.terms.probes_allowed {
            // As good as a report: there is more than it can do in time.
            b.others = goal / self.rows[usize::from(command.profile.0)].mean.max(1.0);
            b.report_at = now;
        }
        if matches!(outcome, Outcome::TimedOut | Outcome::Cancelled) && !before && !launch.is_lost {
            b.haunt(now, launch.expected_work);
            if took > launch.work_ahead * b.pace {
                b.pace += 0.1 * (took / launch.work_ahead.max(1.0) - b.pace).min(3.0 * b.pace);
            }
        }
        if !finished || before {
            return;
        }
        if took < goal {
            let half = f64::from(self.sighted() && !self.counts());
            let own = half * (launch.expected_work * self.backends[i].pace).min(0.8 * goal);
            self.heed(launch, (took - own).max(0.0) / (goal - own));
        }
        let b = &mut self.backends[i];
        b.quiet_since = now;
        b.down = false;
        b.served = true;
        // What it has done it could bear.
        b.poured = (b.poured - launch.expected_work).max(0.0);
        b.ghost *= f64::from(launch.sent_at <= b.ghost_at);
        if b.in_flight == 0 && b.listed.state == BackendState::Ready {
            b.token = (b.ghost_left(now) == 0.0).then_some(now);
        }
        b.answers += 1;
        self.done += launch.expected_work / self.reach.min(self.near).min(self.ready.len()).max(1) as f64;
        if launch.is_new_connection && self.terms.reports_piggybacked {
            return; // how long the handshake took tells nothing of the work
        }
        let part = took * launch.expected_work / launch.work_ahead.max(1.0);
        // A single heavy command must not make a backend look slow: nothing counts for more than four times.
        self.answers += 1.0;
        let most = if self.answers > 1.0 { 4.0 * self.usual } else { f64::MAX };
        self.usual += (1.0 / self.answers).max(0.02) * (part.min(most) - self.usual);
        let row = &mut self.rows[usize::from(command.profile.0)];
        if !row.learn(part, self.usual, command.work_hint.map(|hint| hint.as_f64())) {
            return;
        }
        let seen = took / launch.work_ahead;
        let over = seen / b.pace;
        let weight = (1.0 / f64::from(b.answers + 1)).max(0.1);
        b.pace += weight * (seen.min(4.0 * b.pace) - b.pace);
        b.pace = b.pace.clamp(0.02, 50.0);
        // The margin follows the quantile of how far answers overrun what was expected of them.
        self.margin += if over > self.margin { 0.05 * 0.7 } else { -0.05 * 0.3 };
        self.margin = self.margin.clamp(1.0, 4.0);
        let b = &mut self.backends[i];
        // The cap grows while answers from a full backend come as soon as from an idle one.
        if launch.depth == 1 {
            b.solo += 0.1 * (took / launch.expected_work - b.solo);
        }
        if f64::from(launch.depth) >= b.cap.floor() {
            let quick = took <= 1.2 * b.solo * launch.expected_work;
            b.cap = if quick { b.cap + 0.05 } else { (b.cap - 0.25).max(1.0) };
        }
        let pace = b.pace;
        let kind = self.kind_pace.entry(b.listed.backend_type).or_insert(1.0);
        *kind += 0.02 * (pace - *kind);
    }
}
