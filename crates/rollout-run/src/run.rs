//! The controller: asks, has the state machine decide, writes down, does.

use crate::ask::{self, Leader, Texts};
use crate::processes::{replace, said_by};
use crate::report::{page, Figure};
use rollout::compare::{differences, side_by_side, Turn};
use rollout::journal::{line, read, Deed, Order, Record};
use rollout::lead::{Came, Lead, Phase};
use rollout::plan::{Change, NodeId, Plan, Program};
use rollout::seen::Told;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread::{scope, sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use yarrowfront::times::Timestamp;

/// Between two looks at all nodes: a stage is judged by whole seconds.
const TICK: Duration = Duration::from_millis(400);

#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    /// Goes on where another controller's change is on trial.
    pub take_over: bool,
    /// Verdicts are written down and not listened to: shows what they are worth.
    pub deaf: bool,
    /// Ends without a word at that record, in the middle of it where it is torn: for tests of what comes after.
    pub end_at: Option<u64>,
    pub torn: bool,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    Done,
    TakenBack,
}

pub fn now() -> Timestamp {
    Timestamp(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64)
}

pub fn journal_of(folder: &Path) -> PathBuf {
    folder.join("journal")
}

/// Puts a file in place whole.
pub fn put(path: &Path, bytes: &[u8]) -> Result<(), String> {
    let new = path.with_extension("new");
    let written = File::create(&new).and_then(|mut file| {
        file.write_all(bytes)?;
        file.sync_all()?;
        std::fs::rename(&new, path)
    });
    written.map_err(|e| format!("{}: {e}", path.display()))
}

struct Journal {
    file: File,
    written: u64,
    options: Options,
    records: Vec<(u64, Record)>,
}

impl Journal {
    fn open(folder: &Path, options: Options) -> Result<Journal, String> {
        let path = journal_of(folder);
        let fail = |e: std::io::Error| format!("{}: {e}", path.display());
        let bytes = match std::fs::read(&path) {
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => Vec::new(),
            other => other.map_err(fail)?,
        };
        let (records, good) = read(&bytes).map_err(|why| format!("{}: {why}", path.display()))?;
        let file = OpenOptions::new().create(true).append(true).open(&path).map_err(fail)?;
        // A record that was cut off was never acted upon.
        file.set_len(good as u64).map_err(fail)?;
        Ok(Journal { file, written: 0, options, records })
    }

    /// Has these on disk before it returns.
    fn write(&mut self, records: &[Record]) -> Result<(), String> {
        if records.is_empty() {
            return Ok(());
        }
        let at = now().0;
        for record in records {
            let line = line(at, record);
            self.written += 1;
            let last = self.options.end_at == Some(self.written);
            let part = if last && self.options.torn { &line[..line.len() / 2] } else { &line[..] };
            self.file.write_all(part).map_err(|e| e.to_string())?;
            if last {
                let _ = self.file.sync_data();
                std::process::abort();
            }
            match record {
                Record::Deed { deed: Deed::Keep, .. } => tracing::debug!("{}", crate::report::said(record)),
                _ => tracing::info!("{}", crate::report::said(record)),
            }
            self.records.push((at, record.clone()));
        }
        self.file.sync_data().map_err(|e| format!("the journal: {e}"))
    }

    /// The records of one leg.
    fn leg(&self, leg: u8) -> Vec<Record> {
        let mut at = None;
        let mut of = Vec::new();
        for (_, record) in &self.records {
            if let Record::Begin { leg, .. } = record {
                at = Some(*leg);
            }
            if at == Some(leg) {
                of.push(record.clone());
            }
        }
        of
    }
}

/// What one leg changes, and how.
#[derive(Clone)]
enum How {
    Settings(Texts),
    Program(Program),
}

struct Leg {
    former: String,
    new: String,
    how: How,
}

struct Run {
    plan: Plan,
    folder: PathBuf,
    journal: Journal,
    leader: Leader,
    /// Up to which second each process has told.
    told: BTreeMap<SocketAddr, u64>,
    figures: File,
    drawn: Vec<Figure>,
}

