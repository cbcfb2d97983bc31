//! Counts of this node's work in steps of a second, by which a rolling change compares it with the others. Kept only
//! where an operators' file asks for it; bounded by the seconds kept and by `PROFILES`.

use hdrhistogram::Histogram;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use yarrowfront::command::Outcome;
use yarrowfront::settings::{Idempotency, Profile};
use yarrowfront::times::{Micros, Timestamp};

/// Of what is told, and of the words of a rolling change.
pub const VERSION: u32 = 1;
/// Profiles that are counted by name; what comes under a further one is counted as `OTHERS`.
const PROFILES: usize = 32;
const OTHERS: &str = "(others)";
/// A second's times are held in buckets of an eighth of a doubling each, from 32 us to two minutes: those of several
/// nodes are added bucket by bucket, and a quantile is told to a tenth.
const PARTS: f64 = 8.0;
const FIRST: f64 = 32.0;
const BUCKETS: usize = 176;

/// How a command ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Finished,
    TurnedBack,
    Errored,
    /// Its client went before it had an answer.
    Left,
}

/// Of one profile, or of all.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Tally {
    taken: u32,
    in_goal: u32,
    late: u32,
    turned_back: u32,
    errored: u32,
    left: u32,
    /// Payoff of the commands that have ended, and of those within the goal time.
    asked: f64,
    served: f64,
    /// Launches, those beyond each command's first, and those of what may run once after one that may have run.
    launches: u32,
    extra: u32,
    twice: u32,
}

impl Tally {
    fn add(&mut self, other: &Tally) {
        self.taken += other.taken;
        self.in_goal += other.in_goal;
        self.late += other.late;
        self.turned_back += other.turned_back;
        self.errored += other.errored;
        self.left += other.left;
        (self.asked, self.served) = (self.asked + other.asked, self.served + other.served);
        self.launches += other.launches;
        self.extra += other.extra;
        self.twice += other.twice;
    }

    fn told(&self) -> Value {
        json!({"taken": self.taken, "in_goal": self.in_goal, "late": self.late, "turned_back": self.turned_back,
            "errored": self.errored, "left": self.left, "asked": self.asked, "served": self.served,
            "launches": self.launches, "extra": self.extra, "twice": self.twice})
    }
}

/// Launches by how they ended, in the order of `WORDS`.
type Outcomes = [u32; 8];
const WORDS: [&str; 8] =
    ["finished", "errored", "full", "timed_out", "unreachable", "broken", "cancelled", "unsent"];

fn place(outcome: Outcome) -> usize {
    match outcome {
        Outcome::Finished => 0,
        Outcome::Errored => 1,
        Outcome::Full => 2,
        Outcome::TimedOut => 3,
        Outcome::ConnectFailed => 4,
        Outcome::ConnectionLost => 5,
        Outcome::Cancelled => 6,
        Outcome::NotSent => 7,
    }
}

#[derive(Default)]
struct Second {
    /// Of Unix time.
    at: u64,
    by: Vec<Tally>,
    outcomes: Outcomes,
    connections: u32,
    probes: u32,
    lists: u32,
    /// Times of the finished, as (bucket, count) in the order of buckets.
    times: Vec<(u8, u32)>,
}

struct Inner {
    names: Vec<String>,
    seconds: VecDeque<Second>,
    total: Vec<Tally>,
    outcomes: Outcomes,
    connections: u64,
    probes: u64,
    lists: u64,
    /// Since the start, mergeable with others of its kind; microseconds.
    times: Histogram<u32>,
}

pub struct Counts {
    kept: usize,
    inner: RefCell<Inner>,
}

fn bucket(span: Micros) -> u8 {
    let steps = (span.as_f64() / FIRST).max(1.0).log2() * PARTS;
    steps.min((BUCKETS - 1) as f64) as u8
}

/// Where a bucket begins, in microseconds.
fn begins(bucket: u8) -> u64 {
    (FIRST * (f64::from(bucket) / PARTS).exp2()) as u64
}

impl Counts {
    /// Keeps so many of the last seconds.
    pub fn new(kept: usize) -> Counts {
        let times =
            Histogram::new_with_bounds(32, 120_000_000, 2).unwrap_or_else(|_| unreachable!("good bounds"));
        let inner = Inner {
            names: Vec::new(),
            seconds: VecDeque::new(),
            total: Vec::new(),
            outcomes: Outcomes::default(),
            connections: 0,
            probes: 0,
            lists: 0,
            times,
        };
        Counts { kept, inner: RefCell::new(inner) }
    }

