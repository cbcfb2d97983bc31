//! The model beside the paper that the design comes from: its policy as it stands there, on plain exponential
//! servers, against the figures of its Table 3.

use crate::model::fleet::Fleet;
use crate::policy::{self, ActiveCommand, NodeContext, Policy};
use crate::rng::{RngStream, SeededRng};
use crate::scenario::{Allowances, CommandEffect, Scope};
use crate::scenario::{
    BackendKind, CancelEffect, Clients, List, Load, LoadShape, Net, Profile, Scenario, WorkDistribution,
};
use crate::span::Time;
use crate::stats::Mean;
use crate::virtual_clock;
use rayon::prelude::*;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use yarrowfront::command::Outcome;
use yarrowfront::decide::{Action, Decision, ListEntry, ListUpdateKind};
use yarrowfront::ids::{BackendId, CommandHandle};
use yarrowfront::times::{Micros, Timestamp};

/// The mean work: the unit of all figures here.
const UNIT: Time = Time::millis(10);

/// The dispatchers' tokens, each server's at most in one place.
struct Board {
    tokens: Vec<VecDeque<usize>>,
    placed: Vec<bool>,
    draw: SeededRng,
}

/// JIQ-SQ(d) without token withdrawals. A server that becomes idle gives its token to the one of `d` random
/// dispatchers that has fewest, unless an older one of its is out still; without a token a random server is taken.
struct Plain {
    board: Arc<Mutex<Board>>,
    node: usize,
    d: usize,
    first_come: bool,
    servers: usize,
    draw: SeededRng,
}

