//! Line plots as SVG files.

use plotters::prelude::*;
use std::path::Path;

/// A line of a plot: its name and its points.
pub type Line = (String, Vec<(f64, f64)>);

type DrawResult = Result<(), DrawingAreaErrorKind<std::io::Error>>;

/// Plots the lines with formatters for the labels of both axes. An error names the file.
pub fn plot_lines(
    path: &Path,
    title: &str,
    lines: &[Line],
    x_label: impl Fn(&f64) -> String,
    y_label: impl Fn(&f64) -> String,
) -> Result<(), String> {
    draw(path, title, lines, &x_label, &y_label).map_err(|error| format!("{}: {error}", path.display()))
}

/// The range of the values with 5% of padding on either side.
fn axis_range(values: impl Iterator<Item = f64>) -> std::ops::Range<f64> {
    let (low, high) = values.fold((f64::MAX, f64::MIN), |(low, high), v| (low.min(v), high.max(v)));
    let padding = ((high - low) * 0.05).max(1e-3);
    if low <= high {
        low - padding..high + padding
    } else {
        0.0..1.0
    }
}

fn draw(
    path: &Path,
    title: &str,
    lines: &[Line],
    x_label: &dyn Fn(&f64) -> String,
    y_label: &dyn Fn(&f64) -> String,
) -> DrawResult {
    let all = || lines.iter().flat_map(|(_, points)| points);
    let area = SVGBackend::new(path, (900, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut builder = ChartBuilder::on(&area);
    builder.margin(10).caption(title, ("sans-serif", 18)).x_label_area_size(30).y_label_area_size(70);
    let mut chart =
        builder.build_cartesian_2d(axis_range(all().map(|p| p.0)), axis_range(all().map(|p| p.1)))?;
    chart.configure_mesh().x_label_formatter(&x_label).y_label_formatter(&y_label).draw()?;
    for (index, (name, points)) in lines.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let series = chart.draw_series(LineSeries::new(points.iter().copied(), colour.stroke_width(2)))?;
        series
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour.stroke_width(2)));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE.mix(0.8)).draw()?;
    area.present()
}
