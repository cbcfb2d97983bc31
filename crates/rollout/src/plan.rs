//! The plan of a rolling change: what is changed on which nodes, in which stages, and when the change is to stop. It is
//! read from TOML and checked as a whole.

use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use yarrowfront::times::Micros;

/// The index of a node in the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub usize);

/// A node of the plan.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    pub name: String,
    pub site: String,
    /// The address of the node's admin interface.
    pub admin: SocketAddr,
    /// The admin address of a new process beside the old one, for a change of the program. After the change the two
    /// addresses have swapped roles.
    pub other_admin: Option<SocketAddr>,
}

/// What is changed.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Change {
    /// The path of a JSON file with the new settings: the whole of `settings` as in a node's configuration. A node's own
    /// slot and site in it are ignored.
    Settings(String),
    Program(Program),
}

/// Another program. It is started beside the old one, which hands over to it and ends. Commands are run without a shell,
/// with the program first. `{name}`, `{site}` and `{admin}` (the new process's admin address) are filled in.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Program {
    /// The build names that the new program and the old one report.
    #[serde(rename = "build")]
    pub new_build: String,
    #[serde(rename = "former")]
    pub former_build: String,
    /// Starts the new program. The command either ends at once or keeps running as the node.
    #[serde(rename = "start")]
    pub start_command: Vec<String>,
    /// Prints the protocol versions of the new program, as `yarrowfront words` does.
    #[serde(rename = "words")]
    pub versions_command: Vec<String>,
    /// Starts the old program again.
    #[serde(rename = "start_former")]
    pub start_former_command: Vec<String>,
    /// Ends a node's older process once the newer one is ready. `{admin}` is the address of the older one.
    #[serde(rename = "end")]
    pub end_command: Vec<String>,
}

/// How many nodes are changed by the end of a stage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StageSize {
    /// This number of nodes in all.
    Nodes(usize),
    /// This number of nodes in each site.
    EachSite(usize),
    /// This share of each site, but at least one node and, below 100%, not all.
    Share(f64),
}

/// A checked plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub name: String,
    pub nodes: Vec<Node>,
    pub change: Change,
    /// Whether the change may loosen a rule.
    pub allows_loosening: bool,
    pub stages: Vec<StageSize>,
    pub one_site_at_a_time: bool,
    /// The most nodes out of service at a time, including those that are out for other reasons.
    pub max_unavailable: usize,
    pub timing: Timing,
    pub margins: Margins,
    pub odds: Odds,
    /// The directory of the journal and the final report.
    pub folder: String,
}

/// The timings of a plan. The file states them in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// For how long after its change a node's seconds are ignored: it is cold, and its clients reconnect.
    pub settle: Micros,
    /// The least time for which a stage is watched, and the longest without a verdict before an operator is asked.
    pub min_watch: Micros,
    pub max_watch: Micros,
    /// The lease of a trial: settings on trial are reverted by the node if the controller does not renew them in time.
    pub trial_lease: Micros,
    /// A node without an answer for this long counts as missing.
    pub silent_timeout: Micros,
    /// The longest time for a command of the plan, and for the start or end of a process.
    pub command_timeout: Micros,
}

/// How much worse changed nodes may do than unchanged ones. These are rates from 0 to 1 unless stated otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Margins {
    /// Payoff that was not served within the goal time: of all commands, and of a single profile.
    pub payoff: f64,
    pub profile: f64,
    /// Commands that ended in an error and may have run, and commands that were rejected.
    pub errored: f64,
    #[serde(rename = "turned_back")]
    pub rejected: f64,
    /// Launches beyond the first, per command.
    #[serde(rename = "extra")]
    pub extra_launches: f64,
    /// Commands slower than the 95th percentile of the unchanged nodes a minute before.
    pub slow: f64,
    /// Growth of a changed node since it settled, in MB of memory and in file descriptors.
    pub memory_mb: f64,
    pub descriptors: f64,
}

impl Default for Margins {
    /// Fleets differ by one point of payoff from day to day. A profile sees fewer commands, so that a finer margin could
    /// seldom be decided within ten minutes. Memory and descriptors are those of a busy minute.
    fn default() -> Margins {
        Margins {
            payoff: 0.01,
            profile: 0.03,
            errored: 0.005,
            rejected: 0.01,
            extra_launches: 0.05,
            slow: 0.05,
            memory_mb: 64.0,
            descriptors: 256.0,
        }
    }
}

