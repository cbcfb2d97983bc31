//! Experiments play every combination of scenarios, parameter values, policies and seeds on the virtual clock, on all
//! cores.

use crate::judge::result::PlayResult;
use crate::policy;
use crate::scenario::Scenario;
use crate::stats::Mean;
use crate::virtual_clock;
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// The file of an experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Paths of scenario files, relative to this file.
    pub scenarios: Vec<PathBuf>,
    /// Names of policies, from `policy::NAMES`.
    #[serde(default = "default_policies")]
    pub policies: Vec<String>,
    /// The number of seeds for each combination.
    #[serde(default = "default_seeds")]
    pub seeds: u64,
    #[serde(default = "default_first_seed")]
    pub first_seed: u64,
    /// Keys of the scenarios that are varied.
    #[serde(default)]
    pub parameters: Vec<Parameter>,
}

fn default_policies() -> Vec<String> {
    vec!["yarrowfront".into()]
}

fn default_seeds() -> u64 {
    10
}

fn default_first_seed() -> u64 {
    1
}

/// A key of the scenario, such as `load.share` or `backends[0].count`, and the values that it is set to.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Parameter {
    pub key: String,
    pub values: Vec<toml::Value>,
}

/// One play of an experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Run {
    /// The values of the parameters, by key.
    #[serde(default)]
    pub parameters: BTreeMap<String, String>,
    #[serde(flatten)]
    pub result: PlayResult,
}

/// The means over all runs that differ only in the seed.
#[derive(Clone, Debug, Serialize)]
pub struct Cell {
    pub scenario: String,
    pub parameters: BTreeMap<String, String>,
    pub policy: String,
    pub seeds: usize,
    pub service: f64,
    /// Half the width of the 95% confidence interval of `service`.
    pub service_half: Option<f64>,
    pub worst_5s: f64,
    /// The 99th percentile of the latency of the slowest profile.
    pub p99_ms: f64,
    /// The share of attempts that were rejected.
    pub turned_back: f64,
    /// Launches and probes per command.
    pub launches: f64,
    pub probes: f64,
    /// The share of the work that contributed to no finished command.
    pub wasted: f64,
    /// Violations in all runs: answers, effects, drains, pushes, crashes.
    pub broken: [u64; 5],
}

/// Sets a key with a dotted path, in which indices of arrays are in brackets.
fn set_key(root: &mut toml::Value, key: &str, value: toml::Value) -> Result<(), String> {
    let unknown = || format!("{key}: the scenario has no such key");
    let mut current = root;
    let mut steps = key.split('.').peekable();
    while let Some(step) = steps.next() {
        let (name, index) = match step.split_once('[') {
            Some((name, rest)) => {
                let index = rest.strip_suffix(']').and_then(|n| n.parse::<usize>().ok());
                (name, Some(index.ok_or_else(unknown)?))
            }
            None => (step, None),
        };
        let table = current.as_table_mut().ok_or_else(unknown)?;
        if steps.peek().is_none() && index.is_none() {
            table.insert(name.into(), value);
            return Ok(());
        }
        current = table.entry(name).or_insert_with(|| toml::Value::Table(Default::default()));
        if let Some(index) = index {
            current = current.as_array_mut().and_then(|a| a.get_mut(index)).ok_or_else(unknown)?;
            if steps.peek().is_none() {
                *current = value;
                return Ok(());
            }
        }
    }
    Err(unknown())
}

/// The value as text for tables: a string without quotes, anything else as in TOML.
fn value_text(value: &toml::Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

/// A scenario, and the values of the parameters that were set in it.
type PlannedScenario = (Scenario, BTreeMap<String, String>);

impl Experiment {
    /// Reads and checks a file. The error names the file, and the line or the key.
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
            return Err(format!("{name}: {key}: there are none"));
        }
        if read.seeds == 0 {
            return Err(format!("{name}: seeds: it must be at least 1"));
        }
        if let Some(unknown) = read.policies.iter().find(|p| !policy::NAMES.contains(&p.as_str())) {
            return Err(format!("{name}: policies: {unknown:?} is not one of {}", policy::NAMES.join(", ")));
        }
        Ok(read)
    }

    /// Every scenario with every combination of parameter values. All are checked before anything is played.
    pub fn plan(&self) -> Result<Vec<PlannedScenario>, String> {
        let mut all = Vec::new();
        for path in &self.scenarios {
            let scenario = Scenario::read(path)?;
            let base = toml::Value::try_from(&scenario).map_err(|e| format!("{}: {e}", path.display()))?;
            let mut combinations = vec![(base, BTreeMap::new())];
            for parameter in &self.parameters {
                let mut next = Vec::new();
                for (base, values) in &combinations {
                    for value in &parameter.values {
                        let (mut base, mut values) = (base.clone(), values.clone());
                        set_key(&mut base, &parameter.key, value.clone())?;
                        values.insert(parameter.key.clone(), value_text(value));
                        next.push((base, values));
                    }
                }
                combinations = next;
            }
            for (value, values) in combinations {
                let source = || format!("{} with {values:?}", path.display());
                let scenario: Scenario = value
                    .try_into()
                    .map_err(|e: toml::de::Error| format!("{}: {}", source(), e.message()))?;
                scenario.check().map_err(|(key, why)| format!("{}: {key}: {why}", source()))?;
                all.push((scenario, values));
            }
        }
        Ok(all)
    }

    /// Plays everything. The runs are in the order of the plan, whichever finished first. `progress` is called after each.
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
        let play = |((scenario, values), name, seed): &(&PlannedScenario, &String, u64)| {
            let create = |context: &policy::NodeContext| policy::create(name, context);
            let (result, _) = virtual_clock::play(scenario, *seed, name, &create, &mut |_| ())?;
            progress();
            Ok(Run { parameters: values.clone(), result })
        };
        jobs.par_iter().map(play).collect()
    }

    /// The number of runs.
    pub fn run_count(&self) -> Result<u64, String> {
        Ok(self.plan()?.len() as u64 * self.policies.len() as u64 * self.seeds)
    }
}

