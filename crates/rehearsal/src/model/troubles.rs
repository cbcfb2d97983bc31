//! Turns the troubles of a scenario into a timeline of single steps, which the scenario and the seed determine. Troubles
//! may overlap: a step changes one thing, and `fleet` handles steps that find it already changed by another trouble.

use crate::rng::{RngStream, SeededRng};
use crate::scenario::{Scenario, TroubleKind};
use crate::span::Time;
use yarrowfront::times::Micros;

/// One change to a backend or a node (by index), to discovery or to the network.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    Drain(usize),
    /// The process of a drained backend ends.
    StopDrained(usize),
    /// A new backend of the same kind and place is added in place of this one.
    Replace(usize),
    Kill(usize),
    /// A killed or drained backend gets a new, cold process.
    Restart(usize),
    /// The backend is cut off from the network.
    CutOff(usize),
    Reconnect(usize),
    /// The backend does nothing for this long.
    Stall(usize, Micros),
    /// The backend hangs, or goes on.
    Hang(usize, bool),
    /// The backend's speed is multiplied by this factor.
    ScaleSpeed(usize, f64),
    /// This is added to the share of commands that the backend answers with an error.
    AddErrors(usize, f64),
    StopNode(usize),
    KillNode(usize),
    StartNode(usize),
    DiscoveryDown,
    DiscoveryUp,
    /// This is added to the share of connections that are reset.
    AddResets(f64),
    /// This is added to the share of answers that are lost.
    AddLostAnswers(f64),
    /// This is added to the delay between nodes and backends, in microseconds.
    AddDelay(i64),
}

/// How long a process takes to start.
const PROCESS_START_TIME: Time = Time::millis(800);

/// All steps ordered by their time since the start of the scenario. Steps at the same time are in the order of the file.
pub fn timeline(scenario: &Scenario, seed: u64) -> Vec<(Time, Step)> {
    let backends = scenario.backends.iter().map(|k| k.count as usize).sum::<usize>();
    let mut steps = Vec::new();
    for (i, trouble) in scenario.troubles.iter().enumerate() {
        // Each trouble has a random stream of its own, so that removing one leaves the others unchanged.
        let mut rng = SeededRng::with_index(seed, RngStream::Troubles, 1 << 8 | i as u64);
        let (at, end) = (trouble.at, trouble.end());
        let affects_nodes = matches!(trouble.kind, TroubleKind::NodeRestarts | TroubleKind::NodeDeaths);
        let affected =
            rng.sample_indices(if affects_nodes { scenario.nodes as usize } else { backends }, trouble.share);
        let staggered = |n: usize| Time(at.0 + trouble.length.0 * n as u64 / affected.len().max(1) as u64);
        let mut add = |at: Time, step: Step| steps.push((at, step));
        match trouble.kind {
            TroubleKind::RollingDeploy => {
                for (n, &b) in affected.iter().enumerate() {
                    let (at, stopped_at) = (staggered(n), Time(staggered(n).0 + trouble.down.0));
                    add(at, Step::Drain(b));
                    add(stopped_at, Step::StopDrained(b));
                    if trouble.swap {
                        add(at, Step::Replace(b));
                    } else {
                        add(Time(stopped_at.0 + PROCESS_START_TIME.0), Step::Restart(b));
                    }
                }
            }
            TroubleKind::Deaths => {
                for &b in &affected {
                    add(at, Step::Kill(b));
                    // Backends that die together come back at slightly different times.
                    let down = trouble.down.span().scaled(0.9 + 0.2 * rng.uniform());
                    add(Time(at.0 + down.0), Step::Restart(b));
                }
            }
            TroubleKind::NodeRestarts | TroubleKind::NodeDeaths => {
                for (n, &node) in affected.iter().enumerate() {
                    let planned = trouble.kind == TroubleKind::NodeRestarts;
                    add(staggered(n), if planned { Step::StopNode(node) } else { Step::KillNode(node) });
                    add(Time(staggered(n).0 + trouble.down.0), Step::StartNode(node));
                }
            }
            TroubleKind::ZoneLoss => {
                for b in
                    (0..backends).filter(|b| b % usize::from(scenario.zones) == usize::from(trouble.zone))
                {
                    add(at, Step::CutOff(b));
                    add(end, Step::Reconnect(b));
                }
            }
            TroubleKind::ListOutage => {
                add(at, Step::DiscoveryDown);
                add(end, Step::DiscoveryUp);
            }
            TroubleKind::Stalls => {
                for &b in &affected {
                    let mut next = at.0 + rng.exponential(trouble.every.micros()) as u64;
                    while next < end.0 {
                        let length = rng.exponential(trouble.down.micros()) as u64 + 1;
                        add(Time(next), Step::Stall(b, Micros(length)));
                        next += length + rng.exponential(trouble.every.micros()) as u64;
                    }
                }
            }
            TroubleKind::Hangs => {
                for &b in &affected {
                    add(at, Step::Hang(b, true));
                    add(end, Step::Hang(b, false));
                }
            }
            TroubleKind::Slow => {
                let factor = trouble.strength.max(0.001);
                for &b in &affected {
                    add(at, Step::ScaleSpeed(b, factor));
                    add(end, Step::ScaleSpeed(b, 1.0 / factor));
                }
            }
            TroubleKind::Errors => {
                for &b in &affected {
                    add(at, Step::AddErrors(b, trouble.strength));
                    add(end, Step::AddErrors(b, -trouble.strength));
                }
            }
            TroubleKind::Resets => {
                add(at, Step::AddResets(trouble.strength));
                add(end, Step::AddResets(-trouble.strength));
            }
            TroubleKind::LostAnswers => {
                add(at, Step::AddLostAnswers(trouble.strength));
                add(end, Step::AddLostAnswers(-trouble.strength));
            }
            TroubleKind::Delay => {
                add(at, Step::AddDelay(trouble.down.0 as i64));
                add(end, Step::AddDelay(-(trouble.down.0 as i64)));
            }
            // The arrivals take it into account.
            TroubleKind::Burst => {}
        }
    }
    steps.sort_by_key(|(at, _)| *at);
    steps
}
