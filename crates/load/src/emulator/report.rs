//! What a run showed.

use std::path::Path;

use plotters::prelude::*;
use serde::Serialize;

use super::{EmulatorSettings, EngineChoice};
use crate::error::LoadError;
use crate::record::Quantiles;

/// Width and height of a plot in pixels.
const SIZE: (u32, u32) = (960, 480);

/// What a run showed.
#[derive(Clone, Debug, Serialize)]
pub struct EmulatedRun {
    /// How engines were chosen.
    pub choice: &'static str,
    /// Instances.
    pub instances: usize,
    /// Requests that arrived.
    pub arrivals: u64,
    /// Requests that no engine took.
    pub refused: u64,
    /// Time from arrival to grant.
    pub grant: Quantiles,
    /// Time from arrival to the first event.
    pub first_event: Quantiles,
    /// Requests of the busiest engine over the mean.
    pub busiest_over_mean: f64,
    /// The same by the time that requests take at the speed of each engine.
    pub busiest_over_mean_work: f64,
    /// Adapters brought from the weight store.
    pub loads: u64,
    /// Messages between instances.
    pub messages: u64,
    #[serde(skip)]
    pub(super) grants_ms: Vec<u64>,
    #[serde(skip)]
    pub(super) firsts_ms: Vec<u64>,
}

impl EmulatedRun {
    pub(super) fn new(settings: EmulatorSettings, choice: EngineChoice) -> Self {
        Self {
            choice: choice.name(),
            instances: settings.instances,
            arrivals: 0,
            refused: 0,
            grant: Quantiles::default(),
            first_event: Quantiles::default(),
            busiest_over_mean: 0.0,
            busiest_over_mean_work: 0.0,
            loads: 0,
            messages: 0,
            grants_ms: Vec::new(),
            firsts_ms: Vec::new(),
        }
    }

    pub(super) fn finished(
        mut self,
        settings: &EmulatorSettings,
        arrivals: u64,
        served: &[u64],
        loads: u64,
    ) -> Self {
        self.arrivals = arrivals;
        self.loads = loads;
        self.grant = Quantiles::of(self.grants_ms.drain(..).map(|ms| ms * 1_000));
        self.first_event = Quantiles::of(self.firsts_ms.drain(..).map(|ms| ms * 1_000));
        self.busiest_over_mean = busiest_over_mean(served);
        let work = served.iter().enumerate();
        let work = work.map(|(engine, count)| count * u64::from(settings.time_percent(engine)));
        self.busiest_over_mean_work = busiest_over_mean(&work.collect::<Vec<u64>>());
        self
    }
}

fn busiest_over_mean(shares: &[u64]) -> f64 {
    let busiest = shares.iter().max().copied().unwrap_or(0) as f64;
    let mean = shares.iter().sum::<u64>() as f64 / shares.len().max(1) as f64;
    if mean > 0.0 { busiest / mean } else { 0.0 }
}

/// Writes runs as a table, a line each.
pub fn run_table(runs: &[EmulatedRun]) -> String {
    let mut text = format!(
        "{:<10}{:>10}{:>10}{:>9}{:>11}{:>11}{:>11}{:>11}{:>14}{:>9}{:>8}{:>10}\n",
        "choice",
        "instances",
        "requests",
        "refused",
        "grant p50",
        "grant p99",
        "first p50",
        "first p99",
        "busiest/mean",
        "by work",
        "loads",
        "messages",
    );
    for run in runs {
        text.push_str(&format!(
            "{:<10}{:>10}{:>10}{:>9}{:>11.0}{:>11.0}{:>11.0}{:>11.0}{:>14.2}{:>9.2}{:>8}{:>10}\n",
            run.choice,
            run.instances,
            run.arrivals,
            run.refused,
            run.grant.p50_ms,
            run.grant.p99_ms,
            run.first_event.p50_ms,
            run.first_event.p99_ms,
            run.busiest_over_mean,
            run.busiest_over_mean_work,
            run.loads,
            run.messages,
        ));
    }
    text
}

/// Draws the busiest engine over the mean against the number of instances.
///
/// # Errors
///
/// Fails when the file can't be written.
pub fn write_plot(file: &Path, runs: &[EmulatedRun]) -> Result<(), LoadError> {
    let failed = |error: &dyn std::fmt::Display| LoadError::Plot(error.to_string());
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|error| failed(&error))?;
    let most = runs.iter().map(|run| run.instances).max().unwrap_or(1) as f64;
    let top = runs.iter().map(|run| run.busiest_over_mean);
    let top = top.fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .caption("Busiest engine over mean, by instances", ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d((1.0..most).log_scale(), 0.0..top * 1.1)
        .map_err(|error| failed(&error))?;
    chart
        .configure_mesh()
        .x_desc("instances")
        .y_desc("busiest / mean")
        .draw()
        .map_err(|error| failed(&error))?;
    let choices = [(EngineChoice::OwnView, RED), (EngineChoice::Quotes, BLUE)];
    for (choice, colour) in choices {
        let of_choice = runs.iter().filter(|run| run.choice == choice.name());
        let points = of_choice.map(|run| (run.instances as f64, run.busiest_over_mean));
        chart
            .draw_series(LineSeries::new(points, colour).point_size(3))
            .map_err(|error| failed(&error))?
            .label(choice.name())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], colour));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .draw()
        .map_err(|error| failed(&error))?;
    root.present().map_err(|error| failed(&error))
}
