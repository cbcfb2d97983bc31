//! The world of a seed: a deployment, its clients, and several troubles that cross each other.

use crate::rng::{RngStream, SeededRng};
use crate::scenario::{
    CommandEffect, List, ListMode, Load, LoadShape, Net, Profile, RetryMode, Scenario, Scope, Stress,
    Trouble, TroubleKind,
};
use crate::span::Time;

const LENGTH: Time = Time::seconds(14);
/// Troubles begin after this, or in one world of four after a quiet time.
const FIRST: u64 = 2_500;
const QUIET: u64 = 6_000;
const LAST: u64 = 10_000;
/// Time limits, in milliseconds.
const LIMITS: [u64; 5] = [150, 400, 1000, 2500, 5000];
/// By so much more has the work of a command to be to leave backends little to spare.
const HEAVIER: u64 = 5;

/// Draws it.
pub fn draw(seed: u64) -> Scenario {
    let mut draw = SeededRng::new(seed, RngStream::Soak);
    let backends = 4 + draw.below(9) as u32;
    let nodes = if draw.chance(0.2) { 8 + draw.below(13) } else { 2 + draw.below(5) } as u32;
    let zones = 1 + draw.below(2) as u16;
    let limit = LIMITS[draw.below(LIMITS.len())];
    let from = if draw.chance(0.25) { QUIET } else { FIRST };
    let troubles = troubles(&mut draw, from);
    let mode = if draw.chance(0.6) { ListMode::Ask } else { ListMode::Watch };
    let stress = stress(&mut draw, nodes, mode);
    let kinds: Vec<&str> = troubles.iter().map(|trouble| trouble.kind.label()).collect();
    let about = format!("{nodes} nodes, {backends} backends, limits of {limit} ms: {}", kinds.join(", "));
    let mut scenario = Scenario {
        name: format!("soak-{seed}"),
        about,
        length: LENGTH,
        settle: Time::seconds(1),
        nodes,
        zones,
        load: Load {
            share: None,
            per_s: Some(60.0 + 100.0 * draw.uniform()),
            shape: if draw.chance(0.5) { LoadShape::Bursts } else { LoadShape::Poisson },
            swing: 0.4,
        },
        clients: Default::default(),
        list: List { mode, ask_within: Time::millis(2000 + 8000 * draw.below(2) as u64), ..List::default() },
        net: Net { resets: 0.01 * draw.below(3) as f64, ..Net::default() },
        allow: Default::default(),
        backends: vec![backend(&mut draw, backends)],
        profiles: profiles(&mut draw, limit),
        customers: Vec::new(),
        troubles,
        view: None,
        faults: Vec::new(),
        drawn: None,
        stress: Some(stress),
        site_plan: None,
    };
    scenario.clients.leaving = 0.1 * draw.uniform();
    scenario.clients.leave_after = Time::millis(20 + draw.below(100) as u64);
    scenario.clients.retry_mode = [RetryMode::AtOnce, RetryMode::Wait, RetryMode::Advised][draw.below(3)];
    scenario.allow.second_copies = draw.chance(0.5);
    scenario.allow.probes = draw.chance(0.5);
    scenario.allow.drain_grace = Time::millis(300 + 100 * draw.below(3) as u64);
    cross(&mut SeededRng::new(seed, RngStream::Crossings), &mut scenario);
    scenario
}

/// Classes with limits of their own, backends that are colder and have more to do, and configurations that move discovery
/// while other things go on.
fn cross(draw: &mut SeededRng, scenario: &mut Scenario) {
    if draw.chance(0.5) {
        for profile in &mut scenario.profiles {
            let limit = LIMITS[draw.below(LIMITS.len())];
            profile.goal = Time::millis(limit / 2);
            profile.limit = Time::millis(limit);
            profile.memory = Time::millis(2 * limit);
        }
    }
    let shortest = scenario.profiles.iter().map(|profile| profile.limit).min().unwrap_or_default();
    if shortest >= Time::seconds(1) && draw.chance(0.5) {
        scenario.profiles.iter_mut().for_each(|profile| profile.work = Time(HEAVIER * profile.work.0));
        scenario.backends.iter_mut().for_each(|kind| kind.cold = 0.1 + 0.2 * draw.uniform());
    }
    if draw.chance(0.4) {
        let every = Time::millis(1500 + draw.below(3000) as u64);
        scenario.stress.get_or_insert_default().discovery_moves_every = every;
    }
}

