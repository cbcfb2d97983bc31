//! Schedules of faults: generated from a seed, written as text, parsed again, and shrunk to the faults that a failure needs.

use crate::{Impairment, Links};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// One fault, or the end of one.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Nothing passes between these processes and all others.
    Partition(Vec<String>),
    /// Nothing passes from the first process to the second.
    BlockOneWay(String, String),
    /// This percentage of the datagrams to and from the process is lost.
    Loss(String, u8),
    /// All traffic to and from the process is delayed by this number of milliseconds, datagrams by a random share of it
    /// more.
    Latency(String, u64),
    /// Removes the impairments of all links.
    Heal,
    /// SIGKILL.
    Kill(String),
    /// SIGTERM.
    Terminate(String),
    /// SIGSTOP.
    Pause(String),
    /// SIGCONT.
    Resume(String),
    /// Starts the process again, without any state of the former one.
    Start(String),
}

/// A fault and its time in milliseconds from the start of the test.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    pub at_ms: u64,
    pub fault: Fault,
}

/// Faults in the order of their times.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Schedule(pub Vec<ScheduledFault>);

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Fault::Partition(names) => write!(f, "apart {}", names.join(" ")),
            Fault::BlockOneWay(from, to) => write!(f, "one-way {from} {to}"),
            Fault::Loss(name, percent) => write!(f, "lossy {name} {percent}"),
            Fault::Latency(name, millis) => write!(f, "late {name} {millis}"),
            Fault::Heal => f.write_str("heal"),
            Fault::Kill(name) => write!(f, "kill {name}"),
            Fault::Terminate(name) => write!(f, "term {name}"),
            Fault::Pause(name) => write!(f, "stop {name}"),
            Fault::Resume(name) => write!(f, "cont {name}"),
            Fault::Start(name) => write!(f, "start {name}"),
        }
    }
}

impl Fault {
    /// The names of the processes that it affects.
    pub fn targets(&self) -> Vec<&String> {
        match self {
            Fault::Partition(names) => names.iter().collect(),
            Fault::BlockOneWay(from, to) => vec![from, to],
            Fault::Loss(name, _) | Fault::Latency(name, _) => vec![name],
            Fault::Heal => Vec::new(),
            Fault::Kill(name)
            | Fault::Terminate(name)
            | Fault::Pause(name)
            | Fault::Resume(name)
            | Fault::Start(name) => {
                vec![name]
            }
        }
    }

    /// Whether it affects a process itself rather than links.
    pub fn is_process_fault(&self) -> bool {
        matches!(
            self,
            Fault::Kill(_) | Fault::Terminate(_) | Fault::Pause(_) | Fault::Resume(_) | Fault::Start(_)
        )
    }
}

/// One fault per line: its time, its kind, its targets.
impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.iter().try_for_each(|scheduled| writeln!(f, "{} {}", scheduled.at_ms, scheduled.fault))
    }
}

impl FromStr for Schedule {
    type Err = String;

    fn from_str(text: &str) -> Result<Schedule, String> {
        let lines = text.lines().map(str::trim).enumerate().filter(|(_, line)| !line.is_empty());
        let parse_line = |(number, line): (usize, &str)| {
            let error = || format!("line {}: not a scheduled fault: {line:?}", number + 1);
            let words: Vec<&str> = line.split_whitespace().collect();
            let (at, rest) = words.split_first().ok_or_else(error)?;
            let at_ms = at.parse().map_err(|_| error())?;
            let owned = |name: &&str| (*name).to_owned();
            let fault = match rest {
                ["apart", names @ ..] if !names.is_empty() => {
                    Fault::Partition(names.iter().map(owned).collect())
                }
                ["one-way", from, to] => Fault::BlockOneWay(owned(from), owned(to)),
                ["lossy", name, percent] => Fault::Loss(owned(name), percent.parse().map_err(|_| error())?),
                ["late", name, millis] => Fault::Latency(owned(name), millis.parse().map_err(|_| error())?),
                ["heal"] => Fault::Heal,
                ["kill", name] => Fault::Kill(owned(name)),
                ["term", name] => Fault::Terminate(owned(name)),
                ["stop", name] => Fault::Pause(owned(name)),
                ["cont", name] => Fault::Resume(owned(name)),
                ["start", name] => Fault::Start(owned(name)),
                _ => return Err(error()),
            };
            Ok(ScheduledFault { at_ms, fault })
        };
        lines.map(parse_line).collect::<Result<_, _>>().map(Schedule)
    }
}