/// Asks all nodes at once.
pub fn look(plan: &Plan, told: &mut BTreeMap<SocketAddr, u64>) -> Vec<(Told, SocketAddr)> {
    let after = |at: &SocketAddr| told.get(at).copied().unwrap_or(0);
    let looks: Vec<(Told, SocketAddr)> = scope(|scope| {
        let asked: Vec<_> = plan
            .nodes
            .iter()
            .map(|node| {
                let places: Vec<(SocketAddr, u64)> = [Some(node.admin), node.other_admin]
                    .into_iter()
                    .flatten()
                    .map(|at| (at, after(&at)))
                    .collect();
                scope.spawn(move || {
                    let told = places.into_iter().map(|(at, after)| (ask::look(at, after), at));
                    let before = |one: &(Told, SocketAddr), other: &(Told, SocketAddr)| {
                        ask::rank(&other.0) <= ask::rank(&one.0)
                    };
                    let one = told.reduce(|one, other| if before(&one, &other) { one } else { other });
                    one.unwrap_or((Told::Silent, node.admin))
                })
            })
            .collect();
        asked
            .into_iter()
            .zip(&plan.nodes)
            .map(|(look, node)| look.join().unwrap_or((Told::Silent, node.admin)))
            .collect()
    });
    for (look, at) in &looks {
        if let Some(last) = look.here().and_then(|here| here.seconds.last()) {
            told.insert(*at, last.at);
        }
    }
    looks
}

/// The settings that a plan brings, and those that hold now, by the nodes' own word where no run has begun.
pub fn texts(plan: &Plan, folder: &Path) -> Result<(Value, Value), String> {
    let Change::Settings(path) = &plan.change else { return Ok((Value::Null, Value::Null)) };
    let json = |path: &Path| -> Result<Value, String> {
        let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
        serde_json::from_slice(&text).map_err(|e| format!("{}: {e}", path.display()))
    };
    let (former, new) = (folder.join("former.json"), folder.join("new.json"));
    if former.exists() && new.exists() {
        return Ok((json(&former)?, json(&new)?));
    }
    let first = plan.nodes.iter().find_map(|node| ask::settings(node.admin).ok());
    Ok((first.ok_or("no node tells its settings")?, json(Path::new(path))?))
}

/// What stands against a plan by what nodes told, and the differences that it brings.
pub fn check(
    plan: &Plan,
    looks: &[(Told, SocketAddr)],
    former: &Value,
    new: &Value,
) -> (Vec<String>, Vec<String>) {
    let (mut against, mut lines) = (Vec::new(), Vec::new());
    let mut known: BTreeMap<String, Vec<&str>> = BTreeMap::new();
    for ((told, at), node) in looks.iter().zip(&plan.nodes) {
        match told {
            Told::Here(here) => {
                if here.name != node.name {
                    against.push(format!("{}: at {at} is {}", node.name, here.name));
                }
                if !here.serves() {
                    against.push(format!("{} is {}", node.name, here.state));
                }
                if let Some(trial) = &here.trial {
                    against
                        .push(format!("{}: on trial by {}, after {}", node.name, here.leader, trial.former));
                }
                let what =
                    if matches!(plan.change, Change::Settings(_)) { &here.settings } else { &here.build };
                known.entry(what.clone()).or_default().push(&node.name);
            }
            Told::Silent => {
                against.push(format!("{} does not answer as a node that takes part at {at}", node.name))
            }
            Told::Gone => against.push(format!("{}: nobody listens at {at}", node.name)),
        }
    }
    match &plan.change {
        Change::Settings(_) => {
            if known.len() > 1 {
                let of = |(digest, names): (&String, &Vec<&str>)| format!("{digest} at {}", names.join(" "));
                against.push(format!(
                    "nodes go by different settings: {}",
                    known.iter().map(of).collect::<Vec<_>>().join("; ")
                ));
            }
            for difference in differences(former, new) {
                let turn = format!("{:?}", difference.turn).to_lowercase();
                lines.push(format!(
                    "{turn}: {} from {} to {}",
                    difference.path, difference.from, difference.to
                ));
                if difference.turn == Turn::Loosening && !plan.loosening {
                    against.push(format!("{} loosens a rule: say `loosening = true`", difference.path));
                }
            }
            if lines.is_empty() {
                against.push("the new settings are the former ones".to_owned());
            }
            for (node, (told, at)) in plan.nodes.iter().zip(looks) {
                if told.here().is_some() {
                    if let Err(why) = ask::weigh(*at, new) {
                        against.push(format!("{} does not take the settings: {why}", node.name));
                    }
                }
            }
        }
        Change::Program(program) => {
            lines.push(format!("program: from {} to {}", program.former, program.build));
            for (build, names) in known.iter().filter(|(build, _)| **build != program.former) {
                against.push(format!("{} run {build} and not {}", names.join(" "), program.former));
            }
            // Two builds that do not understand each other must not be found out at night.
            match said_by(&program.words, Duration::from_micros(plan.times.command.0)) {
                Ok(words) => {
                    lines.push(format!("the new program speaks {words}"));
                    for here in
                        looks.iter().filter_map(|(told, _)| told.here()).filter(|here| here.words != words)
                    {
                        against.push(format!(
                            "{} speaks other words than the new program: {}",
                            here.name, here.words
                        ));
                    }
                }
                Err(why) => against.push(format!("change.program.words: {why}")),
            }
        }
    }
    (against, lines)
}

