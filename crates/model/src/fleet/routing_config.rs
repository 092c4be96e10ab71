//! The operators' configuration of routes and services.

use serde::{Deserialize, Serialize};

use crate::{BaseModelName, ServiceName};

use super::{Route, Workspace};

/// A base model that the engines of a service can hold.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BaseModel {
    /// Name of the base model.
    pub name: BaseModelName,
    /// Size of the weights, in megabytes.
    pub size_mb: f64,
    /// Size of each of its adapters, in megabytes.
    pub adapter_size_mb: f64,
}

/// Capacity of each engine of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineShape {
    /// Maximum number of requests running concurrently.
    pub batch_places: u32,
    /// Capacity of the KV cache in tokens, for running requests and cached prompts together.
    pub kv_tokens: u64,
    /// Maximum number of loaded adapters.
    pub adapter_slots: u32,
    /// Memory for base models and adapters together, in megabytes.
    pub weights_mb: f64,
    /// Base models that the engine can hold.
    pub models: Vec<BaseModel>,
}

impl EngineShape {
    /// Returns how many adapters fit next to the base models `held`, limited by slots and memory.
    ///
    /// ```
    /// # use monsoonspread_model::fleet::{BaseModel, EngineShape};
    /// let base = BaseModel { name: "base".into(), size_mb: 90.0, adapter_size_mb: 4.0 };
    /// let shape = EngineShape {
    ///     batch_places: 8,
    ///     kv_tokens: 1_000,
    ///     adapter_slots: 6,
    ///     weights_mb: 100.0,
    ///     models: vec![base],
    /// };
    /// assert_eq!(shape.adapters_beside(&["base".into()]), 2);
    /// ```
    pub fn adapters_beside(&self, held: &[BaseModelName]) -> usize {
        let models = self
            .models
            .iter()
            .filter(|model| held.contains(&model.name));
        let (mut free_mb, mut adapter_mb) = (self.weights_mb, 0.0_f64);
        for model in models {
            free_mb -= model.size_mb;
            adapter_mb = adapter_mb.max(model.adapter_size_mb);
        }
        let slots = self.adapter_slots as usize;
        if adapter_mb <= 0.0 {
            return slots;
        }
        slots.min((free_mb / adapter_mb).max(0.0) as usize)
    }
}

/// A service that routes send requests to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RelayService {
    /// Name of the service.
    pub name: ServiceName,
    /// Connections that each of its servers accepts, from all callers together.
    pub max_connections: u32,
    /// Path of the health check; `None` if the service has none.
    pub health_path: Option<String>,
    /// Capacity of its engines; `None` for a plain service.
    pub engine: Option<EngineShape>,
}

/// Limits on client requests and connections.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClientLimits {
    /// Maximum size of a request's headers in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub max_body_bytes: usize,
    /// Time limit for sending the headers, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time after which an idle client connection is closed, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// One version of the operators' configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RoutingConfig {
    /// Version of the configuration; a higher one is newer.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services that routes refer to.
    pub services: Vec<RelayService>,
    /// Limits on client requests and connections.
    pub limits: ClientLimits,
    /// All workspaces; without any, requests need no key.
    #[serde(default)]
    pub workspaces: Vec<Workspace>,
}

impl RoutingConfig {
    /// Returns the service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&RelayService> {
        self.services.iter().find(|service| service.name == *name)
    }
}
