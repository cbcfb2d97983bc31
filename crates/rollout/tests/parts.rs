//! The parts of a rolling change: plans, journals, the comparison of settings, and sequential tests.

use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rollout::evidence::{Bet, Spread};
use rollout::journal::{line, read, Action, Record};
use rollout::plan::{NodeId, Plan};
use rollout::settings_diff::{differences, side_by_side, RuleChange};
use rollout::simulation::test_plan;
use serde_json::{json, Value};

const GOOD: &str = "name = \"p\"\nfolder = \"f\"\n[change]\nsettings = \"s.json\"\n\
    [[nodes]]\nname = \"a\"\nsite = \"x\"\nadmin = \"127.0.0.1:1\"\n";

/// An error in a plan names the line or the key.
#[test]
fn plan_errors_name_the_key_or_line() {
    assert!(Plan::from_toml(GOOD).is_ok());
    let program =
        "[change.program]\nbuild = \"b\"\nformer = \"a\"\nstart = [\"s\"]\nwords = [\"w\"]\nstart_former = [\"s\"]\nend = []";
    let cases = [
        (GOOD.replace("name = \"p\"", "nam = \"p\""), "line 1"),
        (GOOD.replace("127.0.0.1:1", "here"), "line 8"),
        (format!("stages = [\"1 node\"]\n{GOOD}"), "stages: the last"),
        (format!("stages = [\"some\", \"100%\"]\n{GOOD}"), "stages[0]"),
        (format!("stages = [\"0 nodes\", \"100%\"]\n{GOOD}"), "stages[0]"),
        (format!("most_out = 2\n{GOOD}"), "most_out"),
        (format!("{GOOD}[[nodes]]\nname = \"a\"\nsite = \"x\"\nadmin = \"127.0.0.1:2\"\n"), "nodes[1]"),
        (format!("{GOOD}[[nodes]]\nname = \"b\"\nsite = \"x\"\nadmin = \"127.0.0.1:1\"\n"), "nodes[1]"),
        (format!("{GOOD}[seconds]\nwatch = 0.0\n"), "seconds.watch"),
        (format!("{GOOD}[odds]\nstop = 0.5\n"), "odds.stop"),
        (format!("{GOOD}[margins]\npayoff = 0.0\n"), "margins.payoff"),
        (GOOD.replace("[change]\nsettings = \"s.json\"", program), "other_admin"),
        (
            GOOD.replace("[change]\nsettings = \"s.json\"", program)
                .replace(":1\"", ":1\"\nother_admin = \"127.0.0.1:2\""),
            "change.program.end",
        ),
    ];
    for (text, key) in cases {
        let why = Plan::from_toml(&text).expect_err(&text);
        assert!(why.contains(key), "{text}\n{why}");
    }
}

/// The example in `deploy` is a valid plan and states the default values.
#[test]
fn example_plan_is_valid_and_states_the_defaults() {
    let text = include_str!("../../../deploy/plan.example.toml");
    let example = Plan::from_toml(text).expect("a plan");
    let defaults = Plan::from_toml(GOOD).expect("a plan");
    assert_eq!(
        (example.timing, example.margins, example.odds),
        (defaults.timing, defaults.margins, defaults.odds)
    );
    assert_eq!((example.stages, example.max_unavailable), (defaults.stages, defaults.max_unavailable));
    let other = text.replace("[change]", "").replace("settings = \"/etc", "# settings = \"/etc");
    let program = other.lines().map(|line| {
        let commented =
            ["# [change.program]", "# build", "# former", "# start", "# end", "# words", "# other_admin"];
        if commented.iter().any(|start| line.starts_with(start)) {
            &line[2..]
        } else {
            line
        }
    });
    let program = program.collect::<Vec<_>>().join("\n") + "\nother_admin = \"127.0.0.2:9101\"\n";
    Plan::from_toml(&program).expect("a plan for a program");
}

