//! The verdict on a change: changed nodes are compared with unchanged ones in the same seconds and the same site. A change
//! without a difference is called worse with at most the configured probability over the whole rolling change, however
//! often the verdict is checked. A stage is called no worse only if each measure shows that at the configured probability.
//! With too little data the verdict is undecided.

use crate::evidence::{Bet, ConfidenceBand, Spread};
use crate::node_report::{CommandCounts, SecondReport};
use crate::plan::{Margins, NodeId, Odds, Plan};
use std::collections::BTreeMap;

/// The part of a margin that is no evidence of harm. Single nodes differ slightly and permanently, through the backends
/// that they happen to know. A change is worse only beyond that.
const HARMLESS_MARGIN_PART: f64 = 0.25;
/// Seconds with fewer commands at changed nodes than this are combined with the following ones before a bet.
const MIN_COMMANDS_PER_BET: f64 = 12.0;
/// The most seconds that are combined.
const MAX_WAITING_SECONDS: u64 = 20;
/// A profile with fewer commands than this at unchanged nodes in a stage need not be decided.
const MIN_PROFILE_COMMANDS: f64 = 60.0;
/// The payoff loss of unchanged nodes beyond their usual one (as a share) above which the fleet counts as degraded.
const DEGRADED_LOSS: f64 = 0.05;
/// The lengths, in seconds, of the moving averages of the recent and of the usual loss.
const RECENT_SECONDS: f64 = 5.0;
const USUAL_SECONDS: f64 = 60.0;

/// One compared quantity: the higher, the worse.
#[derive(Clone, Debug)]
pub struct Measure {
    pub name: String,
    pub margin: f64,
    /// The part of the false stop probability that this measure may use.
    odds_part: f64,
    /// The bet against "no worse than the harmless part of the margin", and the one against "worse by the margin".
    harm_bet: Bet,
    no_harm_bet: Bet,
    spread: Spread,
    pub band: ConfidenceBand,
    /// The commands of this stage at changed and at unchanged nodes.
    pub commands: (f64, f64),
    /// Seconds that wait to be combined: the difference, the commands of changed and of unchanged nodes, and the sum of
    /// the inverse counts.
    waiting: Vec<(f64, f64, f64, f64)>,
}

/// The observations of one side: the number of bad ones and of all.
type Side = (f64, f64);
/// The changed and the unchanged side of each site.
type Sides = Vec<(Side, Side)>;

impl Measure {
    fn new(name: &str, margin: f64, odds_part: f64, initial_variance: f64) -> Measure {
        let (harm_bet, no_harm_bet) = (Bet::new(margin * HARMLESS_MARGIN_PART), Bet::new(-margin));
        let (spread, band) = (Spread::new(initial_variance, 4.0), ConfidenceBand::default());
        let (commands, waiting, name) = ((0.0, 0.0), Vec::new(), name.to_owned());
        Measure { name, margin, odds_part, harm_bet, no_harm_bet, spread, band, commands, waiting }
    }

    /// Adds one second.
    fn observe(&mut self, sites: &[(Side, Side)]) {
        let both = sites.iter().filter(|((_, c), (_, u))| *c > 0.0 && *u > 0.0);
        let (mut changed, mut other, mut inverse_counts, mut difference) = (0.0, 0.0, 0.0, 0.0);
        let all: f64 = both.clone().map(|((_, c), _)| c).sum();
        for ((bad, count), (bad_other, count_other)) in both {
            let weight = count / all;
            difference += weight * (bad / count - bad_other / count_other);
            inverse_counts += weight * weight * (1.0 / count + 1.0 / count_other);
            (changed, other) = (changed + count, other + count_other);
        }
        if all > 0.0 {
            self.waiting.push((difference, changed, other, inverse_counts));
        }
        // Seconds with few commands are combined. That depends on the number of commands only and not on their outcome.
        let sum: f64 = self.waiting.iter().map(|w| w.1).sum();
        if sum < MIN_COMMANDS_PER_BET && (self.waiting.len() as u64) < MAX_WAITING_SECONDS || sum <= 0.0 {
            return;
        }
        let waiting = std::mem::take(&mut self.waiting);
        let difference = waiting.iter().map(|w| w.0 * w.1 / sum).sum();
        let inverse_counts: f64 = waiting.iter().map(|w| w.3 * (w.1 / sum).powi(2)).sum();
        let deviation = self.spread.expected(inverse_counts).max(0.25 / sum);
        self.harm_bet.observe(difference, deviation);
        self.no_harm_bet.observe(-difference, deviation);
        self.spread.observe(difference, inverse_counts);
        self.band.observe(difference, 1.0 / inverse_counts);
        self.commands.0 += sum;
        self.commands.1 += waiting.iter().map(|w| w.2).sum::<f64>();
    }

