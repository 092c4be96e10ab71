//! Load reports of engines.

use serde::{Deserialize, Serialize};

use crate::UnixMs;

/// What an engine says of itself, with a lag.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// When the engine took these figures.
    pub taken_at_unix_ms: UnixMs,
    /// Requests in the batch.
    pub running: u32,
    /// Requests waiting at the engine.
    pub waiting: u32,
    /// Loaded adapter names, with the requests that use each.
    pub adapters: Vec<LoadedAdapter>,
    /// True when the engine takes no new work.
    pub draining: bool,
    /// Changes whenever the engine's process starts anew.
    pub started_at_unix_ms: UnixMs,
}

/// One adapter that an engine holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadedAdapter {
    /// The name it was loaded under.
    pub name: String,
    /// Requests that use it now.
    pub in_use: u32,
}
