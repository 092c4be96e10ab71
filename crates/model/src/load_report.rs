//! Engine load reports.

use serde::{Deserialize, Serialize};

use crate::UnixMs;

/// The load that an engine reports, which lags behind its actual load.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// When the engine measured these values.
    pub taken_at_unix_ms: UnixMs,
    /// Number of requests in the batch.
    pub running: u32,
    /// Number of requests queued at the engine.
    pub waiting: u32,
    /// Loaded adapters.
    pub adapters: Vec<LoadedAdapter>,
    /// Whether the engine is draining and accepts no new work.
    pub draining: bool,
    /// When the engine's process started; changes with every restart.
    pub started_at_unix_ms: UnixMs,
}

/// An adapter loaded on an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadedAdapter {
    /// Name that the adapter was loaded under.
    pub name: String,
    /// Number of requests using the adapter.
    pub in_use: u32,
}
