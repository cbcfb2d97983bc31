//! Admission at one node: without a loss nothing is rejected; during one the cheapest work is, displaced clients
//! first.

use sites::admission::{Admission, SiteAdmission, SiteObservations};
use sites::detection::{DetectionTimes, Evidence, SiteState};
use sites::failover::ClientOrigin;
use sites::plan::{Plan, ProfileId, SiteId};
use std::collections::BTreeMap;
use yarrowfront::times::{Micros, Timestamp};

fn plan() -> Plan {
    Plan::from_toml(include_str!("../../../deploy/sites.example.toml")).expect("a plan")
}

/// Evidence of a healthy site.
fn healthy() -> Evidence {
    let (nodes, listed) = (Some((4, 4)), Some((10, 10)));
    Evidence {
        live_nodes: nodes,
        ready_backends: listed,
        answered: 20,
        other_sites: (20, 0),
        ..Evidence::default()
    }
}

/// Evidence of a lost site.
fn lost() -> Evidence {
    Evidence {
        live_nodes: Some((0, 4)),
        ready_backends: Some((0, 10)),
        answered: 0,
        unanswered: 9,
        ..healthy()
    }
}

/// Sends the stated requests in each second. All admitted ones end in time. Returns the admitted commands per second.
fn run_load(
    admission: &mut SiteAdmission,
    from: u64,
    seconds: u64,
    observations: &SiteObservations,
    requests: &[(ClientOrigin, usize, u32)],
) -> BTreeMap<(bool, usize), f64> {
    let mut admitted: BTreeMap<(bool, usize), f64> = BTreeMap::new();
    for second in from..from + seconds {
        for (origin, profile, count) in requests {
            for _ in 0..*count {
                if admission.admit(*origin, ProfileId(*profile), Micros::from_millis(2000))
                    == Admission::Admitted
                {
                    admission.on_command_end(ProfileId(*profile), true);
                    *admitted.entry((*origin == ClientOrigin::Displaced, *profile)).or_default() += 1.0;
                }
            }
        }
        for half in 0..2 {
            admission.observe(Timestamp(second * 1_000_000 + half * 500_000), observations);
        }
    }
    let per_second = |(key, count): ((bool, usize), f64)| (key, count / seconds as f64);
    admitted.into_iter().map(per_second).collect()
}

/// Requests per second by client origin and profile.
const REQUESTS: [(ClientOrigin, usize, u32); 5] = [
    (ClientOrigin::Local, 0, 100),
    (ClientOrigin::Local, 1, 200),
    (ClientOrigin::Displaced, 0, 150),
    (ClientOrigin::Displaced, 1, 300),
    (ClientOrigin::Displaced, 2, 50),
];

/// Nothing is rejected while all sites are healthy. When one is lost, what exceeds the capacity is: cheap work of
/// displaced clients first, local clients last. After its return nothing is rejected again.
#[test]
fn a_loss_rejects_the_cheapest_work_until_its_end() {
    let mut admission = SiteAdmission::new(Timestamp(0), plan(), SiteId(2), DetectionTimes::default());
    let all_healthy =
        SiteObservations { evidence: vec![healthy(); 3], site_nodes: 1, ..SiteObservations::default() };
    run_load(&mut admission, 0, 10, &all_healthy, &REQUESTS);
    assert_eq!(admission.rejected_count(), 0);
    let mut one_lost = all_healthy.clone();
    one_lost.evidence[0] = lost();
    run_load(&mut admission, 10, 10, &one_lost, &REQUESTS);
    assert_eq!(admission.detector(SiteId(0)).state, SiteState::Lost);
    // With everything admitted in time, the gate opens beyond the plan. Asked for several times as much, it has to
    // reject.
    let high_load: Vec<_> =
        REQUESTS.iter().map(|(origin, profile, count)| (*origin, *profile, count * 4)).collect();
    let admitted = run_load(&mut admission, 20, 5, &one_lost, &high_load);
    let share = |origin: ClientOrigin, profile: usize, requested: f64| {
        admitted.get(&(origin == ClientOrigin::Displaced, profile)).copied().unwrap_or(0.0) / requested
    };
    let local = [share(ClientOrigin::Local, 0, 400.0), share(ClientOrigin::Local, 1, 800.0)];
    let displaced = [
        share(ClientOrigin::Displaced, 0, 600.0),
        share(ClientOrigin::Displaced, 1, 1200.0),
        share(ClientOrigin::Displaced, 2, 200.0),
    ];
    assert!(admission.rejected_count() > 1000);
    assert!(local[0] >= displaced[0] - 0.02 && local[1] > displaced[1], "{local:?} {displaced:?}");
    assert!(displaced[0] > displaced[1] && displaced[1] > displaced[2], "{displaced:?}");
    run_load(&mut admission, 25, 60, &all_healthy, &REQUESTS);
    assert_eq!(admission.detector(SiteId(0)).state, SiteState::Healthy);
    let before = admission.rejected_count();
    run_load(&mut admission, 85, 5, &all_healthy, &high_load);
    assert_eq!(admission.rejected_count(), before);
}