    /// The second that it is now, and all of the tallies beside it.
    fn now<T>(&self, now: Timestamp, call: impl FnOnce(&mut Inner) -> T) -> T {
        let inner = &mut *self.inner.borrow_mut();
        let at = now.0 / 1_000_000;
        if inner.seconds.back().is_none_or(|last| last.at < at) {
            if inner.seconds.len() >= self.kept {
                inner.seconds.pop_front();
            }
            inner.seconds.push_back(Second { at, ..Second::default() });
        }
        call(inner)
    }

    fn tally(&self, now: Timestamp, profile: &str, change: impl Fn(&mut Tally)) {
        self.now(now, |inner| {
            let place = inner.place(profile);
            change(&mut inner.total[place]);
            if let Some(second) = inner.seconds.back_mut() {
                if second.by.len() <= place {
                    second.by.resize(place + 1, Tally::default());
                }
                change(&mut second.by[place]);
            }
        });
    }

    fn taken(&self, now: Timestamp, profile: &str) {
        self.tally(now, profile, |tally| tally.taken += 1);
    }

    /// A launch goes out; `extra` beyond the command's first, `twice` if what may run once may have run already.
    fn launched(&self, now: Timestamp, profile: &str, extra: bool, twice: bool) {
        self.tally(now, profile, |tally| {
            tally.launches += 1;
            tally.extra += u32::from(extra);
            tally.twice += u32::from(twice);
        });
    }

    /// A command is over, by its answer or without one.
    fn ended(&self, now: Timestamp, name: &str, (payoff, goal): (f64, Micros), arrived: Timestamp, end: End) {
        let took = now.since(arrived);
        self.tally(now, name, |tally| {
            let in_goal = end == End::Finished && took <= goal;
            // A client that went of its own accord has asked for nothing that could be served.
            tally.asked += if end == End::Left { 0.0 } else { payoff };
            tally.served += if in_goal { payoff } else { 0.0 };
            match end {
                End::Finished if in_goal => tally.in_goal += 1,
                End::Finished => tally.late += 1,
                End::TurnedBack => tally.turned_back += 1,
                End::Errored => tally.errored += 1,
                End::Left => tally.left += 1,
            }
        });
        if end != End::Finished {
            return;
        }
        self.now(now, |inner| {
            inner.times.saturating_record(took.0.max(32));
            let Some(second) = inner.seconds.back_mut() else { return };
            let bucket = bucket(took);
            match second.times.binary_search_by_key(&bucket, |(b, _)| *b) {
                Ok(place) => second.times[place].1 += 1,
                Err(place) => second.times.insert(place, (bucket, 1)),
            }
        });
    }

    pub fn outcome(&self, now: Timestamp, outcome: Outcome) {
        self.now(now, |inner| {
            inner.outcomes[place(outcome)] += 1;
            if let Some(second) = inner.seconds.back_mut() {
                second.outcomes[place(outcome)] += 1;
            }
        });
    }

    pub fn connected(&self, now: Timestamp) {
        self.now(now, |inner| {
            inner.connections += 1;
            inner.seconds.back_mut().into_iter().for_each(|second| second.connections += 1);
        });
    }

    pub fn probed(&self, now: Timestamp) {
        self.now(now, |inner| {
            inner.probes += 1;
            inner.seconds.back_mut().into_iter().for_each(|second| second.probes += 1);
        });
    }

    pub fn listed(&self, now: Timestamp) {
        self.now(now, |inner| {
            inner.lists += 1;
            inner.seconds.back_mut().into_iter().for_each(|second| second.lists += 1);
        });
    }

    /// All since the start, and the whole seconds after that one. Times in microseconds: of a second as pairs of a
    /// bucket's beginning and how many are in it.
    pub fn told(&self, now: Timestamp, after: u64) -> Value {
        let inner = self.inner.borrow();
        let by = |tallies: &[Tally]| -> Value {
            let some = inner.names.iter().zip(tallies).filter(|(_, tally)| **tally != Tally::default());
            some.map(|(name, tally)| (name.clone(), tally.told())).collect::<serde_json::Map<_, _>>().into()
        };
        let outcomes = |outcomes: &Outcomes| -> Value {
            let some = WORDS.iter().zip(outcomes).filter(|(_, count)| **count > 0);
            some.map(|(word, count)| ((*word).to_owned(), Value::from(*count)))
                .collect::<serde_json::Map<_, _>>()
                .into()
        };
        let over = now.0 / 1_000_000;
        let seconds = inner.seconds.iter().filter(|second| second.at > after && second.at < over).map(|s| {
            let times: Vec<_> = s.times.iter().map(|(bucket, count)| (begins(*bucket), *count)).collect();
            json!({"at": s.at, "profiles": by(&s.by), "outcomes": outcomes(&s.outcomes), "times": times,
                "connections": s.connections, "probes": s.probes, "lists": s.lists})
        });
        let all = inner.total.iter().fold(Tally::default(), |mut all, tally| {
            all.add(tally);
            all
        });
        let quantile = |q| inner.times.value_at_quantile(q);
        json!({
            "total": {"profiles": by(&inner.total), "all": all.told(), "outcomes": outcomes(&inner.outcomes),
                "connections": inner.connections, "probes": inner.probes, "lists": inner.lists,
                "times": {"p50": quantile(0.5), "p90": quantile(0.9), "p99": quantile(0.99), "p999": quantile(0.999)}},
            "seconds": seconds.collect::<Vec<_>>(),
        })
    }
}

