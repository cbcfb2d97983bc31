//! Compares the membership views that several nodes report.

use crate::http::call_expecting_ok;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Fetches a node's view from its admin address, or returns why that failed within the timeout.
pub fn fetch_view(at: SocketAddr, timeout: Duration) -> Result<Value, String> {
    let body = call_expecting_ok(at, "GET", "/fleet", "", timeout)?;
    serde_json::from_str(&body).map_err(|error| format!("invalid JSON: {error}"))
}

/// The generation and the state of each member in a view, including the node itself.
fn known_members(view: &Value) -> BTreeMap<String, (u64, String)> {
    let entry = |m: &Value| {
        let standing = m.get("standing").and_then(Value::as_str).unwrap_or("alive");
        Some((m["name"].as_str()?.to_owned(), (m["life"].as_u64()?, standing.to_owned())))
    };
    view["members"].as_array().into_iter().flatten().chain([view]).filter_map(entry).collect()
}

/// The differences between the views, one line each; empty if they agree.
pub fn differences(views: &[(String, Result<Value, String>)]) -> Vec<String> {
    let mut lines = Vec::new();
    let mut views_by_node: BTreeMap<String, BTreeMap<String, (u64, String)>> = BTreeMap::new();
    for (at, view) in views {
        match view {
            Ok(view) => {
                let name = view["name"].as_str().unwrap_or(at).to_owned();
                if view["alone"] == true && views.len() > 1 {
                    lines.push(format!("{name} is alone"));
                }
                if views_by_node.insert(name.clone(), known_members(view)).is_some() {
                    lines.push(format!("{name} is the name of more than one of these nodes"));
                }
            }
            Err(why) => lines.push(format!("{at} does not report its view: {why}")),
        }
    }
    let names: BTreeSet<&String> = views_by_node.values().flat_map(BTreeMap::keys).collect();
    for name in names {
        let mut observers: BTreeMap<String, Vec<&str>> = BTreeMap::new();
        for (observer, members) in &views_by_node {
            let description = match members.get(name) {
                Some((generation, state)) => format!("{state} (life {generation})"),
                None => "unknown".to_owned(),
            };
            observers.entry(description).or_default().push(observer);
        }
        // A member that is dead to one node and forgotten by another is gone for both.
        let is_gone = |description: &String| {
            ["dead", "left", "unknown"].iter().any(|word| description.starts_with(word))
        };
        if observers.len() > 1 && !observers.keys().all(is_gone) {
            let each: Vec<String> = observers
                .iter()
                .map(|(description, names)| format!("{description} according to {}", names.join(", ")))
                .collect();
            lines.push(format!("{name}: {}", each.join("; ")));
        }
    }
    lines
}

#[cfg(test)]
mod tests {
    use super::differences;
    use serde_json::{json, Value};

    fn view(name: &str, members: &[(&str, u64, &str)]) -> (String, Result<Value, String>) {
        let member = |(name, life, standing): &(&str, u64, &str)| json!({"name": name, "life": life, "standing": standing});
        let members: Vec<Value> = members.iter().map(member).collect();
        let alone = members.is_empty();
        (format!("at {name}"), Ok(json!({"name": name, "life": 5, "alone": alone, "members": members})))
    }

    /// Only differences are listed, with the nodes that hold each version, so that an operator can read them quickly.
    #[test]
    fn differences_are_listed_by_observer() {
        let a = view("a", &[("b", 5, "alive"), ("c", 7, "dead")]);
        let cases = [
            (vec![a.clone(), view("b", &[("a", 5, "alive"), ("c", 7, "dead")])], vec![]),
            (vec![a.clone(), view("b", &[("a", 5, "alive")])], vec![]),
            (
                vec![a.clone(), view("b", &[("a", 5, "suspected"), ("c", 7, "dead")])],
                vec!["a: alive (life 5) according to a; suspected (life 5) according to b"],
            ),
            (
                vec![a.clone(), view("b", &[("a", 5, "alive"), ("c", 8, "alive")])],
                vec!["c: alive (life 8) according to b; dead (life 7) according to a"],
            ),
            (
                vec![a.clone(), view("b", &[])],
                vec!["b is alone", "a: alive (life 5) according to a; unknown according to b"],
            ),
            (vec![a.clone(), a.clone()], vec!["a is the name of more than one of these nodes"]),
            (
                vec![a, ("x:1".to_owned(), Err("refused".to_owned()))],
                vec!["x:1 does not report its view: refused"],
            ),
        ];
        for (views, lines) in cases {
            assert_eq!(differences(&views), lines);
        }
    }
}
