//! Troubles as a timeline of single steps, drawn once for a scenario and a seed. They may overlap as they like:
//! a step says what becomes of one thing, and `fleet` knows what that means where others have been before.

use crate::rng::{RngStream, SeededRng};
use crate::scenario::{Scenario, TroubleKind};
use crate::span::Time;
use yarrowfront::times::Micros;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    Drain(usize),
    /// The drained process ends.
    StopDrained(usize),
    /// A new machine like this one.
    Replace(usize),
    Kill(usize),
    Restart(usize),
    CutOff(usize),
    Reconnect(usize),
    Stall(usize, Micros),
    Hang(usize, bool),
    /// What is left of its speed, as a factor that comes and goes.
    ScaleSpeed(usize, f64),
    AddErrors(usize, f64),
    StopNode(usize),
    KillNode(usize),
    StartNode(usize),
    DiscoveryDown,
    DiscoveryUp,
    AddResets(f64),
    AddLostAnswers(f64),
    AddDelay(i64),
}

/// A process takes so long to start.
const STARTING: Time = Time::millis(800);

/// All steps by their time from the scenario's start; steps of one moment in the order of the file.
pub fn timeline(scenario: &Scenario, seed: u64) -> Vec<(Time, Step)> {
    let backends = scenario.backends.iter().map(|k| k.count as usize).sum::<usize>();
    let mut steps = Vec::new();
    for (i, trouble) in scenario.troubles.iter().enumerate() {
        // A stream each: taking one trouble away leaves the others as they were.
        let mut draw = SeededRng::with_index(seed, RngStream::Troubles, 1 << 8 | i as u64);
        let (at, end) = (trouble.at, trouble.ends());
        let nodes = matches!(trouble.kind, TroubleKind::NodeRestarts | TroubleKind::NodeDeaths);
        let some = draw.some_of(if nodes { scenario.nodes as usize } else { backends }, trouble.share);
        let apart = |n: usize| Time(at.0 + trouble.length.0 * n as u64 / some.len().max(1) as u64);
        let mut add = |at: Time, step: Step| steps.push((at, step));
        match trouble.kind {
            TroubleKind::RollingDeploy => {
                for (n, &b) in some.iter().enumerate() {
                    let (at, gone) = (apart(n), Time(apart(n).0 + trouble.down.0));
                    add(at, Step::Drain(b));
                    add(gone, Step::StopDrained(b));
                    if trouble.swap {
                        add(at, Step::Replace(b));
                    } else {
                        add(Time(gone.0 + STARTING.0), Step::Restart(b));
                    }
                }
            }
            TroubleKind::Deaths => {
                for &b in &some {
                    add(at, Step::Kill(b));
                    // Those that die together do not come back in the same instant.
                    let back = trouble.down.span().scaled(0.9 + 0.2 * draw.uniform());
                    add(Time(at.0 + back.0), Step::Restart(b));
                }
            }
            TroubleKind::NodeRestarts | TroubleKind::NodeDeaths => {
                for (n, &node) in some.iter().enumerate() {
                    let planned = trouble.kind == TroubleKind::NodeRestarts;
                    add(apart(n), if planned { Step::StopNode(node) } else { Step::KillNode(node) });
                    add(Time(apart(n).0 + trouble.down.0), Step::StartNode(node));
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
                for &b in &some {
                    let mut next = at.0 + draw.exponential(trouble.every.micros()) as u64;
                    while next < end.0 {
                        let length = draw.exponential(trouble.down.micros()) as u64 + 1;
                        add(Time(next), Step::Stall(b, Micros(length)));
                        next += length + draw.exponential(trouble.every.micros()) as u64;
                    }
                }
            }
            TroubleKind::Hangs => {
                for &b in &some {
                    add(at, Step::Hang(b, true));
                    add(end, Step::Hang(b, false));
                }
            }
            TroubleKind::Slow => {
                let part = trouble.strength.max(0.001);
                for &b in &some {
                    add(at, Step::ScaleSpeed(b, part));
                    add(end, Step::ScaleSpeed(b, 1.0 / part));
                }
            }
            TroubleKind::Errors => {
                for &b in &some {
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
            // The arrivals know of it.
            TroubleKind::Burst => {}
        }
    }
    steps.sort_by_key(|(at, _)| *at);
    steps
}