/// Retry-afters are all different and evenly spread over the allowed range; where none is allowed there is none.
#[test]
fn retry_afters_are_spread_evenly() {
    let mut admission = SiteAdmission::new(Timestamp(0), plan(), SiteId(2), DetectionTimes::default());
    let one_lost = SiteObservations {
        evidence: vec![lost(), healthy(), healthy()],
        site_nodes: 1,
        ..SiteObservations::default()
    };
    run_load(&mut admission, 0, 8, &one_lost, &[(ClientOrigin::Displaced, 1, 100)]);
    run_load(&mut admission, 8, 3, &one_lost, &[(ClientOrigin::Displaced, 1, 5000)]);
    let mut retry_afters = Vec::new();
    for _ in 0..2000 {
        if let Admission::Rejected(span) =
            admission.admit(ClientOrigin::Displaced, ProfileId(1), Micros::from_millis(4500))
        {
            retry_afters.push(span.0);
        }
    }
    assert!(retry_afters.len() > 1000 && retry_afters.iter().all(|at| (500_000..=4_500_000).contains(at)));
    let share_of_second = |n: u64| {
        retry_afters.iter().filter(|at| **at / 1_000_001 == n).count() as f64 / retry_afters.len() as f64
    };
    assert!(
        (1..4).all(|n| (share_of_second(n) - 0.25).abs() < 0.03),
        "{:?}",
        [share_of_second(1), share_of_second(2), share_of_second(3)]
    );
    retry_afters.sort_unstable();
    retry_afters.dedup();
    assert!(retry_afters.len() > 1000, "retry-afters are all different");
    let none = (0..2000).map(|_| admission.admit(ClientOrigin::Displaced, ProfileId(1), Micros(0)));
    assert!(none
        .filter(|decision| matches!(decision, Admission::Rejected(_)))
        .all(|decision| decision == Admission::Rejected(Micros(0))));
}

/// A site with cold backends that joins an older fleet is admitted in steps up to its whole load. A site that only
/// deploys is not limited, nor are sites that all start together.
#[test]
fn a_cold_return_is_admitted_in_steps() {
    let cold = |is_new_node: bool| SiteObservations {
        evidence: vec![healthy(); 3],
        site_nodes: 1,
        is_new_node,
        cold_share: 1.0,
    };
    for (is_new_node, is_limited) in [(true, true), (false, false)] {
        let mut admission = SiteAdmission::new(Timestamp(0), plan(), SiteId(2), DetectionTimes::default());
        let requests = [(ClientOrigin::Local, 0, 300), (ClientOrigin::Local, 1, 300)];
        let first = run_load(&mut admission, 0, 3, &cold(is_new_node), &requests);
        let all = |admitted: &BTreeMap<(bool, usize), f64>| admitted.values().sum::<f64>() / 600.0;
        assert_eq!(all(&first) < 0.75, is_limited, "{first:?}");
        let warm = SiteObservations { is_new_node: false, cold_share: 0.0, ..cold(false) };
        run_load(&mut admission, 3, 40, &warm, &requests);
        let last = run_load(&mut admission, 43, 3, &warm, &requests);
        assert!(all(&last) > 0.99 && !admission.is_limiting(), "{last:?}");
    }
}
