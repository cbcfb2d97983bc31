//! Two texts of settings side by side: what a change does to the rules that hold over the whole fleet.

use serde_json::Value;
use std::collections::BTreeSet;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Turn {
    Neutral,
    Tightening,
    /// It lets through what was not: asks for the operator's word.
    Loosening,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    pub path: String,
    pub turn: Turn,
    pub from: Value,
    pub to: Value,
}

/// What a greater figure, or a yes, does to the rules. Where a flag or a figure is not there it is as no and nothing.
fn greater(key: &str) -> Option<Turn> {
    Some(match key {
        // More launches of a command, more of them beyond the first, on more grounds, or sent for longer to a cold one.
        "mostLaunches" | "secondCopies" | "spareAttempts" | "repeatRatio" | "startCapacity"
        | "tipMultiple" | "memorySpan" | "removalNotBinding" => Turn::Loosening,
        // A longer window of the same budget, a longer warming, a full that is no proof, more nodes to share with.
        "extraWindow" | "warmWithin" | "mayShedBegun" | "balancers" | "fall" => Turn::Tightening,
        _ => return None,
    })
}

/// How freely launches of a command may be repeated.
fn freedom(effect: &Value) -> Option<u32> {
    ["once", "by_key", "repeatable"].iter().position(|word| effect == word).map(|place| place as u32)
}

fn turned(key: &str, from: &Value, to: &Value) -> Turn {
    let grown = |more: bool, turn: Turn| match (more, turn) {
        (true, turn) => turn,
        (false, Turn::Loosening) => Turn::Tightening,
        (false, _) => Turn::Loosening,
    };
    if key == "idempotency" {
        return match (freedom(from), freedom(to)) {
            (Some(from), Some(to)) => grown(to > from, Turn::Loosening),
            _ => Turn::Loosening,
        };
    }
    // The group within which a tag is known: what it was and what it is differ in both ways.
    if key == "group" {
        return Turn::Loosening;
    }
    let Some(turn) = greater(key) else { return Turn::Neutral };
    let figure = |value: &Value| match value {
        Value::Bool(yes) => f64::from(u8::from(*yes)),
        Value::Number(n) => n.as_f64().unwrap_or(0.0),
        _ => 0.0,
    };
    // A budget that is not stated is none: any that is stated is tighter.
    let budget = matches!(key, "spareAttempts" | "repeatRatio" | "extraWindow");
    match (budget, from.is_null(), to.is_null()) {
        (true, true, _) => Turn::Tightening,
        (true, _, true) => Turn::Loosening,
        _ => grown(figure(to) > figure(from), turn),
    }
}

/// A profile goes by its name and not by its place.
fn named(value: &Value) -> Option<Vec<(&str, &Value)>> {
    value.as_array()?.iter().map(|item| Some((item.get("name")?.as_str()?, item))).collect()
}

fn walk(path: &str, key: &str, from: &Value, to: &Value, found: &mut Vec<Difference>) {
    if from == to {
        return;
    }
    let under = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    if let (Value::Object(a), Value::Object(b)) = (from, to) {
        for name in a.keys().chain(b.keys()).collect::<BTreeSet<_>>() {
            // A node's own place and site are no part of what is changed.
            if path.is_empty() && (name == "me" || name == "zone") {
                continue;
            }
            let none = Value::Null;
            walk(&under(name), name, a.get(name).unwrap_or(&none), b.get(name).unwrap_or(&none), found);
        }
        return;
    }
    if let (Some(a), Some(b)) = (named(from), named(to)) {
        let of = |list: &[(&str, &Value)], name: &str| {
            list.iter().find(|(n, _)| *n == name).map_or(Value::Null, |(_, value)| (*value).clone())
        };
        for name in a.iter().chain(&b).map(|(name, _)| *name).collect::<BTreeSet<_>>() {
            walk(&format!("{path}[{name}]"), "", &of(&a, name), &of(&b, name), found);
        }
        return;
    }
    let (path, from, to) = (path.to_owned(), from.clone(), to.clone());
    found.push(Difference { path, turn: turned(key, &from, &to), from, to });
}

/// All that differs, by path. A profile that is new or gone is neutral: no command has come under it, or none will.
pub fn differences(from: &Value, to: &Value) -> Vec<Difference> {
    let mut found = Vec::new();
    walk("", "", from, to, &mut found);
    found
}

/// The settings that hold while old and new stand side by side: the new ones, but for each loosening the former value,
/// so that what either allows counts only as far as both do.
pub fn side_by_side(from: &Value, to: &Value) -> Value {
    let mut both = to.clone();
    for difference in differences(from, to).iter().filter(|d| d.turn == Turn::Loosening) {
        put(&mut both, &difference.path, &difference.from);
    }
    both
}

fn put(value: &mut Value, path: &str, new: &Value) {
    let (head, rest) = path.split_once('.').map_or((path, None), |(head, rest)| (head, Some(rest)));
    let (key, name) = match head.split_once('[') {
        Some((key, name)) => (key, Some(name.trim_end_matches(']'))),
        None => (head, None),
    };
    let Some(mut at) = value.get_mut(key) else {
        if rest.is_none() && !new.is_null() {
            value[key] = new.clone();
        }
        return;
    };
    if let Some(name) = name {
        let item = at.as_array_mut().and_then(|items| items.iter_mut().find(|item| item["name"] == name));
        let Some(item) = item else { return };
        at = item;
    }
    match rest {
        Some(rest) => put(at, rest, new),
        None => *at = new.clone(),
    }
}
