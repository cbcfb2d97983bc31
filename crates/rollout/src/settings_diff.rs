//! The differences between two sets of settings, and whether they tighten or loosen the rules that hold for the whole
//! fleet.

use serde_json::Value;
use std::collections::BTreeSet;

/// The effect of a difference on the rules that hold for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RuleChange {
    Neutral,
    Tightening,
    /// The change permits what was not permitted before, which takes the operator's consent.
    Loosening,
}

/// A difference between two settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    pub path: String,
    pub effect: RuleChange,
    pub from: Value,
    pub to: Value,
}

/// The effect of a greater number or of a flag that is set. A missing flag counts as false, a missing number as zero.
fn effect_of_increase(key: &str) -> Option<RuleChange> {
    Some(match key {
        // More launches per command, a larger budget for launches beyond the first, more grounds for them, or more load on a
        // cold backend.
        "mostLaunches" | "secondCopies" | "spareAttempts" | "repeatRatio" | "startCapacity"
        | "tipMultiple" | "memorySpan" | "removalNotBinding" => RuleChange::Loosening,
        // A longer window for the same budget, a longer warm-up, a "full" answer that does not prove that the command has not
        // run, or more nodes to share the limits.
        "extraWindow" | "warmWithin" | "mayShedBegun" | "balancers" | "fall" => RuleChange::Tightening,
        _ => return None,
    })
}

/// How freely launches of a command may be repeated, by its `idempotency`.
fn repeat_freedom(effect: &Value) -> Option<u32> {
    ["once", "by_key", "repeatable"].iter().position(|word| effect == word).map(|rank| rank as u32)
}

fn rule_change(key: &str, from: &Value, to: &Value) -> RuleChange {
    let effect_of = |increases: bool, effect: RuleChange| match (increases, effect) {
        (true, effect) => effect,
        (false, RuleChange::Loosening) => RuleChange::Tightening,
        (false, _) => RuleChange::Loosening,
    };
    if key == "idempotency" {
        return match (repeat_freedom(from), repeat_freedom(to)) {
            (Some(from), Some(to)) => effect_of(to > from, RuleChange::Loosening),
            _ => RuleChange::Loosening,
        };
    }
    // The group within which an idempotency key is known. A change of it loosens in one way and tightens in
    // another, so it counts as a loosening.
    if key == "group" {
        return RuleChange::Loosening;
    }
    let Some(effect) = effect_of_increase(key) else { return RuleChange::Neutral };
    let number = |value: &Value| match value {
        Value::Bool(yes) => f64::from(u8::from(*yes)),
        Value::Number(n) => n.as_f64().unwrap_or(0.0),
        _ => 0.0,
    };
    // A budget that is not configured means no limit, so any configured one is tighter.
    let is_budget = matches!(key, "spareAttempts" | "repeatRatio" | "extraWindow");
    match (is_budget, from.is_null(), to.is_null()) {
        (true, true, _) => RuleChange::Tightening,
        (true, _, true) => RuleChange::Loosening,
        _ => effect_of(number(to) > number(from), effect),
    }
}

/// The elements of a list of named objects: profiles are compared by name and not by position.
fn by_name(value: &Value) -> Option<Vec<(&str, &Value)>> {
    value.as_array()?.iter().map(|item| Some((item.get("name")?.as_str()?, item))).collect()
}

fn collect_differences(path: &str, key: &str, from: &Value, to: &Value, found: &mut Vec<Difference>) {
    if from == to {
        return;
    }
    let child_path = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    if let (Value::Object(a), Value::Object(b)) = (from, to) {
        for name in a.keys().chain(b.keys()).collect::<BTreeSet<_>>() {
            // A node's own slot and site are not part of the change.
            if path.is_empty() && (name == "me" || name == "zone") {
                continue;
            }
            let none = Value::Null;
            collect_differences(
                &child_path(name),
                name,
                a.get(name).unwrap_or(&none),
                b.get(name).unwrap_or(&none),
                found,
            );
        }
        return;
    }
    if let (Some(a), Some(b)) = (by_name(from), by_name(to)) {
        let find = |list: &[(&str, &Value)], name: &str| {
            list.iter().find(|(n, _)| *n == name).map_or(Value::Null, |(_, value)| (*value).clone())
        };
        for name in a.iter().chain(&b).map(|(name, _)| *name).collect::<BTreeSet<_>>() {
            collect_differences(&format!("{path}[{name}]"), "", &find(&a, name), &find(&b, name), found);
        }
        return;
    }
    let (path, from, to) = (path.to_owned(), from.clone(), to.clone());
    found.push(Difference { path, effect: rule_change(key, &from, &to), from, to });
}

/// All differences, by path. A new or removed profile is neutral: no command has used it yet, or none will.
pub fn differences(from: &Value, to: &Value) -> Vec<Difference> {
    let mut found = Vec::new();
    collect_differences("", "", from, to, &mut found);
    found
}

/// The settings for the time in which the former and the new ones are in use side by side: the new ones, but with the
/// former value for each loosening, so that nothing is permitted which only one of the two permits.
pub fn side_by_side(from: &Value, to: &Value) -> Value {
    let mut combined = to.clone();
    for difference in differences(from, to).iter().filter(|d| d.effect == RuleChange::Loosening) {
        set_path(&mut combined, &difference.path, &difference.from);
    }
    combined
}

fn set_path(value: &mut Value, path: &str, new: &Value) {
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
        Some(rest) => set_path(at, rest, new),
        None => *at = new.clone(),
    }
}
