//! Judges: they see what clients and backends saw, in words of their own, and share no code with what they
//! judge. Both clocks tell them the same sightings.

pub mod result;
pub mod rules;
pub mod seen;
pub mod service;

use crate::scenario::Scenario;
use result::Played;
use rules::Rules;
pub use seen::{Ending, Final, Seen};
use service::Service;
use yarrowfront::times::Moment;

/// Both judges.
pub struct Judges {
    pub rules: Rules,
    pub service: Service,
}

impl Judges {
    pub fn new(scenario: &Scenario, origin: Moment, backends: usize) -> Judges {
        Judges { rules: Rules::new(scenario, origin), service: Service::new(scenario, origin, backends) }
    }

    /// What it has come to.
    pub fn result(&self, scenario: &Scenario, of: (&str, &str), seed: u64) -> Played {
        Played::of(scenario, (&self.rules.broken, &self.service), of, seed)
    }

    pub fn see(&mut self, seen: Seen) {
        self.rules.see(&seen);
        self.service.see(&seen);
    }
}
