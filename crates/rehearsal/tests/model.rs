//! The model compared with closed formulas, and each way in which a backend can fail.

use rehearsal::model::arrivals::Arrivals;
use rehearsal::model::backend::{Backend, BackendEvent, IdempotencyKey, IdempotencyStore, Reply};
use rehearsal::model::clients::{retry_delay, AttemptOutcome};
use rehearsal::model::troubles::{timeline, Step};
use rehearsal::policy::{self, NodeContext};
use rehearsal::rng::{RngStream, SeededRng};
use rehearsal::scenario::{RetryMode, Scenario};
use rehearsal::virtual_clock;
use yarrowfront::times::{Micros, Timestamp};

/// One server and one node without network latency and with long time limits.
fn single_server(law: &str, load: f64) -> Scenario {
    let text = format!(
        "name = \"queue\"\nlength = \"40min\"\nsettle = \"1min\"\nnodes = 1\nload = {{ share = {load} }}\n\
         net = {{ same = \"0s\", client = \"0s\", jitter = \"0s\" }}\n\
         backends = [{{ kind = \"one\", count = 1, queue = 5000, connection_work = \"0s\" }}]\n\
         [[profiles]]\nname = \"p\"\neffect = \"repeatable\"\ngoal = \"5min\"\nlimit = \"5min\"\n\
         work = \"20ms\"\nlaw = \"{law}\"\n"
    );
    Scenario::parse(&text).expect("good")
}

/// The mean response times of M/M/1 and M/D/1 queues agree with the Pollaczek-Khinchine formula.
#[test]
fn queues_agree_with_closed_formulas() {
    for (law, variation) in [("exponential", 1.0), ("fixed", 0.0)] {
        for load in [0.3, 0.6, 0.75] {
            let scenario = single_server(law, load);
            let create = |context: &NodeContext| policy::create("random", context);
            let (result, _) =
                virtual_clock::play(&scenario, 11, "random", &create, &mut |_| ()).expect("plays");
            let expected = 20.0 * (1.0 + load * (1.0 + variation) / (2.0 * (1.0 - load)));
            let mean = result.latency["p"].latency.mean;
            assert!((mean / expected - 1.0).abs() < 0.06, "{law} at {load}: {mean:.2} of {expected:.2} ms");
        }
    }
}

fn scenario_with_kind(more: &str) -> Scenario {
    let text = format!(
        "name = \"k\"\nlength = \"60s\"\nnodes = 1\nload = {{ per_s = 100 }}\n\
         backends = [{{ kind = \"k\", count = 1, {more} }}]\n[[profiles]]\nname = \"p\"\neffect = \"tagged\"\n\
         goal = \"1s\"\nlimit = \"1s\"\nwork = \"10ms\"\n"
    );
    Scenario::parse(&text).unwrap_or_else(|(line, why)| panic!("line {line}: {why}"))
}

struct Bench {
    backend: Backend,
    store: IdempotencyStore,
    events: Vec<BackendEvent>,
}

impl Bench {
    fn new(more: &str, cold: bool) -> Bench {
        let scenario = scenario_with_kind(more);
        let budget = (4.0, Micros::from_millis(2000));
        let started = cold.then_some(Timestamp(0));
        let own = scenario.backends[0].clone();
        let backend = Backend::new(own, (0, 0), started, Timestamp(0), budget, (1, 1));
        Bench { backend, store: IdempotencyStore::default(), events: Vec::new() }
    }

    fn send(&mut self, ms: u64, key: u64, work_ms: f64) -> Reply {
        self.send_with_key(ms, key, work_ms, None)
    }

    fn send_with_key(
        &mut self,
        ms: u64,
        key: u64,
        work_ms: f64,
        idempotency_key: Option<IdempotencyKey>,
    ) -> Reply {
        let now = Timestamp(ms * 1000);
        self.backend.advance(now, &mut self.store, &mut self.events);
        self.backend.arrive(now, (key, work_ms * 1000.0, idempotency_key), &mut self.store, &mut self.events)
    }

    fn advance_to(&mut self, ms: u64) {
        self.backend.advance(Timestamp(ms * 1000), &mut self.store, &mut self.events);
    }

