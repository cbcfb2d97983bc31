//! Rolling changes on the virtual clock: what is found and what is not, and walks through small worlds.

use rollout::journal::{Deed, Order, Record};
use rollout::lead::{Came, Hold, Lead, Phase};
use rollout::plan::NodeId;
use rollout::play::{plan, Harm, Law, Play};
use rollout::seen::{Here, OnTrial, Told};
use yarrowfront::times::Timestamp;

const SOON: &str = "[seconds]\nsettle = 2.0\nwatch = 10.0\nlongest = 400.0\nword = 12.0\nsilent = 4.0\n";

fn play(nodes: usize, harm: Harm, seed: u64) -> Play {
    Play::new(plan(nodes, SOON), Law::default(), harm, seed)
}

/// A change without a difference is through, and each harm is stopped in its first stage or the next: one that shows in
/// lateness, errors or turn-backs, in one profile alone, or only after a while; a second run at once.
#[test]
fn harms_are_found() {
    let points = |points| Harm { points, ..Harm::default() };
    let cases = [
        ("none", Harm::default(), Phase::Done, 9),
        ("late", points(4.0), Phase::TakenBack, 1),
        ("errors", Harm { as_errors: true, ..points(3.0) }, Phase::TakenBack, 1),
        ("turned back", Harm { as_turn_backs: true, ..points(3.0) }, Phase::TakenBack, 1),
        ("one profile", Harm { profile: Some(2), ..points(15.0) }, Phase::TakenBack, 1),
        ("after a while", Harm { after: 60.0, ..points(6.0) }, Phase::TakenBack, 3),
        ("twice", Harm { twice: 0.001, ..Harm::default() }, Phase::TakenBack, 1),
    ];
    for (name, harm, phase, stage) in cases {
        for seed in 0..4 {
            let end = play(12, harm, seed).run(4000);
            assert!(end.phase == phase && end.stage <= stage, "{name}, seed {seed}: {end:?}");
        }
    }
}

/// When all suffer alike the change is not blamed: it holds, and goes on when that is over.
#[test]
fn an_outage_of_all() {
    let law = Law { outage: Some((1_020, 60, 30.0)), ..Law::default() };
    let mut play = Play::new(plan(12, SOON), law, Harm::default(), 3);
    let mut held = 0;
    let mut begun = 0;
    while !play.lead.over() && play.now.0 < 5_000_000_000 {
        play.step();
        held += usize::from(play.lead.held() == Some(&Hold::Suffering));
        let suffering = (1_030..1_080).contains(&(play.now.0 / 1_000_000));
        begun +=
            usize::from(suffering && play.journal.last().is_some_and(|r| matches!(r, Record::Passed { .. })));
    }
    assert_eq!(play.lead.phase, Phase::Done, "{:?}", play.journal.last());
    assert!(held > 30 && begun == 0, "held for {held} s, {begun} stages passed meanwhile");
}

/// Nobody sends commands: it holds and asks, and never passes by itself. On an operator's word it goes on.
#[test]
fn no_evidence_at_all() {
    let law = Law { rate: 0.0, ..Law::default() };
    let mut play = Play::new(plan(6, SOON), law, Harm::default(), 3);
    while play.lead.held().is_none_or(|hold| !hold.asks()) {
        play.step();
        assert!(play.now.0 < 3_000_000_000 && play.lead.stage == 0, "it neither asks nor passes");
    }
    assert_eq!(play.have(), (1, 0, 6));
    (0..300).for_each(|_| play.step());
    assert_eq!((play.lead.stage, play.have()), (0, (1, 0, 6)), "what is on trial is kept while it asks");
    play.lead.order(play.now, Order::Accept).expect("a stage is watched");
    (0..10).for_each(|_| play.step());
    assert_eq!(play.lead.stage, 1);
    play.lead.order(play.now, Order::Back).expect("it goes forward");
    (0..10).for_each(|_| play.step());
    assert_eq!((play.lead.phase, play.have()), (Phase::TakenBack, (0, 0, 6)));
}