/// What is counted of one command.
pub struct Account {
    counts: Rc<Counts>,
    name: String,
    payoff: f64,
    goal: Micros,
    once: bool,
    launched: u32,
    out: u32,
    /// A launch of it has ended in a way that does not prove that it never ran.
    ran: bool,
    over: bool,
}

impl Account {
    pub fn open(counts: Rc<Counts>, now: Timestamp, name: &str, profile: &Profile) -> Account {
        counts.taken(now, name);
        let (payoff, goal, once) =
            (profile.payoff, profile.goal_time, profile.idempotency == Idempotency::Once);
        let (launched, out, ran, over) = Default::default();
        Account { counts, name: name.to_owned(), payoff, goal, once, launched, out, ran, over }
    }

    /// A launch of it goes out.
    pub fn launched(&mut self, now: Timestamp) {
        let twice = self.once && (self.ran || self.out > 0);
        self.counts.launched(now, &self.name, self.launched > 0, twice);
        (self.launched, self.out) = (self.launched + 1, self.out + 1);
    }

    /// A launch of it has ended; with what that proves of whether it ran.
    pub fn outcome(&mut self, proves_not_run: bool) {
        self.out = self.out.saturating_sub(1);
        self.ran |= !proves_not_run;
    }

    /// Its client has its answer, or has gone. What is said after the first time counts for nothing.
    pub fn over(&mut self, now: Timestamp, arrived: Timestamp, end: End) {
        if !std::mem::replace(&mut self.over, true) {
            self.counts.ended(now, &self.name, (self.payoff, self.goal), arrived, end);
        }
    }
}

impl Inner {
    fn place(&mut self, profile: &str) -> usize {
        if let Some(place) = self.names.iter().position(|name| name == profile) {
            return place;
        }
        let name = if self.names.len() < PROFILES { profile } else { OTHERS };
        if let Some(place) = self.names.iter().position(|known| known == name) {
            return place;
        }
        self.names.push(name.to_owned());
        self.total.push(Tally::default());
        self.names.len() - 1
    }
}

/// What the process takes of its machine: memory in kB, open descriptors, CPU time in milliseconds since its start.
/// What cannot be read is 0.
pub fn taken() -> (u64, usize, u64) {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
    let memory = memory.trim().trim_end_matches(" kB").parse().unwrap_or(0);
    let descriptors = std::fs::read_dir("/proc/self/fd").map_or(0, |dir| dir.count().saturating_sub(1));
    // Nanoseconds on a CPU: one thread does all the work.
    let schedstat = std::fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    let cpu: u64 = schedstat.split(' ').next().and_then(|ns| ns.parse().ok()).unwrap_or(0);
    (memory, descriptors, cpu / 1_000_000)
}

#[cfg(test)]
mod tests {
    use super::*;
    use yarrowfront::settings::DedupScope;

