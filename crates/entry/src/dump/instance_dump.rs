//! Contents of a state dump.

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

/// State of one instance; a part is `None` when its task did not answer.
#[derive(Clone, Debug, Serialize)]
pub struct InstanceDump {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Zone of the instance.
    pub zone: ZoneName,
    /// Time at which the dump was collected.
    pub taken_at_unix_ms: UnixMs,
    /// `starting`, `ready` or `draining`.
    pub state: &'static str,
    /// Bundle in force and known newer ones.
    pub bundle: Option<BundleDump>,
    /// Members of the zone.
    pub membership: Option<MembershipDump>,
    /// The zone's ownership table.
    pub ownership: Option<OwnershipDump>,
    /// Known owner of each upstream of the region.
    pub owners: BTreeMap<UpstreamName, InstanceName>,
    /// Upstreams that this instance owns, with the load budget.
    pub owner: Option<OwnerDump>,
    /// Model requests in flight and the quarantine.
    pub dispatch: Option<DispatchDump>,
    /// Servers of plain services.
    pub services: Vec<RouteDump>,
    /// Calls of plain services in flight.
    pub service_calls: usize,
    /// Progress of each keyed call.
    pub claims: Vec<ClaimDump>,
    /// Connections to other instances.
    pub mesh: Option<MeshDump>,
    /// Number of rows of the instance list by kind.
    pub listed: ListedCounts,
}

/// Number of listed instances by kind.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ListedCounts {
    /// Entry instances.
    pub entries: usize,
    /// Engines.
    pub engines: usize,
    /// Servers of plain services.
    pub services: usize,
}
