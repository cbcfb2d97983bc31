//! The four rules of the balancer, and each failure that was found, as tables of cases.

mod help;

use help::{Bench, GOAL_MS};
use serde_json::{json, Value};
use yarrowfront::command::Command;
use yarrowfront::command::Outcome::{self, *};
use yarrowfront::decide::{Action, BackendState, Decision, ListUpdateKind};
use yarrowfront::ids::{BackendId, CommandHandle};
use yarrowfront::settings::Settings;
use yarrowfront::times::Micros;

/// Rule 2: what may follow a launch, by the profile's idempotency and the outcome. Backends 1 and 2 are of one group,
/// backend 3 of another.
#[test]
fn outcome_and_idempotency_decide_between_relaunch_rejection_and_failure() {
    #[derive(Debug, PartialEq)]
    enum Then {
        Anywhere,
        SameGroup,
        Rejected,
        Failed,
    }
    use Then::*;
    // In the last cases a backend that refuses as full may have begun, as in the Kozhikode deployment's sites 0.1 s
    // into each day.
    let cases: &[(&str, &str, Outcome, u64, Then)] = &[
        ("repeatable", "all", Errored, 10, Anywhere),
        ("repeatable", "all", TimedOut, GOAL_MS + 1, Rejected),
        ("by_key", "all", Errored, 10, Anywhere),
        ("by_key", "all", Errored, GOAL_MS + 1, Rejected),
        ("by_key", "cell", ConnectionLost, 10, SameGroup),
        ("by_key", "cell", Errored, 61, Failed),
        ("by_key", "cell", Full, 61, Anywhere),
        ("by_key", "cell", ConnectFailed, GOAL_MS + 1, Rejected),
        ("once", "all", Errored, 10, Failed),
        ("once", "all", TimedOut, 400, Failed),
        ("once", "all", Full, 10, Anywhere),
        ("once", "all", ConnectFailed, GOAL_MS + 1, Rejected),
        ("once", "all", NotSent, GOAL_MS + 1, Rejected),
        ("repeatable", "all", Full, 10, Anywhere),
        ("by_key", "cell", Full, 10, SameGroup),
        ("by_key", "cell", Full, 61, Failed),
        ("by_key", "all", Full, GOAL_MS + 1, Rejected),
        ("once", "all", Full, 10, Failed),
        ("once", "all", ConnectFailed, 10, Anywhere),
    ];
    for (n, (idempotency, group, outcome, after_ms, expected)) in cases.iter().enumerate() {
        let mut results = Vec::new();
        for seed in 0..24 {
            // The dedup window is 60 ms.
            let mut bench = Bench::with_settings(seed, |json| {
                json["profiles"][0]["idempotency"] = (*idempotency).into();
                json["profiles"][0]["group"] = (*group).into();
                json["guarantees"]["mayShedBegun"] = (n >= 13).into();
            });
            bench.list_backends(&[(1, 1), (2, 1), (3, 2)]);
            let mut command = bench.command(0);
            let Decision::Launch(first) = bench.decide(&mut command) else {
                panic!("not launched: {idempotency}")
            };
            bench.advance(*after_ms);
            results.push((first.0, bench.on_outcome(&mut command, 0, *outcome)));
        }
        let launch_count =
            results.iter().filter(|(_, decision)| matches!(decision, Decision::Launch(_))).count();
        let group_of = |backend: u32| backend / 3;
        let outside_group = results.iter().filter(
            |(first, decision)| matches!(decision, Decision::Launch(backend) if group_of(backend.0) != group_of(*first)),
        );
        let outside_group = outside_group.count();
        match expected {
            Anywhere => assert!(
                launch_count == results.len() && outside_group > 0,
                "{idempotency} {outcome:?}: {results:?}"
            ),
            SameGroup => {
                assert!(launch_count > 0 && outside_group == 0, "{idempotency} {outcome:?}: {results:?}")
            }
            Rejected => assert!(
                results.iter().all(|(_, s)| matches!(s, Decision::Reject(_))),
                "{idempotency} {outcome:?}: {results:?}"
            ),
            Failed => {
                assert!(
                    results.iter().all(|(_, s)| *s == Decision::Fail),
                    "{idempotency} {outcome:?}: {results:?}"
                )
            }
        }
    }
}

/// Rule 3, with lists that drop a backend, return it or never name one.
#[test]
fn only_ready_backends_get_launches() {
    type Lines = &'static [(u32, BackendState, u64)];
    let cases: &[(Lines, bool)] = &[
        (&[], false),
        (&[(1, BackendState::Draining, 0)], false),
        (&[(1, BackendState::Gone, 0)], false),
        (&[(1, BackendState::Ready, 0)], true),
        (&[(1, BackendState::Draining, 0), (1, BackendState::Ready, 900_000)], true),
        (&[(1, BackendState::Ready, 0), (1, BackendState::Gone, 0)], false),
    ];
    for (entries, is_launched) in cases {
        let mut bench = Bench::new(1);
        for entry in *entries {
            bench.apply_entry(ListUpdateKind::Delta, *entry);
        }
        let mut command = bench.command(0);
        let decision = bench.decide(&mut command);
        assert_eq!(matches!(decision, Decision::Launch(_)), *is_launched, "{entries:?}");
        assert!(
            *is_launched || matches!(decision, Decision::Reject(_)),
            "without a ready backend it is rejected at once: {entries:?}"
        );
    }
}

/// Rule 3: an update that has not arrived binds the node once the drain grace is over, less the longest delay before
/// a write. From then on new commands wait for discovery's answer, and a launch that still waits for its connection
/// is not written.
#[test]
fn nothing_is_launched_by_an_expired_list() {
    let cases = [
        ("ask", 500, 849, true),
        ("ask", 500, 850, false),
        ("ask", 100, 500, false),
        ("push", 500, 900, true),
    ];
    for (discovery, grace_ms, after_ms, is_launched) in cases {
        let case = format!("{discovery}, {grace_ms}, {after_ms}");
        let mut bench = Bench::with_settings(1, |json| {
            json["discovery"] = discovery.into();
            json["guarantees"]["drainGrace"] = (grace_ms * 1_000_000).into();
        });
        bench.list_backends(&[(1, 1), (2, 1)]);
        let mut pending = bench.command(0);
        assert!(matches!(bench.decide(&mut pending), Decision::Launch(_)), "{case}");
        bench.node.set_list_expiry(Some(bench.now + Micros::from_millis(500)));
        bench.advance(after_ms);
        let mut command = bench.command(0);
        pending.deadline = command.deadline;
        assert_eq!(bench.node.launch_valid_until(&pending, 0) > bench.now, is_launched, "{case}");
        assert_eq!(matches!(bench.decide(&mut command), Decision::Launch(_)), is_launched, "{case}");
        if is_launched {
            continue;
        }
        assert!(!command.is_closed, "{case}: queued until discovery answers");
        bench.node.set_list_expiry(None);
        assert!(bench.actions().iter().any(|action| matches!(action, Action::Reevaluate(_))), "{case}");
        assert!(matches!(bench.decide(&mut command), Decision::Launch(_)), "{case}");
    }
}

/// Settings of a profile like the first, with a goal time of its own.
fn profile_with_goal(settings: &Value, goal_ms: u64) -> Value {
    let mut profile = settings["profiles"][0].clone();
    profile["goalTime"] = (goal_ms * 1_000_000).into();
    profile["timeLimit"] = (goal_ms * 2_000_000).into();
    profile
}

/// Sends commands of a profile one after another to idle backends, each answered after `answer_ms`. Returns how many
/// were not launched.
fn count_not_launched(bench: &mut Bench, profile: u16, count: usize, answer_ms: u64) -> usize {
    let mut rejected = 0;
    for _ in 0..count {
        let mut command = bench.command(profile);
        command.deadline = command.arrived_at + Micros::from_millis(8000);
        if matches!(bench.decide(&mut command), Decision::Launch(_)) {
            bench.finish(&mut command, answer_ms);
        } else {
            bench.node.on_client_gone(&mut command);
            bench.advance(1);
            rejected += 1;
        }
    }
    rejected
}

