//! Troubles as a timeline of single steps, drawn once for a scenario and a seed. They may overlap as they like:
//! a step says what becomes of one thing, and `fleet` knows what that means where others have been before.

use crate::draw::{Draw, Stream};
use crate::scenario::{Scenario, What};
use crate::span::Time;
use yarrowfront::times::Micros;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    Drain(usize),
    /// The drained process ends.
    Leave(usize),
    /// A new machine like this one.
    Replace(usize),
    Die(usize),
    Rise(usize),
    Cut(usize),
    Mend(usize),
    Stand(usize, Micros),
    Hang(usize, bool),
    /// What is left of its speed, as a factor that comes and goes.
    Slow(usize, f64),
    Errors(usize, f64),
    StopNode(usize),
    KillNode(usize),
    StartNode(usize),
    ListDown,
    ListUp,
    Resets(f64),
    LostAnswers(f64),
    Delay(i64),
}

/// A process takes so long to start.
const STARTING: Time = Time::millis(800);

/// All steps by their time from the scenario's start; steps of one moment in the order of the file.
pub fn timeline(scenario: &Scenario, seed: u64) -> Vec<(Time, Step)> {
    let backends = scenario.backends.iter().map(|k| k.count as usize).sum::<usize>();
    let mut steps = Vec::new();
    for (i, trouble) in scenario.troubles.iter().enumerate() {
        // A stream each: taking one trouble away leaves the others as they were.
        let mut draw = Draw::numbered(seed, Stream::Troubles, 1 << 8 | i as u64);
        let (at, end) = (trouble.at, trouble.ends());
        let nodes = matches!(trouble.kind, What::NodeRestarts | What::NodeDeaths);
        let some = draw.some_of(if nodes { scenario.nodes as usize } else { backends }, trouble.share);
        let apart = |n: usize| Time(at.0 + trouble.length.0 * n as u64 / some.len().max(1) as u64);
        let mut add = |at: Time, step: Step| steps.push((at, step));
        match trouble.kind {
            What::RollingDeploy => {
                for (n, &b) in some.iter().enumerate() {
                    let (at, gone) = (apart(n), Time(apart(n).0 + trouble.down.0));
                    add(at, Step::Drain(b));
                    add(gone, Step::Leave(b));
                    if trouble.swap {
                        add(at, Step::Replace(b));
                    } else {
                        add(Time(gone.0 + STARTING.0), Step::Rise(b));
                    }
                }
            }
            What::Deaths => {
                for &b in &some {
                    add(at, Step::Die(b));
                    // Those that die together do not come back in the same instant.
                    let back = trouble.down.span().scaled(0.9 + 0.2 * draw.unit());
                    add(Time(at.0 + back.0), Step::Rise(b));
                }
            }
            What::NodeRestarts | What::NodeDeaths => {
                for (n, &node) in some.iter().enumerate() {
                    let planned = trouble.kind == What::NodeRestarts;
                    add(apart(n), if planned { Step::StopNode(node) } else { Step::KillNode(node) });
                    add(Time(apart(n).0 + trouble.down.0), Step::StartNode(node));
                }
            }
            What::ZoneLoss => {
                for b in
                    (0..backends).filter(|b| b % usize::from(scenario.zones) == usize::from(trouble.zone))
                {
                    add(at, Step::Cut(b));
                    add(end, Step::Mend(b));
                }
            }
            What::ListOutage => {
                add(at, Step::ListDown);
                add(end, Step::ListUp);
            }
            What::Stalls => {
                for &b in &some {
                    let mut next = at.0 + draw.exponential(trouble.every.micros()) as u64;
                    while next < end.0 {
                        let length = draw.exponential(trouble.down.micros()) as u64 + 1;
                        add(Time(next), Step::Stand(b, Micros(length)));
                        next += length + draw.exponential(trouble.every.micros()) as u64;
                    }
                }
            }
            What::Hangs => {
                for &b in &some {
                    add(at, Step::Hang(b, true));
                    add(end, Step::Hang(b, false));
                }
            }
            What::Slow => {
                let part = trouble.strength.max(0.001);
                for &b in &some {
                    add(at, Step::Slow(b, part));
                    add(end, Step::Slow(b, 1.0 / part));
                }
            }
            What::Errors => {
                for &b in &some {
                    add(at, Step::Errors(b, trouble.strength));
                    add(end, Step::Errors(b, -trouble.strength));
                }
            }
            What::Resets => {
                add(at, Step::Resets(trouble.strength));
                add(end, Step::Resets(-trouble.strength));
            }
            What::LostAnswers => {
                add(at, Step::LostAnswers(trouble.strength));
                add(end, Step::LostAnswers(-trouble.strength));
            }
            What::Delay => {
                add(at, Step::Delay(trouble.down.0 as i64));
                add(end, Step::Delay(-(trouble.down.0 as i64)));
            }
            // The arrivals know of it.
            What::Burst => {}
        }
    }
    steps.sort_by_key(|(at, _)| *at);
    steps
}
