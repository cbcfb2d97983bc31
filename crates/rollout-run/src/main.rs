//! `yarrowfront-rollout`: leads a rolling change of a fleet in stages, by a plan.
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
    about = "Leads a rolling change of yarrowfront's nodes in stages, stopped when a stage does worse"
)]
struct Arguments {
    #[command(subcommand)]
    what: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Looks whether the plan can be led now, and what it changes. Ends with 1 where something stands against it.
    Check { plan: PathBuf },
    /// Leads it, or goes on with it, to one version everywhere. Ends with 2 where that is the former one.
    Run {
        plan: PathBuf,
        /// Goes on also where another controller's change is on trial; that one has no say any more.
        #[arg(long)]
        take_over: bool,
        #[arg(long, hide = true)]
        deaf: bool,
        #[arg(long, hide = true)]
        end_at: Option<u64>,
        #[arg(long, hide = true)]
        torn: bool,
    },
    /// What was decided so far, and what each node has.
    Status { plan: PathBuf },
    /// Changes nothing more until it is told to go on.
    Pause { plan: PathBuf },
    /// Goes on, from a pause or from a stage that was not known within its time.
    Resume { plan: PathBuf },
    /// Lets the stage that is watched pass, on your word.
    Accept { plan: PathBuf },
    /// Takes all back.
    Back { plan: PathBuf },
    /// Writes the page and its plots once more.
    Report { plan: PathBuf },
    /// Error rates on the virtual clock, beside plainer ways.
    Measure {
        #[arg(long, value_delimiter = ',', default_values_t = [6, 60, 300])]
        nodes: Vec<usize>,
        #[arg(long, default_value_t = 200)]
        runs: usize,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// A file for a plot of what was lost.
        #[arg(long)]
        plot: Option<PathBuf>,
    },
}

fn plan(path: &Path) -> Result<Plan, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Plan::from_toml(&text).map_err(|why| format!("{}: {why}", path.display()))
}

fn check(plan: &Plan) -> Result<ExitCode, String> {
    let (former, new) = run::texts(plan, Path::new(&plan.folder))?;
    let looks = run::look(plan, &mut BTreeMap::new());
    let (against, lines) = run::check(plan, &looks, &former, &new);
    lines.iter().for_each(|line| println!("{line}"));
    for (place, stage) in plan.staged().iter().enumerate() {
        let names: Vec<&str> = stage.iter().map(|id| plan.node(*id).name.as_str()).collect();
        println!("stage {}: {}", place + 1, names.join(" "));
    }
    against.iter().for_each(|why| println!("AGAINST IT: {why}"));
    Ok(if against.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn records(plan: &Plan) -> Result<Vec<(u64, rollout::journal::Record)>, String> {
    let path = run::journal_of(Path::new(&plan.folder));
    let bytes = std::fs::read(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    rollout::journal::read(&bytes).map(|(records, _)| records)
}

fn status(plan: &Plan) -> Result<ExitCode, String> {
    print!("{}", report::told(&records(plan).unwrap_or_default()));
    for ((told, at), node) in run::look(plan, &mut BTreeMap::new()).iter().zip(&plan.nodes) {
        match told.here() {
            Some(here) => println!(
                "{:<16} {at:<21} {:<10} build {} settings {}{} term {}",
                node.name,
                here.state,
                here.build,
                here.settings,
                if here.trial.is_some() { " on trial" } else { "" },
                here.term
            ),
            None => println!("{:<16} {at:<21} {told:?}", node.name),
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Tells a controller that runs, and waits for what it says.
fn tell(plan: &Plan, word: &str) -> Result<ExitCode, String> {
    let folder = Path::new(&plan.folder);
    let (order, said) = (folder.join("order"), folder.join("said"));
    let _ = std::fs::remove_file(&said);
    run::put(&order, word.as_bytes())?;
    for _ in 0..100 {
        if let Ok(said) = std::fs::read_to_string(&said) {
            println!("{said}");
            return Ok(if said == "taken" { ExitCode::SUCCESS } else { ExitCode::FAILURE });
        }
        sleep(Duration::from_millis(100));
    }
    let _ = std::fs::remove_file(&order);
    Err("no controller of this plan runs here".to_owned())
}

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_target(false).init();
    let done = match Arguments::parse().what {
        Command::Check { plan: path } => plan(&path).and_then(|plan| check(&plan)),
        Command::Run { plan: path, take_over, deaf, end_at, torn } => plan(&path).and_then(|plan| {
            let options = run::Options { take_over, deaf, end_at, torn };
            run::run(plan, options).map(|ended| match ended {
                run::Ended::Done => ExitCode::SUCCESS,
                run::Ended::TakenBack => ExitCode::from(2),
            })
        }),
        Command::Status { plan: path } => plan(&path).and_then(|plan| status(&plan)),
        Command::Pause { plan: path } => plan(&path).and_then(|plan| tell(&plan, "pause")),
        Command::Resume { plan: path } => plan(&path).and_then(|plan| tell(&plan, "resume")),
        Command::Accept { plan: path } => plan(&path).and_then(|plan| tell(&plan, "accept")),
        Command::Back { plan: path } => plan(&path).and_then(|plan| tell(&plan, "back")),
        Command::Report { plan: path } => plan(&path).and_then(|plan| {
            let folder = Path::new(&plan.folder);
            let figures = std::fs::read_to_string(folder.join("figures")).unwrap_or_default();
            let figures: Vec<report::Figure> = figures.lines().filter_map(report::Figure::read).collect();
            report::page(folder, &plan.name, &records(&plan)?, &figures)?;
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