/// A changed node that is gone or has started again takes it back at once; where unchanged ones are gone too it holds.
#[test]
fn losses() {
    let after_first = |play: &mut Play| {
        while play.have().0 == 0 {
            play.step();
        }
        (0..3).for_each(|_| play.step());
    };
    for with_others in [false, true] {
        let mut play = play(12, Harm::default(), 1);
        after_first(&mut play);
        play.kill(0);
        if with_others {
            play.kill(5);
            play.kill(6);
        }
        (0..5).for_each(|_| play.step());
        assert_eq!(play.lead.phase == Phase::Back, !with_others, "{:?}", play.journal.last());
        if with_others {
            assert!(matches!(play.lead.held(), Some(Hold::Missing(_))), "{:?}", play.lead.held());
        }
    }
    let mut play = play(12, Harm::default(), 1);
    after_first(&mut play);
    play.kill(0);
    play.start(0);
    (0..5).for_each(|_| play.step());
    assert_eq!(play.lead.phase, Phase::TakenBack, "{:?}", play.journal.last());
}

/// A node that is silent from the moment in which its change was done has the new, whatever it told before that: nothing
/// is taken back, confirmed or changed once more until it says what it has.
#[test]
fn silent_after_its_change() {
    let tells = |settings: &str, trial: bool| {
        let trial = trial.then(|| OnTrial { former: "a".to_owned() });
        let state = "serving".to_owned();
        Told::Here(Box::new(Here { settings: settings.to_owned(), trial, state, ..Here::default() }))
    };
    let change =
        |record: &Record| matches!(record, Record::Deed { node, deed: Deed::Change } if node == "n0");
    for came in [Came::Done, Came::Unknown("no answer".to_owned())] {
        let mut lead = Lead::new(plan(2, SOON), "a", "b");
        let (at, first) = (|s: u64| Timestamp((1_000 + s) * 1_000_000), NodeId(0));
        lead.look(at(0), vec![tells("a", false), tells("a", false)]);
        assert!(lead.next(at(0)).iter().any(change));
        lead.came(at(1), first, Deed::Change, came);
        lead.look(at(1), vec![Told::Silent, tells("a", false)]);
        assert!(!lead.next(at(1)).iter().any(change), "it may have it already");
        lead.order(at(1), Order::Back).expect("it goes forward");
        lead.look(at(2), vec![Told::Silent, tells("a", false)]);
        lead.next(at(2));
        assert_eq!(lead.phase, Phase::Back);
        lead.look(at(3), vec![tells("b", true), tells("a", false)]);
        let back = Record::Deed { node: "n0".to_owned(), deed: Deed::Back };
        assert!(lead.next(at(3)).contains(&back));
        lead.came(at(4), first, Deed::Back, Came::Done);
        lead.look(at(4), vec![tells("a", false), tells("a", false)]);
        lead.next(at(4));
        assert_eq!(lead.phase, Phase::TakenBack);
    }
}

/// A fault in the controller that the walks below have to find.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Sabotage {
    None,
    /// It changes the next without counting who is missing.
    TooManyOut,
    /// Another controller after it does not read that it goes back.
    ForgetsBack,
    /// It does not keep what is on trial.
    NoKeeping,
    /// It confirms before all stages have passed.
    EarlyConfirm,
    /// It takes what does not answer to have the new.
    SilentIsNew,
}