/// Sends this many commands of the first profile at once, each answered after `answer_ms`.
fn keep_all_busy(bench: &mut Bench, commands: usize, answer_ms: u64) {
    let mut in_flight: Vec<_> = (0..commands).map(|_| bench.command(0)).collect();
    for command in &mut in_flight {
        command.deadline = command.arrived_at + Micros::from_millis(8000);
        assert!(matches!(bench.decide(command), Decision::Launch(_)));
    }
    bench.advance(answer_ms);
    in_flight.iter_mut().for_each(|command| bench.finish(command, 0));
}

/// The work of a profile without answers was assumed to be a tenth of the longest goal time of all profiles, at the
/// speed learned from other profiles. Idle backends therefore refused it until the node had launched nothing for a
/// second.
#[test]
fn a_profile_without_answers_is_tried_on_an_idle_backend() {
    for (long_goal_ms, short_goal_ms, known_answer_ms, node_count) in [
        (4000, 200, 100, 1),
        (4000, 200, 100, 300),
        (4000, 4000, 100, 1),
        (4000, 200, 600, 1),
        (1000, 50, 20, 2),
    ] {
        let case = format!("{long_goal_ms}, {short_goal_ms}, {known_answer_ms}, {node_count}");
        let settings = |json: &mut Value| {
            json["balancers"] = node_count.into();
            json["profiles"] =
                json!([profile_with_goal(json, long_goal_ms), profile_with_goal(json, short_goal_ms)]);
        };
        let mut bench = Bench::with_settings(3, settings);
        bench.list_backends(&[(1, 1), (2, 1), (3, 1), (4, 1), (5, 1), (6, 1)]);
        (0..10).for_each(|_| keep_all_busy(&mut bench, 6, known_answer_ms));
        assert_eq!(count_not_launched(&mut bench, 1, 60, short_goal_ms / 20), 0, "{case}");
        let mut new_settings = help::terms();
        settings(&mut new_settings);
        let third = profile_with_goal(&new_settings, short_goal_ms);
        new_settings["profiles"].as_array_mut().expect("profiles").push(third);
        bench.node.replace_settings(
            Settings::from_json(new_settings.to_string().as_bytes()).expect("good settings"),
        );
        keep_all_busy(&mut bench, 6, known_answer_ms);
        assert_eq!(
            count_not_launched(&mut bench, 2, 60, short_goal_ms / 20),
            0,
            "{case}, new in the settings"
        );
    }
}

/// A command of a profile without answers was rejected at once if all backends were busy for a moment and its client
/// had less time left than the assumed work.
#[test]
fn a_profile_without_answers_waits_for_a_backend() {
    let mut bench = Bench::with_settings(3, |json| {
        json["profiles"] = json!([profile_with_goal(json, 4000), profile_with_goal(json, 4000)])
    });
    bench.list_backends(&[(1, 1), (2, 1)]);
    (0..10).for_each(|_| keep_all_busy(&mut bench, 2, 10));
    let mut in_flight = [bench.command(0), bench.command(0)];
    in_flight.iter_mut().for_each(|command| assert!(matches!(bench.decide(command), Decision::Launch(_))));
    let mut command = bench.command(1);
    command.deadline = command.arrived_at + Micros::from_millis(300);
    assert_eq!(bench.decide(&mut command), Decision::Wait);
    bench.finish(&mut in_flight[0], 10);
    assert!(matches!(bench.decide(&mut command), Decision::Launch(_)));
}

/// A profile whose first answers took longer than its goal time was rejected forever: while other profiles were
/// launched nothing more was learned of it. It is tried again within its goal time at an idle backend.
#[test]
fn a_profile_that_was_slow_once_is_tried_again() {
    let mut bench = Bench::with_settings(3, |json| {
        json["profiles"] = json!([profile_with_goal(json, 4000), profile_with_goal(json, 200)])
    });
    bench.list_backends(&[(1, 1), (2, 1), (3, 1), (4, 1)]);
    (0..10).for_each(|_| keep_all_busy(&mut bench, 4, 10));
    for _ in 0..60 {
        count_not_launched(&mut bench, 1, 1, 900);
        bench.advance(1100);
    }
    let (mut rejected_since, mut rejected) = (None, 0);
    for _ in 0..400 {
        keep_all_busy(&mut bench, 4, 10);
        let started_at = bench.now;
        if count_not_launched(&mut bench, 1, 1, 10) == 0 {
            rejected_since = None;
            continue;
        }
        rejected += 1;
        let since = *rejected_since.get_or_insert(started_at);
        assert!(
            bench.now.since(since) <= Micros::from_millis(200 + 20),
            "rejected for {:?}",
            bench.now.since(since)
        );
    }
    assert!(rejected < 100, "{rejected} of 400 rejected");
}

/// A command queued for a second launch stayed in the queue after its first launch was answered: each free backend
/// was offered to it, and no command queued behind it was woken again.
#[test]
fn an_answer_removes_a_command_from_the_queue() {
    let mut bench = Bench::with_settings(1, |json| json["profiles"] = json!([profile_with_goal(json, 4000)]));
    bench.learn_mean_work();
    bench.list_backends(&[(1, 1), (2, 1)]);
    let decide = |bench: &mut Bench| {
        let mut command = bench.command(0);
        command.deadline = command.arrived_at + Micros::from_millis(8000);
        (bench.decide(&mut command), command)
    };
    let (decision, mut first) = decide(&mut bench);
    assert!(matches!(decision, Decision::Launch(_)));
    bench.advance(480);
    assert!(matches!(decide(&mut bench).0, Decision::Launch(_)));
    while !first.launches().any(|launch| launch.is_lost) {
        bench.advance(5);
        assert_eq!(bench.decide(&mut first), Decision::Wait, "the other backend is busy");
    }
    let (decision, behind) = decide(&mut bench);
    assert_eq!(decision, Decision::Wait, "both backends are busy");
    bench.actions();
    first.is_closed = true;
    bench.on_outcome(&mut first, 0, Finished);
    assert!(bench.actions().contains(&Action::Reevaluate(CommandHandle(behind.id.0))));
}

/// Rule 4: a backend at a fifth of its capacity, which four nodes use.
#[test]
fn a_cold_backend_gets_this_nodes_share_of_its_budget() {
    for (started_at, min, max) in [(0, 60, 1000), (990_000, 1, 8)] {
        let mut bench = Bench::new(1);
        bench.learn_mean_work();
        bench.apply_entry(ListUpdateKind::Snapshot, (7, BackendState::Ready, started_at));
        let mut launched = 0;
        for _ in 0..1000 {
            let mut command = bench.command(0);
            if matches!(bench.decide(&mut command), Decision::Launch(_)) {
                launched += 1;
                bench.on_outcome(&mut command, 0, Full);
            }
            bench.advance(1);
        }
        assert!((min..=max).contains(&launched), "started at {started_at}: {launched} launched in a second");
    }
}

/// Rule 4, and its price: a cold backend that finishes its work gets as much again. Limited to the stated budget
/// alone, six in ten backends of a fleet just replaced were idle while clients were rejected. A backend that does not
/// answer, or fails, gets no more than the budget.
#[test]
fn finished_work_does_not_count_against_a_cold_backend() {
    for (outcome, min, max) in [(Finished, 16, 20), (Errored, 1, 8), (TimedOut, 1, 8), (Full, 1, 8)] {
        let mut bench = Bench::new(1);
        bench.learn_mean_work();
        bench.apply_entry(ListUpdateKind::Snapshot, (7, BackendState::Ready, 990_000));
        let mut launch_count = 0;
        for _ in 0..20 {
            let mut command = bench.command(0);
            let is_launched = matches!(bench.decide(&mut command), Decision::Launch(_));
            bench.advance(50);
            if is_launched {
                launch_count += 1;
                command.is_closed = true;
                bench.on_outcome(&mut command, 0, outcome);
            }
        }
        assert!((min..=max).contains(&launch_count), "{outcome:?}: {launch_count} launched in a second");
    }
}

