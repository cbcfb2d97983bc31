//! The model against closed forms, and each way in which a backend can go wrong.

use rehearsal::model::arrivals::Arrivals;
use rehearsal::model::backend::{Backend, BackendEvent, IdempotencyKey, IdempotencyStore, Reply};
use rehearsal::model::clients::{retry_delay, AttemptOutcome};
use rehearsal::model::troubles::{timeline, Step};
use rehearsal::policy::{self, NodeContext};
use rehearsal::rng::{RngStream, SeededRng};
use rehearsal::scenario::{RetryMode, Scenario};
use rehearsal::virtual_clock;
use yarrowfront::times::{Micros, Timestamp};

/// One server, one node, no network and nobody in a hurry.
fn queue(law: &str, load: f64) -> Scenario {
    let text = format!(
        "name = \"queue\"\nlength = \"40min\"\nsettle = \"1min\"\nnodes = 1\nload = {{ share = {load} }}\n\
         net = {{ same = \"0s\", client = \"0s\", jitter = \"0s\" }}\n\
         backends = [{{ kind = \"one\", count = 1, queue = 5000, connection_work = \"0s\" }}]\n\
         [[profiles]]\nname = \"p\"\neffect = \"repeatable\"\ngoal = \"5min\"\nlimit = \"5min\"\n\
         work = \"20ms\"\nlaw = \"{law}\"\n"
    );
    Scenario::parse(&text).expect("good")
}

/// Mean response of M/M/1 and M/D/1, in milliseconds, by Pollaczek and Khinchine.
#[test]
fn queues_follow_their_closed_forms() {
    for (law, variation) in [("exponential", 1.0), ("fixed", 0.0)] {
        for load in [0.3, 0.6, 0.75] {
            let scenario = queue(law, load);
            let make = |birth: &NodeContext| policy::create("random", birth);
            let (played, _) =
                virtual_clock::play(&scenario, 11, "random", &make, &mut |_| ()).expect("plays");
            let wanted = 20.0 * (1.0 + load * (1.0 + variation) / (2.0 * (1.0 - load)));
            let mean = played.latency["p"].latency.mean;
            assert!((mean / wanted - 1.0).abs() < 0.06, "{law} at {load}: {mean:.2} of {wanted:.2} ms");
        }
    }
}

fn kind(more: &str) -> Scenario {
    let text = format!(
        "name = \"k\"\nlength = \"60s\"\nnodes = 1\nload = {{ per_s = 100 }}\n\
         backends = [{{ kind = \"k\", count = 1, {more} }}]\n[[profiles]]\nname = \"p\"\neffect = \"tagged\"\n\
         goal = \"1s\"\nlimit = \"1s\"\nwork = \"10ms\"\n"
    );
    Scenario::parse(&text).unwrap_or_else(|(line, why)| panic!("line {line}: {why}"))
}

struct Bench {
    backend: Backend,
    memory: IdempotencyStore,
    told: Vec<BackendEvent>,
}

impl Bench {
    fn new(more: &str, cold: bool) -> Bench {
        let scenario = kind(more);
        let budget = (4.0, Micros::from_millis(2000));
        let started = cold.then_some(Timestamp(0));
        let own = scenario.backends[0].clone();
        let backend = Backend::new(own, (0, 0), started, Timestamp(0), budget, (1, 1));
        Bench { backend, memory: IdempotencyStore::default(), told: Vec::new() }
    }

    fn send(&mut self, ms: u64, key: u64, work_ms: f64) -> Reply {
        self.tagged(ms, key, work_ms, None)
    }

    fn tagged(&mut self, ms: u64, key: u64, work_ms: f64, tag: Option<IdempotencyKey>) -> Reply {
        let now = Timestamp(ms * 1000);
        self.backend.advance(now, &mut self.memory, &mut self.told);
        self.backend.arrive(now, (key, work_ms * 1000.0, tag), &mut self.memory, &mut self.told)
    }

