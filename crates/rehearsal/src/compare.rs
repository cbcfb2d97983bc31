//! Compares two results or two sets of results, and tells which differences exceed the noise.

use crate::experiment::{p99_ms, Run};
use crate::judge::result::PlayResult;
use crate::stats::Mean;
use std::collections::{BTreeMap, BTreeSet};

/// A measure: its name, whether a higher value is better, and how to get it from a result.
type Measure = (&'static str, bool, fn(&PlayResult) -> f64);

const MEASURES: [Measure; 8] = [
    ("service", true, |p| p.service),
    ("worst 5 s", true, |p| p.worst_5s),
    ("p99 ms", false, p99_ms),
    ("turned back", false, |p| p.turned_back_share),
    ("launches", false, |p| p.launches_per_command),
    ("probes", false, |p| p.probes_per_command),
    ("wasted", false, |p| p.wasted_share),
    ("rules broken", false, |p| p.rules.count() as f64),
];

/// What a difference means for side B.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    Better,
    Worse,
    /// No difference, or one within the confidence interval.
    WithinNoise,
    /// There is only one pair of results, so that the noise is not known.
    Unknown,
}

/// One measure of one group of runs on both sides.
#[derive(Clone, Debug)]
pub struct Row {
    pub group: String,
    pub measure: &'static str,
    pub a: Mean,
    pub b: Mean,
    /// B minus A, by pairs of runs with the same seed. Seeds that only one side has are left out.
    pub change: Mean,
    pub verdict: Verdict,
}

/// What two runs must have in common to be compared: the scenario, the parameters and, if a side has several policies,
/// the policy.
fn group_name(run: &Run, include_policy: bool) -> String {
    let mut text = run.result.scenario.clone();
    for (key, value) in &run.parameters {
        text += &format!(" {key}={value}");
    }
    if include_policy {
        text += &format!(" {}", run.result.policy);
    }
    text
}

/// Compares the groups that both sides have. It is an error if there are none, or if a group has no common seed.
pub fn compare(a: &[Run], b: &[Run]) -> Result<Vec<Row>, String> {
    let has_several_policies =
        |runs: &[Run]| runs.iter().map(|r| &r.result.policy).collect::<BTreeSet<_>>().len() > 1;
    let include_policy = has_several_policies(a) || has_several_policies(b);
    let group_by_seed = |runs: &[Run]| {
        let mut groups: BTreeMap<String, BTreeMap<u64, PlayResult>> = BTreeMap::new();
        for run in runs {
            let by_seed = groups.entry(group_name(run, include_policy)).or_default();
            by_seed.insert(run.result.seed, run.result.clone());
        }
        groups
    };
    let (a, b) = (group_by_seed(a), group_by_seed(b));
    let mut rows = Vec::new();
    for (group, a) in &a {
        let Some(b) = b.get(group) else { continue };
        let common_seeds: Vec<u64> = a.keys().filter(|s| b.contains_key(s)).copied().collect();
        if common_seeds.is_empty() {
            return Err(format!("{group}: the two sides have no seed in common"));
        }
        for (measure, more_is_better, value) in MEASURES {
            let values_of = |side: &BTreeMap<u64, PlayResult>| -> Vec<f64> {
                common_seeds.iter().map(|s| value(&side[s])).collect()
            };
            let (values_a, values_b) = (values_of(a), values_of(b));
            let differences: Vec<f64> = values_a.iter().zip(&values_b).map(|(a, b)| b - a).collect();
            let change = Mean::of(&differences);
            let verdict = match (change.half_width, change.is_noise()) {
                _ if change.mean == 0.0 => Verdict::WithinNoise,
                (None, _) => Verdict::Unknown,
                (_, true) => Verdict::WithinNoise,
                _ if (change.mean > 0.0) == more_is_better => Verdict::Better,
                _ => Verdict::Worse,
            };
            rows.push(Row {
                group: group.clone(),
                measure,
                a: Mean::of(&values_a),
                b: Mean::of(&values_b),
                change,
                verdict,
            });
        }
    }
    if rows.is_empty() {
        return Err("the two sides have no scenario in common".into());
    }
    Ok(rows)
}

/// The rows as a table for reading.
pub fn table(rows: &[Row]) -> String {
    let (mut text, mut last_group) = (String::new(), "");
    for row in rows {
        if row.group != last_group {
            text += &format!("{} ({} pairs)\n", row.group, row.change.count);
            last_group = &row.group;
        }
        let verdict = match row.verdict {
            Verdict::Better => "better",
            Verdict::Worse => "WORSE",
            Verdict::WithinNoise => "within the noise",
            Verdict::Unknown => "one pair: noise unknown",
        };
        text += &format!(
            "  {:<13} {:>10.4} {:>10.4}  change {:<20} {verdict}\n",
            row.measure,
            row.a.mean,
            row.b.mean,
            row.change.to_string()
        );
    }
    text
}