    /// The keys of all finished commands so far, and when they finished in milliseconds.
    fn finished(&self) -> Vec<(u64, u64)> {
        let end = |h: &BackendEvent| match h {
            BackendEvent::WorkFinished(key, at) => Some((*key, (at.0 + 500) / 1000)),
            BackendEvent::WorkStarted(..) => None,
        };
        self.events.iter().filter_map(end).collect()
    }

    fn started(&self) -> Vec<u64> {
        self.events
            .iter()
            .filter_map(|h| if let BackendEvent::WorkStarted(key, _) = h { Some(*key) } else { None })
            .collect()
    }
}

/// When commands finish, for different kinds of backends.
#[test]
fn commands_finish_when_the_kind_of_backend_implies() {
    type Case<'a> = (&'a str, bool, &'a [(u64, f64)], &'a [(u64, u64)]);
    let cases: [Case; 7] = [
        ("cores = 1", false, &[(0, 100.0), (0, 100.0)], &[(0, 100), (1, 200)]),
        ("cores = 2", false, &[(0, 100.0), (0, 100.0), (50, 10.0)], &[(0, 100), (1, 100), (2, 110)]),
        ("speed = 2.0", false, &[(0, 100.0)], &[(0, 50)]),
        // Half of the speed at the start and all of it after a warm-up of a second: 0.75 on average.
        ("cold = 0.5, warm = \"1s\"", true, &[(0, 750.0)], &[(0, 1000)]),
        ("cold = 0.5, warm = \"1s\"", false, &[(0, 750.0)], &[(0, 750)]),
        // It collapses with the fourth command and recovers when one is left, so that three commands run at a quarter of the
        // speed.
        (
            "collapse = { at = 4, speed = 0.25, until = 1 }",
            false,
            &[(0, 10.0), (0, 10.0), (0, 10.0), (0, 10.0)],
            &[(0, 40), (1, 80), (2, 120), (3, 130)],
        ),
        ("crowding = 0.5", false, &[(0, 10.0), (0, 10.0), (0, 10.0)], &[(0, 20), (1, 30), (2, 40)]),
    ];
    for (more, cold, sent, expected) in cases {
        let mut bench = Bench::new(more, cold);
        for (key, (ms, work)) in sent.iter().enumerate() {
            assert_eq!(bench.send(*ms, key as u64, *work), Reply::Accepted, "{more}");
        }
        bench.advance_to(5000);
        assert_eq!(bench.finished(), expected, "{more}");
    }
}

/// A backend stalls, hangs, slows down and dies when told to, and goes on where it was.
#[test]
fn troubles_stop_and_slow_backends() {
    let mut bench = Bench::new("cores = 1", false);
    bench.send(0, 1, 100.0);
    bench.advance_to(50);
    bench.backend.stalled_until = Timestamp(250_000);
    bench.backend.refresh_rate(Timestamp(50_000));
    bench.advance_to(400);
    assert_eq!(bench.finished(), [(1, 300)], "stalled for 200 ms");
    bench.backend.is_hung = true;
    bench.backend.refresh_rate(Timestamp(400_000));
    bench.send(400, 2, 10.0);
    bench.advance_to(2000);
    assert_eq!(bench.finished().len(), 1, "hung");
    bench.backend.is_hung = false;
    bench.backend.speed_factor = 0.1;
    bench.backend.refresh_rate(Timestamp(2_000_000));
    bench.advance_to(2101);
    assert_eq!(bench.finished()[1], (2, 2100), "at a tenth of its speed");
    bench.send(3000, 3, 10.0);
    bench.backend.kill(Timestamp(3_001_000));
    assert_eq!(bench.send(3002, 4, 10.0), Reply::Down);
    bench.backend.restart(Timestamp(4_000_000));
    bench.advance_to(6000);
    assert_eq!(bench.finished().len(), 2, "its commands were lost when it died");
    assert!(bench.backend.warm_up_share(Timestamp(4_000_000)) < 0.5, "cold after its restart");
    bench.backend.is_draining = true;
    assert_eq!(bench.send(6000, 5, 10.0), Reply::Full, "draining");
}

