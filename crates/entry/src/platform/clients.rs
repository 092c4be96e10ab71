//! Network clients.

use std::net::SocketAddr;
use std::sync::Arc;

use monsoonspread_borders::engine::VllmEngine;
use monsoonspread_borders::instance_list::HttpInstanceList;
use monsoonspread_borders::service::HttpService;
use monsoonspread_borders::store::EtcdGateway;
use monsoonspread_borders::{Engine, InstanceList, KeyValueStore, Service};
use monsoonspread_model::ListedInstance;

use super::{EngineFactory, ServiceFactory};
use crate::settings::Settings;

/// Makes network clients that name this instance.
pub struct HttpClients {
    instance: String,
    store: Vec<SocketAddr>,
    list: Vec<SocketAddr>,
}

impl HttpClients {
    /// Clients for the addresses in `settings`.
    pub fn new(settings: &Settings) -> Self {
        Self {
            instance: settings.instance.to_string(),
            store: settings.platform.store.clone(),
            list: settings.platform.instance_list.into_iter().collect(),
        }
    }

    /// The key-value service.
    pub fn store(&self) -> Arc<dyn KeyValueStore> {
        Arc::new(EtcdGateway::new(self.store.clone()).with_peer_name(&self.instance))
    }

    /// The instance list.
    pub fn list(&self) -> Arc<dyn InstanceList> {
        Arc::new(HttpInstanceList::new(self.list.clone()).with_peer_name(&self.instance))
    }
}

impl EngineFactory for HttpClients {
    fn engine(&self, listed: &ListedInstance) -> Arc<dyn Engine> {
        Arc::new(VllmEngine::new(listed.address).with_peer_name(&self.instance))
    }
}

impl ServiceFactory for HttpClients {
    fn service(&self, listed: &ListedInstance) -> Arc<dyn Service> {
        Arc::new(HttpService::new(listed.address).with_peer_name(&self.instance))
    }
}
