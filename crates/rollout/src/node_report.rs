//! What a node reports about itself, as returned by `GET /counts`.

use serde::Deserialize;
use std::collections::BTreeMap;

/// Counts of one profile in one second at one node, or the sum of several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct CommandCounts {
    /// Commands accepted.
    #[serde(rename = "taken")]
    pub accepted: u32,
    /// Commands served within the goal time, and those served later.
    #[serde(rename = "in_goal")]
    pub within_goal: u32,
    pub late: u32,
    #[serde(rename = "turned_back")]
    pub rejected: u32,
    /// Commands that ended in an error and may have run.
    pub errored: u32,
    /// Commands whose client left before the answer.
    #[serde(rename = "left")]
    pub abandoned: u32,
    /// The payoff of all commands, and of those served within the goal time.
    #[serde(rename = "asked")]
    pub payoff_requested: f64,
    #[serde(rename = "served")]
    pub payoff_served: f64,
    pub launches: u32,
    /// Launches beyond the first of a command.
    #[serde(rename = "extra")]
    pub extra_launches: u32,
    /// Launches of a command that may run only once, after one that may have run.
    #[serde(rename = "twice")]
    pub double_runs: u32,
}

impl CommandCounts {
    pub fn add(&mut self, other: &CommandCounts) {
        self.accepted += other.accepted;
        self.within_goal += other.within_goal;
        self.late += other.late;
        self.rejected += other.rejected;
        self.errored += other.errored;
        self.abandoned += other.abandoned;
        (self.payoff_requested, self.payoff_served) =
            (self.payoff_requested + other.payoff_requested, self.payoff_served + other.payoff_served);
        self.launches += other.launches;
        self.extra_launches += other.extra_launches;
        self.double_runs += other.double_runs;
    }

    /// Commands that ended at this node.
    pub fn ended(&self) -> u32 {
        self.within_goal + self.late + self.rejected + self.errored
    }
}

/// The counts of one whole second.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct SecondReport {
    /// The second, in Unix time.
    #[serde(rename = "at")]
    pub unix_second: u64,
    #[serde(default)]
    pub profiles: BTreeMap<String, CommandCounts>,
    /// The latency histogram of finished commands: the lower bound of each bucket in microseconds, and its count.
    #[serde(rename = "times", default)]
    pub latencies: Vec<(u64, u32)>,
}

#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct OnTrial {
    /// The digest of the settings to which the node reverts.
    pub former: String,
}

/// The answer of a node.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct NodeReport {
    pub name: String,
    pub build: String,
    /// The versions of the protocols that the node speaks with other processes.
    #[serde(rename = "words", default)]
    pub protocol_versions: String,
    pub state: String,
    /// The digest of the node's settings.
    #[serde(rename = "settings")]
    pub settings_digest: String,
    /// The generation of the process (its start time), and its process id.
    #[serde(rename = "life")]
    pub generation: u64,
    #[serde(default)]
    pub pid: u32,
    pub trial: Option<OnTrial>,
    #[serde(default)]
    pub term: u64,
    #[serde(default)]
    pub leader: String,
    #[serde(default)]
    pub memory_kb: u64,
    #[serde(default)]
    pub descriptors: u64,
    /// The seconds that were not reported before.
    #[serde(default)]
    pub seconds: Vec<SecondReport>,
}

impl NodeReport {
    pub fn is_serving(&self) -> bool {
        self.state == "serving"
    }
}

/// The outcome of polling a node.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum PollOutcome {
    /// No answer this time: the node may be stopped or unreachable.
    #[default]
    Silent,
    /// The connection was refused: the process is gone.
    Gone,
    Report(Box<NodeReport>),
}

impl PollOutcome {
    pub fn report(&self) -> Option<&NodeReport> {
        match self {
            PollOutcome::Report(report) => Some(report),
            _ => None,
        }
    }
}
