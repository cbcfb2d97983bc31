//! Commands as clients want them: drawn ahead of any answer, by the same numbers whatever serves them.

use crate::rng::{RngStream, SeededRng};
use crate::scenario::{LoadShape, Scenario, TroubleKind};
use yarrowfront::times::Timestamp;

/// A command as its client wants it. Its client's repeats belong to it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Counted from 0 on in the order in which they are due.
    pub number: u64,
    pub due: Timestamp,
    pub profile: u16,
    pub customer: u32,
    /// The same at every launch, in microseconds on a core of speed one.
    pub work: f64,
    /// The client's guess at it.
    pub work_hint: Option<f64>,
    /// Whether it leaves early.
    pub leaves_early: bool,
    /// Which of the equal nodes it would meet first, from 0 to under 1.
    pub node_draw: f64,
}

pub struct Arrivals<'a> {
    scenario: &'a Scenario,
    draw: SeededRng,
    at: f64,
    number: u64,
    /// For bursts: whether one is on, and until when.
    on: bool,
    turn: f64,
    /// Where the wandering starts in its waves.
    phase: [f64; 2],
    /// Cumulated shares of profiles and customers.
    profiles: Vec<f64>,
    customers: Vec<f64>,
}

/// Bursts and what lies between them, in the mean.
const BURST: f64 = 2e6;
const CALM: f64 = 6e6;

fn sums(shares: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    shares
        .map(|share| {
            sum += share;
            sum
        })
        .collect()
}

fn pick(sums: &[f64], draw: f64) -> usize {
    let all = sums.last().copied().unwrap_or(0.0);
    sums.iter().position(|s| draw * all < *s).unwrap_or(0)
}

impl<'a> Arrivals<'a> {
    pub fn new(scenario: &'a Scenario, seed: u64) -> Arrivals<'a> {
        let mut draw = SeededRng::new(seed, RngStream::Arrivals);
        let phase = [draw.uniform(), draw.uniform()];
        let turn = draw.exponential(CALM);
        Arrivals {
            scenario,
            draw,
            at: 0.0,
            number: 0,
            on: false,
            turn,
            phase,
            profiles: sums(scenario.profiles.iter().map(|p| p.share)),
            customers: sums(scenario.customers.iter().map(|c| c.share)),
        }
    }

    /// Commands in a microsecond, by shape alone.
    fn shape(&mut self) -> f64 {
        let (base, swing) = (self.scenario.rate() / 1e6, self.scenario.load.swing);
        match self.scenario.load.shape {
            LoadShape::Poisson | LoadShape::Even => base,
            LoadShape::Bursts => {
                while self.turn <= self.at {
                    self.on = !self.on;
                    self.turn += self.draw.exponential(if self.on { BURST } else { CALM });
                }
                // The mean over both stays the base.
                let high = swing * (BURST + CALM) / BURST;
                base * (1.0 - swing + if self.on { high } else { 0.0 })
            }
            LoadShape::Wandering => {
                let wave =
                    |period: f64, phase: f64| ((self.at / period + phase) * std::f64::consts::TAU).sin();
                base * (1.0 + swing * 0.5 * (wave(17e6, self.phase[0]) + wave(41e6, self.phase[1])))
            }
        }
    }

    /// What troubles make of the rate, and the one customer whose part of it grows, if that is all.
    fn bursts(&self) -> (f64, Option<(usize, f64)>) {
        let (mut times, mut one) = (1.0, None);
        for trouble in self.scenario.troubles.iter().filter(|t| t.kind == TroubleKind::Burst) {
            if (trouble.at.micros()..trouble.ends().micros()).contains(&self.at) {
                let customers = &self.scenario.customers;
                match trouble.customer.as_ref().and_then(|n| customers.iter().position(|c| &c.name == n)) {
                    Some(i) => {
                        let part = customers[i].share / self.customers.last().copied().unwrap_or(1.0);
                        let more = part * (trouble.strength - 1.0).max(0.0);
                        times *= 1.0 + more;
                        one = Some((i, more / (1.0 + more)));
                    }
                    None => times *= trouble.strength,
                }
            }
        }
        (times, one)
    }
}

impl Iterator for Arrivals<'_> {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let length = self.scenario.length.micros();
        // The rate is held for a twentieth of a second at most, or a change within it would be overslept.
        let (rate, one) = loop {
            let shape = self.shape();
            let (times, one) = self.bursts();
            let rate = shape * times;
            let gap = match self.scenario.load.shape {
                LoadShape::Even if rate > 0.0 => 1.0 / rate,
                _ if rate > 0.0 => self.draw.exponential(1.0 / rate),
                _ => f64::MAX,
            };
            let even = self.scenario.load.shape == LoadShape::Even && rate > 0.0;
            if gap <= 50_000.0 || even {
                self.at += gap;
                break (rate, one);
            }
            self.at += 50_000.0;
            if self.at >= length {
                return None;
            }
        };
        if self.at >= length || rate <= 0.0 {
            return None;
        }
        let profile = pick(&self.profiles, self.draw.uniform());
        let mut customer = pick(&self.customers, self.draw.uniform());
        if let Some((i, part)) = one {
            if self.draw.uniform() < part {
                customer = i;
            }
        }
        let kind = &self.scenario.profiles[profile];
        let work = self.draw.work(kind.law, kind.work.micros(), kind.spread);
        let error = self.draw.lognormal(1.0, self.scenario.clients.hints);
        let (leaves, front) = (self.draw.uniform(), self.draw.uniform());
        self.number += 1;
        Some(Arrival {
            number: self.number - 1,
            due: Timestamp(self.at as u64),
            profile: profile as u16,
            customer: customer as u32,
            work,
            work_hint: (self.scenario.clients.hints > 0.0).then_some(work * error),
            leaves_early: leaves < self.scenario.clients.leaving,
            node_draw: front,
        })
    }
}
