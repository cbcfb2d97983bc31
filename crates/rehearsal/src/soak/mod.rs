//! A soak: worlds drawn from seeds, played around real nodes on loopback, and judged by the rules from what clients,
//! backends and discovery recorded. The same seed draws the same world.

mod shim;
pub mod world;

use crate::judge::result::PlayResult;
use crate::real::{self, Means};
use std::fmt;
use std::ops::RangeInclusive;
use std::path::Path;
use std::str::FromStr;

/// As many as one run may take: they last a quarter of a minute each.
const MOST_SEEDS: u64 = 1000;

/// Seeds to play, from the first to the last.
#[derive(Clone, Debug, PartialEq)]
pub struct Seeds(RangeInclusive<u64>);

impl FromStr for Seeds {
    type Err = String;

    fn from_str(text: &str) -> Result<Seeds, String> {
        let number = |text: &str| text.parse::<u64>().map_err(|_| format!("{text:?} is no seed"));
        let seeds = match text.split_once("..") {
            None => number(text)?..=number(text)?,
            Some((first, last)) => number(first)?..=number(last)?,
        };
        match seeds.end().checked_sub(*seeds.start()) {
            None => Err(format!("{text:?} holds no seed: the last is before the first")),
            Some(more) if more >= MOST_SEEDS => Err(format!("{text:?} are over {MOST_SEEDS} seeds")),
            Some(_) => Ok(Seeds(seeds)),
        }
    }
}

/// What a soak has come to. A world that could not be judged is counted apart, never as kept.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Found {
    pub kept: u64,
    pub broken: u64,
    pub not_judged: u64,
    pub commands: u64,
}

impl fmt::Display for Found {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Found { kept, broken, not_judged, commands } = self;
        write!(f, "soak: {kept} seeds kept, {broken} broken, {not_judged} not judged; {commands} commands")
    }
}

/// Plays each seed's world around that program, and tells a line or more of each.
pub fn run(
    seeds: Seeds,
    program: &Path,
    logs: Option<&Path>,
    tell: &mut dyn FnMut(String),
) -> Result<Found, String> {
    let shim = shim::Library::build()?;
    let mut found = Found::default();
    for seed in seeds.0 {
        let scenario = world::draw(seed);
        scenario.check().map_err(|(key, why)| format!("seed {seed}: {key}: {why}"))?;
        let logs = logs.map(|folder| folder.join(seed.to_string()));
        let variables = shim.variables(scenario.stress.as_ref());
        let means = Means { program: program.to_owned(), logs, arguments: Vec::new(), variables };
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

fn verdict(played: &PlayResult, found: &mut Found) -> String {
    let rules = &played.rules;
    if let Some(why) = &played.void {
        found.not_judged += 1;
        return format!("NOT JUDGED: {why}");
    }
    if !rules.any() {
        found.kept += 1;
        return format!("kept, {} commands, service {:.3}", played.commands, played.service);
    }
    found.broken += 1;
    format!(
        "BROKEN: answers {}, effects {}, drains {}, slow starts {}, crashes {}",
        rules.answers, rules.effects, rules.drains, rules.pushes, rules.crashes
    )
}
