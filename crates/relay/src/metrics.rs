//! Counters and latency histograms in text format.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;

use hdrhistogram::Histogram;

/// Maximum recorded latency, in milliseconds; longer ones are recorded as this.
const MAX_LATENCY_MS: u64 = 120_000;
/// Precision of recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Exported quantiles.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

/// Counters and latency histograms.
#[derive(Debug, Default)]
pub struct Metrics {
    counters: RefCell<BTreeMap<(&'static str, &'static str), u64>>,
    latencies: RefCell<BTreeMap<&'static str, Histogram<u32>>>,
}

impl Metrics {
    /// Counts an event `name` that ended as `outcome`.
    pub fn count(&self, name: &'static str, outcome: &'static str) {
        *self
            .counters
            .borrow_mut()
            .entry((name, outcome))
            .or_default() += 1;
    }

    /// Records a latency in milliseconds.
    pub fn record_latency(&self, name: &'static str, ms: u64) {
        let mut latencies = self.latencies.borrow_mut();
        if !latencies.contains_key(name) {
            let Ok(empty) = Histogram::new_with_bounds(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
            else {
                return;
            };
            latencies.insert(name, empty);
        }
        if let Some(histogram) = latencies.get_mut(name) {
            histogram.saturating_record(ms);
        }
    }

    /// Returns all metrics as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for ((name, outcome), count) in self.counters.borrow().iter() {
            let _ = writeln!(
                text,
                "monsoonspread_{name}_total{{outcome=\"{outcome}\"}} {count}"
            );
        }
        for (name, histogram) in self.latencies.borrow().iter() {
            for quantile in QUANTILES {
                let ms = histogram.value_at_quantile(quantile);
                let _ = writeln!(
                    text,
                    "monsoonspread_{name}_ms{{quantile=\"{quantile}\"}} {ms}"
                );
            }
            let _ = writeln!(text, "monsoonspread_{name}_ms_count {}", histogram.len());
        }
        text
    }
}
