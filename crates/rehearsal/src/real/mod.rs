//! The real clock: the same model behind loopback sockets, around real `yarrowfront` processes.

mod backends;
mod clients;
mod discovery;
mod discovery_moves;
mod idle_crowd;
mod nodes;
mod ports;
mod stage;
mod ways;

use crate::judge::result::PlayResult;
use crate::judge::Judges;
use crate::model::troubles::{timeline, Step};
use crate::scenario::Scenario;
use crate::span::Time;
use hdrhistogram::Histogram;
use links::schedule::Schedule;
use nix::sys::resource::{getrlimit, setrlimit, Resource};
pub use nodes::NodeProcessOptions;
use stage::Stage;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

/// What goes out later than this, one command in a hundred, is the machine's fault and not a node's: a fifth of
/// the shortest goal time, and 20 ms at most.
fn bearable(scenario: &Scenario) -> Duration {
    let goal = scenario.profiles.iter().map(|p| p.goal).min().unwrap_or(Time::millis(100));
    Duration::from_micros(goal.0 / 5).min(Duration::from_millis(20))
}

/// Descriptors that a play may use, where the machine allows that many.
const DESCRIPTORS: u64 = 65_536;

/// Plays a scenario around real nodes. An error is a fault of the machine or of what is asked for; what a node
/// does wrong is in the result.
pub fn play(
    scenario: &Scenario,
    seed: u64,
    means: &NodeProcessOptions,
    progress: &mut dyn FnMut(u64),
) -> Result<(PlayResult, Judges), String> {
    // Clients, ways and backends of a whole fleet are this one process's.
    if let Ok((_, most)) = getrlimit(Resource::RLIMIT_NOFILE) {
        let _ = setrlimit(Resource::RLIMIT_NOFILE, most.min(DESCRIPTORS), most);
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, async {
        tokio::select! {
            played = run(scenario, seed, means, progress) => played,
            // Whatever was started goes down with the tasks that hold it.
            why = told_to_stop() => Err(why),
        }
    })
}

async fn told_to_stop() -> String {
    let Ok(mut term) = signal(SignalKind::terminate()) else { return pending().await };
    let word = tokio::select! {
        _ = tokio::signal::ctrl_c() => "Ctrl-C",
        _ = term.recv() => "SIGTERM",
    };
    format!("stopped by {word}; all nodes are ended")
}

async fn run(
    scenario: &Scenario,
    seed: u64,
    means: &NodeProcessOptions,
    progress: &mut dyn FnMut(u64),
) -> Result<(PlayResult, Judges), String> {
    let folder = tempfile::tempdir().map_err(|e| format!("a folder for the nodes' files: {e}"))?;
    let (stage, mut replaced) = Stage::new(scenario, seed);
    for i in 0..stage.backends() {
        backends::start(&stage, i)?;
    }
    let doors = stage.clone();
    spawn_local(async move {
        while let Some(i) = replaced.recv().await {
            if let Err(why) = backends::start(&doors, i) {
                doors.fail(why);
            }
        }
    });
    let crew = nodes::Crew::new(&stage, means, folder.path().to_owned())?;
    crew.start_all().await?;
    stage.begin();
    let troubles = spawn_local(run_troubles(stage.clone(), timeline(scenario, seed), crew.clone()));
    let schedule = scenario.schedule(seed)?;
    let faults = spawn_local(ways::run_faults(stage.clone(), schedule.clone(), crew.clone()));
    let watched = scenario.view.is_some().then(|| spawn_local(ways::watch(stage.clone(), crew.clone())));
    let crowd = clients::Crowd::new(stage.clone(), crew.clone(), seed);
    let moves = spawn_local(discovery_moves::run(stage.clone(), crew.clone()));
    let silent = spawn_local(idle_crowd::hold(stage.clone(), crew.clone()));
    let driven = spawn_local(crowd.run());
    let seconds = scenario.length.0.div_ceil(1_000_000);
    for second in 1..=seconds {
        sleep(stage.until(Time::seconds(second.min(scenario.length.0 / 1_000_000)))).await;
        progress(second);
    }
    let late = driven.await.map_err(|e| format!("the clients: {e}"))?;
    troubles.abort();
    faults.abort();
    silent.abort();
    moves.abort();
    watched.inspect(|watched| watched.abort());
    stage.view(|views, now| views.finish(now));
    let processes = crew.end_all().await;
    let mut judges = stage.end();
    let now = stage.now();
    judges.rules.finish(now);
    let mut played = judges.result(scenario, ("yarrowfront", "real"), seed);
    played.processes = processes;
    played.faults = schedule.to_string();
    played.void = void(scenario, &late, stage.fault());
    Ok((played, judges))
}

/// Leaves out faults of a play that broke something for as long as something still breaks, in so many plays at the most.
pub fn shrink_faults(
    scenario: &Scenario,
    seed: u64,
    means: &NodeProcessOptions,
    most: usize,
) -> Result<Scenario, String> {
    let (mut left, mut fault) = (most, None);
    let schedule = scenario.schedule(seed)?.shrink(|fewer: &Schedule| {
        if left == 0 || fault.is_some() {
            return false;
        }
        left -= 1;
        match play(&scenario.with_faults(fewer), seed, means, &mut |_| ()) {
            Ok((played, _)) => played.rules.any(),
            Err(why) => {
                fault = Some(why);
                false
            }
        }
    });
    match fault {
        Some(why) => Err(why),
        None => Ok(scenario.with_faults(&schedule)),
    }
}

fn void(scenario: &Scenario, late: &Histogram<u64>, fault: Option<String>) -> Option<String> {
    let (bound, seen) = (bearable(scenario), Duration::from_micros(late.value_at_quantile(0.99)));
    if seen > bound {
        return Some(format!(
            "this machine is too slow for the load: one command in a hundred went out {seen:.1?} late, \
             {bound:.1?} can be borne"
        ));
    }
    fault
}

async fn run_troubles(stage: Rc<Stage>, steps: Vec<(Time, Step)>, crew: nodes::Crew) {
    for (at, step) in steps {
        sleep(stage.until(at)).await;
        match step {
            Step::StopNode(node) => crew.stop(node),
            Step::KillNode(node) => crew.kill(node),
            Step::StartNode(node) => {
                let (crew, stage) = (crew.clone(), stage.clone());
                spawn_local(async move {
                    if let Err(why) = crew.start(node).await {
                        stage.fail(why);
                    }
                });
            }
            step => stage.step(step),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::{void, Scenario};
    use hdrhistogram::Histogram;

    /// A machine that is too slow voids the run; one slow command in a thousand does not, and a fault of the
    /// rehearsal always does.
    #[test]
    fn when_a_run_is_void() {
        let text = include_str!("../../../../scenarios/calm.toml");
        let scenario = Scenario::parse(text).expect("good");
        let cases =
            [(10, 0, None, false), (10, 1, None, false), (10, 30, None, true), (10, 0, Some("a port"), true)];
        for (usual, slow, fault, wanted) in cases {
            let mut late = Histogram::new(3).expect("a histogram");
            late.record_n(usual, 1000 - slow).expect("recorded");
            late.record_n(80_000, slow).expect("recorded");
            let told = void(&scenario, &late, fault.map(String::from));
            assert_eq!(told.is_some(), wanted, "{usual}, {slow}, {fault:?}: {told:?}");
        }
    }
}
