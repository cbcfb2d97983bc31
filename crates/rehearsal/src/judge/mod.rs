//! Judges: they see what clients and backends saw, in words of their own, and share no code with what they
//! judge. Both clocks tell them the same sightings.

pub mod observation;
pub mod result;
pub mod rules;
pub mod service;
pub mod views;

use crate::scenario::Scenario;
pub use observation::{CommandOutcome, FinalAnswer, Observation};
use result::PlayResult;
use rules::RuleJudge;
use service::ServiceJudge;
use views::ViewJudge;
use yarrowfront::times::Timestamp;

/// All judges.
pub struct Judges {
    pub rules: RuleJudge,
    pub service: ServiceJudge,
    pub views: ViewJudge,
    origin: Timestamp,
}

impl Judges {
    pub fn new(scenario: &Scenario, origin: Timestamp, backends: usize) -> Judges {
        let (rules, service) =
            (RuleJudge::new(scenario, origin), ServiceJudge::new(scenario, origin, backends));
        Judges { rules, service, views: ViewJudge::new(scenario, origin), origin }
    }

    /// What it has come to.
    pub fn result(&self, scenario: &Scenario, of: (&str, &str), seed: u64) -> PlayResult {
        let mut played = PlayResult::of(scenario, (&self.rules.broken, &self.service), of, seed);
        let (rules, found) = (&mut played.rules, &self.views.found);
        (rules.deaths, rules.portions, rules.views) = (found.deaths, found.portions, found.views);
        let told = |(at, text): &(Timestamp, String)| {
            format!("{:.3} s: {text}", at.since(self.origin).as_f64() / 1e6)
        };
        rules.cases.extend(found.cases.iter().take(rules::CASES).map(told));
        played
    }

    pub fn observe(&mut self, seen: Observation) {
        self.rules.observe(&seen);
        self.service.observe(&seen);
    }
}