fn backend(draw: &mut SeededRng, count: u32) -> crate::scenario::BackendKind {
    let text = format!(
        "kind = \"small\"\ncount = {count}\ngroup = 2\nspread = 0.2\ncores = {}\nwarm = \"{}s\"\ncold = 0.4\nerrors = {}\n",
        1 + draw.below(2),
        2 + draw.below(5),
        0.005 * draw.below(3) as f64,
    );
    toml::from_str(&text).expect("a kind of backends")
}

fn profiles(draw: &mut SeededRng, limit: u64) -> Vec<Profile> {
    let effects = [CommandEffect::Repeatable, CommandEffect::Tagged, CommandEffect::OnceOnly];
    let work = 4_000 + 1_000 * draw.below(8) as u64;
    let profile = |(number, effect): (usize, &CommandEffect)| Profile {
        name: format!("class-{number}"),
        share: 1.0,
        effect: *effect,
        scope: if number == 1 { Scope::Group } else { Scope::All },
        memory: Time::millis(2 * limit),
        goal: Time::millis(limit / 2),
        limit: Time::millis(limit),
        payoff: 1.0,
        work: Time(work),
        law: crate::scenario::WorkDistribution::Exponential,
        spread: 1.0,
    };
    effects.iter().enumerate().map(profile).collect()
}

/// A release and planned restarts in nearly every world, and up to three troubles more.
fn troubles(draw: &mut SeededRng, from: u64) -> Vec<Trouble> {
    let mut kinds = Vec::new();
    if draw.chance(0.8) {
        kinds.push(TroubleKind::RollingDeploy);
    }
    // One kind alone: a process that one trouble has started is not to be ended by another unasked.
    kinds.push(if draw.chance(0.8) { TroubleKind::NodeRestarts } else { TroubleKind::NodeDeaths });
    let others = [
        TroubleKind::Deaths,
        TroubleKind::ListOutage,
        TroubleKind::Stalls,
        TroubleKind::Hangs,
        TroubleKind::Errors,
        TroubleKind::Resets,
        TroubleKind::LostAnswers,
    ];
    for _ in 0..1 + draw.below(3) {
        kinds.push(others[draw.below(others.len())]);
    }
    kinds.into_iter().map(|kind| trouble(draw, kind, from)).collect()
}

fn trouble(draw: &mut SeededRng, kind: TroubleKind, from: u64) -> Trouble {
    let at = from + draw.below((LAST - from) as usize / 2) as u64;
    let length = 500 + draw.below((LAST - at) as usize) as u64;
    Trouble {
        kind,
        at: Time::millis(at),
        length: Time::millis(length),
        share: 0.2 + 0.4 * draw.uniform(),
        strength: match kind {
            TroubleKind::Errors => 0.3,
            TroubleKind::Resets | TroubleKind::LostAnswers => 0.05,
            _ => 1.0,
        },
        down: match kind {
            TroubleKind::Stalls => Time::millis(150),
            // A node is started again when the one before has surely ended.
            TroubleKind::NodeRestarts => Time::millis(4500),
            _ => Time::millis(800 + draw.below(1500) as u64),
        },
        every: Time::millis(600),
        swap: draw.chance(0.5),
        ..Trouble::default()
    }
}

fn stress(draw: &mut SeededRng, nodes: u32, mode: ListMode) -> Stress {
    let often = |draw: &mut SeededRng, share: f64, count: u32| if draw.chance(share) { count } else { 0 };
    Stress {
        used_until_kill: draw.chance(0.8),
        signal_series: draw.chance(0.6),
        idle_crowd: often(draw, 0.3, (1500 / nodes).min(700)),
        // Where the list is pushed an ended watch hides nothing from the agent.
        watches_end: mode == ListMode::Ask && draw.chance(0.5),
        // All nodes are served within the two seconds in which what a watch's end hides counts as known.
        list_turn: Time::millis(draw.below(2) as u64 * 1500 / u64::from(nodes)),
        short_calls: often(draw, 0.4, 20),
        failing_accepts: often(draw, 0.3, 10),
        failing_dials: often(draw, 0.3, 10),
        ..Stress::default()
    }
}

#[cfg(test)]
mod tests {
    use super::draw;

    /// A seed is a world: the same one each time, one that can be played, and not that of the next seed.
    #[test]
    fn worlds_of_seeds() {
        for seed in 0..200 {
            let world = draw(seed);
            assert_eq!(world.check(), Ok(()), "seed {seed}");
            let text = |seed| toml::to_string(&draw(seed)).expect("a text");
            assert_eq!(text(seed), text(seed));
            assert_ne!(text(seed), text(seed + 1));
        }
    }
}
