//! Changed against unchanged nodes in the same seconds and the same site. What it promises: a change without a
//! difference is called worse with at most the stated odds over the whole rolling change, however often one looks; a
//! stage is called no worse only where each measure says so at the stated odds; too little seen is neither.

use crate::evidence::{Band, Bet, Spread};
use crate::node_report::{Second, Tally};
use crate::plan::{Margins, NodeId, Odds, Plan};
use std::collections::BTreeMap;

/// Of a margin: so much is no evidence of harm. Single nodes differ a little for good, by the backends that they happen
/// to know; a change is worse only beyond that.
const SLACK: f64 = 0.25;
/// Fewer commands of changed nodes than this make no difference worth a bet: they wait for the next second.
const LEAST: f64 = 12.0;
/// Seconds that may wait for more.
const WAIT: u64 = 20;
/// A profile with fewer commands than this at unchanged nodes in a stage has to be no better known.
const RARE: f64 = 60.0;
/// What is held against the unchanged nodes themselves: payoff lost of late beyond what they used to lose.
const SUFFER: f64 = 0.05;
/// Over so many differences, against so many before them.
const LATELY: f64 = 5.0;
const USUAL: f64 = 60.0;

/// One thing that is compared: the higher, the worse.
#[derive(Clone, Debug)]
pub struct Measure {
    pub name: String,
    pub margin: f64,
    /// Its part of the odds of stopping in vain.
    part: f64,
    worse: Bet,
    fine: Bet,
    spread: Spread,
    pub band: Band,
    /// Of this stage: commands of changed and unchanged nodes.
    pub commands: (f64, f64),
    waiting: Vec<(f64, f64, f64, f64)>,
}

/// What was seen of one side: how much of it was bad, of how many.
type Side = (f64, f64);
/// Changed and unchanged, by site.
type Sides = Vec<(Side, Side)>;

impl Measure {
    fn new(name: &str, margin: f64, part: f64, guess: f64) -> Measure {
        let (worse, fine) = (Bet::new(margin * SLACK), Bet::new(-margin));
        let (spread, band) = (Spread::new(guess, 4.0), Band::default());
        let (commands, waiting, name) = ((0.0, 0.0), Vec::new(), name.to_owned());
        Measure { name, margin, part, worse, fine, spread, band, commands, waiting }
    }

    /// One second: changed and unchanged side by site.
    fn saw(&mut self, sites: &[(Side, Side)]) {
        let both = sites.iter().filter(|((_, c), (_, u))| *c > 0.0 && *u > 0.0);
        let (mut changed, mut other, mut per, mut difference) = (0.0, 0.0, 0.0, 0.0);
        let all: f64 = both.clone().map(|((_, c), _)| c).sum();
        for ((bad, count), (bad_other, count_other)) in both {
            let weight = count / all;
            difference += weight * (bad / count - bad_other / count_other);
            per += weight * weight * (1.0 / count + 1.0 / count_other);
            (changed, other) = (changed + count, other + count_other);
        }
        if all > 0.0 {
            self.waiting.push((difference, changed, other, per));
        }
        // Seconds with few commands are put together, by how many they had and not by what came of them.
        let sum: f64 = self.waiting.iter().map(|w| w.1).sum();
        if sum < LEAST && (self.waiting.len() as u64) < WAIT || sum <= 0.0 {
            return;
        }
        let waiting = std::mem::take(&mut self.waiting);
        let difference = waiting.iter().map(|w| w.0 * w.1 / sum).sum();
        let per: f64 = waiting.iter().map(|w| w.3 * (w.1 / sum).powi(2)).sum();
        let deviation = self.spread.expected(per).max(0.25 / sum);
        self.worse.saw(difference, deviation);
        self.fine.saw(-difference, deviation);
        self.spread.saw(difference, per);
        self.band.saw(difference, 1.0 / per);
        self.commands.0 += sum;
        self.commands.1 += waiting.iter().map(|w| w.2).sum::<f64>();
    }

    pub fn is_worse(&self, odds: &Odds) -> bool {
        self.worse.refuted(odds.stop * self.part)
    }

    pub fn is_fine(&self, odds: &Odds) -> bool {
        self.fine.refuted(odds.pass)
    }

    /// How far the evidence has come, of worse and of no worse, as fortunes.
    pub fn fortunes(&self) -> (f64, f64) {
        (self.worse.fortune(), self.fine.fortune())
    }
}

/// What a stage has come to.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Worse(String),
    NoWorse,
    /// These are not known yet.
    NotYet(Vec<String>),
}

