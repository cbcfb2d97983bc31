//! Experiments: scenarios by parameters by policies by seeds on the virtual clock, on all cores.

use crate::judge::result::PlayResult;
use crate::policy;
use crate::scenario::Scenario;
use crate::stats::Mean;
use crate::virtual_clock;
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// An experiment's file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Scenario files, as seen from this file.
    pub scenarios: Vec<PathBuf>,
    #[serde(default = "own")]
    pub policies: Vec<String>,
    #[serde(default = "ten")]
    pub seeds: u64,
    #[serde(default = "one")]
    pub first_seed: u64,
    #[serde(default)]
    pub parameters: Vec<Parameter>,
}

fn own() -> Vec<String> {
    vec!["yarrowfront".into()]
}

fn ten() -> u64 {
    10
}

fn one() -> u64 {
    1
}

/// A key of the scenario, such as `load.share` or `backends[0].count`, and what it is set to in turn.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Parameter {
    pub key: String,
    pub values: Vec<toml::Value>,
}

/// One run of an experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Run {
    #[serde(default)]
    pub parameters: BTreeMap<String, String>,
    #[serde(flatten)]
    pub played: PlayResult,
}

/// All runs that differ in nothing but the seed.
#[derive(Clone, Debug, Serialize)]
pub struct Cell {
    pub scenario: String,
    pub parameters: BTreeMap<String, String>,
    pub policy: String,
    pub seeds: usize,
    pub service: f64,
    pub service_half: Option<f64>,
    pub worst_5s: f64,
    pub p99_ms: f64,
    pub turned_back: f64,
    pub launches: f64,
    pub probes: f64,
    pub wasted: f64,
    pub broken: [u64; 5],
}

/// Sets a dotted key, with places of lists in brackets.
fn set(root: &mut toml::Value, key: &str, value: toml::Value) -> Result<(), String> {
    let unknown = || format!("{key}: the scenario has no such place");
    let mut at = root;
    let mut steps = key.split('.').peekable();
    while let Some(step) = steps.next() {
        let (name, place) = match step.split_once('[') {
            Some((name, rest)) => {
                let place = rest.strip_suffix(']').and_then(|n| n.parse::<usize>().ok());
                (name, Some(place.ok_or_else(unknown)?))
            }
            None => (step, None),
        };
        let table = at.as_table_mut().ok_or_else(unknown)?;
        if steps.peek().is_none() && place.is_none() {
            table.insert(name.into(), value);
            return Ok(());
        }
        at = table.entry(name).or_insert_with(|| toml::Value::Table(Default::default()));
        if let Some(place) = place {
            at = at.as_array_mut().and_then(|a| a.get_mut(place)).ok_or_else(unknown)?;
            if steps.peek().is_none() {
                *at = value;
                return Ok(());
            }
        }
    }
    Err(unknown())
}

