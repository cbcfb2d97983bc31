//! Judges the nodes' views of the membership against the faults that were applied: no node calls a member dead that it
//! could reach, the nodes' shares of the load add up to one at most, views never go back to an older state of a member,
//! and all nodes agree on the true membership some time after the last fault.

use crate::scenario::Scenario;
use links::schedule::Fault;
use std::collections::{BTreeMap, BTreeSet};
use yarrowfront::times::{Micros, Timestamp};

/// A member may be called dead if it was unreachable at some time within this span, which covers the time that a suspicion
/// takes and the time that the news of it takes to spread.
const UNREACHABLE_WITHIN: Micros = Micros::from_millis(6000);
/// A link that loses more than this percentage of its datagrams counts as blocked.
const MAX_LOSS_PERCENT: u8 = 20;
/// Tolerance for the rounding of the sum of the nodes' shares, each of which is one divided by a whole number.
const SHARE_SUM_TOLERANCE: f64 = 1e-6;

/// What a node reports at its admin address.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetReport {
    /// Members that it considers alive or suspected, itself among them.
    pub present: BTreeSet<String>,
    /// Members that it considers dead, with the generation in which they died.
    pub dead: BTreeMap<String, u64>,
    /// Generation and incarnation of each member that it knows.
    pub versions: BTreeMap<String, (u64, u64)>,
    /// It takes one part in this many of what all nodes share.
    pub share_divisor: u64,
    /// Its own generation, which grows with each start of its process.
    pub generation: u64,
}

impl FleetReport {
    /// Reads the JSON of `GET /fleet`; `None` if it is not of that form.
    pub fn from_json(json: &serde_json::Value) -> Option<FleetReport> {
        let (name, generation) = (json["name"].as_str()?.to_owned(), json["life"].as_u64()?);
        let mut report = FleetReport {
            generation,
            share_divisor: json["portion"]["nodes"].as_u64().unwrap_or(u64::MAX),
            ..FleetReport::default()
        };
        report.present.insert(name);
        for member in json["members"].as_array()? {
            let (name, generation) = (member["name"].as_str()?.to_owned(), member["life"].as_u64()?);
            report.versions.insert(name.clone(), (generation, member["edition"].as_u64()?));
            match member["standing"].as_str()? {
                "alive" | "suspected" => drop(report.present.insert(name)),
                "dead" => drop(report.dead.insert(name, generation)),
                _ => {}
            }
        }
        Some(report)
    }
}

/// The number of violations of each kind, and when each happened with its description.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ViewViolations {
    /// Members called dead that could be reached.
    pub deaths: u64,
    /// Times at which the nodes' shares added up to more than one.
    pub portions: u64,
    /// Views that went back, or that did not agree in time.
    pub views: u64,
    pub cases: Vec<(Timestamp, String)>,
}

/// Judges the views of the nodes of a play.
pub struct ViewJudge {
    origin: Timestamp,
    /// Within this time after the last fault all nodes have to agree; `None` if the nodes keep no view.
    agreement_limit: Option<Micros>,
    node_count: usize,
    /// Nodes whose process runs.
    up: BTreeSet<usize>,
    /// Nodes whose process is paused.
    paused: BTreeSet<usize>,
    /// Directions of links between nodes on which nothing, or too little, passes.
    blocked: BTreeSet<(usize, usize)>,
    /// Since when two nodes have been in the same partition of the fleet without a break.
    connected_since: BTreeMap<(usize, usize), Timestamp>,
    last_fault_at: Timestamp,
    /// When all nodes agreed after the last fault.
    agreed_at: Option<Timestamp>,
    /// The last report of each node.
    last_reports: BTreeMap<usize, FleetReport>,
    /// Deaths already judged: the reporting node, the member, and the generation in which it died.
    judged_deaths: BTreeSet<(usize, String, u64)>,
    pub violations: ViewViolations,
}

fn node_index(name: &str) -> Option<usize> {
    name.strip_prefix('n')?.parse().ok()
}

fn node_name(node: usize) -> String {
    format!("n{node}")
}

impl ViewJudge {
    pub fn new(scenario: &Scenario, origin: Timestamp) -> ViewJudge {
        let nodes = scenario.nodes as usize;
        let mut views = ViewJudge {
            origin,
            agreement_limit: scenario.view.as_ref().map(|view| view.agree.span()),
            node_count: nodes,
            up: (0..nodes).collect(),
            paused: BTreeSet::new(),
            blocked: BTreeSet::new(),
            connected_since: BTreeMap::new(),
            last_fault_at: origin,
            agreed_at: None,
            last_reports: BTreeMap::new(),
            judged_deaths: BTreeSet::new(),
            violations: ViewViolations::default(),
        };
        // All nodes are up and have been connected since long before the play.
        views.update_partitions(Timestamp(0));
        views
    }

    fn block(&mut self, from: usize, to: usize) {
        self.blocked.insert((from, to));
    }