/// Rule 1: a queued command is answered when its latest start has passed, and a launch at the time limit too.
#[test]
fn a_queued_command_is_answered_in_time() {
    let mut bench = Bench::new(1);
    bench.learn_mean_work();
    bench.apply_entry(ListUpdateKind::Snapshot, (1, BackendState::Ready, 0));
    let mut in_flight = bench.command(0);
    assert!(matches!(bench.decide(&mut in_flight), Decision::Launch(_)));
    let mut queued = bench.command(0);
    assert_eq!(bench.decide(&mut queued), Decision::Wait);
    let wait = bench.node.wakeup_delay(bench.now, Some(&queued)).expect("a queued command has a timer");
    assert!(wait < Micros::from_millis(GOAL_MS));
    bench.now = bench.now + wait;
    assert!(matches!(bench.decide(&mut queued), Decision::Reject(_)));
    assert_eq!(bench.node.wakeup_delay(bench.now, Some(&queued)), None);
    assert_eq!(bench.decide(&mut queued), Decision::Wait, "the command is closed");
    bench.advance(GOAL_MS);
    assert!(matches!(bench.on_outcome(&mut in_flight, 0, TimedOut), Decision::Reject(_)));
    assert_eq!(bench.on_outcome(&mut in_flight, 0, TimedOut), Decision::Wait, "a repeated outcome");
}

/// Only an answer that leaves no own launch at the backend creates an idle token. The next first launch goes there,
/// except for the exploring tenth.
#[test]
fn only_answers_create_idle_tokens() {
    for (outcome, has_token) in [(Finished, true), (Errored, false), (Full, false), (TimedOut, false)] {
        let mut hits = 0;
        for seed in 0..40 {
            let mut bench = Bench::new(seed);
            bench.list_backends(&[(1, 1), (2, 1), (3, 1), (4, 1), (5, 1), (6, 1)]);
            let mut command = bench.command(0);
            let Decision::Launch(first) = bench.decide(&mut command) else { panic!("not launched") };
            bench.advance(30);
            command.is_closed = outcome == Finished;
            bench.on_outcome(&mut command, 0, outcome);
            let mut next = bench.command(0);
            let again = bench.decide(&mut next);
            hits += u32::from(again == Decision::Launch(first));
        }
        assert_eq!(hits > 20, has_token, "{outcome:?}: {hits} of 40 went to the same backend");
    }
}

/// A command that cannot be launched twice must not explore (peak days of the Santiago deployment).
#[test]
fn once_only_commands_do_not_explore() {
    for (idempotency, explores) in [("repeatable", true), ("once", false)] {
        let mut bench =
            Bench::with_settings(7, |json| json["profiles"][0]["idempotency"] = idempotency.into());
        bench.list_backends(&[(1, 1), (2, 1), (3, 1), (4, 1), (5, 1), (6, 1)]);
        let mut backends = Vec::new();
        for _ in 0..100 {
            let mut command = bench.command(0);
            let Decision::Launch(backend) = bench.decide(&mut command) else {
                panic!("not launched: {idempotency}")
            };
            backends.push(backend);
            bench.finish(&mut command, 30);
        }
        assert_eq!(backends.iter().any(|b| *b != backends[0]), explores, "{idempotency}: {backends:?}");
    }
}

/// A backend that answers every launch with an immediate error has few in flight, and must not attract work for that.
#[test]
fn a_backend_that_fails_fast_gets_a_trickle() {
    let mut bench = Bench::new(3);
    bench.list_backends(&[(1, 1), (2, 1), (3, 1), (4, 1)]);
    let mut to_failing = 0;
    for _ in 0..400 {
        let mut command = bench.command(0);
        let Decision::Launch(backend) = bench.decide(&mut command) else { continue };
        bench.advance(10);
        let is_failing = backend.0 == 4;
        to_failing += u32::from(is_failing);
        command.is_closed = !is_failing;
        bench.on_outcome(&mut command, 0, if is_failing { Errored } else { Finished });
    }
    assert!((1..40).contains(&to_failing), "{to_failing} of 400");
    // It is never forgotten entirely: once it works again it is used.
    let mut found = 0;
    for _ in 0..2000 {
        let mut command = bench.command(0);
        let Decision::Launch(backend) = bench.decide(&mut command) else { continue };
        bench.finish(&mut command, 10);
        found += u32::from(backend.0 == 4);
    }
    assert!(found > 100, "{found} of 2000");
}

/// Clients that leave within a usual answer time are not the backend's fault (incident i42001f).
#[test]
fn clients_that_leave_early_are_no_evidence_against_a_backend() {
    for (after_ms, stays_trusted) in [(20, true), (300, false)] {
        let mut bench = Bench::with_settings(5, |json| json["profiles"][0]["idempotency"] = "once".into());
        bench.learn_mean_work();
        bench.apply_entry(ListUpdateKind::Snapshot, (1, BackendState::Ready, 0));
        bench.apply_entry(ListUpdateKind::Delta, (2, BackendState::Ready, 0));
        let mut command = bench.command(0);
        let Decision::Launch(blamed) = bench.decide(&mut command) else { panic!("not launched") };
        let mut other = bench.command(0);
        assert!(matches!(bench.decide(&mut other), Decision::Launch(_)));
        bench.advance(after_ms);
        bench.on_outcome(&mut command, 0, TimedOut);
        bench.advance(100);
        let mut next = bench.command(0);
        assert_eq!(
            bench.decide(&mut next) == Decision::Launch(blamed),
            stays_trusted,
            "time-out after {after_ms} ms"
        );
    }
}

/// A hint that says nothing about the work must not get a command rejected (first incident of the Perth deployment).
#[test]
fn meaningless_hints_do_not_get_commands_rejected() {
    let mut bench = Bench::new(2);
    bench.list_backends(&[(1, 1)]);
    for n in 0..200u64 {
        let mut command = bench.command(0);
        command.work_hint = Some(Micros::from_millis(10 + 400 * (n % 2)));
        assert!(matches!(bench.decide(&mut command), Decision::Launch(_)), "command {n}");
        bench.finish(&mut command, 30);
    }
}

/// With many nodes, having no own launch in flight does not make a slow backend fast (incidents id15363 and ic6bf4d).
#[test]
fn many_nodes_do_not_overload_a_slow_backend() {
    for (node_count, is_launched) in [(1, true), (12, false)] {
        let mut bench = Bench::with_settings(4, |json| json["balancers"] = node_count.into());
        bench.apply_entry(ListUpdateKind::Snapshot, (1, BackendState::Ready, 0));
        for n in 0..20 {
            let mut command = bench.command(0);
            let decision = bench.decide(&mut command);
            assert!(n > 0 || matches!(decision, Decision::Launch(_)), "an unknown backend is tried");
            assert!(
                n < 5 || matches!(decision, Decision::Launch(_)) == is_launched,
                "{node_count} nodes: {decision:?}"
            );
            if matches!(decision, Decision::Launch(_)) {
                bench.finish(&mut command, GOAL_MS - 15);
            }
        }
    }
}

/// The node calls for the list at the start and again after each failure, with growing intervals that stay within the
/// request interval.
#[test]
fn a_failed_list_call_is_retried() {
    let mut bench = Bench::new(1);
    let mut longest = Micros(0);
    for round in 0..8 {
        let wait = bench.node.wakeup_delay(bench.now, None).expect("a call is due");
        assert!(wait <= Micros::from_millis(4000), "round {round}: {wait:?}");
        bench.now = bench.now + wait;
        assert_eq!(bench.actions(), [Action::RequestList], "round {round}");
        bench.node.apply_list(bench.now, ListUpdateKind::Failed, std::iter::empty());
        longest = longest.max(wait);
    }
    assert!(longest > Micros::from_millis(1000));
    bench.apply_entry(ListUpdateKind::Snapshot, (1, BackendState::Ready, 0));
    assert_eq!(bench.node.wakeup_delay(bench.now, None), None, "subscribed");
}

