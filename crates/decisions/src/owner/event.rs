//! What is worth logging or counting.

use monsoonspread_model::{AdapterRef, CopyName, Epoch, InstanceName, RefusalReason, UpstreamName};

use super::OrderFailure;

/// Something that happened at an owner.
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
    /// A load ended well.
    Loaded {
        /// The upstream.
        upstream: UpstreamName,
        /// The copy.
        copy: CopyName,
        /// From the order to its answer.
        took_ms: u64,
    },
    /// A load failed or its answer was lost.
    LoadFailed {
        /// The upstream.
        upstream: UpstreamName,
        /// The copy.
        copy: CopyName,
        /// Why.
        failure: OrderFailure,
    },
    /// A copy is unloaded to make room.
    Evicted {
        /// The upstream.
        upstream: UpstreamName,
        /// The copy.
        copy: CopyName,
    },
    /// A copy that was thought loaded is not on the upstream.
    CopyLost {
        /// The upstream.
        upstream: UpstreamName,
        /// The copy.
        copy: CopyName,
    },
    /// A request was given up.
    Refused {
        /// The upstream.
        upstream: UpstreamName,
        /// What it wanted to run on.
        adapter: AdapterRef,
        /// Why.
        reason: RefusalReason,
    },
    /// A grant ended without being returned.
    GrantExpired {
        /// The upstream.
        upstream: UpstreamName,
        /// Who held it.
        holder: InstanceName,
    },
    /// The upstream is owned now.
    Owned {
        /// The upstream.
        upstream: UpstreamName,
        /// The fencing number.
        epoch: Epoch,
    },
    /// The upstream is not owned any more.
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
    /// The upstream's batch was narrowed because it is slow, or widened again.
    BatchCapChanged {
        /// The upstream.
        upstream: UpstreamName,
        /// Places used from now on.
        places: u32,
    },
    /// The upstream can't be connected to.
    UpstreamDown {
        /// The upstream.
        upstream: UpstreamName,
    },
}
