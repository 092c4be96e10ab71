//! What the stand-ins counted.

use std::collections::BTreeMap;
use std::ops::Sub;

use monsoonspread_standin::engine::EngineCounters;
use serde::Serialize;

/// What all engines and the weight store counted together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct FleetTotals {
    /// Loads begun on engines.
    pub loads: u64,
    /// Loads that failed.
    pub failed_loads: u64,
    /// Requests that entered a batch.
    pub runs: u64,
    /// Requests that ran to their end.
    pub finished: u64,
    /// Requests cancelled by their caller.
    pub cancelled: u64,
    /// Requests refused by engines.
    pub refused: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Steps of batches.
    pub steps: u64,
    /// Requests in batches, summed over the steps.
    pub batch_sum: u64,
    /// Time that requests waited in engines for loads.
    pub engine_load_wait_ms: u64,
    /// Copies unloaded while requests used them.
    pub pin_violations: u64,
    /// Orders refused for an old fencing number.
    pub fenced_orders: u64,
    /// Prompt tokens read.
    pub prefill_tokens: u64,
    /// Prompt tokens found in prefix caches.
    pub cached_tokens: u64,
}

impl FleetTotals {
    /// Adds one engine's counters.
    pub fn add(&mut self, engine: &EngineCounters) {
        self.loads += engine.loads;
        self.failed_loads += engine.failed_loads;
        self.runs += engine.runs;
        self.finished += engine.finished;
        self.cancelled += engine.cancelled;
        self.refused += engine.refused;
        self.tokens += engine.tokens;
        self.steps += engine.steps;
        self.batch_sum += engine.batch_sum;
        self.engine_load_wait_ms += engine.auto_load_wait_ms;
        self.pin_violations += engine.pin_violations;
        self.fenced_orders += engine.fenced_orders;
        self.prefill_tokens += engine.prefill_tokens;
        self.cached_tokens += engine.cached_tokens;
    }

    /// Mean requests in a batch.
    pub fn mean_batch(&self) -> f64 {
        self.batch_sum as f64 / self.steps.max(1) as f64
    }
}

impl Sub for FleetTotals {
    type Output = Self;

    fn sub(self, earlier: Self) -> Self {
        Self {
            loads: self.loads - earlier.loads,
            failed_loads: self.failed_loads - earlier.failed_loads,
            runs: self.runs - earlier.runs,
            finished: self.finished - earlier.finished,
            cancelled: self.cancelled - earlier.cancelled,
            refused: self.refused - earlier.refused,
            tokens: self.tokens - earlier.tokens,
            steps: self.steps - earlier.steps,
            batch_sum: self.batch_sum - earlier.batch_sum,
            engine_load_wait_ms: self.engine_load_wait_ms - earlier.engine_load_wait_ms,
            pin_violations: self.pin_violations - earlier.pin_violations,
            fenced_orders: self.fenced_orders - earlier.fenced_orders,
            prefill_tokens: self.prefill_tokens - earlier.prefill_tokens,
            cached_tokens: self.cached_tokens - earlier.cached_tokens,
        }
    }
}

/// Adapter versions that ran each request, by the marker in its prompt.
pub type RunsByMarker = BTreeMap<String, Vec<String>>;