/// The stages contain every node once and none is empty. Below 100% one node of each site with at least two stays
/// unchanged, because a stage without a node to compare with would pass by time.
#[test]
fn stages_contain_each_node_once() {
    let cases = [
        (2, "", vec![1, 1]),
        (1, "", vec![1]),
        (6, "", vec![1, 2, 3]),
        (60, "", vec![1, 2, 12, 15, 30]),
        (12, "one_site_at_a_time = true", vec![1, 1, 2, 1, 1, 2, 1, 1, 2]),
        (9, "stages = [\"2 nodes\", \"2 of each site\", \"100%\"]", vec![2, 4, 3]),
    ];
    for (nodes, more, sizes) in cases {
        let plan = test_plan(nodes, more);
        let stages = plan.stage_nodes();
        assert_eq!(stages.iter().map(Vec::len).collect::<Vec<_>>(), sizes, "{nodes} {more}");
        let mut all: Vec<NodeId> = stages.concat();
        all.sort_unstable();
        assert_eq!(all, plan.node_ids().collect::<Vec<_>>(), "{nodes} {more}");
    }
}

fn records() -> Vec<Record> {
    let name = || "n0".to_owned();
    vec![
        Record::Begin { leg: 0, plan: name(), former: "a".into(), new: "b".into() },
        Record::ActionStarted { node: name(), action: Action::Apply },
        Record::ActionFinished { node: name(), action: Action::Apply, error: Some("no\nmore".into()) },
        Record::RollbackStarted { reason: "worse".into() },
        Record::RolledBack,
    ]
}

/// A journal that is truncated at any byte yields the whole records before that byte. A changed byte is an error or, in
/// the last record, the end of the journal.
#[test]
fn truncated_and_damaged_journals_are_detected() {
    let records = records();
    let bytes: Vec<u8> =
        records.iter().enumerate().flat_map(|(at, record)| line(at as u64, record)).collect();
    let ends: Vec<usize> =
        bytes.iter().enumerate().filter(|(_, b)| **b == b'\n').map(|(i, _)| i + 1).collect();
    for cut in 0..=bytes.len() {
        let (records_read, valid_len) = read(&bytes[..cut]).expect("records");
        let whole = ends.iter().filter(|end| **end <= cut).count();
        assert_eq!(
            (records_read.len(), valid_len),
            (whole, ends[..whole].last().copied().unwrap_or(0)),
            "{cut}"
        );
        assert!(records_read.iter().map(|(_, record)| record).eq(&records[..whole]));
    }
    for at in 0..ends[ends.len() - 2] {
        let mut other = bytes.clone();
        other[at] ^= 1;
        assert!(read(&other).is_err() || other[at] == b'\n' || bytes[at] == b'\n', "byte {at}");
    }
}

fn settings() -> Value {
    json!({"me": 1, "zone": 0, "balancers": 4, "goal": 1,
        "profiles": [{"name": "read", "idempotency": "repeatable", "payoff": 1.0},
                     {"name": "pay", "idempotency": "once", "payoff": 4.0}],
        "limits": {"mostLaunches": 4, "secondCopies": false},
        "guarantees": {"startCapacity": 0.2, "warmWithin": 10}})
}

