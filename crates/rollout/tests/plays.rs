//! Rolling changes on the virtual clock: which harms are found, and random walks through small fleets.

use rollout::controller::{ActionOutcome, Controller, HoldReason, Phase};
use rollout::journal::{Action, OperatorOrder, Record};
use rollout::node_report::{NodeReport, OnTrial, PollOutcome};
use rollout::plan::NodeId;
use rollout::simulation::{test_plan, Harm, ServiceModel, Simulation};
use yarrowfront::times::Timestamp;

const SHORT_TIMES: &str =
    "[seconds]\nsettle = 2.0\nwatch = 10.0\nlongest = 400.0\nword = 12.0\nsilent = 4.0\n";

fn simulate(nodes: usize, harm: Harm, seed: u64) -> Simulation {
    Simulation::new(test_plan(nodes, SHORT_TIMES), ServiceModel::default(), harm, seed)
}

/// A harmless change passes all stages. A harm is stopped in its first stage or the next, be it lateness, errors or
/// rejections, in one profile only, or only after a delay. A command that runs twice stops the change at once.
#[test]
fn harms_are_found_and_harmless_changes_pass() {
    let points = |points| Harm { points, ..Harm::default() };
    let cases = [
        ("none", Harm::default(), Phase::Done, 9),
        ("late", points(4.0), Phase::RolledBack, 1),
        ("errors", Harm { as_errors: true, ..points(3.0) }, Phase::RolledBack, 1),
        ("rejected", Harm { as_rejections: true, ..points(3.0) }, Phase::RolledBack, 1),
        ("one profile", Harm { profile: Some(2), ..points(15.0) }, Phase::RolledBack, 1),
        ("after a while", Harm { after_seconds: 60.0, ..points(6.0) }, Phase::RolledBack, 3),
        ("twice", Harm { double_run_rate: 0.001, ..Harm::default() }, Phase::RolledBack, 1),
    ];
    for (name, harm, phase, stage) in cases {
        for seed in 0..4 {
            let end = simulate(12, harm, seed).run(4000);
            assert!(end.phase == phase && end.stage <= stage, "{name}, seed {seed}: {end:?}");
        }
    }
}

/// When all nodes do worse alike the change is not blamed: it holds and continues after the outage.
#[test]
fn outage_at_all_nodes_is_not_blamed_on_the_change() {
    let model = ServiceModel { outage: Some((1_020, 60, 30.0)), ..ServiceModel::default() };
    let mut simulation = Simulation::new(test_plan(12, SHORT_TIMES), model, Harm::default(), 3);
    let mut seconds_on_hold = 0;
    let mut stages_passed = 0;
    while !simulation.controller.is_finished() && simulation.now.0 < 5_000_000_000 {
        simulation.step();
        seconds_on_hold +=
            usize::from(simulation.controller.hold_reason() == Some(&HoldReason::FleetDegraded));
        let is_degraded = (1_030..1_080).contains(&(simulation.now.0 / 1_000_000));
        stages_passed += usize::from(
            is_degraded && simulation.journal.last().is_some_and(|r| matches!(r, Record::Passed { .. })),
        );
    }
    assert_eq!(simulation.controller.phase, Phase::Done, "{:?}", simulation.journal.last());
    assert!(
        seconds_on_hold > 30 && stages_passed == 0,
        "on hold for {seconds_on_hold} s, {stages_passed} stages passed meanwhile"
    );
}

/// Without any commands the change holds and asks an operator. It never passes a stage by itself.
#[test]
fn without_commands_an_operator_decides() {
    let model = ServiceModel { commands_per_s: 0.0, ..ServiceModel::default() };
    let mut simulation = Simulation::new(test_plan(6, SHORT_TIMES), model, Harm::default(), 3);
    while simulation.controller.hold_reason().is_none_or(|hold| !hold.needs_operator()) {
        simulation.step();
        assert!(
            simulation.now.0 < 3_000_000_000 && simulation.controller.stage == 0,
            "it must ask an operator and not pass"
        );
    }
    assert_eq!(simulation.version_counts(), (1, 0, 6));
    (0..300).for_each(|_| simulation.step());
    assert_eq!(
        (simulation.controller.stage, simulation.version_counts()),
        (0, (1, 0, 6)),
        "the trial must be renewed while an operator is asked"
    );
    simulation.controller.order(simulation.now, OperatorOrder::Accept).expect("a stage is watched");
    (0..10).for_each(|_| simulation.step());
    assert_eq!(simulation.controller.stage, 1);
    simulation.controller.order(simulation.now, OperatorOrder::Back).expect("the change advances");
    (0..10).for_each(|_| simulation.step());
    assert_eq!((simulation.controller.phase, simulation.version_counts()), (Phase::RolledBack, (0, 0, 6)));
}

