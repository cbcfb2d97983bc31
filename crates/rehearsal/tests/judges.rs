//! Rules broken on purpose by faulty policies: the judge must see each, and nothing else.

use rehearsal::judge::rules::RuleJudge;
use rehearsal::judge::{FinalAnswer, Observation};
use rehearsal::model::fleet::Fleet;
use rehearsal::policy::{self, ActiveCommand, NodeContext, Policy};
use rehearsal::scenario::Scenario;
use rehearsal::virtual_clock;
use yarrowfront::command::Outcome;
use yarrowfront::decide::{Action, BackendState, Decision, ListEntry, ListUpdateKind};
use yarrowfront::ids::{BackendId, CommandHandle};
use yarrowfront::times::{Micros, Timestamp};

const PLAIN: &str = r#"
name = "judged"
length = "8s"
settle = "1s"
nodes = 1
load = { per_s = 60 }
backends = [{ kind = "small", count = 4, errors = 0.1, stops = "none" }]
"#;

fn profile(effect: &str) -> String {
    format!(
        "[[profiles]]\nname = \"p\"\neffect = \"{effect}\"\nscope = \"group\"\ngoal = \"200ms\"\nlimit = \"500ms\"\nwork = \"20ms\"\n"
    )
}

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    /// Holds a command in silence until its time is over, and longer.
    Silent,
    /// Answers once more after the finished answer.
    Twice,
    /// Launches once more whatever the command's effect.
    Again,
    /// Turns back what may have run.
    Promise,
    /// Never hears that a backend drains or goes.
    Deaf,
    /// Sends everything to the backend that started last.
    Pushes,
}

/// A policy that does one thing wrong and otherwise sends to each backend in turn.
struct Faulty {
    fault: Fault,
    turn: u32,
    known: Vec<ListEntry>,
}

impl Policy for Faulty {
    fn decide(&mut self, _: Timestamp, _: CommandHandle, active: &mut ActiveCommand, _: &Fleet) -> Decision {
        if active.in_flight() > 0 || active.command.is_closed || self.known.is_empty() {
            return Decision::Wait;
        }
        self.turn += 1;
        if self.fault == Fault::Silent && self.turn.is_multiple_of(10) {
            return Decision::Wait;
        }
        if self.fault == Fault::Pushes {
            let newest =
                self.known.iter().filter(|l| l.state == BackendState::Ready).max_by_key(|l| l.started_at);
            return newest.map_or(Decision::Wait, |l| Decision::Launch(l.backend));
        }
        Decision::Launch(self.known[self.turn as usize % self.known.len()].backend)
    }

    fn on_launch_outcome(
        &mut self,
        now: Timestamp,
        hand: CommandHandle,
        active: &mut ActiveCommand,
        _: u8,
        outcome: Outcome,
        fleet: &Fleet,
    ) -> Decision {
        match self.fault {
            Fault::Twice if outcome == Outcome::Finished => return Decision::Fail,
            Fault::Again if outcome == Outcome::Finished && active.launches.len() < 2 => {
                // As if the first answer had been lost.
                active.command.is_closed = false;
                return self.decide(now, hand, active, fleet);
            }
            Fault::Promise if outcome != Outcome::Finished => return Decision::Reject(Micros(1000)),
            _ => {}
        }
        match outcome {
            Outcome::Finished => Decision::Wait,
            _ if active.command.is_closed || active.in_flight() > 0 => Decision::Wait,
            _ => Decision::Fail,
        }
    }

    fn wakeup_delay(&self, _: Timestamp, _: Option<&ActiveCommand>) -> Option<Micros> {
        None
    }

    fn on_client_gone(&mut self, active: &mut ActiveCommand) {
        active.command.is_closed = true;
    }

    fn apply_list(&mut self, _: Timestamp, _: ListUpdateKind, lines: &[ListEntry]) {
        for line in lines {
            match self.known.iter_mut().find(|l| l.backend == line.backend) {
                None => self.known.push(*line),
                Some(_) if self.fault == Fault::Deaf => {}
                Some(old) => *old = *line,
            }
        }
    }

    fn on_load_report(&mut self, _: Timestamp, _: BackendId, _: bool, _: Micros, _: &[f32]) {}

