//! What nodes say of each other, against what was done to them: nobody is called dead who could be reached, portions come
//! to one at most, views go forward only, and some time after the last fault all hold what is so.

use crate::scenario::Scenario;
use links::schedule::Fault;
use std::collections::{BTreeMap, BTreeSet};
use yarrowfront::times::{Micros, Timestamp};

/// Who is called dead has to have been out of reach within so long: a suspicion takes that, and news its way.
const LATELY: Micros = Micros::from_millis(6000);
/// Of a hundred datagrams, more than this lost is no way to judge by.
const LOSSY: u8 = 20;
/// Portions are told in whole parts, each rounded its way.
const ROUNDED: f64 = 1e-6;

/// What a node tells at its second address.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetReport {
    /// Whom it holds to be here, itself among them; and dead, in which life.
    pub here: BTreeSet<String>,
    pub dead: BTreeMap<String, u64>,
    /// Life and edition of each that it knows.
    pub lives: BTreeMap<String, (u64, u64)>,
    /// As one of so many it takes of what all share; its own life.
    pub of: u64,
    pub life: u64,
}

impl FleetReport {
    /// From the JSON of `GET /fleet`; none where that is something else.
    pub fn from_json(json: &serde_json::Value) -> Option<FleetReport> {
        let (name, life) = (json["name"].as_str()?.to_owned(), json["life"].as_u64()?);
        let mut told = FleetReport {
            life,
            of: json["portion"]["nodes"].as_u64().unwrap_or(u64::MAX),
            ..FleetReport::default()
        };
        told.here.insert(name);
        for member in json["members"].as_array()? {
            let (name, life) = (member["name"].as_str()?.to_owned(), member["life"].as_u64()?);
            told.lives.insert(name.clone(), (life, member["edition"].as_u64()?));
            match member["standing"].as_str()? {
                "alive" | "suspected" => drop(told.here.insert(name)),
                "dead" => drop(told.dead.insert(name, life)),
                _ => {}
            }
        }
        Some(told)
    }
}

/// What broke: how often, and in words when and what.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Found {
    pub deaths: u64,
    pub portions: u64,
    pub views: u64,
    pub cases: Vec<(Timestamp, String)>,
}

pub struct ViewJudge {
    origin: Timestamp,
    agree: Option<Micros>,
    nodes: usize,
    up: BTreeSet<usize>,
    stopped: BTreeSet<usize>,
    /// Ways between nodes on which nothing, or too little, passes.
    closed: BTreeSet<(usize, usize)>,
    /// Since when each two nodes are of one part of the fleet, without a break.
    together: BTreeMap<(usize, usize), Timestamp>,
    last_fault: Timestamp,
    agreed: Option<Timestamp>,
    last: BTreeMap<usize, FleetReport>,
    blamed: BTreeSet<(usize, String, u64)>,
    pub found: Found,
}

fn node(name: &str) -> Option<usize> {
    name.strip_prefix('n')?.parse().ok()
}

fn name(node: usize) -> String {
    format!("n{node}")
}

impl ViewJudge {
    pub fn new(scenario: &Scenario, origin: Timestamp) -> ViewJudge {
        let nodes = scenario.nodes as usize;
        let mut views = ViewJudge {
            origin,
            agree: scenario.view.as_ref().map(|view| view.agree.span()),
            nodes,
            up: (0..nodes).collect(),
            stopped: BTreeSet::new(),
            closed: BTreeSet::new(),
            together: BTreeMap::new(),
            last_fault: origin,
            agreed: None,
            last: BTreeMap::new(),
            blamed: BTreeSet::new(),
            found: Found::default(),
        };
        // From long before the play: all are up and have found each other.
        views.parts(Timestamp(0));
        views
    }

    fn close(&mut self, one: usize, other: usize) {
        self.closed.insert((one, other));
    }

    /// What is done to nodes and to the ways between them.
    pub fn observe_fault(&mut self, at: Timestamp, fault: &Fault) {
        match fault {
            Fault::Partition(some) => {
                let some: BTreeSet<usize> = some.iter().filter_map(|name| node(name)).collect();
                let others: Vec<usize> = (0..self.nodes).filter(|other| !some.contains(other)).collect();
                for one in some {
                    others.iter().for_each(|other| {
                        self.close(one, *other);
                        self.close(*other, one);
                    });
                }
            }
            Fault::BlockOneWay(from, to) => {
                if let (Some(from), Some(to)) = (node(from), node(to)) {
                    self.close(from, to);
                }
            }
            Fault::Loss(one, part) => {
                if let Some(one) = node(one).filter(|_| *part > LOSSY) {
                    (0..self.nodes).for_each(|other| self.close(one, other));
                }
            }
            Fault::Latency(_, _) => {}
            Fault::Heal => self.closed.clear(),
            Fault::Kill(one) | Fault::Terminate(one) => drop(node(one).map(|one| self.up.remove(&one))),
            Fault::Pause(one) => drop(node(one).map(|one| self.stopped.insert(one))),
            Fault::Resume(one) => drop(node(one).map(|one| self.stopped.remove(&one))),
            Fault::Start(one) => drop(node(one).map(|one| self.up.insert(one))),
        }
        (self.last_fault, self.agreed) = (at, None);
        self.parts(at);
    }

