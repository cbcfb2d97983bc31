//! The command line of the rehearsals.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand, ValueEnum};
use indicatif::{ProgressBar, ProgressStyle};
use rehearsal::experiment::{self, Experiment};
use rehearsal::judge::result::PlayResult;
use rehearsal::scenario::Scenario;
use rehearsal::{compare, policy, program, real, report, search, soak, virtual_clock};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Rehearses fleets, clients and troubles around yarrowfront.
///
/// Exit codes: 0 done, 1 something is wrong with what was asked for or with the machine, 2 a rule broke or a
/// difference is worse than the noise.
#[derive(Parser)]
#[command(name = "yarrowfront-rehearse", version, max_term_width = 100)]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum Clock {
    Virtual,
    Real,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a scenario and judges it.
    Play {
        scenario: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, value_enum, default_value = "virtual")]
        clock: Clock,
        /// On the virtual clock: yarrowfront, random, round-robin, less-busy, shortest, sighted.
        #[arg(long, default_value = "yarrowfront")]
        policy: String,
        /// The result, as JSON.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// One page with charts.
        #[arg(long, value_name = "FILE.html")]
        report: Option<PathBuf>,
        /// On the real clock: where the nodes' logs go.
        #[arg(long, value_name = "DIR")]
        logs: Option<PathBuf>,
        /// On the real clock: the node's program, if it is not the one beside this.
        #[arg(long, value_name = "FILE")]
        node: Option<PathBuf>,
        /// On the real clock: where a rule breaks, leaves out faults in so many plays more and prints what is left.
        #[arg(long, value_name = "PLAYS", default_value_t = 0)]
        shrink: usize,
    },
    /// Plays scenarios by parameters by policies by seeds on all cores.
    Experiment {
        file: PathBuf,
        /// Where runs.jsonl, cells.csv and the plots go.
        #[arg(long, value_name = "DIR", default_value = "found/experiment")]
        out: PathBuf,
    },
    /// Puts two results or two sets side by side: which differences exceed the noise.
    Compare { a: PathBuf, b: PathBuf },
    /// Looks for the pair of overlapping troubles that does worst, and shrinks it.
    Search {
        scenario: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 200)]
        budget: usize,
        #[arg(long, default_value = "yarrowfront")]
        policy: String,
        /// Where the small scenario goes.
        #[arg(long, value_name = "FILE", default_value = "found/worst.toml")]
        out: PathBuf,
    },
    /// Plays worlds drawn from seeds around real nodes, under hardships of all kinds, and judges them by the rules.
    Soak {
        /// The seeds: one, or the first and the last as `1..50`, both included.
        #[arg(long)]
        seeds: soak::SeedRange,
        /// Where the nodes' logs go, a folder for each seed.
        #[arg(long, value_name = "DIR")]
        logs: Option<PathBuf>,
        /// The node's program, if it is not the one beside this.
        #[arg(long, value_name = "FILE")]
        node: Option<PathBuf>,
    },
    /// The model beside the figures of the paper that the design comes from: takes a minute.
    Paper,
    /// Checks scenario files: names file, line and key of what is wrong.
    Check { scenarios: Vec<PathBuf> },
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    if let Some(folder) = path.parent() {
        std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    }
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

