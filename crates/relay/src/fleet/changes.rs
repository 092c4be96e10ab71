//! Fleet changes that other parts of the process react to.

use monsoonspread_borders::relay::HolderRecord;
use monsoonspread_model::fleet::{AdapterKey, UpstreamRecord};
use monsoonspread_model::{InstanceName, UpstreamName, ZoneName};

/// A change to the known state of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetEvent {
    /// A newer configuration is in force.
    Routing,
    /// An upstream was added or changed.
    Upstream {
        /// The upstream's entry in the store.
        record: UpstreamRecord,
        /// Whether the upstream restarted under the same name.
        restarted: bool,
        /// Whether no earlier holder of the upstream can have been missed.
        complete: bool,
    },
    /// An upstream was removed.
    UpstreamRemoved(UpstreamName),
    /// A newer version of an adapter was named.
    Version(AdapterKey, u64),
    /// An instance announced itself.
    Member(InstanceName, ZoneName),
    /// An instance's entry disappeared during an outage of the store; it may come back.
    MemberLapsing(InstanceName),
    /// An instance was removed.
    MemberRemoved(InstanceName),
    /// An engine's holder was recorded.
    Holder(HolderRecord),
    /// An engine's holder record was removed; true if its lease is known to have expired.
    HolderRemoved(UpstreamName, bool),
}