    /// Whether harm is established at the false stop probability.
    pub fn is_worse(&self, odds: &Odds) -> bool {
        self.harm_bet.refuted(odds.false_stop * self.odds_part)
    }

    /// Whether harm beyond the margin is excluded at the false pass probability.
    pub fn is_no_worse(&self, odds: &Odds) -> bool {
        self.no_harm_bet.refuted(odds.false_pass)
    }

    /// The evidence for "worse" and for "no worse", as the capital of the bets.
    pub fn capitals(&self) -> (f64, f64) {
        (self.harm_bet.capital(), self.no_harm_bet.capital())
    }
}

/// The verdict on a stage.
#[derive(Clone, Debug, PartialEq)]
pub enum StageVerdict {
    Worse(String),
    NoWorse,
    /// These measures are not decided yet.
    Undecided(Vec<String>),
}

/// The running comparison of changed with unchanged nodes.
#[derive(Clone, Debug)]
pub struct Verdict {
    margins: Margins,
    odds: Odds,
    /// The index of each node's site.
    site_of: Vec<usize>,
    site_count: usize,
    /// Payoff, errored, rejected, extra launches and slow, followed by the profiles in the order of their first command.
    pub measures: Vec<Measure>,
    /// For each profile the index of its measure, and its commands at unchanged nodes in this stage.
    profiles: BTreeMap<String, (usize, f64)>,
    /// The latency histogram of unchanged nodes with exponentially decaying weights, and the latency in microseconds above
    /// which their slowest 5% lie.
    unchanged_latencies: BTreeMap<u64, f64>,
    slow_from: u64,
    /// A violation of a guarantee that was seen at changed nodes only.
    violation: Option<String>,
    /// The payoff loss of unchanged nodes: recent, usual, and the number of seconds observed.
    unchanged_loss: (f64, f64, f64),
}

const OVERALL_MEASURES: usize = 5;

impl Verdict {
    pub fn new(plan: &Plan) -> Verdict {
        let mut names: Vec<&str> = plan.nodes.iter().map(|node| node.site.as_str()).collect();
        names.sort_unstable();
        names.dedup();
        let index = |site: &str| names.iter().position(|name| *name == site).unwrap_or(0);
        let m = &plan.margins;
        // Half of the error probability goes to the measures over all commands, the rest to the profiles, of which the first
        // get most.
        let overall = |name, margin, initial_variance| {
            Measure::new(name, margin, 0.5 / OVERALL_MEASURES as f64, initial_variance)
        };
        Verdict {
            margins: *m,
            odds: plan.odds,
            site_of: plan.nodes.iter().map(|node| index(&node.site)).collect(),
            site_count: names.len(),
            measures: vec![
                overall("payoff lost", m.payoff, 0.05),
                overall("errored", m.errored, 0.01),
                overall("turned back", m.rejected, 0.02),
                overall("extra launches", m.extra_launches, 0.1),
                overall("slow", m.slow, 0.1),
            ],
            profiles: BTreeMap::new(),
            unchanged_latencies: BTreeMap::new(),
            slow_from: u64::MAX,
            violation: None,
            unchanged_loss: (0.0, 0.0, 0.0),
        }
    }

    /// Begins another stage: "no worse" has to be shown again, while evidence of harm is kept.
    pub fn next_stage(&mut self) {
        for measure in &mut self.measures {
            measure.no_harm_bet = Bet::new(-measure.margin);
            (measure.commands, measure.waiting) = ((0.0, 0.0), Vec::new());
        }
        self.profiles.values_mut().for_each(|(_, seen)| *seen = 0.0);
    }

