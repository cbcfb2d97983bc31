//! What a play comes to, as it is printed, kept and compared.

use crate::judge::rules::Broken;
use crate::judge::service::ServiceJudge;
use crate::scenario::Scenario;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    pub mean: f64,
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    pub p999: f64,
    pub most: f64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OfProfile {
    pub asked: u64,
    pub in_time: u64,
    pub finished: u64,
    pub turned_back: u64,
    pub errored: u64,
    pub lost: u64,
    pub timed_out: u64,
    pub left: u64,
    pub latency: Latency,
}

/// What a node's process took, on the real clock.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ProcessUsage {
    pub node: usize,
    /// Seconds of CPU, and megabytes at most.
    pub cpu_s: f64,
    pub memory_mb: f64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlayResult {
    pub scenario: String,
    pub policy: String,
    pub clock: String,
    pub seed: u64,
    /// Payoff within the goal time over payoff asked for.
    pub service: f64,
    /// The same for the worst five seconds.
    pub worst_5s: f64,
    /// Why the figures say nothing, if they do.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub void: Option<String>,
    pub commands: u64,
    pub rules: Broken,
    pub latency: BTreeMap<String, OfProfile>,
    /// Tries turned back, of those taken.
    pub turned_back_share: f64,
    pub launches_per_command: f64,
    pub probes_per_command: f64,
    /// Work done for nobody, of all work done.
    pub wasted_share: f64,
    /// The same as `service` by the site of the node that had a command last, where there is more than one.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub sites: Vec<f64>,
    /// The faults on ways and processes as they were played, a line each.
    #[serde(skip_serializing_if = "String::is_empty", default)]
    pub faults: String,
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub processes: Vec<ProcessUsage>,
    /// By second: payoff asked, payoff within the goal time, tries turned back, launches.
    pub seconds: Vec<(f64, f64, u64, u64)>,
}

impl PlayResult {
    pub fn of(
        scenario: &Scenario,
        (rules, service): (&Broken, &ServiceJudge),
        (policy, clock): (&str, &str),
        seed: u64,
    ) -> PlayResult {
        let commands: u64 = service.seconds.iter().map(|s| s.commands).sum();
        let each = |n: u64| n as f64 / commands.max(1) as f64;
        let ms = |micros: u64| micros as f64 / 1e3;
        let rows = scenario.profiles.iter().zip(&service.profiles).map(|(told, p)| {
            let at = |q: f64| ms(p.took.value_at_quantile(q));
            let latency = Latency {
                mean: p.took.mean() / 1e3,
                p50: at(0.5),
                p90: at(0.9),
                p99: at(0.99),
                p999: at(0.999),
                most: ms(p.took.max()),
            };
            let row = OfProfile {
                asked: p.asked,
                in_time: p.in_time,
                finished: p.finished,
                turned_back: p.turned_back,
                errored: p.errored,
                lost: p.lost,
                timed_out: p.timed_out,
                left: p.left,
                latency,
            };
            (told.name.clone(), row)
        });
        PlayResult {
            scenario: scenario.name.clone(),
            policy: policy.into(),
            clock: clock.into(),
            seed,
            service: service.figure(),
            worst_5s: service.worst(5),
            void: None,
            commands,
            rules: rules.clone(),
            latency: rows.collect(),
            turned_back_share: service.turned_back as f64 / service.taken.max(1) as f64,
            launches_per_command: each(service.launches),
            probes_per_command: each(service.probes),
            wasted_share: if service.work > 0.0 {
                (1.0 - service.work_used / service.work).max(0.0)
            } else {
                0.0
            },
            sites: match service.sites.len() {
                1 => Vec::new(),
                _ => service.sites.iter().map(|(asked, served)| served / asked.max(1e-9)).collect(),
            },
            faults: String::new(),
            processes: Vec::new(),
            seconds: service.seconds.iter().map(|s| (s.asked, s.served, s.turned_back, s.launches)).collect(),
        }
    }
}