/// One walk through a small world: nodes that die, start, fall silent, a controller that is killed, operators. Then all is
/// well, and it has to come to one version. The first broken promise, if any.
fn walk(nodes: usize, seed: u64, sabotage: Sabotage) -> Option<String> {
    let law = Law { rate: 60.0, second: 0.2, each: 0.2, ..Law::default() };
    let harm =
        if seed.is_multiple_of(3) { Harm { points: 30.0, ..Harm::default() } } else { Harm::default() };
    let quick = "most_out = 2\nstages = [\"1 node\", \"100%\"]\n[seconds]\nsettle = 0.0\nwatch = 2.0\nlongest = 60.0\n\
        word = 8.0\nsilent = 2.0\n[margins]\npayoff = 0.1\nprofile = 0.2\nturned_back = 0.1\nerrored = 0.1\nslow = 0.5\n\
        [odds]\npass = 0.3\n";
    let mut play = Play::new(plan(nodes, quick), law, harm, seed);
    let mut down = Vec::new();
    let mut confirming = false;
    for step in 0..160 {
        if step < 100 {
            let node = play.below(nodes as u32) as usize;
            match play.below(24) {
                0 if down.len() + 1 < nodes && !down.contains(&node) => {
                    play.kill(node);
                    down.push(node);
                }
                1 | 2 => {
                    if let Some(node) = down.pop() {
                        play.start(node);
                    }
                }
                3 => {
                    let seconds = 1 + u64::from(play.below(14));
                    play.silence(node, seconds);
                }
                4 => {
                    play.replace_controller();
                    if sabotage == Sabotage::ForgetsBack && play.lead.phase == Phase::Back {
                        play.lead.phase = Phase::Forward;
                    }
                }
                5 => drop(play.lead.order(play.now, Order::Pause)),
                6 | 7 => drop(play.lead.order(play.now, Order::Resume)),
                8 if seed.is_multiple_of(5) => drop(play.lead.order(play.now, Order::Back)),
                _ => {}
            }
        } else if let Some(node) = down.pop() {
            play.start(node);
        }
        if sabotage == Sabotage::TooManyOut {
            play.lead.plan.most_out = nodes;
        }
        if sabotage == Sabotage::NoKeeping {
            play.lead.plan.times.word.0 = u64::MAX / 4;
        }
        if sabotage == Sabotage::EarlyConfirm && step == 20 && play.lead.phase == Phase::Forward {
            play.lead.phase = Phase::Confirming;
        }
        let before = play.journal.len();
        let out = play.out();
        play.step_with(sabotage == Sabotage::SilentIsNew);
        let new = &play.journal[before..];
        let changes = new
            .iter()
            .filter(|r| matches!(r, Record::Deed { deed: rollout::journal::Deed::Change, .. }))
            .count();
        if changes > 0 && out + changes > 2 {
            return Some(format!("step {step}: {out} out and {changes} more"));
        }
        confirming |= new.contains(&Record::Confirming);
        if !confirming && play.have().1 > 0 {
            return Some(format!("step {step}: confirmed before all stages have passed"));
        }
        let back = play.journal.iter().position(|r| matches!(r, Record::Back { .. }));
        let gone_on = |at: usize| play.journal[at..].iter().any(|r| matches!(r, Record::Passed { .. }));
        if back.is_some_and(gone_on) {
            return Some(format!("step {step}: forward again after it went back"));
        }
        if play.lapsed > 0 {
            return Some(format!("step {step}: on trial, and not kept"));
        }
        let old = play.oldest_trial();
        if step >= 130 && old.is_some_and(|seconds| seconds > 20) && play.lead.phase == Phase::Back {
            return Some(format!("step {step}: on trial long after it goes back"));
        }
    }
    let _ = play.lead.order(play.now, Order::Resume);
    for _ in 0..400 {
        let asks = play.lead.held().is_some_and(|hold| hold.asks());
        if asks && play.lead.order(play.now, Order::Accept).is_err() {
            let _ = play.lead.order(play.now, Order::Resume);
        }
        play.step();
    }
    let (new, held, up) = play.have();
    match play.lead.phase {
        Phase::Done if (new, held) == (up, up) => None,
        Phase::TakenBack if new == 0 => None,
        phase => Some(format!("at the end {phase:?} with {new} new, {held} for good, of {up}")),
    }
}

/// From whatever state, once all is well there is one version everywhere; never more out than stated; nothing holds for good
/// before all stages have passed; what goes back does not go forward again.
#[test]
fn walks_through_small_worlds() {
    for nodes in 2..=4 {
        for seed in 0..150 {
            assert_eq!(walk(nodes, seed, Sabotage::None), None, "{nodes} nodes, seed {seed}");
        }
    }
}

/// Each fault in the controller is found by some walk: the promises can be broken.
#[test]
fn seeded_faults_are_found() {
    use Sabotage::*;
    for sabotage in [TooManyOut, ForgetsBack, NoKeeping, EarlyConfirm, SilentIsNew] {
        let found = (0..400).find_map(|seed| walk(3, seed, sabotage));
        assert!(found.is_some(), "{sabotage:?} is not found");
        println!("{sabotage:?}: {}", found.unwrap_or_default());
    }
}
