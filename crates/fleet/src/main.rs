//! `yarrowfront-fleet`: watches the views of several nodes, and measures the view on a virtual network.
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
use yarrowfront_fleet::search::{orders, walk, Sabotage};
use yarrowfront_fleet::{measure, plot, watch};

#[derive(Parser)]
#[command(version, about = "Looks at the view of the fleet that yarrowfront's nodes keep")]
struct Arguments {
    #[command(subcommand)]
    what: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Asks nodes at their second addresses for their views, and shows where these differ. Ends with 1 where they do.
    Watch {
        #[arg(required = true)]
        addresses: Vec<SocketAddr>,
        /// Asks again every so many seconds, until it is ended.
        #[arg(long)]
        every: Option<u64>,
    },
    /// Searches small worlds for a broken promise: all orders to a depth, then drawn walks. Ends with 1 at the first.
    Search {
        #[arg(long, default_value_t = 3)]
        nodes: usize,
        #[arg(long, default_value_t = 6)]
        depth: usize,
        #[arg(long, default_value_t = 1000)]
        walks: u64,
        /// Steps of each walk.
        #[arg(long, default_value_t = 5000)]
        steps: usize,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Measures the view on a virtual network: deaths, false ones, bytes, partitions, by size and loss.
    Measure {
        /// How many nodes, one fleet for each figure.
        #[arg(long, value_delimiter = ',', default_values_t = [10, 100, 1000])]
        nodes: Vec<usize>,
        /// Of a hundred datagrams so many are lost.
        #[arg(long, value_delimiter = ',', default_values_t = [0.0, 5.0, 20.0])]
        loss: Vec<f64>,
        /// Simulated seconds without any event, for bytes and false deaths.
        #[arg(long, default_value_t = 60)]
        calm: u64,
        /// Deaths in each fleet.
        #[arg(long, default_value_t = 5)]
        deaths: usize,
        /// Leave partitions out.
        #[arg(long)]
        no_partitions: bool,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// A file for a plot of how a death, a heal and bytes grow with the fleet, at the least loss.
        #[arg(long)]
        plot: Option<PathBuf>,
    },
}

fn main() -> ExitCode {
    let well = match Arguments::parse().what {
        Command::Watch { addresses, every } => look(&addresses, every),
        Command::Search { nodes, depth, walks, steps, seed } => search(nodes, depth, walks, steps, seed),
        Command::Measure { nodes, loss, calm, deaths, no_partitions, seed, plot } => {
            let drawn = table(&nodes, &loss, (calm, deaths), no_partitions, seed, plot.as_deref());
            if let Err(why) = &drawn {
                eprintln!("{why}");
            }
            drawn.is_ok()
        }
    };
    if well {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn look(addresses: &[SocketAddr], every: Option<u64>) -> bool {
    loop {
        let ask = |at: &SocketAddr| (at.to_string(), watch::ask(*at, Duration::from_secs(2)));
        let views: Vec<_> = addresses.par_iter().map(ask).collect();
        let lines = watch::differences(&views);
        if lines.is_empty() {
            println!("{} views are one", views.len());
        }
        lines.iter().for_each(|line| println!("{line}"));
        let Some(every) = every else { return lines.is_empty() };
        sleep(Duration::from_secs(every.max(1)));
        println!();
    }
}

fn search(nodes: usize, depth: usize, walks: u64, steps: usize, seed: u64) -> bool {
    let found = orders(nodes, depth, Sabotage::None);
    match &found {
        Ok(looked) => {
            println!("all orders to depth {depth}: {} states, {} steps", looked.states, looked.steps)
        }
        Err(broken) => println!("{}\n{:?}", broken.promise, broken.path),
    }
    let walked = (seed..seed + walks).into_par_iter().find_map_any(|seed| {
        walk(nodes, steps, seed, Sabotage::None).err().map(|broken| (seed, broken.promise))
    });
    match &walked {
        None => println!("{walks} walks of {steps} steps: no promise is broken"),
        Some((seed, promise)) => println!("walk {seed}: {promise}"),
    }
    found.is_ok() && walked.is_none()
}

fn show(seconds: Option<f64>) -> String {
    seconds.map_or("never".to_owned(), |s| format!("{s:.2}"))
}

/// What is drawn: by the number of nodes, a death until 99 in a hundred know it, a heal, and bytes a second.
type Drawn = Mutex<[BTreeMap<usize, f64>; 3]>;

fn table(
    nodes: &[usize],
    loss: &[f64],
    (calm, deaths): (u64, usize),
    no_partitions: bool,
    seed: u64,
    plot: Option<&Path>,
) -> Result<(), String> {
    let drawn = Drawn::default();
    let least = loss.iter().copied().fold(f64::MAX, f64::min);
    let draw = |line: usize, nodes: usize, value: Option<f64>| {
        let mut lines = drawn.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(value) = value {
            let place = lines[line].entry(nodes).or_default();
            *place = place.max(value);
        }
    };
    println!("| nodes | loss % | all found | death: first | 99% | all | bytes/s | most | largest second | false deaths/h | suspicions/min |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let cases: Vec<(usize, f64)> = nodes.iter().flat_map(|n| loss.iter().map(|l| (*n, *l))).collect();
    cases.par_iter().for_each(|&(nodes, loss)| {
        let (mut net, took) = measure::settled(seed, nodes, loss);
        let calm = measure::calm(&mut net, Micros(calm * 1_000_000));
        let mut worst = [Some(0.0f64); 3];
        for death in 0..deaths.min(nodes / 2) {
            let found = measure::death(&mut net, nodes - 1 - death);
            for (worst, found) in worst.iter_mut().zip([found.first, found.most, found.all]) {
                *worst = worst.and_then(|w| found.map(|f| w.max(f)));
            }
            net.run(Micros(2_000_000));
        }
        if loss == least {
            draw(0, nodes, worst[1]);
            draw(2, nodes, Some(calm.mean / 1000.0));
        }
        println!(
            "| {nodes} | {loss} | {} | {} | {} | {} | {:.0} | {:.0} | {} | {:.1} | {:.0} |",
            show(took.map(|t| t.as_f64() / 1e6)),
            show(worst[0]),
            show(worst[1]),
            show(worst[2]),
            calm.mean,
            calm.most,
            calm.largest,
            calm.false_deaths,
            calm.suspicions
        );
    });
    if no_partitions {
        return plot.map_or(Ok(()), |path| growth(path, &drawn));
    }
    println!("\n| nodes | parts | settled apart | as one again | largest second |");
    println!("| --- | --- | --- | --- | --- |");
    let parts: [&[usize]; 3] = [&[50, 50], &[90, 10], &[34, 33, 33]];
    let cases: Vec<(usize, &[usize])> = nodes.iter().flat_map(|n| parts.iter().map(|p| (*n, *p))).collect();
    cases.par_iter().for_each(|&(nodes, parts)| {
        let (mut net, _) = measure::settled(seed, nodes, 0.0);
        let healed = measure::partition(&mut net, parts, Micros(30_000_000));
        draw(1, nodes, healed.together);
        let (apart, together) = (show(healed.apart), show(healed.together));
        println!("| {nodes} | {parts:?} | {apart} | {together} | {} |", healed.largest);
    });
    plot.map_or(Ok(()), |path| growth(path, &drawn))
}

fn growth(path: &Path, drawn: &Drawn) -> Result<(), String> {
    let drawn = drawn.lock().unwrap_or_else(PoisonError::into_inner);
    let names =
        ["a death until 99% know it, s", "one again after the worst partition, s", "kB a second a node"];
    let line = |(name, line): (&str, &BTreeMap<usize, f64>)| {
        let points = line.iter().map(|(nodes, value)| ((*nodes as f64).log10(), *value));
        (name.to_owned(), points.collect())
    };
    let lines: Vec<Line> = names.into_iter().zip(drawn.iter()).map(line).collect();
    let nodes = |tenfolds: &f64| format!("{:.0}", 10f64.powf(*tenfolds));
    plot::lines(path, "the view, by the number of nodes", &lines, nodes, |value| format!("{value:.1}"))
}
