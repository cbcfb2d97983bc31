//! The commands that clients want done. They are generated without regard to any answer, so that a seed gives the same
//! commands whatever policy serves them (an open-loop load).

use crate::rng::{RngStream, SeededRng};
use crate::scenario::{LoadShape, Scenario, TroubleKind};
use yarrowfront::times::Timestamp;

/// A command that a client wants done. The client's retries belong to the same command.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Counted from 0 in the order in which commands are due.
    pub number: u64,
    pub due: Timestamp,
    pub profile: u16,
    pub customer: u32,
    /// Work in microseconds on a core of speed one; the same for every launch.
    pub work: f64,
    /// The client's estimate of the work, if clients give one.
    pub work_hint: Option<f64>,
    /// Whether the client leaves before its time limit.
    pub leaves_early: bool,
    /// Chooses the node of the first attempt, from 0 up to but excluding 1: it is multiplied by the number of nodes.
    pub node_draw: f64,
}

/// Generates the commands of a scenario in the order in which they are due.
pub struct Arrivals<'a> {
    scenario: &'a Scenario,
    rng: SeededRng,
    /// Time since the start of the scenario, in microseconds.
    at_us: f64,
    number: u64,
    /// For the load shape `bursts`: whether a burst is on, and when that changes next.
    in_burst: bool,
    next_burst_change_us: f64,
    /// For the load shape `wandering`: the phases of its two waves, as parts of a period.
    phase: [f64; 2],
    cumulative_profile_shares: Vec<f64>,
    cumulative_customer_shares: Vec<f64>,
}

/// Mean lengths of bursts and of the calm between them.
const BURST_MEAN_US: f64 = 2e6;
const CALM_MEAN_US: f64 = 6e6;

fn cumulative_sums(shares: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    shares
        .map(|share| {
            sum += share;
            sum
        })
        .collect()
}

/// Chooses an index by cumulative shares; `draw` is from 0 up to but excluding 1.
fn choose_index(cumulative_shares: &[f64], draw: f64) -> usize {
    let total = cumulative_shares.last().copied().unwrap_or(0.0);
    cumulative_shares.iter().position(|sum| draw * total < *sum).unwrap_or(0)
}

impl<'a> Arrivals<'a> {
    pub fn new(scenario: &'a Scenario, seed: u64) -> Arrivals<'a> {
        let mut rng = SeededRng::new(seed, RngStream::Arrivals);
        let phase = [rng.uniform(), rng.uniform()];
        let next_burst_change_us = rng.exponential(CALM_MEAN_US);
        Arrivals {
            scenario,
            rng,
            at_us: 0.0,
            number: 0,
            in_burst: false,
            next_burst_change_us,
            phase,
            cumulative_profile_shares: cumulative_sums(scenario.profiles.iter().map(|p| p.share)),
            cumulative_customer_shares: cumulative_sums(scenario.customers.iter().map(|c| c.share)),
        }
    }

    /// The rate in commands per microsecond at this time, without troubles.
    fn base_rate(&mut self) -> f64 {
        let (base, swing) = (self.scenario.rate() / 1e6, self.scenario.load.swing);
        match self.scenario.load.shape {
            LoadShape::Poisson | LoadShape::Even => base,
            LoadShape::Bursts => {
                while self.next_burst_change_us <= self.at_us {
                    self.in_burst = !self.in_burst;
                    self.next_burst_change_us +=
                        self.rng.exponential(if self.in_burst { BURST_MEAN_US } else { CALM_MEAN_US });
                }
                // The mean rate over bursts and calm stays the base rate.
                let burst_extra = swing * (BURST_MEAN_US + CALM_MEAN_US) / BURST_MEAN_US;
                base * (1.0 - swing + if self.in_burst { burst_extra } else { 0.0 })
            }
            LoadShape::Wandering => {
                let wave =
                    |period: f64, phase: f64| ((self.at_us / period + phase) * std::f64::consts::TAU).sin();
                base * (1.0 + swing * 0.5 * (wave(17e6, self.phase[0]) + wave(41e6, self.phase[1])))
            }
        }
    }

    /// The factor by which burst troubles raise the rate at this time. If a burst is one customer's, also that customer's
    /// index and the share of the commands that its burst adds.
    fn burst_troubles(&self) -> (f64, Option<(usize, f64)>) {
        let (mut factor, mut customer_burst) = (1.0, None);
        for trouble in self.scenario.troubles.iter().filter(|t| t.kind == TroubleKind::Burst) {
            if (trouble.at.micros()..trouble.end().micros()).contains(&self.at_us) {
                let customers = &self.scenario.customers;
                match trouble.customer.as_ref().and_then(|n| customers.iter().position(|c| &c.name == n)) {
                    Some(i) => {
                        let share = customers[i].share
                            / self.cumulative_customer_shares.last().copied().unwrap_or(1.0);
                        let extra = share * (trouble.strength - 1.0).max(0.0);
                        factor *= 1.0 + extra;
                        customer_burst = Some((i, extra / (1.0 + extra)));
                    }
                    None => factor *= trouble.strength,
                }
            }
        }
        (factor, customer_burst)
    }
}

impl Iterator for Arrivals<'_> {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let length_us = self.scenario.length.micros();
        // The rate is taken anew after 50 ms at the latest; otherwise a change during a long gap would be missed.
        let (rate, customer_burst) = loop {
            let base_rate = self.base_rate();
            let (factor, customer_burst) = self.burst_troubles();
            let rate = base_rate * factor;
            let gap_us = match self.scenario.load.shape {
                LoadShape::Even if rate > 0.0 => 1.0 / rate,
                _ if rate > 0.0 => self.rng.exponential(1.0 / rate),
                _ => f64::MAX,
            };
            let even = self.scenario.load.shape == LoadShape::Even && rate > 0.0;
            if gap_us <= 50_000.0 || even {
                self.at_us += gap_us;
                break (rate, customer_burst);
            }
            self.at_us += 50_000.0;
            if self.at_us >= length_us {
                return None;
            }
        };
        if self.at_us >= length_us || rate <= 0.0 {
            return None;
        }
        let profile = choose_index(&self.cumulative_profile_shares, self.rng.uniform());
        let mut customer = choose_index(&self.cumulative_customer_shares, self.rng.uniform());
        if let Some((i, share)) = customer_burst {
            if self.rng.uniform() < share {
                customer = i;
            }
        }
        let settings = &self.scenario.profiles[profile];
        let work = self.rng.work(settings.law, settings.work.micros(), settings.spread);
        let hint_error = self.rng.lognormal(1.0, self.scenario.clients.hints);
        let (leave_draw, node_draw) = (self.rng.uniform(), self.rng.uniform());
        self.number += 1;
        Some(Arrival {
            number: self.number - 1,
            due: Timestamp(self.at_us as u64),
            profile: profile as u16,
            customer: customer as u32,
            work,
            work_hint: (self.scenario.clients.hints > 0.0).then_some(work * hint_error),
            leaves_early: leave_draw < self.scenario.clients.leaving,
            node_draw,
        })
    }
}
