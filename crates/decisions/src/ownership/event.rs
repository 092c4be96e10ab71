//! What is worth logging about ownership.

use displaydoc::Display;
use monsoonspread_model::{Epoch, InstanceName, UpstreamName};

/// Something that happened to the ownership of upstreams.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum OwnershipEvent {
    /// ownership table {revision} adopted
    TableAdopted {
        /// Its revision.
        revision: u64,
    },
    /// ownership table {revision} lost a race, another table was written
    WriteConflict {
        /// The revision that was to be written.
        revision: u64,
    },
    /// the answer to writing ownership table {revision} was lost, reading back
    WriteUnknown {
        /// The revision that was to be written.
        revision: u64,
    },
    /// ownership table {revision} not written, the key-value service can't be reached
    StoreUnreachable {
        /// The revision that was to be written, or the one in force when a read failed.
        revision: u64,
    },
    /// upstream "{upstream}" taken over with epoch {epoch}
    TakenOver {
        /// The upstream.
        upstream: UpstreamName,
        /// The fencing number in use.
        epoch: Epoch,
    },
    /// no usable handover of upstream "{upstream}" from instance "{from}"
    HandoverRefused {
        /// The upstream.
        upstream: UpstreamName,
        /// The old owner.
        from: InstanceName,
    },
}
