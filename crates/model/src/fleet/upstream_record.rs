//! One upstream, as the platform lists it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{BaseModelName, ServiceName, UpstreamName, ZoneName};

use super::AdapterKey;

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum UpstreamStage {
    /// It serves.
    Ready,
    /// It is about to go and takes no new work.
    Leaving,
}

/// What an engine holds.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Holdings {
    /// Base models.
    pub models: Vec<BaseModelName>,
    /// Adapters that requests can run on, with their versions.
    pub adapters: BTreeMap<AdapterKey, u64>,
    /// Adapters on their way, with their versions.
    pub loading: BTreeMap<AdapterKey, u64>,
    /// Orders that it accepted since its start.
    pub accepted_orders: u64,
}

/// One upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamRecord {
    /// Its name, told apart from earlier upstreams at the same address.
    pub name: UpstreamName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// The zone it stands in.
    pub zone: ZoneName,
    /// Whether it takes new work.
    pub stage: UpstreamStage,
    /// When it started; it knows nothing of what was before.
    pub started_unix_ms: u64,
}
