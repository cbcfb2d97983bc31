//! The state machine of a rolling change: what nodes told, and what to do next.
//!
//! What it promises: no more nodes are out of service at once than the plan says, those that are missing anyway counted;
//! nothing is changed while it holds, and what is on trial is kept until it goes on or goes back; a stage passes by its
//! verdict or by an operator's word alone; from every state there is a way to one version everywhere, and where a node
//! stands in that way somebody is asked.

use crate::journal::{Deed, Order, Record};
use crate::plan::{Change, NodeId, Plan};
use crate::seen::{Here, Second, Told};
use crate::verdict::{Answer, Verdict};
use std::collections::{BTreeMap, BTreeSet};
use yarrowfront::times::{Micros, Timestamp};

/// A second is judged once every node had the time to tell of it.
const TELL: u64 = 3;
/// What is on trial is kept so many times in the time that it may be without a word.
const KEEPS: u64 = 4;
/// Unchanged nodes have to do as they used to for so long before a hold for their sake is over.
const CALM: Micros = Micros(10_000_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Forward,
    /// All stages have passed: what is on trial becomes what holds.
    Confirming,
    Back,
    Done,
    TakenBack,
}

/// What a node has, by its own word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Has {
    Former,
    OnTrial,
    New,
    /// Neither: somebody else has changed it.
    Other,
    Unknown,
}

/// Why nothing more is changed for now.
#[derive(Clone, Debug, PartialEq)]
pub enum Hold {
    Paused,
    Suffering,
    Missing(Vec<String>),
    NotKnown(Vec<String>),
    /// A node has what is neither, or does not come along.
    Stuck(String),
}

impl Hold {
    /// Whether it is over by itself, or somebody has to say how to go on.
    pub fn asks(&self) -> bool {
        matches!(self, Hold::NotKnown(_) | Hold::Stuck(_))
    }

    pub fn text(&self) -> String {
        match self {
            Hold::Paused => "paused by an operator".to_owned(),
            Hold::Suffering => "unchanged nodes do worse than they used to: it is not the change".to_owned(),
            Hold::Missing(names) => format!("missing: {}", names.join(", ")),
            Hold::NotKnown(names) => format!("not known within the longest time: {}", names.join(", ")),
            Hold::Stuck(why) => why.clone(),
        }
    }
}

/// What came of a deed: it holds, the node will not have it, or nobody knows, as no answer came.
#[derive(Clone, Debug, PartialEq)]
pub enum Came {
    Done,
    Refused(String),
    Unknown(String),
}

#[derive(Clone, Debug, Default)]
struct State {
    told: Told,
    /// Something was done to it after it told that: what it has now nobody knows until it tells again.
    stale: bool,
    /// Since when it has not answered.
    silent: Option<Timestamp>,
    /// What is being done to it, since when.
    doing: Option<(Deed, Timestamp)>,
    /// Since when it has the new, as which life, and what it took of its machine when that had settled.
    changed: Option<(Timestamp, u64)>,
    settled: Option<(u64, u64)>,
    kept: Option<Timestamp>,
    /// Its seconds count as those of an unchanged node until then: from its first change on they do not.
    touched: Option<Timestamp>,
    /// What it would not have, and when.
    failed: Option<(String, Timestamp)>,
    /// It has started again by itself since it was changed.
    restarted: bool,
}

#[derive(Clone, Debug)]
pub struct Lead {
    pub plan: Plan,
    former: String,
    new: String,
    pub stages: Vec<Vec<NodeId>>,
    nodes: Vec<State>,
    pub phase: Phase,
    pub stage: usize,
    hold: Option<Hold>,
    paused: bool,
    /// Since when all of the stage's nodes have the new and are settled; and when its verdict is asked for at last.
    watched: Option<Timestamp>,
    patience: Option<Timestamp>,
    calm: Option<Timestamp>,
    back_since: Option<Timestamp>,
    accepted: bool,
    /// A stage of it was compared, or accepted.
    compared: bool,
    pub verdict: Verdict,
    /// What the verdict says is not listened to: for tests that show what it is worth.
    pub deaf: bool,
    seconds: BTreeMap<u64, Vec<(NodeId, bool, Second)>>,
    judged: u64,
    records: Vec<Record>,
    stage_told: bool,
}