    /// Adds one second of all nodes that count: the node, whether it is changed, and its report.
    pub fn observe(&mut self, second: &[(NodeId, bool, &SecondReport)]) {
        let mut profile_counts: Vec<BTreeMap<(&str, bool), CommandCounts>> =
            vec![BTreeMap::new(); self.site_count];
        let mut slow_counts: Vec<[(f64, f64); 2]> = vec![[(0.0, 0.0); 2]; self.site_count];
        let mut second_latencies: BTreeMap<u64, f64> = BTreeMap::new();
        for (node, changed, report) in second {
            let site = self.site_of[node.0];
            for (name, counts) in &report.profiles {
                profile_counts[site].entry((name, *changed)).or_default().add(counts);
            }
            for (at, count) in &report.latencies {
                let side = &mut slow_counts[site][usize::from(*changed)];
                side.1 += f64::from(*count);
                side.0 += if *at >= self.slow_from { f64::from(*count) } else { 0.0 };
                if !changed {
                    *second_latencies.entry(*at).or_default() += f64::from(*count);
                }
            }
        }
        // The sum over all profiles for each site: index 0 is the unchanged side, index 1 the changed one.
        let mut all = vec![[CommandCounts::default(); 2]; self.site_count];
        for (all, profiles) in all.iter_mut().zip(&profile_counts) {
            profiles.iter().for_each(|((_, changed), counts)| all[usize::from(*changed)].add(counts));
        }
        let per_site = |of: &dyn Fn(&CommandCounts) -> Side| -> Sides {
            all.iter().map(|[unchanged, changed]| (of(changed), of(unchanged))).collect()
        };
        let payoff = |t: &CommandCounts| {
            let ended = f64::from(t.ended());
            (
                if t.payoff_requested > 0.0 {
                    (1.0 - t.payoff_served / t.payoff_requested) * ended
                } else {
                    0.0
                },
                ended,
            )
        };
        let slow: Sides = slow_counts.iter().map(|[unchanged, changed]| (*changed, *unchanged)).collect();
        let observed = [
            per_site(&payoff),
            per_site(&|t| (f64::from(t.errored), f64::from(t.ended()))),
            per_site(&|t| (f64::from(t.rejected), f64::from(t.ended()))),
            per_site(&|t| (f64::from(t.extra_launches), f64::from(t.accepted))),
            if self.slow_from < u64::MAX { slow } else { Vec::new() },
        ];
        let (unchanged_lost, unchanged_ended) = all
            .iter()
            .map(|[unchanged, _]| payoff(unchanged))
            .fold((0.0, 0.0), |a, b| (a.0 + b.0, a.1 + b.1));
        let double_runs = |side: usize| all.iter().map(|sides| sides[side].double_runs).sum::<u32>();
        let double_runs = (double_runs(1), double_runs(0));
        let mut names: Vec<&str> =
            profile_counts.iter().flat_map(|profiles| profiles.keys().map(|(name, _)| *name)).collect();
        names.sort_unstable();
        names.dedup();
        let profiles: Vec<(String, Sides, f64)> = names
            .into_iter()
            .map(|name| {
                let side = |site: usize, changed| {
                    profile_counts[site].get(&(name, changed)).map_or((0.0, 0.0), payoff)
                };
                let sides: Vec<_> =
                    (0..self.site_count).map(|site| (side(site, true), side(site, false))).collect();
                let seen = sides.iter().map(|(_, (_, count))| count).sum();
                (name.to_owned(), sides, seen)
            })
            .collect();
        for (measure, sides) in self.measures.iter_mut().zip(&observed) {
            measure.observe(sides);
        }
        for (name, sides, seen) in profiles {
            self.observe_profile(&name, &sides, seen);
        }
        if double_runs.0 > 0 && double_runs.1 == 0 {
            self.violation =
                Some(format!("{} launches of what may run once after one that may have run", double_runs.0));
        }
        self.update_slow_threshold(second_latencies);
        self.update_usual_loss(unchanged_lost, unchanged_ended);
    }

