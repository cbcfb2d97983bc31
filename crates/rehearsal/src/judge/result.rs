//! The result of one play of a scenario, as it is printed, stored as JSON and compared.

use crate::judge::rules::RuleViolations;
use crate::judge::service::ServiceJudge;
use crate::scenario::Scenario;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Latency from the time a command was due to its finished answer, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    pub mean: f64,
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    pub p999: f64,
    pub most: f64,
}

/// What the commands of one profile came to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ProfileResult {
    /// Commands that were due after the settle time. The other counts are of the same commands.
    pub asked: u64,
    /// Commands that finished within the goal time; they are part of `finished`.
    pub in_time: u64,
    pub finished: u64,
    /// Commands whose last attempt was rejected.
    pub turned_back: u64,
    pub errored: u64,
    /// Commands whose last attempt got no whole answer or no connection.
    pub lost: u64,
    pub timed_out: u64,
    /// Commands whose client left before the answer.
    pub left: u64,
    pub latency: Latency,
}

/// CPU time and memory that a node's process used. Only plays on the real clock have it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ProcessUsage {
    pub node: usize,
    /// CPU time in seconds.
    pub cpu_s: f64,
    /// Peak resident memory in megabytes.
    pub memory_mb: f64,
}

/// Everything that one play of a scenario measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlayResult {
    pub scenario: String,
    pub policy: String,
    pub clock: String,
    pub seed: u64,
    /// Payoff of the commands finished within their goal time, divided by the payoff of all commands.
    pub service: f64,
    /// The same for the worst five consecutive seconds.
    pub worst_5s: f64,
    /// Why the figures of this play are not valid, if they are not.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub void: Option<String>,
    pub commands: u64,
    pub rules: RuleViolations,
    /// Results by the name of the profile.
    pub latency: BTreeMap<String, ProfileResult>,
    /// Attempts that nodes rejected, divided by the attempts that they received.
    pub turned_back_share: f64,
    pub launches_per_command: f64,
    pub probes_per_command: f64,
    /// Share of the work done by backends that contributed to no finished command.
    pub wasted_share: f64,
    /// `service` by the site of the node that accepted a command last; empty with a single site.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub sites: Vec<f64>,
    /// The faults on links and processes as they were played, one line each.
    #[serde(skip_serializing_if = "String::is_empty", default)]
    pub faults: String,
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub processes: Vec<ProcessUsage>,
    /// For each second: payoff asked for, payoff finished within the goal time, attempts rejected, launches.
    pub seconds: Vec<(f64, f64, u64, u64)>,
}

impl PlayResult {
    /// Collects the result from the judges; `labels` are the names of the policy and of the clock.
    pub fn from_judges(
        scenario: &Scenario,
        (rules, service): (&RuleViolations, &ServiceJudge),
        (policy, clock): (&str, &str),
        seed: u64,
    ) -> PlayResult {
        let commands: u64 = service.seconds.iter().map(|s| s.commands).sum();
        let per_command = |n: u64| n as f64 / commands.max(1) as f64;
        let to_ms = |micros: u64| micros as f64 / 1e3;
        let profile_results = scenario.profiles.iter().zip(&service.profiles).map(|(profile, p)| {
            let quantile_ms = |q: f64| to_ms(p.latency_us.value_at_quantile(q));
            let latency = Latency {
                mean: p.latency_us.mean() / 1e3,
                p50: quantile_ms(0.5),
                p90: quantile_ms(0.9),
                p99: quantile_ms(0.99),
                p999: quantile_ms(0.999),
                most: to_ms(p.latency_us.max()),
            };
            let result = ProfileResult {
                asked: p.asked,
                in_time: p.in_time,
                finished: p.finished,
                turned_back: p.rejected,
                errored: p.errored,
                lost: p.lost,
                timed_out: p.timed_out,
                left: p.left,
                latency,
            };
            (profile.name.clone(), result)
        });
        PlayResult {
            scenario: scenario.name.clone(),
            policy: policy.into(),
            clock: clock.into(),
            seed,
            service: service.service_ratio(),
            worst_5s: service.worst_window(5),
            void: None,
            commands,
            rules: rules.clone(),
            latency: profile_results.collect(),
            turned_back_share: service.rejected as f64 / service.attempts.max(1) as f64,
            launches_per_command: per_command(service.launches),
            probes_per_command: per_command(service.probes),
            wasted_share: if service.work_us > 0.0 {
                (1.0 - service.useful_work_us / service.work_us).max(0.0)
            } else {
                0.0
            },
            sites: match service.sites.len() {
                1 => Vec::new(),
                _ => service.sites.iter().map(|(asked, served)| served / asked.max(1e-9)).collect(),
            },
            faults: String::new(),
            processes: Vec::new(),
            seconds: service.seconds.iter().map(|s| (s.asked, s.served, s.rejected, s.launches)).collect(),
        }
    }
}
