//! Distances.

use super::Section;

/// One-way delays.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Network {
    /// Between two zones.
    pub zone_one_way_ms: f64,
    /// Between a client and the platform's balancer.
    pub client_one_way_ms: f64,
}

impl Network {
    pub(super) fn read(section: Section<'_>) -> Self {
        let network = Self {
            zone_one_way_ms: section.number("zone_one_way_ms", 0.0..=1_000.0),
            client_one_way_ms: section.number("client_one_way_ms", 0.0..=1_000.0),
        };
        section.finish();
        network
    }
}
