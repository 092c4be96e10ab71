//! Distances.

use monsoonspread_model::toml_check::TableReader;

/// One-way delays.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Network {
    /// Between two zones.
    pub zone_one_way_ms: f64,
    /// Between a client and the platform's balancer.
    pub client_one_way_ms: f64,
}

impl Network {
    pub(super) fn read(table: &TableReader<'_>) -> Option<Self> {
        let zone_one_way_ms = table.float("zone_one_way_ms", 0.0..=1_000.0);
        let client_one_way_ms = table.float("client_one_way_ms", 0.0..=1_000.0);
        let network = Self {
            zone_one_way_ms: zone_one_way_ms?,
            client_one_way_ms: client_one_way_ms?,
        };
        Some(network)
    }
}
