//! Generates the scenario of a seed: a deployment, its clients, and several troubles that overlap.

use crate::rng::{RngStream, SeededRng};
use crate::scenario::{
    CommandEffect, List, ListMode, Load, LoadShape, Net, Profile, RetryMode, Scenario, Scope, Stress,
    Trouble, TroubleKind,
};
use crate::span::Time;

const SCENARIO_LENGTH: Time = Time::seconds(14);
/// Troubles begin after this time, or in one scenario of four after a longer undisturbed time.
const EARLIEST_TROUBLE_MS: u64 = 2_500;
const LATE_TROUBLE_START_MS: u64 = 6_000;
const LATEST_TROUBLE_MS: u64 = 10_000;
/// The idle connections of all nodes together, and how long the calls of all of them for the list wait, in a large fleet.
const LARGE_CROWD: u32 = 1500;
const LONGEST_LIST_QUEUE_MS: u64 = 1500;
/// Time limits of commands.
const TIME_LIMITS_MS: [u64; 5] = [150, 400, 1000, 2500, 5000];
/// With this factor on the work of its commands, a scenario leaves its backends little spare capacity.
const HEAVY_WORK_FACTOR: u64 = 5;

/// Generates the scenario of a seed.
pub fn generate_scenario(seed: u64) -> Scenario {
    let mut rng = SeededRng::new(seed, RngStream::Soak);
    let backends = 4 + rng.below(9) as u32;
    let nodes = if rng.chance(0.2) { 8 + rng.below(13) } else { 2 + rng.below(5) } as u32;
    let zones = 1 + rng.below(2) as u16;
    let limit_ms = TIME_LIMITS_MS[rng.below(TIME_LIMITS_MS.len())];
    let earliest_ms = if rng.chance(0.25) { LATE_TROUBLE_START_MS } else { EARLIEST_TROUBLE_MS };
    let troubles = draw_troubles(&mut rng, earliest_ms);
    let mode = if rng.chance(0.6) { ListMode::Ask } else { ListMode::Watch };
    let stress = draw_stress(&mut rng, nodes, mode);
    let kinds: Vec<&str> = troubles.iter().map(|trouble| trouble.kind.label()).collect();
    let about = format!("{nodes} nodes, {backends} backends, limits of {limit_ms} ms: {}", kinds.join(", "));
    let mut scenario = Scenario {
        name: format!("soak-{seed}"),
        about,
        length: SCENARIO_LENGTH,
        settle: Time::seconds(1),
        nodes,
        zones,
        load: Load {
            share: None,
            per_s: Some(60.0 + 100.0 * rng.uniform()),
            shape: if rng.chance(0.5) { LoadShape::Bursts } else { LoadShape::Poisson },
            swing: 0.4,
        },
        clients: Default::default(),
        list: List { mode, ask_within: Time::millis(2000 + 8000 * rng.below(2) as u64), ..List::default() },
        net: Net { resets: 0.01 * rng.below(3) as f64, ..Net::default() },
        allow: Default::default(),
        backends: vec![backend_kind(&mut rng, backends)],
        profiles: draw_profiles(&mut rng, limit_ms),
        customers: Vec::new(),
        troubles,
        view: None,
        faults: Vec::new(),
        drawn: None,
        stress: Some(stress),
        site_plan: None,
    };
    scenario.clients.leaving = 0.1 * rng.uniform();
    scenario.clients.leave_after = Time::millis(20 + rng.below(100) as u64);
    scenario.clients.retry_mode = [RetryMode::AtOnce, RetryMode::Wait, RetryMode::Advised][rng.below(3)];
    scenario.allow.second_copies = rng.chance(0.5);
    scenario.allow.probes = rng.chance(0.5);
    scenario.allow.drain_grace = Time::millis(300 + 100 * rng.below(3) as u64);
    add_variations(&mut SeededRng::new(seed, RngStream::Crossings), &mut scenario);
    add_answer_forms(&mut SeededRng::new(seed, RngStream::AnswerForms), &mut scenario);
    scenario
}

/// Sizes of the kernel's record of a TCP connection that are shorter than at build time.
const TCP_INFO_BYTES: [u32; 4] = [104, 192, 232, 240];