#[derive(Clone, Debug)]
pub struct Verdict {
    margins: Margins,
    odds: Odds,
    site_of: Vec<usize>,
    sites: usize,
    /// Payoff, errored, turned back, extra, slow; then profiles as they come.
    pub measures: Vec<Measure>,
    profiles: BTreeMap<String, (usize, f64)>,
    /// Times of the unchanged, each second's weight fading, and where their slowest twentieth begins.
    times: BTreeMap<u64, f64>,
    slow_from: u64,
    /// Something that no rule allows, seen at changed nodes alone.
    broken: Option<String>,
    /// Payoff lost by the unchanged: of late, usually, and over how many seconds.
    lost: (f64, f64, f64),
}

const OVERALL: usize = 5;

impl Verdict {
    pub fn new(plan: &Plan) -> Verdict {
        let mut names: Vec<&str> = plan.nodes.iter().map(|node| node.site.as_str()).collect();
        names.sort_unstable();
        names.dedup();
        let place = |site: &str| names.iter().position(|name| *name == site).unwrap_or(0);
        let m = &plan.margins;
        // A half of the odds goes to what all commands tell, the rest to profiles, the first of them most.
        let overall = |name, margin, guess| Measure::new(name, margin, 0.5 / OVERALL as f64, guess);
        Verdict {
            margins: *m,
            odds: plan.odds,
            site_of: plan.nodes.iter().map(|node| place(&node.site)).collect(),
            sites: names.len(),
            measures: vec![
                overall("payoff lost", m.payoff, 0.05),
                overall("errored", m.errored, 0.01),
                overall("turned back", m.turned_back, 0.02),
                overall("extra launches", m.extra, 0.1),
                overall("slow", m.slow, 0.1),
            ],
            profiles: BTreeMap::new(),
            times: BTreeMap::new(),
            slow_from: u64::MAX,
            broken: None,
            lost: (0.0, 0.0, 0.0),
        }
    }

    /// Another stage: what is no worse has to be shown again. What was seen of harm stays.
    pub fn next_stage(&mut self) {
        for measure in &mut self.measures {
            measure.fine = Bet::new(-measure.margin);
            (measure.commands, measure.waiting) = ((0.0, 0.0), Vec::new());
        }
        self.profiles.values_mut().for_each(|(_, seen)| *seen = 0.0);
    }

    /// One second of all nodes that count: which, whether it is changed, and what it did.
    pub fn saw(&mut self, second: &[(NodeId, bool, &Second)]) {
        let mut sums: Vec<BTreeMap<(&str, bool), Tally>> = vec![BTreeMap::new(); self.sites];
        let mut times: Vec<[(f64, f64); 2]> = vec![[(0.0, 0.0); 2]; self.sites];
        let mut unchanged: BTreeMap<u64, f64> = BTreeMap::new();
        for (node, changed, told) in second {
            let site = self.site_of[node.0];
            for (name, tally) in &told.profiles {
                sums[site].entry((name, *changed)).or_default().add(tally);
            }
            for (at, count) in &told.times {
                let side = &mut times[site][usize::from(*changed)];
                side.1 += f64::from(*count);
                side.0 += if *at >= self.slow_from { f64::from(*count) } else { 0.0 };
                if !changed {
                    *unchanged.entry(*at).or_default() += f64::from(*count);
                }
            }
        }
        // All profiles of a site: of the unchanged, and of the changed.
        let mut all = vec![[Tally::default(); 2]; self.sites];
        for (all, sums) in all.iter_mut().zip(&sums) {
            sums.iter().for_each(|((_, changed), tally)| all[usize::from(*changed)].add(tally));
        }
        let by = |of: &dyn Fn(&Tally) -> Side| -> Sides {
            all.iter().map(|[unchanged, changed]| (of(changed), of(unchanged))).collect()
        };
        let payoff = |t: &Tally| {
            let ended = f64::from(t.ended());
            (if t.asked > 0.0 { (1.0 - t.served / t.asked) * ended } else { 0.0 }, ended)
        };
        let slow: Sides = times.iter().map(|[unchanged, changed]| (*changed, *unchanged)).collect();
        let observed = [
            by(&payoff),
            by(&|t| (f64::from(t.errored), f64::from(t.ended()))),
            by(&|t| (f64::from(t.turned_back), f64::from(t.ended()))),
            by(&|t| (f64::from(t.extra), f64::from(t.taken))),
            if self.slow_from < u64::MAX { slow } else { Vec::new() },
        ];
        let (lost, count) = all
            .iter()
            .map(|[unchanged, _]| payoff(unchanged))
            .fold((0.0, 0.0), |a, b| (a.0 + b.0, a.1 + b.1));
        let twice = |side: usize| all.iter().map(|sides| sides[side].twice).sum::<u32>();
        let twice = (twice(1), twice(0));
        let mut names: Vec<&str> = sums.iter().flat_map(|by| by.keys().map(|(name, _)| *name)).collect();
        names.sort_unstable();
        names.dedup();
        let profiles: Vec<(String, Sides, f64)> = names
            .into_iter()
            .map(|name| {
                let side = |site: usize, changed| sums[site].get(&(name, changed)).map_or((0.0, 0.0), payoff);
                let sides: Vec<_> =
                    (0..self.sites).map(|site| (side(site, true), side(site, false))).collect();
                let seen = sides.iter().map(|(_, (_, count))| count).sum();
                (name.to_owned(), sides, seen)
            })
            .collect();
        for (measure, sides) in self.measures.iter_mut().zip(&observed) {
            measure.saw(sides);
        }
        for (name, sides, seen) in profiles {
            self.profile(&name, &sides, seen);
        }
        if twice.0 > 0 && twice.1 == 0 {
            self.broken =
                Some(format!("{} launches of what may run once after one that may have run", twice.0));
        }
        self.slowest(unchanged);
        self.usual(lost, count);
    }

