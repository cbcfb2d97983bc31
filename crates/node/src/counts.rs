//! Statistics of this node's work in intervals of one second, by which a rollout compares nodes with each
//! other. Kept only if a rollout file is configured. Their size is bounded by the number of seconds kept and
//! by the maximum number of profiles.

use hdrhistogram::Histogram;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use yarrowfront::command::Outcome;
use yarrowfront::settings::{Idempotency, Profile};
use yarrowfront::times::{Micros, Timestamp};

/// The version of the statistics' format and of the rollout requests.
pub const VERSION: u32 = 1;
/// The number of profiles that are counted by name; all others are counted together as `OTHERS`.
const MAX_PROFILES: usize = 32;
const OTHERS: &str = "(others)";
/// Latencies are kept per second in logarithmic buckets, eight per doubling, from 32 us to two minutes. The
/// buckets of several nodes can be added up, and a quantile is accurate to a tenth.
const BUCKETS_PER_DOUBLING: f64 = 8.0;
const FIRST_BUCKET_US: f64 = 32.0;
const BUCKETS: usize = 176;

/// How a command ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandEnd {
    Finished,
    Rejected,
    Failed,
    /// The client disconnected before it had an answer.
    ClientGone,
}

/// The counters of one profile, or of all profiles.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ProfileCounts {
    accepted: u32,
    within_goal: u32,
    late: u32,
    rejected: u32,
    failed: u32,
    client_gone: u32,
    /// The payoff of all commands that have ended, and of those that were answered within the goal time.
    payoff_requested: f64,
    payoff_served: f64,
    /// All launches, those beyond each command's first, and those of once-only commands after a launch that
    /// may have run.
    launches: u32,
    extra_launches: u32,
    possible_second_runs: u32,
}

impl ProfileCounts {
    fn add(&mut self, other: &ProfileCounts) {
        self.accepted += other.accepted;
        self.within_goal += other.within_goal;
        self.late += other.late;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.client_gone += other.client_gone;
        (self.payoff_requested, self.payoff_served) =
            (self.payoff_requested + other.payoff_requested, self.payoff_served + other.payoff_served);
        self.launches += other.launches;
        self.extra_launches += other.extra_launches;
        self.possible_second_runs += other.possible_second_runs;
    }

    fn as_json(&self) -> Value {
        json!({"taken": self.accepted, "in_goal": self.within_goal, "late": self.late, "turned_back": self.rejected,
            "errored": self.failed, "left": self.client_gone, "asked": self.payoff_requested, "served": self.payoff_served,
            "launches": self.launches, "extra": self.extra_launches, "twice": self.possible_second_runs})
    }
}

/// The number of launches by outcome, in the order of `OUTCOME_NAMES`.
type Outcomes = [u32; 8];
const OUTCOME_NAMES: [&str; 8] =
    ["finished", "errored", "full", "timed_out", "unreachable", "broken", "cancelled", "unsent"];

fn outcome_index(outcome: Outcome) -> usize {
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
    /// In seconds of Unix time.
    unix_s: u64,
    by_profile: Vec<ProfileCounts>,
    outcomes: Outcomes,
    connections: u32,
    probes: u32,
    list_updates: u32,
    /// Latencies of the finished commands, as pairs of bucket and count, sorted by bucket.
    latencies: Vec<(u8, u32)>,
}

struct Inner {
    profile_names: Vec<String>,
    seconds: VecDeque<Second>,
    totals: Vec<ProfileCounts>,
    outcomes: Outcomes,
    connections: u64,
    probes: u64,
    list_updates: u64,
    /// Latencies since the start in microseconds; histograms of several nodes can be merged.
    latencies: Histogram<u32>,
}

/// The statistics of this node.
pub struct Counts {
    max_seconds: usize,
    inner: RefCell<Inner>,
}

fn bucket(latency: Micros) -> u8 {
    let steps = (latency.as_f64() / FIRST_BUCKET_US).max(1.0).log2() * BUCKETS_PER_DOUBLING;
    steps.min((BUCKETS - 1) as f64) as u8
}

