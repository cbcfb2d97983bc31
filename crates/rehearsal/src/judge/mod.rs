//! Judges: they see what clients and backends saw, in words of their own, and share no code with what they
//! judge. Both clocks tell them the same sightings.

pub mod result;
pub mod rules;
pub mod seen;
pub mod service;
pub mod views;

use crate::scenario::Scenario;
use result::Played;
use rules::Rules;
pub use seen::{Ending, Final, Seen};
use service::Service;
use views::Views;
use yarrowfront::times::Timestamp;

/// All judges.
pub struct Judges {
    pub rules: Rules,
    pub service: Service,
    pub views: Views,
    origin: Timestamp,
}

impl Judges {
    pub fn new(scenario: &Scenario, origin: Timestamp, backends: usize) -> Judges {
        let (rules, service) = (Rules::new(scenario, origin), Service::new(scenario, origin, backends));
        Judges { rules, service, views: Views::new(scenario, origin), origin }
    }

    /// What it has come to.
    pub fn result(&self, scenario: &Scenario, of: (&str, &str), seed: u64) -> Played {
        let mut played = Played::of(scenario, (&self.rules.broken, &self.service), of, seed);
        let (rules, found) = (&mut played.rules, &self.views.found);
        (rules.deaths, rules.portions, rules.views) = (found.deaths, found.portions, found.views);
        let told = |(at, text): &(Timestamp, String)| {
            format!("{:.3} s: {text}", at.since(self.origin).as_f64() / 1e6)
        };
        rules.cases.extend(found.cases.iter().take(rules::CASES).map(told));
        played
    }

    pub fn see(&mut self, seen: Seen) {
        self.rules.see(&seen);
        self.service.see(&seen);
    }
}
