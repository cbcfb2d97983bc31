//! Searches for the pair of overlapping troubles that costs most service, and shrinks it to a small scenario.

use crate::policy;
use crate::rng::{RngStream, SeededRng};
use crate::scenario::{Scenario, Trouble, TroubleKind};
use crate::span::Time;
use crate::virtual_clock;
use rayon::prelude::*;

/// The result of a scenario compared with the policy `sighted`, which knows the state of all backends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceLoss {
    /// The service of the policy under test.
    pub service: f64,
    /// The service of the policy `sighted`.
    pub sighted: f64,
    /// Rule violations of the policy under test.
    pub violations: u64,
}

impl ServiceLoss {
    /// How bad the scenario is for the policy. A rule violation is worse than any loss of service.
    pub fn score(&self) -> f64 {
        (self.sighted - self.service) + if self.violations > 0 { 1.0 } else { 0.0 }
    }
}

/// Plays the scenario with the named policy and with `sighted`.
pub fn measure_loss(scenario: &Scenario, seed: u64, name: &str) -> Result<ServiceLoss, String> {
    let play = |name: &str| {
        let create = |context: &policy::NodeContext| policy::create(name, context);
        virtual_clock::play(scenario, seed, name, &create, &mut |_| ()).map(|(result, _)| result)
    };
    let (own, sighted) = (play(name)?, play("sighted")?);
    Ok(ServiceLoss { service: own.service, sighted: sighted.service, violations: own.rules.count() })
}

fn draw_trouble(
    kind: TroubleKind,
    scenario: &Scenario,
    first: Option<&Trouble>,
    rng: &mut SeededRng,
) -> Trouble {
    let (start, length) = (scenario.settle.0, scenario.length.0);
    let span = length - start;
    let trouble_length = span / 10 + (rng.uniform() * 0.4 * span as f64) as u64;
    // The second trouble starts while the first lasts, or shortly after it.
    let at = match first {
        None => start + (rng.uniform() * 0.5 * span as f64) as u64,
        Some(first) => {
            (first.at.0 + (rng.uniform() * first.length.0.max(span / 10) as f64) as u64).min(length - 1)
        }
    };
    let uniform_in = |rng: &mut SeededRng, low: f64, high: f64| {
        // Two decimal digits are precise enough and easier to read.
        ((low + (high - low) * rng.uniform()) * 100.0).round() / 100.0
    };
    let share = match kind {
        TroubleKind::RollingDeploy => uniform_in(rng, 0.5, 1.0),
        TroubleKind::Deaths | TroubleKind::Hangs => uniform_in(rng, 0.1, 0.5),
        TroubleKind::NodeRestarts | TroubleKind::NodeDeaths => uniform_in(rng, 0.3, 1.0),
        _ => uniform_in(rng, 0.2, 1.0),
    };
    let strength = match kind {
        TroubleKind::Slow => uniform_in(rng, 0.1, 0.5),
        TroubleKind::Errors | TroubleKind::Resets | TroubleKind::LostAnswers => uniform_in(rng, 0.05, 0.5),
        TroubleKind::Burst => uniform_in(rng, 1.3, 4.0),
        _ => 1.0,
    };
    let millis = |n: f64| Time::millis((n / 10.0).round() as u64 * 10);
    let down = match kind {
        TroubleKind::Stalls => millis(uniform_in(rng, 100.0, 900.0)),
        TroubleKind::Delay => Time((uniform_in(rng, 1.0, 20.0) * 1000.0) as u64),
        TroubleKind::RollingDeploy => millis(uniform_in(rng, 500.0, 2000.0)),
        _ => millis(uniform_in(rng, 1000.0, 5000.0)),
    };
    let round = |n: u64| Time(n / 100_000 * 100_000);
    let zone = rng.below(usize::from(scenario.zones)) as u16;
    let (every, swap) = (millis(uniform_in(rng, 500.0, 3000.0)), rng.chance(0.5));
    Trouble {
        kind,
        at: round(at),
        length: round(trouble_length),
        share,
        strength,
        down,
        every,
        swap,
        zone,
        customer: None,
    }
}

fn with_troubles(scenario: &Scenario, troubles: Vec<Trouble>) -> Scenario {
    Scenario { troubles, ..scenario.clone() }
}

/// The worst scenario that was found.
pub struct SearchResult {
    pub scenario: Scenario,
    pub loss: ServiceLoss,
    /// How many scenarios were played.
    pub plays: usize,
}

