//! What a dump shows.

use std::collections::BTreeMap;

use monsoonspread_decisions::bundle_spread::BundleDump;
use monsoonspread_decisions::claims::ClaimDump;
use monsoonspread_decisions::dispatch::DispatchDump;
use monsoonspread_decisions::membership::MembershipDump;
use monsoonspread_decisions::owner::OwnerDump;
use monsoonspread_decisions::ownership::OwnershipDump;
use monsoonspread_decisions::service_route::RouteDump;
use monsoonspread_model::{InstanceName, UnixMs, UpstreamName, ZoneName};
use serde::Serialize;

use crate::mesh::MeshDump;

/// The state of one instance; a part is absent when its task did not answer.
#[derive(Clone, Debug, Serialize)]
pub struct InstanceDump {
    /// The instance.
    pub instance: InstanceName,
    /// Its zone.
    pub zone: ZoneName,
    /// When the dump was made.
    pub taken_at_unix_ms: UnixMs,
    /// `starting`, `ready` or `draining`.
    pub state: &'static str,
    /// Bundle in force and what is known of newer ones.
    pub bundle: Option<BundleDump>,
    /// Members of the zone.
    pub membership: Option<MembershipDump>,
    /// The zone's ownership table.
    pub ownership: Option<OwnershipDump>,
    /// Owner of each upstream of the region, as far as known.
    pub owners: BTreeMap<UpstreamName, InstanceName>,
    /// Upstreams that this instance owns, with the load budget.
    pub owner: Option<OwnerDump>,
    /// Model requests in flight and the quarantine.
    pub dispatch: Option<DispatchDump>,
    /// Servers of plain services.
    pub services: Vec<RouteDump>,
    /// Calls of plain services in flight.
    pub service_calls: usize,
    /// How far each keyed call is.
    pub claims: Vec<ClaimDump>,
    /// Connections to other instances.
    pub mesh: Option<MeshDump>,
    /// Rows of the instance list.
    pub listed: ListedCounts,
}

/// How many instances the list shows.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ListedCounts {
    /// Entry instances.
    pub entries: usize,
    /// Engines.
    pub engines: usize,
    /// Servers of plain services.
    pub services: usize,
}
