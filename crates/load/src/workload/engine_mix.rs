//! The model engines.

use super::Section;

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
    pub(super) fn read(section: Section<'_>) -> Self {
        let engines = Self {
            count: section.whole("count", 1..=1_000),
            adapter_slots: section.whole("adapter_slots", 1..=1_000),
            batch_places: section.whole("batch_places", 1..=1_000),
            step_base_us: section.whole("step_base_us", 1..=1_000_000),
            step_per_request_us: section.whole("step_per_request_us", 0..=1_000_000),
            prefill_per_token_us: section.whole("prefill_per_token_us", 0..=1_000_000),
            report_lag_ms: section.whole("report_lag_ms", 0..=60_000),
            checking_share: section.number("checking_share", 0.0..=1.0),
            slowed: section.whole("slowed", 0..=1_000),
            slowed_factor: section.number("slowed_factor", 1.0..=1_000.0),
        };
        if engines.slowed > engines.count {
            section.fault("slowed", "must not be above count");
        }
        section.finish();
        engines
    }
}
