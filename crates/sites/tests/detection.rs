//! Detection of the state of a site, and the slow start of a site that returns.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sites::detection::{DetectionTimes, Evidence, OperatorOverride, SiteDetector, SiteState, StateReason};
use sites::return_ramp::ReturnRamp;
use yarrowfront::times::{Micros, Timestamp};

/// Evidence of a healthy site.
fn healthy() -> Evidence {
    Evidence {
        live_nodes: Some((4, 4)),
        ready_backends: Some((10, 10)),
        answered: 50,
        other_sites: (50, 0),
        ..Evidence::default()
    }
}

/// Observes the same evidence twice a second. Returns the time at the end, in seconds.
fn observe(detector: &mut SiteDetector, from: u64, seconds: u64, evidence: &Evidence) -> u64 {
    for half in 0..seconds * 2 {
        detector.observe(Timestamp((from * 2 + half) * 500_000), evidence);
    }
    from + seconds
}

/// The state for each combination of evidence: a loss takes two kinds of evidence, and evidence with another
/// explanation does not count.
#[test]
fn evidence_determines_the_state() {
    let unanswered = Evidence { answered: 0, unanswered: 9, ..healthy() };
    let outdated = Micros::from_millis(30_000);
    let cases = [
        ("all is well", healthy(), SiteState::Healthy, StateReason::Answers),
        (
            "all of it is gone",
            Evidence { live_nodes: Some((0, 4)), ready_backends: Some((0, 10)), ..unanswered },
            SiteState::Lost,
            StateReason::NodesAndLaunches,
        ),
        (
            "its nodes and its answers",
            Evidence { live_nodes: Some((0, 4)), ready_backends: None, ..unanswered },
            SiteState::Lost,
            StateReason::NodesAndLaunches,
        ),
        (
            "without a view",
            Evidence { live_nodes: None, ready_backends: Some((0, 10)), ..unanswered },
            SiteState::Lost,
            StateReason::ListAndLaunches,
        ),
        (
            "before anything was sent",
            Evidence { live_nodes: Some((0, 4)), ready_backends: Some((0, 10)), answered: 0, ..healthy() },
            SiteState::Lost,
            StateReason::NodesAndList,
        ),
        (
            "a cut between sites",
            Evidence { live_nodes: Some((0, 4)), ..unanswered },
            SiteState::Unreachable,
            StateReason::PathCut,
        ),
        (
            "this node alone",
            Evidence { live_nodes: Some((0, 4)), node_is_isolated: true, ..unanswered },
            SiteState::Unreachable,
            StateReason::Isolated,
        ),
        (
            "nothing answers anywhere",
            Evidence { live_nodes: Some((0, 4)), other_sites: (0, 9), ..unanswered },
            SiteState::Unreachable,
            StateReason::Isolated,
        ),
        (
            "its nodes live, its backends are gone",
            Evidence { ready_backends: Some((0, 10)), live_nodes: None, ..unanswered },
            SiteState::Lost,
            StateReason::ListAndLaunches,
        ),
        (
            "its nodes are gone, its backends live",
            Evidence { live_nodes: Some((0, 4)), ..healthy() },
            SiteState::Impaired,
            StateReason::Partial,
        ),
        ("its backends do not answer, its nodes live", unanswered, SiteState::Impaired, StateReason::Partial),
        (
            "discovery is down",
            Evidence { list_age: outdated, ready_backends: Some((0, 10)), ..healthy() },
            SiteState::Healthy,
            StateReason::Answers,
        ),
        (
            "the whole list is empty",
            Evidence { list_is_empty: true, ready_backends: Some((0, 10)), ..healthy() },
            SiteState::Healthy,
            StateReason::Answers,
        ),
        (
            "a deploy",
            Evidence { ready_backends: Some((7, 10)), ..healthy() },
            SiteState::Healthy,
            StateReason::Answers,
        ),
        (
            "half of it",
            Evidence { ready_backends: Some((5, 10)), ..healthy() },
            SiteState::Impaired,
            StateReason::Partial,
        ),
        (
            "an overload",
            Evidence { slow_answers: 40, ..healthy() },
            SiteState::Impaired,
            StateReason::Partial,
        ),
        (
            "nothing is sent there",
            Evidence { answered: 0, live_nodes: None, ready_backends: None, ..healthy() },
            SiteState::Healthy,
            StateReason::NoEvidence,
        ),
    ];
    for (name, evidence, state, reason) in cases {
        let mut detector = SiteDetector::new(Timestamp(0), DetectionTimes::default());
        observe(&mut detector, 0, 6, &evidence);
        assert_eq!(detector.state, state, "{name}: {:?}", detector.reason);
        let assessed = SiteDetector::new(Timestamp(0), DetectionTimes::default()).assess(&evidence);
        assert_eq!(assessed, (state, reason), "{name}");
    }
}

