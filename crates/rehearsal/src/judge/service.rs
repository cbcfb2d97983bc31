//! How well clients were served: payoff within the goal time over payoff asked for, and what it took.

use crate::judge::observation::{CommandOutcome, FinalAnswer, Observation};
use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use std::collections::HashMap;
use yarrowfront::times::Timestamp;

/// A second of the scenario.
#[derive(Clone, Debug, Default)]
pub struct Second {
    pub asked: f64,
    pub served: f64,
    pub commands: u64,
    pub turned_back: u64,
    pub launches: u64,
}

pub struct Profile {
    pub goal: f64,
    pub payoff: f64,
    pub asked: u64,
    pub in_time: u64,
    pub finished: u64,
    pub turned_back: u64,
    pub errored: u64,
    pub lost: u64,
    pub left: u64,
    pub timed_out: u64,
    /// Microseconds from when a command was due to its finished answer.
    pub took: Histogram<u64>,
}

struct Open {
    due: Timestamp,
    counted: bool,
    work: f64,
    /// The node that took it last.
    node: Option<usize>,
}

pub struct ServiceJudge {
    origin: Timestamp,
    settle: Timestamp,
    length: usize,
    open: HashMap<u64, Open>,
    pub profiles: Vec<Profile>,
    pub seconds: Vec<Second>,
    pub launches: u64,
    pub probes: u64,
    pub taken: u64,
    pub turned_back: u64,
    pub work: f64,
    pub work_used: f64,
    /// Payoff asked and served within the goal time, by the site of the node that had a command last.
    pub sites: Vec<(f64, f64)>,
    /// Launches by backend and ten-second stretch.
    pub by_backend: Vec<Vec<u64>>,
}

/// Milliseconds would be too coarse for a wait, and more than an hour is none.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("bounds that hold")
}

impl ServiceJudge {
    pub fn new(scenario: &Scenario, origin: Timestamp, backends: usize) -> ServiceJudge {
        let profile = |p: &crate::scenario::Profile| Profile {
            goal: p.goal.micros(),
            payoff: p.payoff,
            asked: 0,
            in_time: 0,
            finished: 0,
            turned_back: 0,
            errored: 0,
            lost: 0,
            left: 0,
            timed_out: 0,
            took: histogram(),
        };
        let length = scenario.length.0.div_ceil(1_000_000) as usize;
        ServiceJudge {
            origin,
            settle: origin + scenario.settle.span(),
            length,
            open: HashMap::new(),
            profiles: scenario.profiles.iter().map(profile).collect(),
            seconds: vec![Second::default(); length],
            launches: 0,
            probes: 0,
            taken: 0,
            turned_back: 0,
            work: 0.0,
            work_used: 0.0,
            sites: vec![(0.0, 0.0); usize::from(scenario.zones)],
            by_backend: vec![vec![0; length]; backends],
        }
    }

    fn second(&self, at: Timestamp) -> usize {
        ((at.since(self.origin).0 / 1_000_000) as usize).min(self.length - 1)
    }

    pub fn observe(&mut self, seen: &Observation) {
        match *seen {
            Observation::CommandDue { command, profile, at } => {
                let counted = at >= self.settle;
                self.open.insert(command, Open { due: at, counted, work: 0.0, node: None });
                let (second, p) = (self.second(at), &mut self.profiles[usize::from(profile)]);
                self.seconds[second].asked += p.payoff;
                self.seconds[second].commands += 1;
                p.asked += u64::from(counted);
            }
            Observation::AttemptReceived { command, node, .. } => {
                self.taken += 1;
                if let Some(open) = self.open.get_mut(&command) {
                    open.node = Some(node);
                }
            }
            Observation::Answered { answer: FinalAnswer::Rejected, at, .. } => {
                self.turned_back += 1;
                let second = self.second(at);
                self.seconds[second].turned_back += 1;
            }
            Observation::LaunchStarted { backend, at, .. } => {
                self.launches += 1;
                let second = self.second(at);
                self.seconds[second].launches += 1;
                if self.by_backend.len() <= backend {
                    self.by_backend.resize(backend + 1, vec![0; self.length]);
                }
                self.by_backend[backend][second] += 1;
            }
            Observation::WorkStarted { command, work, .. } => {
                self.work += work;
                if let Some(open) = self.open.get_mut(&command) {
                    open.work = work;
                }
            }
            Observation::ProbeReceived => self.probes += 1,
            Observation::CommandSettled { command, profile, at, outcome } => {
                let Some(open) = self.open.remove(&command) else { return };
                let second = self.second(open.due);
                let p = &mut self.profiles[usize::from(profile)];
                let took = at.since(open.due);
                if outcome == CommandOutcome::Finished {
                    self.work_used += open.work;
                    if took.as_f64() <= p.goal {
                        self.seconds[second].served += p.payoff;
                    }
                }
                if !open.counted {
                    return;
                }
                if let Some(node) = open.node {
                    let place = node % self.sites.len();
                    let site = &mut self.sites[place];
                    site.0 += p.payoff;
                    site.1 += if outcome == CommandOutcome::Finished && took.as_f64() <= p.goal {
                        p.payoff
                    } else {
                        0.0
                    };
                }
                match outcome {
                    CommandOutcome::Finished => {
                        p.finished += 1;
                        p.in_time += u64::from(took.as_f64() <= p.goal);
                        p.took.saturating_record(took.0.max(1));
                    }
                    CommandOutcome::Rejected => p.turned_back += 1,
                    CommandOutcome::Errored => p.errored += 1,
                    CommandOutcome::Lost => p.lost += 1,
                    CommandOutcome::TimedOut => p.timed_out += 1,
                    CommandOutcome::ClientLeft => p.left += 1,
                }
            }
            _ => {}
        }
    }

    /// Payoff within the goal time over payoff asked for; 1 where nothing was asked.
    pub fn figure(&self) -> f64 {
        let asked: f64 = self.profiles.iter().map(|p| p.payoff * p.asked as f64).sum();
        let served: f64 = self.profiles.iter().map(|p| p.payoff * p.in_time as f64).sum();
        if asked > 0.0 {
            served / asked
        } else {
            1.0
        }
    }

    /// The worst stretch of so many seconds, by the same figure.
    pub fn worst(&self, seconds: usize) -> f64 {
        let from = (self.settle.since(self.origin).0 / 1_000_000) as usize;
        let counted = &self.seconds[from.min(self.seconds.len())..];
        let part = |window: &[Second]| {
            let asked: f64 = window.iter().map(|s| s.asked).sum();
            if asked > 0.0 {
                window.iter().map(|s| s.served).sum::<f64>() / asked
            } else {
                1.0
            }
        };
        counted.windows(seconds.min(counted.len()).max(1)).map(part).fold(1.0, f64::min)
    }
}
