//! Judges check a play from the outside: from what clients, backends and discovery observed. They have types of their own
//! and share no code with what they judge. The virtual and the real clock report the same observations.

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

/// All judges of a play.
pub struct Judges {
    pub rules: RuleJudge,
    pub service: ServiceJudge,
    pub views: ViewJudge,
    /// Where the scenario's time starts on the clock.
    origin: Timestamp,
}

impl Judges {
    /// Judges for a scenario that starts at `origin` with this many backends.
    pub fn new(scenario: &Scenario, origin: Timestamp, backends: usize) -> Judges {
        let (rules, service) =
            (RuleJudge::new(scenario, origin), ServiceJudge::new(scenario, origin, backends));
        Judges { rules, service, views: ViewJudge::new(scenario, origin), origin }
    }

    /// The result of the play so far; `labels` are the names of the policy and of the clock.
    pub fn result(&self, scenario: &Scenario, labels: (&str, &str), seed: u64) -> PlayResult {
        let mut result =
            PlayResult::from_judges(scenario, (&self.rules.violations, &self.service), labels, seed);
        let (rules, found) = (&mut result.rules, &self.views.violations);
        (rules.deaths, rules.portions, rules.views) = (found.deaths, found.portions, found.views);
        let describe = |(at, text): &(Timestamp, String)| {
            format!("{:.3} s: {text}", at.since(self.origin).as_f64() / 1e6)
        };
        rules.cases.extend(found.cases.iter().take(rules::MAX_DESCRIBED_CASES).map(describe));
        result
    }

    /// Takes note of an observation.
    pub fn observe(&mut self, observation: Observation) {
        self.rules.observe(&observation);
        self.service.observe(&observation);
    }
}
