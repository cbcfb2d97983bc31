//! Measures how well clients were served (payoff finished within the goal time, divided by the payoff asked for), and
//! the launches, probes and work that it took.

use crate::judge::observation::{CommandOutcome, FinalAnswer, Observation};
use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use std::collections::HashMap;
use yarrowfront::times::Timestamp;

/// Totals of one second of the scenario. Payoff counts in the second in which its command was due.
#[derive(Clone, Debug, Default)]
pub struct Second {
    /// Payoff asked for.
    pub asked: f64,
    /// Payoff of the commands that finished within their goal time.
    pub served: f64,
    pub commands: u64,
    /// Attempts that were rejected.
    pub rejected: u64,
    pub launches: u64,
}

/// Counts of the commands of one profile that were due after the settle time.
pub struct ProfileCounts {
    /// The goal time in microseconds.
    pub goal_us: f64,
    pub payoff: f64,
    pub asked: u64,
    pub in_time: u64,
    pub finished: u64,
    pub rejected: u64,
    pub errored: u64,
    pub lost: u64,
    pub left: u64,
    pub timed_out: u64,
    /// Time from when a command was due to its finished answer, in microseconds.
    pub latency_us: Histogram<u64>,
}

/// A command that has not ended yet.
struct PendingCommand {
    due: Timestamp,
    /// Whether it was due after the settle time.
    is_counted: bool,
    /// Work in microseconds on a core of speed one; 0 until a backend has started it.
    work_us: f64,
    /// The node that received it last.
    node: Option<usize>,
}

/// Counts what the commands of a play came to.
pub struct ServiceJudge {
    origin: Timestamp,
    /// Commands that are due before this are played but not counted in the profiles.
    settled_at: Timestamp,
    length_s: usize,
    /// By command.
    pending_commands: HashMap<u64, PendingCommand>,
    pub profiles: Vec<ProfileCounts>,
    pub seconds: Vec<Second>,
    pub launches: u64,
    pub probes: u64,
    /// Attempts that nodes received, and those of them that they rejected.
    pub attempts: u64,
    pub rejected: u64,
    /// Work that backends started, in microseconds on a core of speed one, and the part of it whose command finished.
    pub work_us: f64,
    pub useful_work_us: f64,
    /// Payoff asked for and payoff finished within the goal time, by the site of the node that received a command last.
    pub sites: Vec<(f64, f64)>,
    /// Launches by backend and second.
    pub launches_by_backend: Vec<Vec<u64>>,
}

/// Latencies from a microsecond to an hour: milliseconds would be too coarse for a short wait, and no command waits an
/// hour.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("the bounds are valid")
}

impl ServiceJudge {
    pub fn new(scenario: &Scenario, origin: Timestamp, backends: usize) -> ServiceJudge {
        let profile = |p: &crate::scenario::Profile| ProfileCounts {
            goal_us: p.goal.micros(),
            payoff: p.payoff,
            asked: 0,
            in_time: 0,
            finished: 0,
            rejected: 0,
            errored: 0,
            lost: 0,
            left: 0,
            timed_out: 0,
            latency_us: histogram(),
        };
        let length_s = scenario.length.0.div_ceil(1_000_000) as usize;
        ServiceJudge {
            origin,
            settled_at: origin + scenario.settle.span(),
            length_s,
            pending_commands: HashMap::new(),
            profiles: scenario.profiles.iter().map(profile).collect(),
            seconds: vec![Second::default(); length_s],
            launches: 0,
            probes: 0,
            attempts: 0,
            rejected: 0,
            work_us: 0.0,
            useful_work_us: 0.0,
            sites: vec![(0.0, 0.0); usize::from(scenario.zones)],
            launches_by_backend: vec![vec![0; length_s]; backends],
        }
    }

    fn second_index(&self, at: Timestamp) -> usize {
        ((at.since(self.origin).0 / 1_000_000) as usize).min(self.length_s - 1)
    }

