//! Requests for a place.

use monsoonspread_model::fleet::Merit;
use monsoonspread_model::{InstanceName, UnixMs, WorkspaceName, ZoneName};

/// Identifies a request for a place.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PlaceId {
    /// The instance that asked.
    pub instance: InstanceName,
    /// Its number for the request.
    pub number: u64,
}

/// A request for a place at one of the servers of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct PlaceRequest {
    /// Identifies the request.
    pub id: PlaceId,
    /// The order in which it is served.
    pub merit: Merit,
    /// The workspace that it counts for.
    pub workspace: Option<WorkspaceName>,
    /// Availability zone of the instance, where a server costs less; `None` if unknown.
    pub zone: Option<ZoneName>,
    /// When its answer must be complete to meet its objective.
    pub in_time_until: UnixMs,
    /// When its answer is of no use any more.
    pub ends_by: UnixMs,
}
