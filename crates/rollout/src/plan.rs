//! What an operator wants changed, where, in which steps, and when it is to stop. Read from TOML, checked whole.

use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use yarrowfront::times::Micros;

/// A node of the plan, by its place there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub usize);

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    pub name: String,
    pub site: String,
    /// Its second address.
    pub admin: SocketAddr,
    /// That of a new process beside the old one, where the program is changed; afterwards the two have changed places.
    pub other_admin: Option<SocketAddr>,
}

/// What is changed.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Change {
    /// A file with the new settings: JSON, the whole of `settings` as in a node's configuration. A node's own place and
    /// site in it do not count.
    Settings(String),
    Program(Program),
}

/// Another program, started beside the old one, which hands over to it and ends.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Program {
    /// What the new one calls its build, and the old one.
    pub build: String,
    pub former: String,
    /// Commands without a shell: the program first. `{name}`, `{site}` and `{admin}` (the new process's second address) are
    /// filled in. The first starts the new one and ends at once, or runs on as the node; the second starts the old one.
    pub start: Vec<String>,
    /// Tells which words the new one speaks with other processes, as `yarrowfront words` does.
    pub words: Vec<String>,
    pub start_former: Vec<String>,
    /// Ends a node's older process, once the newer one is ready. `{admin}` is the older one's.
    pub end: Vec<String>,
}

/// Up to where a stage goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reach {
    /// So many nodes.
    Nodes(usize),
    /// So many of each site.
    EachSite(usize),
    /// This share of each site, at least one node and, below the whole, not all.
    Share(f64),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub name: String,
    pub nodes: Vec<Node>,
    pub change: Change,
    /// A change that loosens a rule is let through.
    pub loosening: bool,
    pub stages: Vec<Reach>,
    pub one_site_at_a_time: bool,
    pub most_out: usize,
    pub times: Times,
    pub margins: Margins,
    pub odds: Odds,
    /// Where the journal and the page at the end stand.
    pub folder: String,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// After a node's change its seconds count for nothing for so long: it is cold, and its clients come anew.
    pub settle: Micros,
    /// The least that a stage is watched, and the longest without a verdict until somebody is asked.
    pub watch: Micros,
    pub longest: Micros,
    /// Settings on trial go on for so long without the controller's word.
    pub word: Micros,
    /// A node that tells nothing for so long is missing; before, it is waited for.
    pub silent: Micros,
    /// How long a command of the plan, a start or an end may take.
    pub command: Micros,
}

/// How much worse, changed against unchanged, is no harm yet. Shares of one unless said otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Margins {
    /// Payoff that was not served within the goal time, of all; and of one profile.
    pub payoff: f64,
    pub profile: f64,
    /// Commands that ended in an error and may have run, and that were turned back.
    pub errored: f64,
    pub turned_back: f64,
    /// Launches beyond the first, for each command.
    pub extra: f64,
    /// Commands slower than 95 in a hundred of the unchanged nodes' a minute before.
    pub slow: f64,
    /// Growth of a changed node since it had settled.
    pub memory_mb: f64,
    pub descriptors: f64,
}

impl Default for Margins {
    /// A point of payoff is what fleets differ by from day to day; a profile sees fewer commands, so that a finer
    /// margin would seldom be known within ten minutes. Memory and descriptors are those of a busy minute.
    fn default() -> Margins {
        Margins {
            payoff: 0.01,
            profile: 0.03,
            errored: 0.005,
            turned_back: 0.01,
            extra: 0.05,
            slow: 0.05,
            memory_mb: 64.0,
            descriptors: 256.0,
        }
    }
}

/// The chance, over a whole rolling change, to stop one that is no worse; and in a stage to pass one that is worse than the
/// margin.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Odds {
    pub stop: f64,
    pub pass: f64,
}

