//! Charts as SVG text, which can be part of a page or a file of its own.

use crate::experiment::Cell;
use crate::judge::Judges;
use crate::scenario::Scenario;
use plotters::prelude::*;

const WIDTH_PX: u32 = 960;
const COLOURS: [RGBColor; 6] = [
    RGBColor(24, 90, 157),
    RGBColor(200, 80, 30),
    RGBColor(34, 130, 80),
    RGBColor(130, 60, 150),
    RGBColor(150, 120, 20),
    RGBColor(90, 90, 90),
];
const AXIS_COLOUR: RGBColor = RGBColor(70, 78, 90);

fn colour(i: usize) -> RGBColor {
    COLOURS[i % COLOURS.len()]
}

/// The error of a chart as text.
fn chart_error<E: std::fmt::Display>(error: E) -> String {
    format!("cannot draw a chart: {error}")
}

/// The service in each second, with the times of troubles shaded.
pub fn timeline(scenario: &Scenario, judges: &Judges) -> Result<String, String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH_PX, 300)).into_drawing_area();
        let length = scenario.length.micros() / 1e6;
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .x_label_area_size(35)
            .y_label_area_size(45)
            .build_cartesian_2d(0.0..length, 0.0..1.02)
            .map_err(chart_error)?;
        for (i, t) in scenario.troubles.iter().enumerate() {
            let (from, to) = (t.at.micros() / 1e6, (t.end().micros() / 1e6).max(t.at.micros() / 1e6 + 0.1));
            let shade =
                Rectangle::new([(from, 0.0), (to.min(length), 1.02)], colour(i + 1).mix(0.16).filled());
            chart.draw_series(std::iter::once(shade)).map_err(chart_error)?;
        }
        chart
            .configure_mesh()
            .light_line_style(WHITE)
            .axis_style(AXIS_COLOUR)
            .x_desc("seconds")
            .y_desc("service")
            .x_label_formatter(&|x| format!("{x:.0}"))
            .y_label_formatter(&|y| format!("{y:.1}"))
            .draw()
            .map_err(chart_error)?;
        let seconds = &judges.service.seconds;
        let points = seconds.iter().enumerate().filter(|(_, s)| s.asked > 0.0);
        let line: Vec<(f64, f64)> = points.map(|(i, s)| (i as f64 + 0.5, s.served / s.asked)).collect();
        chart.draw_series(LineSeries::new(line, colour(0).stroke_width(2))).map_err(chart_error)?;
        let max = seconds.iter().map(|s| s.commands).max().unwrap_or(1).max(1) as f64;
        let load: Vec<(f64, f64)> = seconds
            .iter()
            .enumerate()
            .map(|(i, s)| (i as f64 + 0.5, 0.3 * s.commands as f64 / max))
            .collect();
        chart.draw_series(AreaSeries::new(load, 0.0, AXIS_COLOUR.mix(0.18))).map_err(chart_error)?;
        area.present().map_err(chart_error)?;
    }
    Ok(svg + "<p class=\"note\">Grey: the number of commands due, relative to the busiest second.</p>\n")
}

/// The latency percentiles of finished commands by profile, on a logarithmic time scale.
pub fn latency(scenario: &Scenario, judges: &Judges) -> Result<String, String> {
    let profiles = &judges.service.profiles;
    let max = profiles.iter().map(|p| p.latency_us.max()).max().unwrap_or(1).max(1000) as f64 / 1e3;
    let min =
        profiles.iter().filter(|p| !p.latency_us.is_empty()).map(|p| p.latency_us.min()).min().unwrap_or(1);
    let min = (min as f64 / 1e3).clamp(0.1, max / 2.0);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH_PX, 320)).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .x_label_area_size(35)
            .y_label_area_size(50)
            .build_cartesian_2d((min..max * 1.05).log_scale(), 0.0..4.0)
            .map_err(chart_error)?;
        chart
            .configure_mesh()
            .light_line_style(WHITE)
            .axis_style(AXIS_COLOUR)
            .x_desc("milliseconds")
            .y_desc("percentile")
            .y_labels(5)
            .x_label_formatter(&|x: &f64| if *x < 10.0 { format!("{x:.1}") } else { format!("{x:.0}") })
            .y_label_formatter(&|y: &f64| match y.round() as i32 {
                0 => "0".into(),
                1 => "90".into(),
                2 => "99".into(),
                3 => "99.9".into(),
                _ => "99.99".into(),
            })
            .draw()
            .map_err(chart_error)?;
        for (i, (p, profile)) in profiles.iter().zip(&scenario.profiles).enumerate() {
            if p.latency_us.is_empty() {
                continue;
            }
            // The curve ends at the percentile that the number of answers can show.
            let nines = ((p.latency_us.len() as f64).log10()).min(4.0);
            let steps = (0..=200).map(|k| f64::from(k) / 200.0 * nines);
            let line: Vec<(f64, f64)> = steps
                .map(|y| (p.latency_us.value_at_quantile(1.0 - 10f64.powf(-y)) as f64 / 1e3, y))
                .collect();
            chart
                .draw_series(LineSeries::new(line, colour(i).stroke_width(2)))
                .map_err(chart_error)?
                .label(profile.name.clone())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour(i).stroke_width(2)));
            let goal = (p.goal_us / 1e3).clamp(min, max * 1.05);
            let dash = vec![(goal, 0.0), (goal, 4.0)];
            chart
                .draw_series(DashedLineSeries::new(dash, 4, 4, colour(i).stroke_width(1)))
                .map_err(chart_error)?;
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .border_style(AXIS_COLOUR)
            .background_style(WHITE)
            .draw()
            .map_err(chart_error)?;
        area.present().map_err(chart_error)?;
    }
    Ok(svg + "<p class=\"note\">Measured from the time a command was due. Dashed: the goal times.</p>\n")
}

