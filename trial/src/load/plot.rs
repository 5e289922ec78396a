//! Plots credit over time, with one line per policy.

use std::path::Path;

use plotters::prelude::{
    BLACK, ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement,
    SVGBackend, WHITE,
};

use super::Report;

/// Size of the plot, in pixels.
const SIZE: (u32, u32) = (900, 420);
/// Length of a legend line, in pixels.
const LEGEND: i32 = 16;

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
    let length = reports.iter().map(|report| report.seconds.len()).max();
    let length = u32::try_from(length.unwrap_or(0)).unwrap_or(u32::MAX);
    let mut chart = ChartBuilder::on(&area)
        .caption("credit of each second", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0..length, 0.0..1.0)?;
    chart
        .configure_mesh()
        .x_desc("second")
        .y_desc("share of worth")
        .draw()?;
    for (index, report) in reports.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = (0..).zip(report.seconds.iter().copied());
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(report.policy.to_string())
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