/// None of nodes, list and launches makes a loss alone, whatever the others lack; and a site that answers is not
/// lost.
#[test]
fn no_single_kind_of_evidence() {
    let live_nodes = [None, Some((0, 4)), Some((4, 4))];
    let ready_backends = [None, Some((0, 10)), Some((10, 10))];
    for live_nodes in live_nodes {
        for ready_backends in ready_backends {
            for (answered, unanswered) in [(0, 0), (0, 9), (9, 0)] {
                for (is_isolated, list_is_empty) in [(false, false), (true, false), (false, true)] {
                    let evidence = Evidence {
                        live_nodes,
                        ready_backends,
                        answered,
                        unanswered,
                        node_is_isolated: is_isolated,
                        list_is_empty,
                        other_sites: (9, 0),
                        ..Evidence::default()
                    };
                    let (state, _) =
                        SiteDetector::new(Timestamp(0), DetectionTimes::default()).assess(&evidence);
                    let signs = [
                        live_nodes == Some((0, 4)),
                        ready_backends == Some((0, 10)) && !list_is_empty,
                        unanswered > 0 && answered == 0,
                    ];
                    let sign_count = signs.iter().filter(|signs| **signs).count();
                    assert!(state != SiteState::Lost || sign_count >= 2, "{evidence:?}");
                    assert!(answered == 0 || state.accepts_new_commands(), "{evidence:?}");
                }
            }
        }
    }
}

/// A site that flaps every eight seconds is lost once, and healthy only after it has stayed up.
#[test]
fn a_flapping_site_stays_lost() {
    let lost = Evidence {
        live_nodes: Some((0, 4)),
        ready_backends: Some((0, 10)),
        answered: 0,
        unanswered: 9,
        ..healthy()
    };
    let mut detector = SiteDetector::new(Timestamp(0), DetectionTimes::default());
    let mut at = observe(&mut detector, 0, 5, &healthy());
    let mut healthy_again = 0;
    for _ in 0..10 {
        at = observe(&mut detector, at, 4, &lost);
        assert!(!detector.state.accepts_new_commands(), "{:?}", detector.state);
        at = observe(&mut detector, at, 4, &healthy());
        healthy_again += usize::from(detector.state == SiteState::Healthy);
    }
    assert_eq!(healthy_again, 0);
    at = observe(&mut detector, at, 10, &healthy());
    assert_eq!(detector.state, SiteState::Returning);
    at = observe(&mut detector, at, 60, &healthy());
    assert_eq!(detector.state, SiteState::Returning, "its return is not complete");
    detector.on_return_complete();
    observe(&mut detector, at, 60, &healthy());
    assert_eq!(detector.state, SiteState::Healthy);
}

/// An operator's override holds, expires after its time, and can be removed.
#[test]
fn an_override_holds_and_expires() {
    let times =
        DetectionTimes { override_lifetime: Micros::from_millis(60_000), ..DetectionTimes::default() };
    let mut detector = SiteDetector::new(Timestamp(0), times);
    let mut at = observe(&mut detector, 0, 2, &healthy());
    detector.set_override(Timestamp(at * 1_000_000), OperatorOverride::Lost);
    at = observe(&mut detector, at, 30, &healthy());
    assert_eq!((detector.state, detector.reason), (SiteState::Lost, StateReason::Operator));
    detector.set_override(Timestamp(at * 1_000_000), OperatorOverride::HoldLost);
    at = observe(&mut detector, at, 30, &healthy());
    assert_eq!(detector.state, SiteState::Lost, "it answers, and is held lost");
    detector.set_override(Timestamp(at * 1_000_000), OperatorOverride::Clear);
    at = observe(&mut detector, at, 8, &healthy());
    assert_eq!(detector.state, SiteState::Returning);
    let mut other = SiteDetector::new(Timestamp(0), times);
    other.set_override(Timestamp(0), OperatorOverride::Lost);
    observe(&mut other, 0, 120, &healthy());
    assert_eq!(other.state, SiteState::Returning, "an override expires");
    let _ = at;
}