/// An update missed by a silent watch counts as known six seconds after the watch's last line. Three seconds pass
/// until the silence is noticed, and the call takes time too. An agent's pushed list counts as known at once, so
/// there is no backoff. In either case hundreds of nodes are no slower than one.
#[test]
fn a_silent_watch_is_replaced_in_time() {
    for (discovery, update, max_ms) in [
        ("ask", ListUpdateKind::Silent, 2000),
        ("push", ListUpdateKind::Silent, 100),
        ("push", ListUpdateKind::Failed, 100),
    ] {
        for node_count in [1, 2, 30, 300, 3000] {
            for seed in 0..50 {
                let mut bench = Bench::with_settings(seed, |json| {
                    (json["discovery"], json["balancers"]) = (discovery.into(), node_count.into());
                });
                bench.apply_entry(ListUpdateKind::Snapshot, (1, BackendState::Ready, 0));
                for round in 0..if discovery == "push" { 8 } else { 1 } {
                    bench.node.apply_list(bench.now, update, std::iter::empty());
                    let wait = bench.node.wakeup_delay(bench.now, None).expect("a call is due");
                    assert!(
                        wait <= Micros::from_millis(max_ms),
                        "{discovery}, {node_count} nodes, round {round}: {wait:?}"
                    );
                }
            }
        }
    }
}

#[test]
fn errors_in_settings_name_the_key() {
    let cases: &[(&str, &str)] = &[
        ("/limits/mostLaunches", "limits.mostLaunches"),
        ("/profiles/0/goalTime", "profiles[0].goalTime"),
        ("/guarantees/startCapacity", "guarantees.startCapacity"),
        ("/discovery", "discovery"),
    ];
    for (at, expected) in cases {
        for invalid in [serde_json::Value::Null, "x".into(), (-1.0).into()] {
            let mut json = help::terms();
            *json.pointer_mut(at).expect("the key exists") = invalid.clone();
            let error = Settings::from_json(json.to_string().as_bytes()).expect_err("invalid settings");
            assert!(error.contains(expected), "{at} = {invalid}: {error}");
        }
    }
    assert!(Settings::from_json(b"{").expect_err("not JSON").contains("JSON"));
    // Optional keys are checked where present, and a retry budget must be complete.
    let cases: &[(&str, &str, serde_json::Value)] = &[
        (
            "/guarantees",
            "guarantees.repeatRatio is missing",
            json!({"spareAttempts": 3, "extraWindow": 1000}),
        ),
        (
            "/guarantees",
            "extraWindow must be greater than zero",
            json!({"spareAttempts": 3, "repeatRatio": 0, "extraWindow": 0}),
        ),
        (
            "/guarantees",
            "guarantees.spareAttempts is out",
            json!({"spareAttempts": -1, "repeatRatio": 0, "extraWindow": 1000000}),
        ),
        ("/guarantees", "guarantees.mayShedBegun is not true", json!({"mayShedBegun": 1})),
        ("/guarantees", "guarantees.removalNotBinding is not true", json!({"removalNotBinding": "no"})),
        ("/goal", "goal.logLossPart is not a number", json!({"logLossPart": "much"})),
        ("/goal", "goal.topNines is out of its range", json!({"topNines": 0})),
    ];
    for (at, expected, keys) in cases {
        let mut json = help::terms();
        json["goal"] = json!({});
        let table = json.pointer_mut(at).and_then(|value| value.as_object_mut()).expect("a table");
        table.extend(keys.as_object().expect("keys").clone());
        let error = Settings::from_json(json.to_string().as_bytes()).expect_err("invalid settings");
        assert!(error.contains(expected), "{keys}: {error}");
    }
}

/// An answer is lost on a connection that stays open. Unless the launch is declared lost it occupies its backend's
/// only place, and its command waits until the time limit. A command that may not run twice is not launched again,
/// but the place is freed all the same.
#[test]
fn a_lost_launch_frees_its_place_and_its_command() {
    for (idempotency, concurrent, relaunched) in [
        ("repeatable", true, true),
        ("by_key", true, true),
        ("once", true, false),
        ("repeatable", false, false),
    ] {
        let mut bench = Bench::with_settings(1, |json| {
            json["profiles"][0]["idempotency"] = idempotency.into();
            json["profiles"][0]["memorySpan"] = 10_000_000_000u64.into();
            json["limits"]["secondCopies"] = concurrent.into();
        });
        bench.list_backends(&[(1, 1), (2, 1)]);
        for _ in 0..40 {
            let mut command = bench.command(0);
            assert!(matches!(bench.decide(&mut command), Decision::Launch(_)));
            bench.finish(&mut command, 4);
        }
        let mut command = bench.command(0);
        let Decision::Launch(first) = bench.decide(&mut command) else {
            panic!("{idempotency}: not launched")
        };
        let lost = bench.node.wakeup_delay(bench.now, Some(&command)).expect("a timer");
        assert!(
            lost > Micros::from_millis(8) && lost < Micros::from_millis(GOAL_MS),
            "{idempotency}: {lost:?}"
        );
        bench.advance(lost.0 / 1000 + 1);
        let decision = bench.decide(&mut command);
        assert_eq!(
            matches!(decision, Decision::Launch(b) if b != first),
            relaunched,
            "{idempotency}, concurrent {concurrent}: {decision:?}"
        );
        let stays = if concurrent { Decision::Wait } else { Decision::CancelLaunch(0) };
        assert!(relaunched || decision == stays, "{idempotency}, concurrent {concurrent}: {decision:?}");
        // The place is free for further commands; the other backend may be occupied by then.
        let mut others = [(); 6].map(|()| bench.command(0));
        let is_free = (0..240).any(|n| bench.decide(&mut others[n / 40]) == Decision::Launch(first));
        assert_eq!(is_free, idempotency != "once", "{idempotency}, concurrent {concurrent}");
        // If the lost launch is answered after all, that counts once and nothing follows.
        command.is_closed = true;
        assert_eq!(bench.on_outcome(&mut command, 0, Finished), Decision::Wait);
    }
}

/// A launch that waited for its connection is written only if that is still valid then, whatever has changed since
/// the decision.
#[test]
fn a_delayed_launch_is_written_only_while_valid() {
    type Meanwhile = fn(&mut Bench, &mut Command);
    let settings = |idempotency: &'static str| {
        move |json: &mut serde_json::Value| {
            json["profiles"][0]["idempotency"] = idempotency.into();
            json["profiles"][0]["memorySpan"] = 60_000_000.into();
        }
    };
    let cases: [(&str, &str, bool, Meanwhile); 9] = [
        ("nothing changes", "once", true, |_, _| {}),
        ("some time passes", "by_key", true, |bench, _| bench.advance(400)),
        ("its time passes", "repeatable", false, |bench, _| bench.advance(500)),
        ("it drains", "repeatable", false, |bench, _| {
            bench.apply_entry(ListUpdateKind::Delta, (1, BackendState::Draining, 0))
        }),
        ("it is gone", "repeatable", false, |bench, _| {
            bench.apply_entry(ListUpdateKind::Snapshot, (2, BackendState::Ready, 0))
        }),
        ("in maintenance", "repeatable", false, |bench, _| {
            bench.node.set_maintenance(bench.now, BackendId(1), true)
        }),
        ("another backend drains", "once", true, |bench, _| {
            bench.apply_entry(ListUpdateKind::Delta, (2, BackendState::Draining, 0));
        }),
        ("it is listed again", "once", true, |bench, _| {
            bench.apply_entry(ListUpdateKind::Delta, (1, BackendState::Ready, 5))
        }),
        ("its body is incomplete", "once", true, |bench, command| {
            command.is_body_incomplete = true;
            bench.advance(500);
        }),
    ];
    for (what, idempotency, is_valid, meanwhile) in cases {
        let mut bench = Bench::with_settings(1, settings(idempotency));
        bench.apply_entry(ListUpdateKind::Snapshot, (1, BackendState::Ready, 0));
        let mut command = bench.command(0);
        assert_eq!(bench.decide(&mut command), Decision::Launch(BackendId(1)), "{what}");
        bench.apply_entry(ListUpdateKind::Delta, (2, BackendState::Ready, 0));
        meanwhile(&mut bench, &mut command);
        assert_eq!(bench.now < bench.node.launch_valid_until(&command, 0), is_valid, "{what}");
    }
    // A second launch also depends on the first: on what its outcome proves, and on how long its idempotency key is
    // remembered.
    for (first, idempotency, after_ms, is_valid) in [
        (Errored, "by_key", 10, true),
        (Errored, "by_key", 70, false),
        (ConnectFailed, "by_key", 70, true),
        (ConnectFailed, "once", 70, true),
        (Errored, "repeatable", 70, true),
    ] {
        let mut bench = Bench::with_settings(1, settings(idempotency));
        bench.apply_entry(ListUpdateKind::Snapshot, (1, BackendState::Ready, 0));
        let mut command = bench.command(0);
        assert!(matches!(bench.decide(&mut command), Decision::Launch(_)));
        bench.apply_entry(ListUpdateKind::Delta, (2, BackendState::Ready, 0));
        assert!(
            matches!(bench.on_outcome(&mut command, 0, first), Decision::Launch(_)),
            "{first:?}, {idempotency}"
        );
        bench.advance(after_ms);
        assert_eq!(
            bench.now < bench.node.launch_valid_until(&command, 1),
            is_valid,
            "{first:?}, {idempotency}, {after_ms}"
        );
    }
}

