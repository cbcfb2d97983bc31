//! The settings that a node is given for a scenario: the same JSON for the balancer module on the virtual clock and for
//! the node's configuration file on the real one.

use crate::scenario::{CommandEffect, ListMode, Scenario, Scope};
use serde_json::{json, Value};

/// The name of a zone in settings and in discovery's list.
pub fn zone_name(zone: u16) -> String {
    format!("zone-{zone}")
}

/// The names of the fields of a load report in the settings. The simulated backends name the fields differently in their
/// answers.
pub const LOAD_REPORT_FIELDS: [&str; 3] = ["outstanding", "backlog", "utilization"];

/// The settings of one node.
pub fn node_settings(scenario: &Scenario, node: usize) -> Value {
    let zone = node as u16 % scenario.zones;
    let profile = |p: &crate::scenario::Profile| {
        let effect = match p.effect {
            CommandEffect::Repeatable => "repeatable",
            CommandEffect::Tagged => "by_key",
            CommandEffect::OnceOnly => "once",
        };
        let scope = match p.scope {
            Scope::All => "all",
            Scope::Zone => "zone",
            Scope::Group => "cell",
        };
        json!({"name": p.name, "goalTime": p.goal.nanos(), "timeLimit": p.limit.nanos(), "idempotency": effect,
               "group": scope, "memorySpan": p.memory.nanos(), "payoff": p.payoff})
    };
    let allow = &scenario.allow;
    // The guarantees are the lowest of all kinds, because a node does not know beforehand what kind a backend is of.
    let cold = scenario.backends.iter().map(|k| k.cold).fold(1.0, f64::min);
    let warm = scenario.backends.iter().map(|k| k.warm.nanos()).max().unwrap_or_default();
    json!({
        "balancers": scenario.nodes,
        "me": node,
        "zone": zone,
        "zones": (0..scenario.zones).map(zone_name).collect::<Vec<_>>(),
        "flavors": scenario.backends.iter().map(|k| &k.kind).collect::<Vec<_>>(),
        "discovery": if scenario.list.mode == ListMode::Ask { "ask" } else { "push" },
        "profiles": scenario.profiles.iter().map(profile).collect::<Vec<_>>(),
        "tenants": scenario.customers.iter()
            .map(|c| json!({"name": c.name, "quotaPerS": c.quota_per_s})).collect::<Vec<_>>(),
        "surplusPayoff": allow.surplus_payoff,
        "goal": {"tailMiss": allow.tail_miss},
        "limits": {
            "mostLaunches": allow.launches, "cancel": true, "secondCopies": allow.second_copies,
            "mayProbe": allow.probes, "retryAfter": allow.come_back.is_some(),
            "maxRetryAfter": allow.come_back.map_or(0, |t| t.nanos()),
            "dialTimeout": scenario.net.dial.nanos(), "connIdle": 30_000_000_000u64
        },
        "report": if allow.probes { json!({"how": "pull", "names": LOAD_REPORT_FIELDS}) } else { Value::Null },
        "penalties": {"probe": allow.probe_price, "crossZone": allow.crossing_price},
        "guarantees": {
            "startCapacity": cold, "warmWithin": warm, "tipMultiple": allow.push_over,
            "fall": allow.push_span.nanos(), "drainGrace": allow.drain_grace.nanos(),
            "askWithin": scenario.list.ask_within.nanos()
        }
    })
}
