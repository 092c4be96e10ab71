//! Listed engines.

use std::fmt;
use std::sync::Arc;

use monsoonspread_borders::Engine;
use monsoonspread_model::{InstanceState, ListedInstance, UpstreamName};

/// Listed engine with its client.
#[derive(Clone)]
pub struct EngineRow {
    /// Name of the engine.
    pub name: UpstreamName,
    /// Row of the engine in the instance list.
    pub listed: ListedInstance,
    /// Client for the engine's API.
    pub client: Arc<dyn Engine>,
}

impl EngineRow {
    /// Returns whether the engine may receive new work.
    pub fn is_live(&self) -> bool {
        self.listed.state == InstanceState::Live
    }
}

impl fmt::Debug for EngineRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("EngineRow").field(&self.listed).finish()
    }
}