    /// Takes note of a fault that was applied to nodes or to the links between them.
    pub fn observe_fault(&mut self, at: Timestamp, fault: &Fault) {
        match fault {
            Fault::Partition(some) => {
                let side: BTreeSet<usize> = some.iter().filter_map(|name| node_index(name)).collect();
                let others: Vec<usize> = (0..self.node_count).filter(|other| !side.contains(other)).collect();
                for one in side {
                    others.iter().for_each(|other| {
                        self.block(one, *other);
                        self.block(*other, one);
                    });
                }
            }
            Fault::BlockOneWay(from, to) => {
                if let (Some(from), Some(to)) = (node_index(from), node_index(to)) {
                    self.block(from, to);
                }
            }
            Fault::Loss(one, part) => {
                if let Some(one) = node_index(one).filter(|_| *part > MAX_LOSS_PERCENT) {
                    (0..self.node_count).for_each(|other| self.block(one, other));
                }
            }
            Fault::Latency(_, _) => {}
            Fault::Heal => self.blocked.clear(),
            Fault::Kill(one) | Fault::Terminate(one) => drop(node_index(one).map(|one| self.up.remove(&one))),
            Fault::Pause(one) => drop(node_index(one).map(|one| self.paused.insert(one))),
            Fault::Resume(one) => drop(node_index(one).map(|one| self.paused.remove(&one))),
            Fault::Start(one) => drop(node_index(one).map(|one| self.up.insert(one))),
        }
        (self.last_fault_at, self.agreed_at) = (at, None);
        self.update_partitions(at);
    }

    /// Updates which nodes are connected: two nodes are if a chain of nodes leads from one to the other whose links pass
    /// traffic in both directions.
    fn update_partitions(&mut self, at: Timestamp) {
        let running: Vec<usize> = self.up.difference(&self.paused).copied().collect();
        let passes = |a: usize, b: usize| !self.blocked.contains(&(a, b)) && !self.blocked.contains(&(b, a));
        let mut partition: BTreeMap<usize, usize> = running.iter().map(|node| (*node, *node)).collect();
        for _ in 0..running.len() {
            for a in &running {
                for b in &running {
                    if passes(*a, *b) {
                        let lowest = partition[a].min(partition[b]);
                        partition.insert(*a, lowest);
                        partition.insert(*b, lowest);
                    }
                }
            }
        }
        for a in 0..self.node_count {
            for b in 0..self.node_count {
                match partition.get(&a).is_some_and(|own| Some(own) == partition.get(&b)) {
                    true => drop(self.connected_since.entry((a, b)).or_insert(at)),
                    false => drop(self.connected_since.remove(&(a, b))),
                }
            }
        }
    }

    /// Records the description of a violation. The texts are stored in result files, so that they do not change.
    fn record_case(&mut self, at: Timestamp, text: String) {
        self.violations.cases.push((at, text));
    }

    /// Checks the reports that nodes gave at about the same time. Nodes that did not answer are missing.
    pub fn observe_reports(&mut self, at: Timestamp, reports: &BTreeMap<usize, FleetReport>) {
        for (by, view) in reports {
            self.check_deaths(at, *by, view);
            self.check_no_regression(at, *by, view);
        }
        let sum: f64 = reports.values().map(|view| 1.0 / view.share_divisor.max(1) as f64).sum();
        if sum > 1.0 + SHARE_SUM_TOLERANCE {
            self.violations.portions += 1;
            let shares: Vec<String> =
                reports.iter().map(|(by, view)| format!("n{by} 1/{}", view.share_divisor)).collect();
            self.record_case(at, format!("portions come to {sum:.3}: {}", shares.join(", ")));
        }
        let truth: BTreeSet<String> = self.up.iter().map(|node| node_name(*node)).collect();
        let agrees = |node: &usize| reports.get(node).is_some_and(|view| view.present == truth);
        if self.agreed_at.is_none() && self.paused.is_empty() && self.up.iter().all(agrees) {
            self.agreed_at = Some(at);
        }
        self.last_reports.extend(reports.iter().map(|(by, view)| (*by, view.clone())));
    }

    fn check_deaths(&mut self, at: Timestamp, by: usize, view: &FleetReport) {
        for (member, generation) in &view.dead {
            let Some(other) = node_index(member).filter(|other| *other < self.node_count) else { continue };
            if !self.judged_deaths.insert((by, member.clone(), *generation)) {
                continue;
            }
            let since = self.connected_since.get(&(by, other));
            if since.is_some_and(|since| at.since(*since) >= UNREACHABLE_WITHIN) {
                self.violations.deaths += 1;
                self.record_case(at, format!("n{by} calls {member} dead, which it could reach"));
            }
        }
    }

    fn check_no_regression(&mut self, at: Timestamp, by: usize, view: &FleetReport) {
        let Some(before) = self.last_reports.get(&by).filter(|before| before.generation == view.generation)
        else {
            return;
        };
        let regressed = |(member, now): (&String, &(u64, u64))| {
            before.versions.get(member).filter(|then| *then > now).map(|then| (member.clone(), *then, *now))
        };
        if let Some((member, then, now)) = view.versions.iter().find_map(regressed) {
            self.violations.views += 1;
            self.record_case(at, format!("n{by} goes back with {member}, from {then:?} to {now:?}"));
        }
    }

    /// Ends the play, and checks whether all nodes agreed in time.
    pub fn finish(&mut self, at: Timestamp) {
        let Some(limit) = self.agreement_limit else { return };
        let due = self.last_fault_at + limit;
        let late = match self.agreed_at {
            Some(agreed) => agreed > due,
            None => at >= due,
        };
        if late {
            self.violations.views += 1;
            let seconds = self.agreed_at.unwrap_or(at).since(self.last_fault_at).as_f64() / 1e6;
            let views: Vec<String> =
                self.last_reports.iter().map(|(by, view)| format!("n{by}: {:?}", view.present)).collect();
            self.record_case(
                at,
                format!("no agreement {seconds:.1} s after the last fault: {}", views.join("; ")),
            );
        }
    }

    /// How many seconds after the last fault all nodes agreed, if they did.
    pub fn agreement_seconds(&self) -> Option<f64> {
        self.agreed_at.map(|at| at.since(self.last_fault_at.max(self.origin)).as_f64() / 1e6)
    }
}