/// Generates the scenario of a seed with a fleet of 10 to 40 nodes, more troubles at the same time, and nodes on other versions of
/// the kernel.
pub fn generate_large_scenario(seed: u64) -> Scenario {
    let mut scenario = generate_scenario(seed);
    let mut rng = SeededRng::new(seed, RngStream::LargeFleets);
    let nodes = 10 + rng.below(31) as u32;
    scenario.name = format!("large-soak-{seed}");
    scenario.nodes = nodes;
    scenario.load.per_s = scenario.load.per_s.map(|per_s| per_s + 2.0 * f64::from(nodes));
    for _ in 0..1 + rng.below(2) {
        let kinds = [TroubleKind::Stalls, TroubleKind::Hangs, TroubleKind::Resets, TroubleKind::LostAnswers];
        let kind = kinds[rng.below(kinds.len())];
        scenario.troubles.push(draw_trouble(&mut rng, kind, EARLIEST_TROUBLE_MS));
    }
    let stress = scenario.stress.get_or_insert_default();
    stress.idle_crowd = stress.idle_crowd.min(LARGE_CROWD / nodes);
    stress.list_turn = stress.list_turn.min(Time::millis(LONGEST_LIST_QUEUE_MS / u64::from(nodes)));
    if rng.chance(0.5) {
        stress.tcp_info_bytes = TCP_INFO_BYTES[rng.below(TCP_INFO_BYTES.len())];
    }
    let kinds: Vec<&str> = scenario.troubles.iter().map(|trouble| trouble.kind.label()).collect();
    scenario.about = format!("{nodes} nodes: {}", kinds.join(", "));
    scenario
}

/// Adds some of these: profiles with different time limits, backends that start colder and have more work, and
/// configurations that move discovery during other troubles.
fn add_variations(rng: &mut SeededRng, scenario: &mut Scenario) {
    if rng.chance(0.5) {
        for profile in &mut scenario.profiles {
            let limit_ms = TIME_LIMITS_MS[rng.below(TIME_LIMITS_MS.len())];
            profile.goal = Time::millis(limit_ms / 2);
            profile.limit = Time::millis(limit_ms);
            profile.memory = Time::millis(2 * limit_ms);
        }
    }
    let shortest_limit = scenario.profiles.iter().map(|profile| profile.limit).min().unwrap_or_default();
    if shortest_limit >= Time::seconds(1) && rng.chance(0.5) {
        scenario
            .profiles
            .iter_mut()
            .for_each(|profile| profile.work = Time(HEAVY_WORK_FACTOR * profile.work.0));
        scenario.backends.iter_mut().for_each(|kind| kind.cold = 0.1 + 0.2 * rng.uniform());
    }
    if rng.chance(0.4) {
        let interval = Time::millis(1500 + rng.below(3000) as u64);
        scenario.stress.get_or_insert_default().discovery_moves_every = interval;
    }
}

/// In two scenarios of three, some of the answers come in drawn forms.
fn add_answer_forms(rng: &mut SeededRng, scenario: &mut Scenario) {
    if rng.chance(2.0 / 3.0) {
        scenario.stress.get_or_insert_default().answer_forms = 0.05 + 0.25 * rng.uniform();
    }
}

fn backend_kind(rng: &mut SeededRng, count: u32) -> crate::scenario::BackendKind {
    let text = format!(
        "kind = \"small\"\ncount = {count}\ngroup = 2\nspread = 0.2\ncores = {}\nwarm = \"{}s\"\ncold = 0.4\nerrors = {}\n",
        1 + rng.below(2),
        2 + rng.below(5),
        0.005 * rng.below(3) as f64,
    );
    toml::from_str(&text).expect("a kind of backends")
}

fn draw_profiles(rng: &mut SeededRng, limit_ms: u64) -> Vec<Profile> {
    let effects = [CommandEffect::Repeatable, CommandEffect::Tagged, CommandEffect::OnceOnly];
    let work_us = 4_000 + 1_000 * rng.below(8) as u64;
    let profile = |(number, effect): (usize, &CommandEffect)| Profile {
        name: format!("class-{number}"),
        share: 1.0,
        effect: *effect,
        scope: if number == 1 { Scope::Group } else { Scope::All },
        memory: Time::millis(2 * limit_ms),
        goal: Time::millis(limit_ms / 2),
        limit: Time::millis(limit_ms),
        payoff: 1.0,
        work: Time(work_us),
        law: crate::scenario::WorkDistribution::Exponential,
        spread: 1.0,
    };
    effects.iter().enumerate().map(profile).collect()
}

