//! Compares the model with the paper that the design comes from: runs the paper's own policy on servers with exponential
//! work, and compares the result with the figures of its Table 3.

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

/// The mean work of a command, which is the unit of all figures here.
const MEAN_WORK: Time = Time::millis(10);

/// The tokens of idle servers that the dispatchers have. Each server has at most one token.
struct TokenBoard {
    tokens: Vec<VecDeque<usize>>,
    /// Whether a dispatcher has the token, by server.
    token_is_out: Vec<bool>,
    rng: SeededRng,
}

/// JIQ-SQ(d) without token withdrawals. A server that becomes idle gives its token to the one of `d` random dispatchers
/// that has the fewest, unless a dispatcher still has an older token of it. A dispatcher without a token takes a random
/// server.
struct JiqPolicy {
    board: Arc<Mutex<TokenBoard>>,
    node: usize,
    sampled_dispatchers: usize,
    oldest_first: bool,
    servers: usize,
    rng: SeededRng,
}

impl JiqPolicy {
    fn board(&self) -> std::sync::MutexGuard<'_, TokenBoard> {
        // One thread plays a scenario, so that a poisoned lock cannot guard inconsistent data.
        self.board.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl Policy for JiqPolicy {
    fn decide(&mut self, _: Timestamp, _: CommandHandle, active: &mut ActiveCommand, _: &Fleet) -> Decision {
        if active.in_flight() > 0 {
            return Decision::Wait;
        }
        let (node, oldest_first) = (self.node, self.oldest_first);
        let token = {
            let mut board = self.board();
            let own = &mut board.tokens[node];
            let token = if oldest_first { own.pop_front() } else { own.pop_back() };
            if let Some(server) = token {
                board.token_is_out[server] = false;
            }
            token
        };
        let server = token.unwrap_or_else(|| self.rng.below(self.servers));
        Decision::Launch(BackendId(server as u32))
    }

    fn on_launch_outcome(
        &mut self,
        _: Timestamp,
        _: CommandHandle,
        active: &mut ActiveCommand,
        launch_index: u8,
        _: Outcome,
        fleet: &Fleet,
    ) -> Decision {
        let server = active.launches[usize::from(launch_index)].backend;
        let sampled_dispatchers = self.sampled_dispatchers;
        let mut board = self.board();
        if fleet.backends[server].held_commands() == 0 && !board.token_is_out[server] {
            let nodes = board.tokens.len();
            let sampled: Vec<usize> = (0..sampled_dispatchers).map(|_| board.rng.below(nodes)).collect();
            let fewest = sampled.into_iter().min_by_key(|i| board.tokens[*i].len()).unwrap_or(0);
            board.tokens[fewest].push_back(server);
            board.token_is_out[server] = true;
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

/// A scenario with identical servers: one core, one speed, a practically unlimited queue, no network latency and no time
/// limits that matter.
fn plain_servers(servers: u32, servers_per_node: u32, load: f64, length: Time) -> Scenario {
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
    let no_limit = Time::seconds(600);
    Scenario {
        name: format!("plain-{servers}"),
        about: String::new(),
        length,
        settle: Time(length.0 / 3),
        nodes: (servers / servers_per_node).max(1),
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
            goal: no_limit,
            limit: no_limit,
            payoff: 1.0,
            work: MEAN_WORK,
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

/// The mean response time, in units of the mean work.
pub fn mean_response(
    name: &str,
    (servers, servers_per_node, load): (u32, u32, f64),
    seconds: u64,
    seed: u64,
) -> Result<f64, String> {
    let scenario = plain_servers(servers, servers_per_node, load, Time::seconds(seconds));
    let nodes = scenario.nodes as usize;
    let token_is_out = vec![true; servers as usize];
    // At the start every server is idle, so that its token is with a random dispatcher.
    let mut rng = SeededRng::new(seed, RngStream::Fleet);
    let mut tokens = vec![VecDeque::new(); nodes];
    for server in 0..servers as usize {
        tokens[rng.below(nodes)].push_back(server);
    }
    let board = Arc::new(Mutex::new(TokenBoard { tokens, token_is_out, rng }));
    let create = |context: &NodeContext| -> Result<Box<dyn Policy>, String> {
        let (sampled_dispatchers, oldest_first) = match name {
            "JIQ-SQ(1) FCFS" => (1, true),
            "JIQ-SQ(2) LCFS" => (2, false),
            _ => return policy::create(name, context),
        };
        let rng = SeededRng::new(context.seed, RngStream::Nodes);
        let servers = servers as usize;
        Ok(Box::new(JiqPolicy {
            board: board.clone(),
            node: context.node,
            sampled_dispatchers,
            oldest_first,
            servers,
            rng,
        }))
    };
    let (_, judges) = virtual_clock::play(&scenario, seed, name, &create, &mut |_| ())?;
    Ok(judges.service.profiles[0].latency_us.mean() / MEAN_WORK.micros())
}

/// Table 3 of the paper for exponential work: policy, servers, servers per dispatcher, load, and the simulated mean response
/// time.
pub const TABLE_3: [(&str, u32, u32, f64, f64); 4] = [
    ("JIQ-SQ(1) FCFS", 50, 5, 0.65, 1.3433),
    ("JIQ-SQ(1) FCFS", 500, 5, 0.65, 1.3743),
    ("JIQ-SQ(2) LCFS", 50, 10, 0.8, 1.1703),
    ("JIQ-SQ(2) LCFS", 500, 10, 0.8, 1.1366),
];

/// The two tables of `docs/rehearsal.md`, as Markdown.
pub fn tables() -> Result<String, String> {
    let mean_of_runs = |name: &str, case: (u32, u32, f64), seconds: u64| -> Result<Mean, String> {
        let seeds: Vec<u64> = (1..=5).collect();
        let all: Result<Vec<f64>, String> =
            seeds.par_iter().map(|seed| mean_response(name, case, seconds, *seed)).collect();
        Ok(Mean::of(&all?))
    };
    let mut out = String::from(
        "| policy | servers | for each node | load | paper | here |\n|---|---|---|---|---|---|\n",
    );
    for (name, servers, servers_per_node, load, paper) in TABLE_3 {
        let seconds = if servers > 100 { 60 } else { 300 };
        let model = mean_of_runs(name, (servers, servers_per_node, load), seconds)?;
        out += &format!("| {name} | {servers} | {servers_per_node} | {load} | {paper:.4} | {model} |\n");
    }
    out += "\n| load | random | less busy of two (own launches) | JIQ-SQ(1) FCFS | yarrowfront |\n|---|---|---|---|---|\n";
    for load in [0.3, 0.5, 0.65, 0.8, 0.9] {
        let mut row = format!("| {load} ");
        for name in ["random", "less-busy", "JIQ-SQ(1) FCFS", "yarrowfront"] {
            row += &format!("| {} ", mean_of_runs(name, (50, 5, load), 150)?);
        }
        out += &format!("{row}|\n");
    }
    Ok(out)
}