    fn profile(&mut self, name: &str, sides: &[(Side, Side)], seen: f64) {
        let margin = self.margins.profile;
        if !self.profiles.contains_key(name) {
            let place = self.profiles.len() as f64 + 1.0;
            // Parts that come to a half at most, however many there are.
            let part = 0.5 * 6.0 / (std::f64::consts::PI * place).powi(2);
            self.measures.push(Measure::new(&format!("payoff lost of {name}"), margin, part, 0.05));
            self.profiles.insert(name.to_owned(), (self.measures.len() - 1, 0.0));
        }
        let Some((place, known)) = self.profiles.get_mut(name) else { return };
        *known += seen;
        self.measures[*place].saw(sides);
    }

    /// Learns from the unchanged nodes, after this second was judged, where their slowest twentieth begins.
    fn slowest(&mut self, seen: BTreeMap<u64, f64>) {
        self.times.values_mut().for_each(|weight| *weight *= 1.0 - 1.0 / USUAL);
        seen.into_iter().for_each(|(at, count)| *self.times.entry(at).or_default() += count);
        self.times.retain(|_, weight| *weight > 1e-3);
        let all: f64 = self.times.values().sum();
        if all < 100.0 {
            return;
        }
        let mut sum = 0.0;
        let found = self.times.iter().find(|(_, weight)| {
            sum += **weight;
            sum > 0.95 * all
        });
        // From the bucket after that one on: fewer than a twentieth are in it, and the rest of them not.
        let next = found.and_then(|(at, _)| self.times.range(at + 1..).next());
        self.slow_from = next.map_or(found.map_or(u64::MAX, |(at, _)| at + 1), |(at, _)| *at);
    }

    fn usual(&mut self, lost: f64, count: f64) {
        if count <= 0.0 {
            return;
        }
        let share = lost / count;
        let (late, usual, seen) = &mut self.lost;
        *seen += 1.0;
        *late += (share - *late) / seen.min(LATELY);
        // What is an exception is not to become what is usual for as long as it lasts.
        if *seen <= LATELY || *late - *usual <= SUFFER {
            *usual += (share - *usual) / seen.min(USUAL);
        }
    }

    /// Whether the unchanged nodes do so much worse than they used to that nothing should be changed now.
    pub fn suffering(&self) -> bool {
        let (late, usual, seen) = self.lost;
        seen > LATELY && late - usual > SUFFER
    }

    /// Payoff lost by the unchanged, of late and usually.
    pub fn unchanged(&self) -> (f64, f64) {
        (self.lost.0, self.lost.1)
    }

    pub fn answer(&self) -> Answer {
        if let Some(broken) = &self.broken {
            return Answer::Worse(broken.clone());
        }
        if let Some(worse) = self.measures.iter().find(|measure| measure.is_worse(&self.odds)) {
            return Answer::Worse(format!("{}: {:+.2} points", worse.name, worse.band.mean() * 100.0));
        }
        let rare = |place: usize| self.profiles.values().any(|(p, seen)| *p == place && *seen < RARE);
        let open = self.measures.iter().enumerate().filter(|(place, _)| !rare(*place));
        let open: Vec<String> =
            open.filter(|(_, m)| !m.is_fine(&self.odds)).map(|(_, m)| m.name.clone()).collect();
        match open.is_empty() {
            true => Answer::NoWorse,
            false => Answer::NotYet(open),
        }
    }
}
