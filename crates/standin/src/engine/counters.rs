//! What an engine did.

use std::collections::BTreeMap;

use serde::Serialize;

/// What an engine did; outlives crashes, as evidence for tests.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct EngineCounters {
    /// Unload orders for copies that requests were using.
    pub pin_violations: u64,
    /// Orders refused for an old fencing number.
    pub fenced_orders: u64,
    /// Loads begun, by order or by itself.
    pub loads: u64,
    /// Loads that failed.
    pub failed_loads: u64,
    /// Copies unloaded by order.
    pub unloads: u64,
    /// Copies that the engine evicted by itself.
    pub evictions: u64,
    /// Requests that entered the batch.
    pub runs: u64,
    /// Requests finished.
    pub finished: u64,
    /// Requests cancelled by their caller.
    pub cancelled: u64,
    /// Requests refused before they ran.
    pub refused: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Steps of the batch.
    pub steps: u64,
    /// Requests in the batch, summed over steps.
    pub batch_sum: u64,
    /// Time that requests waited for a load by the engine itself, summed up.
    pub auto_load_wait_ms: u64,
    /// Prompt tokens read.
    pub prefill_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Runs by request identity.
    pub by_request: BTreeMap<String, u32>,
    /// Adapter versions that ran each marked prompt, in order.
    pub by_marker: BTreeMap<String, Vec<String>>,
}

impl EngineCounters {
    /// Mean requests in the batch over all steps.
    ///
    /// ```
    /// # use monsoonspread_standin::engine::EngineCounters;
    /// let counters = EngineCounters { batch_sum: 6, steps: 4, ..EngineCounters::default() };
    /// assert_eq!(counters.mean_batch(), 1.5);
    /// ```
    pub fn mean_batch(&self) -> f64 {
        self.batch_sum as f64 / self.steps.max(1) as f64
    }
}