/// All backends fail some launches but still answer, so a command that finds them busy is queued.
#[test]
fn failures_of_all_backends_do_not_prevent_queueing() {
    let mut bench = Bench::new(1);
    bench.learn_mean_work();
    bench.list_backends(&[(1, 1), (2, 1)]);
    for round in 0..12 {
        let mut command = bench.command(0);
        assert!(matches!(bench.decide(&mut command), Decision::Launch(_)));
        match round % 4 {
            0 => {
                assert!(matches!(bench.on_outcome(&mut command, 0, Errored), Decision::Launch(_)));
                bench.advance(50);
                command.is_closed = true;
                bench.on_outcome(&mut command, 1, Finished);
            }
            _ => bench.finish(&mut command, 50),
        }
    }
    let mut in_flight = [bench.command(0), bench.command(0)];
    for command in &mut in_flight {
        // A random draw may exclude a backend that has failures for a while.
        assert!((0..50).any(|_| matches!(bench.decide(command), Decision::Launch(_))));
    }
    let mut queued = bench.command(0);
    assert_eq!(bench.decide(&mut queued), Decision::Wait);
}

/// A failure share that all backends have, such as one broken answer in ten, must not exclude each of them most of
/// the time. A backend that mostly fails still gets only a trickle.
#[test]
fn shared_failures_do_not_exclude_a_backend() {
    for (failure_interval, min, max) in [(10, 85, 200), (2, 0, 40)] {
        let mut bench = Bench::with_settings(1, |json| json["limits"]["mostLaunches"] = 1.into());
        bench.list_backends(&[(1, 1), (2, 1)]);
        let (mut both_used, mut answers) = (0, 0);
        for _ in 0..200 {
            let mut pair = [bench.command(0), bench.command(0)];
            let decisions = [0, 1].map(|n| bench.decide(&mut pair[n]));
            bench.advance(10);
            both_used += usize::from(
                decisions.iter().all(|decision| matches!(decision, Decision::Launch(_)))
                    && decisions[0] != decisions[1],
            );
            for (command, decision) in pair.iter_mut().zip(decisions) {
                let Decision::Launch(backend) = decision else {
                    bench.node.on_client_gone(command);
                    continue;
                };
                answers += u32::from(backend.0 == 1);
                if backend.0 == 1 && answers % failure_interval == 0 {
                    bench.on_outcome(command, 0, Errored);
                } else {
                    bench.finish(command, 0);
                }
            }
        }
        assert!(
            (min..=max).contains(&both_used),
            "one failure in {failure_interval}: both serve in {both_used} of 200"
        );
    }
}

/// Past the goal time a lost command is not launched again, but its place must be freed.
#[test]
fn a_lost_launch_frees_its_place_past_the_goal_time() {
    let mut bench = Bench::new(1);
    bench.learn_mean_work();
    bench.list_backends(&[(1, 1)]);
    let mut command = bench.command(0);
    assert!(matches!(bench.decide(&mut command), Decision::Launch(_)));
    bench.advance(GOAL_MS);
    assert_eq!(bench.decide(&mut command), Decision::Wait);
    let lost = bench.node.wakeup_delay(bench.now, Some(&command)).expect("another timer");
    assert!(lost < Micros::from_millis(500 - GOAL_MS), "{lost:?}");
    bench.advance(lost.0 / 1000 + 1);
    assert_eq!(bench.decide(&mut command), Decision::Wait);
    bench.advance(100);
    let mut next = bench.command(0);
    assert!((0..50).any(|_| matches!(bench.decide(&mut next), Decision::Launch(_))));
}

/// With answers broken on the network from all backends alike, commands that may run only once found no healthy
/// backend and took any free one, which was the failing one. Where other backends have no failures, a failure counts
/// against its backend as usual.
#[test]
fn once_only_commands_avoid_the_failing_backend_among_broken_answers() {
    for all_fail in [true, false] {
        let mut failing_launches = 0;
        for seed in 0..8 {
            let mut bench = Bench::with_settings(seed, |json| {
                let mut once = json["profiles"][0].clone();
                once["idempotency"] = "once".into();
                json["profiles"].as_array_mut().expect("profiles").push(once);
            });
            bench.list_backends(&[(1, 1), (2, 1), (3, 1), (4, 1), (5, 1), (6, 1)]);
            for round in 0..200u64 {
                // Five commands for the five other backends, then one that may run only once.
                let mut commands: Vec<_> = (0..6).map(|n| bench.command(u16::from(n == 5))).collect();
                let decisions: Vec<Decision> =
                    commands.iter_mut().map(|command| bench.decide(command)).collect();
                bench.advance(25);
                for (n, (command, decision)) in commands.iter_mut().zip(decisions).enumerate() {
                    let Decision::Launch(backend) = decision else {
                        bench.node.on_client_gone(command);
                        continue;
                    };
                    let is_failing = backend.0 == 1;
                    failing_launches += u32::from(round > 20 && n == 5 && is_failing);
                    let is_broken = is_failing || all_fail && (round + 3 * u64::from(backend.0)) % 8 == 0;
                    command.is_closed = true;
                    bench.on_outcome(command, 0, if is_broken { ConnectionLost } else { Finished });
                }
            }
        }
        assert!(
            failing_launches < 80,
            "all fail {all_fail}: {failing_launches} of 1440 at the failing backend"
        );
    }
}

/// The timer of a launch may expire after the launch was declared lost. Where only one launch may be in flight, that
/// once sent a second one.
#[test]
fn a_late_timer_does_not_add_a_concurrent_launch() {
    for (concurrent, launch_count) in [(false, 1), (true, 2)] {
        let mut bench = Bench::with_settings(11, |json| json["limits"]["secondCopies"] = concurrent.into());
        bench.learn_mean_work();
        bench.list_backends(&[(1, 0), (2, 0), (3, 0)]);
        let mut command = bench.command(0);
        assert!(matches!(bench.decide(&mut command), Decision::Launch(_)));
        command.launch(0).expect("launched").lost_at = bench.now;
        for _ in 0..3 {
            bench.decide(&mut command);
        }
        assert_eq!(command.launch_count(), launch_count, "concurrent launches {concurrent}");
    }
}

/// Where only one launch may be in flight, a lost one is cancelled first and the command is launched elsewhere
/// afterwards. A command that may not run again, or has no goal time left, stays where it is.
#[test]
fn a_lost_launch_is_cancelled_before_the_next() {
    let cases = [
        ("repeatable", true, 0, true),
        ("once", true, 0, false),
        ("repeatable", false, 0, false),
        ("repeatable", true, GOAL_MS, false),
    ];
    for (idempotency, cancel_supported, after_ms, is_cancelled) in cases {
        let mut bench = Bench::with_settings(12, |json| {
            json["limits"]["secondCopies"] = false.into();
            json["limits"]["cancel"] = cancel_supported.into();
            json["profiles"][0]["idempotency"] = idempotency.into();
        });
        bench.learn_mean_work();
        bench.list_backends(&[(1, 0), (2, 0), (3, 0)]);
        let mut command = bench.command(0);
        let Decision::Launch(first) = bench.decide(&mut command) else { panic!("not launched") };
        bench.advance(after_ms);
        command.launch(0).expect("launched").lost_at = bench.now;
        let decision = bench.decide(&mut command);
        assert_eq!(
            decision,
            if is_cancelled { Decision::CancelLaunch(0) } else { Decision::Wait },
            "{idempotency} {cancel_supported} {after_ms}"
        );
        if is_cancelled {
            let Decision::Launch(second) = bench.on_outcome(&mut command, 0, Outcome::Cancelled) else {
                panic!("not launched again")
            };
            assert_ne!(first, second);
        }
    }
}