/// Leads the plan to its end: all nodes on the new, or all on the former.
pub fn run(plan: Plan, options: Options) -> Result<Ended, String> {
    let folder = PathBuf::from(&plan.folder);
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let lock = File::create(folder.join("lock")).map_err(|e| e.to_string())?;
    lock.try_lock().map_err(|_| "another controller leads this plan here".to_owned())?;
    let journal = Journal::open(&folder, options)?;
    let begun = !journal.records.is_empty();
    let (former, new) = texts(&plan, &folder)?;
    let mut told = BTreeMap::new();
    let looks = look(&plan, &mut told);
    let here = || looks.iter().filter_map(|(told, _)| told.here());
    // Whoever goes on finds what it left: nodes on trial, some gone, two versions.
    let own = |leader: &str| {
        let leads = |record: &Record| matches!(record, Record::Leads { by, .. } if by == leader);
        journal.records.iter().any(|(_, record)| leads(record))
    };
    let strange = here().find(|here| here.trial.is_some() && !own(&here.leader));
    if let Some(here) = strange.filter(|_| !options.take_over) {
        return Err(format!("{}: on trial by {}; a change is going on", here.name, here.leader));
    }
    if !begun && !options.take_over {
        let (against, _) = check(&plan, &looks, &former, &new);
        if let Some(why) = against.into_iter().next() {
            return Err(why);
        }
    }
    let folder_of = |name: &str| folder.join(name);
    if matches!(plan.change, Change::Settings(_)) {
        put(&folder_of("former.json"), former.to_string().as_bytes())?;
        put(&folder_of("new.json"), new.to_string().as_bytes())?;
    }
    let terms = here().map(|here| here.term);
    let led = journal.records.iter().filter_map(|(_, record)| match record {
        Record::Leads { term, .. } => Some(*term),
        _ => None,
    });
    let term = terms.chain(led).max().unwrap_or(0) + 1;
    let leader = Leader { term, by: format!("{}-{}-{}", plan.name, std::process::id(), now().0) };
    let figures =
        OpenOptions::new().create(true).append(true).open(folder_of("figures")).map_err(|e| e.to_string())?;
    let drawn = std::fs::read_to_string(folder_of("figures")).unwrap_or_default();
    let drawn = drawn.lines().filter_map(Figure::read).collect();
    let mut run = Run { plan, folder, journal, leader, told, figures, drawn };
    run.journal.write(&[Record::Leads { term, by: run.leader.by.clone() }])?;
    for (told, at) in &looks {
        if told.here().is_some() {
            if let Came::Refused(why) = ask::lead(*at, &run.leader) {
                return Err(format!("{at}: {why}"));
            }
        }
    }
    let legs = run.legs(&former, &new, &looks)?;
    let mut ended = Ended::Done;
    for (place, leg) in legs.iter().enumerate() {
        ended = run.leg(place as u8, leg, options.deaf)?;
        if ended == Ended::TakenBack {
            break;
        }
    }
    page(&run.folder, &run.plan.name, &run.journal.records, &run.drawn)?;
    Ok(ended)
}

impl Run {
    /// First what holds while both stand side by side, and then, where a rule is loosened, the rest.
    fn legs(&self, former: &Value, new: &Value, looks: &[(Told, SocketAddr)]) -> Result<Vec<Leg>, String> {
        if let Change::Program(program) = &self.plan.change {
            let (former, new) = (program.former.clone(), program.build.clone());
            return Ok(vec![Leg { former, new, how: How::Program(program.clone()) }]);
        }
        let both = side_by_side(former, new);
        let mut steps = vec![(former, &both), (&both, new)];
        steps.retain(|(from, to)| from != to);
        let digest = |settings: &Value| {
            let here = looks.iter().filter(|(told, _)| told.here().is_some());
            let mut answers = here.map(|(_, at)| ask::weigh(*at, settings));
            answers.find(Result::is_ok).unwrap_or_else(|| Err("no node weighs the settings".to_owned()))
        };
        let word_ms = self.plan.times.word.0 / 1000;
        let leg = |(from, to): (&Value, &Value)| -> Result<Leg, String> {
            let digests = (digest(from)?, digest(to)?);
            let texts = Texts { former: from.clone(), new: to.clone(), digests: digests.clone(), word_ms };
            Ok(Leg { former: digests.0, new: digests.1, how: How::Settings(texts) })
        };
        steps.into_iter().map(leg).collect()
    }