/// The lower bound of a bucket in microseconds.
fn bucket_start_us(bucket: u8) -> u64 {
    (FIRST_BUCKET_US * (f64::from(bucket) / BUCKETS_PER_DOUBLING).exp2()) as u64
}

impl Counts {
    /// Keeps the statistics of this many seconds.
    pub fn new(max_seconds: usize) -> Counts {
        let latencies =
            Histogram::new_with_bounds(32, 120_000_000, 2).unwrap_or_else(|_| unreachable!("good bounds"));
        let inner = Inner {
            profile_names: Vec::new(),
            seconds: VecDeque::new(),
            totals: Vec::new(),
            outcomes: Outcomes::default(),
            connections: 0,
            probes: 0,
            list_updates: 0,
            latencies,
        };
        Counts { max_seconds, inner: RefCell::new(inner) }
    }

    /// Calls a function with the inner state, which then has an entry for the present second.
    fn with_second<T>(&self, now: Timestamp, call: impl FnOnce(&mut Inner) -> T) -> T {
        let inner = &mut *self.inner.borrow_mut();
        let unix_s = now.0 / 1_000_000;
        if inner.seconds.back().is_none_or(|last| last.unix_s < unix_s) {
            if inner.seconds.len() >= self.max_seconds {
                inner.seconds.pop_front();
            }
            inner.seconds.push_back(Second { unix_s, ..Second::default() });
        }
        call(inner)
    }

    fn update_profile(&self, now: Timestamp, profile: &str, change: impl Fn(&mut ProfileCounts)) {
        self.with_second(now, |inner| {
            let index = inner.profile_index(profile);
            change(&mut inner.totals[index]);
            if let Some(second) = inner.seconds.back_mut() {
                if second.by_profile.len() <= index {
                    second.by_profile.resize(index + 1, ProfileCounts::default());
                }
                change(&mut second.by_profile[index]);
            }
        });
    }

    fn count_accepted(&self, now: Timestamp, profile: &str) {
        self.update_profile(now, profile, |entry| entry.accepted += 1);
    }

    /// Counts a launch; `is_extra` if it is not the first of its command, `may_run_twice` if the command is
    /// once-only and may have run already.
    fn count_launch(&self, now: Timestamp, profile: &str, is_extra: bool, may_run_twice: bool) {
        self.update_profile(now, profile, |entry| {
            entry.launches += 1;
            entry.extra_launches += u32::from(is_extra);
            entry.possible_second_runs += u32::from(may_run_twice);
        });
    }

    /// Counts a command that has ended, with or without an answer.
    fn count_end(
        &self,
        now: Timestamp,
        name: &str,
        (payoff, goal_time): (f64, Micros),
        arrived_at: Timestamp,
        end: CommandEnd,
    ) {
        let latency = now.since(arrived_at);
        self.update_profile(now, name, |entry| {
            let within_goal = end == CommandEnd::Finished && latency <= goal_time;
            // A client that disconnected early requested nothing that could still be served.
            entry.payoff_requested += if end == CommandEnd::ClientGone { 0.0 } else { payoff };
            entry.payoff_served += if within_goal { payoff } else { 0.0 };
            match end {
                CommandEnd::Finished if within_goal => entry.within_goal += 1,
                CommandEnd::Finished => entry.late += 1,
                CommandEnd::Rejected => entry.rejected += 1,
                CommandEnd::Failed => entry.failed += 1,
                CommandEnd::ClientGone => entry.client_gone += 1,
            }
        });
        if end != CommandEnd::Finished {
            return;
        }
        self.with_second(now, |inner| {
            inner.latencies.saturating_record(latency.0.max(32));
            let Some(second) = inner.seconds.back_mut() else { return };
            let bucket = bucket(latency);
            match second.latencies.binary_search_by_key(&bucket, |(b, _)| *b) {
                Ok(index) => second.latencies[index].1 += 1,
                Err(index) => second.latencies.insert(index, (bucket, 1)),
            }
        });
    }

    /// Counts a launch that has ended.
    pub fn count_outcome(&self, now: Timestamp, outcome: Outcome) {
        self.with_second(now, |inner| {
            inner.outcomes[outcome_index(outcome)] += 1;
            if let Some(second) = inner.seconds.back_mut() {
                second.outcomes[outcome_index(outcome)] += 1;
            }
        });
    }

