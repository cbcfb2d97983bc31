//! A soak: worlds drawn from seeds, played around real nodes on loopback, and judged by the rules from what clients,
//! backends and discovery recorded. The same seed draws the same world.

mod shim;
pub mod world;

use crate::judge::result::PlayResult;
use crate::real::{self, NodeProcessOptions};
use std::fmt;
use std::ops::RangeInclusive;
use std::path::Path;
use std::str::FromStr;

/// As many as one run may take: they last a quarter of a minute each.
const MOST_SEEDS: u64 = 1000;

/// The seeds of a soak, from the first to the last.
#[derive(Clone, Debug, PartialEq)]
pub struct SeedRange(RangeInclusive<u64>);

impl FromStr for SeedRange {
    type Err = String;

    fn from_str(text: &str) -> Result<SeedRange, String> {
        let number = |text: &str| text.parse::<u64>().map_err(|_| format!("{text:?} is no seed"));
        let seeds = match text.split_once("..") {
            None => number(text)?..=number(text)?,
            Some((first, last)) => number(first)?..=number(last)?,
        };
        match seeds.end().checked_sub(*seeds.start()) {
            None => Err(format!("{text:?} holds no seed: the last is before the first")),
            Some(more) if more >= MOST_SEEDS => Err(format!("{text:?} are over {MOST_SEEDS} seeds")),
            Some(_) => Ok(SeedRange(seeds)),
        }
    }
}

/// What a soak has come to. A world that could not be judged is counted apart, never as kept.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SoakSummary {
    pub passed: u64,
    pub failed: u64,
    pub inconclusive: u64,
    pub commands: u64,
}

impl fmt::Display for SoakSummary {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let SoakSummary { passed, failed, inconclusive, commands } = self;
        write!(
            f,
            "soak: {passed} seeds kept, {failed} broken, {inconclusive} not judged; {commands} commands"
        )
    }
}

/// Plays each seed's world around that program, and tells a line or more of each.
pub fn run(
    seeds: SeedRange,
    program: &Path,
    logs: Option<&Path>,
    tell: &mut dyn FnMut(String),
) -> Result<SoakSummary, String> {
    let shim = shim::Library::build()?;
    let mut found = SoakSummary::default();
    for seed in seeds.0 {
        let scenario = world::draw(seed);
        scenario.check().map_err(|(key, why)| format!("seed {seed}: {key}: {why}"))?;
        let logs = logs.map(|folder| folder.join(seed.to_string()));
        let variables = shim.variables(scenario.stress.as_ref());
        let means = NodeProcessOptions {
            program: program.to_owned(),
            log_dir: logs,
            arguments: Vec::new(),
            environment: variables,
        };
        let (played, _) = real::play(&scenario, seed, &means, &mut |_| ())?;
        found.commands += played.commands;
        tell(format!("seed {seed}: {}", verdict(&played, &mut found)));
        if played.rules.any() {
            tell(format!("  {}", scenario.about));
            played.rules.cases.iter().for_each(|case| tell(format!("  {case}")));
            tell(format!("  again: yarrowfront-rehearse soak --seeds {seed} --logs DIR"));
        }
    }
    Ok(found)
}

fn verdict(played: &PlayResult, found: &mut SoakSummary) -> String {
    let rules = &played.rules;
    if let Some(why) = &played.void {
        found.inconclusive += 1;
        return format!("NOT JUDGED: {why}");
    }
    if !rules.any() {
        found.passed += 1;
        return format!("kept, {} commands, service {:.3}", played.commands, played.service);
    }
    found.failed += 1;
    format!(
        "BROKEN: answers {}, effects {}, drains {}, slow starts {}, crashes {}",
        rules.answers, rules.effects, rules.drains, rules.pushes, rules.crashes
    )
}
