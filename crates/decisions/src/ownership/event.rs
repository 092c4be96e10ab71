//! Ownership events for the log.

use displaydoc::Display;
use monsoonspread_model::{Epoch, InstanceName, UpstreamName};

/// A change or failure in the ownership of upstreams.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum OwnershipEvent {
    /// ownership table {revision} adopted
    TableAdopted {
        /// Revision of the adopted table.
        revision: u64,
    },
    /// ownership table {revision} not written, another table was written first
    WriteConflict {
        /// The revision to be written.
        revision: u64,
    },
    /// the answer to writing ownership table {revision} was lost, reading back
    WriteUnknown {
        /// The revision to be written.
        revision: u64,
    },
    /// ownership table {revision} not written, the key-value service can't be reached
    StoreUnreachable {
        /// The revision to be written, or the one in force when a read failed.
        revision: u64,
    },
    /// upstream "{upstream}" taken over with epoch {epoch}
    TakenOver {
        /// The acquired upstream.
        upstream: UpstreamName,
        /// The fencing number of the new owner.
        epoch: Epoch,
    },
    /// no usable handover of upstream "{upstream}" from instance "{from}"
    HandoverRefused {
        /// The upstream in the handover.
        upstream: UpstreamName,
        /// The previous owner.
        from: InstanceName,
    },
}
