//! State dump of ownership.

use std::collections::BTreeMap;

use monsoonspread_model::{Epoch, OwnershipTable, UpstreamName};
use serde::Serialize;

/// What an instance knows and holds.
#[derive(Clone, Debug, Serialize)]
pub struct OwnershipDump {
    /// The table in force.
    pub table: OwnershipTable,
    /// Upstreams that this instance owns, with the fencing number it uses.
    pub owned: BTreeMap<UpstreamName, Epoch>,
    /// Lowest fencing number in force for each upstream.
    pub floors: BTreeMap<UpstreamName, Epoch>,
    /// Whether the key-value service has answered since this process started.
    pub store_seen: bool,
    /// Whether this instance leaves.
    pub leaving: bool,
}
