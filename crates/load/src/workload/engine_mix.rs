//! The model engines.

use monsoonspread_model::toml_check::TableReader;

/// The model engines, spread evenly over the zones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineMix {
    /// How many there are.
    pub count: u64,
    /// Adapters that each can hold.
    pub adapter_slots: u64,
    /// Requests in a batch.
    pub batch_places: u64,
    /// Length of a step with an empty batch.
    pub step_base_us: u64,
    /// Added to a step for each request in the batch.
    pub step_per_request_us: u64,
    /// Added to a step for each adapter in the batch.
    pub step_per_adapter_us: u64,
    /// Added to a step for each token of a prompt that is read in it.
    pub prefill_per_token_us: u64,
    /// Age of the figures in a load report.
    pub report_lag_ms: u64,
    /// Share of the engines that refuse orders with an old fencing number.
    pub checking_share: f64,
    /// Engines slowed in the middle of a phase.
    pub slowed: u64,
    /// Length of a slowed engine's step over its usual length.
    pub slowed_factor: f64,
}

impl EngineMix {
    pub(super) fn read(table: &TableReader<'_>) -> Option<Self> {
        let count = table.integer("count", 1..=1_000);
        let adapter_slots = table.integer("adapter_slots", 1..=1_000);
        let batch_places = table.integer("batch_places", 1..=1_000);
        let step_base_us = table.integer("step_base_us", 1..=1_000_000);
        let step_per_request_us = table.integer("step_per_request_us", 0..=1_000_000);
        let step_per_adapter_us = table.integer("step_per_adapter_us", 0..=1_000_000);
        let prefill_per_token_us = table.integer("prefill_per_token_us", 0..=1_000_000);
        let report_lag_ms = table.integer("report_lag_ms", 0..=60_000);
        let checking_share = table.float("checking_share", 0.0..=1.0);
        let slowed = table.integer("slowed", 0..=1_000);
        let slowed_factor = table.float("slowed_factor", 1.0..=1_000.0);
        let engines = Self {
            count: count?,
            adapter_slots: adapter_slots?,
            batch_places: batch_places?,
            step_base_us: step_base_us?,
            step_per_request_us: step_per_request_us?,
            step_per_adapter_us: step_per_adapter_us?,
            prefill_per_token_us: prefill_per_token_us?,
            report_lag_ms: report_lag_ms?,
            checking_share: checking_share?,
            slowed: slowed?,
            slowed_factor: slowed_factor?,
        };
        if engines.slowed > engines.count {
            table.finding("slowed", "must not be above count");
        }
        Some(engines)
    }
}
