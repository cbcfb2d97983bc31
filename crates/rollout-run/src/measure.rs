//! Error rates on the virtual clock: how often a change without a difference is stopped, in which stage a harm is found
//! and what it cost until then; beside plainer ways.

use rayon::prelude::*;
use rollout::controller::Phase;
use rollout::simulation::{plain, plan, End, Harm, Law, Plain, Play};
use std::path::Path;
use yarrowfront_fleet::plot::Line;

/// Far from the end of any play that is going anywhere.
const LONGEST: u64 = 6000;

#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    harm: Harm,
    /// What the plan says besides.
    more: &'static str,
}

/// A plan that is to find half a point.
const FINE: &str = "[margins]\npayoff = 0.004\n";

fn cases() -> [Case; 9] {
    let points = |points: f64| Harm { points, ..Harm::default() };
    let more = "";
    [
        Case { name: "no difference", harm: Harm::default(), more },
        Case { name: "2 points", harm: points(2.0), more },
        Case { name: "0.5 points", harm: points(0.5), more },
        Case { name: "10 points of one profile", harm: Harm { profile: Some(2), ..points(10.0) }, more },
        Case { name: "5 points after 40 s", harm: Harm { after: 40.0, ..points(5.0) }, more },
        Case { name: "2 points turned back", harm: Harm { as_turn_backs: true, ..points(2.0) }, more },
        Case { name: "twice, one in 1,000", harm: Harm { twice: 0.001, ..Harm::default() }, more },
        Case { name: "0.5 points, margin 0.4", harm: points(0.5), more: FINE },
        Case { name: "no difference, margin 0.4", harm: Harm::default(), more: FINE },
    ]
}

#[derive(Default)]
struct Sum {
    stopped: usize,
    asked: usize,
    done: usize,
    stages: Vec<usize>,
    commands: Vec<f64>,
    lost: Vec<f64>,
    seconds: Vec<f64>,
}

fn sum(ends: &[End]) -> Sum {
    let mut sum = Sum::default();
    for end in ends {
        match end.phase {
            Phase::Back | Phase::TakenBack => {
                sum.stopped += 1;
                sum.stages.push(end.stage + 1);
                sum.commands.push(end.commands);
            }
            Phase::Done => sum.done += 1,
            _ => sum.asked += 1,
        }
        sum.lost.push(end.lost);
        sum.seconds.push(end.seconds);
    }
    sum
}

fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

fn row(nodes: usize, way: &str, case: &str, runs: usize, mut sum: Sum) {
    let per = |count: usize| count as f64 / runs as f64 * 100.0;
    let stages = sum.stages.iter().sum::<usize>() as f64 / sum.stages.len().max(1) as f64;
    println!(
        "| {nodes} | {case} | {way} | {:.1} | {:.1} | {:.1} | {stages:.1} | {:.0} | {:.0} | {:.0} |",
        per(sum.stopped),
        per(sum.asked),
        per(sum.done),
        median(&mut sum.commands),
        median(&mut sum.lost),
        median(&mut sum.seconds),
    );
}

/// Prints the table; and, where a path is given, draws how much was lost by each way.
pub fn table(fleets: &[usize], runs: usize, seed: u64, plot: Option<&Path>) -> Result<(), String> {
    println!("| nodes | change | way | stopped % | asked % | through % | in stage | commands until stopped | payoff lost | seconds |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut drawn: Vec<Line> = Vec::new();
    for &nodes in fleets {
        for Case { name, harm, more } in cases() {
            let plan = plan(nodes, more);
            let law = Law::default();
            let seeds: Vec<u64> = (seed..seed + runs as u64).collect();
            let ends: Vec<End> =
                seeds.par_iter().map(|seed| Play::new(plan.clone(), law, harm, *seed).run(LONGEST)).collect();
            row(nodes, "stages, e-values", name, runs, sum(&ends));
            if name == "2 points" {
                point(&mut drawn, "stages, e-values", nodes, &ends);
            }
            let ways = [
                ("all at once", Plain::AllAtOnce),
                ("node by node, 30 s", Plain::NodeByNode),
                ("stages, before and after", Plain::Stages),
            ];
            for (way, plain_way) in ways {
                let runs = runs.min(if nodes > 100 { 40 } else { 200 });
                let ends: Vec<End> =
                    seeds[..runs].par_iter().map(|seed| plain(plain_way, &plan, law, harm, *seed)).collect();
                if name == "2 points" {
                    point(&mut drawn, way, nodes, &ends);
                }
                row(nodes, way, name, runs, sum(&ends));
            }
        }
    }
    match plot {
        Some(path) => crate::report::lost(path, &drawn),
        None => Ok(()),
    }
}

fn point(drawn: &mut Vec<Line>, way: &str, nodes: usize, ends: &[End]) {
    let mut lost: Vec<f64> = ends.iter().map(|end| end.lost).collect();
    let point = (nodes as f64, median(&mut lost));
    match drawn.iter_mut().find(|(known, _)| known == way) {
        Some((_, points)) => points.push(point),
        None => drawn.push((way.to_owned(), vec![point])),
    }
}