    /// Two are together where a chain of nodes reaches from one to the other, both ways at each step.
    fn parts(&mut self, at: Timestamp) {
        let well: Vec<usize> = self.up.difference(&self.stopped).copied().collect();
        let open = |a: usize, b: usize| !self.closed.contains(&(a, b)) && !self.closed.contains(&(b, a));
        let mut part: BTreeMap<usize, usize> = well.iter().map(|node| (*node, *node)).collect();
        for _ in 0..well.len() {
            for a in &well {
                for b in &well {
                    if open(*a, *b) {
                        let least = part[a].min(part[b]);
                        part.insert(*a, least);
                        part.insert(*b, least);
                    }
                }
            }
        }
        for a in 0..self.nodes {
            for b in 0..self.nodes {
                match part.get(&a).is_some_and(|of| Some(of) == part.get(&b)) {
                    true => drop(self.together.entry((a, b)).or_insert(at)),
                    false => drop(self.together.remove(&(a, b))),
                }
            }
        }
    }

    fn case(&mut self, at: Timestamp, text: String) {
        self.found.cases.push((at, text));
    }

    /// What all nodes told at about the same time; nothing of those that did not answer.
    pub fn observe_reports(&mut self, at: Timestamp, told: &BTreeMap<usize, FleetReport>) {
        for (by, view) in told {
            self.dead(at, *by, view);
            self.forward(at, *by, view);
        }
        let sum: f64 = told.values().map(|view| 1.0 / view.of.max(1) as f64).sum();
        if sum > 1.0 + ROUNDED {
            self.found.portions += 1;
            let parts: Vec<String> = told.iter().map(|(by, view)| format!("n{by} 1/{}", view.of)).collect();
            self.case(at, format!("portions come to {sum:.3}: {}", parts.join(", ")));
        }
        let truth: BTreeSet<String> = self.up.iter().map(|node| name(*node)).collect();
        let all = |node: &usize| told.get(node).is_some_and(|view| view.here == truth);
        if self.agreed.is_none() && self.stopped.is_empty() && self.up.iter().all(all) {
            self.agreed = Some(at);
        }
        self.last.extend(told.iter().map(|(by, view)| (*by, view.clone())));
    }

    fn dead(&mut self, at: Timestamp, by: usize, view: &FleetReport) {
        for (whom, life) in &view.dead {
            let Some(other) = node(whom).filter(|other| *other < self.nodes) else { continue };
            if !self.blamed.insert((by, whom.clone(), *life)) {
                continue;
            }
            let since = self.together.get(&(by, other));
            if since.is_some_and(|since| at.since(*since) >= LATELY) {
                self.found.deaths += 1;
                self.case(at, format!("n{by} calls {whom} dead, which it could reach"));
            }
        }
    }

    fn forward(&mut self, at: Timestamp, by: usize, view: &FleetReport) {
        let Some(before) = self.last.get(&by).filter(|before| before.life == view.life) else { return };
        let back = |(whom, now): (&String, &(u64, u64))| {
            before.lives.get(whom).filter(|then| *then > now).map(|then| (whom.clone(), *then, *now))
        };
        if let Some((whom, then, now)) = view.lives.iter().find_map(back) {
            self.found.views += 1;
            self.case(at, format!("n{by} goes back with {whom}, from {then:?} to {now:?}"));
        }
    }

    /// All is over: whether all came to agree in time.
    pub fn finish(&mut self, at: Timestamp) {
        let Some(most) = self.agree else { return };
        let due = self.last_fault + most;
        let late = match self.agreed {
            Some(agreed) => agreed > due,
            None => at >= due,
        };
        if late {
            self.found.views += 1;
            let seconds = self.agreed.unwrap_or(at).since(self.last_fault).as_f64() / 1e6;
            let held: Vec<String> =
                self.last.iter().map(|(by, view)| format!("n{by}: {:?}", view.here)).collect();
            self.case(at, format!("no agreement {seconds:.1} s after the last fault: {}", held.join("; ")));
        }
    }

    /// When all agreed after the last fault, in seconds.
    pub fn settled(&self) -> Option<f64> {
        self.agreed.map(|at| at.since(self.last_fault.max(self.origin)).as_f64() / 1e6)
    }
}
