//! The controller process: it polls the nodes, lets the state machine decide, writes the decisions to the journal and carries
//! them out.

use crate::admin_client::{self, Leader, SettingsChange};
use crate::processes::{output_of, replace};
use crate::report::{write_report, MeasureSample};
use rollout::controller::{ActionOutcome, Controller, Phase};
use rollout::journal::{line, read, Action, OperatorOrder, Record};
use rollout::node_report::PollOutcome;
use rollout::plan::{Change, NodeId, Plan, Program};
use rollout::settings_diff::{differences, side_by_side, RuleChange};
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

/// The time between two polls of all nodes. Less than a second, because stages are judged by whole seconds.
const NODE_POLL_INTERVAL: Duration = Duration::from_millis(400);

/// The options of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    /// Continues even if another controller's change is on trial.
    pub take_over: bool,
    /// Records verdicts without acting on them, for tests that show what they contribute.
    pub ignore_verdict: bool,
    /// Aborts the process at this record, for tests of recovery. With `truncate_last` only half of the record is written.
    pub abort_at_record: Option<u64>,
    pub truncate_last: bool,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Done,
    RolledBack,
}

pub fn now() -> Timestamp {
    Timestamp(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64)
}

pub fn journal_path(folder: &Path) -> PathBuf {
    folder.join("journal")
}

/// Replaces a file atomically.
pub fn write_file(path: &Path, bytes: &[u8]) -> Result<(), String> {
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
        let path = journal_path(folder);
        let fail = |e: std::io::Error| format!("{}: {e}", path.display());
        let bytes = match std::fs::read(&path) {
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => Vec::new(),
            other => other.map_err(fail)?,
        };
        let (records, valid_len) = read(&bytes).map_err(|why| format!("{}: {why}", path.display()))?;
        let file = OpenOptions::new().create(true).append(true).open(&path).map_err(fail)?;
        // A truncated record was never acted upon.
        file.set_len(valid_len as u64).map_err(fail)?;
        Ok(Journal { file, written: 0, options, records })
    }

    /// Appends the records and syncs them to disk before it returns.
    fn write(&mut self, records: &[Record]) -> Result<(), String> {
        if records.is_empty() {
            return Ok(());
        }
        let at = now().0;
        for record in records {
            let line = line(at, record);
            self.written += 1;
            let last = self.options.abort_at_record == Some(self.written);
            let part = if last && self.options.truncate_last { &line[..line.len() / 2] } else { &line[..] };
            self.file.write_all(part).map_err(|e| e.to_string())?;
            if last {
                let _ = self.file.sync_data();
                std::process::abort();
            }
            match record {
                Record::ActionStarted { action: Action::RenewTrial, .. } => {
                    tracing::debug!("{}", crate::report::describe(record))
                }
                _ => tracing::info!("{}", crate::report::describe(record)),
            }
            self.records.push((at, record.clone()));
        }
        self.file.sync_data().map_err(|e| format!("journal: {e}"))
    }

    /// The records of one leg.
    fn records_of_leg(&self, leg: u8) -> Vec<Record> {
        let mut current = None;
        let mut records = Vec::new();
        for (_, record) in &self.records {
            if let Record::Begin { leg, .. } = record {
                current = Some(*leg);
            }
            if current == Some(leg) {
                records.push(record.clone());
            }
        }
        records
    }
}

/// How the nodes are changed in a leg.
#[derive(Clone)]
enum LegChange {
    Settings(SettingsChange),
    Program(Program),
}

/// One leg: the change from one version to another on all nodes.
struct Leg {
    former: String,
    new: String,
    change: LegChange,
}

struct Run {
    plan: Plan,
    folder: PathBuf,
    journal: Journal,
    leader: Leader,
    /// The last second that each process has reported.
    last_seconds: BTreeMap<SocketAddr, u64>,
    samples_file: File,
    samples: Vec<MeasureSample>,
}

