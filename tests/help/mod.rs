//! A node on a made-up deployment, driven by hand.

use serde_json::{json, Value};
use yarrowfront::command::{Command, Outcome};
use yarrowfront::decide::{Action, BackendState, Balancer, Decision, ListEntry, ListUpdateKind};
use yarrowfront::ids::{BackendId, BackendTypeId, CommandHandle, CommandId, GroupId, ProfileId, ZoneId};
use yarrowfront::settings::Settings;
use yarrowfront::times::{Micros, Timestamp};

/// Goal time in milliseconds.
pub const GOAL: u64 = 200;

pub fn terms() -> Value {
    json!({
        "balancers": 4, "zone": 0, "discovery": "ask",
        "profiles": [{"goalTime": GOAL * 1_000_000, "timeLimit": 500_000_000, "idempotency": "repeatable",
                      "group": "all", "memorySpan": 60_000_000, "payoff": 1.0}],
        "limits": {"mostLaunches": 4, "cancel": true, "secondCopies": true, "mayProbe": false,
                   "retryAfter": true, "maxRetryAfter": 2_000_000_000u64},
        "guarantees": {"startCapacity": 0.2, "warmWithin": 10_000_000_000u64, "tipMultiple": 4.0,
                       "fall": 1_000_000_000u64, "askWithin": 10_000_000_000u64},
    })
}

pub struct Bench {
    pub node: Balancer,
    pub now: Timestamp,
    commands: u32,
}

impl Bench {
    pub fn new(seed: u64) -> Bench {
        Bench::with(seed, |_| {})
    }

    pub fn with(seed: u64, change: impl Fn(&mut Value)) -> Bench {
        let mut json = terms();
        change(&mut json);
        let terms = Settings::from_json(json.to_string().as_bytes()).expect("good settings");
        let now = Timestamp(1_000_000);
        Bench { node: Balancer::new(terms, seed, now), now, commands: 0 }
    }

    pub fn later(&mut self, millis: u64) {
        self.now = self.now + Micros::from_millis(millis);
    }

    pub fn list_groups(&mut self, lines: &[(u32, u16)]) {
        self.list_sized(lines, 1.0);
    }

    pub fn list_sized(&mut self, lines: &[(u32, u16)], size: f64) {
        let line = |&(id, group): &(u32, u16)| ListEntry {
            weight: size,
            ..listed(id, group, BackendState::Ready, 0)
        };
        self.node.apply_list(self.now, ListUpdateKind::Snapshot, lines.iter().map(line));
    }

    pub fn line(&mut self, kind: ListUpdateKind, (id, state, started): (u32, BackendState, u64)) {
        self.node.apply_list(self.now, kind, std::iter::once(listed(id, 1, state, started)));
    }

    pub fn command(&mut self, profile: u16) -> Command {
        self.commands += 1;
        let id = CommandId(self.commands);
        Command::new(id, ProfileId(profile), self.now, Micros::from_millis(500))
    }

    pub fn place(&mut self, command: &mut Command) -> Decision {
        self.node.decide(self.now, CommandHandle(command.id.0), command)
    }

    pub fn after(&mut self, command: &mut Command, launch: u8, outcome: Outcome) -> Decision {
        self.node.on_launch_outcome(self.now, CommandHandle(command.id.0), command, launch, outcome)
    }

    /// The command's first launch is answered after so long.
    pub fn finish(&mut self, command: &mut Command, millis: u64) {
        self.later(millis);
        command.is_closed = true;
        self.after(command, 0, Outcome::Finished);
    }

    pub fn errands(&mut self) -> Vec<Action> {
        std::iter::from_fn(|| self.node.next_action(self.now)).collect()
    }

    /// Teaches the node that a command takes about 50 ms, on a backend that then goes.
    pub fn warm_up_costs(&mut self) {
        self.line(ListUpdateKind::Snapshot, (99, BackendState::Ready, 0));
        for _ in 0..20 {
            let mut command = self.command(0);
            assert!(matches!(self.place(&mut command), Decision::Launch(_)));
            self.finish(&mut command, 50);
        }
    }
}

fn listed(id: u32, group: u16, state: BackendState, started: u64) -> ListEntry {
    ListEntry {
        name_hash: u64::from(id),
        weight: 1.0,
        backend: BackendId(id),
        zone: ZoneId(0),
        backend_type: BackendTypeId(0),
        group: GroupId(group),
        state,
        started_at: Timestamp(started),
    }
}
