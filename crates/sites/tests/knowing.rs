//! What is known of a site, and how one that is back is let in.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sites::detection::{DetectionTimes, Evidence, OperatorOverride, SiteDetector, SiteState, StateReason};
use sites::return_ramp::ReturnRamp;
use yarrowfront::times::{Micros, Timestamp};

fn whole() -> Evidence {
    Evidence {
        live_nodes: Some((4, 4)),
        ready_backends: Some((10, 10)),
        answered: 50,
        other_sites: (50, 0),
        ..Evidence::default()
    }
}

/// The same evidence twice a second for so many seconds.
fn look(knowing: &mut SiteDetector, from: u64, seconds: u64, found: &Evidence) -> u64 {
    for half in 0..seconds * 2 {
        knowing.observe(Timestamp((from * 2 + half) * 500_000), found);
    }
    from + seconds
}

/// What each picture comes to: a loss takes two kinds of evidence, and what explains itself otherwise is none.
#[test]
fn pictures() {
    let dead = Evidence { answered: 0, unanswered: 9, ..whole() };
    let old = Micros::from_millis(30_000);
    let cases = [
        ("all is well", whole(), SiteState::Healthy, StateReason::Answers),
        (
            "all of it is gone",
            Evidence { live_nodes: Some((0, 4)), ready_backends: Some((0, 10)), ..dead },
            SiteState::Lost,
            StateReason::NodesAndLaunches,
        ),
        (
            "its nodes and its answers",
            Evidence { live_nodes: Some((0, 4)), ready_backends: None, ..dead },
            SiteState::Lost,
            StateReason::NodesAndLaunches,
        ),
        (
            "without a view",
            Evidence { live_nodes: None, ready_backends: Some((0, 10)), ..dead },
            SiteState::Lost,
            StateReason::ListAndLaunches,
        ),
        (
            "before anything was sent",
            Evidence { live_nodes: Some((0, 4)), ready_backends: Some((0, 10)), answered: 0, ..whole() },
            SiteState::Lost,
            StateReason::NodesAndList,
        ),
        (
            "a cut between sites",
            Evidence { live_nodes: Some((0, 4)), ..dead },
            SiteState::Unreachable,
            StateReason::PathCut,
        ),
        (
            "this node alone",
            Evidence { live_nodes: Some((0, 4)), node_is_isolated: true, ..dead },
            SiteState::Unreachable,
            StateReason::Isolated,
        ),
        (
            "nothing answers anywhere",
            Evidence { live_nodes: Some((0, 4)), other_sites: (0, 9), ..dead },
            SiteState::Unreachable,
            StateReason::Isolated,
        ),
        (
            "its nodes live, its backends are gone",
            Evidence { ready_backends: Some((0, 10)), live_nodes: None, ..dead },
            SiteState::Lost,
            StateReason::ListAndLaunches,
        ),
        (
            "its nodes are gone, its backends live",
            Evidence { live_nodes: Some((0, 4)), ..whole() },
            SiteState::Impaired,
            StateReason::Partial,
        ),
        ("its backends do not answer, its nodes live", dead, SiteState::Impaired, StateReason::Partial),
        (
            "discovery is down",
            Evidence { list_age: old, ready_backends: Some((0, 10)), ..whole() },
            SiteState::Healthy,
            StateReason::Answers,
        ),
        (
            "a list that empties itself",
            Evidence { list_is_empty: true, ready_backends: Some((0, 10)), ..whole() },
            SiteState::Healthy,
            StateReason::Answers,
        ),
        (
            "a deploy",
            Evidence { ready_backends: Some((7, 10)), ..whole() },
            SiteState::Healthy,
            StateReason::Answers,
        ),
        (
            "half of it",
            Evidence { ready_backends: Some((5, 10)), ..whole() },
            SiteState::Impaired,
            StateReason::Partial,
        ),
        ("an overload", Evidence { slow_answers: 40, ..whole() }, SiteState::Impaired, StateReason::Partial),
        (
            "nothing is sent there",
            Evidence { answered: 0, live_nodes: None, ready_backends: None, ..whole() },
            SiteState::Healthy,
            StateReason::NoEvidence,
        ),
    ];
    for (name, found, state, why) in cases {
        let mut knowing = SiteDetector::new(Timestamp(0), DetectionTimes::default());
        look(&mut knowing, 0, 6, &found);
        assert_eq!(knowing.state, state, "{name}: {:?}", knowing.reason);
        let weighed = SiteDetector::new(Timestamp(0), DetectionTimes::default()).assess(&found);
        assert_eq!(weighed, (state, why), "{name}");
    }
}