/// Polls all nodes in parallel.
pub fn poll_all(plan: &Plan, last_seconds: &mut BTreeMap<SocketAddr, u64>) -> Vec<(PollOutcome, SocketAddr)> {
    let after = |at: &SocketAddr| last_seconds.get(at).copied().unwrap_or(0);
    let polls: Vec<(PollOutcome, SocketAddr)> = scope(|scope| {
        let pollers: Vec<_> = plan
            .nodes
            .iter()
            .map(|node| {
                let addresses: Vec<(SocketAddr, u64)> = [Some(node.admin), node.other_admin]
                    .into_iter()
                    .flatten()
                    .map(|at| (at, after(&at)))
                    .collect();
                scope.spawn(move || {
                    let polls = addresses.into_iter().map(|(at, after)| (admin_client::poll(at, after), at));
                    let is_preferred =
                        |one: &(PollOutcome, SocketAddr), other: &(PollOutcome, SocketAddr)| {
                            admin_client::rank(&other.0) <= admin_client::rank(&one.0)
                        };
                    let one = polls.reduce(|one, other| if is_preferred(&one, &other) { one } else { other });
                    one.unwrap_or((PollOutcome::Silent, node.admin))
                })
            })
            .collect();
        pollers
            .into_iter()
            .zip(&plan.nodes)
            .map(|(poller, node)| poller.join().unwrap_or((PollOutcome::Silent, node.admin)))
            .collect()
    });
    for (poll, at) in &polls {
        if let Some(last) = poll.report().and_then(|report| report.seconds.last()) {
            last_seconds.insert(*at, last.unix_second);
        }
    }
    polls
}

/// The former and the new settings of a plan. Before the first run the former ones are asked of the nodes.
pub fn load_settings(plan: &Plan, folder: &Path) -> Result<(Value, Value), String> {
    let Change::Settings(path) = &plan.change else { return Ok((Value::Null, Value::Null)) };
    let json = |path: &Path| -> Result<Value, String> {
        let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
        serde_json::from_slice(&text).map_err(|e| format!("{}: {e}", path.display()))
    };
    let (former, new) = (folder.join("former.json"), folder.join("new.json"));
    if former.exists() && new.exists() {
        return Ok((json(&former)?, json(&new)?));
    }
    let first = plan.nodes.iter().find_map(|node| admin_client::settings(node.admin).ok());
    Ok((first.ok_or("no node reports its settings")?, json(Path::new(path))?))
}

