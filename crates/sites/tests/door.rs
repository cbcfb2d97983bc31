//! The door of one node: nothing is turned back without a loss, and with one what is cheap is, first the guests'.

use sites::admission::{Admission, SiteAdmission, SiteObservations};
use sites::detection::{DetectionTimes, Evidence, SiteState};
use sites::failover::ClientOrigin;
use sites::plan::{Plan, ProfileId, SiteId};
use std::collections::BTreeMap;
use yarrowfront::times::{Micros, Timestamp};

fn plan() -> Plan {
    Plan::from_toml(include_str!("../../../deploy/sites.example.toml")).expect("a plan")
}

fn there() -> Evidence {
    let (nodes, listed) = (Some((4, 4)), Some((10, 10)));
    Evidence {
        live_nodes: nodes,
        ready_backends: listed,
        answered: 20,
        other_sites: (20, 0),
        ..Evidence::default()
    }
}

fn gone() -> Evidence {
    Evidence {
        live_nodes: Some((0, 4)),
        ready_backends: Some((0, 10)),
        answered: 0,
        unanswered: 9,
        ..there()
    }
}

/// Asks so many times a second of each kind, for so many seconds, and tells what was let in; all of it is in time.
fn play(
    door: &mut SiteAdmission,
    from: u64,
    seconds: u64,
    look: &SiteObservations,
    asks: &[(ClientOrigin, usize, u32)],
) -> BTreeMap<(bool, usize), f64> {
    let mut let_in: BTreeMap<(bool, usize), f64> = BTreeMap::new();
    for second in from..from + seconds {
        for (whose, profile, count) in asks {
            for _ in 0..*count {
                if door.admit(*whose, ProfileId(*profile), Micros::from_millis(2000)) == Admission::Admitted {
                    door.on_command_end(ProfileId(*profile), true);
                    *let_in.entry((*whose == ClientOrigin::Displaced, *profile)).or_default() += 1.0;
                }
            }
        }
        for half in 0..2 {
            door.observe(Timestamp(second * 1_000_000 + half * 500_000), look);
        }
    }
    let all = |(key, count): ((bool, usize), f64)| (key, count / seconds as f64);
    let_in.into_iter().map(all).collect()
}

const ASKS: [(ClientOrigin, usize, u32); 5] = [
    (ClientOrigin::Local, 0, 100),
    (ClientOrigin::Local, 1, 200),
    (ClientOrigin::Displaced, 0, 150),
    (ClientOrigin::Displaced, 1, 300),
    (ClientOrigin::Displaced, 2, 50),
];

/// Whatever is asked for, nothing is turned back while all sites are there; when one is lost, what does not fit is: the
/// cheapest of the guests' first, own clients last; when it is back, nothing is again.
#[test]
fn a_loss_and_its_end() {
    let mut door = SiteAdmission::new(Timestamp(0), plan(), SiteId(2), DetectionTimes::default());
    let calm = SiteObservations { evidence: vec![there(); 3], site_nodes: 1, ..SiteObservations::default() };
    play(&mut door, 0, 10, &calm, &ASKS);
    assert_eq!(door.rejected_count(), 0);
    let mut lost = calm.clone();
    lost.evidence[0] = gone();
    play(&mut door, 10, 10, &lost, &ASKS);
    assert_eq!(door.detector(SiteId(0)).state, SiteState::Lost);
    // With all that it lets in in time, it opens by what is seen, beyond the plan: asked twice as much it has to refuse.
    let much: Vec<_> = ASKS.iter().map(|(whose, profile, count)| (*whose, *profile, count * 4)).collect();
    let let_in = play(&mut door, 20, 5, &lost, &much);
    let share = |whose: ClientOrigin, profile: usize, asked: f64| {
        let_in.get(&(whose == ClientOrigin::Displaced, profile)).copied().unwrap_or(0.0) / asked
    };
    let own = [share(ClientOrigin::Local, 0, 400.0), share(ClientOrigin::Local, 1, 800.0)];
    let guests = [
        share(ClientOrigin::Displaced, 0, 600.0),
        share(ClientOrigin::Displaced, 1, 1200.0),
        share(ClientOrigin::Displaced, 2, 200.0),
    ];
    assert!(door.rejected_count() > 1000);
    assert!(own[0] >= guests[0] - 0.02 && own[1] > guests[1], "{own:?} {guests:?}");
    assert!(guests[0] > guests[1] && guests[1] > guests[2], "{guests:?}");
    play(&mut door, 25, 60, &calm, &ASKS);
    assert_eq!(door.detector(SiteId(0)).state, SiteState::Healthy);
    let before = door.rejected_count();
    play(&mut door, 85, 5, &calm, &much);
    assert_eq!(door.rejected_count(), before);
}

/// Come-back times are each another, evenly over what may be told; where none may be told none is.
#[test]
fn times_to_come_back() {
    let mut door = SiteAdmission::new(Timestamp(0), plan(), SiteId(2), DetectionTimes::default());
    let lost = SiteObservations {
        evidence: vec![gone(), there(), there()],
        site_nodes: 1,
        ..SiteObservations::default()
    };
    play(&mut door, 0, 8, &lost, &[(ClientOrigin::Displaced, 1, 100)]);
    play(&mut door, 8, 3, &lost, &[(ClientOrigin::Displaced, 1, 5000)]);
    let mut told = Vec::new();
    for _ in 0..2000 {
        if let Admission::Rejected(span) =
            door.admit(ClientOrigin::Displaced, ProfileId(1), Micros::from_millis(4500))
        {
            told.push(span.0);
        }
    }
    assert!(told.len() > 1000 && told.iter().all(|at| (500_000..=4_500_000).contains(at)));
    let fourth = |n: u64| told.iter().filter(|at| **at / 1_000_001 == n).count() as f64 / told.len() as f64;
    assert!((1..4).all(|n| (fourth(n) - 0.25).abs() < 0.03), "{:?}", [fourth(1), fourth(2), fourth(3)]);
    told.sort_unstable();
    told.dedup();
    assert!(told.len() > 1000, "each is a place of its own");
    let none = (0..2000).map(|_| door.admit(ClientOrigin::Displaced, ProfileId(1), Micros(0)));
    assert!(none
        .filter(|said| matches!(said, Admission::Rejected(_)))
        .all(|said| said == Admission::Rejected(Micros(0))));
}

/// A site that joins an older fleet with cold backends is let in by steps, up to the whole; one that only deploys is not
/// held back, nor are sites that all begin at once.
#[test]
fn a_cold_return() {
    let cold = |joined: bool| SiteObservations {
        evidence: vec![there(); 3],
        site_nodes: 1,
        is_new_node: joined,
        cold_share: 1.0,
    };
    for (joined, held_back) in [(true, true), (false, false)] {
        let mut door = SiteAdmission::new(Timestamp(0), plan(), SiteId(2), DetectionTimes::default());
        let asks = [(ClientOrigin::Local, 0, 300), (ClientOrigin::Local, 1, 300)];
        let first = play(&mut door, 0, 3, &cold(joined), &asks);
        let all = |let_in: &BTreeMap<(bool, usize), f64>| let_in.values().sum::<f64>() / 600.0;
        assert_eq!(all(&first) < 0.75, held_back, "{first:?}");
        let warm = SiteObservations { is_new_node: false, cold_share: 0.0, ..cold(false) };
        play(&mut door, 3, 40, &warm, &asks);
        let last = play(&mut door, 43, 3, &warm, &asks);
        assert!(all(&last) > 0.99 && !door.is_limiting(), "{last:?}");
    }
}
