//! Measurements at several sizes.

use serde::Serialize;

use super::{Line, Point};

/// What a measurement counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Unit {
    /// Bytes.
    Bytes,
    /// Microseconds of one core.
    Us,
}

impl Unit {
    /// The unit's name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Unit::Bytes => "bytes",
            Unit::Us => "us",
        }
    }
}

/// One thing to measure at several sizes.
#[derive(Clone, Copy, Debug)]
pub struct Probe {
    /// Its name in reports and in the capacity page.
    pub name: &'static str,
    /// What it counts.
    pub unit: Unit,
    /// What the size counts.
    pub per: &'static str,
    /// The sizes.
    pub sizes: &'static [usize],
    /// Measures at one size.
    pub measure: fn(usize) -> f64,
}

impl Probe {
    /// Measures at every size and fits a line.
    pub fn run(&self) -> Slope {
        let points: Vec<Point> = self
            .sizes
            .iter()
            .map(|size| Point {
                size: *size as f64,
                value: (self.measure)(*size),
            })
            .collect();
        Slope {
            name: self.name,
            unit: self.unit,
            per: self.per,
            line: Line::fit(&points),
            points,
        }
    }
}

/// A measured slope.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Slope {
    /// Name of the probe.
    pub name: &'static str,
    /// What was measured.
    pub unit: Unit,
    /// What the size counts.
    pub per: &'static str,
    /// The fitted line.
    pub line: Line,
    /// The measurements.
    pub points: Vec<Point>,
}