/// The obstacles to a plan according to the nodes' reports, and the differences that it makes.
pub fn check(
    plan: &Plan,
    polls: &[(PollOutcome, SocketAddr)],
    former: &Value,
    new: &Value,
) -> (Vec<String>, Vec<String>) {
    let (mut obstacles, mut differences_found) = (Vec::new(), Vec::new());
    let mut nodes_by_version: BTreeMap<String, Vec<&str>> = BTreeMap::new();
    for ((poll, at), node) in polls.iter().zip(&plan.nodes) {
        match poll {
            PollOutcome::Report(report) => {
                if report.name != node.name {
                    obstacles.push(format!("{}: the node at {at} is {}", node.name, report.name));
                }
                if !report.is_serving() {
                    obstacles.push(format!("{} is {}", node.name, report.state));
                }
                if let Some(trial) = &report.trial {
                    obstacles.push(format!(
                        "{}: a trial by {} is in progress, from {}",
                        node.name, report.leader, trial.former
                    ));
                }
                let version = if matches!(plan.change, Change::Settings(_)) {
                    &report.settings_digest
                } else {
                    &report.build
                };
                nodes_by_version.entry(version.clone()).or_default().push(&node.name);
            }
            PollOutcome::Silent => obstacles.push(format!(
                "{} does not answer as a node with rolling changes enabled at {at}",
                node.name
            )),
            PollOutcome::Gone => obstacles.push(format!("{}: connection refused at {at}", node.name)),
        }
    }
    match &plan.change {
        Change::Settings(_) => {
            if nodes_by_version.len() > 1 {
                let describe =
                    |(digest, names): (&String, &Vec<&str>)| format!("{digest} at {}", names.join(" "));
                obstacles.push(format!(
                    "nodes use different settings: {}",
                    nodes_by_version.iter().map(describe).collect::<Vec<_>>().join("; ")
                ));
            }
            for difference in differences(former, new) {
                let effect = format!("{:?}", difference.effect).to_lowercase();
                differences_found.push(format!(
                    "{effect}: {} from {} to {}",
                    difference.path, difference.from, difference.to
                ));
                if difference.effect == RuleChange::Loosening && !plan.allows_loosening {
                    obstacles.push(format!(
                        "{} loosens a rule, which requires `loosening = true`",
                        difference.path
                    ));
                }
            }
            if differences_found.is_empty() {
                obstacles.push("the new settings do not differ from the former ones".to_owned());
            }
            for (node, (poll, at)) in plan.nodes.iter().zip(polls) {
                if poll.report().is_some() {
                    if let Err(why) = admin_client::validate_settings(*at, new) {
                        obstacles.push(format!("{} rejects the settings: {why}", node.name));
                    }
                }
            }
        }
        Change::Program(program) => {
            differences_found
                .push(format!("program: from {} to {}", program.former_build, program.new_build));
            for (build, names) in nodes_by_version.iter().filter(|(build, _)| **build != program.former_build)
            {
                obstacles.push(format!("{} run {build} and not {}", names.join(" "), program.former_build));
            }
            // Incompatible builds have to be detected before the change starts.
            match output_of(&program.versions_command, Duration::from_micros(plan.timing.command_timeout.0)) {
                Ok(versions) => {
                    differences_found.push(format!("the new program speaks {versions}"));
                    for report in polls
                        .iter()
                        .filter_map(|(poll, _)| poll.report())
                        .filter(|report| report.protocol_versions != versions)
                    {
                        obstacles.push(format!(
                            "{} speaks other protocol versions than the new program: {}",
                            report.name, report.protocol_versions
                        ));
                    }
                }
                Err(why) => obstacles.push(format!("change.program.words: {why}")),
            }
        }
    }
    (obstacles, differences_found)
}

/// Carries out the plan until all nodes have the new version, or all have the former one.
pub fn run(plan: Plan, options: Options) -> Result<Outcome, String> {
    let folder = PathBuf::from(&plan.folder);
    std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let lock = File::create(folder.join("lock")).map_err(|e| e.to_string())?;
    lock.try_lock().map_err(|_| "another controller of this plan is running here".to_owned())?;
    let journal = Journal::open(&folder, options)?;
    let has_begun = !journal.records.is_empty();
    let (former, new) = load_settings(&plan, &folder)?;
    let mut last_seconds = BTreeMap::new();
    let polls = poll_all(&plan, &mut last_seconds);
    let reports = || polls.iter().filter_map(|(poll, _)| poll.report());
    // A controller that continues finds the state it left: nodes on trial, nodes that are gone, two versions.
    let is_own_leader = |leader: &str| {
        let is_its_term = |record: &Record| matches!(record, Record::Leadership { leader: recorded, .. } if recorded == leader);
        journal.records.iter().any(|(_, record)| is_its_term(record))
    };
    let foreign_trial = reports().find(|report| report.trial.is_some() && !is_own_leader(&report.leader));
    if let Some(report) = foreign_trial.filter(|_| !options.take_over) {
        return Err(format!("{}: a trial by {} is in progress", report.name, report.leader));
    }
    if !has_begun && !options.take_over {
        let (obstacles, _) = check(&plan, &polls, &former, &new);
        if let Some(why) = obstacles.into_iter().next() {
            return Err(why);
        }
    }
    let path_of = |name: &str| folder.join(name);
    if matches!(plan.change, Change::Settings(_)) {
        write_file(&path_of("former.json"), former.to_string().as_bytes())?;
        write_file(&path_of("new.json"), new.to_string().as_bytes())?;
    }
    let node_terms = reports().map(|report| report.term);
    let journal_terms = journal.records.iter().filter_map(|(_, record)| match record {
        Record::Leadership { term, .. } => Some(*term),
        _ => None,
    });
    let term = node_terms.chain(journal_terms).max().unwrap_or(0) + 1;
    let leader = Leader { term, name: format!("{}-{}-{}", plan.name, std::process::id(), now().0) };
    let samples_file =
        OpenOptions::new().create(true).append(true).open(path_of("figures")).map_err(|e| e.to_string())?;
    let samples = std::fs::read_to_string(path_of("figures")).unwrap_or_default();
    let samples = samples.lines().filter_map(MeasureSample::parse).collect();
    let mut run = Run { plan, folder, journal, leader, last_seconds, samples_file, samples };
    run.journal.write(&[Record::Leadership { term, leader: run.leader.name.clone() }])?;
    for (poll, at) in &polls {
        if poll.report().is_some() {
            if let ActionOutcome::Refused(why) = admin_client::announce_leader(*at, &run.leader) {
                return Err(format!("{at}: {why}"));
            }
        }
    }
    let legs = run.legs(&former, &new, &polls)?;
    let mut outcome = Outcome::Done;
    for (index, leg) in legs.iter().enumerate() {
        outcome = run.run_leg(index as u8, leg, options.ignore_verdict)?;
        if outcome == Outcome::RolledBack {
            break;
        }
    }
    write_report(&run.folder, &run.plan.name, &run.journal.records, &run.samples)?;
    Ok(outcome)
}

