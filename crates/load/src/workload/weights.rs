//! The weight store.

use super::Section;

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
    pub(super) fn read(section: Section<'_>) -> Self {
        let weights = Self {
            loads_per_s: section.number("loads_per_s", 0.1..=10_000.0),
            full_speed_loads: section.whole("full_speed_loads", 1..=10_000),
            load_ms: section.whole("load_ms", 1..=60_000),
            transit_limit: section.whole("transit_limit", 1..=10_000),
        };
        section.finish();
        weights
    }
}