/// A changed node that is gone or has restarted causes a rollback at once. If unchanged nodes are gone too the change holds.
#[test]
fn lost_changed_nodes_cause_a_rollback() {
    let after_first = |simulation: &mut Simulation| {
        while simulation.version_counts().0 == 0 {
            simulation.step();
        }
        (0..3).for_each(|_| simulation.step());
    };
    for with_others in [false, true] {
        let mut simulation = simulate(12, Harm::default(), 1);
        after_first(&mut simulation);
        simulation.kill(0);
        if with_others {
            simulation.kill(5);
            simulation.kill(6);
        }
        (0..5).for_each(|_| simulation.step());
        assert_eq!(
            simulation.controller.phase == Phase::RollingBack,
            !with_others,
            "{:?}",
            simulation.journal.last()
        );
        if with_others {
            assert!(
                matches!(simulation.controller.hold_reason(), Some(HoldReason::Missing(_))),
                "{:?}",
                simulation.controller.hold_reason()
            );
        }
    }
    let mut simulation = simulate(12, Harm::default(), 1);
    after_first(&mut simulation);
    simulation.kill(0);
    simulation.start(0);
    (0..5).for_each(|_| simulation.step());
    assert_eq!(simulation.controller.phase, Phase::RolledBack, "{:?}", simulation.journal.last());
}

/// A node that falls silent right after its change may have the new version, whatever it reported before. Nothing is
/// reverted, confirmed or applied again until it reports its version.
#[test]
fn node_silent_after_its_change_is_not_assumed_unchanged() {
    let report = |settings: &str, trial: bool| {
        let trial = trial.then(|| OnTrial { former: "a".to_owned() });
        let state = "serving".to_owned();
        PollOutcome::Report(Box::new(NodeReport {
            settings_digest: settings.to_owned(),
            trial,
            state,
            ..NodeReport::default()
        }))
    };
    let change = |record: &Record| matches!(record, Record::ActionStarted { node, action: Action::Apply } if node == "n0");
    for outcome in [ActionOutcome::Done, ActionOutcome::Unknown("no answer".to_owned())] {
        let mut controller = Controller::new(test_plan(2, SHORT_TIMES), "a", "b");
        let (at, first) = (|s: u64| Timestamp((1_000 + s) * 1_000_000), NodeId(0));
        controller.observe(at(0), vec![report("a", false), report("a", false)]);
        assert!(controller.next_records(at(0)).iter().any(change));
        controller.action_finished(at(1), first, Action::Apply, outcome);
        controller.observe(at(1), vec![PollOutcome::Silent, report("a", false)]);
        assert!(
            !controller.next_records(at(1)).iter().any(change),
            "the node may already have the new version"
        );
        controller.order(at(1), OperatorOrder::Back).expect("the change advances");
        controller.observe(at(2), vec![PollOutcome::Silent, report("a", false)]);
        controller.next_records(at(2));
        assert_eq!(controller.phase, Phase::RollingBack);
        controller.observe(at(3), vec![report("b", true), report("a", false)]);
        let back = Record::ActionStarted { node: "n0".to_owned(), action: Action::RevertTrial };
        assert!(controller.next_records(at(3)).contains(&back));
        controller.action_finished(at(4), first, Action::RevertTrial, ActionOutcome::Done);
        controller.observe(at(4), vec![report("a", false), report("a", false)]);
        controller.next_records(at(4));
        assert_eq!(controller.phase, Phase::RolledBack);
    }
}

/// A fault put into the controller that the random walks below have to find.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Missing nodes are not counted against the disruption budget.
    TooManyUnavailable,
    /// The next controller does not read in the journal that the change is being rolled back.
    ForgetsRollback,
    /// Trials are not renewed.
    NoRenewal,
    /// Nodes are confirmed before all stages have passed.
    EarlyConfirm,
    /// Nodes that do not answer are taken to have the new version.
    SilentIsNew,
}

