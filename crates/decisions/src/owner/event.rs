//! Events of an owner, for logs and metrics.

use monsoonspread_model::{AdapterRef, CopyName, Epoch, InstanceName, RefusalReason, UpstreamName};

use super::OrderFailure;

/// An event of an owner, for logs and metrics.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OwnerEvent {
    /// A load was ordered.
    LoadStarted {
        /// The upstream.
        upstream: UpstreamName,
        /// The copy.
        copy: CopyName,
        /// Requests that wait for it.
        waiting: u32,
    },
    /// A load succeeded.
    Loaded {
        /// The upstream.
        upstream: UpstreamName,
        /// The copy.
        copy: CopyName,
        /// Time from the order to its answer, in milliseconds.
        took_ms: u64,
    },
    /// A load failed or its answer was lost.
    LoadFailed {
        /// The upstream.
        upstream: UpstreamName,
        /// The copy.
        copy: CopyName,
        /// The cause.
        failure: OrderFailure,
    },
    /// A copy is unloaded to free its slot.
    Evicted {
        /// The upstream.
        upstream: UpstreamName,
        /// The copy.
        copy: CopyName,
    },
    /// A copy that was recorded as loaded is missing from the upstream.
    CopyLost {
        /// The upstream.
        upstream: UpstreamName,
        /// The copy.
        copy: CopyName,
    },
    /// A request was refused without having run.
    Refused {
        /// The upstream.
        upstream: UpstreamName,
        /// The requested adapter.
        adapter: AdapterRef,
        /// The cause.
        reason: RefusalReason,
    },
    /// A grant expired before it was returned.
    GrantExpired {
        /// The upstream.
        upstream: UpstreamName,
        /// The instance that held it.
        holder: InstanceName,
    },
    /// This instance became the owner of the upstream.
    Owned {
        /// The upstream.
        upstream: UpstreamName,
        /// The fencing number.
        epoch: Epoch,
    },
    /// This instance stopped owning the upstream.
    Disowned {
        /// The upstream.
        upstream: UpstreamName,
        /// The fencing number that ended.
        epoch: Epoch,
    },
    /// Every outstanding grant of former owners is accounted for.
    Reconciled {
        /// The upstream.
        upstream: UpstreamName,
        /// The fencing number.
        epoch: Epoch,
    },
    /// The upstream's batch was reduced because the upstream is slow, or restored.
    BatchCapChanged {
        /// The upstream.
        upstream: UpstreamName,
        /// The new maximum of batch places in use.
        places: u32,
    },
    /// The upstream can't be connected to.
    UpstreamDown {
        /// The upstream.
        upstream: UpstreamName,
    },
}