impl Run {
    /// The legs of the change: first to the settings that may be in use side by side with the former ones, and then, if a
    /// rule is loosened, to the new ones.
    fn legs(
        &self,
        former: &Value,
        new: &Value,
        polls: &[(PollOutcome, SocketAddr)],
    ) -> Result<Vec<Leg>, String> {
        if let Change::Program(program) = &self.plan.change {
            let (former, new) = (program.former_build.clone(), program.new_build.clone());
            return Ok(vec![Leg { former, new, change: LegChange::Program(program.clone()) }]);
        }
        let combined = side_by_side(former, new);
        let mut steps = vec![(former, &combined), (&combined, new)];
        steps.retain(|(from, to)| from != to);
        let digest = |settings: &Value| {
            let report = polls.iter().filter(|(poll, _)| poll.report().is_some());
            let mut answers = report.map(|(_, at)| admin_client::validate_settings(*at, settings));
            answers.find(Result::is_ok).unwrap_or_else(|| Err("no node validates the settings".to_owned()))
        };
        let trial_lease_ms = self.plan.timing.trial_lease.0 / 1000;
        let leg = |(from, to): (&Value, &Value)| -> Result<Leg, String> {
            let digests = (digest(from)?, digest(to)?);
            let change = SettingsChange {
                former: from.clone(),
                new: to.clone(),
                digests: digests.clone(),
                trial_lease_ms,
            };
            Ok(Leg { former: digests.0, new: digests.1, change: LegChange::Settings(change) })
        };
        steps.into_iter().map(leg).collect()
    }