impl Plain {
    fn board(&self) -> std::sync::MutexGuard<'_, Board> {
        // One thread plays one scenario: nobody can have left it half-way.
        self.board.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl Policy for Plain {
    fn decide(&mut self, _: Timestamp, _: CommandHandle, active: &mut ActiveCommand, _: &Fleet) -> Decision {
        if active.in_flight() > 0 {
            return Decision::Wait;
        }
        let (node, first_come) = (self.node, self.first_come);
        let token = {
            let mut board = self.board();
            let own = &mut board.tokens[node];
            let token = if first_come { own.pop_front() } else { own.pop_back() };
            if let Some(server) = token {
                board.placed[server] = false;
            }
            token
        };
        let server = token.unwrap_or_else(|| self.draw.below(self.servers));
        Decision::Launch(BackendId(server as u32))
    }

    fn on_launch_outcome(
        &mut self,
        _: Timestamp,
        _: CommandHandle,
        active: &mut ActiveCommand,
        n: u8,
        _: Outcome,
        fleet: &Fleet,
    ) -> Decision {
        let server = active.launches[usize::from(n)].backend;
        let d = self.d;
        let mut board = self.board();
        if fleet.backends[server].held_commands() == 0 && !board.placed[server] {
            let nodes = board.tokens.len();
            let drawn: Vec<usize> = (0..d).map(|_| board.draw.below(nodes)).collect();
            let fewest = drawn.into_iter().min_by_key(|i| board.tokens[*i].len()).unwrap_or(0);
            board.tokens[fewest].push_back(server);
            board.placed[server] = true;
        }
        Decision::Wait
    }

    fn wakeup_delay(&self, _: Timestamp, _: Option<&ActiveCommand>) -> Option<Micros> {
        None
    }

    fn on_client_gone(&mut self, active: &mut ActiveCommand) {
        active.command.is_closed = true;
    }

    fn apply_list(&mut self, _: Timestamp, _: ListUpdateKind, _: &[ListEntry]) {}

    fn on_load_report(&mut self, _: Timestamp, _: BackendId, _: bool, _: Micros, _: &[f32]) {}

    fn next_action(&mut self, _: Timestamp) -> Option<Action> {
        None
    }
}

/// Plain servers: one core, one rate, a queue without end, no network, nobody in a hurry.
fn plain(servers: u32, ratio: u32, load: f64, length: Time) -> Scenario {
    let kind = BackendKind {
        kind: "plain".into(),
        count: servers,
        cores: 1,
        speed: 1.0,
        spread: 0.0,
        queue: 10_000.0,
        group: 1,
        cold: 1.0,
        warm: Time(0),
        crowding: 0.0,
        collapse: None,
        stalls: None,
        neighbours: None,
        errors: 0.0,
        stops: CancelEffect::None,
        falls: Time(0),
        probe_work: Time(0),
        connection_work: Time(0),
        refresh: Time(0),
    };
    let long = Time::seconds(600);
    Scenario {
        name: format!("plain-{servers}"),
        about: String::new(),
        length,
        settle: Time(length.0 / 3),
        nodes: (servers / ratio).max(1),
        zones: 1,
        load: Load { share: Some(load), per_s: None, shape: LoadShape::Poisson, swing: 0.0 },
        clients: Clients::default(),
        list: List::default(),
        net: Net {
            same: Time(0),
            cross: Time(0),
            client: Time(0),
            jitter: Time(0),
            resets: 0.0,
            dial: Time::millis(200),
        },
        allow: Allowances::default(),
        backends: vec![kind],
        profiles: vec![Profile {
            name: "job".into(),
            share: 1.0,
            effect: CommandEffect::Repeatable,
            scope: Scope::All,
            memory: Time::seconds(10),
            goal: long,
            limit: long,
            payoff: 1.0,
            work: UNIT,
            law: WorkDistribution::Exponential,
            spread: 1.0,
        }],
        customers: Vec::new(),
        troubles: Vec::new(),
        view: None,
        faults: Vec::new(),
        drawn: None,
        stress: None,
        site_plan: None,
    }
}

/// Mean time to the answer, in units of the mean work.
pub fn mean_response(
    name: &str,
    (servers, ratio, load): (u32, u32, f64),
    seconds: u64,
    seed: u64,
) -> Result<f64, String> {
    let scenario = plain(servers, ratio, load, Time::seconds(seconds));
    let nodes = scenario.nodes as usize;
    let placed = vec![true; servers as usize];
    // At the start every server is idle: its token lies somewhere.
    let mut draw = SeededRng::new(seed, RngStream::Fleet);
    let mut tokens = vec![VecDeque::new(); nodes];
    for server in 0..servers as usize {
        tokens[draw.below(nodes)].push_back(server);
    }
    let board = Arc::new(Mutex::new(Board { tokens, placed, draw }));
    let make = |birth: &NodeContext| -> Result<Box<dyn Policy>, String> {
        let (d, first_come) = match name {
            "JIQ-SQ(1) FCFS" => (1, true),
            "JIQ-SQ(2) LCFS" => (2, false),
            _ => return policy::create(name, birth),
        };
        let draw = SeededRng::new(birth.seed, RngStream::Nodes);
        let servers = servers as usize;
        Ok(Box::new(Plain { board: board.clone(), node: birth.node, d, first_come, servers, draw }))
    };
    let (_, judges) = virtual_clock::play(&scenario, seed, name, &make, &mut |_| ())?;
    Ok(judges.service.profiles[0].latency_us.mean() / UNIT.micros())
}

/// What the paper's Table 3 gives for exponential jobs: policy, servers, servers for each dispatcher, load, and
/// the simulated mean response.
pub const TABLE_3: [(&str, u32, u32, f64, f64); 4] = [
    ("JIQ-SQ(1) FCFS", 50, 5, 0.65, 1.3433),
    ("JIQ-SQ(1) FCFS", 500, 5, 0.65, 1.3743),
    ("JIQ-SQ(2) LCFS", 50, 10, 0.8, 1.1703),
    ("JIQ-SQ(2) LCFS", 500, 10, 0.8, 1.1366),
];

/// The two tables of `docs/rehearsal.md`, as Markdown.
pub fn tables() -> Result<String, String> {
    let runs = |name: &str, case: (u32, u32, f64), seconds: u64| -> Result<Mean, String> {
        let seeds: Vec<u64> = (1..=5).collect();
        let all: Result<Vec<f64>, String> =
            seeds.par_iter().map(|seed| mean_response(name, case, seconds, *seed)).collect();
        Ok(Mean::of(&all?))
    };
    let mut out = String::from(
        "| policy | servers | for each node | load | paper | here |\n|---|---|---|---|---|---|\n",
    );
    for (name, servers, ratio, load, paper) in TABLE_3 {
        let seconds = if servers > 100 { 60 } else { 300 };
        let here = runs(name, (servers, ratio, load), seconds)?;
        out += &format!("| {name} | {servers} | {ratio} | {load} | {paper:.4} | {here} |\n");
    }
    out += "\n| load | random | less busy of two (own launches) | JIQ-SQ(1) FCFS | yarrowfront |\n|---|---|---|---|---|\n";
    for load in [0.3, 0.5, 0.65, 0.8, 0.9] {
        let mut row = format!("| {load} ");
        for name in ["random", "less-busy", "JIQ-SQ(1) FCFS", "yarrowfront"] {
            row += &format!("| {} ", runs(name, (50, 5, load), 150)?);
        }
        out += &format!("{row}|\n");
    }
    Ok(out)
}
