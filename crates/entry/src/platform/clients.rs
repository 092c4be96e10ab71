//! HTTP clients for the platform and the upstreams.

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

/// Creates HTTP clients that identify themselves with the name of this instance.
pub struct HttpClients {
    instance: String,
    store: Vec<SocketAddr>,
    list: Vec<SocketAddr>,
}

impl HttpClients {
    /// Takes the addresses of the key-value service and the instance list from `settings`.
    pub fn new(settings: &Settings) -> Self {
        Self {
            instance: settings.instance.to_string(),
            store: settings.platform.store.clone(),
            list: settings.platform.instance_list.into_iter().collect(),
        }
    }

    /// Creates a client for the key-value service.
    pub fn store(&self) -> Arc<dyn KeyValueStore> {
        Arc::new(EtcdGateway::new(self.store.clone()).with_peer_name(&self.instance))
    }

    /// Creates a client for the instance list.
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
