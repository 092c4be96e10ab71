//! The operators' configuration.

use serde::{Deserialize, Serialize};

use crate::{BaseModelName, ServiceName};

use super::Route;

/// A base model that the engines of a service hold.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BaseModel {
    /// Its name.
    pub name: BaseModelName,
    /// Size of its weights, in megabytes.
    pub size_mb: f64,
    /// Size of one of its adapters, in megabytes.
    pub adapter_size_mb: f64,
}

/// What the engines of a service can hold and run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineShape {
    /// Requests that run at once.
    pub batch_places: u32,
    /// Tokens of running requests and cached prompts.
    pub kv_tokens: u64,
    /// Adapters at once.
    pub adapter_slots: u32,
    /// Weights and adapters together, in megabytes.
    pub weights_mb: f64,
    /// Base models.
    pub models: Vec<BaseModel>,
}

impl EngineShape {
    /// Adapters that fit beside the base models `held`, in slots and in memory.
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
    /// Its name.
    pub name: ServiceName,
    /// Connections that one of its servers accepts from all callers.
    pub max_connections: u32,
    /// What its engines hold; `None` for a plain service.
    pub engine: Option<EngineShape>,
}

/// Bounds on what a client may send.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClientLimits {
    /// Bytes of a request's head.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time to send a head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time that a client may leave a connection unused, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// One version of the operators' configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RoutingConfig {
    /// Its version; a higher one is newer.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<RelayService>,
    /// Bounds on what a client may send.
    pub limits: ClientLimits,
}

impl RoutingConfig {
    /// The service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&RelayService> {
        self.services.iter().find(|service| service.name == *name)
    }
}
