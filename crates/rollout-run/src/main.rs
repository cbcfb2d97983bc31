//! `yarrowfront-rollout`: carries out a rolling change of a fleet in stages, according to a plan.
#![forbid(unsafe_code)]

mod admin_client;
mod measure;
mod processes;
mod report;
mod run;

use clap::{Parser, Subcommand};
use rollout::plan::Plan;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread::sleep;
use std::time::Duration;

#[derive(Parser)]
#[command(
    version,
    about = "Carries out a rolling change of yarrowfront nodes in stages and rolls it back if a stage does worse"
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Checks whether the plan can be carried out now, and shows what it changes. Exits with 1 if there is an obstacle.
    Check { plan: PathBuf },
    /// Carries out the plan, or continues it, until all nodes have one version. Exits with 2 if that is the former one.
    Run {
        plan: PathBuf,
        /// Continues even if another controller's change is on trial, and takes the lead from that controller.
        #[arg(long)]
        take_over: bool,
        #[arg(long = "deaf", hide = true)]
        ignore_verdict: bool,
        #[arg(long = "end-at", value_name = "END_AT", hide = true)]
        abort_at_record: Option<u64>,
        #[arg(long = "torn", hide = true)]
        truncate_last: bool,
    },
    /// Shows the decisions so far and the version of each node.
    Status { plan: PathBuf },
    /// Pauses the change until it is resumed.
    Pause { plan: PathBuf },
    /// Resumes from a pause, or watches an undecided stage for longer.
    Resume { plan: PathBuf },
    /// Passes the stage that is being watched.
    Accept { plan: PathBuf },
    /// Rolls back all nodes.
    Back { plan: PathBuf },
    /// Writes the report and its plots again.
    Report { plan: PathBuf },
    /// Measures error rates on the virtual clock and compares them with simpler strategies.
    Measure {
        #[arg(long, value_delimiter = ',', default_values_t = [6, 60, 300])]
        nodes: Vec<usize>,
        #[arg(long, default_value_t = 200)]
        runs: usize,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// A file for a plot of the payoff lost.
        #[arg(long)]
        plot: Option<PathBuf>,
    },
}

fn plan(path: &Path) -> Result<Plan, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Plan::from_toml(&text).map_err(|why| format!("{}: {why}", path.display()))
}

fn check(plan: &Plan) -> Result<ExitCode, String> {
    let (former, new) = run::load_settings(plan, Path::new(&plan.folder))?;
    let polls = run::poll_all(plan, &mut BTreeMap::new());
    let (obstacles, differences) = run::check(plan, &polls, &former, &new);
    differences.iter().for_each(|line| println!("{line}"));
    for (index, stage) in plan.stage_nodes().iter().enumerate() {
        let names: Vec<&str> = stage.iter().map(|id| plan.node(*id).name.as_str()).collect();
        println!("stage {}: {}", index + 1, names.join(" "));
    }
    obstacles.iter().for_each(|why| println!("OBSTACLE: {why}"));
    Ok(if obstacles.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn records(plan: &Plan) -> Result<Vec<(u64, rollout::journal::Record)>, String> {
    let path = run::journal_path(Path::new(&plan.folder));
    let bytes = std::fs::read(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    rollout::journal::read(&bytes).map(|(records, _)| records)
}

fn status(plan: &Plan) -> Result<ExitCode, String> {
    print!("{}", report::describe_all(&records(plan).unwrap_or_default()));
    for ((poll, at), node) in run::poll_all(plan, &mut BTreeMap::new()).iter().zip(&plan.nodes) {
        match poll.report() {
            Some(report) => println!(
                "{:<16} {at:<21} {:<10} build {} settings {}{} term {}",
                node.name,
                report.state,
                report.build,
                report.settings_digest,
                if report.trial.is_some() { " on trial" } else { "" },
                report.term
            ),
            None => println!("{:<16} {at:<21} {poll:?}", node.name),
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Sends an order to the running controller and waits for its reply.
fn send_order(plan: &Plan, word: &str) -> Result<ExitCode, String> {
    let folder = Path::new(&plan.folder);
    let (order, reply) = (folder.join("order"), folder.join("said"));
    let _ = std::fs::remove_file(&reply);
    run::write_file(&order, word.as_bytes())?;
    for _ in 0..100 {
        if let Ok(reply) = std::fs::read_to_string(&reply) {
            println!("{reply}");
            return Ok(if reply == "taken" { ExitCode::SUCCESS } else { ExitCode::FAILURE });
        }
        sleep(Duration::from_millis(100));
    }
    let _ = std::fs::remove_file(&order);
    Err("no controller of this plan is running here".to_owned())
}

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_target(false).init();
    let done = match Arguments::parse().command {
        Command::Check { plan: path } => plan(&path).and_then(|plan| check(&plan)),
        Command::Run { plan: path, take_over, ignore_verdict, abort_at_record, truncate_last } => plan(&path)
            .and_then(|plan| {
                let options = run::Options { take_over, ignore_verdict, abort_at_record, truncate_last };
                run::run(plan, options).map(|ended| match ended {
                    run::Outcome::Done => ExitCode::SUCCESS,
                    run::Outcome::RolledBack => ExitCode::from(2),
                })
            }),
        Command::Status { plan: path } => plan(&path).and_then(|plan| status(&plan)),
        Command::Pause { plan: path } => plan(&path).and_then(|plan| send_order(&plan, "pause")),
        Command::Resume { plan: path } => plan(&path).and_then(|plan| send_order(&plan, "resume")),
        Command::Accept { plan: path } => plan(&path).and_then(|plan| send_order(&plan, "accept")),
        Command::Back { plan: path } => plan(&path).and_then(|plan| send_order(&plan, "back")),
        Command::Report { plan: path } => plan(&path).and_then(|plan| {
            let folder = Path::new(&plan.folder);
            let samples = std::fs::read_to_string(folder.join("figures")).unwrap_or_default();
            let samples: Vec<report::MeasureSample> =
                samples.lines().filter_map(report::MeasureSample::parse).collect();
            report::write_report(folder, &plan.name, &records(&plan)?, &samples)?;
            println!("{}", folder.join("report.md").display());
            Ok(ExitCode::SUCCESS)
        }),
        Command::Measure { nodes, runs, seed, plot } => {
            measure::table(&nodes, runs, seed, plot.as_deref()).map(|()| ExitCode::SUCCESS)
        }
    };
    done.unwrap_or_else(|why| {
        eprintln!("yarrowfront-rollout: {why}");
        ExitCode::from(3)
    })
}
