//! The door of one node: nothing is turned back without a loss, and with one what is cheap is, first the guests'.

use sites::admission::{Door, Look, Said};
use sites::detection::{Evidence, State, Times};
use sites::failover::Whose;
use sites::plan::{Plan, ProfileId, SiteId};
use std::collections::BTreeMap;
use yarrowfront::times::{Moment, Span};

fn plan() -> Plan {
    Plan::from_toml(include_str!("../../../deploy/sites.example.toml")).expect("a plan")
}

fn there() -> Evidence {
    let (nodes, listed) = (Some((4, 4)), Some((10, 10)));
    Evidence { nodes, listed, answered: 20, elsewhere: (20, 0), ..Evidence::default() }
}

fn gone() -> Evidence {
    Evidence { nodes: Some((0, 4)), listed: Some((0, 10)), answered: 0, dead: 9, ..there() }
}

/// Asks so many times a second of each kind, for so many seconds, and tells what was let in; all of it is in time.
fn play(
    door: &mut Door,
    from: u64,
    seconds: u64,
    look: &Look,
    asks: &[(Whose, usize, u32)],
) -> BTreeMap<(bool, usize), f64> {
    let mut let_in: BTreeMap<(bool, usize), f64> = BTreeMap::new();
    for second in from..from + seconds {
        for (whose, profile, count) in asks {
            for _ in 0..*count {
                if door.ask(*whose, ProfileId(*profile), Span::millis(2000)) == Said::In {
                    door.ended(ProfileId(*profile), true);
                    *let_in.entry((*whose == Whose::Guest, *profile)).or_default() += 1.0;
                }
            }
        }
        for half in 0..2 {
            door.look(Moment(second * 1_000_000 + half * 500_000), look);
        }
    }
    let all = |(key, count): ((bool, usize), f64)| (key, count / seconds as f64);
    let_in.into_iter().map(all).collect()
}

const ASKS: [(Whose, usize, u32); 5] = [
    (Whose::Own, 0, 100),
    (Whose::Own, 1, 200),
    (Whose::Guest, 0, 150),
    (Whose::Guest, 1, 300),
    (Whose::Guest, 2, 50),
];

/// Whatever is asked for, nothing is turned back while all sites are there; when one is lost, what does not fit is: the
/// cheapest of the guests' first, own clients last; when it is back, nothing is again.
#[test]
fn a_loss_and_its_end() {
    let mut door = Door::new(Moment(0), plan(), SiteId(2), Times::default());
    let calm = Look { evidence: vec![there(); 3], beside: 1, ..Look::default() };
    play(&mut door, 0, 10, &calm, &ASKS);
    assert_eq!(door.turned_back(), 0);
    let mut lost = calm.clone();
    lost.evidence[0] = gone();
    play(&mut door, 10, 10, &lost, &ASKS);
    assert_eq!(door.knows(SiteId(0)).state, State::Lost);
    // With all that it lets in in time, it opens by what is seen, beyond the plan: asked twice as much it has to refuse.
    let much: Vec<_> = ASKS.iter().map(|(whose, profile, count)| (*whose, *profile, count * 4)).collect();
    let let_in = play(&mut door, 20, 5, &lost, &much);
    let share = |whose: Whose, profile: usize, asked: f64| {
        let_in.get(&(whose == Whose::Guest, profile)).copied().unwrap_or(0.0) / asked
    };
    let own = [share(Whose::Own, 0, 400.0), share(Whose::Own, 1, 800.0)];
    let guests =
        [share(Whose::Guest, 0, 600.0), share(Whose::Guest, 1, 1200.0), share(Whose::Guest, 2, 200.0)];
    assert!(door.turned_back() > 1000);
    assert!(own[0] >= guests[0] - 0.02 && own[1] > guests[1], "{own:?} {guests:?}");
    assert!(guests[0] > guests[1] && guests[1] > guests[2], "{guests:?}");
    play(&mut door, 25, 60, &calm, &ASKS);
    assert_eq!(door.knows(SiteId(0)).state, State::Whole);
    let before = door.turned_back();
    play(&mut door, 85, 5, &calm, &much);
    assert_eq!(door.turned_back(), before);
}

/// Come-back times are each another, evenly over what may be told; where none may be told none is.
#[test]
fn times_to_come_back() {
    let mut door = Door::new(Moment(0), plan(), SiteId(2), Times::default());
    let lost = Look { evidence: vec![gone(), there(), there()], beside: 1, ..Look::default() };
    play(&mut door, 0, 8, &lost, &[(Whose::Guest, 1, 100)]);
    play(&mut door, 8, 3, &lost, &[(Whose::Guest, 1, 5000)]);
    let mut told = Vec::new();
    for _ in 0..2000 {
        if let Said::Back(span) = door.ask(Whose::Guest, ProfileId(1), Span::millis(4500)) {
            told.push(span.0);
        }
    }
    assert!(told.len() > 1000 && told.iter().all(|at| (500_000..=4_500_000).contains(at)));
    let fourth = |n: u64| told.iter().filter(|at| **at / 1_000_001 == n).count() as f64 / told.len() as f64;
    assert!((1..4).all(|n| (fourth(n) - 0.25).abs() < 0.03), "{:?}", [fourth(1), fourth(2), fourth(3)]);
    told.sort_unstable();
    told.dedup();
    assert!(told.len() > 1000, "each is a place of its own");
    let none = (0..2000).map(|_| door.ask(Whose::Guest, ProfileId(1), Span(0)));
    assert!(none.filter(|said| matches!(said, Said::Back(_))).all(|said| said == Said::Back(Span(0))));
}

/// A site that joins an older fleet with cold backends is let in by steps, up to the whole; one that only deploys is not
/// held back, nor are sites that all begin at once.
#[test]
fn a_cold_return() {
    let cold = |joined: bool| Look { evidence: vec![there(); 3], beside: 1, joined, cold: 1.0 };
    for (joined, held_back) in [(true, true), (false, false)] {
        let mut door = Door::new(Moment(0), plan(), SiteId(2), Times::default());
        let asks = [(Whose::Own, 0, 300), (Whose::Own, 1, 300)];
        let first = play(&mut door, 0, 3, &cold(joined), &asks);
        let all = |let_in: &BTreeMap<(bool, usize), f64>| let_in.values().sum::<f64>() / 600.0;
        assert_eq!(all(&first) < 0.75, held_back, "{first:?}");
        let warm = Look { joined: false, cold: 0.0, ..cold(false) };
        play(&mut door, 3, 40, &warm, &asks);
        let last = play(&mut door, 43, 3, &warm, &asks);
        assert!(all(&last) > 0.99 && !door.in_force(), "{last:?}");
    }
}