/// A text for a table's head: a plain string as it stands, anything else as TOML writes it.
fn words(value: &toml::Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

type Planned = (Scenario, BTreeMap<String, String>);

impl Experiment {
    pub fn read(path: &Path) -> Result<Experiment, String> {
        let name = path.display();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
        let parsed: Result<Experiment, toml::de::Error> = toml::from_str(&text);
        let mut read = parsed.map_err(|e| {
            let line = 1 + text[..e.span().map_or(0, |s| s.start)].matches('\n').count();
            format!("{name}:{line}: {}", e.message())
        })?;
        let folder = path.parent().unwrap_or(Path::new("."));
        read.scenarios = read.scenarios.iter().map(|s| folder.join(s)).collect();
        let counts = [("scenarios", read.scenarios.len()), ("policies", read.policies.len())];
        if let Some((key, _)) = counts.iter().find(|(_, count)| *count == 0) {
            return Err(format!("{name}: {key}: there is none"));
        }
        if read.seeds == 0 {
            return Err(format!("{name}: seeds: one at least"));
        }
        if let Some(unknown) = read.policies.iter().find(|p| !policy::NAMES.contains(&p.as_str())) {
            return Err(format!("{name}: policies: {unknown:?} is none of {}", policy::NAMES.join(", ")));
        }
        Ok(read)
    }

    /// Every scenario with every set of values, checked before anything is played.
    pub fn plan(&self) -> Result<Vec<Planned>, String> {
        let mut all = Vec::new();
        for path in &self.scenarios {
            let scenario = Scenario::read(path)?;
            let base = toml::Value::try_from(&scenario).map_err(|e| format!("{}: {e}", path.display()))?;
            let mut sets = vec![(base, BTreeMap::new())];
            for parameter in &self.parameters {
                let mut next = Vec::new();
                for (base, told) in &sets {
                    for value in &parameter.values {
                        let (mut base, mut told) = (base.clone(), told.clone());
                        set(&mut base, &parameter.key, value.clone())?;
                        told.insert(parameter.key.clone(), words(value));
                        next.push((base, told));
                    }
                }
                sets = next;
            }
            for (value, told) in sets {
                let with = || format!("{} with {told:?}", path.display());
                let scenario: Scenario =
                    value.try_into().map_err(|e: toml::de::Error| format!("{}: {}", with(), e.message()))?;
                scenario.check().map_err(|(key, why)| format!("{}: {key}: {why}", with()))?;
                all.push((scenario, told));
            }
        }
        Ok(all)
    }

    /// Plays all. The runs come in the order of the plan, whichever core was done first.
    pub fn run(&self, progress: &(dyn Fn() + Sync)) -> Result<Vec<Run>, String> {
        let plan = self.plan()?;
        let mut jobs = Vec::new();
        for planned in &plan {
            for name in &self.policies {
                for seed in self.first_seed..self.first_seed + self.seeds {
                    jobs.push((planned, name, seed));
                }
            }
        }
        let play = |((scenario, told), name, seed): &(&Planned, &String, u64)| {
            let make = |birth: &policy::NodeContext| policy::create(name, birth);
            let (played, _) = virtual_clock::play(scenario, *seed, name, &make, &mut |_| ())?;
            progress();
            Ok(Run { parameters: told.clone(), played })
        };
        jobs.par_iter().map(play).collect()
    }

    pub fn runs(&self) -> Result<u64, String> {
        Ok(self.plan()?.len() as u64 * self.policies.len() as u64 * self.seeds)
    }
}

/// Groups runs by all but the seed, in the order in which they first come.
pub fn cells(runs: &[Run]) -> Vec<(Cell, Vec<&Run>)> {
    let mut groups: Vec<Vec<&Run>> = Vec::new();
    for run in runs {
        let same = |g: &&mut Vec<&Run>| {
            let (a, b) = (&g[0].played, &run.played);
            (&a.scenario, &a.policy, &g[0].parameters) == (&b.scenario, &b.policy, &run.parameters)
        };
        match groups.iter_mut().find(same) {
            Some(group) => group.push(run),
            None => groups.push(vec![run]),
        }
    }
    groups.into_iter().map(|group| (cell(&group), group)).collect()
}

/// The slowest profile's 99th percentile.
pub fn p99(played: &PlayResult) -> f64 {
    played.latency.values().map(|p| p.latency.p99).fold(0.0, f64::max)
}

fn cell(group: &[&Run]) -> Cell {
    let mean = |value: &dyn Fn(&PlayResult) -> f64| {
        Mean::of(&group.iter().map(|r| value(&r.played)).collect::<Vec<_>>())
    };
    let service = mean(&|p| p.service);
    let sum = |value: &dyn Fn(&PlayResult) -> u64| group.iter().map(|r| value(&r.played)).sum();
    Cell {
        scenario: group[0].played.scenario.clone(),
        parameters: group[0].parameters.clone(),
        policy: group[0].played.policy.clone(),
        seeds: group.len(),
        service: service.mean,
        service_half: service.half_width,
        worst_5s: mean(&|p| p.worst_5s).mean,
        p99_ms: mean(&p99).mean,
        turned_back: mean(&|p| p.turned_back_share).mean,
        launches: mean(&|p| p.launches_per_command).mean,
        probes: mean(&|p| p.probes_per_command).mean,
        wasted: mean(&|p| p.wasted_share).mean,
        broken: [
            sum(&|p| p.rules.answers),
            sum(&|p| p.rules.effects),
            sum(&|p| p.rules.drains),
            sum(&|p| p.rules.pushes),
            sum(&|p| p.rules.crashes),
        ],
    }
}

/// The cells as comma-separated values, a head line first.
pub fn csv(cells: &[Cell]) -> String {
    let keys: Vec<&String> = cells.first().map(|c| c.parameters.keys().collect()).unwrap_or_default();
    let quote = |text: &str| match text.contains([',', '"', '\n']) {
        true => format!("\"{}\"", text.replace('"', "\"\"")),
        false => text.to_owned(),
    };
    let mut out = String::from("scenario");
    for key in &keys {
        out += &format!(",{}", quote(key));
    }
    out += ",policy,seeds,service,service_half,worst_5s,p99_ms,turned_back,launches,probes,wasted,\
            answers,effects,drains,pushes,crashes\n";
    for c in cells {
        out += &quote(&c.scenario);
        for key in &keys {
            out += &format!(",{}", quote(&c.parameters[*key]));
        }
        let half = c.service_half.map(|h| format!("{h:.6}")).unwrap_or_default();
        let [answers, effects, drains, pushes, crashes] = c.broken;
        out += &format!(
            ",{},{},{:.6},{half},{:.6},{:.3},{:.6},{:.4},{:.4},{:.6},{answers},{effects},{drains},{pushes},{crashes}\n",
            c.policy, c.seeds, c.service, c.worst_5s, c.p99_ms, c.turned_back, c.launches, c.probes, c.wasted
        );
    }
    out
}

/// The cells as a table for people.
pub fn table(cells: &[Cell]) -> String {
    let mut out = String::new();
    for c in cells {
        let half = c.service_half.map(|h| format!(" ± {h:.4}")).unwrap_or_default();
        let told: Vec<String> = c.parameters.iter().map(|(k, v)| format!("{k}={v}")).collect();
        let broken: u64 = c.broken.iter().sum();
        let rules = if broken == 0 { "kept".into() } else { format!("BROKEN {:?}", c.broken) };
        out += &format!(
            "{:<24} {:<24} {:<12} service {:.4}{half:<9} worst 5 s {:.3}  p99 {:>7.1} ms  turned back {:.3}  \
             launches {:.2}  rules {rules}\n",
            c.scenario, told.join(" "), c.policy, c.service, c.worst_5s, c.p99_ms, c.turned_back, c.launches
        );
    }
    out
}

/// Reads one result, or many as lines of JSON.
pub fn read_runs(path: &Path) -> Result<Vec<Run>, String> {
    let name = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
    if let Ok(one) = serde_json::from_str::<Run>(&text) {
        return Ok(vec![one]);
    }
    let read =
        |(i, line): (usize, &str)| serde_json::from_str(line).map_err(|e| format!("{name}:{}: {e}", i + 1));
    let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    let runs: Vec<Run> = lines.map(read).collect::<Result<_, _>>()?;
    if runs.is_empty() {
        return Err(format!("{name}: there is no result in it"));
    }
    Ok(runs)
}
