//! Entries of the platform's instance list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ZoneName;

/// Kinds of instances in the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceKind {
    /// An entry instance of this system.
    Entry,
    /// A model engine.
    Engine,
    /// A server of a plain service.
    Service,
}

/// Whether an instance accepts new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// In service.
    Live,
    /// Stopping; accepts no new work.
    Leaving,
}

/// One entry of the platform's instance list, which lags behind the actual state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedInstance {
    /// The instance's name, unique in the list.
    pub name: String,
    /// What the instance runs.
    pub kind: InstanceKind,
    /// Availability zone.
    pub zone: ZoneName,
    /// Listening address: the mesh listener of an entry, or the HTTP listener of an upstream.
    pub address: SocketAddr,
    /// Whether the instance accepts new work.
    pub state: InstanceState,
    /// Name of the plain service; set for kind `service` only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Whether the engine refuses orders with an outdated fencing number; `false` for other kinds.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Maximum number of adapters loaded on an engine; 0 for other kinds.
    #[serde(default)]
    pub adapter_slots: u32,
    /// Maximum number of requests in an engine's batch; 0 for other kinds.
    #[serde(default)]
    pub batch_places: u32,
}
