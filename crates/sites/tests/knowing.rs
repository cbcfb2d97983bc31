//! What is known of a site, and how one that is back is let in.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sites::detection::{Evidence, Knowing, State, Times, Why, Word};
use sites::return_ramp::Coming;
use yarrowfront::times::{Moment, Span};

fn whole() -> Evidence {
    Evidence {
        nodes: Some((4, 4)),
        listed: Some((10, 10)),
        answered: 50,
        elsewhere: (50, 0),
        ..Evidence::default()
    }
}

/// The same evidence twice a second for so many seconds.
fn look(knowing: &mut Knowing, from: u64, seconds: u64, found: &Evidence) -> u64 {
    for half in 0..seconds * 2 {
        knowing.look(Moment((from * 2 + half) * 500_000), found);
    }
    from + seconds
}

/// What each picture comes to: a loss takes two kinds of evidence, and what explains itself otherwise is none.
#[test]
fn pictures() {
    let dead = Evidence { answered: 0, dead: 9, ..whole() };
    let old = Span::millis(30_000);
    let cases = [
        ("all is well", whole(), State::Whole, Why::Answers),
        (
            "all of it is gone",
            Evidence { nodes: Some((0, 4)), listed: Some((0, 10)), ..dead },
            State::Lost,
            Why::NodesAndLaunches,
        ),
        (
            "its nodes and its answers",
            Evidence { nodes: Some((0, 4)), listed: None, ..dead },
            State::Lost,
            Why::NodesAndLaunches,
        ),
        (
            "without a view",
            Evidence { nodes: None, listed: Some((0, 10)), ..dead },
            State::Lost,
            Why::ListAndLaunches,
        ),
        (
            "before anything was sent",
            Evidence { nodes: Some((0, 4)), listed: Some((0, 10)), answered: 0, ..whole() },
            State::Lost,
            Why::NodesAndList,
        ),
        (
            "a cut between sites",
            Evidence { nodes: Some((0, 4)), ..dead },
            State::Unreachable,
            Why::OnlyFromHere,
        ),
        (
            "this node alone",
            Evidence { nodes: Some((0, 4)), isolated: true, ..dead },
            State::Unreachable,
            Why::Isolated,
        ),
        (
            "nothing answers anywhere",
            Evidence { nodes: Some((0, 4)), elsewhere: (0, 9), ..dead },
            State::Unreachable,
            Why::Isolated,
        ),
        (
            "its nodes live, its backends are gone",
            Evidence { listed: Some((0, 10)), nodes: None, ..dead },
            State::Lost,
            Why::ListAndLaunches,
        ),
        (
            "its nodes are gone, its backends live",
            Evidence { nodes: Some((0, 4)), ..whole() },
            State::Impaired,
            Why::Part,
        ),
        ("its backends do not answer, its nodes live", dead, State::Impaired, Why::Part),
        (
            "discovery is down",
            Evidence { list_age: old, listed: Some((0, 10)), ..whole() },
            State::Whole,
            Why::Answers,
        ),
        (
            "a list that empties itself",
            Evidence { emptied: true, listed: Some((0, 10)), ..whole() },
            State::Whole,
            Why::Answers,
        ),
        ("a deploy", Evidence { listed: Some((7, 10)), ..whole() }, State::Whole, Why::Answers),
        ("half of it", Evidence { listed: Some((5, 10)), ..whole() }, State::Impaired, Why::Part),
        ("an overload", Evidence { slow: 40, ..whole() }, State::Impaired, Why::Part),
        (
            "nothing is sent there",
            Evidence { answered: 0, nodes: None, listed: None, ..whole() },
            State::Whole,
            Why::Nothing,
        ),
    ];
    for (name, found, state, why) in cases {
        let mut knowing = Knowing::new(Moment(0), Times::default());
        look(&mut knowing, 0, 6, &found);
        assert_eq!(knowing.state, state, "{name}: {:?}", knowing.why);
        let weighed = Knowing::new(Moment(0), Times::default()).weigh(&found);
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
                        nodes,
                        listed,
                        answered,
                        dead,
                        isolated,
                        emptied,
                        elsewhere: (9, 0),
                        ..Evidence::default()
                    };
                    let (state, _) = Knowing::new(Moment(0), Times::default()).weigh(&found);
                    let against = [
                        nodes == Some((0, 4)),
                        listed == Some((0, 10)) && !emptied,
                        dead > 0 && answered == 0,
                    ];
                    let kinds = against.iter().filter(|against| **against).count();
                    assert!(state != State::Lost || kinds >= 2, "{found:?}");
                    assert!(answered == 0 || state.takes(), "{found:?}");
                }
            }
        }
    }
}