/// One random walk through a small fleet: nodes die, start and fall silent, the controller is replaced, and operators give
/// orders. Then all faults end, and all nodes have to reach one version. Returns the first broken invariant, if any.
fn random_walk(nodes: usize, seed: u64, fault: Fault) -> Option<String> {
    let model =
        ServiceModel { commands_per_s: 60.0, second_noise: 0.2, node_noise: 0.2, ..ServiceModel::default() };
    let harm =
        if seed.is_multiple_of(3) { Harm { points: 30.0, ..Harm::default() } } else { Harm::default() };
    let quick = "most_out = 2\nstages = [\"1 node\", \"100%\"]\n[seconds]\nsettle = 0.0\nwatch = 2.0\nlongest = 60.0\n\
        word = 8.0\nsilent = 2.0\n[margins]\npayoff = 0.1\nprofile = 0.2\nturned_back = 0.1\nerrored = 0.1\nslow = 0.5\n\
        [odds]\npass = 0.3\n";
    let mut simulation = Simulation::new(test_plan(nodes, quick), model, harm, seed);
    let mut down = Vec::new();
    let mut confirming = false;
    for step in 0..160 {
        if step < 100 {
            let node = simulation.random_below(nodes as u32) as usize;
            match simulation.random_below(24) {
                0 if down.len() + 1 < nodes && !down.contains(&node) => {
                    simulation.kill(node);
                    down.push(node);
                }
                1 | 2 => {
                    if let Some(node) = down.pop() {
                        simulation.start(node);
                    }
                }
                3 => {
                    let seconds = 1 + u64::from(simulation.random_below(14));
                    simulation.silence(node, seconds);
                }
                4 => {
                    simulation.replace_controller();
                    if fault == Fault::ForgetsRollback && simulation.controller.phase == Phase::RollingBack {
                        simulation.controller.phase = Phase::Advancing;
                    }
                }
                5 => drop(simulation.controller.order(simulation.now, OperatorOrder::Pause)),
                6 | 7 => drop(simulation.controller.order(simulation.now, OperatorOrder::Resume)),
                8 if seed.is_multiple_of(5) => {
                    drop(simulation.controller.order(simulation.now, OperatorOrder::Back))
                }
                _ => {}
            }
        } else if let Some(node) = down.pop() {
            simulation.start(node);
        }
        if fault == Fault::TooManyUnavailable {
            simulation.controller.plan.max_unavailable = nodes;
        }
        if fault == Fault::NoRenewal {
            simulation.controller.plan.timing.trial_lease.0 = u64::MAX / 4;
        }
        if fault == Fault::EarlyConfirm && step == 20 && simulation.controller.phase == Phase::Advancing {
            simulation.controller.phase = Phase::Confirming;
        }
        let before = simulation.journal.len();
        let unavailable = simulation.down_count();
        simulation.step_assuming_silent_is_new(fault == Fault::SilentIsNew);
        let new = &simulation.journal[before..];
        let changes = new
            .iter()
            .filter(|r| matches!(r, Record::ActionStarted { action: rollout::journal::Action::Apply, .. }))
            .count();
        if changes > 0 && unavailable + changes > 2 {
            return Some(format!("step {step}: {unavailable} nodes unavailable and {changes} more changed"));
        }
        confirming |= new.contains(&Record::Confirming);
        if !confirming && simulation.version_counts().1 > 0 {
            return Some(format!("step {step}: confirmed before all stages have passed"));
        }
        let rollback = simulation.journal.iter().position(|r| matches!(r, Record::RollbackStarted { .. }));
        let passed_again =
            |at: usize| simulation.journal[at..].iter().any(|r| matches!(r, Record::Passed { .. }));
        if rollback.is_some_and(passed_again) {
            return Some(format!("step {step}: a stage passed after the rollback began"));
        }
        if simulation.lapsed_trials > 0 {
            return Some(format!("step {step}: a trial was not renewed"));
        }
        let oldest_trial = simulation.oldest_trial();
        if step >= 130
            && oldest_trial.is_some_and(|seconds| seconds > 20)
            && simulation.controller.phase == Phase::RollingBack
        {
            return Some(format!("step {step}: still on trial long after the rollback began"));
        }
    }
    let _ = simulation.controller.order(simulation.now, OperatorOrder::Resume);
    for _ in 0..400 {
        let asks = simulation.controller.hold_reason().is_some_and(|hold| hold.needs_operator());
        if asks && simulation.controller.order(simulation.now, OperatorOrder::Accept).is_err() {
            let _ = simulation.controller.order(simulation.now, OperatorOrder::Resume);
        }
        simulation.step();
    }
    let (new, confirmed, up) = simulation.version_counts();
    match simulation.controller.phase {
        Phase::Done if (new, confirmed) == (up, up) => None,
        Phase::RolledBack if new == 0 => None,
        phase => Some(format!("at the end {phase:?} with {new} new, {confirmed} confirmed, of {up}")),
    }
}

/// From every state all nodes reach one version once the faults end. Never more nodes are unavailable than configured, no
/// node is confirmed before all stages have passed, and a rollback never turns into an advance.
#[test]
fn random_walks_reach_one_version() {
    for nodes in 2..=4 {
        for seed in 0..150 {
            assert_eq!(random_walk(nodes, seed, Fault::None), None, "{nodes} nodes, seed {seed}");
        }
    }
}

/// Each fault put into the controller is found by some walk, which shows that the invariants are checked.
#[test]
fn seeded_faults_are_found() {
    use Fault::*;
    for fault in [TooManyUnavailable, ForgetsRollback, NoRenewal, EarlyConfirm, SilentIsNew] {
        let found = (0..400).find_map(|seed| random_walk(3, seed, fault));
        assert!(found.is_some(), "{fault:?} is not found");
        println!("{fault:?}: {}", found.unwrap_or_default());
    }
}
