//! A node with made-up settings, driven step by step.

use serde_json::{json, Value};
use yarrowfront::command::{Command, Outcome};
use yarrowfront::decide::{Action, BackendState, Balancer, Decision, ListEntry, ListUpdateKind};
use yarrowfront::ids::{BackendId, BackendTypeId, CommandHandle, CommandId, GroupId, ProfileId, ZoneId};
use yarrowfront::settings::Settings;
use yarrowfront::times::{Micros, Timestamp};

/// Goal time of the commands.
pub const GOAL_MS: u64 = 200;

/// Settings of four nodes with one repeatable profile.
pub fn terms() -> Value {
    json!({
        "balancers": 4, "zone": 0, "discovery": "ask",
        "profiles": [{"goalTime": GOAL_MS * 1_000_000, "timeLimit": 500_000_000, "idempotency": "repeatable",
                      "group": "all", "memorySpan": 60_000_000, "payoff": 1.0}],
        "limits": {"mostLaunches": 4, "cancel": true, "secondCopies": true, "mayProbe": false,
                   "retryAfter": true, "maxRetryAfter": 2_000_000_000u64},
        "guarantees": {"startCapacity": 0.2, "warmWithin": 10_000_000_000u64, "tipMultiple": 4.0,
                       "fall": 1_000_000_000u64, "askWithin": 10_000_000_000u64},
    })
}

/// A node under test and the clock that the test sets.
pub struct Bench {
    pub node: Balancer,
    pub now: Timestamp,
    command_count: u32,
}

impl Bench {
    pub fn new(seed: u64) -> Bench {
        Bench::with_settings(seed, |_| {})
    }

    pub fn with_settings(seed: u64, modify: impl Fn(&mut Value)) -> Bench {
        let mut json = terms();
        modify(&mut json);
        let settings = Settings::from_json(json.to_string().as_bytes()).expect("good settings");
        let now = Timestamp(1_000_000);
        Bench { node: Balancer::new(settings, seed, now), now, command_count: 0 }
    }

    pub fn advance(&mut self, millis: u64) {
        self.now = self.now + Micros::from_millis(millis);
    }

    /// A whole list of ready backends, by id and group.
    pub fn list_backends(&mut self, entries: &[(u32, u16)]) {
        self.list_weighted(entries, 1.0);
    }

    pub fn list_weighted(&mut self, entries: &[(u32, u16)], weight: f64) {
        let entry =
            |&(id, group): &(u32, u16)| ListEntry { weight, ..entry(id, group, BackendState::Ready, 0) };
        self.node.apply_list(self.now, ListUpdateKind::Snapshot, entries.iter().map(entry));
    }

    /// An update of the list with a single entry: id, state and start time in microseconds.
    pub fn apply_entry(&mut self, update: ListUpdateKind, (id, state, started_at): (u32, BackendState, u64)) {
        self.node.apply_list(self.now, update, std::iter::once(entry(id, 1, state, started_at)));
    }

    pub fn command(&mut self, profile: u16) -> Command {
        self.command_count += 1;
        let id = CommandId(self.command_count);
        Command::new(id, ProfileId(profile), self.now, Micros::from_millis(500))
    }

    pub fn decide(&mut self, command: &mut Command) -> Decision {
        self.node.decide(self.now, CommandHandle(command.id.0), command)
    }

    pub fn on_outcome(&mut self, command: &mut Command, launch: u8, outcome: Outcome) -> Decision {
        self.node.on_launch_outcome(self.now, CommandHandle(command.id.0), command, launch, outcome)
    }

    /// The command's first launch is answered after this time.
    pub fn finish(&mut self, command: &mut Command, millis: u64) {
        self.advance(millis);
        command.is_closed = true;
        self.on_outcome(command, 0, Outcome::Finished);
    }

    pub fn actions(&mut self) -> Vec<Action> {
        std::iter::from_fn(|| self.node.next_action(self.now)).collect()
    }

    /// Teaches the node that a command takes about 50 ms, with answers of a backend that is then removed.
    pub fn learn_mean_work(&mut self) {
        self.apply_entry(ListUpdateKind::Snapshot, (99, BackendState::Ready, 0));
        for _ in 0..20 {
            let mut command = self.command(0);
            assert!(matches!(self.decide(&mut command), Decision::Launch(_)));
            self.finish(&mut command, 50);
        }
    }
}

fn entry(id: u32, group: u16, state: BackendState, started_at: u64) -> ListEntry {
    ListEntry {
        name_hash: u64::from(id),
        weight: 1.0,
        backend: BackendId(id),
        zone: ZoneId(0),
        backend_type: BackendTypeId(0),
        group: GroupId(group),
        state,
        started_at: Timestamp(started_at),
    }
}
