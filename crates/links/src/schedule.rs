//! Faults in time: a schedule is drawn from a seed, written as text, read again, and shrunk to what it takes to fail.

use crate::{Impairment, Links};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// One thing that happens.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Nothing passes between these and the others, or only nothing from the first to the second.
    Partition(Vec<String>),
    BlockOneWay(String, String),
    /// Of a hundred datagrams to and from it so many are lost.
    Loss(String, u8),
    /// Everything to and from it is late by so many milliseconds, and by chance as much again.
    Latency(String, u64),
    /// All ways are whole again.
    Heal,
    /// SIGKILL, SIGTERM, SIGSTOP, SIGCONT; and started again from nothing.
    Kill(String),
    Terminate(String),
    Pause(String),
    Resume(String),
    Start(String),
}

/// When, in milliseconds from the beginning, and what.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    pub at_ms: u64,
    pub fault: Fault,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Schedule(pub Vec<ScheduledFault>);

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Fault::Partition(names) => write!(f, "apart {}", names.join(" ")),
            Fault::BlockOneWay(from, to) => write!(f, "one-way {from} {to}"),
            Fault::Loss(name, part) => write!(f, "lossy {name} {part}"),
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
    /// Whom it meets.
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

    /// Whether it is done to a process and not to ways.
    pub fn is_process_fault(&self) -> bool {
        matches!(
            self,
            Fault::Kill(_) | Fault::Terminate(_) | Fault::Pause(_) | Fault::Resume(_) | Fault::Start(_)
        )
    }
}

/// One step a line: when, what, whom.
impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.iter().try_for_each(|step| writeln!(f, "{} {}", step.at_ms, step.fault))
    }
}

impl FromStr for Schedule {
    type Err = String;

    fn from_str(text: &str) -> Result<Schedule, String> {
        let lines = text.lines().map(str::trim).enumerate().filter(|(_, line)| !line.is_empty());
        let step = |(number, line): (usize, &str)| {
            let bad = || format!("line {}: no step: {line:?}", number + 1);
            let words: Vec<&str> = line.split_whitespace().collect();
            let (at, rest) = words.split_first().ok_or_else(bad)?;
            let at_ms = at.parse().map_err(|_| bad())?;
            let name = |n: &&str| (*n).to_owned();
            let fault = match rest {
                ["apart", names @ ..] if !names.is_empty() => {
                    Fault::Partition(names.iter().map(name).collect())
                }
                ["one-way", from, to] => Fault::BlockOneWay(name(from), name(to)),
                ["lossy", one, part] => Fault::Loss(name(one), part.parse().map_err(|_| bad())?),
                ["late", one, millis] => Fault::Latency(name(one), millis.parse().map_err(|_| bad())?),
                ["heal"] => Fault::Heal,
                ["kill", one] => Fault::Kill(name(one)),
                ["term", one] => Fault::Terminate(name(one)),
                ["stop", one] => Fault::Pause(name(one)),
                ["cont", one] => Fault::Resume(name(one)),
                ["start", one] => Fault::Start(name(one)),
                _ => return Err(bad()),
            };
            Ok(ScheduledFault { at_ms, fault })
        };
        lines.map(step).collect::<Result<_, _>>().map(Schedule)
    }
}

impl Schedule {
    /// So many faults among those in so long, drawn from the seed; what is stopped goes on and what is killed starts
    /// again at the end, and all ways are whole then.
    pub fn generate(seed: u64, names: &[String], faults: usize, span: Duration) -> Schedule {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let millis = span.as_millis() as u64;
        let mut times: Vec<u64> = (0..faults).map(|_| chance.random_range(0..millis)).collect();
        times.sort_unstable();
        let (mut steps, mut down, mut stopped) = (Vec::new(), Vec::new(), Vec::<String>::new());
        for at_ms in times {
            let up: Vec<&String> =
                names.iter().filter(|n| !down.contains(*n) && !stopped.contains(*n)).collect();
            let Some(one) = up.choose(&mut chance).map(|one| (*one).clone()) else { continue };
            let other = names.choose(&mut chance).cloned().unwrap_or_default();
            let fault = match chance.random_range(0..9) {
                0 => Fault::Partition(
                    names.iter().filter(|_| chance.random_range(0..3) == 0).cloned().collect(),
                ),
                1 if one != other => Fault::BlockOneWay(one, other),
                2 => Fault::Loss(one, 30),
                3 => Fault::Latency(one, 40),
                // A majority stays: what is judged is what the others make of it.
                4 if up.len() * 2 > names.len() + 1 => {
                    down.push(one.clone());
                    Fault::Kill(one)
                }
                5 if up.len() * 2 > names.len() + 1 => {
                    stopped.push(one.clone());
                    Fault::Pause(one)
                }
                6 if !down.is_empty() => Fault::Start(down.remove(0)),
                7 if !stopped.is_empty() => Fault::Resume(stopped.remove(0)),
                _ => Fault::Heal,
            };
            if fault != Fault::Partition(Vec::new()) {
                steps.push(ScheduledFault { at_ms, fault });
            }
        }
        let last = stopped.into_iter().map(Fault::Resume).chain(down.into_iter().map(Fault::Start));
        steps.extend(last.chain([Fault::Heal]).map(|fault| ScheduledFault { at_ms: millis, fault }));
        Schedule(steps)
    }

    /// Leaves out steps for as long as it still fails: first by halves, then one by one.
    pub fn shrink(&self, mut fails: impl FnMut(&Schedule) -> bool) -> Schedule {
        let mut steps = self.0.clone();
        let mut size = steps.len().div_ceil(2);
        while size > 0 {
            let mut from = 0;
            while from < steps.len() {
                let mut fewer = steps.clone();
                fewer.drain(from..(from + size).min(steps.len()));
                match fails(&Schedule(fewer.clone())) {
                    true => steps = fewer,
                    false => from += size,
                }
            }
            size /= 2;
        }
        Schedule(steps)
    }
}

/// Does to the ways among these what a fault says; what it says of processes is for whoever has them.
pub fn apply_to_links(fault: &Fault, links: &Links, names: &[String]) {
    let cut = Impairment { blocked: true, ..Impairment::default() };
    match fault {
        Fault::Partition(some) => {
            for one in names.iter().filter(|name| some.contains(name)) {
                names
                    .iter()
                    .filter(|other| !some.contains(other))
                    .for_each(|other| links.set_impairment_both_ways(one, other, cut));
            }
        }
        Fault::BlockOneWay(from, to) => links.set_impairment(from, to, cut),
        Fault::Loss(one, part) => {
            let law = Impairment { loss_percent: *part, ..Impairment::default() };
            names
                .iter()
                .filter(|other| *other != one)
                .for_each(|other| links.set_impairment_both_ways(one, other, law));
        }
        Fault::Latency(one, millis) => {
            let late = Duration::from_millis(*millis);
            let law = Impairment { latency: late, jitter: late, ..Impairment::default() };
            names
                .iter()
                .filter(|other| *other != one)
                .for_each(|other| links.set_impairment_both_ways(one, other, law));
        }
        Fault::Heal => links.heal(),
        _ => {}
    }
}