impl Schedule {
    /// Generates about `fault_count` faults among these processes within `span` from the seed. At the end all paused
    /// processes are resumed, all killed ones are started again, and all links are healed.
    pub fn generate(seed: u64, names: &[String], fault_count: usize, span: Duration) -> Schedule {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let millis = span.as_millis() as u64;
        let mut times: Vec<u64> = (0..fault_count).map(|_| rng.random_range(0..millis)).collect();
        times.sort_unstable();
        let (mut faults, mut killed, mut paused) = (Vec::new(), Vec::new(), Vec::<String>::new());
        for at_ms in times {
            let running: Vec<&String> =
                names.iter().filter(|n| !killed.contains(*n) && !paused.contains(*n)).collect();
            let Some(target) = running.choose(&mut rng).map(|name| (*name).clone()) else { continue };
            let other = names.choose(&mut rng).cloned().unwrap_or_default();
            let fault = match rng.random_range(0..9) {
                0 => {
                    Fault::Partition(names.iter().filter(|_| rng.random_range(0..3) == 0).cloned().collect())
                }
                1 if target != other => Fault::BlockOneWay(target, other),
                2 => Fault::Loss(target, 30),
                3 => Fault::Latency(target, 40),
                // A majority of the processes stays running: the tests judge how these handle the loss of the others.
                4 if running.len() * 2 > names.len() + 1 => {
                    killed.push(target.clone());
                    Fault::Kill(target)
                }
                5 if running.len() * 2 > names.len() + 1 => {
                    paused.push(target.clone());
                    Fault::Pause(target)
                }
                6 if !killed.is_empty() => Fault::Start(killed.remove(0)),
                7 if !paused.is_empty() => Fault::Resume(paused.remove(0)),
                _ => Fault::Heal,
            };
            if fault != Fault::Partition(Vec::new()) {
                faults.push(ScheduledFault { at_ms, fault });
            }
        }
        let recovery = paused.into_iter().map(Fault::Resume).chain(killed.into_iter().map(Fault::Start));
        faults.extend(recovery.chain([Fault::Heal]).map(|fault| ScheduledFault { at_ms: millis, fault }));
        Schedule(faults)
    }

    /// Removes faults for as long as the rest still fails: in groups that halve in size, down to single faults.
    pub fn shrink(&self, mut fails: impl FnMut(&Schedule) -> bool) -> Schedule {
        let mut faults = self.0.clone();
        let mut group_size = faults.len().div_ceil(2);
        while group_size > 0 {
            let mut from = 0;
            while from < faults.len() {
                let mut fewer = faults.clone();
                fewer.drain(from..(from + group_size).min(faults.len()));
                match fails(&Schedule(fewer.clone())) {
                    true => faults = fewer,
                    false => from += group_size,
                }
            }
            group_size /= 2;
        }
        Schedule(faults)
    }
}

/// Applies a fault to the links between the named processes. Faults of the processes themselves are ignored: the owner of
/// the processes applies those.
pub fn apply_to_links(fault: &Fault, links: &Links, process_names: &[String]) {
    let blocked = Impairment { blocked: true, ..Impairment::default() };
    match fault {
        Fault::Partition(group) => {
            for one in process_names.iter().filter(|name| group.contains(name)) {
                process_names
                    .iter()
                    .filter(|other| !group.contains(other))
                    .for_each(|other| links.set_impairment_both_ways(one, other, blocked));
            }
        }
        Fault::BlockOneWay(from, to) => links.set_impairment(from, to, blocked),
        Fault::Loss(target, percent) => {
            let impairment = Impairment { loss_percent: *percent, ..Impairment::default() };
            process_names
                .iter()
                .filter(|other| *other != target)
                .for_each(|other| links.set_impairment_both_ways(target, other, impairment));
        }
        Fault::Latency(target, millis) => {
            let latency = Duration::from_millis(*millis);
            let impairment = Impairment { latency, jitter: latency, ..Impairment::default() };
            process_names
                .iter()
                .filter(|other| *other != target)
                .for_each(|other| links.set_impairment_both_ways(target, other, impairment));
        }
        Fault::Heal => links.heal(),
        _ => {}
    }
}