/// Groups runs by everything but the seed, in the order of the first run of each group.
pub fn group_into_cells(runs: &[Run]) -> Vec<(Cell, Vec<&Run>)> {
    let mut groups: Vec<Vec<&Run>> = Vec::new();
    for run in runs {
        let is_in_group = |g: &&mut Vec<&Run>| {
            let (a, b) = (&g[0].result, &run.result);
            (&a.scenario, &a.policy, &g[0].parameters) == (&b.scenario, &b.policy, &run.parameters)
        };
        match groups.iter_mut().find(is_in_group) {
            Some(group) => group.push(run),
            None => groups.push(vec![run]),
        }
    }
    groups.into_iter().map(|group| (summarize(&group), group)).collect()
}

/// The 99th percentile of the latency of the slowest profile, in milliseconds.
pub fn p99_ms(result: &PlayResult) -> f64 {
    result.latency.values().map(|p| p.latency.p99).fold(0.0, f64::max)
}

fn summarize(group: &[&Run]) -> Cell {
    let mean = |value: &dyn Fn(&PlayResult) -> f64| {
        Mean::of(&group.iter().map(|r| value(&r.result)).collect::<Vec<_>>())
    };
    let service = mean(&|p| p.service);
    let sum = |value: &dyn Fn(&PlayResult) -> u64| group.iter().map(|r| value(&r.result)).sum();
    Cell {
        scenario: group[0].result.scenario.clone(),
        parameters: group[0].parameters.clone(),
        policy: group[0].result.policy.clone(),
        seeds: group.len(),
        service: service.mean,
        service_half: service.half_width,
        worst_5s: mean(&|p| p.worst_5s).mean,
        p99_ms: mean(&p99_ms).mean,
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

/// The cells as comma-separated values with a header line.
pub fn csv(cells: &[Cell]) -> String {
    let keys: Vec<&String> = cells.first().map(|c| c.parameters.keys().collect()).unwrap_or_default();
    let quote = |text: &str| match text.contains([',', '"', '\n']) {
        true => format!("\"{}\"", text.replace('"', "\"\"")),
        false => text.to_owned(),
    };
    let mut text = String::from("scenario");
    for key in &keys {
        text += &format!(",{}", quote(key));
    }
    text += ",policy,seeds,service,service_half,worst_5s,p99_ms,turned_back,launches,probes,wasted,\
            answers,effects,drains,pushes,crashes\n";
    for c in cells {
        text += &quote(&c.scenario);
        for key in &keys {
            text += &format!(",{}", quote(&c.parameters[*key]));
        }
        let half_width = c.service_half.map(|h| format!("{h:.6}")).unwrap_or_default();
        let [answers, effects, drains, pushes, crashes] = c.broken;
        text += &format!(
            ",{},{},{:.6},{half_width},{:.6},{:.3},{:.6},{:.4},{:.4},{:.6},{answers},{effects},{drains},{pushes},{crashes}\n",
            c.policy, c.seeds, c.service, c.worst_5s, c.p99_ms, c.turned_back, c.launches, c.probes, c.wasted
        );
    }
    text
}

/// The cells as a table for reading.
pub fn table(cells: &[Cell]) -> String {
    let mut text = String::new();
    for c in cells {
        let half_width = c.service_half.map(|h| format!(" ± {h:.4}")).unwrap_or_default();
        let parameters: Vec<String> = c.parameters.iter().map(|(k, v)| format!("{k}={v}")).collect();
        let broken: u64 = c.broken.iter().sum();
        let rules = if broken == 0 { "kept".into() } else { format!("BROKEN {:?}", c.broken) };
        text += &format!(
            "{:<24} {:<24} {:<12} service {:.4}{half_width:<9} worst 5 s {:.3}  p99 {:>7.1} ms  turned back {:.3}  \
             launches {:.2}  rules {rules}\n",
            c.scenario, parameters.join(" "), c.policy, c.service, c.worst_5s, c.p99_ms, c.turned_back, c.launches
        );
    }
    text
}

/// Reads a file with one result, or with many results as lines of JSON.
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
        return Err(format!("{name}: the file has no results"));
    }
    Ok(runs)
}