    fn observe_profile(&mut self, name: &str, sides: &[(Side, Side)], seen: f64) {
        let margin = self.margins.profile;
        if !self.profiles.contains_key(name) {
            let rank = self.profiles.len() as f64 + 1.0;
            // These parts sum to at most one half, however many profiles there are.
            let part = 0.5 * 6.0 / (std::f64::consts::PI * rank).powi(2);
            self.measures.push(Measure::new(&format!("payoff lost of {name}"), margin, part, 0.05));
            self.profiles.insert(name.to_owned(), (self.measures.len() - 1, 0.0));
        }
        let Some((index, unchanged_commands)) = self.profiles.get_mut(name) else { return };
        *unchanged_commands += seen;
        self.measures[*index].observe(sides);
    }

    /// Updates the threshold of the slowest 5% of unchanged nodes, after this second was judged by the old one.
    fn update_slow_threshold(&mut self, latencies: BTreeMap<u64, f64>) {
        self.unchanged_latencies.values_mut().for_each(|weight| *weight *= 1.0 - 1.0 / USUAL_SECONDS);
        latencies
            .into_iter()
            .for_each(|(at, count)| *self.unchanged_latencies.entry(at).or_default() += count);
        self.unchanged_latencies.retain(|_, weight| *weight > 1e-3);
        let all: f64 = self.unchanged_latencies.values().sum();
        if all < 100.0 {
            return;
        }
        let mut cumulative = 0.0;
        let bucket = self.unchanged_latencies.iter().find(|(_, weight)| {
            cumulative += **weight;
            cumulative > 0.95 * all
        });
        // Commands count as slow from the next bucket on, so that fewer than 5% are slow.
        let next = bucket.and_then(|(at, _)| self.unchanged_latencies.range(at + 1..).next());
        self.slow_from = next.map_or(bucket.map_or(u64::MAX, |(at, _)| at + 1), |(at, _)| *at);
    }

    fn update_usual_loss(&mut self, lost: f64, count: f64) {
        if count <= 0.0 {
            return;
        }
        let share = lost / count;
        let (recent, usual, seen) = &mut self.unchanged_loss;
        *seen += 1.0;
        *recent += (share - *recent) / seen.min(RECENT_SECONDS);
        // An exceptional loss must not become the usual one while it lasts.
        if *seen <= RECENT_SECONDS || *recent - *usual <= DEGRADED_LOSS {
            *usual += (share - *usual) / seen.min(USUAL_SECONDS);
        }
    }

    /// Whether unchanged nodes do so much worse than usual that nothing should be changed now.
    pub fn is_fleet_degraded(&self) -> bool {
        let (recent, usual, seen) = self.unchanged_loss;
        seen > RECENT_SECONDS && recent - usual > DEGRADED_LOSS
    }

    /// The recent and the usual payoff loss of unchanged nodes.
    pub fn unchanged_losses(&self) -> (f64, f64) {
        (self.unchanged_loss.0, self.unchanged_loss.1)
    }

    /// The verdict on the current stage.
    pub fn evaluate(&self) -> StageVerdict {
        if let Some(violation) = &self.violation {
            return StageVerdict::Worse(violation.clone());
        }
        if let Some(worse) = self.measures.iter().find(|measure| measure.is_worse(&self.odds)) {
            return StageVerdict::Worse(format!("{}: {:+.2} points", worse.name, worse.band.mean() * 100.0));
        }
        let is_rare = |index: usize| {
            self.profiles.values().any(|(p, seen)| *p == index && *seen < MIN_PROFILE_COMMANDS)
        };
        let undecided = self.measures.iter().enumerate().filter(|(index, _)| !is_rare(*index));
        let undecided: Vec<String> =
            undecided.filter(|(_, m)| !m.is_no_worse(&self.odds)).map(|(_, m)| m.name.clone()).collect();
        match undecided.is_empty() {
            true => StageVerdict::NoWorse,
            false => StageVerdict::Undecided(undecided),
        }
    }
}
