//! Listed servers of plain services.

use std::fmt;
use std::sync::Arc;

use monsoonspread_borders::Service;
use monsoonspread_model::{InstanceState, ListedInstance, UpstreamName};

/// A listed server of a plain service with its client.
#[derive(Clone)]
pub struct ServiceRow {
    /// Its name.
    pub name: UpstreamName,
    /// Its row in the list.
    pub listed: ListedInstance,
    /// Its client.
    pub client: Arc<dyn Service>,
}

impl ServiceRow {
    /// Whether it may get new work.
    pub fn is_live(&self) -> bool {
        self.listed.state == InstanceState::Live
    }
}

impl fmt::Debug for ServiceRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("ServiceRow").field(&self.listed).finish()
    }
}
