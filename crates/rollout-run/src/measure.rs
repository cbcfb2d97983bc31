//! Error rates on the virtual clock: how often a harmless change is stopped, in which stage a harm is found and what it
//! cost until then, compared with simpler strategies.

use rayon::prelude::*;
use rollout::controller::Phase;
use rollout::simulation::{
    run_simple_strategy, test_plan, Harm, ServiceModel, SimpleStrategy, Simulation, SimulationResult,
};
use std::path::Path;
use yarrowfront_fleet::plot::Line;

/// The limit of a simulation, far beyond the end of any that makes progress.
const MAX_SECONDS: u64 = 6000;

#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    harm: Harm,
    /// Text that is added to the plan.
    more: &'static str,
}

/// A margin with which a harm of half a point is to be found.
const FINE_MARGIN: &str = "[margins]\npayoff = 0.004\n";

fn cases() -> [Case; 9] {
    let points = |points: f64| Harm { points, ..Harm::default() };
    let more = "";
    [
        Case { name: "no difference", harm: Harm::default(), more },
        Case { name: "2 points", harm: points(2.0), more },
        Case { name: "0.5 points", harm: points(0.5), more },
        Case { name: "10 points of one profile", harm: Harm { profile: Some(2), ..points(10.0) }, more },
        Case { name: "5 points after 40 s", harm: Harm { after_seconds: 40.0, ..points(5.0) }, more },
        Case { name: "2 points rejected", harm: Harm { as_rejections: true, ..points(2.0) }, more },
        Case {
            name: "double runs, 1 in 1,000",
            harm: Harm { double_run_rate: 0.001, ..Harm::default() },
            more,
        },
        Case { name: "0.5 points, margin 0.4", harm: points(0.5), more: FINE_MARGIN },
        Case { name: "no difference, margin 0.4", harm: Harm::default(), more: FINE_MARGIN },
    ]
}

#[derive(Default)]
struct Summary {
    stopped: usize,
    needed_operator: usize,
    done: usize,
    stages: Vec<usize>,
    commands: Vec<f64>,
    payoff_lost: Vec<f64>,
    seconds: Vec<f64>,
}

fn summarize(ends: &[SimulationResult]) -> Summary {
    let mut summary = Summary::default();
    for end in ends {
        match end.phase {
            Phase::RollingBack | Phase::RolledBack => {
                summary.stopped += 1;
                summary.stages.push(end.stage + 1);
                summary.commands.push(end.commands);
            }
            Phase::Done => summary.done += 1,
            _ => summary.needed_operator += 1,
        }
        summary.payoff_lost.push(end.payoff_lost);
        summary.seconds.push(end.seconds);
    }
    summary
}

fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

fn row(nodes: usize, strategy: &str, case: &str, runs: usize, mut summary: Summary) {
    let percent = |count: usize| count as f64 / runs as f64 * 100.0;
    let stages = summary.stages.iter().sum::<usize>() as f64 / summary.stages.len().max(1) as f64;
    println!(
        "| {nodes} | {case} | {strategy} | {:.1} | {:.1} | {:.1} | {stages:.1} | {:.0} | {:.0} | {:.0} |",
        percent(summary.stopped),
        percent(summary.needed_operator),
        percent(summary.done),
        median(&mut summary.commands),
        median(&mut summary.payoff_lost),
        median(&mut summary.seconds),
    );
}

/// Prints the table and, if a path is given, plots the payoff lost by each strategy.
pub fn table(fleets: &[usize], runs: usize, seed: u64, plot: Option<&Path>) -> Result<(), String> {
    println!("| nodes | change | strategy | stopped % | asked % | done % | in stage | commands until stopped | payoff lost | seconds |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut plot_lines: Vec<Line> = Vec::new();
    for &nodes in fleets {
        for Case { name, harm, more } in cases() {
            let plan = test_plan(nodes, more);
            let model = ServiceModel::default();
            let seeds: Vec<u64> = (seed..seed + runs as u64).collect();
            let ends: Vec<SimulationResult> = seeds
                .par_iter()
                .map(|seed| Simulation::new(plan.clone(), model, harm, *seed).run(MAX_SECONDS))
                .collect();
            row(nodes, "stages, e-values", name, runs, summarize(&ends));
            if name == "2 points" {
                add_point(&mut plot_lines, "stages, e-values", nodes, &ends);
            }
            let strategies = [
                ("all at once", SimpleStrategy::AllAtOnce),
                ("node by node, 30 s", SimpleStrategy::NodeByNode),
                ("stages, before and after", SimpleStrategy::Stages),
            ];
            for (strategy, simple_strategy) in strategies {
                let runs = runs.min(if nodes > 100 { 40 } else { 200 });
                let ends: Vec<SimulationResult> = seeds[..runs]
                    .par_iter()
                    .map(|seed| run_simple_strategy(simple_strategy, &plan, model, harm, *seed))
                    .collect();
                if name == "2 points" {
                    add_point(&mut plot_lines, strategy, nodes, &ends);
                }
                row(nodes, strategy, name, runs, summarize(&ends));
            }
        }
    }
    match plot {
        Some(path) => crate::report::plot_payoff_lost(path, &plot_lines),
        None => Ok(()),
    }
}

fn add_point(plot_lines: &mut Vec<Line>, strategy: &str, nodes: usize, ends: &[SimulationResult]) {
    let mut payoff_lost: Vec<f64> = ends.iter().map(|end| end.payoff_lost).collect();
    let point = (nodes as f64, median(&mut payoff_lost));
    match plot_lines.iter_mut().find(|(known, _)| known == strategy) {
        Some((_, points)) => points.push(point),
        None => plot_lines.push((strategy.to_owned(), vec![point])),
    }
}