/// A rolling deploy of the backends and planned node restarts in nearly every scenario, and up to three more troubles.
fn draw_troubles(rng: &mut SeededRng, earliest_ms: u64) -> Vec<Trouble> {
    let mut kinds = Vec::new();
    if rng.chance(0.8) {
        kinds.push(TroubleKind::RollingDeploy);
    }
    // Only one of the two kinds: a process that one trouble has just started must not be killed by the other.
    kinds.push(if rng.chance(0.8) { TroubleKind::NodeRestarts } else { TroubleKind::NodeDeaths });
    let other_kinds = [
        TroubleKind::Deaths,
        TroubleKind::ListOutage,
        TroubleKind::Stalls,
        TroubleKind::Hangs,
        TroubleKind::Errors,
        TroubleKind::Resets,
        TroubleKind::LostAnswers,
    ];
    for _ in 0..1 + rng.below(3) {
        kinds.push(other_kinds[rng.below(other_kinds.len())]);
    }
    kinds.into_iter().map(|kind| draw_trouble(rng, kind, earliest_ms)).collect()
}

fn draw_trouble(rng: &mut SeededRng, kind: TroubleKind, earliest_ms: u64) -> Trouble {
    let at_ms = earliest_ms + rng.below((LATEST_TROUBLE_MS - earliest_ms) as usize / 2) as u64;
    let length_ms = 500 + rng.below((LATEST_TROUBLE_MS - at_ms) as usize) as u64;
    Trouble {
        kind,
        at: Time::millis(at_ms),
        length: Time::millis(length_ms),
        share: 0.2 + 0.4 * rng.uniform(),
        strength: match kind {
            TroubleKind::Errors => 0.3,
            TroubleKind::Resets | TroubleKind::LostAnswers => 0.05,
            _ => 1.0,
        },
        down: match kind {
            TroubleKind::Stalls => Time::millis(150),
            // A node is started again when its former process has certainly exited.
            TroubleKind::NodeRestarts => Time::millis(4500),
            _ => Time::millis(800 + rng.below(1500) as u64),
        },
        every: Time::millis(600),
        swap: rng.chance(0.5),
        ..Trouble::default()
    }
}

fn draw_stress(rng: &mut SeededRng, nodes: u32, mode: ListMode) -> Stress {
    let count_or_zero =
        |rng: &mut SeededRng, probability: f64, count: u32| if rng.chance(probability) { count } else { 0 };
    Stress {
        used_until_kill: rng.chance(0.8),
        signal_series: rng.chance(0.6),
        idle_crowd: count_or_zero(rng, 0.3, (1500 / nodes).min(700)),
        // Where the list is pushed, the end of a watch hides nothing from the node.
        watches_end: mode == ListMode::Ask && rng.chance(0.5),
        // All nodes are answered within the two seconds after which a change hidden by the end of a watch counts as known.
        list_turn: Time::millis(rng.below(2) as u64 * 1500 / u64::from(nodes)),
        short_calls: count_or_zero(rng, 0.4, 20),
        failing_accepts: count_or_zero(rng, 0.3, 10),
        failing_dials: count_or_zero(rng, 0.3, 10),
        ..Stress::default()
    }
}

#[cfg(test)]
mod tests {
    use super::{generate_large_scenario, generate_scenario};

    /// A seed always generates the same valid scenario, and the next seed another one.
    #[test]
    fn a_seed_generates_one_valid_scenario() {
        for seed in 0..200 {
            let scenario = generate_scenario(seed);
            assert_eq!(scenario.check(), Ok(()), "seed {seed}");
            let scenario_text = |seed| toml::to_string(&generate_scenario(seed)).expect("a text");
            assert_eq!(scenario_text(seed), scenario_text(seed));
            assert_ne!(scenario_text(seed), scenario_text(seed + 1));
            let large = generate_large_scenario(seed);
            assert_eq!(large.check(), Ok(()), "seed {seed}");
            assert!((10..=40).contains(&large.nodes), "seed {seed}");
        }
    }
}