/// Plays `budget` scenarios with pairs of troubles, going through all pairs of kinds in turn.
pub fn search(
    scenario: &Scenario,
    seed: u64,
    name: &str,
    budget: usize,
    progress: &(dyn Fn() + Sync),
) -> Result<SearchResult, String> {
    let mut pairs = Vec::new();
    for (i, first) in TroubleKind::ALL.iter().enumerate() {
        for second in &TroubleKind::ALL[i..] {
            let loses_zone = *first == TroubleKind::ZoneLoss || *second == TroubleKind::ZoneLoss;
            // With a single zone, its loss is the loss of all backends, which no policy can mitigate.
            if !loses_zone || scenario.zones > 1 {
                pairs.push((*first, *second));
            }
        }
    }
    let jobs: Vec<usize> = (0..budget).collect();
    let play = |&job: &usize| {
        let mut rng = SeededRng::with_index(seed, RngStream::Search, job as u64);
        // The order of the pairs is random; otherwise a small budget would only cover the first kinds.
        let mut order = SeededRng::with_index(seed, RngStream::Search, u64::from(u32::MAX));
        let shuffled = order.sample_indices(pairs.len(), 1.0);
        let (first, second) = pairs[shuffled[job % pairs.len()]];
        let first = draw_trouble(first, scenario, None, &mut rng);
        let second = draw_trouble(second, scenario, Some(&first), &mut rng);
        let candidate = with_troubles(scenario, vec![first, second]);
        let loss = measure_loss(&candidate, seed, name)?;
        progress();
        Ok((candidate, loss))
    };
    let played: Vec<(Scenario, ServiceLoss)> = jobs.par_iter().map(play).collect::<Result<_, String>>()?;
    let worst = played.into_iter().reduce(|a, b| if b.1.score() > a.1.score() { b } else { a });
    let (scenario, loss) = worst.ok_or("the budget must be at least 1")?;
    Ok(SearchResult { scenario, loss, plays: budget })
}

/// Makes the scenario smaller for as long as at least four fifths of its score remain.
pub fn shrink(result: &SearchResult, seed: u64, name: &str) -> Result<SearchResult, String> {
    let min_score = 0.8 * result.loss.score();
    let (mut best, mut plays) = (SearchResult { scenario: result.scenario.clone(), ..*result }, result.plays);
    loop {
        let variants = smaller_variants(&best.scenario);
        let losses: Vec<Result<ServiceLoss, String>> =
            variants.par_iter().map(|s| measure_loss(s, seed, name)).collect();
        plays += variants.len();
        let mut next = None;
        for (scenario, loss) in variants.into_iter().zip(losses) {
            let loss = loss?;
            if loss.score() >= min_score {
                next = Some((scenario, loss));
                break;
            }
        }
        let Some((scenario, loss)) = next else { break };
        best = SearchResult { scenario, loss, plays };
    }
    best.plays = plays;
    best.scenario.name = format!("{}-worst", result.scenario.name);
    let kinds: Vec<&str> = best.scenario.troubles.iter().map(|t| t.kind.label()).collect();
    best.scenario.about = format!(
        "Found by search with seed {seed}: {}. Service {:.3}, {:.3} with sight of all.",
        kinds.join(" with "),
        best.loss.service,
        best.loss.sighted
    );
    Ok(best)
}

/// All valid scenarios that are one step smaller, the largest steps first.
fn smaller_variants(scenario: &Scenario) -> Vec<Scenario> {
    let mut variants = Vec::new();
    let mut add = |change: &dyn Fn(&mut Scenario)| {
        let mut variant = scenario.clone();
        change(&mut variant);
        if variant.check().is_ok() {
            variants.push(variant);
        }
    };
    for i in 0..scenario.troubles.len() {
        add(&|s| drop(s.troubles.remove(i)));
    }
    if scenario.profiles.len() > 1 {
        for i in 0..scenario.profiles.len() {
            add(&|s| drop(s.profiles.remove(i)));
        }
    }
    if scenario.backends.len() > 1 {
        for i in 0..scenario.backends.len() {
            add(&|s| drop(s.backends.remove(i)));
        }
    }
    let end = scenario.troubles.iter().map(|t| t.end().0 + 5_000_000).max().unwrap_or(scenario.settle.0 * 2);
    if end < scenario.length.0 {
        add(&|s| s.length = Time(end));
    }
    if scenario.nodes > 1 {
        add(&|s| s.nodes /= 2);
    }
    for i in 0..scenario.backends.len() {
        let kind = &scenario.backends[i];
        if kind.count > 2 {
            add(&|s| s.backends[i].count /= 2);
        }
        if kind.stalls.is_some() {
            add(&|s| s.backends[i].stalls = None);
        }
        if kind.neighbours.is_some() {
            add(&|s| s.backends[i].neighbours = None);
        }
        if kind.spread > 0.0 {
            add(&|s| s.backends[i].spread = 0.0);
        }
    }
    if !scenario.customers.is_empty() {
        add(&|s| s.customers.clear());
    }
    if scenario.clients.leaving > 0.0 {
        add(&|s| s.clients.leaving = 0.0);
    }
    for i in 0..scenario.troubles.len() {
        if scenario.troubles[i].length.0 > 1_000_000 {
            add(&|s| s.troubles[i].length.0 /= 2);
        }
    }
    variants
}