    fn until(&mut self, ms: u64) {
        self.backend.advance(Timestamp(ms * 1000), &mut self.memory, &mut self.told);
    }

    /// Keys and milliseconds of all ends so far.
    fn ends(&self) -> Vec<(u64, u64)> {
        let end = |h: &BackendEvent| match h {
            BackendEvent::WorkFinished(key, at) => Some((*key, (at.0 + 500) / 1000)),
            BackendEvent::WorkStarted(..) => None,
        };
        self.told.iter().filter_map(end).collect()
    }

    fn begun(&self) -> Vec<u64> {
        self.told
            .iter()
            .filter_map(|h| if let BackendEvent::WorkStarted(key, _) = h { Some(*key) } else { None })
            .collect()
    }
}

/// When commands sent at the start end, by what the backend is.
#[test]
fn how_backends_serve() {
    type Case<'a> = (&'a str, bool, &'a [(u64, f64)], &'a [(u64, u64)]);
    let cases: [Case; 7] = [
        ("cores = 1", false, &[(0, 100.0), (0, 100.0)], &[(0, 100), (1, 200)]),
        ("cores = 2", false, &[(0, 100.0), (0, 100.0), (50, 10.0)], &[(0, 100), (1, 100), (2, 110)]),
        ("speed = 2.0", false, &[(0, 100.0)], &[(0, 50)]),
        // Half of the speed at the start, all of it at the end of a warm-up of a second: 0.75 in the mean.
        ("cold = 0.5, warm = \"1s\"", true, &[(0, 750.0)], &[(0, 1000)]),
        ("cold = 0.5, warm = \"1s\"", false, &[(0, 750.0)], &[(0, 750)]),
        // From the fourth on it holds more than it can bear, until one is left: two thirds at a quarter.
        (
            "collapse = { at = 4, speed = 0.25, until = 1 }",
            false,
            &[(0, 10.0), (0, 10.0), (0, 10.0), (0, 10.0)],
            &[(0, 40), (1, 80), (2, 120), (3, 130)],
        ),
        ("crowding = 0.5", false, &[(0, 10.0), (0, 10.0), (0, 10.0)], &[(0, 20), (1, 30), (2, 40)]),
    ];
    for (more, cold, sent, wanted) in cases {
        let mut bench = Bench::new(more, cold);
        for (key, (ms, work)) in sent.iter().enumerate() {
            assert_eq!(bench.send(*ms, key as u64, *work), Reply::Accepted, "{more}");
        }
        bench.until(5000);
        assert_eq!(bench.ends(), wanted, "{more}");
    }
}

/// It stands, hangs, slows and dies when told to, and goes on where it was.
#[test]
fn backends_in_trouble() {
    let mut bench = Bench::new("cores = 1", false);
    bench.send(0, 1, 100.0);
    bench.until(50);
    bench.backend.stalled_until = Timestamp(250_000);
    bench.backend.refresh_rate(Timestamp(50_000));
    bench.until(400);
    assert_eq!(bench.ends(), [(1, 300)], "stood for 200 ms");
    bench.backend.is_hung = true;
    bench.backend.refresh_rate(Timestamp(400_000));
    bench.send(400, 2, 10.0);
    bench.until(2000);
    assert_eq!(bench.ends().len(), 1, "hung");
    bench.backend.is_hung = false;
    bench.backend.speed_factor = 0.1;
    bench.backend.refresh_rate(Timestamp(2_000_000));
    bench.until(2101);
    assert_eq!(bench.ends()[1], (2, 2100), "at a tenth of its speed");
    bench.send(3000, 3, 10.0);
    bench.backend.kill(Timestamp(3_001_000));
    assert_eq!(bench.send(3002, 4, 10.0), Reply::Down);
    bench.backend.restart(Timestamp(4_000_000));
    bench.until(6000);
    assert_eq!(bench.ends().len(), 2, "what it held died with it");
    assert!(bench.backend.warm_up_share(Timestamp(4_000_000)) < 0.5, "cold after its start");
    bench.backend.is_draining = true;
    assert_eq!(bench.send(6000, 5, 10.0), Reply::Full, "draining");
}

