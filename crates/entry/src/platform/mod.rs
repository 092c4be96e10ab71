//! External dependencies of the entry process, behind traits.

mod clients;

use std::sync::Arc;

use monsoonspread_borders::{Engine, InstanceList, KeyValueStore, Service};
use monsoonspread_model::ListedInstance;

pub use clients::HttpClients;

use crate::settings::Settings;

/// Creates clients for engines.
pub trait EngineFactory: Send + Sync {
    /// Creates a client for the listed engine.
    fn engine(&self, listed: &ListedInstance) -> Arc<dyn Engine>;
}

/// Creates clients for the servers of plain services.
pub trait ServiceFactory: Send + Sync {
    /// Creates a client for the listed server.
    fn service(&self, listed: &ListedInstance) -> Arc<dyn Service>;
}

/// Clients for the platform, and factories for clients of upstreams.
#[derive(Clone)]
pub struct Platform {
    /// Client for the key-value service.
    pub store: Arc<dyn KeyValueStore>,
    /// Client for the instance list.
    pub list: Arc<dyn InstanceList>,
    /// Factory for engine clients.
    pub engines: Arc<dyn EngineFactory>,
    /// Factory for clients of plain services.
    pub services: Arc<dyn ServiceFactory>,
}

impl Platform {
    /// Creates HTTP clients for the addresses in `settings`.
    ///
    /// ```
    /// # use monsoonspread_entry::{Platform, Settings};
    /// let platform = Platform::connect(&Settings::new("entry-1", "vestland-1"));
    /// # let _ = platform;
    /// ```
    pub fn connect(settings: &Settings) -> Self {
        let clients = Arc::new(HttpClients::new(settings));
        Self {
            store: clients.store(),
            list: clients.list(),
            engines: Arc::clone(&clients) as Arc<dyn EngineFactory>,
            services: clients,
        }
    }
}