/// Of nodes, list and launches no single one makes a loss, whatever the other two do not say; and who answers is not lost.
#[test]
fn no_single_kind_of_evidence() {
    let nodes = [None, Some((0, 4)), Some((4, 4))];
    let listed = [None, Some((0, 10)), Some((10, 10))];
    for nodes in nodes {
        for listed in listed {
            for (answered, dead) in [(0, 0), (0, 9), (9, 0)] {
                for (isolated, emptied) in [(false, false), (true, false), (false, true)] {
                    let found = Evidence {
                        live_nodes: nodes,
                        ready_backends: listed,
                        answered,
                        unanswered: dead,
                        node_is_isolated: isolated,
                        list_is_empty: emptied,
                        other_sites: (9, 0),
                        ..Evidence::default()
                    };
                    let (state, _) =
                        SiteDetector::new(Timestamp(0), DetectionTimes::default()).assess(&found);
                    let against = [
                        nodes == Some((0, 4)),
                        listed == Some((0, 10)) && !emptied,
                        dead > 0 && answered == 0,
                    ];
                    let kinds = against.iter().filter(|against| **against).count();
                    assert!(state != SiteState::Lost || kinds >= 2, "{found:?}");
                    assert!(answered == 0 || state.accepts_new_commands(), "{found:?}");
                }
            }
        }
    }
}

/// A site that flaps every eight seconds is lost once, and is not whole before it has been there for good.
#[test]
fn flapping() {
    let gone = Evidence {
        live_nodes: Some((0, 4)),
        ready_backends: Some((0, 10)),
        answered: 0,
        unanswered: 9,
        ..whole()
    };
    let mut knowing = SiteDetector::new(Timestamp(0), DetectionTimes::default());
    let mut at = look(&mut knowing, 0, 5, &whole());
    let mut whole_again = 0;
    for _ in 0..10 {
        at = look(&mut knowing, at, 4, &gone);
        assert!(!knowing.state.accepts_new_commands(), "{:?}", knowing.state);
        at = look(&mut knowing, at, 4, &whole());
        whole_again += usize::from(knowing.state == SiteState::Healthy);
    }
    assert_eq!(whole_again, 0);
    at = look(&mut knowing, at, 10, &whole());
    assert_eq!(knowing.state, SiteState::Returning);
    at = look(&mut knowing, at, 60, &whole());
    assert_eq!(knowing.state, SiteState::Returning, "whoever paces it has not said that it is through");
    knowing.on_return_complete();
    look(&mut knowing, at, 60, &whole());
    assert_eq!(knowing.state, SiteState::Healthy);
}

/// An operator's word holds, is older news after its time, and is taken back.
#[test]
fn declared() {
    let times =
        DetectionTimes { override_lifetime: Micros::from_millis(60_000), ..DetectionTimes::default() };
    let mut knowing = SiteDetector::new(Timestamp(0), times);
    let mut at = look(&mut knowing, 0, 2, &whole());
    knowing.set_override(Timestamp(at * 1_000_000), OperatorOverride::Lost);
    at = look(&mut knowing, at, 30, &whole());
    assert_eq!((knowing.state, knowing.reason), (SiteState::Lost, StateReason::Operator));
    knowing.set_override(Timestamp(at * 1_000_000), OperatorOverride::HoldLost);
    at = look(&mut knowing, at, 30, &whole());
    assert_eq!(knowing.state, SiteState::Lost, "it answers, and is not to come back yet");
    knowing.set_override(Timestamp(at * 1_000_000), OperatorOverride::Clear);
    at = look(&mut knowing, at, 8, &whole());
    assert_eq!(knowing.state, SiteState::Returning);
    let mut other = SiteDetector::new(Timestamp(0), times);
    other.set_override(Timestamp(0), OperatorOverride::Lost);
    look(&mut other, 0, 120, &whole());
    assert_eq!(other.state, SiteState::Returning, "never for good");
    let _ = at;
}