#[test]
fn backends_reject_fail_and_crash() {
    let mut bench = Bench::new("queue = 2", false);
    let replies: Vec<Reply> = (0..4).map(|key| bench.send(0, key, 10.0)).collect();
    assert_eq!(replies, [Reply::Accepted, Reply::Accepted, Reply::Accepted, Reply::Full]);
    let mut bench = Bench::new("errors = 1.0", false);
    assert_eq!(bench.send(0, 1, 10.0), Reply::Error);
    // The budget is four times 0.4 of a core for two seconds, plus a tenth and three commands: about 3.7 s of work.
    let crashed_at = |cold| {
        let mut bench = Bench::new("queue = 100, cold = 0.4", cold);
        (0..60).position(|key| bench.send(0, key, 100.0) == Reply::Crashed)
    };
    assert_eq!(crashed_at(false), None, "a warm backend does not crash");
    assert!((35..=42).contains(&crashed_at(true).unwrap_or(0)), "{:?}", crashed_at(true));
    let mut slow = Bench::new("queue = 100, cold = 0.4", true);
    let has_crashed = (0..60).any(|key| slow.send(key * 100, key, 50.0) == Reply::Crashed);
    assert!(!has_crashed, "the same work spread over time does not crash it");
}

/// Which commands stop when their node cancels them, by the setting `stops` of the backend.
#[test]
fn cancelled_commands_stop_as_the_backend_is_set() {
    for (stops, started, finished) in [("none", 3, 3), ("waiting", 2, 2), ("all", 2, 1)] {
        let mut bench = Bench::new(&format!("stops = \"{stops}\""), false);
        for key in 0..3 {
            bench.send(0, key, 100.0);
        }
        bench.advance_to(10);
        // The first one is being executed, the second one is in the queue.
        for key in [1, 0] {
            bench.backend.cancel(Timestamp(10_000), key, &mut bench.store, &mut bench.events);
        }
        bench.advance_to(1000);
        assert_eq!((bench.started().len(), bench.finished().len()), (started, finished), "{stops}");
    }
}

/// A repeat of an idempotency key is not executed within its retention and scope.
#[test]
fn repeated_idempotency_keys_are_not_executed() {
    let idempotency_key =
        |scope, key| Some(IdempotencyKey { scope, key, retention: Micros::from_millis(500) });
    let cases = [
        ("the same key", (0, 7), 100, false),
        ("another key", (0, 8), 100, true),
        ("another scope", (1, 7), 100, true),
        ("after its retention", (0, 7), 600, true),
    ];
    for (case, (scope, number), ms, runs) in cases {
        let mut bench = Bench::new("cores = 1", false);
        bench.send_with_key(0, 1, 10.0, idempotency_key(0, 7));
        bench.send_with_key(ms, 2, 10.0, idempotency_key(scope, number));
        bench.advance_to(2000);
        assert_eq!(bench.started().len() == 2, runs, "{case}");
        assert_eq!(bench.finished().len(), 2, "{case}: both are answered");
    }
}

/// The mean rate of arrivals for each load shape, and the effect of a burst of one customer.
#[test]
fn arrivals_keep_their_mean_rate() {
    for shape in ["poisson", "bursts", "wandering", "even"] {
        let load = format!("load = {{ per_s = 200, shape = \"{shape}\", swing = 0.4 }}");
        let mut scenario = scenario_with_kind("cores = 1");
        scenario.load =
            toml::from_str::<toml::Value>(&load).expect("toml")["load"].clone().try_into().expect("load");
        scenario.length = rehearsal::span::Time::seconds(2000);
        let count = Arrivals::new(&scenario, 5).count() as f64;
        assert!((count / 400_000.0 - 1.0).abs() < 0.08, "{shape}: {count}");
        let first =
            || Arrivals::new(&scenario, 5).take(100).map(|w| (w.due, w.work.to_bits())).collect::<Vec<_>>();
        assert_eq!(first(), first(), "{shape}: the same with the same seed");
    }
    let burst =
        "[[troubles]]\nkind = \"burst\"\nat = \"10s\"\nlength = \"20s\"\nstrength = 3\ncustomer = \"b\"\n";
    let text = toml::to_string(&scenario_with_kind("cores = 1")).expect("toml")
        + "[[customers]]\nname = \"a\"\nshare = 3\nquota_per_s = 1\n\
           [[customers]]\nname = \"b\"\nshare = 1\nquota_per_s = 1\n"
        + burst;
    let scenario = Scenario::parse(&text).expect("good");
    let (mut own, mut other) = (0, 0);
    for expected in Arrivals::new(&scenario, 2).filter(|w| (10_000_000..30_000_000).contains(&w.due.0)) {
        if expected.customer == 1 {
            own += 1;
        } else {
            other += 1;
        }
    }
    // The customers send 75 and 25 commands per second; the burst triples those of the second one.
    assert!((1300..1700).contains(&own) && (1350..1650).contains(&other), "{own} and {other}");
}

