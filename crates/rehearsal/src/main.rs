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

/// Plays fleets, clients and troubles around yarrowfront, and judges the result.
///
/// Exit codes: 0 success; 1 an error of the input or of the machine; 2 a rule was violated, or a difference is worse by
/// more than the noise.
#[derive(Parser)]
#[command(name = "yarrowfront-rehearse", version, max_term_width = 100)]
struct Arguments {
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
        /// Writes the result as JSON to this file.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// Writes a report with charts as one HTML page to this file.
        #[arg(long, value_name = "FILE.html")]
        report: Option<PathBuf>,
        /// On the real clock: the folder for the nodes' logs.
        #[arg(long, value_name = "DIR")]
        logs: Option<PathBuf>,
        /// On the real clock: the node's program. The default is the one in the folder of this program.
        #[arg(long, value_name = "FILE")]
        node: Option<PathBuf>,
        /// On the real clock: if a rule is violated, leaves out faults in at most this many further plays, and prints the
        /// scenario with the remaining ones.
        #[arg(long, value_name = "PLAYS", default_value_t = 0)]
        shrink: usize,
    },
    /// Plays every combination of scenarios, parameters, policies and seeds on all cores.
    Experiment {
        file: PathBuf,
        /// The folder for runs.jsonl, cells.csv and the plots.
        #[arg(long, value_name = "DIR", default_value = "found/experiment")]
        out: PathBuf,
    },
    /// Compares two results or two sets of results, and tells which differences exceed the noise.
    Compare { a: PathBuf, b: PathBuf },
    /// Searches for the pair of overlapping troubles that costs most service, and shrinks it.
    Search {
        scenario: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 200)]
        budget: usize,
        #[arg(long, default_value = "yarrowfront")]
        policy: String,
        /// The file for the shrunk scenario.
        #[arg(long, value_name = "FILE", default_value = "found/worst.toml")]
        out: PathBuf,
    },
    /// Plays scenarios generated from seeds around real nodes under stress of all kinds, and judges them by the rules.
    Soak {
        /// One seed, or the first and the last as `1..50`, both included.
        #[arg(long)]
        seeds: soak::SeedRange,
        /// Fleets of ten to forty nodes, with more troubles at the same time.
        #[arg(long)]
        large: bool,
        /// The folder for the nodes' logs, with a subfolder for each seed.
        #[arg(long, value_name = "DIR")]
        logs: Option<PathBuf>,
        /// The node's program. The default is the one in the folder of this program.
        #[arg(long, value_name = "FILE")]
        node: Option<PathBuf>,
    },
    /// Compares the model with the figures of the paper that the design comes from. Takes a minute.
    Paper,
    /// Checks scenario files. Errors name the file, the line and the key.
    Check { scenarios: Vec<PathBuf> },
}