impl Default for Odds {
    fn default() -> Odds {
        Odds { stop: 0.005, pass: 0.05 }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    name: String,
    folder: String,
    change: Change,
    #[serde(default)]
    loosening: bool,
    nodes: Vec<Node>,
    #[serde(default = "stages")]
    stages: Vec<String>,
    #[serde(default)]
    one_site_at_a_time: bool,
    #[serde(default = "one")]
    most_out: usize,
    #[serde(default)]
    seconds: Seconds,
    #[serde(default)]
    margins: Margins,
    #[serde(default)]
    odds: Odds,
}

fn one() -> usize {
    1
}

fn stages() -> Vec<String> {
    ["1 node", "1 of each site", "25%", "50%", "100%"].map(String::from).to_vec()
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Seconds {
    settle: f64,
    watch: f64,
    longest: f64,
    word: f64,
    silent: f64,
    command: f64,
}

impl Default for Seconds {
    fn default() -> Seconds {
        Seconds { settle: 5.0, watch: 30.0, longest: 600.0, word: 30.0, silent: 5.0, command: 30.0 }
    }
}

fn reach(text: &str) -> Option<Reach> {
    let words: Vec<&str> = text.split_whitespace().collect();
    match words[..] {
        [count, "node" | "nodes"] => count.parse().ok().filter(|n| *n > 0).map(Reach::Nodes),
        [count, "of", "each", "site"] => count.parse().ok().filter(|n| *n > 0).map(Reach::EachSite),
        [share] => {
            let share: f64 = share.strip_suffix('%')?.parse().ok()?;
            (share > 0.0 && share <= 100.0).then_some(Reach::Share(share / 100.0))
        }
        _ => None,
    }
}

impl Plan {
    /// Reads and checks it; an error names the line or the key.
    pub fn from_toml(text: &str) -> Result<Plan, String> {
        let file: File = toml::from_str(text).map_err(|error| {
            let line = error.span().map_or(0, |at| text[..at.start].matches('\n').count() + 1);
            format!("line {line}: {}", error.message().lines().next().unwrap_or_default())
        })?;
        let read = |(i, text): (usize, &String)| {
            let bad = || format!("stages[{i}]: not \"2 nodes\", \"1 of each site\" or \"25%\": {text:?}");
            reach(text).ok_or_else(bad)
        };
        let stages: Vec<Reach> = file.stages.iter().enumerate().map(read).collect::<Result<_, _>>()?;
        if stages.last() != Some(&Reach::Share(1.0)) {
            return Err("stages: the last one has to be \"100%\"".to_owned());
        }
        if file.nodes.is_empty() {
            return Err("nodes: there is none".to_owned());
        }
        let mut known = BTreeSet::new();
        for (i, node) in file.nodes.iter().enumerate() {
            let addresses = [Some(node.admin), node.other_admin].into_iter().flatten();
            let new = addresses.map(|at| at.to_string()).all(|at| known.insert(at));
            if !new || !known.insert(node.name.clone()) {
                return Err(format!("nodes[{i}]: {} or its address stands there twice", node.name));
            }
            if matches!(file.change, Change::Program(_)) && node.other_admin.is_none() {
                return Err(format!("nodes[{i}].other_admin is missing: where the new process is called"));
            }
        }
        if let Change::Program(program) = &file.change {
            let commands = [
                ("start", &program.start),
                ("words", &program.words),
                ("start_former", &program.start_former),
                ("end", &program.end),
            ];
            if let Some((key, _)) = commands.iter().find(|(_, command)| command.is_empty()) {
                return Err(format!("change.program.{key} is empty"));
            }
            if program.build == program.former {
                return Err("change.program: build and former are the same".to_owned());
            }
        }
        let s = &file.seconds;
        let ranges = [
            ("seconds.settle", s.settle, 0.0, 3600.0),
            ("seconds.watch", s.watch, 1.0, 86_400.0),
            ("seconds.longest", s.longest, s.watch, 86_400.0),
            ("seconds.word", s.word, 1.0, 600.0),
            ("seconds.silent", s.silent, 0.5, 600.0),
            ("seconds.command", s.command, 0.5, 3600.0),
            ("most_out", file.most_out as f64, 1.0, file.nodes.len() as f64),
            ("odds.stop", file.odds.stop, 1e-6, 0.2),
            ("odds.pass", file.odds.pass, 1e-6, 0.5),
            ("margins.payoff", file.margins.payoff, 1e-4, 1.0),
            ("margins.profile", file.margins.profile, 1e-4, 1.0),
            ("margins.errored", file.margins.errored, 1e-4, 1.0),
            ("margins.turned_back", file.margins.turned_back, 1e-4, 1.0),
            ("margins.extra", file.margins.extra, 1e-4, 8.0),
            ("margins.slow", file.margins.slow, 1e-3, 1.0),
            ("margins.memory_mb", file.margins.memory_mb, 1.0, 1e6),
            ("margins.descriptors", file.margins.descriptors, 1.0, 1e6),
        ];
        for (key, value, least, most) in ranges {
            if !(least..=most).contains(&value) {
                return Err(format!("{key} has to be from {least} to {most}, and is {value}"));
            }
        }
        let span = |seconds: f64| Micros((seconds * 1e6) as u64);
        let (settle, watch, longest) = (span(s.settle), span(s.watch), span(s.longest));
        let (word, silent, command) = (span(s.word), span(s.silent), span(s.command));
        Ok(Plan {
            name: file.name,
            folder: file.folder,
            nodes: file.nodes,
            change: file.change,
            loosening: file.loosening,
            stages,
            one_site_at_a_time: file.one_site_at_a_time,
            most_out: file.most_out,
            times: Times { settle, watch, longest, word, silent, command },
            margins: file.margins,
            odds: file.odds,
        })
    }

    pub fn ids(&self) -> impl Iterator<Item = NodeId> {
        (0..self.nodes.len()).map(NodeId)
    }

    pub fn node(&self, id: NodeId) -> &Node {
        &self.nodes[id.0]
    }

    /// The nodes of each site, in the plan's order, the largest site first.
    fn sites(&self) -> Vec<(String, Vec<NodeId>)> {
        let mut sites: BTreeMap<&str, Vec<NodeId>> = BTreeMap::new();
        self.ids().for_each(|id| sites.entry(&self.node(id).site).or_default().push(id));
        let mut sites: Vec<_> = sites.into_iter().map(|(site, ids)| (site.to_owned(), ids)).collect();
        sites.sort_by_key(|(_, ids)| std::cmp::Reverse(ids.len()));
        sites
    }

    /// What each stage adds, in the order of changing. None is empty, no node is in two, and all are in one.
    pub fn staged(&self) -> Vec<Vec<NodeId>> {
        let sites = self.sites();
        let groups: Vec<Vec<&Vec<NodeId>>> = match self.one_site_at_a_time {
            true => sites.iter().map(|(_, ids)| vec![ids]).collect(),
            false => vec![sites.iter().map(|(_, ids)| ids).collect()],
        };
        let (mut stages, mut done) = (Vec::new(), BTreeSet::new());
        for group in groups {
            for reach in &self.stages {
                // Below the whole one node of each site stays as it is: there has to be something to compare with.
                let most = |ids: &&Vec<NodeId>, wanted: usize| wanted.clamp(1, (ids.len() - 1).max(1));
                let first: Vec<NodeId> = match *reach {
                    Reach::Nodes(count) => {
                        let some = group.iter().flat_map(|ids| ids[..most(ids, count)].iter());
                        some.take(count).copied().collect()
                    }
                    Reach::EachSite(count) => {
                        group.iter().flat_map(|ids| ids[..most(ids, count)].iter()).copied().collect()
                    }
                    Reach::Share(share) if share >= 1.0 => group.iter().copied().flatten().copied().collect(),
                    Reach::Share(share) => {
                        let wanted = |ids: &Vec<NodeId>| (ids.len() as f64 * share).round() as usize;
                        group.iter().flat_map(|ids| ids[..most(ids, wanted(ids))].iter()).copied().collect()
                    }
                };
                let stage: Vec<NodeId> = first.into_iter().filter(|id| done.insert(*id)).collect();
                if !stage.is_empty() {
                    stages.push(stage);
                }
            }
        }
        stages
    }
}