#[test]
fn clients_retry_by_outcome_and_mode() {
    let mut scenario = scenario_with_kind("cores = 1");
    let mut rng = SeededRng::new(1, RngStream::Clients);
    let advised = Some(Micros::from_millis(700));
    // For a tagged command: the outcome of an attempt, the retry mode, and the expected delay of the next attempt in
    // milliseconds, if there is one.
    let cases = [
        (AttemptOutcome::Rejected(advised), RetryMode::Advised, Some(700..=700)),
        (AttemptOutcome::Rejected(None), RetryMode::Advised, Some(50..=150)),
        (AttemptOutcome::Rejected(advised), RetryMode::AtOnce, Some(0..=0)),
        (AttemptOutcome::Rejected(advised), RetryMode::Wait, Some(50..=150)),
        (AttemptOutcome::Rejected(advised), RetryMode::Never, None),
        (AttemptOutcome::NotConnected, RetryMode::Wait, Some(50..=150)),
        (AttemptOutcome::Errored, RetryMode::AtOnce, None),
        (AttemptOutcome::Lost, RetryMode::AtOnce, None),
        (AttemptOutcome::Finished, RetryMode::AtOnce, None),
    ];
    for (outcome, mode, expected) in cases {
        scenario.clients.retry_mode = mode;
        let delay_ms = retry_delay(&scenario, 0, 1, outcome, &mut rng).map(|p| p.0 / 1000);
        let matches = match (&delay_ms, &expected) {
            (None, None) => true,
            (Some(delay_ms), Some(range)) => range.contains(delay_ms),
            _ => false,
        };
        assert!(matches, "{outcome:?}, {mode:?}: {delay_ms:?}");
        assert!(retry_delay(&scenario, 0, 3, outcome, &mut rng).is_none(), "two retries at most");
    }
}

/// Troubles overlap without changing each other, and everything that stops comes back.
#[test]
fn overlapping_troubles_do_not_change_each_other() {
    let deploy = "[[troubles]]\nkind = \"rolling-deploy\"\nat = \"5s\"\nlength = \"20s\"\nshare = 0.9\ndown = \"1s\"\n";
    let deaths = "[[troubles]]\nkind = \"deaths\"\nat = \"8s\"\nshare = 0.2\ndown = \"2s\"\n";
    let plain =
        toml::to_string(&scenario_with_kind("cores = 1")).expect("toml").replace("count = 1", "count = 20");
    let steps = |more: &str| timeline(&Scenario::parse(&(plain.clone() + more)).expect("good"), 4);
    let (one, both) = (steps(deploy), steps(&format!("{deploy}{deaths}")));
    let drains = |all: &[(_, Step)]| all.iter().filter(|(_, s)| matches!(s, Step::Drain(_))).count();
    assert_eq!((drains(&one), drains(&both)), (18, 18));
    assert!(one.iter().all(|step| both.contains(step)), "the deploy is unchanged");
    let count = |expected: fn(&Step) -> bool| both.iter().filter(|(_, s)| expected(s)).count();
    assert_eq!(count(|s| matches!(s, Step::Kill(_))), 4);
    assert_eq!(count(|s| matches!(s, Step::Restart(_))), 18 + 4);
    assert!(both.windows(2).all(|w| w[0].0 <= w[1].0), "ordered by time");
}
