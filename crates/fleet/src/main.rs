//! `yarrowfront-fleet`: compares the membership views of running nodes, and searches and measures the view on a virtual
//! network.
#![forbid(unsafe_code)]

use clap::{Parser, Subcommand};
use rayon::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Mutex, PoisonError};
use std::thread::sleep;
use std::time::Duration;
use yarrowfront::times::Micros;
use yarrowfront_fleet::plot::Line;
use yarrowfront_fleet::search::{random_walk, search_exhaustively, InjectedFault};
use yarrowfront_fleet::{measure, plot, watch};

#[derive(Parser)]
#[command(version, about = "Inspects, searches and measures the membership view of yarrowfront nodes")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Fetches the views of nodes from their admin addresses and shows where they differ. Exits with 1 if they do.
    Watch {
        #[arg(required = true)]
        addresses: Vec<SocketAddr>,
        /// Repeats at this interval, in seconds, until interrupted.
        #[arg(long)]
        every: Option<u64>,
    },
    /// Searches small fleets for a violated invariant: all orders of transitions up to a depth, then random walks. Exits
    /// with 1 if one is found.
    Search {
        #[arg(long, default_value_t = 3)]
        nodes: usize,
        #[arg(long, default_value_t = 6)]
        depth: usize,
        #[arg(long, default_value_t = 1000)]
        walks: u64,
        /// Transitions of each walk.
        #[arg(long, default_value_t = 5000)]
        steps: usize,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Measures the view on a virtual network, by fleet size and loss: death detection, false deaths, traffic, partitions.
    Measure {
        /// Fleet sizes.
        #[arg(long, value_delimiter = ',', default_values_t = [10, 100, 1000])]
        nodes: Vec<usize>,
        /// Percentages of datagrams lost.
        #[arg(long, value_delimiter = ',', default_values_t = [0.0, 5.0, 20.0])]
        loss: Vec<f64>,
        /// Simulated seconds without any event, for traffic and false deaths.
        #[arg(long, default_value_t = 60)]
        calm: u64,
        /// Deaths in each fleet.
        #[arg(long, default_value_t = 5)]
        deaths: usize,
        /// Skips partitions.
        #[arg(long)]
        no_partitions: bool,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// A file for a plot of death detection, healing and traffic over the fleet size, at the lowest loss.
        #[arg(long)]
        plot: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    let succeeded = match Arguments::parse().command {
        Command::Watch { addresses, every } => watch_views(&addresses, every),
        Command::Search { nodes, depth, walks, steps, seed } => search(nodes, depth, walks, steps, seed),
        Command::Measure { nodes, loss, calm, deaths, no_partitions, seed, plot } => {
            let result =
                print_measurements(&nodes, &loss, (calm, deaths), no_partitions, seed, plot.as_deref());
            if let Err(why) = &result {
                eprintln!("{why}");
            }
            result.is_ok()
        }
    };
    if succeeded {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn watch_views(addresses: &[SocketAddr], every: Option<u64>) -> bool {
    loop {
        let fetch = |at: &SocketAddr| (at.to_string(), watch::fetch_view(*at, Duration::from_secs(2)));
        let views: Vec<_> = addresses.par_iter().map(fetch).collect();
        let lines = watch::differences(&views);
        if lines.is_empty() {
            println!("{} views agree", views.len());
        }
        lines.iter().for_each(|line| println!("{line}"));
        let Some(every) = every else { return lines.is_empty() };
        sleep(Duration::from_secs(every.max(1)));
        println!();
    }
}

fn search(nodes: usize, depth: usize, walks: u64, steps: usize, seed: u64) -> bool {
    let result = search_exhaustively(nodes, depth, InjectedFault::None);
    match &result {
        Ok(stats) => {
            println!("all orders to depth {depth}: {} states, {} steps", stats.states, stats.steps)
        }
        Err(violation) => println!("{}\n{:?}", violation.description, violation.path),
    }
    let walk_violation = (seed..seed + walks).into_par_iter().find_map_any(|seed| {
        random_walk(nodes, steps, seed, InjectedFault::None)
            .err()
            .map(|violation| (seed, violation.description))
    });
    match &walk_violation {
        None => println!("{walks} walks of {steps} steps: no invariant is violated"),
        Some((seed, description)) => println!("walk {seed}: {description}"),
    }
    result.is_ok() && walk_violation.is_none()
}

fn format_seconds(seconds: Option<f64>) -> String {
    seconds.map_or("never".to_owned(), |s| format!("{s:.2}"))
}

/// The plotted values by fleet size: seconds until 99% know of a death, seconds to heal, and kB per second.
type PlotData = Mutex<[BTreeMap<usize, f64>; 3]>;

fn print_measurements(
    nodes: &[usize],
    loss: &[f64],
    (calm, deaths): (u64, usize),
    no_partitions: bool,
    seed: u64,
    plot: Option<&Path>,
) -> Result<(), String> {
    let plot_data = PlotData::default();
    let lowest_loss = loss.iter().copied().fold(f64::MAX, f64::min);
    let add_point = |line: usize, nodes: usize, value: Option<f64>| {
        let mut lines = plot_data.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(value) = value {
            let worst = lines[line].entry(nodes).or_default();
            *worst = worst.max(value);
        }
    };
    println!("| nodes | loss % | all found | death: first | 99% | all | bytes/s | most | largest second | false deaths/h | suspicions/min |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let cases: Vec<(usize, f64)> = nodes.iter().flat_map(|n| loss.iter().map(|l| (*n, *l))).collect();
    cases.par_iter().for_each(|&(nodes, loss)| {
        let (mut net, settle_time) = measure::start_settled_fleet(seed, nodes, loss);
        let idle = measure::measure_idle(&mut net, Micros(calm * 1_000_000));
        let mut worst = [Some(0.0f64); 3];
        for death in 0..deaths.min(nodes / 2) {
            let found = measure::measure_death(&mut net, nodes - 1 - death);
            for (worst, found) in worst.iter_mut().zip([found.first, found.percent_99, found.all]) {
                *worst = worst.and_then(|w| found.map(|f| w.max(f)));
            }
            net.run(Micros(2_000_000));
        }
        if loss == lowest_loss {
            add_point(0, nodes, worst[1]);
            add_point(2, nodes, Some(idle.mean_bytes_per_s / 1000.0));
        }
        println!(
            "| {nodes} | {loss} | {} | {} | {} | {} | {:.0} | {:.0} | {} | {:.1} | {:.0} |",
            format_seconds(settle_time.map(|t| t.as_f64() / 1e6)),
            format_seconds(worst[0]),
            format_seconds(worst[1]),
            format_seconds(worst[2]),
            idle.mean_bytes_per_s,
            idle.max_bytes_per_s,
            idle.peak_second_bytes,
            idle.false_deaths_per_hour,
            idle.suspicions_per_minute
        );
    });
    if no_partitions {
        return plot.map_or(Ok(()), |path| plot_growth(path, &plot_data));
    }
    println!("\n| nodes | parts | settled apart | healed | largest second |");
    println!("| --- | --- | --- | --- | --- |");
    let parts: [&[usize]; 3] = [&[50, 50], &[90, 10], &[34, 33, 33]];
    let cases: Vec<(usize, &[usize])> = nodes.iter().flat_map(|n| parts.iter().map(|p| (*n, *p))).collect();
    cases.par_iter().for_each(|&(nodes, parts)| {
        let (mut net, _) = measure::start_settled_fleet(seed, nodes, 0.0);
        let partition_times = measure::measure_partition(&mut net, parts, Micros(30_000_000));
        add_point(1, nodes, partition_times.together);
        let (apart, together) =
            (format_seconds(partition_times.apart), format_seconds(partition_times.together));
        println!("| {nodes} | {parts:?} | {apart} | {together} | {} |", partition_times.peak_second_bytes);
    });
    plot.map_or(Ok(()), |path| plot_growth(path, &plot_data))
}

fn plot_growth(path: &Path, plot_data: &PlotData) -> Result<(), String> {
    let plot_data = plot_data.lock().unwrap_or_else(PoisonError::into_inner);
    let names = ["death known to 99%, s", "healed after the worst partition, s", "kB per second and node"];
    let line = |(name, line): (&str, &BTreeMap<usize, f64>)| {
        let points = line.iter().map(|(nodes, value)| ((*nodes as f64).log10(), *value));
        (name.to_owned(), points.collect())
    };
    let lines: Vec<Line> = names.into_iter().zip(plot_data.iter()).map(line).collect();
    let nodes = |decades: &f64| format!("{:.0}", 10f64.powf(*decades));
    plot::plot_lines(path, "membership view by number of nodes", &lines, nodes, |value| format!("{value:.1}"))
}
