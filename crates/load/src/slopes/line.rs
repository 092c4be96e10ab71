//! Lines through measured points.

use serde::Serialize;

/// One measurement.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// How many things there were.
    pub size: f64,
    /// What was measured.
    pub value: f64,
}

/// A line fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Growth of the value for each thing more.
    pub slope: f64,
    /// The value with none.
    pub intercept: f64,
    /// Share of the variance that the line explains.
    pub r_squared: f64,
}

impl Line {
    /// Fits a line through `points`.
    ///
    /// ```
    /// # use monsoonspread_load::slopes::{Line, Point};
    /// let points = [1.0, 2.0, 3.0].map(|size| Point { size, value: 2.0 * size + 1.0 });
    /// let line = Line::fit(&points);
    /// assert!((line.slope - 2.0).abs() < 1e-9 && (line.r_squared - 1.0).abs() < 1e-9);
    /// ```
    pub fn fit(points: &[Point]) -> Self {
        let count = points.len().max(1) as f64;
        let mean = |of: fn(&Point) -> f64| points.iter().map(of).sum::<f64>() / count;
        let mean_size = mean(|point| point.size);
        let mean_value = mean(|point| point.value);
        let sum = |of: &dyn Fn(&Point) -> f64| points.iter().map(of).sum::<f64>();
        let spread = sum(&|point| (point.size - mean_size).powi(2));
        let shared = sum(&|point| (point.size - mean_size) * (point.value - mean_value));
        let slope = if spread > 0.0 { shared / spread } else { 0.0 };
        let intercept = mean_value - slope * mean_size;
        let total = sum(&|point| (point.value - mean_value).powi(2));
        let rest = sum(&|point| (point.value - intercept - slope * point.size).powi(2));
        Self {
            slope,
            intercept,
            r_squared: if total > 0.0 { 1.0 - rest / total } else { 1.0 },
        }
    }

    /// The value that the line gives for `size` things.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