/// Each change of a rule is classified. If one were wrongly called neutral, two versions side by side could permit
/// together what neither of them permits.
#[test]
fn rule_changes_are_classified() {
    type Change = fn(&mut Value);
    let cases: [(Change, &str, RuleChange); 12] = [
        (|s| s["limits"]["mostLaunches"] = 5.into(), "limits.mostLaunches", RuleChange::Loosening),
        (|s| s["limits"]["mostLaunches"] = 3.into(), "limits.mostLaunches", RuleChange::Tightening),
        (|s| s["limits"]["secondCopies"] = true.into(), "limits.secondCopies", RuleChange::Loosening),
        (
            |s| s["guarantees"]["startCapacity"] = 0.1.into(),
            "guarantees.startCapacity",
            RuleChange::Tightening,
        ),
        (|s| s["guarantees"]["warmWithin"] = 5.into(), "guarantees.warmWithin", RuleChange::Loosening),
        (
            |s| s["guarantees"]["mayShedBegun"] = true.into(),
            "guarantees.mayShedBegun",
            RuleChange::Tightening,
        ),
        (|s| s["guarantees"]["spareAttempts"] = 5.into(), "guarantees.spareAttempts", RuleChange::Tightening),
        (|s| s["balancers"] = 3.into(), "balancers", RuleChange::Loosening),
        (|s| s["balancers"] = 5.into(), "balancers", RuleChange::Tightening),
        (
            |s| s["profiles"][1]["idempotency"] = "by_key".into(),
            "profiles[pay].idempotency",
            RuleChange::Loosening,
        ),
        (
            |s| s["profiles"][0]["idempotency"] = "once".into(),
            "profiles[read].idempotency",
            RuleChange::Tightening,
        ),
        (|s| s["profiles"][0]["payoff"] = 2.0.into(), "profiles[read].payoff", RuleChange::Neutral),
    ];
    for (change, path, effect) in cases {
        let mut new = settings();
        change(&mut new);
        let found = differences(&settings(), &new);
        assert_eq!(found.iter().map(|d| (&*d.path, d.effect)).collect::<Vec<_>>(), [(path, effect)]);
        // Side by side a loosened rule keeps its former value and all others have the new one.
        let combined = side_by_side(&settings(), &new);
        assert_eq!(combined == settings(), effect == RuleChange::Loosening, "{path}: {combined}");
        assert_eq!(combined == new, effect != RuleChange::Loosening, "{path}: {combined}");
    }
    // The order of profiles, the slot and the site are not differences.
    let mut moved = settings();
    moved["profiles"].as_array_mut().expect("profiles").reverse();
    (moved["me"], moved["zone"]) = (3.into(), 1.into());
    assert_eq!(differences(&settings(), &moved), []);
    // Removing a budget is a loosening; side by side the budget still applies.
    let mut budget = settings();
    budget["guarantees"]["spareAttempts"] = 5.into();
    assert_eq!(differences(&budget, &settings())[0].effect, RuleChange::Loosening);
    assert_eq!(side_by_side(&budget, &settings()), budget);
}

/// A test that is checked after every observation, and stopped at the first rejection, is wrong no more often than stated.
/// A fixed-sample test that is checked as often is wrong in every third run. A real harm is found.
#[test]
fn error_rate_holds_at_every_check() {
    let run = |seed: u64, harm: f64| {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut bet, mut spread) = (Bet::new(0.0), Spread::new(0.05, 4.0));
        let (mut sum, mut squares) = (0.0, 0.0);
        let (mut found, mut fixed_sample) = (false, false);
        for step in 1..=400 {
            // Differences of unknown and varying deviation, with sides of unequal size.
            let wide = if step / 50 % 2 == 0 { 0.02 } else { 0.05 };
            let value = harm + wide * (0..6).map(|_| rng.random_range(-1.0..1.0)).sum::<f64>();
            let per = rng.random_range(0.01..0.03);
            bet.observe(value, spread.expected(per));
            spread.observe(value, per);
            (sum, squares) = (sum + value, squares + value * value);
            found |= bet.refuted(0.05);
            let n = f64::from(step);
            fixed_sample |= step > 10 && sum / n > 1.645 * (squares / n / n).sqrt();
        }
        (found, fixed_sample)
    };
    let runs: Vec<(bool, bool)> = (0..400).map(|seed| run(seed, 0.0)).collect();
    let (wrong, fixed_sample) = (runs.iter().filter(|r| r.0).count(), runs.iter().filter(|r| r.1).count());
    assert!(wrong <= 20, "{wrong} of 400 wrong at an error probability of 1 in 20");
    assert!(
        fixed_sample > 100,
        "{fixed_sample} of 400: the comparison with the fixed-sample test shows nothing"
    );
    let found = (0..200).filter(|seed| run(*seed, 0.02).0).count();
    assert!(found >= 190, "{found} of 200");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Reading arbitrary bytes as a journal or a plan terminates, and a written record is read back.
    #[test]
    fn arbitrary_input_is_handled(bytes in proptest::collection::vec(any::<u8>(), 0..400), text in ".{0,200}") {
        let _ = read(&bytes);
        let _ = Plan::from_toml(&text);
        let record = Record::RollbackStarted { reason: text };
        let written = line(7, &record);
        prop_assert_eq!(read(&written), Ok((vec![(7, record)], written.len())));
    }
}
