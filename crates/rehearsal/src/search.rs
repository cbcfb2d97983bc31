//! Looks for the pair of overlapping troubles that does worst, and shrinks it to a small scenario.

use crate::policy;
use crate::rng::{RngStream, SeededRng};
use crate::scenario::{Scenario, Trouble, TroubleKind};
use crate::span::Time;
use crate::virtual_clock;
use rayon::prelude::*;

/// How a scenario went: what was lost against the policy with sight of all, and rules broken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Loss {
    pub service: f64,
    pub sighted: f64,
    pub broken: u64,
}

impl Loss {
    /// A broken rule is worse than any loss of service.
    pub fn weight(&self) -> f64 {
        (self.sighted - self.service) + if self.broken > 0 { 1.0 } else { 0.0 }
    }
}

pub fn loss(scenario: &Scenario, seed: u64, name: &str) -> Result<Loss, String> {
    let play = |name: &str| {
        let make = |birth: &policy::NodeContext| policy::create(name, birth);
        virtual_clock::play(scenario, seed, name, &make, &mut |_| ()).map(|(played, _)| played)
    };
    let (own, sighted) = (play(name)?, play("sighted")?);
    Ok(Loss { service: own.service, sighted: sighted.service, broken: own.rules.count() })
}

fn draw_trouble(
    kind: TroubleKind,
    scenario: &Scenario,
    near: Option<&Trouble>,
    draw: &mut SeededRng,
) -> Trouble {
    let (from, length) = (scenario.settle.0, scenario.length.0);
    let span = length - from;
    let long = span / 10 + (draw.uniform() * 0.4 * span as f64) as u64;
    // The second one starts while the first goes on, or shortly after.
    let at = match near {
        None => from + (draw.uniform() * 0.5 * span as f64) as u64,
        Some(first) => {
            (first.at.0 + (draw.uniform() * first.length.0.max(span / 10) as f64) as u64).min(length - 1)
        }
    };
    let unit = |draw: &mut SeededRng, low: f64, high: f64| {
        // Two digits are enough, and read better.
        ((low + (high - low) * draw.uniform()) * 100.0).round() / 100.0
    };
    let share = match kind {
        TroubleKind::RollingDeploy => unit(draw, 0.5, 1.0),
        TroubleKind::Deaths | TroubleKind::Hangs => unit(draw, 0.1, 0.5),
        TroubleKind::NodeRestarts | TroubleKind::NodeDeaths => unit(draw, 0.3, 1.0),
        _ => unit(draw, 0.2, 1.0),
    };
    let strength = match kind {
        TroubleKind::Slow => unit(draw, 0.1, 0.5),
        TroubleKind::Errors | TroubleKind::Resets | TroubleKind::LostAnswers => unit(draw, 0.05, 0.5),
        TroubleKind::Burst => unit(draw, 1.3, 4.0),
        _ => 1.0,
    };
    let millis = |n: f64| Time::millis((n / 10.0).round() as u64 * 10);
    let down = match kind {
        TroubleKind::Stalls => millis(unit(draw, 100.0, 900.0)),
        TroubleKind::Delay => Time((unit(draw, 1.0, 20.0) * 1000.0) as u64),
        TroubleKind::RollingDeploy => millis(unit(draw, 500.0, 2000.0)),
        _ => millis(unit(draw, 1000.0, 5000.0)),
    };
    let round = |n: u64| Time(n / 100_000 * 100_000);
    let zone = draw.below(usize::from(scenario.zones)) as u16;
    let (every, swap) = (millis(unit(draw, 500.0, 3000.0)), draw.chance(0.5));
    Trouble {
        kind,
        at: round(at),
        length: round(long),
        share,
        strength,
        down,
        every,
        swap,
        zone,
        customer: None,
    }
}

fn with(scenario: &Scenario, troubles: Vec<Trouble>) -> Scenario {
    Scenario { troubles, ..scenario.clone() }
}

/// What was tried, and the worst of it.
pub struct Found {
    pub scenario: Scenario,
    pub loss: Loss,
    pub tried: usize,
}

/// Plays `budget` pairs of all kinds in turn.
pub fn search(
    scenario: &Scenario,
    seed: u64,
    name: &str,
    budget: usize,
    progress: &(dyn Fn() + Sync),
) -> Result<Found, String> {
    let mut pairs = Vec::new();
    for (i, first) in TroubleKind::ALL.iter().enumerate() {
        for second in &TroubleKind::ALL[i..] {
            let zones = *first == TroubleKind::ZoneLoss || *second == TroubleKind::ZoneLoss;
            // With one zone its loss is the loss of everything: nobody can help there.
            if !zones || scenario.zones > 1 {
                pairs.push((*first, *second));
            }
        }
    }
    let jobs: Vec<usize> = (0..budget).collect();
    let play = |&job: &usize| {
        let mut draw = SeededRng::with_index(seed, RngStream::Search, job as u64);
        // Which pairs come first is chance, or a small budget would only meet the first kinds.
        let mut order = SeededRng::with_index(seed, RngStream::Search, u64::from(u32::MAX));
        let shuffled = order.sample_indices(pairs.len(), 1.0);
        let (first, second) = pairs[shuffled[job % pairs.len()]];
        let one = draw_trouble(first, scenario, None, &mut draw);
        let other = draw_trouble(second, scenario, Some(&one), &mut draw);
        let tried = with(scenario, vec![one, other]);
        let loss = loss(&tried, seed, name)?;
        progress();
        Ok((tried, loss))
    };
    let played: Vec<(Scenario, Loss)> = jobs.par_iter().map(play).collect::<Result<_, String>>()?;
    let worst = played.into_iter().reduce(|a, b| if b.1.weight() > a.1.weight() { b } else { a });
    let (scenario, loss) = worst.ok_or("a budget of nothing finds nothing")?;
    Ok(Found { scenario, loss, tried: budget })
}

/// Makes it smaller as long as four fifths of the loss stay.
pub fn shrink(found: &Found, seed: u64, name: &str) -> Result<Found, String> {
    let least = 0.8 * found.loss.weight();
    let (mut best, mut tried) = (Found { scenario: found.scenario.clone(), ..*found }, found.tried);
    loop {
        let smaller = smaller(&best.scenario);
        let losses: Vec<Result<Loss, String>> = smaller.par_iter().map(|s| loss(s, seed, name)).collect();
        tried += smaller.len();
        let mut next = None;
        for (scenario, loss) in smaller.into_iter().zip(losses) {
            let loss = loss?;
            if loss.weight() >= least {
                next = Some((scenario, loss));
                break;
            }
        }
        let Some((scenario, loss)) = next else { break };
        best = Found { scenario, loss, tried };
    }
    best.tried = tried;
    best.scenario.name = format!("{}-worst", found.scenario.name);
    let kinds: Vec<&str> = best.scenario.troubles.iter().map(|t| t.kind.label()).collect();
    best.scenario.about = format!(
        "Found by search with seed {seed}: {}. Service {:.3}, {:.3} with sight of all.",
        kinds.join(" with "),
        best.loss.service,
        best.loss.sighted
    );
    Ok(best)
}

/// All that is a step smaller, the largest steps first.
fn smaller(scenario: &Scenario) -> Vec<Scenario> {
    let mut all = Vec::new();
    let mut add = |change: &dyn Fn(&mut Scenario)| {
        let mut one = scenario.clone();
        change(&mut one);
        if one.check().is_ok() {
            all.push(one);
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
    all
}
