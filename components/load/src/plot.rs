//! Plot of the fairness gap and of the number of backlogged organisations over time.

use std::path::Path;

use eyre::{Result, WrapErr, eyre};
use plotters::chart::ChartBuilder;
use plotters::prelude::{BLUE, IntoDrawingArea, RED, SVGBackend, WHITE};
use plotters::series::LineSeries;

use crate::report::LoadReport;

/// Width and height.
const PLOT_SIZE_PX: (u32, u32) = (900, 420);
/// Space reserved for the labels of each axis.
const LABEL_AREA_PX: u32 = 50;

/// Writes the plot to `path` as SVG and replaces an existing file.
pub fn plot_gap(report: &LoadReport, path: &Path) -> Result<()> {
    draw(report, path).wrap_err_with(|| format!("Failed to write plot {}", path.display()))
}

fn draw(report: &LoadReport, path: &Path) -> Result<()> {
    let end_s = report.gap.last().map_or(1.0, |point| point.at_s);
    let max_gap = report.largest_gap.max(1.0) * 1.1;
    let max_backlogged = report
        .gap
        .iter()
        .map(|point| point.backlogged)
        .max()
        .unwrap_or(0) as f64
        + 1.0;
    let area = SVGBackend::new(path, PLOT_SIZE_PX).into_drawing_area();
    area.fill(&WHITE).map_err(|error| eyre!("{error}"))?;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(LABEL_AREA_PX)
        .y_label_area_size(LABEL_AREA_PX)
        .right_y_label_area_size(LABEL_AREA_PX)
        .build_cartesian_2d(0.0..end_s, 0.0..max_gap)
        .map_err(|error| eyre!("{error}"))?
        .set_secondary_coord(0.0..end_s, 0.0..max_backlogged);
    chart
        .configure_mesh()
        .x_desc("time in s")
        .y_desc("largest gap in tokens divided by weight (red)")
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