/// From any state, after any evidence and overrides, a site with good evidence for long enough is healthy again. Its
/// return ramp grows only by earned steps, falls to zero at a loss and waits longer after each loss, up to a limit.
#[test]
fn every_state_leads_back_to_healthy() {
    for seed in 0..300 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut detector = SiteDetector::new(
            Timestamp(0),
            DetectionTimes { override_lifetime: Micros::from_millis(20_000), ..DetectionTimes::default() },
        );
        let mut ramp = ReturnRamp::healthy(Timestamp(0));
        let (mut share, mut changed_at) = (1.0, 0);
        for step in 0..1400u64 {
            let now = Timestamp(step * 500_000);
            let is_calm = step >= 600;
            let pick = |rng: &mut ChaCha8Rng, of: u32| if is_calm { 0 } else { rng.random_range(0..of) };
            let evidence = Evidence {
                live_nodes: [Some((4, 4)), Some((0, 4)), None][pick(&mut rng, 3) as usize],
                ready_backends: [Some((10, 10)), Some((0, 10)), None][pick(&mut rng, 3) as usize],
                node_is_isolated: pick(&mut rng, 8) == 1,
                list_is_empty: pick(&mut rng, 8) == 1,
                answered: [9, 0][pick(&mut rng, 2) as usize],
                unanswered: [0, 9][pick(&mut rng, 2) as usize],
                other_sites: [(9, 0), (0, 9)][pick(&mut rng, 2) as usize],
                ..Evidence::default()
            };
            if !is_calm && rng.random_range(0..40) == 0 {
                detector.set_override(
                    now,
                    [OperatorOverride::Lost, OperatorOverride::HoldLost, OperatorOverride::Clear]
                        [rng.random_range(0..3)],
                );
            }
            detector.observe(now, &evidence);
            if detector.state.accepts_new_commands() {
                ramp.on_return(now);
            } else {
                ramp.on_lost(now);
            }
            let within_goal = if is_calm { 40.0 } else { 40.0 * f64::from(rng.random_range(0..2u8)) };
            if ramp.on_answers(now, 40.0, within_goal) {
                detector.on_return_complete();
            }
            let (before, at) = (share, changed_at);
            share = ramp.load_share();
            if share != before {
                changed_at = step;
            }
            // The share grows by one step in two seconds at most.
            let is_first_step = before == 0.0 && share < 0.06;
            assert!(
                share <= before || is_first_step || share <= before * 1.6 + 1e-9 && step - at >= 4,
                "{before} {share}"
            );
            assert!(ramp.releasable_share() <= share, "released before it was taken");
            assert!(ramp.backoff() <= Micros::from_millis(120_000));
            assert!(detector.state.accepts_new_commands() || share == 0.0);
        }
        assert_eq!((detector.state, share), (SiteState::Healthy, 1.0), "seed {seed}: {:?}", detector.reason);
    }
}

/// Each loss during the return makes the next wait longer, up to the limit; a complete return resets it.
#[test]
fn repeated_losses_lengthen_the_backoff() {
    let mut ramp = ReturnRamp::healthy(Timestamp(0));
    let (mut now, mut waits) = (0u64, Vec::new());
    for _ in 0..9 {
        ramp.on_lost(Timestamp(now));
        waits.push(ramp.backoff().0 / 1_000_000);
        let lost_at = now;
        while ramp.load_share() == 0.0 {
            now += 500_000;
            ramp.on_return(Timestamp(now));
        }
        assert!(now - lost_at >= ramp.backoff().0);
    }
    assert_eq!(waits, [2, 4, 8, 16, 32, 64, 120, 120, 120]);
    while !ramp.on_answers(Timestamp(now), 40.0, 40.0) {
        now += 500_000;
    }
    ramp.reset_backoff();
    ramp.on_lost(Timestamp(now));
    assert_eq!((ramp.backoff().0 / 1_000_000, ramp.losses()), (2, 1));
}