/// From whatever state, by whatever evidence and words: with good evidence for long it is whole again. And the pace that goes
/// with it: it grows by earned steps alone, falls to nothing at a loss, and waits longer after each, to a bound.
#[test]
fn walks() {
    for seed in 0..300 {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let mut knowing = SiteDetector::new(
            Timestamp(0),
            DetectionTimes { override_lifetime: Micros::from_millis(20_000), ..DetectionTimes::default() },
        );
        let mut coming = ReturnRamp::healthy(Timestamp(0));
        let (mut share, mut since) = (1.0, 0);
        for step in 0..1400u64 {
            let now = Timestamp(step * 500_000);
            let calm = step >= 600;
            let pick = |chance: &mut ChaCha8Rng, of: u32| if calm { 0 } else { chance.random_range(0..of) };
            let found = Evidence {
                live_nodes: [Some((4, 4)), Some((0, 4)), None][pick(&mut chance, 3) as usize],
                ready_backends: [Some((10, 10)), Some((0, 10)), None][pick(&mut chance, 3) as usize],
                node_is_isolated: pick(&mut chance, 8) == 1,
                list_is_empty: pick(&mut chance, 8) == 1,
                answered: [9, 0][pick(&mut chance, 2) as usize],
                unanswered: [0, 9][pick(&mut chance, 2) as usize],
                other_sites: [(9, 0), (0, 9)][pick(&mut chance, 2) as usize],
                ..Evidence::default()
            };
            if !calm && chance.random_range(0..40) == 0 {
                knowing.set_override(
                    now,
                    [OperatorOverride::Lost, OperatorOverride::HoldLost, OperatorOverride::Clear]
                        [chance.random_range(0..3)],
                );
            }
            knowing.observe(now, &found);
            if knowing.state.accepts_new_commands() {
                coming.on_return(now);
            } else {
                coming.on_lost(now);
            }
            let good = if calm { 40.0 } else { 40.0 * f64::from(chance.random_range(0..2u8)) };
            if coming.on_answers(now, 40.0, good) {
                knowing.on_return_complete();
            }
            let (before, at) = (share, since);
            share = coming.load_share();
            if share != before {
                since = step;
            }
            // Faster than a step in two seconds it does not grow, nor by more than a step.
            let first = before == 0.0 && share < 0.06;
            assert!(
                share <= before || first || share <= before * 1.6 + 1e-9 && step - at >= 4,
                "{before} {share}"
            );
            assert!(coming.releasable_share() <= share, "let go before it was taken");
            assert!(coming.backoff() <= Micros::from_millis(120_000));
            assert!(knowing.state.accepts_new_commands() || share == 0.0);
        }
        assert_eq!((knowing.state, share), (SiteState::Healthy, 1.0), "seed {seed}: {:?}", knowing.reason);
    }
}

/// Each loss on the way back makes the next wait longer, to the bound; a whole return forgets that.
#[test]
fn waits() {
    let mut coming = ReturnRamp::healthy(Timestamp(0));
    let (mut now, mut waits) = (0u64, Vec::new());
    for _ in 0..9 {
        coming.on_lost(Timestamp(now));
        waits.push(coming.backoff().0 / 1_000_000);
        let gone = now;
        while coming.load_share() == 0.0 {
            now += 500_000;
            coming.on_return(Timestamp(now));
        }
        assert!(now - gone >= coming.backoff().0);
    }
    assert_eq!(waits, [2, 4, 8, 16, 32, 64, 120, 120, 120]);
    while !coming.on_answers(Timestamp(now), 40.0, 40.0) {
        now += 500_000;
    }
    coming.reset_backoff();
    coming.on_lost(Timestamp(now));
    assert_eq!((coming.backoff().0 / 1_000_000, coming.failed_returns()), (2, 1));
}