    /// A second is told once it is over and only once, its counts sum to the total, and old ones are forgotten: a rolling
    /// change that read a half second, or one twice, would compare what was never there.
    #[test]
    fn seconds_add_up() {
        let counts = Counts::new(5);
        for second in 0..9u64 {
            let now = Timestamp(second * 1_000_000 + 1000);
            counts.taken(now, "pay");
            counts.launched(now, "pay", false, false);
            counts.launched(now, "pay", true, second == 3);
            counts.outcome(now, Outcome::Finished);
            let end = if second % 2 == 0 { End::Finished } else { End::TurnedBack };
            counts.ended(now + Micros::from_millis(40), "pay", (2.0, Micros::from_millis(50)), now, end);
        }
        let told = counts.told(Timestamp(8_500_000), 0);
        let seconds = told["seconds"].as_array().expect("seconds");
        assert_eq!(seconds.iter().map(|s| s["at"].as_u64()).collect::<Vec<_>>(), [4, 5, 6, 7].map(Some));
        assert_eq!(counts.told(Timestamp(9_000_000), 6)["seconds"].as_array().map(Vec::len), Some(2));
        let all = &told["total"]["all"];
        assert_eq!([&all["taken"], &all["in_goal"], &all["turned_back"]], [&json!(9), &json!(5), &json!(4)]);
        assert_eq!([&all["asked"], &all["served"]], [&json!(18.0), &json!(10.0)]);
        assert_eq!([&all["extra"], &all["twice"]], [&json!(9), &json!(1)]);
        assert_eq!(seconds[0]["times"][0][1], 1);
        assert!(
            seconds[0]["times"][0][0].as_u64().is_some_and(|at| (36_000..=40_000).contains(&at)),
            "{told}"
        );
        assert_eq!(seconds[1]["times"], json!([]));
    }

    /// What may run once and is launched again after it may have run is a broken rule, which stops a rolling change at
    /// once; a launch that never ran, and one of what may run often, is none.
    #[test]
    fn second_runs() {
        let cases = [
            (Idempotency::Once, Some(true), 0),
            (Idempotency::Once, Some(false), 1),
            (Idempotency::Once, None, 1),
            (Idempotency::Repeatable, Some(false), 0),
            (Idempotency::ByKey, None, 0),
        ];
        for (effect, proves_not_run, twice) in cases {
            let span = Micros::from_millis(500);
            let (goal_time, time_limit, memory_span) = (span, span, span);
            let profile = Profile {
                goal_time,
                time_limit,
                idempotency: effect,
                dedup_scope: DedupScope::All,
                dedup_window: memory_span,
                payoff: 1.0,
            };
            let counts = Rc::new(Counts::new(10));
            let mut account = Account::open(counts.clone(), Timestamp(1), "p", &profile);
            account.launched(Timestamp(1));
            if let Some(proves) = proves_not_run {
                account.outcome(proves);
            }
            account.launched(Timestamp(1));
            account.over(Timestamp(2), Timestamp(1), End::Errored);
            account.over(Timestamp(2), Timestamp(1), End::Left);
            let all = counts.told(Timestamp(1), 0)["total"]["all"].clone();
            assert_eq!([&all["twice"], &all["left"]], [&json!(twice), &json!(0)], "{effect:?}");
        }
    }

    /// What a command's counts take: `cargo test --release -p yarrowfront-node --lib -- --ignored --nocapture`.
    #[test]
    #[ignore = "measures"]
    fn what_it_costs() {
        let (goal_time, time_limit, memory_span) =
            (Micros::from_millis(50), Micros::from_millis(500), Micros(0));
        let (effect, among) = (Idempotency::Repeatable, DedupScope::All);
        let profile = Profile {
            goal_time,
            time_limit,
            idempotency: effect,
            dedup_scope: among,
            dedup_window: memory_span,
            payoff: 1.0,
        };
        let (counts, many) = (Rc::new(Counts::new(300)), 1_000_000u64);
        let start = std::time::Instant::now();
        for number in 0..many {
            // Two thousand commands a second, of four profiles.
            let now = Timestamp(number * 500);
            let name = ["list", "book", "pay", "count"][number as usize % 4];
            let mut account = Account::open(counts.clone(), now, name, &profile);
            account.launched(now);
            counts.outcome(now, Outcome::Finished);
            account.outcome(false);
            account.over(now + Micros(number % 40_000), now, End::Finished);
        }
        println!("{:.0} ns a command", start.elapsed().as_nanos() as f64 / many as f64);
    }

    /// Names by the thousand, and times of any length, take no more room than stated.
    #[test]
    fn bounded() {
        let counts = Counts::new(3);
        for name in 0..1000u64 {
            let now = Timestamp(name * 1000);
            counts.taken(now, &format!("p{name}"));
            counts.ended(Timestamp(name * 1_000_000_000), "x", (1.0, Micros(1)), Timestamp(0), End::Finished);
        }
        let profiles = counts.told(Timestamp(0), 0)["total"]["profiles"].clone();
        assert_eq!(profiles.as_object().map(serde_json::Map::len), Some(PROFILES + 1));
        assert_eq!(bucket(Micros(u64::MAX / 2)) as usize, BUCKETS - 1);
        assert_eq!((bucket(Micros(0)), begins(0), begins(8)), (0, 32, 64));
    }
}
