//! Rows of the platform's instance list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ZoneName;

/// What an instance in the platform's list is.
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

/// Whether an instance is to be given new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// In service.
    Live,
    /// Stopping; gets no new work.
    Leaving,
}

/// One row of the platform's instance list, which lags behind the truth.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedInstance {
    /// The instance's name, unique in the list.
    pub name: String,
    /// What it is.
    pub kind: InstanceKind,
    /// The availability zone it stands in.
    pub zone: ZoneName,
    /// Where it listens: an entry's mesh listener, or an upstream's HTTP listener.
    pub address: SocketAddr,
    /// Whether it is in service.
    pub state: InstanceState,
    /// Name of the plain service it belongs to, for kind `service`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Whether it refuses orders with an old fencing number, for kind `engine`.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Adapters an engine can hold at a time; 0 for other kinds.
    #[serde(default)]
    pub adapter_slots: u32,
    /// Requests an engine runs in one batch; 0 for other kinds.
    #[serde(default)]
    pub batch_places: u32,
}
