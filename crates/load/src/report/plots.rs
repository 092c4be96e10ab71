//! Comparisons as plots.

use std::path::Path;

use monsoonspread_model::RequestClass;
use plotters::prelude::*;

use crate::compare::{Comparison, PolicyReport};
use crate::error::LoadError;
use crate::plan::Phase;

/// Width and height of a plot in pixels.
const SIZE: (u32, u32) = (960, 480);
/// Colours of the policies in their order.
const COLOURS: [RGBColor; 5] = [
    RGBColor(120, 120, 120),
    RGBColor(200, 120, 0),
    RGBColor(0, 110, 200),
    RGBColor(0, 140, 70),
    RGBColor(170, 0, 120),
];

/// One line of a plot.
struct Curve {
    name: String,
    points: Vec<(f64, f64)>,
}

/// Writes the plots of a comparison into `directory`.
///
/// # Errors
///
/// Fails when the directory or a file can't be written.
pub fn write_plots(directory: &Path, comparison: &Comparison) -> Result<(), LoadError> {
    std::fs::create_dir_all(directory).map_err(|source| LoadError::Write {
        file: directory.to_owned(),
        source,
    })?;
    let file = |kind: &str| directory.join(format!("{}-{kind}.svg", comparison.workload));
    draw(
        &file("swing"),
        "Requests in time, by the second of the swing phase",
        ("seconds", "requests"),
        &swing_curves(comparison),
    )?;
    draw(
        &file("short-first-token"),
        "p99 of the first token of short work (0 without long work, 1 with it, 2 with slowed engines)",
        ("phase", "milliseconds"),
        &first_token_curves(comparison),
    )
}

fn swing_curves(comparison: &Comparison) -> Vec<Curve> {
    let sent = comparison.policies.first().map(|report| Curve {
        name: "sent".to_owned(),
        points: by_second(report, |second| second.sent),
    });
    let in_time = comparison.policies.iter().map(|report| Curve {
        name: report.policy.to_owned(),
        points: by_second(report, |second| second.in_time),
    });
    sent.into_iter().chain(in_time).collect()
}

fn by_second(
    report: &PolicyReport,
    of: fn(&crate::compare::SecondReport) -> u64,
) -> Vec<(f64, f64)> {
    let seconds = report.swing_seconds.iter().enumerate();
    seconds
        .map(|(second, one)| (second as f64, of(one) as f64))
        .collect()
}

fn first_token_curves(comparison: &Comparison) -> Vec<Curve> {
    let phases = [Phase::WithoutLong, Phase::WithLong, Phase::Slowed];
    let p99_ms = |report: &PolicyReport| {
        let points = phases.iter().enumerate().map(|(place, phase)| {
            let short = report.phase(*phase).class(RequestClass::Short);
            (place as f64, short.first_token.p99_ms)
        });
        points.collect()
    };
    let curves = comparison.policies.iter().map(|report| Curve {
        name: format!("{} p99", report.policy),
        points: p99_ms(report),
    });
    curves.collect()
}

fn draw(file: &Path, title: &str, axes: (&str, &str), curves: &[Curve]) -> Result<(), LoadError> {
    let points = || curves.iter().flat_map(|curve| &curve.points);
    let most_x = points().map(|point| point.0).fold(1.0, f64::max);
    let most_y = points().map(|point| point.1).fold(1.0, f64::max) * 1.05;
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(plot_error)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..most_x, 0.0..most_y)
        .map_err(plot_error)?;
    chart
        .configure_mesh()
        .x_desc(axes.0)
        .y_desc(axes.1)
        .draw()
        .map_err(plot_error)?;
    for (curve, colour) in curves.iter().zip(COLOURS) {
        let line = LineSeries::new(curve.points.iter().copied(), colour.stroke_width(2));
        chart
            .draw_series(line)
            .map_err(plot_error)?
            .label(curve.name.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()
        .map_err(plot_error)?;
    root.present().map_err(plot_error)
}

fn plot_error(error: impl std::fmt::Display) -> LoadError {
    LoadError::Plot(error.to_string())
}