    /// Counts a connection that was accepted.
    pub fn count_connection(&self, now: Timestamp) {
        self.with_second(now, |inner| {
            inner.connections += 1;
            inner.seconds.back_mut().into_iter().for_each(|second| second.connections += 1);
        });
    }

    /// Counts a probe.
    pub fn count_probe(&self, now: Timestamp) {
        self.with_second(now, |inner| {
            inner.probes += 1;
            inner.seconds.back_mut().into_iter().for_each(|second| second.probes += 1);
        });
    }

    /// Counts an update of the list of backends.
    pub fn count_list_update(&self, now: Timestamp) {
        self.with_second(now, |inner| {
            inner.list_updates += 1;
            inner.seconds.back_mut().into_iter().for_each(|second| second.list_updates += 1);
        });
    }

    /// Totals since the start, and every complete second after the given one. Latencies are in microseconds;
    /// those of a second are pairs of a bucket's lower bound and its count.
    pub fn to_json(&self, now: Timestamp, after: u64) -> Value {
        let inner = self.inner.borrow();
        let by_profile = |tallies: &[ProfileCounts]| -> Value {
            let nonzero = inner
                .profile_names
                .iter()
                .zip(tallies)
                .filter(|(_, entry)| **entry != ProfileCounts::default());
            nonzero
                .map(|(name, entry)| (name.clone(), entry.as_json()))
                .collect::<serde_json::Map<_, _>>()
                .into()
        };
        let outcomes = |outcomes: &Outcomes| -> Value {
            let nonzero = OUTCOME_NAMES.iter().zip(outcomes).filter(|(_, count)| **count > 0);
            nonzero
                .map(|(word, count)| ((*word).to_owned(), Value::from(*count)))
                .collect::<serde_json::Map<_, _>>()
                .into()
        };
        let current_second = now.0 / 1_000_000;
        let seconds = inner.seconds.iter().filter(|second| second.unix_s > after && second.unix_s < current_second).map(|s| {
            let latencies: Vec<_> = s.latencies.iter().map(|(bucket, count)| (bucket_start_us(*bucket), *count)).collect();
            json!({"at": s.unix_s, "profiles": by_profile(&s.by_profile), "outcomes": outcomes(&s.outcomes), "times": latencies,
                "connections": s.connections, "probes": s.probes, "lists": s.list_updates})
        });
        let all = inner.totals.iter().fold(ProfileCounts::default(), |mut all, entry| {
            all.add(entry);
            all
        });
        let quantile = |q| inner.latencies.value_at_quantile(q);
        json!({
            "total": {"profiles": by_profile(&inner.totals), "all": all.as_json(), "outcomes": outcomes(&inner.outcomes),
                "connections": inner.connections, "probes": inner.probes, "lists": inner.list_updates,
                "times": {"p50": quantile(0.5), "p90": quantile(0.9), "p99": quantile(0.99), "p999": quantile(0.999)}},
            "seconds": seconds.collect::<Vec<_>>(),
        })
    }
}

/// Records the statistics of one command.
pub struct CommandRecorder {
    counts: Rc<Counts>,
    name: String,
    payoff: f64,
    goal_time: Micros,
    is_once_only: bool,
    launch_count: u32,
    in_flight: u32,
    /// A launch has ended whose outcome does not prove that it never ran.
    may_have_run: bool,
    has_ended: bool,
}

impl CommandRecorder {
    /// Counts an accepted command and starts recording it.
    pub fn start(counts: Rc<Counts>, now: Timestamp, name: &str, profile: &Profile) -> CommandRecorder {
        counts.count_accepted(now, name);
        let (payoff, goal_time, is_once_only) =
            (profile.payoff, profile.goal_time, profile.idempotency == Idempotency::Once);
        let (launch_count, in_flight, may_have_run, has_ended) = Default::default();
        CommandRecorder {
            counts,
            name: name.to_owned(),
            payoff,
            goal_time,
            is_once_only,
            launch_count,
            in_flight,
            may_have_run,
            has_ended,
        }
    }

