//! Commands of the ownership task.

use monsoonspread_decisions::ownership::{OwnershipDump, WriteResult};
use monsoonspread_model::message::Handover;
use monsoonspread_model::{Epoch, InstanceName, OwnershipTable, UpstreamName, ZoneName};
use tokio::sync::oneshot;

/// Ownership table stored in the key-value service.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredTable {
    /// Decoded table.
    pub table: OwnershipTable,
    /// Revision of the last write to the table's key.
    pub mod_revision: u64,
}

/// Command for the ownership task.
pub enum OwnershipCommand {
    /// A peer sent a table.
    Table {
        /// Peer that sent the table.
        from: InstanceName,
        /// Table that the peer sent.
        table: OwnershipTable,
    },
    /// A peer requests a table.
    TableRequest {
        /// Requesting peer.
        from: InstanceName,
        /// Zone of the table.
        zone: ZoneName,
        /// Revision of the peer's table, 0 if it has none; only a newer table is sent.
        known_revision: u64,
    },
    /// A peer of the zone has a newer table.
    PeerHasTable(InstanceName),
    /// A leaving owner hands over an upstream.
    Handover {
        /// Previous owner.
        from: InstanceName,
        /// State that is handed over.
        handover: Handover,
    },
    /// A member restarted as a new process.
    Restarted(InstanceName),
    /// This instance stepped down: an upstream rejected its fencing number.
    SteppedDown {
        /// Upstream that rejected the number.
        upstream: UpstreamName,
        /// Rejected fencing number.
        epoch: Epoch,
    },
    /// Another instance uses a fencing number.
    EpochSeen {
        /// Upstream that the number is used for.
        upstream: UpstreamName,
        /// Fencing number in use.
        epoch: Epoch,
    },
    /// An instance could not be reached or its last connection broke.
    PeerUnresponsive(InstanceName),
    /// A connection to an instance was opened.
    PeerResponsive(InstanceName),
    /// The zone's table was read; `Ok(None)` when none is stored, `Err` when the read failed.
    Read(Result<Option<StoredTable>, ()>),
    /// The tables of every zone were read.
    ReadAll(Vec<StoredTable>),
    /// A write of the zone's table ended.
    Wrote(WriteResult),
    /// This instance begins a planned stop.
    Leave {
        /// Notified when every upstream was handed over.
        done: oneshot::Sender<()>,
    },
    /// Describe the task's state for the dump.
    Dump(oneshot::Sender<OwnershipDump>),
}