/// While dials fail, for instance because every handshake takes too long, a further dial only adds load: commands use
/// open connections. Without failures they go to all backends.
#[test]
fn open_connections_are_used_while_new_ones_fail() {
    for (dial_fails, min, max) in [(false, 11, 30), (true, 0, 8)] {
        let mut dialled = 0;
        for seed in 0..40 {
            let mut bench =
                Bench::with_settings(seed, |json| json["limits"]["connIdle"] = 10_000_000_000u64.into());
            bench.learn_mean_work();
            // Three backends have an open connection and no token; the dial to a fourth fails.
            for id in 1..=3 {
                bench.list_backends(&[(id, 0)]);
                let mut command = bench.command(0);
                bench.decide(&mut command);
                bench.finish(&mut command, 50);
            }
            bench.list_backends(&[(4, 0)]);
            if dial_fails {
                let mut command = bench.command(0);
                bench.decide(&mut command);
                command.is_closed = true;
                bench.on_outcome(&mut command, 0, Outcome::ConnectFailed);
            }
            bench.list_backends(&[(1, 0), (2, 0), (3, 0), (5, 0), (6, 0), (7, 0)]);
            let mut command = bench.command(0);
            let Decision::Launch(backend) = bench.decide(&mut command) else { panic!("not launched") };
            dialled += usize::from(backend.0 > 3);
        }
        assert!((min..=max).contains(&dialled), "{dial_fails}: {dialled} of 40 dialled");
    }
}

/// A slope fitted to a few rough hints is chance: one such slope made a command of 50 ms look like one of a second,
/// and an empty fleet rejected it.
#[test]
fn hints_are_ignored_after_few_answers() {
    let mut bench = Bench::new(14);
    bench.list_backends(&[(1, 0)]);
    for (hint, answer_ms) in [(1, 10), (30, 50), (60, 90)] {
        let mut command = bench.command(0);
        command.work_hint = Some(Micros::from_millis(hint));
        assert!(matches!(bench.decide(&mut command), Decision::Launch(_)));
        bench.finish(&mut command, answer_ms);
    }
    let [mut first, mut second] = [(); 2].map(|()| bench.command(0));
    second.work_hint = Some(Micros::from_millis(3000));
    assert!(matches!(bench.decide(&mut first), Decision::Launch(_)));
    assert_eq!(bench.decide(&mut second), Decision::Wait, "it is queued until the first is done");
}

/// Equal hints have no slope: the division of zero by zero would leave no backend with room.
#[test]
fn equal_hints_are_ignored() {
    let mut bench = Bench::new(15);
    bench.list_backends(&[(1, 0)]);
    for n in 0..40 {
        let mut command = bench.command(0);
        command.work_hint = Some(Micros(30_000));
        assert!(matches!(bench.decide(&mut command), Decision::Launch(_)), "{n}");
        bench.finish(&mut command, 30);
    }
    let [mut first, mut second] = [(); 2].map(|()| bench.command(0));
    (first.work_hint, second.work_hint) = (Some(Micros(30_000)), Some(Micros(30_000)));
    bench.decide(&mut first);
    bench.decide(&mut second);
    assert!(
        bench.node.wakeup_delay(bench.now, Some(&second)).is_some_and(|wait| wait > Micros(0)),
        "it is queued, not rejected"
    );
}

/// New settings while commands are in progress: a command keeps the profile it arrived with, a backend keeps what is
/// known of it, and a second launch that is no longer allowed is not made.
#[test]
fn new_settings_keep_commands_in_progress() {
    let mut bench = Bench::new(21);
    bench.learn_mean_work();
    bench.list_backends(&[(1, 0), (2, 0)]);
    bench.apply_entry(ListUpdateKind::Delta, (2, BackendState::Draining, 0));
    let mut command = bench.command(0);
    assert_eq!(bench.decide(&mut command), Decision::Launch(BackendId(1)));
    let mut json = help::terms();
    json["limits"]["secondCopies"] = false.into();
    json["limits"]["cancel"] = false.into();
    let mut once = json["profiles"][0].clone();
    once["idempotency"] = "once".into();
    json["profiles"].as_array_mut().expect("profiles").push(once);
    bench.node.replace_settings(Settings::from_json(json.to_string().as_bytes()).expect("good settings"));
    command.launch(0).expect("launched").lost_at = bench.now;
    assert_eq!(bench.decide(&mut command), Decision::Wait, "no second launch");
    // The profile it arrived with is still repeatable, so it may be rejected after its launch has ended.
    bench.advance(GOAL_MS);
    assert!(matches!(bench.on_outcome(&mut command, 0, Outcome::TimedOut), Decision::Reject(_)));
    for profile in [0, 1] {
        let mut next = bench.command(profile);
        assert_ne!(bench.decide(&mut next), Decision::Launch(BackendId(2)), "it drains");
    }
}

/// If new settings say that a full backend may have run the command, that also holds for launches in flight.
#[test]
fn the_meaning_of_full_is_the_one_in_force_at_the_outcome() {
    for (may_have_run, fails) in [(false, false), (true, true)] {
        let mut bench = Bench::with_settings(4, |json| json["profiles"][0]["idempotency"] = "once".into());
        bench.list_backends(&[(1, 1), (2, 1)]);
        let mut command = bench.command(0);
        assert!(matches!(bench.decide(&mut command), Decision::Launch(_)));
        let mut json = help::terms();
        json["profiles"][0]["idempotency"] = "once".into();
        json["guarantees"]["mayShedBegun"] = may_have_run.into();
        bench.node.replace_settings(Settings::from_json(json.to_string().as_bytes()).expect("good settings"));
        bench.advance(10);
        assert_eq!(bench.on_outcome(&mut command, 0, Full) == Decision::Fail, fails);
    }
}

/// A backend in maintenance gets no launches whatever the list says. After its return it is cold and unknown, and yet
/// the next command tries it, even if others are known to be idle and fast. It is not probed meanwhile.
#[test]
fn a_backend_in_maintenance_gets_no_launches() {
    for seed in 0..20 {
        let mut bench = Bench::new(seed);
        bench.list_backends(&[(1, 0), (2, 0)]);
        for _ in 0..10 {
            let mut command = bench.command(0);
            assert!(matches!(bench.decide(&mut command), Decision::Launch(_)));
            bench.finish(&mut command, 20);
        }
        for _ in 0..2 {
            bench.node.set_maintenance(bench.now, BackendId(1), true);
        }
        assert!(
            bench.actions().contains(&Action::CloseIdleConnections(BackendId(1))),
            "its idle connections are closed"
        );
        for (what, state, started_at) in [
            ("ready", BackendState::Ready, 0),
            ("gone", BackendState::Gone, 0),
            ("anew", BackendState::Ready, 9),
        ] {
            bench.apply_entry(ListUpdateKind::Delta, (1, state, started_at));
            for _ in 0..6 {
                let mut command = bench.command(0);
                assert_eq!(bench.decide(&mut command), Decision::Launch(BackendId(2)), "{what}");
                bench.finish(&mut command, 20);
            }
        }
        bench.node.set_maintenance(bench.now, BackendId(1), false);
        bench.apply_entry(ListUpdateKind::Delta, (1, BackendState::Ready, 9));
        bench.advance(3000);
        let [mut first, mut second, mut third] = [(); 3].map(|()| bench.command(0));
        assert_eq!(bench.decide(&mut first), Decision::Launch(BackendId(1)), "seed {seed}: tried at once");
        // It counts as cold since its return, whatever start time the list gives: one launch at a time.
        assert_eq!(bench.decide(&mut second), Decision::Launch(BackendId(2)), "seed {seed}");
        assert_ne!(bench.decide(&mut third), Decision::Launch(BackendId(1)), "seed {seed}: it is cold");
    }
}