fn bar(length: u64, unit: &str) -> ProgressBar {
    let style = ProgressStyle::with_template(&format!("{{bar:40}} {{pos}} of {{len}} {unit}, {{eta}} left"));
    // Draws nothing where standard error is no terminal.
    ProgressBar::new(length).with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

fn json<T: serde::Serialize>(value: &T) -> Result<String, String> {
    serde_json::to_string(value).map_err(|e| format!("the result cannot be written: {e}"))
}

fn print(played: &PlayResult) {
    println!("{} by {} on the {} clock, seed {}", played.scenario, played.policy, played.clock, played.seed);
    if let Some(why) = &played.void {
        println!("VOID: {why}");
    }
    println!(
        "service {:.4}, worst 5 s {:.4}; {} commands, {:.1}% of the tries turned back, {:.2} launches and {:.2} \
         probes a command, {:.1}% of the work for nobody",
        played.service,
        played.worst_5s,
        played.commands,
        100.0 * played.turned_back_share,
        played.launches_per_command,
        played.probes_per_command,
        100.0 * played.wasted_share
    );
    println!(
        "{:<14} {:>7} {:>8} {:>8} {:>7} {:>7} {:>5} {:>6} {:>8} {:>8} {:>8}",
        "profile",
        "asked",
        "in time",
        "t.back",
        "errored",
        "t.out",
        "lost",
        "left",
        "p50 ms",
        "p99 ms",
        "p99.9"
    );
    for (name, p) in &played.latency {
        println!(
            "{name:<14} {:>7} {:>8} {:>8} {:>7} {:>7} {:>5} {:>6} {:>8.1} {:>8.1} {:>8.1}",
            p.asked,
            p.in_time,
            p.turned_back,
            p.errored,
            p.timed_out,
            p.lost,
            p.left,
            p.latency.p50,
            p.latency.p99,
            p.latency.p999
        );
    }
    for p in &played.processes {
        println!("node {}: {:.2} s of CPU, {:.1} MB at most", p.node, p.cpu_s, p.memory_mb);
    }
    if !played.sites.is_empty() {
        let sites: Vec<String> = played.sites.iter().map(|served| format!("{served:.4}")).collect();
        println!("service by site: {}", sites.join(" "));
    }
    if !played.faults.is_empty() {
        print!("faults, in milliseconds:\n{}", played.faults);
    }
    let r = &played.rules;
    if !r.any() {
        println!("all rules kept");
        return;
    }
    println!(
        "RULES BROKEN: answers {}, effects {}, drains {}, pushes {}, crashes {}; of the nodes' views: deaths {}, portions {}, views {}",
        r.answers, r.effects, r.drains, r.pushes, r.crashes, r.deaths, r.portions, r.views
    );
    for case in &r.cases {
        println!("  {case}");
    }
}

const BROKEN: u8 = 2;

fn run(line: Line) -> Result<u8, String> {
    match line.command {
        Command::Play { scenario, seed, clock, policy: name, json: to, report: page, logs, node, shrink } => {
            let scenario = Scenario::read(&scenario)?;
            let bar = bar(scenario.length.0.div_ceil(1_000_000), "s");
            let mut progress = |second| bar.set_position(second);
            let since = std::time::Instant::now();
            let mut smaller = None;
            let (played, judges) = match clock {
                Clock::Virtual => {
                    let make = |birth: &policy::NodeContext| policy::create(&name, birth);
                    virtual_clock::play(&scenario, seed, &name, &make, &mut progress)?
                }
                Clock::Real => {
                    if name != "yarrowfront" {
                        return Err(
                            "on the real clock there is the real node alone: leave --policy out".into()
                        );
                    }
                    let program = node.map_or_else(program::node_binary, Ok)?;
                    let means = real::NodeProcessOptions {
                        program,
                        log_dir: logs,
                        arguments: Vec::new(),
                        environment: Vec::new(),
                    };
                    let played = real::play(&scenario, seed, &means, &mut progress)?;
                    if played.0.rules.any() && shrink > 0 {
                        smaller = Some(real::shrink_faults(&scenario, seed, &means, shrink)?);
                    }
                    played
                }
            };
            bar.finish_and_clear();
            print(&played);
            if let Some(small) = smaller {
                let text = toml::to_string(&small).map_err(|e| format!("the scenario: {e}"))?;
                println!("with as few faults as it takes, ready to be played again:\n{text}");
            }
            if matches!(clock, Clock::Virtual) {
                let took = since.elapsed().as_secs_f64();
                println!("played in {took:.2} s: {:.0} commands a second", played.commands as f64 / took);
            }
            if let Some(path) = to {
                write(&path, &(json(&played)? + "\n"))?;
            }
            if let Some(path) = page {
                write(&path, &report::html(&scenario, &played, &judges)?)?;
            }
            match (&played.void, played.rules.any()) {
                (_, true) => Ok(BROKEN),
                (Some(_), _) => Ok(1),
                _ => Ok(0),
            }
        }
        Command::Experiment { file, out } => {
            let experiment = Experiment::read(&file)?;
            let bar = bar(experiment.runs()?, "runs");
            let runs = experiment.run(&|| bar.inc(1))?;
            bar.finish_and_clear();
            let lines: Vec<String> = runs.iter().map(json).collect::<Result<_, _>>()?;
            write(&out.join("runs.jsonl"), &(lines.join("\n") + "\n"))?;
            let cells: Vec<experiment::Cell> = experiment::cells(&runs).into_iter().map(|(c, _)| c).collect();
            write(&out.join("cells.csv"), &experiment::csv(&cells))?;
            let mut names: Vec<&String> = cells.iter().map(|c| &c.scenario).collect();
            names.dedup();
            for name in names {
                let own: Vec<&experiment::Cell> = cells.iter().filter(|c| &c.scenario == name).collect();
                write(&out.join(format!("{name}.svg")), &report::experiment_chart(name, &own)?)?;
            }
            print!("{}", experiment::table(&cells));
            Ok(if cells.iter().any(|c| c.broken.iter().sum::<u64>() > 0) { BROKEN } else { 0 })
        }
        Command::Compare { a, b } => {
            let rows = compare::compare(&experiment::read_runs(&a)?, &experiment::read_runs(&b)?)?;
            print!("{}", compare::table(&rows));
            Ok(if rows.iter().any(|r| r.verdict == compare::Verdict::Worse) { BROKEN } else { 0 })
        }
        Command::Search { scenario, seed, budget, policy: name, out } => {
            let scenario = Scenario::read(&scenario)?;
            if !policy::NAMES.contains(&name.as_str()) {
                return Err(format!("there is no policy {name:?}: one of {}", policy::NAMES.join(", ")));
            }
            let bar = bar(budget as u64, "pairs");
            let found = search::search(&scenario, seed, &name, budget, &|| bar.inc(1))?;
            bar.finish_and_clear();
            let small = search::shrink(&found, seed, &name)?;
            let text = toml::to_string(&small.scenario).map_err(|e| format!("the scenario: {e}"))?;
            write(&out, &text)?;
            println!("{} plays. {}", small.tried, small.scenario.about);
            println!("rules broken {}; as a scenario: {}", small.loss.broken, out.display());
            Ok(if small.loss.broken > 0 { BROKEN } else { 0 })
        }
        Command::Soak { seeds, logs, node } => {
            let program = node.map_or_else(program::node_binary, Ok)?;
            let found = soak::run(seeds, &program, logs.as_deref(), &mut |line| println!("{line}"))?;
            println!("{found}");
            Ok(if found.failed > 0 { BROKEN } else { u8::from(found.inconclusive > 0) })
        }
        Command::Paper => {
            print!("{}", rehearsal::paper::tables()?);
            Ok(0)
        }
        Command::Check { scenarios } => {
            if scenarios.is_empty() {
                return Err("name the scenario files to check".into());
            }
            let mut wrong = 0;
            for path in &scenarios {
                if let Err(why) = Scenario::read(path) {
                    eprintln!("{why}");
                    wrong += 1;
                }
            }
            println!("{} files, {wrong} with faults", scenarios.len());
            Ok(u8::from(wrong > 0))
        }
    }
}

fn main() -> ExitCode {
    match run(Line::parse()) {
        Ok(code) => ExitCode::from(code),
        Err(why) => {
            eprintln!("yarrowfront-rehearse: {why}");
            ExitCode::FAILURE
        }
    }
}