/// The launches as a heat map with one row per backend and one column per second.
pub fn backends(judges: &Judges) -> Result<String, String> {
    let rows = &judges.service.launches_by_backend;
    let seconds = rows.first().map_or(0, Vec::len);
    let max = rows.iter().flatten().max().copied().unwrap_or(0).max(1) as f64;
    let height_px = (rows.len() as u32 * 14).clamp(60, 900) + 45;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH_PX, height_px)).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .x_label_area_size(25)
            .y_label_area_size(45)
            .build_cartesian_2d(0.0..seconds.max(1) as f64, 0.0..rows.len().max(1) as f64)
            .map_err(chart_error)?;
        chart
            .configure_mesh()
            .disable_mesh()
            .axis_style(AXIS_COLOUR)
            .y_labels(rows.len().clamp(1, 20))
            .y_label_formatter(&|y| format!("{y:.0}"))
            .x_label_formatter(&|x| format!("{x:.0}"))
            .draw()
            .map_err(chart_error)?;
        let cells = rows.iter().enumerate().flat_map(|(y, row)| {
            row.iter()
                .enumerate()
                .filter(|(_, n)| **n > 0)
                .map(move |(x, n)| (x as f64, y as f64, *n as f64 / max))
        });
        let drawn = cells.map(|(x, y, part)| {
            let style = colour(0).mix(0.1 + 0.9 * part).filled();
            Rectangle::new([(x, y), (x + 1.0, y + 1.0)], style)
        });
        chart.draw_series(drawn).map_err(chart_error)?;
        area.present().map_err(chart_error)?;
    }
    Ok(svg)
}

/// The service as one line per policy: over the first parameter if its values are numbers, otherwise by cell.
pub fn experiment(title: &str, cells: &[&Cell]) -> Result<String, String> {
    let key = cells.first().and_then(|c| c.parameters.keys().next());
    let number = |c: &Cell| key.and_then(|key| c.parameters[key].parse::<f64>().ok());
    let all_numbers = cells.iter().all(|c| number(c).is_some());
    let mut lines: Vec<(String, Vec<(f64, &Cell)>)> = Vec::new();
    for (i, cell) in cells.iter().enumerate() {
        let at = match lines.iter().position(|(policy, _)| *policy == cell.policy) {
            Some(at) => at,
            None => {
                lines.push((cell.policy.clone(), Vec::new()));
                lines.len() - 1
            }
        };
        let x = number(cell).filter(|_| all_numbers).unwrap_or(i as f64);
        lines[at].1.push((x, cell));
    }
    let xs = || lines.iter().flat_map(|(_, line)| line.iter().map(|(x, _)| *x));
    let (low, high) = (xs().fold(f64::MAX, f64::min), xs().fold(f64::MIN, f64::max));
    let padding = ((high - low) * 0.05).max(0.01);
    let min = cells.iter().map(|c| c.service).fold(1.0, f64::min);
    let floor = (min - 0.05).clamp(0.0, 0.9);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH_PX, 420)).into_drawing_area();
        area.fill(&WHITE).map_err(chart_error)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(55)
            .build_cartesian_2d(low - padding..high + padding, floor..1.01)
            .map_err(chart_error)?;
        chart
            .configure_mesh()
            .light_line_style(WHITE)
            .axis_style(AXIS_COLOUR)
            .x_desc(if all_numbers { key.map_or("", |k| k.as_str()) } else { "cell" })
            .y_desc("service")
            .draw()
            .map_err(chart_error)?;
        for (i, (policy, line)) in lines.iter().enumerate() {
            let points: Vec<(f64, f64)> = line.iter().map(|(x, c)| (*x, c.service)).collect();
            chart
                .draw_series(LineSeries::new(points.clone(), colour(i).stroke_width(2)))
                .map_err(chart_error)?
                .label(policy.clone())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour(i).stroke_width(2)));
            let bars = line.iter().map(|(x, c)| {
                let half = c.service_half.unwrap_or(0.0);
                PathElement::new([(*x, c.service - half), (*x, c.service + half)], colour(i).stroke_width(1))
            });
            chart.draw_series(bars).map_err(chart_error)?;
            chart
                .draw_series(points.iter().map(|p| Circle::new(*p, 3, colour(i).filled())))
                .map_err(chart_error)?;
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerLeft)
            .border_style(AXIS_COLOUR)
            .background_style(WHITE)
            .draw()
            .map_err(chart_error)?;
        area.present().map_err(chart_error)?;
    }
    Ok(svg)
}
