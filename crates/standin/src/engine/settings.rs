//! Settings of an engine.

use std::time::Duration;

use serde::Deserialize;

/// How an engine behaves.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Name of the engine.
    pub name: String,
    /// Adapters that it can hold.
    pub adapter_slots: usize,
    /// Requests that run in one batch.
    pub batch_places: usize,
    /// Requests that wait; more are refused.
    pub max_waiting: usize,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Whether a request for an absent adapter makes it load that adapter by itself.
    pub auto_load: bool,
    /// Part of a step's time that is always there.
    pub step_base_ms: f64,
    /// Part of a step's time for each request in the batch.
    pub step_per_request_ms: f64,
    /// Part of a step's time for each adapter in the batch.
    pub step_per_adapter_ms: f64,
    /// Time to read one token of a prompt that the prefix cache lacks.
    pub prefill_per_token_ms: f64,
    /// Blocks of prompts that the prefix cache holds.
    pub prefix_cache_blocks: usize,
    /// Tokens in one chunk of a stream, after the first token.
    pub tokens_per_chunk: u32,
    /// How old a load report is.
    pub report_lag_ms: u64,
    /// Time until it is back after a restart.
    pub cold_start_ms: u64,
    /// Factor on all times.
    pub time_scale: f64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            name: "engine-1".to_owned(),
            adapter_slots: 8,
            batch_places: 16,
            max_waiting: 1_024,
            checks_fencing: true,
            auto_load: false,
            step_base_ms: 12.0,
            step_per_request_ms: 0.4,
            step_per_adapter_ms: 0.7,
            prefill_per_token_ms: 0.05,
            prefix_cache_blocks: 4_096,
            tokens_per_chunk: 1,
            report_lag_ms: 500,
            cold_start_ms: 3_000,
            time_scale: 1.0,
        }
    }
}

impl EngineSettings {
    /// Scales a time in milliseconds.
    pub(super) fn scaled(&self, time_ms: f64) -> Duration {
        Duration::from_secs_f64((time_ms * self.time_scale).max(0.0) / 1_000.0)
    }

    pub(super) fn cold_start(&self) -> Duration {
        self.scaled(self.cold_start_ms as f64)
    }

    pub(super) fn report_lag(&self) -> Duration {
        self.scaled(self.report_lag_ms as f64)
    }
}