    fn next_action(&mut self, now: Timestamp) -> Option<Action> {
        // It follows the list once, from the start on.
        (self.turn == 0 && now == virtual_clock::ORIGIN && !self.known.is_empty()).then(|| {
            self.turn = 1;
            Action::RequestList
        })
    }
}

fn broken(text: &str, fault: Fault) -> [u64; 4] {
    let scenario = Scenario::parse(text).expect("a good scenario");
    let make =
        |_: &NodeContext| Ok(Box::new(Faulty { fault, turn: 0, known: Vec::new() }) as Box<dyn Policy>);
    let (played, _) = virtual_clock::play(&scenario, 1, "faulty", &make, &mut |_| ()).expect("it plays");
    let r = played.rules;
    assert_eq!(r.cases.is_empty(), r.answers + r.effects + r.drains + r.pushes == 0, "cases in words");
    [r.answers, r.effects, r.drains, r.pushes]
}

#[test]
fn each_broken_rule_is_seen() {
    let drain =
        "[[troubles]]\nkind = \"rolling-deploy\"\nat = \"3s\"\nlength = \"1s\"\nshare = 0.5\ndown = \"3s\"\n";
    let death = "[[troubles]]\nkind = \"deaths\"\nat = \"2s\"\nshare = 0.25\ndown = \"1s\"\n";
    // Rules in the order answers, effects, drains, pushes: which the fault breaks.
    let cases = [
        ("silent", Fault::Silent, "repeatable", "", [true, false, false, false]),
        ("answers twice", Fault::Twice, "repeatable", "", [true, false, false, false]),
        ("runs twice", Fault::Again, "once-only", "", [false, true, false, false]),
        ("breaks the promise", Fault::Promise, "once-only", "", [false, false, false, false]),
        ("sends to the draining", Fault::Deaf, "repeatable", drain, [false, false, true, false]),
        ("pushes the cold one over", Fault::Pushes, "repeatable", death, [false, false, false, true]),
    ];
    for (what, fault, effect, troubles, wanted) in cases {
        let mut text = format!("{PLAIN}{}{troubles}", profile(effect));
        if fault == Fault::Pushes {
            text = text.replace("per_s = 60", "per_s = 400").replace("count = 4", "count = 4, queue = 500");
        }
        let found = broken(&text, fault);
        assert_eq!(found.map(|n| n > 0), wanted, "{what}: {found:?}");
    }
    // A command that broke off may have run: turned back, it breaks the promise.
    let resets = "[[troubles]]\nkind = \"resets\"\nat = \"1s\"\nlength = \"5s\"\nstrength = 0.3\n";
    let found = broken(&format!("{PLAIN}{}{resets}", profile("once-only")), Fault::Promise);
    assert!(found[1] > 0, "a broken promise: {found:?}");
}

/// A backend that would not fall over by itself is judged all the same.
#[test]
fn a_push_counts_though_the_backend_stands() {
    let text = PLAIN.replace("stops = \"none\"", "stops = \"none\", falls = \"0s\", queue = 500");
    let death = "[[troubles]]\nkind = \"deaths\"\nat = \"2s\"\nshare = 0.25\ndown = \"1s\"\n";
    let text = text.replace("per_s = 60", "per_s = 400") + &profile("repeatable") + death;
    let found = broken(&text, Fault::Pushes);
    assert!(found[3] > 0, "{found:?}");
}

/// What yarrowfront and the simple policies do on the same days breaks nothing.
#[test]
fn the_innocent_are_not_blamed() {
    let trouble = "[[troubles]]\nkind = \"rolling-deploy\"\nat = \"2s\"\nlength = \"4s\"\ndown = \"500ms\"\n\
                   [[troubles]]\nkind = \"resets\"\nat = \"1s\"\nlength = \"5s\"\nstrength = 0.1\n";
    let ways = [("repeatable", "ask"), ("tagged", "ask"), ("once-only", "ask"), ("tagged", "watch")];
    for (effect, mode) in ways {
        let plain = PLAIN.replace("nodes = 1", &format!("nodes = 1\nlist = {{ mode = \"{mode}\" }}"));
        let scenario = Scenario::parse(&format!("{plain}{}{trouble}", profile(effect))).expect("good");
        for name in policy::NAMES {
            let make = |birth: &NodeContext| policy::create(name, birth);
            let (played, _) = virtual_clock::play(&scenario, 3, name, &make, &mut |_| ()).expect("plays");
            assert!(!played.rules.any(), "{name}, {effect}: {:?}", played.rules);
            assert!(played.service > 0.3, "{name}, {effect}: {}", played.service);
        }
    }
}

