//! What the entry needs from the outside, behind traits.

mod clients;

use std::sync::Arc;

use monsoonspread_borders::{Engine, InstanceList, KeyValueStore, Service};
use monsoonspread_model::ListedInstance;

pub use clients::HttpClients;

use crate::settings::Settings;

/// Makes clients of engines.
pub trait EngineFactory: Send + Sync {
    /// A client of the listed engine.
    fn engine(&self, listed: &ListedInstance) -> Arc<dyn Engine>;
}

/// Makes clients of plain services' servers.
pub trait ServiceFactory: Send + Sync {
    /// A client of the listed server.
    fn service(&self, listed: &ListedInstance) -> Arc<dyn Service>;
}

/// The platform and the upstreams.
#[derive(Clone)]
pub struct Platform {
    /// Key-value service.
    pub store: Arc<dyn KeyValueStore>,
    /// Instance list.
    pub list: Arc<dyn InstanceList>,
    /// Clients of engines.
    pub engines: Arc<dyn EngineFactory>,
    /// Clients of plain services.
    pub services: Arc<dyn ServiceFactory>,
}

impl Platform {
    /// Network clients of everything that `settings` names.
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
