//! What a node tells of itself, as `GET /counts` has it.

use serde::Deserialize;
use std::collections::BTreeMap;

/// Of one profile in one second at one node, or of several added up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Tally {
    pub taken: u32,
    pub in_goal: u32,
    pub late: u32,
    pub turned_back: u32,
    pub errored: u32,
    pub left: u32,
    pub asked: f64,
    pub served: f64,
    pub launches: u32,
    pub extra: u32,
    pub twice: u32,
}

impl Tally {
    pub fn add(&mut self, other: &Tally) {
        self.taken += other.taken;
        self.in_goal += other.in_goal;
        self.late += other.late;
        self.turned_back += other.turned_back;
        self.errored += other.errored;
        self.left += other.left;
        (self.asked, self.served) = (self.asked + other.asked, self.served + other.served);
        self.launches += other.launches;
        self.extra += other.extra;
        self.twice += other.twice;
    }

    /// Commands that had their end here.
    pub fn ended(&self) -> u32 {
        self.in_goal + self.late + self.turned_back + self.errored
    }
}

/// A whole second of Unix time.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Second {
    pub at: u64,
    #[serde(default)]
    pub profiles: BTreeMap<String, Tally>,
    /// Times of the finished: where a bucket begins in microseconds, and how many are in it.
    #[serde(default)]
    pub times: Vec<(u64, u32)>,
}

#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct OnTrial {
    /// The digest of the settings that it goes back to.
    pub former: String,
}

/// A node that has answered.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Here {
    pub name: String,
    pub build: String,
    /// Which words it speaks with other processes.
    #[serde(default)]
    pub words: String,
    pub state: String,
    /// Of its settings.
    pub settings: String,
    /// When its process began, and its number on its machine.
    pub life: u64,
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
    /// Those that were not told before.
    #[serde(default)]
    pub seconds: Vec<Second>,
}

impl Here {
    pub fn serves(&self) -> bool {
        self.state == "serving"
    }
}

/// What came of asking a node.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Told {
    /// Nothing, for this time: it may be stopped, or the way to it cut.
    #[default]
    Silent,
    /// Nobody listens there: its process is gone.
    Gone,
    Here(Box<Here>),
}

impl Told {
    pub fn here(&self) -> Option<&Here> {
        match self {
            Told::Here(here) => Some(here),
            _ => None,
        }
    }
}