/// A launch whose body has not fully arrived does not occupy the backend: slow clients made backends look full and
/// silent, and half of all commands were rejected. From the last byte on it occupies the backend and its times count.
/// No timer launches it again, as its body is gone.
#[test]
fn a_launch_with_a_slow_body_occupies_its_backend_from_the_last_byte() {
    let mut bench = Bench::new(3);
    bench.learn_mean_work();
    bench.list_backends(&[(1, 0)]);
    let mut slow = bench.command(0);
    slow.is_body_incomplete = true;
    assert_eq!(bench.decide(&mut slow), Decision::Launch(BackendId(1)));
    for n in 0..4 {
        let mut quick = bench.command(0);
        assert_eq!(bench.decide(&mut quick), Decision::Launch(BackendId(1)), "command {n}");
        bench.finish(&mut quick, 50);
    }
    bench.advance(3000);
    bench.node.on_body_complete(bench.now, bench.now, &mut slow);
    let [mut next, mut other] = [(); 2].map(|()| bench.command(0));
    assert_eq!(bench.decide(&mut next), Decision::Wait, "now it occupies the backend");
    assert_eq!(
        bench.node.wakeup_delay(bench.now, Some(&slow)),
        Some(Micros::from_millis(GOAL_MS)),
        "its goal time begins"
    );
    bench.list_backends(&[(1, 0), (2, 0)]);
    bench.advance(499);
    assert_eq!(bench.decide(&mut slow), Decision::Wait, "late, and not launched again");
    assert_eq!(slow.launch_count(), 1);
    assert_eq!(bench.decide(&mut other), Decision::Launch(BackendId(2)), "the second backend has room");
    let decision = bench.on_outcome(&mut slow, 0, Outcome::ConnectionLost);
    assert!(
        matches!(decision, Decision::Reject(_)),
        "not launched again after its connection broke: {decision:?}"
    );
}

/// Further launches compared with a plain count: no window that ends with a further launch has more of them than the
/// budget allows, whatever fails. While less than half of the budget is used, no launch that its profile allows is
/// refused for the budget. The Thrissur deployment's rough-1 scenario had eight where twenty-one commands allow 7.2.
#[test]
fn further_launches_stay_within_the_budget_of_any_window() {
    for (seed, spare_launches, ratio, window) in
        [(1, 3.0, 0.2, 2000), (2, 0.0, 0.5, 700), (3, 1.0, 0.05, 5000), (4, 7.0, 0.0, 333)]
    {
        let mut bench = Bench::with_settings(seed, |json| {
            json["guarantees"]["spareAttempts"] = spare_launches.into();
            json["guarantees"]["repeatRatio"] = ratio.into();
            json["guarantees"]["extraWindow"] = (window * 1_000_000).into();
        });
        bench.list_backends(&[1, 2, 3, 4, 5, 6, 7, 8].map(|id| (id, 1)));
        let (mut arrivals, mut further_launches) = (Vec::new(), Vec::new());
        let (mut max_used, mut draw) = (0, seed);
        for step in 0..3000u64 {
            draw = draw.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            // Bursts, and pauses longer than a slice of the window.
            bench.now = bench.now + Micros((draw >> 33) % if step % 200 < 20 { 400_000 } else { 9_000 });
            let mut command = bench.command(0);
            arrivals.push(bench.now);
            let mut decision = bench.decide(&mut command);
            for n in 0..4 {
                let Decision::Launch(_) = decision else { break };
                let is_in_window = |at: &&_| bench.now.since(**at) <= Micros::from_millis(window);
                let recent_arrivals = arrivals
                    .iter()
                    .rev()
                    .take_while(|at| bench.now.since(**at) < Micros::from_millis(window));
                let allowed = spare_launches + ratio * recent_arrivals.count() as f64;
                if n > 0 {
                    further_launches.push(bench.now);
                }
                let used = further_launches.iter().rev().take_while(is_in_window).count();
                assert!(n == 0 || used as f64 <= allowed, "seed {seed}: {used} where {allowed} are allowed");
                max_used = max_used.max(used);
                decision = bench.on_outcome(
                    &mut command,
                    n,
                    if draw >> 40 & 3 == 0 { Finished } else { ConnectFailed },
                );
                let was_rejected = matches!(decision, Decision::Reject(_)) && n < 3 && draw >> 40 & 3 != 0;
                // A slice at the edge of the window may count with its launches but without its commands.
                let below_limit = ((used + 1) as f64) < 0.4 * allowed;
                assert!(!was_rejected || !below_limit, "seed {seed}: refused with {used} of {allowed} used");
            }
            bench.node.on_client_gone(&mut command);
        }
        assert!(
            max_used >= spare_launches as usize,
            "seed {seed}: never more than {max_used} of {spare_launches}"
        );
    }
}

/// A further launch beyond the budget waits for it if its goal time allows. Two processes of one node share the spare
/// launches, which are available again a window after the earlier process has ended.
#[test]
fn spare_launches_become_available_again() {
    // Further launches made, whether a predecessor runs, and whether the next further launch has to wait.
    for (used, has_predecessor, must_wait) in [(1, false, false), (2, false, true), (0, true, true)] {
        let mut bench = Bench::with_settings(5, |json| {
            json["guarantees"]["spareAttempts"] = 2.into();
            json["guarantees"]["repeatRatio"] = 0.into();
            json["guarantees"]["extraWindow"] = 60_000_000.into();
        });
        bench.list_backends(&[1, 2, 3, 4, 5, 6].map(|id| (id, 1)));
        if has_predecessor {
            bench.node.set_predecessor_running(bench.now, true);
        }
        for n in 0..used {
            let mut command = bench.command(0);
            assert!(matches!(bench.decide(&mut command), Decision::Launch(_)));
            let decision = bench.on_outcome(&mut command, 0, ConnectFailed);
            assert!(matches!(decision, Decision::Launch(_)), "launch {n}: {decision:?}");
            bench.on_outcome(&mut command, 1, Finished);
        }
        if has_predecessor {
            bench.node.set_predecessor_running(bench.now, false);
        }
        let mut command = bench.command(0);
        assert!(matches!(bench.decide(&mut command), Decision::Launch(_)));
        let decision = bench.on_outcome(&mut command, 0, ConnectFailed);
        assert_eq!(
            matches!(decision, Decision::Launch(_)),
            !must_wait,
            "{used} {has_predecessor}: {decision:?}"
        );
        if must_wait && !has_predecessor {
            let wait = bench.node.wakeup_delay(bench.now, Some(&command)).expect("a timer");
            assert!(wait > Micros::from_millis(59) && wait < Micros::from_millis(62), "{wait:?}");
            bench.now = bench.now + wait;
            assert!(matches!(bench.decide(&mut command), Decision::Launch(_)), "after the window");
        }
        if has_predecessor {
            bench.advance(61);
            let mut command = bench.command(0);
            assert!(matches!(bench.decide(&mut command), Decision::Launch(_)));
            assert!(
                matches!(bench.on_outcome(&mut command, 0, ConnectFailed), Decision::Launch(_)),
                "a window later"
            );
        }
    }
}

/// Many nodes, and backends that report only their queue and utilization, with each answer.
fn reports_queue_and_utilization(json: &mut serde_json::Value) {
    json["balancers"] = 40.into();
    json["report"] = json!({"how": "piggyback", "names": ["backlog", "utilization"]});
    json["familyInfo"] = json!({"warmKeys": true});
    json["limits"]["connIdle"] = 10_000_000_000u64.into();
}

/// Queued commands plus those in progress stand for all commands in flight at a backend. When such reports were
/// ignored, a node used its own count, which is nearly always zero (Thrissur deployment).
#[test]
fn queue_and_utilization_show_other_nodes_load() {
    for (values, is_avoided) in [([3.0, 1.0], true), ([0.0, 0.9], true), ([0.0, 0.0], false)] {
        let mut hits = 0;
        for seed in 0..60 {
            let mut bench = Bench::with_settings(seed, reports_queue_and_utilization);
            bench.learn_mean_work();
            bench.list_backends(&[(1, 0), (2, 0)]);
            bench.node.on_load_report(bench.now, BackendId(1), true, None, &values);
            bench.node.on_load_report(bench.now, BackendId(2), true, None, &[0.0, 0.0]);
            let mut command = bench.command(0);
            hits += u32::from(bench.decide(&mut command) == Decision::Launch(BackendId(1)));
        }
        assert_eq!(hits < 20, is_avoided, "{values:?}: {hits} of 60 went there");
    }
}

