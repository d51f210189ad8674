//! Plot of the gap and the backlogged organisations over time.

use std::path::Path;

use eyre::{Result, WrapErr, eyre};
use plotters::chart::ChartBuilder;
use plotters::prelude::{BLUE, IntoDrawingArea, RED, SVGBackend, WHITE};
use plotters::series::LineSeries;

use crate::report::LoadReport;

/// Width and height of the plot, in pixels.
const SIZE: (u32, u32) = (900, 420);
/// Width of the labels at each axis, in pixels.
const LABELS: u32 = 50;

/// Writes the plot as SVG.
pub fn plot_gap(report: &LoadReport, path: &Path) -> Result<()> {
    draw(report, path).wrap_err_with(|| format!("Failed to write plot {}", path.display()))
}

fn draw(report: &LoadReport, path: &Path) -> Result<()> {
    let last = report.gap.last().map_or(1.0, |point| point.at_s);
    let most_gap = report.largest_gap.max(1.0) * 1.1;
    let most_backlogged = report
        .gap
        .iter()
        .map(|point| point.backlogged)
        .max()
        .unwrap_or(0) as f64
        + 1.0;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| eyre!("{error}"))?;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(LABELS)
        .y_label_area_size(LABELS)
        .right_y_label_area_size(LABELS)
        .build_cartesian_2d(0.0..last, 0.0..most_gap)
        .map_err(|error| eyre!("{error}"))?
        .set_secondary_coord(0.0..last, 0.0..most_backlogged);
    chart
        .configure_mesh()
        .x_desc("time in s")
        .y_desc("largest gap in tokens over weight (red)")
        .draw()
        .map_err(|error| eyre!("{error}"))?;
    chart
        .configure_secondary_axes()
        .y_desc("backlogged organisations (blue)")
        .draw()
        .map_err(|error| eyre!("{error}"))?;
    let gaps = report.gap.iter().map(|point| (point.at_s, point.gap));
    chart
        .draw_series(LineSeries::new(gaps, &RED))
        .map_err(|error| eyre!("{error}"))?;
    let counts = report
        .gap
        .iter()
        .map(|point| (point.at_s, point.backlogged as f64));
    chart
        .draw_secondary_series(LineSeries::new(counts, &BLUE))
        .map_err(|error| eyre!("{error}"))?;
    area.present().map_err(|error| eyre!("{error}"))
}
