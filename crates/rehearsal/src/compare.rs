//! Two results or two sets side by side, and which of their differences exceed the noise.

use crate::experiment::{p99, Run};
use crate::judge::result::PlayResult;
use crate::stats::Mean;
use std::collections::{BTreeMap, BTreeSet};

/// A measure, and whether more of it is better.
type Measure = (&'static str, bool, fn(&PlayResult) -> f64);

const MEASURES: [Measure; 8] = [
    ("service", true, |p| p.service),
    ("worst 5 s", true, |p| p.worst_5s),
    ("p99 ms", false, p99),
    ("turned back", false, |p| p.turned_back_share),
    ("launches", false, |p| p.launches_per_command),
    ("probes", false, |p| p.probes_per_command),
    ("wasted", false, |p| p.wasted_share),
    ("rules broken", false, |p| p.rules.count() as f64),
];

#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    Better,
    Worse,
    /// Within the noise.
    Same,
    /// One pair alone: what chance does is not known.
    Unknown,
}

#[derive(Clone, Debug)]
pub struct Row {
    pub group: String,
    pub measure: &'static str,
    pub a: Mean,
    pub b: Mean,
    /// B less A, by pairs of one seed where both have it.
    pub change: Mean,
    pub verdict: Verdict,
}

/// What must be alike for two runs to be compared. Policies count only where a side has several.
fn group(run: &Run, policies: bool) -> String {
    let mut text = run.played.scenario.clone();
    for (key, value) in &run.parameters {
        text += &format!(" {key}={value}");
    }
    if policies {
        text += &format!(" {}", run.played.policy);
    }
    text
}

pub fn compare(a: &[Run], b: &[Run]) -> Result<Vec<Row>, String> {
    let several = |runs: &[Run]| runs.iter().map(|r| &r.played.policy).collect::<BTreeSet<_>>().len() > 1;
    let policies = several(a) || several(b);
    let sort = |runs: &[Run]| {
        let mut groups: BTreeMap<String, BTreeMap<u64, PlayResult>> = BTreeMap::new();
        for run in runs {
            let seeds = groups.entry(group(run, policies)).or_default();
            seeds.insert(run.played.seed, run.played.clone());
        }
        groups
    };
    let (a, b) = (sort(a), sort(b));
    let mut rows = Vec::new();
    for (group, a) in &a {
        let Some(b) = b.get(group) else { continue };
        let common: Vec<u64> = a.keys().filter(|s| b.contains_key(s)).copied().collect();
        if common.is_empty() {
            return Err(format!("{group}: the two sides have no seed in common"));
        }
        for (measure, more, value) in MEASURES {
            let of = |side: &BTreeMap<u64, PlayResult>| -> Vec<f64> {
                common.iter().map(|s| value(&side[s])).collect()
            };
            let (own, other) = (of(a), of(b));
            let differences: Vec<f64> = own.iter().zip(&other).map(|(a, b)| b - a).collect();
            let change = Mean::of(&differences);
            let verdict = match (change.half_width, change.is_noise()) {
                _ if change.mean == 0.0 => Verdict::Same,
                (None, _) => Verdict::Unknown,
                (_, true) => Verdict::Same,
                _ if (change.mean > 0.0) == more => Verdict::Better,
                _ => Verdict::Worse,
            };
            rows.push(Row {
                group: group.clone(),
                measure,
                a: Mean::of(&own),
                b: Mean::of(&other),
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

pub fn table(rows: &[Row]) -> String {
    let (mut out, mut last) = (String::new(), "");
    for row in rows {
        if row.group != last {
            out += &format!("{} ({} pairs)\n", row.group, row.change.count);
            last = &row.group;
        }
        let verdict = match row.verdict {
            Verdict::Better => "better",
            Verdict::Worse => "WORSE",
            Verdict::Same => "within the noise",
            Verdict::Unknown => "one pair tells no noise",
        };
        out += &format!(
            "  {:<13} {:>10.4} {:>10.4}  change {:<20} {verdict}\n",
            row.measure,
            row.a.mean,
            row.b.mean,
            row.change.to_string()
        );
    }
    out
}
