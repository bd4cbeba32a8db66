//! Plots tail latency against the share of requests served by another region.

use std::path::Path;

use plotters::prelude::*;

/// One deployment's points, in ascending order of the latency weight.
pub struct Curve {
    /// Label in the legend.
    pub name: String,
    /// Share served by another region, and p99 in milliseconds.
    pub points: Vec<(f64, f64)>,
}

/// Writes a chart of the curves as an SVG file.
pub fn draw(path: &Path, curves: &[Curve]) -> Result<(), Box<dyn std::error::Error>> {
    const SIZE: (u32, u32) = (760, 480);
    const MARGIN: i32 = 12;
    let points = || curves.iter().flat_map(|curve| &curve.points);
    let max_share = points().map(|point| point.0).fold(0.01, f64::max) * 1.1;
    let max_p99 = points().map(|point| point.1).fold(1.0, f64::max) * 1.1;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "p99 against share served by another region, weights 0 to 1",
            ("sans-serif", 18),
        )
        .margin(MARGIN)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..max_share, 0.0..max_p99)?;
    chart
        .configure_mesh()
        .x_desc("share served by another region")
        .y_desc("p99, ms")
        .draw()?;
    for (index, curve) in curves.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let line = LineSeries::new(curve.points.clone(), color.stroke_width(2)).point_size(4);
        let drawn = chart.draw_series(line)?;
        drawn.label(curve.name.clone()).legend(move |(x, y)| {
            PathElement::new(vec![(x, y), (x + 18, y)], color.stroke_width(2))
        });
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
