//! Plot of goodput and wasted prefill against offered load.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use crate::{DataPoint, LabError, MedianAndRange};

const SIZE_PX: (u32, u32) = (900, 420);
const FONT: (&str, u32) = ("sans-serif", 15);

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

/// Writes an SVG file with one line per policy; vertical bars show the range over the runs.
pub(crate) fn write(path: &Path, points: &[DataPoint]) -> Result<(), LabError> {
    draw(path, points).map_err(|err| LabError::Write {
        path: path.to_owned(),
        detail: err.to_string(),
    })
}

fn draw(path: &Path, points: &[DataPoint]) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let (left, right) = root.split_horizontally(SIZE_PX.0 / 2);
    draw_panel(&left, "Goodput", points, |point| point.goodput_ratio)?;
    draw_panel(&right, "Wasted prefill", points, |point| {
        point.wasted_prefill_ratio
    })?;
    root.present()?;
    Ok(())
}

fn draw_panel(
    area: &Area,
    title: &str,
    points: &[DataPoint],
    value: impl Fn(&DataPoint) -> MedianAndRange,
) -> Result<(), Box<dyn Error>> {
    let x_max = points.iter().map(|point| point.load).max().unwrap_or(100) as f64 * 1.05;
    let y_max = points
        .iter()
        .map(|point| value(point).high)
        .fold(0.01, f64::max)
        * 1.1;
    let mut chart = ChartBuilder::on(area)
        .caption(format!("{title} against offered load"), FONT)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max)?;
    chart
        .configure_mesh()
        .x_desc("offered load in percent")
        .y_desc("share")
        .draw()?;
    let mut policies: Vec<&str> = points.iter().map(|point| point.policy.as_str()).collect();
    policies.dedup();
    for (index, policy) in policies.into_iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let policy_points = || points.iter().filter(|point| point.policy == policy);
        let line = policy_points().map(|point| (point.load as f64, value(point).median));
        chart
            .draw_series(LineSeries::new(line, color.stroke_width(2)).point_size(3))?
            .label(policy)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        chart.draw_series(policy_points().map(|point| {
            let (load, range) = (point.load as f64, value(point));
            PathElement::new([(load, range.low), (load, range.high)], color)
        }))?;
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::MiddleLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    Ok(())
}
