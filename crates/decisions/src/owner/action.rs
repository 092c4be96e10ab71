//! Actions that an owner returns.

use monsoonspread_model::{CopyName, Epoch, InstanceName, MeshMessage, UpstreamName};

use super::OwnerEvent;

/// An action that the driver of an owner carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnerAction {
    /// Send a message to an instance, possibly to this one.
    Send {
        /// The recipient.
        to: InstanceName,
        /// The message to send.
        message: MeshMessage,
    },
    /// Order an upstream to load a copy; the order carries the copy's epoch.
    Load {
        /// Name of the upstream.
        upstream: UpstreamName,
        /// Name of the copy, with its epoch.
        copy: CopyName,
    },
    /// Order an upstream to unload a copy.
    Unload {
        /// Name of the upstream.
        upstream: UpstreamName,
        /// The copy, which may be of an older epoch.
        copy: CopyName,
        /// The fencing number that the order carries.
        epoch: Epoch,
    },
    /// Send an upstream a fencing number without any other order.
    Fence {
        /// Name of the upstream.
        upstream: UpstreamName,
        /// The fencing number.
        epoch: Epoch,
    },
    /// This instance no longer owns the upstream under `epoch`.
    StepDown {
        /// Name of the upstream.
        upstream: UpstreamName,
        /// The epoch that ended.
        epoch: Epoch,
    },
    /// Log or count an event.
    Event(OwnerEvent),
}