/// A site that flaps every eight seconds is lost once, and is not whole before it has been there for good.
#[test]
fn flapping() {
    let gone = Evidence { nodes: Some((0, 4)), listed: Some((0, 10)), answered: 0, dead: 9, ..whole() };
    let mut knowing = Knowing::new(Moment(0), Times::default());
    let mut at = look(&mut knowing, 0, 5, &whole());
    let mut whole_again = 0;
    for _ in 0..10 {
        at = look(&mut knowing, at, 4, &gone);
        assert!(!knowing.state.takes(), "{:?}", knowing.state);
        at = look(&mut knowing, at, 4, &whole());
        whole_again += usize::from(knowing.state == State::Whole);
    }
    assert_eq!(whole_again, 0);
    at = look(&mut knowing, at, 10, &whole());
    assert_eq!(knowing.state, State::Returning);
    at = look(&mut knowing, at, 60, &whole());
    assert_eq!(knowing.state, State::Returning, "whoever paces it has not said that it is through");
    knowing.returned();
    look(&mut knowing, at, 60, &whole());
    assert_eq!(knowing.state, State::Whole);
}

/// An operator's word holds, is older news after its time, and is taken back.
#[test]
fn declared() {
    let times = Times { declared: Span::millis(60_000), ..Times::default() };
    let mut knowing = Knowing::new(Moment(0), times);
    let mut at = look(&mut knowing, 0, 2, &whole());
    knowing.declare(Moment(at * 1_000_000), Word::Lost);
    at = look(&mut knowing, at, 30, &whole());
    assert_eq!((knowing.state, knowing.why), (State::Lost, Why::Declared));
    knowing.declare(Moment(at * 1_000_000), Word::Held);
    at = look(&mut knowing, at, 30, &whole());
    assert_eq!(knowing.state, State::Lost, "it answers, and is not to come back yet");
    knowing.declare(Moment(at * 1_000_000), Word::Free);
    at = look(&mut knowing, at, 8, &whole());
    assert_eq!(knowing.state, State::Returning);
    let mut other = Knowing::new(Moment(0), times);
    other.declare(Moment(0), Word::Lost);
    look(&mut other, 0, 120, &whole());
    assert_eq!(other.state, State::Returning, "never for good");
    let _ = at;
}

/// From whatever state, by whatever evidence and words: with good evidence for long it is whole again. And the pace that goes
/// with it: it grows by earned steps alone, falls to nothing at a loss, and waits longer after each, to a bound.
#[test]
fn walks() {
    for seed in 0..300 {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let mut knowing =
            Knowing::new(Moment(0), Times { declared: Span::millis(20_000), ..Times::default() });
        let mut coming = Coming::whole(Moment(0));
        let (mut share, mut since) = (1.0, 0);
        for step in 0..1400u64 {
            let now = Moment(step * 500_000);
            let calm = step >= 600;
            let pick = |chance: &mut ChaCha8Rng, of: u32| if calm { 0 } else { chance.random_range(0..of) };
            let found = Evidence {
                nodes: [Some((4, 4)), Some((0, 4)), None][pick(&mut chance, 3) as usize],
                listed: [Some((10, 10)), Some((0, 10)), None][pick(&mut chance, 3) as usize],
                isolated: pick(&mut chance, 8) == 1,
                emptied: pick(&mut chance, 8) == 1,
                answered: [9, 0][pick(&mut chance, 2) as usize],
                dead: [0, 9][pick(&mut chance, 2) as usize],
                elsewhere: [(9, 0), (0, 9)][pick(&mut chance, 2) as usize],
                ..Evidence::default()
            };
            if !calm && chance.random_range(0..40) == 0 {
                knowing.declare(now, [Word::Lost, Word::Held, Word::Free][chance.random_range(0..3)]);
            }
            knowing.look(now, &found);
            if knowing.state.takes() {
                coming.back(now);
            } else {
                coming.lost(now);
            }
            let good = if calm { 40.0 } else { 40.0 * f64::from(chance.random_range(0..2u8)) };
            if coming.saw(now, 40.0, good) {
                knowing.returned();
            }
            let (before, at) = (share, since);
            share = coming.share();
            if share != before {
                since = step;
            }
            // Faster than a step in two seconds it does not grow, nor by more than a step.
            let first = before == 0.0 && share < 0.06;
            assert!(
                share <= before || first || share <= before * 1.6 + 1e-9 && step - at >= 4,
                "{before} {share}"
            );
            assert!(coming.let_go() <= share, "let go before it was taken");
            assert!(coming.wait() <= Span::millis(120_000));
            assert!(knowing.state.takes() || share == 0.0);
        }
        assert_eq!((knowing.state, share), (State::Whole, 1.0), "seed {seed}: {:?}", knowing.why);
    }
}

/// Each loss on the way back makes the next wait longer, to the bound; a whole return forgets that.
#[test]
fn waits() {
    let mut coming = Coming::whole(Moment(0));
    let (mut now, mut waits) = (0u64, Vec::new());
    for _ in 0..9 {
        coming.lost(Moment(now));
        waits.push(coming.wait().0 / 1_000_000);
        let gone = now;
        while coming.share() == 0.0 {
            now += 500_000;
            coming.back(Moment(now));
        }
        assert!(now - gone >= coming.wait().0);
    }
    assert_eq!(waits, [2, 4, 8, 16, 32, 64, 120, 120, 120]);
    while !coming.saw(Moment(now), 40.0, 40.0) {
        now += 500_000;
    }
    coming.settled();
    coming.lost(Moment(now));
    assert_eq!((coming.wait().0 / 1_000_000, coming.tries()), (2, 1));
}
