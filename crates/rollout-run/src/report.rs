//! The report of a rolling change, and its plots.

use rollout::journal::Record;
use std::fmt::Write as _;
use std::path::Path;
use yarrowfront_fleet::plot::{plot_lines, Line};

/// Plots the payoff lost by each strategy, in units of commands, over the size of the fleet. Both axes are logarithmic.
pub fn plot_payoff_lost(path: &Path, lines_by_strategy: &[Line]) -> Result<(), String> {
    let decades = |(nodes, lost): &(f64, f64)| (nodes.log10(), lost.max(1.0).log10());
    let lines_by_strategy: Vec<Line> = lines_by_strategy
        .iter()
        .map(|(name, points)| (name.clone(), points.iter().map(decades).collect()))
        .collect();
    let label = |decades: &f64| format!("{:.0}", 10f64.powf(*decades));
    plot_lines(
        path,
        "payoff lost to a change that costs 2 points, by number of nodes",
        &lines_by_strategy,
        label,
        label,
    )
}

/// One sample of a measure. The file `figures` holds one sample per line as a JSON array.
#[derive(Clone, Debug, PartialEq)]
pub struct MeasureSample {
    pub at: f64,
    pub stage: usize,
    pub name: String,
    pub mean: f64,
    pub half_width: Option<f64>,
    pub margin: f64,
    pub commands: (f64, f64),
    pub capitals: (f64, f64),
}

impl MeasureSample {
    pub fn to_line(&self) -> String {
        let MeasureSample { at, stage, name, mean, half_width, margin, commands, capitals } = self;
        serde_json::json!([
            at, stage, name, mean, half_width, margin, commands.0, commands.1, capitals.0, capitals.1
        ])
        .to_string()
    }

    pub fn parse(line: &str) -> Option<MeasureSample> {
        type Line = (f64, usize, String, f64, Option<f64>, f64, f64, f64, f64, f64);
        let (at, stage, name, mean, half_width, margin, c, u, harm, no_harm): Line =
            serde_json::from_str(line).ok()?;
        Some(MeasureSample {
            at,
            stage,
            name,
            mean,
            half_width,
            margin,
            commands: (c, u),
            capitals: (harm, no_harm),
        })
    }
}

/// A record as text, for the log and the report.
pub fn describe(record: &Record) -> String {
    match record {
        Record::Begin { leg, former, new, .. } => format!("leg {leg}: from {former} to {new}"),
        Record::Leadership { term, leader } => format!("controller {leader} leads in term {term}"),
        Record::Stage { stage, nodes } => format!("stage {}: {}", stage + 1, nodes.join(", ")),
        Record::ActionStarted { node, action } => format!("{node}: {}", action.as_str()),
        Record::ActionFinished { node, action, error: None } => format!("{node}: {}: done", action.as_str()),
        Record::ActionFinished { node, action, error: Some(error) } => {
            format!("{node}: {}: {error}", action.as_str())
        }
        Record::Hold { reason, needs_operator: true } => format!("ON HOLD, OPERATOR NEEDED: {reason}"),
        Record::Hold { reason, .. } => format!("on hold: {reason}"),
        Record::Resumed => "resumed".to_owned(),
        Record::Passed { stage, grounds } => format!("stage {} has passed by {grounds}", stage + 1),
        Record::Ordered { order } => format!("operator order: {order:?}").to_lowercase(),
        Record::RollbackStarted { reason } => format!("ROLLING BACK: {reason}"),
        Record::Confirming => "all stages have passed; trials are being confirmed".to_owned(),
        Record::Done => "DONE: all nodes have the new version".to_owned(),
        Record::RolledBack => "ROLLED BACK: all nodes have the former version".to_owned(),
    }
}

/// The records as text, one per line, with the seconds since the first. Renewals of trials are left out.
pub fn describe_all(records: &[(u64, Record)]) -> String {
    let start = records.first().map_or(0, |(at, _)| *at);
    let is_renewal = |record: &Record| {
        matches!(record, Record::ActionStarted { action: rollout::journal::Action::RenewTrial, .. })
    };
    let mut text = String::new();
    for (at, record) in records.iter().filter(|(_, record)| !is_renewal(record)) {
        let _ = writeln!(text, "{:8.1} s  {}", (at.saturating_sub(start)) as f64 / 1e6, describe(record));
    }
    text
}

/// Writes the report and its plots into the plan's directory.
pub fn write_report(
    folder: &Path,
    name: &str,
    records: &[(u64, Record)],
    samples: &[MeasureSample],
) -> Result<(), String> {
    let mut page =
        format!("# {name}\n\nDecisions, in seconds since the start:\n\n```\n{}```\n", describe_all(records));
    let mut last: Vec<&MeasureSample> = Vec::new();
    for sample in samples {
        last.retain(|known| (known.stage, &known.name) != (sample.stage, &sample.name));
        last.push(sample);
    }
    last.sort_by_key(|sample| sample.stage);
    page.push_str("\nChanged against unchanged nodes, in points, with a 95% confidence band that is valid at all times; the commands of \
        a stage on either side; and the capital, as a multiple of the initial one, of the bettors against \"no harm\" and \
        against \"harm beyond the margin\" (stopped at the configured odds, passed at 20).\n\n\
        | stage | measure | worse by | band | margin | commands changed | unchanged | harm | no harm |\n\
        | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for f in &last {
        let band = f.half_width.map_or("too few".to_owned(), |half| format!("+-{:.2}", half * 100.0));
        let _ = writeln!(
            page,
            "| {} | {} | {:+.2} | {band} | {:.2} | {:.0} | {:.0} | {:.3} | {:.3} |",
            f.stage + 1,
            f.name,
            f.mean * 100.0,
            f.margin * 100.0,
            f.commands.0,
            f.commands.1,
            f.capitals.0,
            f.capitals.1
        );
    }
    let mut names: Vec<&str> = samples.iter().map(|sample| sample.name.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    for (index, measure) in names.into_iter().enumerate() {
        let samples: Vec<&MeasureSample> = samples.iter().filter(|sample| sample.name == measure).collect();
        let file = format!("measure-{index}.svg");
        plot_measure(&folder.join(&file), measure, &samples)?;
        let _ = writeln!(page, "\n![{measure}]({file})");
    }
    let path = folder.join("report.md");
    std::fs::write(&path, page).map_err(|e| format!("{}: {e}", path.display()))
}

/// Plots a measure over time with its confidence band and its margin.
fn plot_measure(path: &Path, title: &str, samples: &[&MeasureSample]) -> Result<(), String> {
    let start = samples.first().map_or(0.0, |f| f.at);
    let line = |name: &str, of: &dyn Fn(&MeasureSample) -> Option<f64>| -> Line {
        let points = samples.iter().filter_map(|f| Some((f.at - start, of(f)? * 100.0)));
        (name.to_owned(), points.collect())
    };
    let plotted = [
        line("changed minus unchanged", &|f| Some(f.mean)),
        line("upper band", &|f| Some(f.mean + f.half_width?)),
        line("lower band", &|f| Some(f.mean - f.half_width?)),
        line("margin", &|f| Some(f.margin)),
    ];
    let label = |value: &f64| format!("{value:.1}");
    plot_lines(path, &format!("{title}: points, by seconds"), &plotted, label, label)
}
