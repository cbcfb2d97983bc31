//! The real clock: the same model behind loopback sockets, around real `yarrowfront` processes.

mod answer_forms;
mod backends;
mod clients;
mod discovery;
mod discovery_moves;
mod harness;
mod idle_crowd;
mod list_calls;
mod network;
mod nodes;
mod ports;

use crate::judge::result::PlayResult;
use crate::judge::Judges;
use crate::model::troubles::{timeline, Step};
use crate::scenario::Scenario;
use crate::span::Time;
use harness::Harness;
use hdrhistogram::Histogram;
use links::schedule::Schedule;
use nix::sys::resource::{getrlimit, setrlimit, Resource};
use nodes::StartOutcome;
pub use nodes::{NodeProcessOptions, START_TIMEOUT};
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

/// If one command in a hundred is sent later than this, the machine is too slow and the run says nothing about the nodes: a
/// fifth of the shortest goal time, and 20 ms at most.
fn max_acceptable_lateness(scenario: &Scenario) -> Duration {
    let goal = scenario.profiles.iter().map(|p| p.goal).min().unwrap_or(Time::millis(100));
    Duration::from_micros(goal.0 / 5).min(Duration::from_millis(20))
}

/// File descriptors that a run may use, where the machine allows that many.
const MAX_DESCRIPTORS: u64 = 65_536;

/// Plays a scenario around real nodes. An error means that the machine or the request is at fault; what a node does wrong is in
/// the result.
pub fn play(
    scenario: &Scenario,
    seed: u64,
    options: &NodeProcessOptions,
    progress: &mut dyn FnMut(u64),
) -> Result<(PlayResult, Judges), String> {
    // The clients, links and backends of a whole fleet all belong to this one process.
    if let Ok((_, hard_limit)) = getrlimit(Resource::RLIMIT_NOFILE) {
        let _ = setrlimit(Resource::RLIMIT_NOFILE, hard_limit.min(MAX_DESCRIPTORS), hard_limit);
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async {
        tokio::select! {
            played = run_scenario(scenario, seed, options, progress) => played,
            // Everything that was started ends with the tasks that own it.
            reason = wait_for_stop_signal() => Err(reason),
        }
    })
}

async fn wait_for_stop_signal() -> String {
    let Ok(mut sigterm) = signal(SignalKind::terminate()) else { return pending().await };
    let signal_name = tokio::select! {
        _ = tokio::signal::ctrl_c() => "Ctrl-C",
        _ = sigterm.recv() => "SIGTERM",
    };
    format!("stopped by {signal_name}; all nodes have been stopped")
}

async fn run_scenario(
    scenario: &Scenario,
    seed: u64,
    options: &NodeProcessOptions,
    progress: &mut dyn FnMut(u64),
) -> Result<(PlayResult, Judges), String> {
    let dir =
        tempfile::tempdir().map_err(|e| format!("cannot create a directory for the nodes' files: {e}"))?;
    let (harness, mut new_backends) = Harness::new(scenario, seed);
    for backend in 0..harness.backend_count() {
        backends::start_backend(&harness, backend)?;
    }
    let backend_harness = harness.clone();
    spawn_local(async move {
        while let Some(backend) = new_backends.recv().await {
            if let Err(reason) = backends::start_backend(&backend_harness, backend) {
                backend_harness.report_error(reason);
            }
        }
    });
    let supervisor = nodes::NodeSupervisor::new(&harness, options, dir.path().to_owned())?;
    if supervisor.start_all().await? == StartOutcome::Crashed {
        // The scenario is not played: it would tell nothing about a fleet that lacks nodes from its start.
        return Ok(finish_play(scenario, seed, &harness, &supervisor).await);
    }
    harness.start_scenario();
    let troubles = spawn_local(apply_troubles(harness.clone(), timeline(scenario, seed), supervisor.clone()));
    let schedule = scenario.schedule(seed)?;
    let faults = spawn_local(network::inject_faults(harness.clone(), schedule.clone(), supervisor.clone()));
    let view_polling = scenario
        .view
        .is_some()
        .then(|| spawn_local(network::poll_views(harness.clone(), supervisor.clone())));
    let client_pool = clients::ClientPool::new(harness.clone(), supervisor.clone(), seed);
    let discovery_moves = spawn_local(discovery_moves::run(harness.clone(), supervisor.clone()));
    let idle_connections = spawn_local(idle_crowd::hold_connections(harness.clone(), supervisor.clone()));
    let clients = spawn_local(client_pool.run());
    let seconds = scenario.length.0.div_ceil(1_000_000);
    for second in 1..=seconds {
        sleep(harness.duration_until(Time::seconds(second.min(scenario.length.0 / 1_000_000)))).await;
        progress(second);
    }
    let lateness = clients.await.map_err(|e| format!("the clients failed: {e}"))?;
    troubles.abort();
    faults.abort();
    idle_connections.abort();
    discovery_moves.abort();
    view_polling.inspect(|task| task.abort());
    harness.with_view_judge(|views, now| views.finish(now));
    let (mut played, judges) = finish_play(scenario, seed, &harness, &supervisor).await;
    played.faults = schedule.to_string();
    played.void = void_reason(scenario, &lateness, harness.error());
    Ok((played, judges))
}