    fn leg(&mut self, place: u8, leg: &Leg, deaf: bool) -> Result<Ended, String> {
        let before = self.journal.leg(place);
        let mut lead = Lead::new(self.plan.clone(), &leg.former, &leg.new);
        lead.deaf = deaf;
        if before.is_empty() {
            let (plan, former, new) = (self.plan.name.clone(), leg.former.clone(), leg.new.clone());
            self.journal.write(&[Record::Begin { leg: place, plan, former, new }])?;
        }
        lead.resume(before.iter());
        let (came, results) = mpsc::channel::<(NodeId, Deed, Came)>();
        let mut drawn = Instant::now();
        while !lead.over() {
            let tick = Instant::now();
            // What came of deeds goes first: what is asked after that shows it, and a look of before does not.
            while let Ok((id, deed, what)) = results.try_recv() {
                lead.came(now(), id, deed, what);
            }
            let looks = look(&self.plan, &mut self.told);
            for (told, _) in &looks {
                if let Some(here) = told.here().filter(|here| here.term > self.leader.term) {
                    return Err(format!("{} is led by {} in term {}", here.name, here.leader, here.term));
                }
            }
            let places: Vec<SocketAddr> = looks.iter().map(|(_, at)| *at).collect();
            let led: Vec<bool> = looks.iter().map(|(told, _)| self.leads(told)).collect();
            lead.look(now(), looks.into_iter().map(|(told, _)| told).collect());
            self.orders(&mut lead);
            let records = lead.next(now());
            self.journal.write(&records)?;
            for record in records {
                let Record::Deed { node, deed } = record else { continue };
                let Some(id) = self.plan.ids().find(|id| self.plan.node(*id).name == node) else { continue };
                let (came, at, led) = (came.clone(), places[id.0], led[id.0]);
                let (leader, how, node) = (self.leader.clone(), leg.how.clone(), self.plan.node(id).clone());
                let most = Duration::from_micros(self.plan.times.command.0);
                let folder = self.folder.clone();
                // A start takes its time, and other nodes' trials have to be kept meanwhile.
                spawn(move || {
                    let first = if led { Came::Done } else { ask::lead(at, &leader) };
                    let what = match (first, &how) {
                        (Came::Done, How::Settings(texts)) => ask::settle(at, &leader, deed, texts),
                        (Came::Done, How::Program(program)) => {
                            replace(&node, program, deed == Deed::Change, &folder, most)
                        }
                        (other, _) => other,
                    };
                    let _ = came.send((id, deed, what));
                });
            }
            if drawn.elapsed() >= Duration::from_secs(1) && lead.phase == Phase::Forward {
                drawn = Instant::now();
                self.draw(&lead)?;
            }
            sleep(TICK.saturating_sub(tick.elapsed()));
        }
        Ok(if lead.phase == Phase::Done { Ended::Done } else { Ended::TakenBack })
    }

    fn leads(&self, told: &Told) -> bool {
        told.here().is_some_and(|here| here.term == self.leader.term && here.leader == self.leader.by)
    }

    /// What an operator has put into the folder.
    fn orders(&mut self, lead: &mut Lead) {
        let path = self.folder.join("order");
        let Ok(word) = std::fs::read_to_string(&path) else { return };
        let said = match order(word.trim()) {
            Some(order) => lead.order(now(), order),
            None => Err(format!("no order: {word:?}")),
        };
        let said = said.map_or_else(|why| why, |()| "taken".to_owned());
        let _ = put(&self.folder.join("said"), said.as_bytes());
        let _ = std::fs::remove_file(&path);
    }

    fn draw(&mut self, lead: &Lead) -> Result<(), String> {
        let at = now().0 as f64 / 1e6;
        for measure in lead.verdict.measures.iter().filter(|measure| measure.commands.0 > 0.0) {
            let figure = Figure {
                at,
                stage: lead.stage,
                name: measure.name.clone(),
                mean: measure.band.mean(),
                half: measure.band.half(0.05),
                margin: measure.margin,
                commands: measure.commands,
                fortunes: measure.fortunes(),
            };
            writeln!(self.figures, "{}", figure.line()).map_err(|e| format!("figures: {e}"))?;
            self.drawn.push(figure);
        }
        Ok(())
    }
}

/// An operator's word.
pub fn order(word: &str) -> Option<Order> {
    Some(match word {
        "pause" => Order::Pause,
        "resume" => Order::Resume,
        "accept" => Order::Accept,
        "back" => Order::Back,
        _ => return None,
    })
}
