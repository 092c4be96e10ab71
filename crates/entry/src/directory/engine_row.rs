//! Listed engines.

use std::fmt;
use std::sync::Arc;

use monsoonspread_borders::Engine;
use monsoonspread_model::{InstanceState, ListedInstance, UpstreamName};

/// A listed engine with its client.
#[derive(Clone)]
pub struct EngineRow {
    /// Its name.
    pub name: UpstreamName,
    /// Its row in the list.
    pub listed: ListedInstance,
    /// Its client.
    pub client: Arc<dyn Engine>,
}

impl EngineRow {
    /// Whether it may get new work.
    pub fn is_live(&self) -> bool {
        self.listed.state == InstanceState::Live
    }
}

impl fmt::Debug for EngineRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("EngineRow").field(&self.listed).finish()
    }
}
