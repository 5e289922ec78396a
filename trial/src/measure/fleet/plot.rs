//! Plots the time until nine in ten pairs know a change against the size of the fleet.

use std::path::Path;

use plotters::prelude::{
    BLACK, ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement,
    SVGBackend, WHITE,
};

use super::{Report, Spread};

/// Size of the plot, in pixels.
const SIZE: (u32, u32) = (900, 420);
/// Length of a legend line, in pixels.
const LEGEND: i32 = 16;

/// A change, with its place in a report.
type Change = (&'static str, fn(&Report) -> &Spread);

const CHANGES: [Change; 3] = [
    ("announced", |report| &report.announced),
    ("crashed", |report| &report.crashed),
    ("returned", |report| &report.returned),
];

/// Plots the reports into an SVG file.
///
/// # Errors
///
/// When the file can't be drawn or written, with the reason as text.
pub fn draw(path: &Path, reports: &[Report]) -> Result<(), String> {
    draw_all(path, reports).map_err(|error| format!("can't draw {}: {error}", path.display()))
}

fn draw_all(path: &Path, reports: &[Report]) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let daemons = reports.iter().map(|report| report.daemons).max();
    let spreads = reports
        .iter()
        .flat_map(|r| [&r.announced, &r.crashed, &r.returned]);
    let longest = spreads.filter_map(|spread| spread.most_ms).max();
    let mut chart = ChartBuilder::on(&area)
        .caption("time until nine in ten pairs know", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0..daemons.unwrap_or(0), 0..longest.unwrap_or(0))?;
    chart
        .configure_mesh()
        .x_desc("daemons")
        .y_desc("milliseconds")
        .draw()?;
    for (index, (name, spread)) in CHANGES.into_iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let times = reports
            .iter()
            .filter_map(|r| Some((r.daemons, spread(r).most_ms?)));
        chart
            .draw_series(LineSeries::new(times, color.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