#[test]
fn full_errors_and_falling_over() {
    let mut bench = Bench::new("queue = 2", false);
    let replies: Vec<Reply> = (0..4).map(|key| bench.send(0, key, 10.0)).collect();
    assert_eq!(replies, [Reply::Accepted, Reply::Accepted, Reply::Accepted, Reply::Full]);
    let mut bench = Bench::new("errors = 1.0", false);
    assert_eq!(bench.send(0, 1, 10.0), Reply::Error);
    // Four times 0.4 of a core for two seconds, a tenth and three commands more: about 3.7 s of work.
    let pushed = |cold| {
        let mut bench = Bench::new("queue = 100, cold = 0.4", cold);
        (0..60).position(|key| bench.send(0, key, 100.0) == Reply::Crashed)
    };
    assert_eq!(pushed(false), None, "a warm one does not fall");
    assert!((35..=42).contains(&pushed(true).unwrap_or(0)), "{:?}", pushed(true));
    let mut slow = Bench::new("queue = 100, cold = 0.4", true);
    let fell = (0..60).any(|key| slow.send(key * 100, key, 50.0) == Reply::Crashed);
    assert!(!fell, "little by little it is borne");
}

/// What stops when its node gives it up, by what the backend does then.
#[test]
fn given_up_by_its_node() {
    for (stops, begun, ends) in [("none", 3, 3), ("waiting", 2, 2), ("all", 2, 1)] {
        let mut bench = Bench::new(&format!("stops = \"{stops}\""), false);
        for key in 0..3 {
            bench.send(0, key, 100.0);
        }
        bench.until(10);
        // The first runs, the second waits.
        for key in [1, 0] {
            bench.backend.cancel(Timestamp(10_000), key, &mut bench.memory, &mut bench.told);
        }
        bench.until(1000);
        assert_eq!((bench.begun().len(), bench.ends().len()), (begun, ends), "{stops}");
    }
}

/// A tag's repeat has no effect within its span and scope.
#[test]
fn repeats_of_a_tag() {
    let tag = |scope, key| Some(IdempotencyKey { scope, key, retention: Micros::from_millis(500) });
    let cases = [
        ("the same", (0, 7), 100, false),
        ("another tag", (0, 8), 100, true),
        ("another scope", (1, 7), 100, true),
        ("after its span", (0, 7), 600, true),
    ];
    for (what, (scope, number), ms, runs) in cases {
        let mut bench = Bench::new("cores = 1", false);
        bench.tagged(0, 1, 10.0, tag(0, 7));
        bench.tagged(ms, 2, 10.0, tag(scope, number));
        bench.until(2000);
        assert_eq!(bench.begun().len() == 2, runs, "{what}");
        assert_eq!(bench.ends().len(), 2, "{what}: both are answered");
    }
}

/// The rate that arrivals keep in the mean, by shape, and what bursts add to it.
#[test]
fn arrivals_keep_their_rate() {
    for shape in ["poisson", "bursts", "wandering", "even"] {
        let load = format!("load = {{ per_s = 200, shape = \"{shape}\", swing = 0.4 }}");
        let mut scenario = kind("cores = 1");
        scenario.load =
            toml::from_str::<toml::Value>(&load).expect("toml")["load"].clone().try_into().expect("load");
        scenario.length = rehearsal::span::Time::seconds(2000);
        let count = Arrivals::new(&scenario, 5).count() as f64;
        assert!((count / 400_000.0 - 1.0).abs() < 0.08, "{shape}: {count}");
        let first =
            || Arrivals::new(&scenario, 5).take(100).map(|w| (w.due, w.work.to_bits())).collect::<Vec<_>>();
        assert_eq!(first(), first(), "{shape}: the same by the same seed");
    }
    let burst =
        "[[troubles]]\nkind = \"burst\"\nat = \"10s\"\nlength = \"20s\"\nstrength = 3\ncustomer = \"b\"\n";
    let text = toml::to_string(&kind("cores = 1")).expect("toml")
        + "[[customers]]\nname = \"a\"\nshare = 3\nquota_per_s = 1\n\
           [[customers]]\nname = \"b\"\nshare = 1\nquota_per_s = 1\n"
        + burst;
    let scenario = Scenario::parse(&text).expect("good");
    let (mut own, mut other) = (0, 0);
    for wanted in Arrivals::new(&scenario, 2).filter(|w| (10_000_000..30_000_000).contains(&w.due.0)) {
        if wanted.customer == 1 {
            own += 1;
        } else {
            other += 1;
        }
    }
    // 75 and 25 a second as a rule, of which the second one is tripled.
    assert!((1300..1700).contains(&own) && (1350..1650).contains(&other), "{own} and {other}");
}

