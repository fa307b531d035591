//! Plots of curves as SVG files.

use std::path::Path;

use anyhow::Context;
use plotters::coord::Shift;
use plotters::coord::ranged1d::ValueFormatter;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;

use crate::result::Curve;

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (720, 420);

/// Writes the plot of a curve to `EXPERIMENT-CURVE.svg` in a directory.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub fn draw(experiment: &str, curve: &Curve, folder: &Path) -> anyhow::Result<()> {
    let path = folder.join(format!("{experiment}-{}.svg", curve.name));
    draw_at(curve, &path).with_context(|| format!("cannot draw {}", path.display()))
}

fn draw_at(curve: &Curve, path: &Path) -> anyhow::Result<()> {
    let values = || curve.series.values().flatten().map(|(_, y)| *y);
    // The vertical range must not be empty, even if all values are 0.
    let top = values().fold(0.0, f64::max).max(1e-9);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    if curve.logarithmic {
        let bottom = values().fold(top, f64::min);
        let range: LogCoord<f64> = (bottom * 0.5..top * 4.0).log_scale().into();
        draw_series(curve, &area, range)?;
    } else {
        let range: RangedCoordf64 = (0.0..top * 1.3).into();
        draw_series(curve, &area, range)?;
    }
    area.present()?;
    Ok(())
}

fn draw_series<Y>(
    curve: &Curve,
    area: &DrawingArea<SVGBackend, Shift>,
    vertical: Y,
) -> anyhow::Result<()>
where
    Y: Ranged<ValueType = f64> + ValueFormatter<f64>,
{
    let points = curve.series.values().flatten();
    let right = points.map(|(x, _)| *x).fold(1e-9, f64::max);
    let mut chart = ChartBuilder::on(area)
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(80)
        .build_cartesian_2d(0.0..right * 1.05, vertical)?;
    chart
        .configure_mesh()
        .x_desc(curve.x.as_str())
        .y_desc(curve.y.as_str())
        .draw()?;
    for (number, (name, points)) in curve.series.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        chart
            .draw_series(LineSeries::new(points.iter().copied(), &color).point_size(3))?
            .label(name.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    Ok(())
}