    pub fn observe(&mut self, observation: &Observation) {
        match *observation {
            Observation::CommandDue { command, profile, at } => {
                let is_counted = at >= self.settled_at;
                self.pending_commands
                    .insert(command, PendingCommand { due: at, is_counted, work_us: 0.0, node: None });
                let (second, p) = (self.second_index(at), &mut self.profiles[usize::from(profile)]);
                self.seconds[second].asked += p.payoff;
                self.seconds[second].commands += 1;
                p.asked += u64::from(is_counted);
            }
            Observation::AttemptReceived { command, node, .. } => {
                self.attempts += 1;
                if let Some(pending) = self.pending_commands.get_mut(&command) {
                    pending.node = Some(node);
                }
            }
            Observation::Answered { answer: FinalAnswer::Rejected, at, .. } => {
                self.rejected += 1;
                let second = self.second_index(at);
                self.seconds[second].rejected += 1;
            }
            Observation::LaunchStarted { backend, at, .. } => {
                self.launches += 1;
                let second = self.second_index(at);
                self.seconds[second].launches += 1;
                if self.launches_by_backend.len() <= backend {
                    self.launches_by_backend.resize(backend + 1, vec![0; self.length_s]);
                }
                self.launches_by_backend[backend][second] += 1;
            }
            Observation::WorkStarted { command, work, .. } => {
                self.work_us += work;
                if let Some(pending) = self.pending_commands.get_mut(&command) {
                    pending.work_us = work;
                }
            }
            Observation::ProbeReceived => self.probes += 1,
            Observation::CommandSettled { command, profile, at, outcome } => {
                let Some(pending) = self.pending_commands.remove(&command) else { return };
                let second = self.second_index(pending.due);
                let p = &mut self.profiles[usize::from(profile)];
                let latency = at.since(pending.due);
                if outcome == CommandOutcome::Finished {
                    self.useful_work_us += pending.work_us;
                    if latency.as_f64() <= p.goal_us {
                        self.seconds[second].served += p.payoff;
                    }
                }
                if !pending.is_counted {
                    return;
                }
                if let Some(node) = pending.node {
                    let site_index = node % self.sites.len();
                    let site = &mut self.sites[site_index];
                    site.0 += p.payoff;
                    site.1 += if outcome == CommandOutcome::Finished && latency.as_f64() <= p.goal_us {
                        p.payoff
                    } else {
                        0.0
                    };
                }
                match outcome {
                    CommandOutcome::Finished => {
                        p.finished += 1;
                        p.in_time += u64::from(latency.as_f64() <= p.goal_us);
                        p.latency_us.saturating_record(latency.0.max(1));
                    }
                    CommandOutcome::Rejected => p.rejected += 1,
                    CommandOutcome::Errored => p.errored += 1,
                    CommandOutcome::Lost => p.lost += 1,
                    CommandOutcome::TimedOut => p.timed_out += 1,
                    CommandOutcome::ClientLeft => p.left += 1,
                }
            }
            _ => {}
        }
    }

    /// Payoff finished within the goal time, divided by the payoff asked for; 1 if nothing was asked for.
    pub fn service_ratio(&self) -> f64 {
        let asked: f64 = self.profiles.iter().map(|p| p.payoff * p.asked as f64).sum();
        let served: f64 = self.profiles.iter().map(|p| p.payoff * p.in_time as f64).sum();
        if asked > 0.0 {
            served / asked
        } else {
            1.0
        }
    }

    /// The lowest service ratio of any window of this many consecutive seconds.
    pub fn worst_window(&self, seconds: usize) -> f64 {
        let from = (self.settled_at.since(self.origin).0 / 1_000_000) as usize;
        let is_counted = &self.seconds[from.min(self.seconds.len())..];
        let ratio = |window: &[Second]| {
            let asked: f64 = window.iter().map(|s| s.asked).sum();
            if asked > 0.0 {
                window.iter().map(|s| s.served).sum::<f64>() / asked
            } else {
                1.0
            }
        };
        is_counted.windows(seconds.min(is_counted.len()).max(1)).map(ratio).fold(1.0, f64::min)
    }
}