fn rules() -> RuleJudge {
    let scenario = Scenario::parse(&format!("{PLAIN}{}", profile("tagged"))).expect("good");
    RuleJudge::new(&scenario, Timestamp(0))
}

/// Sightings by hand, for what no policy on the virtual clock can do wrong.
#[test]
fn sightings_by_hand() {
    let at = |ms: u64| Timestamp(ms * 1000);
    let taken = |attempt, node| Observation::AttemptReceived {
        attempt,
        command: attempt,
        profile: 0,
        node,
        at: at(0),
        until: at(500),
    };
    let answered = |attempt, made_for, ms| Observation::Answered {
        attempt,
        answer: FinalAnswer::Finished,
        made_for,
        at: at(ms),
    };
    let began = |attempt, command| Observation::WorkStarted {
        backend: 0,
        attempt,
        command,
        profile: 0,
        work: 1.0,
        at: at(1),
    };
    let told = |ready, ms| Observation::ListEntryDelivered { node: 0, backend: 1, ready, at: at(ms) };
    let launched = |node, ms| Observation::LaunchStarted {
        node,
        backend: 1,
        attempt: 1,
        at: at(ms),
        announced_time_left: None,
    };
    // What is seen, and how often which rule is broken then: answers, effects, drains.
    let cases: [(&str, Vec<Observation>, [u64; 3]); 13] = [
        ("in time", vec![taken(1, 0), answered(1, Some(1), 500)], [0, 0, 0]),
        ("late", vec![taken(1, 0), answered(1, Some(1), 551)], [1, 0, 0]),
        ("made for another", vec![taken(1, 0), answered(1, Some(2), 100)], [1, 0, 0]),
        ("made for nobody", vec![taken(1, 0), answered(1, None, 100)], [1, 0, 0]),
        ("never", vec![taken(1, 0)], [1, 0, 0]),
        (
            "its connection ended",
            vec![taken(1, 0), Observation::ConnectionBroken { attempt: 1, at: at(9) }],
            [1, 0, 0],
        ),
        ("its client left", vec![taken(1, 0), Observation::ClientLeft { attempt: 1, at: at(1) }], [0, 0, 0]),
        ("its node was killed", vec![taken(1, 2), Observation::NodeKilled { node: 2, at: at(9) }], [0, 0, 0]),
        ("another was killed", vec![taken(1, 2), Observation::NodeKilled { node: 1, at: at(9) }], [1, 0, 0]),
        ("two effects by two tries", vec![began(1, 7), began(2, 7)], [0, 1, 0]),
        ("within the grace", vec![told(false, 0), launched(0, 500)], [0, 0, 0]),
        ("past the grace, told twice", vec![told(false, 0), told(false, 400), launched(0, 501)], [0, 0, 1]),
        (
            "ready again, or not told",
            vec![told(false, 0), told(true, 9), launched(0, 900), launched(1, 900)],
            [0; 3],
        ),
    ];
    for (what, seen, wanted) in cases {
        let mut rules = rules();
        seen.iter().for_each(|s| rules.observe(s));
        rules.finish(at(10_000));
        let b = &rules.violations;
        assert_eq!([b.answers, b.effects, b.drains], wanted, "{what}: {b:?}");
    }
}

/// The work that a cold backend bears within the window grows with its warmth; what came before it counts no more.
#[test]
fn a_cold_backends_budget() {
    let start =
        Observation::ColdStart { backend: 1, at: Timestamp(0), share: 0.5, warm: 10e6, capacity: 1.0 };
    // At the start four times half a core for two seconds are borne, some 4 s of work, and a little for chance.
    let cases = [
        ("little by little", 40, 90_000, 50_000.0, 0),
        ("all at once", 120, 100, 50_000.0, 1),
        ("the same once it is warm", 120, 100_000, 50_000.0, 0),
    ];
    for (what, count, apart, work, wanted) in cases {
        let mut rules = rules();
        rules.observe(&start);
        for n in 0..count {
            rules.observe(&Observation::LaunchReceived { backend: 1, work, at: Timestamp(n * apart) });
        }
        assert_eq!(rules.violations.pushes, wanted, "{what}");
    }
}