fn write_file(path: &Path, text: &str) -> Result<(), String> {
    if let Some(folder) = path.parent() {
        std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    }
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

fn progress_bar(length: u64, unit: &str) -> ProgressBar {
    let style = ProgressStyle::with_template(&format!("{{bar:40}} {{pos}} of {{len}} {unit}, {{eta}} left"));
    // It draws nothing if standard error is not a terminal.
    ProgressBar::new(length).with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

fn to_json<T: serde::Serialize>(value: &T) -> Result<String, String> {
    serde_json::to_string(value).map_err(|e| format!("the result cannot be written: {e}"))
}

fn print_result(result: &PlayResult) {
    println!("{} by {} on the {} clock, seed {}", result.scenario, result.policy, result.clock, result.seed);
    if let Some(why) = &result.void {
        println!("VOID: {why}");
    }
    println!(
        "service {:.4}, worst 5 s {:.4}; {} commands, {:.1}% of the attempts rejected, {:.2} launches and {:.2} \
         probes per command, {:.1}% of the work wasted",
        result.service,
        result.worst_5s,
        result.commands,
        100.0 * result.turned_back_share,
        result.launches_per_command,
        result.probes_per_command,
        100.0 * result.wasted_share
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
    for (name, p) in &result.latency {
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
    for p in &result.processes {
        println!("node {}: {:.2} s of CPU, {:.1} MB peak memory", p.node, p.cpu_s, p.memory_mb);
    }
    if !result.sites.is_empty() {
        let sites: Vec<String> = result.sites.iter().map(|served| format!("{served:.4}")).collect();
        println!("service by site: {}", sites.join(" "));
    }
    if !result.faults.is_empty() {
        print!("faults, in milliseconds:\n{}", result.faults);
    }
    let violations = &result.rules;
    if !violations.any() {
        println!("no rule violated");
        return;
    }
    println!(
        "RULES VIOLATED: answers {}, effects {}, drains {}, pushes {}, crashes {}; of the nodes' views: deaths {}, portions {}, views {}",
        violations.answers, violations.effects, violations.drains, violations.pushes, violations.crashes, violations.deaths, violations.portions, violations.views
    );
    for case in &violations.cases {
        println!("  {case}");
    }
}

/// The exit code if a rule was violated, or if a difference is worse by more than the noise.
const EXIT_VIOLATED_OR_WORSE: u8 = 2;

fn run(arguments: Arguments) -> Result<u8, String> {
    match arguments.command {
        Command::Play {
            scenario,
            seed,
            clock,
            policy: name,
            json: json_path,
            report: report_path,
            logs,
            node,
            shrink,
        } => {
            let scenario = Scenario::read(&scenario)?;
            let bar = progress_bar(scenario.length.0.div_ceil(1_000_000), "s");
            let mut progress = |second| bar.set_position(second);
            let started = std::time::Instant::now();
            let mut shrunk_scenario = None;
            let (result, judges) = match clock {
                Clock::Virtual => {
                    let create = |context: &policy::NodeContext| policy::create(&name, context);
                    virtual_clock::play(&scenario, seed, &name, &create, &mut progress)?
                }
                Clock::Real => {
                    if name != "yarrowfront" {
                        return Err(
                            "--policy is only for the virtual clock; the real clock plays the real node"
                                .into(),
                        );
                    }
                    let program = node.map_or_else(program::node_binary, Ok)?;
                    let options = real::NodeProcessOptions {
                        program,
                        log_dir: logs,
                        arguments: Vec::new(),
                        environment: Vec::new(),
                        start_timeout: real::START_TIMEOUT,
                    };
                    let outcome = real::play(&scenario, seed, &options, &mut progress)?;
                    if outcome.0.rules.any() && shrink > 0 {
                        shrunk_scenario = Some(real::shrink_faults(&scenario, seed, &options, shrink)?);
                    }
                    outcome
                }
            };
            bar.finish_and_clear();
            print_result(&result);
            if let Some(shrunk) = shrunk_scenario {
                let text = toml::to_string(&shrunk).map_err(|e| format!("the scenario: {e}"))?;
                println!("scenario with the fewest faults that still violate a rule:\n{text}");
            }
            if matches!(clock, Clock::Virtual) {
                let seconds = started.elapsed().as_secs_f64();
                println!(
                    "played in {seconds:.2} s: {:.0} commands per second",
                    result.commands as f64 / seconds
                );
            }
            if let Some(path) = json_path {
                write_file(&path, &(to_json(&result)? + "\n"))?;
            }
            if let Some(path) = report_path {
                write_file(&path, &report::html(&scenario, &result, &judges)?)?;
            }
            match (&result.void, result.rules.any()) {
                (_, true) => Ok(EXIT_VIOLATED_OR_WORSE),
                (Some(_), _) => Ok(1),
                _ => Ok(0),
            }
        }
        Command::Experiment { file, out } => {
            let experiment = Experiment::read(&file)?;
            let bar = progress_bar(experiment.run_count()?, "runs");
            let runs = experiment.run(&|| bar.inc(1))?;
            bar.finish_and_clear();
            let lines: Vec<String> = runs.iter().map(to_json).collect::<Result<_, _>>()?;
            write_file(&out.join("runs.jsonl"), &(lines.join("\n") + "\n"))?;
            let cells: Vec<experiment::Cell> =
                experiment::group_into_cells(&runs).into_iter().map(|(c, _)| c).collect();
            write_file(&out.join("cells.csv"), &experiment::csv(&cells))?;
            let mut names: Vec<&String> = cells.iter().map(|c| &c.scenario).collect();
            names.dedup();
            for name in names {
                let scenario_cells: Vec<&experiment::Cell> =
                    cells.iter().filter(|c| &c.scenario == name).collect();
                write_file(
                    &out.join(format!("{name}.svg")),
                    &report::experiment_chart(name, &scenario_cells)?,
                )?;
            }
            print!("{}", experiment::table(&cells));
            Ok(if cells.iter().any(|c| c.broken.iter().sum::<u64>() > 0) {
                EXIT_VIOLATED_OR_WORSE
            } else {
                0
            })
        }
        Command::Compare { a, b } => {
            let rows = compare::compare(&experiment::read_runs(&a)?, &experiment::read_runs(&b)?)?;
            print!("{}", compare::table(&rows));
            Ok(if rows.iter().any(|r| r.verdict == compare::Verdict::Worse) {
                EXIT_VIOLATED_OR_WORSE
            } else {
                0
            })
        }
        Command::Search { scenario, seed, budget, policy: name, out } => {
            let scenario = Scenario::read(&scenario)?;
            if !policy::NAMES.contains(&name.as_str()) {
                return Err(format!(
                    "there is no policy {name:?}; the policies are {}",
                    policy::NAMES.join(", ")
                ));
            }
            let bar = progress_bar(budget as u64, "pairs");
            let worst = search::search(&scenario, seed, &name, budget, &|| bar.inc(1))?;
            bar.finish_and_clear();
            let shrunk = search::shrink(&worst, seed, &name)?;
            let text = toml::to_string(&shrunk.scenario).map_err(|e| format!("the scenario: {e}"))?;
            write_file(&out, &text)?;
            println!("{} plays. {}", shrunk.plays, shrunk.scenario.about);
            println!("{} rule violations; scenario written to {}", shrunk.loss.violations, out.display());
            Ok(if shrunk.loss.violations > 0 { EXIT_VIOLATED_OR_WORSE } else { 0 })
        }
        Command::Soak { seeds, large, logs, node } => {
            let fleet_size = if large { soak::FleetSize::Large } else { soak::FleetSize::Usual };
            let program = node.map_or_else(program::node_binary, Ok)?;
            let summary =
                soak::run(seeds, fleet_size, &program, logs.as_deref(), &mut |line| println!("{line}"))?;
            println!("{summary}");
            Ok(if summary.failed > 0 { EXIT_VIOLATED_OR_WORSE } else { u8::from(summary.inconclusive > 0) })
        }
        Command::Paper => {
            print!("{}", rehearsal::paper::tables()?);
            Ok(0)
        }
        Command::Check { scenarios } => {
            if scenarios.is_empty() {
                return Err("give the scenario files to check".into());
            }
            let mut invalid_files = 0;
            for path in &scenarios {
                if let Err(why) = Scenario::read(path) {
                    eprintln!("{why}");
                    invalid_files += 1;
                }
            }
            println!("{} files, {invalid_files} with errors", scenarios.len());
            Ok(u8::from(invalid_files > 0))
        }
    }
}

fn main() -> ExitCode {
    match run(Arguments::parse()) {
        Ok(code) => ExitCode::from(code),
        Err(why) => {
            eprintln!("yarrowfront-rehearse: {why}");
            ExitCode::FAILURE
        }
    }
}