/// Stops all nodes and judges what was observed.
async fn finish_play(
    scenario: &Scenario,
    seed: u64,
    harness: &Harness,
    supervisor: &nodes::NodeSupervisor,
) -> (PlayResult, Judges) {
    let processes = supervisor.stop_all().await;
    let mut judges = harness.take_judges();
    judges.rules.finish(harness.now());
    let mut played = judges.result(scenario, ("yarrowfront", "real"), seed);
    played.processes = processes;
    (played, judges)
}

/// Removes scheduled faults from a scenario in which a rule was broken for as long as one is still broken, in `max_plays` plays
/// at most.
pub fn shrink_faults(
    scenario: &Scenario,
    seed: u64,
    options: &NodeProcessOptions,
    max_plays: usize,
) -> Result<Scenario, String> {
    let (mut plays_left, mut error) = (max_plays, None);
    let schedule = scenario.schedule(seed)?.shrink(|fewer: &Schedule| {
        if plays_left == 0 || error.is_some() {
            return false;
        }
        plays_left -= 1;
        match play(&scenario.with_faults(fewer), seed, options, &mut |_| ()) {
            Ok((played, _)) => played.rules.any(),
            Err(reason) => {
                error = Some(reason);
                false
            }
        }
    });
    match error {
        Some(reason) => Err(reason),
        None => Ok(scenario.with_faults(&schedule)),
    }
}

fn void_reason(scenario: &Scenario, lateness: &Histogram<u64>, error: Option<String>) -> Option<String> {
    let (bound, p99) =
        (max_acceptable_lateness(scenario), Duration::from_micros(lateness.value_at_quantile(0.99)));
    if p99 > bound {
        return Some(format!(
            "this machine is too slow for the load: one command in a hundred was sent {p99:.1?} late, \
             {bound:.1?} is acceptable"
        ));
    }
    error
}

async fn apply_troubles(harness: Rc<Harness>, steps: Vec<(Time, Step)>, supervisor: nodes::NodeSupervisor) {
    for (at, step) in steps {
        sleep(harness.duration_until(at)).await;
        match step {
            Step::StopNode(node) => supervisor.stop(node),
            Step::KillNode(node) => supervisor.kill(node),
            Step::StartNode(node) => {
                let (supervisor, harness) = (supervisor.clone(), harness.clone());
                spawn_local(async move {
                    if let Err(reason) = supervisor.start(node).await {
                        harness.report_error(reason);
                    }
                });
            }
            step => harness.apply_step(step),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::{void_reason, Scenario};
    use hdrhistogram::Histogram;

    /// A machine that is too slow voids the run; one slow command in a thousand does not, and an error of the rehearsal always
    /// does.
    #[test]
    fn a_slow_machine_or_an_error_voids_the_run() {
        let text = include_str!("../../../../scenarios/calm.toml");
        let scenario = Scenario::parse(text).expect("good");
        let cases =
            [(10, 0, None, false), (10, 1, None, false), (10, 30, None, true), (10, 0, Some("a port"), true)];
        for (usual, slow, error, expected) in cases {
            let mut lateness = Histogram::new(3).expect("a histogram");
            lateness.record_n(usual, 1000 - slow).expect("recorded");
            lateness.record_n(80_000, slow).expect("recorded");
            let reason = void_reason(&scenario, &lateness, error.map(String::from));
            assert_eq!(reason.is_some(), expected, "{usual}, {slow}, {error:?}: {reason:?}");
        }
    }
}
