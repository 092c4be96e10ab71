//! Listed servers of plain services.

use std::fmt;
use std::sync::Arc;

use monsoonspread_borders::Service;
use monsoonspread_model::{InstanceState, ListedInstance, UpstreamName};

/// Listed server of a plain service with its client.
#[derive(Clone)]
pub struct ServiceRow {
    /// Name of the server.
    pub name: UpstreamName,
    /// Row of the server in the instance list.
    pub listed: ListedInstance,
    /// Client for the server.
    pub client: Arc<dyn Service>,
}

impl ServiceRow {
    /// Returns whether the server may receive new work.
    pub fn is_live(&self) -> bool {
        self.listed.state == InstanceState::Live
    }
}

impl fmt::Debug for ServiceRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("ServiceRow").field(&self.listed).finish()
    }
}
