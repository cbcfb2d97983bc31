//! The controller's journal: it writes down what it is about to do before it does it, one record per line with a
//! checksum. A truncated last line was never acted upon and is left out. A damaged line before the last one is an error.
//!
//! Later versions read journals of earlier ones, so the names in the file stay as they are.

use serde::{Deserialize, Serialize};

/// What is done to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Applies the new version: settings on trial, or the new program beside the old one.
    #[serde(rename = "change")]
    Apply,
    /// Renews the lease of a trial.
    #[serde(rename = "keep")]
    RenewTrial,
    /// Makes the version on trial permanent.
    Confirm,
    /// Reverts a trial to the former version.
    #[serde(rename = "back")]
    RevertTrial,
    /// Reverts a confirmed change to the former settings, or to the old program.
    #[serde(rename = "return")]
    RevertConfirmed,
}

impl Action {
    /// The action in log lines, after the name of the node.
    pub fn as_str(self) -> &'static str {
        match self {
            Action::Apply => "apply the new version",
            Action::RenewTrial => "renew the trial",
            Action::Confirm => "confirm the new version",
            Action::RevertTrial => "revert the trial",
            Action::RevertConfirmed => "revert to the former version",
        }
    }
}

/// An order of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorOrder {
    /// Changes nothing more until `Resume`.
    Pause,
    /// Continues. A stage without a verdict is watched for another `max_watch`.
    Resume,
    /// Passes the current stage on the operator's responsibility.
    Accept,
    /// Rolls back all nodes.
    Back,
}

/// A record of the journal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum Record {
    /// The first record of a leg: the former and the new version, by settings digest or build, and the plan's name. A
    /// change of settings that loosens a rule has two legs.
    Begin {
        leg: u8,
        plan: String,
        former: String,
        new: String,
    },
    /// A controller leads in this term.
    #[serde(rename = "leads")]
    Leadership {
        term: u64,
        #[serde(rename = "by")]
        leader: String,
    },
    /// A stage begins with these nodes.
    Stage {
        stage: usize,
        nodes: Vec<String>,
    },
    /// An action is about to be done to a node.
    #[serde(rename = "deed")]
    ActionStarted {
        node: String,
        #[serde(rename = "deed")]
        action: Action,
    },
    /// The result of an action, for the report; `error` is empty if it succeeded.
    #[serde(rename = "came")]
    ActionFinished {
        node: String,
        #[serde(rename = "deed")]
        action: Action,
        #[serde(rename = "why")]
        error: Option<String>,
    },
    /// Nothing more is changed for now. With `needs_operator` an operator has to decide how to continue.
    Hold {
        #[serde(rename = "why")]
        reason: String,
        #[serde(rename = "asks")]
        needs_operator: bool,
    },
    /// A hold has ended.
    #[serde(rename = "goes_on")]
    Resumed,
    /// A stage has passed, and on what grounds.
    Passed {
        stage: usize,
        #[serde(rename = "by")]
        grounds: String,
    },
    Ordered {
        order: OperatorOrder,
    },
    /// All nodes are being rolled back.
    #[serde(rename = "back")]
    RollbackStarted {
        #[serde(rename = "why")]
        reason: String,
    },
    /// All stages have passed and the nodes are being confirmed.
    Confirming,
    /// All nodes have the new version for good.
    Done,
    /// All nodes have the former version.
    #[serde(rename = "taken_back")]
    RolledBack,
}

/// Formats a record as a line with its line feed; `at` is in microseconds of Unix time.
pub fn line(at: u64, record: &Record) -> Vec<u8> {
    let json = serde_json::to_string(&(at, record)).unwrap_or_default();
    format!("{:08x} {json}\n", crc32fast::hash(json.as_bytes())).into_bytes()
}

/// Reads all whole records and returns their length in bytes. The file is to be truncated to that length.
pub fn read(bytes: &[u8]) -> Result<(Vec<(u64, Record)>, usize), String> {
    let (mut records, mut valid_len) = (Vec::new(), 0);
    while let Some(end) = bytes[valid_len..].iter().position(|b| *b == b'\n') {
        let line = &bytes[valid_len..valid_len + end];
        match parse(line) {
            Some(record) => records.push(record),
            // A damaged last line that ends in a line feed: only a disk that lies about its writes leaves that.
            None if valid_len + end + 1 == bytes.len() => break,
            None => return Err(format!("record {} is damaged", records.len() + 1)),
        }
        valid_len += end + 1;
    }
    Ok((records, valid_len))
}

fn parse(line: &[u8]) -> Option<(u64, Record)> {
    let (checksum, json) = std::str::from_utf8(line).ok()?.split_once(' ')?;
    let checksum = u32::from_str_radix(checksum, 16).ok()?;
    (crc32fast::hash(json.as_bytes()) == checksum).then(|| serde_json::from_str(json).ok())?
}
