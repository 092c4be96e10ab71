//! Ownership state for the state dump.

use std::collections::BTreeMap;

use monsoonspread_model::{Epoch, OwnershipTable, UpstreamName};
use serde::Serialize;

/// Ownership state of one instance.
#[derive(Clone, Debug, Serialize)]
pub struct OwnershipDump {
    /// The table in force.
    pub table: OwnershipTable,
    /// Upstreams that this instance owns, with the fencing number in use.
    pub owned: BTreeMap<UpstreamName, Epoch>,
    /// Lowest fencing number still valid for each upstream.
    pub floors: BTreeMap<UpstreamName, Epoch>,
    /// Whether the key-value service has answered since this process started.
    pub store_seen: bool,
    /// Whether this instance is shutting down gracefully.
    pub leaving: bool,
}