impl Lead {
    /// From what every node has to what it is to have, each by a settings' digest or a build.
    pub fn new(plan: Plan, former: &str, new: &str) -> Lead {
        let (stages, verdict) = (plan.staged(), Verdict::new(&plan));
        Lead {
            nodes: vec![State::default(); plan.nodes.len()],
            former: former.to_owned(),
            new: new.to_owned(),
            stages,
            phase: Phase::Forward,
            stage: 0,
            hold: None,
            paused: false,
            watched: None,
            patience: None,
            calm: None,
            back_since: None,
            accepted: false,
            compared: false,
            verdict,
            deaf: false,
            seconds: BTreeMap::new(),
            judged: 0,
            records: Vec::new(),
            stage_told: false,
            plan,
        }
    }

    /// Goes on from what a controller before this one wrote down. What nodes have they tell themselves; a stage that was
    /// not through is watched anew.
    pub fn resume<'a>(&mut self, records: impl Iterator<Item = &'a Record>) {
        for record in records {
            match record {
                Record::Passed { stage, .. } => {
                    (self.stage, self.compared) = (stage + 1, true);
                }
                Record::Confirming => self.phase = Phase::Confirming,
                Record::Back { .. } => self.phase = Phase::Back,
                Record::Done => self.phase = Phase::Done,
                Record::TakenBack => self.phase = Phase::TakenBack,
                Record::Ordered { order: Order::Pause } => self.paused = true,
                Record::Ordered { .. } => self.paused = false,
                _ => {}
            }
        }
        if self.phase == Phase::Forward && self.stage >= self.stages.len() {
            self.phase = Phase::Confirming;
        }
    }

    fn name(&self, id: NodeId) -> String {
        self.plan.node(id).name.clone()
    }

    fn settings(&self) -> bool {
        matches!(self.plan.change, Change::Settings(_))
    }

    pub fn over(&self) -> bool {
        matches!(self.phase, Phase::Done | Phase::TakenBack)
    }

    pub fn held(&self) -> Option<&Hold> {
        self.hold.as_ref()
    }

    fn has_of(&self, here: &Here) -> Has {
        let what = if self.settings() { &here.settings } else { &here.build };
        match () {
            () if *what == self.former && here.trial.is_none() => Has::Former,
            () if *what == self.new && here.trial.is_some() => Has::OnTrial,
            () if *what == self.new => Has::New,
            () => Has::Other,
        }
    }

    /// What a node has, as it told last; nobody knows where something was done to it since.
    pub fn has(&self, id: NodeId) -> Has {
        let state = &self.nodes[id.0];
        let here = state.told.here().filter(|_| !state.stale);
        here.map_or(Has::Unknown, |here| self.has_of(here))
    }

    fn is_new(&self, id: NodeId) -> bool {
        matches!(self.has(id), Has::OnTrial | Has::New)
    }

    pub fn told(&self, id: NodeId) -> &Told {
        &self.nodes[id.0].told
    }

    /// Takes in what came of asking every node, in the plan's order: asked after what was told by `came` had come.
    pub fn look(&mut self, now: Timestamp, told: Vec<Told>) {
        for (id, told) in self.plan.ids().collect::<Vec<_>>().into_iter().zip(told) {
            self.look_at(now, id, told);
        }
        let over = (now.0 / 1_000_000).saturating_sub(TELL);
        let later = self.seconds.split_off(&over);
        for (at, second) in std::mem::replace(&mut self.seconds, later) {
            self.judged = at;
            let second: Vec<(NodeId, bool, &Second)> =
                second.iter().map(|(id, changed, second)| (*id, *changed, second)).collect();
            self.verdict.saw(&second);
        }
    }

    fn look_at(&mut self, now: Timestamp, id: NodeId, told: Told) {
        let settle = self.plan.times.settle;
        let has = told.here().map_or(Has::Unknown, |here| self.has_of(here));
        let state = &mut self.nodes[id.0];
        let Told::Here(mut here) = told else {
            // One answer that did not come is none.
            state.silent.get_or_insert(now);
            let silent = state.silent.is_some_and(|at| now.since(at) >= self.plan.times.silent);
            if told == Told::Gone || silent {
                state.told = told;
            }
            return;
        };
        (state.silent, state.stale) = (None, false);
        match has {
            Has::OnTrial | Has::New if here.serves() => {
                let life = here.life;
                let (since, _) = *state.changed.get_or_insert((now, life));
                state.touched.get_or_insert(now);
                if now.since(since) >= settle {
                    state.settled.get_or_insert((here.memory_kb, here.descriptors));
                }
            }
            Has::Former => {
                // Of the same life it has only been cut off for so long that its trial is over.
                state.restarted |= state.changed.is_some_and(|(_, life)| life != here.life);
                (state.changed, state.settled) = (None, None);
            }
            _ => {}
        }
        let seconds = std::mem::take(&mut here.seconds);
        let (touched, changed) = (state.touched, state.changed);
        for second in seconds {
            // A second that began before its node was touched, or after it had settled: anything between is neither.
            let (began, ended) = (Timestamp(second.at * 1_000_000), Timestamp((second.at + 1) * 1_000_000));
            let side = match (touched, changed) {
                (None, _) => Some(false),
                (Some(at), _) if ended <= at => Some(false),
                (_, Some((since, _))) if began >= since + settle => Some(true),
                _ => None,
            };
            if let Some(side) = side.filter(|_| second.at > self.judged) {
                self.seconds.entry(second.at).or_default().push((id, side, second));
            }
        }
        state.told = Told::Here(here);
    }

    /// What came of a deed.
    pub fn came(&mut self, now: Timestamp, id: NodeId, deed: Deed, came: Came) {
        let state = &mut self.nodes[id.0];
        if state.doing.is_some_and(|(doing, _)| doing == deed) {
            state.doing = None;
        }
        // Whoever falls silent just then has not what it told before: counted as taken back it stayed on the new.
        state.stale |= deed != Deed::Keep;
        let why = match came {
            Came::Done => None,
            Came::Refused(why) | Came::Unknown(why) if deed == Deed::Keep => Some(why),
            Came::Refused(why) => {
                state.failed = Some((why.clone(), now));
                Some(why)
            }
            Came::Unknown(why) => Some(why),
        };
        if why.is_none() {
            state.failed = None;
            state.kept = Some(now);
        }
        let node = self.name(id);
        if deed != Deed::Keep || why.is_some() {
            self.records.push(Record::Came { node, deed, why });
        }
    }

    /// An operator's word; what it does not fit is left out, and that is said.
    pub fn order(&mut self, now: Timestamp, order: Order) -> Result<(), String> {
        let forward = self.phase == Phase::Forward;
        match order {
            Order::Pause if forward => self.paused = true,
            Order::Resume if forward => {
                (self.paused, self.hold) = (false, None);
                self.patience = Some(now + self.plan.times.longest);
            }
            Order::Accept if forward && self.watched.is_some() => self.accepted = true,
            Order::Accept => return Err("no stage is being watched".to_owned()),
            Order::Back if matches!(self.phase, Phase::Forward | Phase::Confirming) => {
                self.records.push(Record::Ordered { order });
                self.go_back(now, "an operator's word".to_owned());
                return Ok(());
            }
            _ => return Err("it is not going forward".to_owned()),
        }
        self.records.push(Record::Ordered { order });
        Ok(())
    }

    fn go_back(&mut self, now: Timestamp, why: String) {
        (self.phase, self.hold, self.paused) = (Phase::Back, None, false);
        self.back_since = Some(now);
        self.nodes.iter_mut().for_each(|state| (state.failed, state.restarted) = (None, false));
        self.records.push(Record::Back { why });
    }

    fn hold(&mut self, hold: Option<Hold>) {
        let kind = |hold: &Option<Hold>| hold.as_ref().map(std::mem::discriminant);
        if kind(&hold) != kind(&self.hold) {
            self.records.push(match &hold {
                Some(hold) => Record::Hold { why: hold.text(), asks: hold.asks() },
                None => Record::GoesOn,
            });
        }
        self.hold = hold;
    }

    /// Nodes that do not serve, or have not answered for too long.
    fn missing(&self) -> Vec<NodeId> {
        let missing = |id: &NodeId| {
            let state = &self.nodes[id.0];
            match &state.told {
                Told::Here(here) => !here.serves(),
                // Before the first answer it is not known to be there.
                Told::Silent | Told::Gone => true,
            }
        };
        self.plan.ids().filter(missing).collect()
    }

    /// Nodes to which something is being done that may take them out.
    fn busy(&self) -> Vec<NodeId> {
        let busy = |id: &NodeId| self.nodes[id.0].doing.is_some_and(|(deed, _)| deed != Deed::Keep);
        self.plan.ids().filter(busy).collect()
    }

    /// How many more may be taken out of service now.
    fn room(&self) -> usize {
        let out: BTreeSet<NodeId> = self.missing().into_iter().chain(self.busy()).collect();
        self.plan.most_out.saturating_sub(out.len())
    }

    /// What is to be written down, in this order and before any of the deeds among it is done.
    pub fn next(&mut self, now: Timestamp) -> Vec<Record> {
        match self.phase {
            Phase::Forward => self.forward(now),
            Phase::Confirming => self.confirm(now),
            Phase::Back => self.back(now),
            Phase::Done | Phase::TakenBack => {}
        }
        if matches!(self.phase, Phase::Forward | Phase::Confirming) {
            self.keep(now);
        }
        std::mem::take(&mut self.records)
    }

    fn deed(&mut self, now: Timestamp, id: NodeId, deed: Deed) {
        let state = &mut self.nodes[id.0];
        state.doing = Some((deed, now));
        state.failed = None;
        if deed != Deed::Keep {
            state.touched.get_or_insert(now);
        }
        let node = self.name(id);
        self.records.push(Record::Deed { node, deed });
    }

    fn keep(&mut self, now: Timestamp) {
        let every = Micros(self.plan.times.word.0 / KEEPS);
        for id in self.plan.ids().collect::<Vec<_>>() {
            let state = &self.nodes[id.0];
            let last = state.kept.or(state.changed.map(|(at, _)| at));
            let due = last.is_none_or(|at| now.since(at) >= every);
            if self.has(id) == Has::OnTrial && state.doing.is_none() && due {
                self.nodes[id.0].kept = Some(now);
                self.deed(now, id, Deed::Keep);
            }
        }
    }

    /// What stops a rolling change at once, whatever the figures say.
    fn at_once(&self, now: Timestamp) -> Option<String> {
        let gone = |id: &NodeId| self.nodes[id.0].told == Told::Gone;
        let changed = |id: &NodeId| self.nodes[id.0].changed.is_some();
        let others = self.plan.ids().filter(|id| gone(id) && !changed(id)).count();
        for id in self.plan.ids() {
            let (state, name) = (&self.nodes[id.0], self.name(id));
            // Where unchanged ones go as well it is not the change.
            if gone(&id) && state.doing.is_none() && changed(&id) && others == 0 {
                return Some(format!("{name} is gone after its change"));
            }
            let here = state.told.here();
            let other = |life: u64| here.is_some_and(|here| here.life != life) && state.doing.is_none();
            if state.restarted || state.changed.is_some_and(|(_, life)| other(life)) {
                return Some(format!("{name} has started again after its change"));
            }
            if let Some(grown) = here.and_then(|here| self.grown(state, here)) {
                return Some(format!("{name}: {grown}"));
            }
            if let Some((why, _)) = &state.failed {
                return Some(format!("{name} does not take it: {why}"));
            }
            let late = |since: Timestamp| now > since + self.plan.times.command + self.plan.times.silent;
            if state.doing.is_some_and(|(deed, since)| deed == Deed::Change && late(since)) {
                return Some(format!("{name} does not come up"));
            }
        }
        None
    }

    /// What a changed node takes of its machine beyond what it took when it had settled.
    fn grown(&self, state: &State, here: &Here) -> Option<String> {
        let (memory, descriptors) = state.settled?;
        let grown = |now: u64, then: u64| now as f64 - then as f64;
        let memory = grown(here.memory_kb, memory) / 1024.0;
        if memory > self.plan.margins.memory_mb {
            return Some(format!("its memory has grown by {memory:.0} MB"));
        }
        let descriptors = grown(here.descriptors, descriptors);
        (descriptors > self.plan.margins.descriptors)
            .then(|| format!("its descriptors have grown by {descriptors:.0}"))
    }

    fn forward(&mut self, now: Timestamp) {
        if !std::mem::replace(&mut self.stage_told, true) {
            let nodes = self.stages[self.stage].iter().map(|id| self.name(*id)).collect();
            self.records.push(Record::Stage { stage: self.stage, nodes });
        }
        let answer = self.verdict.answer();
        let worse = match &answer {
            Answer::Worse(why) if !self.deaf => Some(why.clone()),
            _ => None,
        };
        if let Some(why) = self.at_once(now).or(worse) {
            return self.go_back(now, why);
        }
        let other = self.plan.ids().find(|id| self.has(*id) == Has::Other);
        let missing = self.missing();
        // Gone together with unchanged ones it is not held against the change when it is back.
        for id in &missing {
            let state = &mut self.nodes[id.0];
            if state.told == Told::Gone && state.doing.is_none() {
                (state.changed, state.settled) = (None, None);
            }
        }
        if !self.verdict.suffering() {
            self.calm.get_or_insert(now);
        } else {
            self.calm = None;
        }
        let suffers = matches!(self.hold, Some(Hold::Suffering));
        let calm = self.calm.is_some_and(|at| !suffers || now.since(at) >= CALM);
        // Nodes that nobody has heard of yet are no reason before they had the time to answer.
        let names = |ids: &[NodeId]| ids.iter().map(|id| self.name(*id)).collect::<Vec<_>>();
        let hold = match () {
            () if self.paused => Some(Hold::Paused),
            () if other.is_some() => {
                let name = other.map(|id| self.name(id)).unwrap_or_default();
                Some(Hold::Stuck(format!("{name} has neither the former nor the new")))
            }
            () if missing.iter().any(|id| self.nodes[id.0].doing.is_none()) => {
                Some(Hold::Missing(names(&missing)))
            }
            () if !calm => Some(Hold::Suffering),
            () => None,
        };
        if hold.is_some() {
            // What is watched meanwhile is no time to pass by.
            if self.watched.is_some() {
                self.watched = Some(now);
            }
            return self.hold(hold);
        }
        if !matches!(self.hold, Some(Hold::NotKnown(_))) {
            self.hold(None);
        }
        let due: Vec<NodeId> = self.stages[..=self.stage].concat();
        let left: Vec<NodeId> = due.into_iter().filter(|id| !self.is_new(*id)).collect();
        if !left.is_empty() {
            (self.watched, self.patience) = (None, None);
            let free = |id: &NodeId| self.nodes[id.0].doing.is_none() && self.has(*id) == Has::Former;
            let next: Vec<NodeId> = left.into_iter().filter(free).take(self.room()).collect();
            next.into_iter().for_each(|id| self.deed(now, id, Deed::Change));
            return;
        }
        self.watch(now, answer);
    }

    /// All of the stage have the new.
    fn watch(&mut self, now: Timestamp, answer: Answer) {
        let times = self.plan.times;
        let last = self.nodes.iter().filter_map(|state| state.changed.map(|(at, _)| at)).max().unwrap_or(now);
        if now < last + times.settle {
            return;
        }
        let watched = *self.watched.get_or_insert(now);
        let patience = *self.patience.get_or_insert(now + times.longest);
        if std::mem::take(&mut self.accepted) {
            return self.pass(now, "an operator's word");
        }
        // The verdict lags behind by the seconds that are not told yet.
        if now < watched + times.watch + Micros(TELL * 1_000_000) {
            return;
        }
        let sites: BTreeSet<&str> =
            self.stages[self.stage].iter().map(|id| &*self.plan.node(*id).site).collect();
        let unchanged = |id: &NodeId| !self.is_new(*id) && sites.contains(&*self.plan.node(*id).site);
        let comparable = self.plan.ids().any(|id| unchanged(&id));
        match answer {
            _ if !comparable && self.compared => {
                self.pass(now, "the stages before: nobody is left to compare with")
            }
            Answer::NoWorse if comparable => self.pass(now, "its figures"),
            _ if self.deaf => self.pass(now, "time alone"),
            _ if now < patience => {}
            Answer::NotYet(names) if comparable => self.hold(Some(Hold::NotKnown(names))),
            _ => self.hold(Some(Hold::NotKnown(vec!["nobody to compare with".to_owned()]))),
        }
    }

    fn pass(&mut self, now: Timestamp, by: &str) {
        self.hold(None);
        self.records.push(Record::Passed { stage: self.stage, by: by.to_owned() });
        (self.compared, self.watched, self.patience) = (true, None, None);
        self.stage += 1;
        self.stage_told = false;
        if self.stage == self.stages.len() {
            self.phase = Phase::Confirming;
            self.back_since = Some(now);
            self.records.push(Record::Confirming);
        } else {
            self.verdict.next_stage();
        }
    }

    /// Whoever stands in the way for too long has somebody asked; what can be done goes on all the same.
    fn stuck(&mut self, now: Timestamp, left: &[NodeId]) {
        let since = *self.back_since.get_or_insert(now);
        let failed = left.iter().find_map(|id| {
            self.nodes[id.0].failed.as_ref().map(|(why, _)| format!("{}: {why}", self.name(*id)))
        });
        let late = now.since(since) >= self.plan.times.longest;
        let names = || left.iter().map(|id| self.name(*id)).collect::<Vec<_>>().join(", ");
        match failed {
            Some(why) => self.hold(Some(Hold::Stuck(why))),
            None if late => self.hold(Some(Hold::Stuck(format!("still not there: {}", names())))),
            None => self.hold(None),
        }
    }

    fn confirm(&mut self, now: Timestamp) {
        let left: Vec<NodeId> = self.plan.ids().filter(|id| self.has(*id) != Has::New).collect();
        if left.is_empty() {
            (self.phase, self.hold) = (Phase::Done, None);
            return self.records.push(Record::Done);
        }
        for id in left.iter().copied() {
            let free = self.free(now, id);
            match self.has(id) {
                Has::OnTrial if free => self.deed(now, id, Deed::Confirm),
                // It was cut off for so long that it has gone back by itself, or has started again.
                Has::Former if free && self.room() > 0 => self.deed(now, id, Deed::Change),
                _ => {}
            }
        }
        self.stuck(now, &left);
    }

    /// Nothing is being done to it, or what was has come to nothing; after a failure it is left alone for a while.
    fn free(&self, now: Timestamp, id: NodeId) -> bool {
        let state = &self.nodes[id.0];
        match (state.doing, &state.failed) {
            (Some((_, since)), _) => now > since + self.plan.times.command + self.plan.times.silent,
            (None, Some((_, at))) => now > *at + self.plan.times.silent,
            (None, None) => true,
        }
    }

    fn back(&mut self, now: Timestamp) {
        let left: Vec<NodeId> = self.plan.ids().filter(|id| self.has(*id) != Has::Former).collect();
        let busy = !self.busy().is_empty();
        if left.is_empty() && !busy {
            (self.phase, self.hold) = (Phase::TakenBack, None);
            return self.records.push(Record::TakenBack);
        }
        for id in left.iter().copied() {
            let free = self.free(now, id);
            match self.has(id) {
                Has::OnTrial if free => self.deed(now, id, Deed::Back),
                // A process is started and another ended for it: no more of that at once than forwards. But whoever is
                // missing by the change itself must not keep the others on it.
                Has::New if free && (self.settings() || self.busy().len() < self.plan.most_out) => {
                    self.deed(now, id, Deed::Return);
                }
                _ => {}
            }
        }
        self.stuck(now, &left);
    }
}
