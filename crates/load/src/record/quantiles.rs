//! Quantiles of times.

use hdrhistogram::Histogram;
use serde::Serialize;

/// Longest time told apart, in microseconds.
const LONGEST_US: u64 = 600_000_000;
/// Significant decimal digits kept.
const DIGITS: u8 = 3;

/// Quantiles of a set of times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// How many times there were.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 95 in 100 are at most this.
    pub p95_ms: f64,
    /// 99 in 100 are at most this.
    pub p99_ms: f64,
}

impl Quantiles {
    /// Takes the quantiles of times in microseconds.
    ///
    /// ```
    /// # use monsoonspread_load::record::Quantiles;
    /// let quantiles = Quantiles::of((1..=100).map(|ms| ms * 1_000));
    /// assert_eq!(quantiles.p50_ms.round(), 50.0);
    /// ```
    pub fn of(times_us: impl Iterator<Item = u64>) -> Self {
        let mut histogram =
            Histogram::<u64>::new_with_max(LONGEST_US, DIGITS).expect("the bounds are valid");
        times_us.for_each(|us| histogram.saturating_record(us));
        let at_ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            count: histogram.len(),
            p50_ms: at_ms(0.5),
            p95_ms: at_ms(0.95),
            p99_ms: at_ms(0.99),
        }
    }
}