/// Work that takes half of its goal time on idle backends does not mean that the fleet is full; the same time spent
/// waiting does. One command in nine was rejected on a quiet day of the Thrissur deployment.
#[test]
fn waiting_reduces_admission_and_long_work_does_not() {
    for (wait_ms, reduces_admission) in [(0, false), (120, true)] {
        let mut bench = Bench::with_settings(3, reports_queue_and_utilization);
        bench.list_backends(&[1, 2, 3, 4, 5, 6, 7, 8].map(|id| (id, 0)));
        let mut rejected = 0;
        for n in 0..120 {
            let mut command = bench.command(0);
            match bench.decide(&mut command) {
                Decision::Launch(at) => {
                    bench.finish(&mut command, if n < 40 { 60 } else { 60 + wait_ms });
                    bench.node.on_load_report(bench.now, at, true, None, &[0.0, 0.3]);
                }
                _ => rejected += 1,
            }
            bench.advance(20);
        }
        assert_eq!(rejected > 10, reduces_admission, "{wait_ms} ms waited: {rejected} rejected");
    }
}

/// Affinity works only if all nodes send a key to the same backend: nodes that consider different subsets of thirty
/// backends used as many backends for it. A node with too little traffic to keep connections to all backends uses its
/// own subset.
#[test]
fn all_nodes_with_enough_traffic_send_a_key_to_one_backend() {
    for (pause_ms, places) in [(20, 1..=1), (2000, 2..=9)] {
        let mut key_backends = std::collections::BTreeSet::new();
        for node_index in 0..10 {
            let mut bench = Bench::with_settings(node_index, |json| {
                reports_queue_and_utilization(json);
                json["me"] = (node_index * 4).into();
            });
            let lines: Vec<_> = (1..=30).map(|id| (id, 0)).collect();
            bench.list_backends(&lines);
            for key in 0..60 {
                let mut command = bench.command(0);
                command.affinity_key = if key == 59 { 7 } else { 100 + key };
                let Decision::Launch(at) = bench.decide(&mut command) else { continue };
                if key == 59 {
                    key_backends.insert(at.0);
                }
                bench.finish(&mut command, 20);
                bench.advance(pause_ms);
            }
        }
        assert!(places.contains(&key_backends.len()), "a command in {pause_ms} ms: {key_backends:?}");
    }
}

/// Idle connections dropped silently on the path cost a third of the launches on them (Kochi deployment). A node that
/// has lost some closes connections idle for that long and dials. A dead backend, and answers lost on new connections
/// too, say nothing about idle connections.
#[test]
fn idle_connections_that_would_be_lost_are_closed_before_use() {
    #[derive(Clone, Copy, Debug, PartialEq)]
    enum Fault {
        NoLoss,
        IdleDropped,
        OneDead,
        AnswersLost,
    }
    use Fault::*;
    // The fault, and the expected launches lost and connections closed in the second half of 200 commands.
    for (fault, lost_range, closed_range) in [
        (NoLoss, 0..=0, 0..=0),
        (IdleDropped, 0..=8, 20..=100),
        (OneDead, 0..=20, 0..=0),
        (AnswersLost, 8..=40, 0..=6),
    ] {
        let mut bench = Bench::with_settings(2, |json| json["limits"]["connIdle"] = 20_000_000_000u64.into());
        bench.list_backends(&[1, 2, 3, 4, 5, 6, 7, 8].map(|id| (id, 0)));
        let mut used = std::collections::BTreeMap::new();
        let (mut lost, mut closed) = (0, 0);
        for n in 0..200 {
            let mut command = bench.command(0);
            let mut decision = bench.decide(&mut command);
            while decision == Decision::Wait {
                let actions = bench.actions();
                let [Action::CloseIdleConnections(at), Action::Reevaluate(_)] = actions[..] else {
                    panic!("{fault:?}: {actions:?}")
                };
                used.remove(&at);
                closed += u32::from(n >= 100);
                decision = bench.decide(&mut command);
            }
            let Decision::Launch(at) = decision else { continue };
            bench.actions();
            bench.advance(20);
            let idle = used.insert(at, bench.now).map_or(Micros(0), |then| bench.now.since(then));
            let is_lost = match fault {
                NoLoss => false,
                IdleDropped => idle > Micros::from_millis(600),
                OneDead => at == BackendId(1),
                AnswersLost => n % 4 == 1,
            };
            lost += u32::from(is_lost && n >= 100);
            if is_lost {
                used.remove(&at);
            }
            command.is_closed = true;
            bench.on_outcome(&mut command, 0, if is_lost { ConnectionLost } else { Finished });
            bench.actions();
            bench.advance(150);
        }
        assert!(
            lost_range.contains(&lost) && closed_range.contains(&closed),
            "{fault:?}: {lost} lost, {closed} closed"
        );
    }
}

/// Where open connections have a penalty and backends take few, a node keeps to few backends, and uses others while
/// those have no room (Kochi deployment).
#[test]
fn a_node_keeps_to_few_backends_where_connections_are_expensive() {
    for (penalty, expected) in [(0.0, 8..=12), (0.03, 3..=5)] {
        let mut bench = Bench::with_settings(6, |json| {
            json["balancers"] = 100.into();
            json["penalties"] = json!({ "connection": penalty });
        });
        let lines: Vec<_> = (1..=30).map(|id| (id, 0)).collect();
        bench.list_backends(&lines);
        let mut used = std::collections::BTreeSet::new();
        for _ in 0..60 {
            let mut command = bench.command(0);
            if let Decision::Launch(at) = bench.decide(&mut command) {
                used.insert(at);
            }
            bench.finish(&mut command, 20);
            bench.advance(2200);
        }
        assert!(expected.contains(&used.len()), "at {penalty}: {used:?}");
    }
}

/// Where backends refuse launches as full themselves, less work waits there at the same mean latency, and a node
/// among many reduces admission later. Before, 22 and 28 in 100 commands were rejected on peak days of the Kozhikode
/// deployment.
#[test]
fn admission_is_reduced_later_where_backends_refuse_as_full() {
    for (full_every, reduces_admission) in [(0, true), (30, false)] {
        let mut bench = Bench::with_settings(3, |json| json["balancers"] = 40.into());
        bench.list_backends(&[1, 2, 3, 4, 5, 6, 7, 8].map(|id| (id, 0)));
        let mut rejected = 0;
        for n in 1..=600 {
            let mut command = bench.command(0);
            if !matches!(bench.decide(&mut command), Decision::Launch(_)) {
                rejected += 1;
            } else if full_every > 0 && n % full_every == 0 {
                bench.on_outcome(&mut command, 0, Full);
                bench.node.on_client_gone(&mut command);
            } else {
                bench.finish(&mut command, 56);
            }
            bench.advance(20);
        }
        assert_eq!(rejected > 100, reduces_admission, "full once in {full_every}: {rejected} rejected");
    }
}

/// After a storm a node with little traffic gets few reports, and its estimate of other nodes' load made it reject
/// commands while backends were idle (peak days of the Kochi deployment). Live weights in the list correct the
/// estimate.
#[test]
fn live_weights_show_the_load_of_backends() {
    for (weights, weight, launched) in [("live", 0.1, false), ("live", 1.0, true), ("nominal", 0.1, true)] {
        let mut bench = Bench::with_settings(8, |json| {
            json["weights"] = weights.into();
            json["report"] = json!({"how": "piggyback", "names": ["outstanding"]});
        });
        bench.learn_mean_work();
        bench.list_backends(&[1, 2, 3, 4].map(|id| (id, 0)));
        for _ in 0..100 {
            bench.list_weighted(&[1, 2, 3, 4].map(|id| (id, 0)), weight);
        }
        let mut command = bench.command(0);
        assert_eq!(matches!(bench.decide(&mut command), Decision::Launch(_)), launched, "{weights} {weight}");
    }
}