    /// Counts a launch that is sent.
    pub fn record_launch(&mut self, now: Timestamp) {
        let possible_second_runs = self.is_once_only && (self.may_have_run || self.in_flight > 0);
        self.counts.count_launch(now, &self.name, self.launch_count > 0, possible_second_runs);
        (self.launch_count, self.in_flight) = (self.launch_count + 1, self.in_flight + 1);
    }

    /// Records the end of a launch and whether it proves that the backend did not run the command.
    pub fn record_outcome(&mut self, proves_not_run: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.may_have_run |= !proves_not_run;
    }

    /// Counts the end of the command: the client has its answer or has disconnected. Only the first call
    /// counts.
    pub fn record_end(&mut self, now: Timestamp, arrived_at: Timestamp, end: CommandEnd) {
        if !std::mem::replace(&mut self.has_ended, true) {
            self.counts.count_end(now, &self.name, (self.payoff, self.goal_time), arrived_at, end);
        }
    }
}

impl Inner {
    fn profile_index(&mut self, profile: &str) -> usize {
        if let Some(index) = self.profile_names.iter().position(|name| name == profile) {
            return index;
        }
        let name = if self.profile_names.len() < MAX_PROFILES { profile } else { OTHERS };
        if let Some(index) = self.profile_names.iter().position(|known| known == name) {
            return index;
        }
        self.profile_names.push(name.to_owned());
        self.totals.push(ProfileCounts::default());
        self.profile_names.len() - 1
    }
}

/// The resident memory in kB, the number of open file descriptors, and the CPU time in milliseconds since
/// the start. A value that cannot be read is 0.
pub fn process_usage() -> (u64, usize, u64) {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
    let memory = memory.trim().trim_end_matches(" kB").parse().unwrap_or(0);
    let descriptors = std::fs::read_dir("/proc/self/fd").map_or(0, |dir| dir.count().saturating_sub(1));
    // The time on a CPU in nanoseconds. The file covers the main thread, which does all the work.
    let schedstat = std::fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    let cpu: u64 = schedstat.split(' ').next().and_then(|ns| ns.parse().ok()).unwrap_or(0);
    (memory, descriptors, cpu / 1_000_000)
}

#[cfg(test)]
mod tests {
    use super::*;
    use yarrowfront::settings::DedupScope;

    /// Each second is reported once, after it is complete; its counters add up to the totals, and old
    /// seconds are dropped. A rollout that read an incomplete second, or one second twice, would compare
    /// wrong figures.
    #[test]
    fn seconds_add_up_to_the_totals() {
        let counts = Counts::new(5);
        for second in 0..9u64 {
            let now = Timestamp(second * 1_000_000 + 1000);
            counts.count_accepted(now, "pay");
            counts.count_launch(now, "pay", false, false);
            counts.count_launch(now, "pay", true, second == 3);
            counts.count_outcome(now, Outcome::Finished);
            let end = if second % 2 == 0 { CommandEnd::Finished } else { CommandEnd::Rejected };
            counts.count_end(now + Micros::from_millis(40), "pay", (2.0, Micros::from_millis(50)), now, end);
        }
        let json = counts.to_json(Timestamp(8_500_000), 0);
        let seconds = json["seconds"].as_array().expect("seconds");
        assert_eq!(seconds.iter().map(|s| s["at"].as_u64()).collect::<Vec<_>>(), [4, 5, 6, 7].map(Some));
        assert_eq!(counts.to_json(Timestamp(9_000_000), 6)["seconds"].as_array().map(Vec::len), Some(2));
        let all = &json["total"]["all"];
        assert_eq!([&all["taken"], &all["in_goal"], &all["turned_back"]], [&json!(9), &json!(5), &json!(4)]);
        assert_eq!([&all["asked"], &all["served"]], [&json!(18.0), &json!(10.0)]);
        assert_eq!([&all["extra"], &all["twice"]], [&json!(9), &json!(1)]);
        assert_eq!(seconds[0]["times"][0][1], 1);
        assert!(
            seconds[0]["times"][0][0].as_u64().is_some_and(|start| (36_000..=40_000).contains(&start)),
            "{json}"
        );
        assert_eq!(seconds[1]["times"], json!([]));
    }

