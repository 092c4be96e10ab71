//! The weight store.

use monsoonspread_model::toml_check::TableReader;

/// The rate-limited weight store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Loads that may start in a second.
    pub loads_per_s: f64,
    /// Loads that run at full speed at a time.
    pub full_speed_loads: u64,
    /// Length of a load at full speed.
    pub load_ms: u64,
    /// Loads in transit beyond which all take proportionally longer.
    pub transit_limit: u64,
}

impl Weights {
    pub(super) fn read(table: &TableReader<'_>) -> Option<Self> {
        let loads_per_s = table.float("loads_per_s", 0.1..=10_000.0);
        let full_speed_loads = table.integer("full_speed_loads", 1..=10_000);
        let load_ms = table.integer("load_ms", 1..=60_000);
        let transit_limit = table.integer("transit_limit", 1..=10_000);
        let weights = Self {
            loads_per_s: loads_per_s?,
            full_speed_loads: full_speed_loads?,
            load_ms: load_ms?,
            transit_limit: transit_limit?,
        };
        Some(weights)
    }
}
