//! What a change means for the rest of the process.

use monsoonspread_borders::relay::HolderRecord;
use monsoonspread_model::fleet::{AdapterKey, UpstreamRecord};
use monsoonspread_model::{InstanceName, UpstreamName, ZoneName};

/// A change that was new.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetEvent {
    /// A newer configuration is in force.
    Routing,
    /// An upstream appeared or changed.
    Upstream {
        /// What it says of itself.
        record: UpstreamRecord,
        /// It started anew under the same name.
        restarted: bool,
        /// No earlier holder of it can have been missed.
        complete: bool,
    },
    /// An upstream is gone.
    UpstreamRemoved(UpstreamName),
    /// A newer version of an adapter was named.
    Version(AdapterKey, u64),
    /// An instance announced itself.
    Member(InstanceName, ZoneName),
    /// An instance is gone.
    MemberRemoved(InstanceName),
    /// An engine's holder was recorded.
    Holder(HolderRecord),
    /// An engine's holder record vanished; true when its lease surely ran out.
    HolderRemoved(UpstreamName, bool),
}