    /// Carries out one leg.
    fn run_leg(&mut self, index: u8, leg: &Leg, ignore_verdict: bool) -> Result<Outcome, String> {
        let earlier_records = self.journal.records_of_leg(index);
        let mut controller = Controller::new(self.plan.clone(), &leg.former, &leg.new);
        controller.ignore_verdict = ignore_verdict;
        if earlier_records.is_empty() {
            let (plan, former, new) = (self.plan.name.clone(), leg.former.clone(), leg.new.clone());
            self.journal.write(&[Record::Begin { leg: index, plan, former, new }])?;
        }
        controller.resume(earlier_records.iter());
        let (result_sender, results) = mpsc::channel::<(NodeId, Action, ActionOutcome)>();
        let mut sampled_at = Instant::now();
        while !controller.is_finished() {
            let tick = Instant::now();
            // Outcomes of actions are taken first: a poll after them shows their effect, and an earlier poll does not.
            while let Ok((id, action, outcome)) = results.try_recv() {
                controller.action_finished(now(), id, action, outcome);
            }
            let polls = poll_all(&self.plan, &mut self.last_seconds);
            for (poll, _) in &polls {
                if let Some(report) = poll.report().filter(|report| report.term > self.leader.term) {
                    return Err(format!(
                        "{} is led by {} in term {}",
                        report.name, report.leader, report.term
                    ));
                }
            }
            let addresses: Vec<SocketAddr> = polls.iter().map(|(_, at)| *at).collect();
            let led: Vec<bool> = polls.iter().map(|(poll, _)| self.is_led(poll)).collect();
            controller.observe(now(), polls.into_iter().map(|(poll, _)| poll).collect());
            self.take_order(&mut controller);
            let records = controller.next_records(now());
            self.journal.write(&records)?;
            for record in records {
                let Record::ActionStarted { node, action } = record else { continue };
                let Some(id) = self.plan.node_ids().find(|id| self.plan.node(*id).name == node) else {
                    continue;
                };
                let (result_sender, at, is_led) = (result_sender.clone(), addresses[id.0], led[id.0]);
                let (leader, change, node) =
                    (self.leader.clone(), leg.change.clone(), self.plan.node(id).clone());
                let timeout = Duration::from_micros(self.plan.timing.command_timeout.0);
                let folder = self.folder.clone();
                // Starting a process takes time, and the trials of other nodes have to be renewed meanwhile.
                spawn(move || {
                    let first =
                        if is_led { ActionOutcome::Done } else { admin_client::announce_leader(at, &leader) };
                    let outcome = match (first, &change) {
                        (ActionOutcome::Done, LegChange::Settings(change)) => {
                            admin_client::execute(at, &leader, action, change)
                        }
                        (ActionOutcome::Done, LegChange::Program(program)) => {
                            replace(&node, program, action == Action::Apply, &folder, timeout)
                        }
                        (other, _) => other,
                    };
                    let _ = result_sender.send((id, action, outcome));
                });
            }
            if sampled_at.elapsed() >= Duration::from_secs(1) && controller.phase == Phase::Advancing {
                sampled_at = Instant::now();
                self.record_samples(&controller)?;
            }
            sleep(NODE_POLL_INTERVAL.saturating_sub(tick.elapsed()));
        }
        Ok(if controller.phase == Phase::Done { Outcome::Done } else { Outcome::RolledBack })
    }

    /// Whether the node has accepted this controller as its leader.
    fn is_led(&self, poll: &PollOutcome) -> bool {
        poll.report()
            .is_some_and(|report| report.term == self.leader.term && report.leader == self.leader.name)
    }

    /// Takes an operator's order from the plan's directory and writes the reply.
    fn take_order(&mut self, controller: &mut Controller) {
        let path = self.folder.join("order");
        let Ok(word) = std::fs::read_to_string(&path) else { return };
        let result = match parse_order(word.trim()) {
            Some(order) => controller.order(now(), order),
            None => Err(format!("unknown order: {word:?}")),
        };
        let reply = result.map_or_else(|why| why, |()| "taken".to_owned());
        let _ = write_file(&self.folder.join("said"), reply.as_bytes());
        let _ = std::fs::remove_file(&path);
    }

    /// Appends a sample of each measure to the file `figures`.
    fn record_samples(&mut self, controller: &Controller) -> Result<(), String> {
        let at = now().0 as f64 / 1e6;
        for measure in controller.verdict.measures.iter().filter(|measure| measure.commands.0 > 0.0) {
            let sample = MeasureSample {
                at,
                stage: controller.stage,
                name: measure.name.clone(),
                mean: measure.band.mean(),
                half_width: measure.band.half_width(0.05),
                margin: measure.margin,
                commands: measure.commands,
                capitals: measure.capitals(),
            };
            writeln!(self.samples_file, "{}", sample.to_line()).map_err(|e| format!("figures: {e}"))?;
            self.samples.push(sample);
        }
        Ok(())
    }
}

/// Parses the word of an operator's order.
pub fn parse_order(word: &str) -> Option<OperatorOrder> {
    Some(match word {
        "pause" => OperatorOrder::Pause,
        "resume" => OperatorOrder::Resume,
        "accept" => OperatorOrder::Accept,
        "back" => OperatorOrder::Back,
        _ => return None,
    })
}