#[test]
fn what_clients_try_again() {
    let mut scenario = kind("cores = 1");
    let mut draw = SeededRng::new(1, RngStream::Clients);
    let told = Some(Micros::from_millis(700));
    // For a tagged command: the end of a try, the clients' way, and whether the next try comes at once, as told,
    // after a wait, or not at all.
    let cases = [
        (AttemptOutcome::Rejected(told), RetryMode::Advised, Some(700..=700)),
        (AttemptOutcome::Rejected(None), RetryMode::Advised, Some(50..=150)),
        (AttemptOutcome::Rejected(told), RetryMode::AtOnce, Some(0..=0)),
        (AttemptOutcome::Rejected(told), RetryMode::Wait, Some(50..=150)),
        (AttemptOutcome::Rejected(told), RetryMode::Never, None),
        (AttemptOutcome::NotConnected, RetryMode::Wait, Some(50..=150)),
        (AttemptOutcome::Errored, RetryMode::AtOnce, None),
        (AttemptOutcome::Lost, RetryMode::AtOnce, None),
        (AttemptOutcome::Finished, RetryMode::AtOnce, None),
    ];
    for (end, way, wanted) in cases {
        scenario.clients.retry_mode = way;
        let pause = retry_delay(&scenario, 0, 1, end, &mut draw).map(|p| p.0 / 1000);
        let fits = match (&pause, &wanted) {
            (None, None) => true,
            (Some(pause), Some(range)) => range.contains(pause),
            _ => false,
        };
        assert!(fits, "{end:?}, {way:?}: {pause:?}");
        assert!(retry_delay(&scenario, 0, 3, end, &mut draw).is_none(), "two repeats at most");
    }
}

/// Troubles overlap without moving each other, and each thing that goes comes back.
#[test]
fn timelines_of_overlapping_troubles() {
    let deploy = "[[troubles]]\nkind = \"rolling-deploy\"\nat = \"5s\"\nlength = \"20s\"\nshare = 0.9\ndown = \"1s\"\n";
    let deaths = "[[troubles]]\nkind = \"deaths\"\nat = \"8s\"\nshare = 0.2\ndown = \"2s\"\n";
    let plain = toml::to_string(&kind("cores = 1")).expect("toml").replace("count = 1", "count = 20");
    let steps = |more: &str| timeline(&Scenario::parse(&(plain.clone() + more)).expect("good"), 4);
    let (one, both) = (steps(deploy), steps(&format!("{deploy}{deaths}")));
    let drains = |all: &[(_, Step)]| all.iter().filter(|(_, s)| matches!(s, Step::Drain(_))).count();
    assert_eq!((drains(&one), drains(&both)), (18, 18));
    assert!(one.iter().all(|step| both.contains(step)), "the deploy is as it was");
    let count = |wanted: fn(&Step) -> bool| both.iter().filter(|(_, s)| wanted(s)).count();
    assert_eq!(count(|s| matches!(s, Step::Kill(_))), 4);
    assert_eq!(count(|s| matches!(s, Step::Restart(_))), 18 + 4);
    assert!(both.windows(2).all(|w| w[0].0 <= w[1].0), "in the order of time");
}
