//! Upstreams as the platform lists them, and what an engine reports to hold.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{BaseModelName, ServiceName, UpstreamName, ZoneName};

use super::AdapterKey;

/// Whether an upstream accepts new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum UpstreamStage {
    /// In service.
    Ready,
    /// About to stop; accepts no new work.
    Leaving,
}

/// What an engine holds, as it reports it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Holdings {
    /// Loaded base models.
    pub models: Vec<BaseModelName>,
    /// Loaded adapters with their versions.
    pub adapters: BTreeMap<AdapterKey, u64>,
    /// Adapters being loaded, with their versions.
    pub loading: BTreeMap<AdapterKey, u64>,
    /// Number of orders accepted since the engine started.
    pub accepted_orders: u64,
}

/// One entry of the platform's list of upstreams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamRecord {
    /// Name of the upstream; differs from those of earlier upstreams at the same address.
    pub name: UpstreamName,
    /// The service that the upstream belongs to.
    pub service: ServiceName,
    /// Listening address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Whether the upstream accepts new work.
    pub stage: UpstreamStage,
    /// When the upstream started; it keeps no state from before.
    pub started_unix_ms: u64,
}
