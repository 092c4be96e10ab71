//! What the ownership task is told.

use monsoonspread_decisions::ownership::{OwnershipDump, WriteResult};
use monsoonspread_model::message::Handover;
use monsoonspread_model::{Epoch, InstanceName, OwnershipTable, UpstreamName, ZoneName};
use tokio::sync::oneshot;

/// A table as the key-value service holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredTable {
    /// The table.
    pub table: OwnershipTable,
    /// Revision of the key's last write.
    pub mod_revision: u64,
}

/// A message to the ownership task.
pub enum OwnershipCommand {
    /// A peer's table.
    Table {
        /// The peer.
        from: InstanceName,
        /// The table.
        table: OwnershipTable,
    },
    /// A peer asks for a table.
    TableRequest {
        /// The peer.
        from: InstanceName,
        /// The zone.
        zone: ZoneName,
        /// The revision that it has.
        known_revision: u64,
    },
    /// A peer of the zone has a newer table.
    PeerHasTable(InstanceName),
    /// A leaving owner hands an upstream over.
    Handover {
        /// The old owner.
        from: InstanceName,
        /// What it hands over.
        handover: Handover,
    },
    /// A member came back as a new process.
    Restarted(InstanceName),
    /// An upstream refused this instance's fencing number.
    SteppedDown {
        /// The upstream.
        upstream: UpstreamName,
        /// The fencing number.
        epoch: Epoch,
    },
    /// Somebody uses a fencing number.
    EpochSeen {
        /// The upstream.
        upstream: UpstreamName,
        /// The fencing number.
        epoch: Epoch,
    },
    /// An instance could not be reached.
    PeerUnresponsive(InstanceName),
    /// An instance answers.
    PeerResponsive(InstanceName),
    /// The zone's table was read; `Ok(None)` when there is none.
    Read(Result<Option<StoredTable>, ()>),
    /// The tables of every zone were read.
    ReadAll(Vec<StoredTable>),
    /// The zone's table was written, or not.
    Wrote(WriteResult),
    /// This instance leaves as planned.
    Leave {
        /// Told when every upstream was handed over.
        done: oneshot::Sender<()>,
    },
    /// Describe the task's state.
    Dump(oneshot::Sender<OwnershipDump>),
}
