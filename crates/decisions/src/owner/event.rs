//! Events of an owner, for logs and metrics.

use monsoonspread_model::{AdapterRef, CopyName, Epoch, InstanceName, RefusalReason, UpstreamName};

use super::OrderFailure;

/// An event of an owner, for logs and metrics.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OwnerEvent {
    /// A load was ordered.
    LoadStarted {
        /// Name of the upstream.
        upstream: UpstreamName,
        /// Name of the copy, with the epoch of its load.
        copy: CopyName,
        /// Requests that wait for it.
        waiting: u32,
    },
    /// A load succeeded.
    Loaded {
        /// Name of the upstream.
        upstream: UpstreamName,
        /// Name of the copy, with the epoch of its load.
        copy: CopyName,
        /// Time from the order to its answer, in milliseconds.
        took_ms: u64,
    },
    /// A load failed or its answer was lost.
    LoadFailed {
        /// Name of the upstream.
        upstream: UpstreamName,
        /// Name of the copy, with the epoch of its load.
        copy: CopyName,
        /// Why the load failed.
        failure: OrderFailure,
    },
    /// A copy is unloaded to free its slot.
    Evicted {
        /// Name of the upstream.
        upstream: UpstreamName,
        /// Name of the copy, with the epoch of its load.
        copy: CopyName,
    },
    /// A copy that was recorded as loaded is missing from the upstream.
    CopyLost {
        /// Name of the upstream.
        upstream: UpstreamName,
        /// Name of the copy, with the epoch of its load.
        copy: CopyName,
    },
    /// A request was refused without having run.
    Refused {
        /// Name of the upstream.
        upstream: UpstreamName,
        /// The requested adapter.
        adapter: AdapterRef,
        /// Why the request was refused.
        reason: RefusalReason,
    },
    /// A grant expired before it was returned.
    GrantExpired {
        /// Name of the upstream.
        upstream: UpstreamName,
        /// The instance that held it.
        holder: InstanceName,
    },
    /// This instance became the owner of the upstream.
    Owned {
        /// Name of the upstream.
        upstream: UpstreamName,
        /// The fencing number.
        epoch: Epoch,
    },
    /// This instance stopped owning the upstream.
    Disowned {
        /// Name of the upstream.
        upstream: UpstreamName,
        /// The fencing number that ended.
        epoch: Epoch,
    },
    /// Every outstanding grant of former owners is accounted for.
    Reconciled {
        /// Name of the upstream.
        upstream: UpstreamName,
        /// The fencing number.
        epoch: Epoch,
    },
    /// The upstream's batch was reduced because the upstream is slow, or restored.
    BatchCapChanged {
        /// Name of the upstream.
        upstream: UpstreamName,
        /// The new maximum of batch places in use.
        places: u32,
    },
    /// The upstream can't be connected to.
    UpstreamDown {
        /// Name of the upstream.
        upstream: UpstreamName,
    },
}