    /// A once-only command that is launched again after it may have run violates a guarantee, which stops a
    /// rollout at once. A launch that never ran, or a second launch of a repeatable command, must not count
    /// as a violation.
    #[test]
    fn possible_second_runs_of_once_only_commands_are_counted() {
        let cases = [
            (Idempotency::Once, Some(true), 0),
            (Idempotency::Once, Some(false), 1),
            (Idempotency::Once, None, 1),
            (Idempotency::Repeatable, Some(false), 0),
            (Idempotency::ByKey, None, 0),
        ];
        for (idempotency, proves_not_run, possible_second_runs) in cases {
            let span = Micros::from_millis(500);
            let (goal_time, time_limit, dedup_window) = (span, span, span);
            let profile = Profile {
                goal_time,
                time_limit,
                idempotency,
                dedup_scope: DedupScope::All,
                dedup_window,
                payoff: 1.0,
            };
            let counts = Rc::new(Counts::new(10));
            let mut recorder = CommandRecorder::start(counts.clone(), Timestamp(1), "p", &profile);
            recorder.record_launch(Timestamp(1));
            if let Some(proves) = proves_not_run {
                recorder.record_outcome(proves);
            }
            recorder.record_launch(Timestamp(1));
            recorder.record_end(Timestamp(2), Timestamp(1), CommandEnd::Failed);
            recorder.record_end(Timestamp(2), Timestamp(1), CommandEnd::ClientGone);
            let all = counts.to_json(Timestamp(1), 0)["total"]["all"].clone();
            assert_eq!(
                [&all["twice"], &all["left"]],
                [&json!(possible_second_runs), &json!(0)],
                "{idempotency:?}"
            );
        }
    }

    /// Measures the cost of the statistics per command. Run it with
    /// `cargo test --release -p yarrowfront-node --lib -- --ignored --nocapture`.
    #[test]
    #[ignore = "measures"]
    fn cost_of_the_statistics_per_command() {
        let (goal_time, time_limit, dedup_window) =
            (Micros::from_millis(50), Micros::from_millis(500), Micros(0));
        let (idempotency, dedup_scope) = (Idempotency::Repeatable, DedupScope::All);
        let profile = Profile { goal_time, time_limit, idempotency, dedup_scope, dedup_window, payoff: 1.0 };
        let (counts, many) = (Rc::new(Counts::new(300)), 1_000_000u64);
        let start = std::time::Instant::now();
        for number in 0..many {
            // Two thousand commands per second with four profiles.
            let now = Timestamp(number * 500);
            let name = ["list", "book", "pay", "count"][number as usize % 4];
            let mut recorder = CommandRecorder::start(counts.clone(), now, name, &profile);
            recorder.record_launch(now);
            counts.count_outcome(now, Outcome::Finished);
            recorder.record_outcome(false);
            recorder.record_end(now + Micros(number % 40_000), now, CommandEnd::Finished);
        }
        println!("{:.0} ns a command", start.elapsed().as_nanos() as f64 / many as f64);
    }

    /// Neither thousands of profile names nor extreme latencies may take more memory than the documented
    /// bounds.
    #[test]
    fn memory_is_bounded() {
        let counts = Counts::new(3);
        for name in 0..1000u64 {
            let now = Timestamp(name * 1000);
            counts.count_accepted(now, &format!("p{name}"));
            counts.count_end(
                Timestamp(name * 1_000_000_000),
                "x",
                (1.0, Micros(1)),
                Timestamp(0),
                CommandEnd::Finished,
            );
        }
        let profiles = counts.to_json(Timestamp(0), 0)["total"]["profiles"].clone();
        assert_eq!(profiles.as_object().map(serde_json::Map::len), Some(MAX_PROFILES + 1));
        assert_eq!(bucket(Micros(u64::MAX / 2)) as usize, BUCKETS - 1);
        assert_eq!((bucket(Micros(0)), bucket_start_us(0), bucket_start_us(8)), (0, 32, 64));
    }
}