/// The error probabilities of the verdict.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Odds {
    /// The probability, over a whole rolling change, of stopping a change that is no worse.
    #[serde(rename = "stop")]
    pub false_stop: f64,
    /// The probability, per stage, of passing a change that is worse by the margin.
    #[serde(rename = "pass")]
    pub false_pass: f64,
}

impl Default for Odds {
    fn default() -> Odds {
        Odds { false_stop: 0.005, false_pass: 0.05 }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PlanFile {
    name: String,
    folder: String,
    change: Change,
    #[serde(default)]
    loosening: bool,
    nodes: Vec<Node>,
    #[serde(default = "default_stages")]
    stages: Vec<String>,
    #[serde(default)]
    one_site_at_a_time: bool,
    #[serde(default = "default_most_out")]
    most_out: usize,
    #[serde(default)]
    seconds: TimingSeconds,
    #[serde(default)]
    margins: Margins,
    #[serde(default)]
    odds: Odds,
}

fn default_most_out() -> usize {
    1
}

fn default_stages() -> Vec<String> {
    ["1 node", "1 of each site", "25%", "50%", "100%"].map(String::from).to_vec()
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct TimingSeconds {
    settle: f64,
    watch: f64,
    longest: f64,
    word: f64,
    silent: f64,
    command: f64,
}

impl Default for TimingSeconds {
    fn default() -> TimingSeconds {
        TimingSeconds { settle: 5.0, watch: 30.0, longest: 600.0, word: 30.0, silent: 5.0, command: 30.0 }
    }
}

fn parse_stage_size(text: &str) -> Option<StageSize> {
    let words: Vec<&str> = text.split_whitespace().collect();
    match words[..] {
        [count, "node" | "nodes"] => count.parse().ok().filter(|n| *n > 0).map(StageSize::Nodes),
        [count, "of", "each", "site"] => count.parse().ok().filter(|n| *n > 0).map(StageSize::EachSite),
        [share] => {
            let share: f64 = share.strip_suffix('%')?.parse().ok()?;
            (share > 0.0 && share <= 100.0).then_some(StageSize::Share(share / 100.0))
        }
        _ => None,
    }
}

impl Plan {
    /// Parses and checks a plan. An error names the line or the key.
    pub fn from_toml(text: &str) -> Result<Plan, String> {
        let file: PlanFile = toml::from_str(text).map_err(|error| {
            let line = error.span().map_or(0, |at| text[..at.start].matches('\n').count() + 1);
            format!("line {line}: {}", error.message().lines().next().unwrap_or_default())
        })?;
        let read = |(i, text): (usize, &String)| {
            let invalid = || format!("stages[{i}]: not \"2 nodes\", \"1 of each site\" or \"25%\": {text:?}");
            parse_stage_size(text).ok_or_else(invalid)
        };
        let stages: Vec<StageSize> = file.stages.iter().enumerate().map(read).collect::<Result<_, _>>()?;
        if stages.last() != Some(&StageSize::Share(1.0)) {
            return Err("stages: the last one must be \"100%\"".to_owned());
        }
        if file.nodes.is_empty() {
            return Err("nodes: the list is empty".to_owned());
        }
        let mut known = BTreeSet::new();
        for (i, node) in file.nodes.iter().enumerate() {
            let addresses = [Some(node.admin), node.other_admin].into_iter().flatten();
            let is_unique = addresses.map(|at| at.to_string()).all(|at| known.insert(at));
            if !is_unique || !known.insert(node.name.clone()) {
                return Err(format!("nodes[{i}]: {} or its address is listed twice", node.name));
            }
            if matches!(file.change, Change::Program(_)) && node.other_admin.is_none() {
                return Err(format!(
                    "nodes[{i}].other_admin is missing: the admin address of the new process"
                ));
            }
        }
        if let Change::Program(program) = &file.change {
            let commands = [
                ("start", &program.start_command),
                ("words", &program.versions_command),
                ("start_former", &program.start_former_command),
                ("end", &program.end_command),
            ];
            if let Some((key, _)) = commands.iter().find(|(_, command)| command.is_empty()) {
                return Err(format!("change.program.{key} is empty"));
            }
            if program.new_build == program.former_build {
                return Err("change.program: build and former are the same".to_owned());
            }
        }
        let seconds = &file.seconds;
        let ranges = [
            ("seconds.settle", seconds.settle, 0.0, 3600.0),
            ("seconds.watch", seconds.watch, 1.0, 86_400.0),
            ("seconds.longest", seconds.longest, seconds.watch, 86_400.0),
            ("seconds.word", seconds.word, 1.0, 600.0),
            ("seconds.silent", seconds.silent, 0.5, 600.0),
            ("seconds.command", seconds.command, 0.5, 3600.0),
            ("most_out", file.most_out as f64, 1.0, file.nodes.len() as f64),
            ("odds.stop", file.odds.false_stop, 1e-6, 0.2),
            ("odds.pass", file.odds.false_pass, 1e-6, 0.5),
            ("margins.payoff", file.margins.payoff, 1e-4, 1.0),
            ("margins.profile", file.margins.profile, 1e-4, 1.0),
            ("margins.errored", file.margins.errored, 1e-4, 1.0),
            ("margins.turned_back", file.margins.rejected, 1e-4, 1.0),
            ("margins.extra", file.margins.extra_launches, 1e-4, 8.0),
            ("margins.slow", file.margins.slow, 1e-3, 1.0),
            ("margins.memory_mb", file.margins.memory_mb, 1.0, 1e6),
            ("margins.descriptors", file.margins.descriptors, 1.0, 1e6),
        ];
        for (key, value, least, most) in ranges {
            if !(least..=most).contains(&value) {
                return Err(format!("{key} must be from {least} to {most}, but is {value}"));
            }
        }
        let span = |seconds: f64| Micros((seconds * 1e6) as u64);
        let (settle, min_watch, max_watch) =
            (span(seconds.settle), span(seconds.watch), span(seconds.longest));
        let (trial_lease, silent_timeout, command_timeout) =
            (span(seconds.word), span(seconds.silent), span(seconds.command));
        Ok(Plan {
            name: file.name,
            folder: file.folder,
            nodes: file.nodes,
            change: file.change,
            allows_loosening: file.loosening,
            stages,
            one_site_at_a_time: file.one_site_at_a_time,
            max_unavailable: file.most_out,
            timing: Timing { settle, min_watch, max_watch, trial_lease, silent_timeout, command_timeout },
            margins: file.margins,
            odds: file.odds,
        })
    }

    /// The ids of all nodes, in the plan's order.
    pub fn node_ids(&self) -> impl Iterator<Item = NodeId> {
        (0..self.nodes.len()).map(NodeId)
    }

    pub fn node(&self, id: NodeId) -> &Node {
        &self.nodes[id.0]
    }

    /// The nodes of each site, in the plan's order, the largest site first.
    fn sites(&self) -> Vec<(String, Vec<NodeId>)> {
        let mut sites: BTreeMap<&str, Vec<NodeId>> = BTreeMap::new();
        self.node_ids().for_each(|id| sites.entry(&self.node(id).site).or_default().push(id));
        let mut sites: Vec<_> = sites.into_iter().map(|(site, ids)| (site.to_owned(), ids)).collect();
        sites.sort_by_key(|(_, ids)| std::cmp::Reverse(ids.len()));
        sites
    }

    /// The nodes that each stage adds, in the order of changing. No stage is empty and each node is in exactly one.
    pub fn stage_nodes(&self) -> Vec<Vec<NodeId>> {
        let sites = self.sites();
        let groups: Vec<Vec<&Vec<NodeId>>> = match self.one_site_at_a_time {
            true => sites.iter().map(|(_, ids)| vec![ids]).collect(),
            false => vec![sites.iter().map(|(_, ids)| ids).collect()],
        };
        let (mut stages, mut done) = (Vec::new(), BTreeSet::new());
        for group in groups {
            for size in &self.stages {
                // Below 100% one node of each site stays unchanged for comparison.
                let limit = |ids: &&Vec<NodeId>, wanted: usize| wanted.clamp(1, (ids.len() - 1).max(1));
                let selected: Vec<NodeId> = match *size {
                    StageSize::Nodes(count) => {
                        let candidates = group.iter().flat_map(|ids| ids[..limit(ids, count)].iter());
                        candidates.take(count).copied().collect()
                    }
                    StageSize::EachSite(count) => {
                        group.iter().flat_map(|ids| ids[..limit(ids, count)].iter()).copied().collect()
                    }
                    StageSize::Share(share) if share >= 1.0 => {
                        group.iter().copied().flatten().copied().collect()
                    }
                    StageSize::Share(share) => {
                        let wanted = |ids: &Vec<NodeId>| (ids.len() as f64 * share).round() as usize;
                        group.iter().flat_map(|ids| ids[..limit(ids, wanted(ids))].iter()).copied().collect()
                    }
                };
                let stage: Vec<NodeId> = selected.into_iter().filter(|id| done.insert(*id)).collect();
                if !stage.is_empty() {
                    stages.push(stage);
                }
            }
        }
        stages
    }
}
