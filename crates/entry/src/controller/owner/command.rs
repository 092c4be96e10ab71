//! Commands of the owner task.

use monsoonspread_decisions::owner::{OrderFailure, OwnerDump, OwnershipOrigin};
use monsoonspread_model::message::{
    Announce, AnnounceRequest, BudgetAsk, BudgetLend, GrantRequest, GrantReturn, RequestId,
};
use monsoonspread_model::{CopyName, Epoch, InstanceName, LoadReport, UpstreamName};
use tokio::sync::oneshot;

/// Command for the owner task.
pub enum OwnerCommand {
    /// An instance requests a grant.
    Request {
        /// Requesting instance.
        from: InstanceName,
        /// Grant request.
        request: GrantRequest,
    },
    /// An instance returns a grant.
    Return {
        /// Instance that held the grant.
        from: InstanceName,
        /// Returned grant with the observed outcome.
        returned: GrantReturn,
    },
    /// An instance withdraws a grant request.
    Withdraw {
        /// Instance that requested the grant.
        from: InstanceName,
        /// Upstream that the grant was requested for.
        upstream: UpstreamName,
        /// Withdrawn request.
        request: RequestId,
    },
    /// An instance announces its outstanding grants.
    Announce {
        /// Instance that holds the grants.
        from: InstanceName,
        /// Announced grants.
        announce: Announce,
    },
    /// A new owner requests the outstanding grants.
    AnnounceRequest {
        /// New owner of the upstream.
        from: InstanceName,
        /// Request with the upstream and the new fencing number.
        announce_request: AnnounceRequest,
    },
    /// A peer requests load budget.
    BudgetAsk {
        /// Requesting peer.
        from: InstanceName,
        /// Request with the number of loads that the peer wants.
        ask: BudgetAsk,
    },
    /// A peer lends load budget.
    BudgetLend {
        /// Lending peer.
        from: InstanceName,
        /// Lent budget.
        lend: BudgetLend,
    },
    /// Start to own an upstream.
    Own {
        /// Upstream to own.
        upstream: UpstreamName,
        /// Fencing number of the ownership.
        epoch: Epoch,
        /// How the ownership was acquired.
        origin: OwnershipOrigin,
        /// Instances that may hold grants for the upstream.
        holders: Vec<InstanceName>,
    },
    /// Stop owning an upstream.
    Disown(UpstreamName),
    /// Hand every owned upstream over to its successor.
    HandOver {
        /// Each upstream with its successor.
        successors: Vec<(UpstreamName, InstanceName)>,
        /// Notified when no upstream is owned any more.
        done: oneshot::Sender<()>,
    },
    /// An instance left the list or restarted as a new process.
    InstanceEnded(InstanceName),
    /// A load order ended.
    Loaded {
        /// Upstream that was ordered to load.
        upstream: UpstreamName,
        /// Copy that was to be loaded.
        copy: CopyName,
        /// Result of the order.
        result: Result<(), OrderFailure>,
    },
    /// An unload order ended.
    Unloaded {
        /// Upstream that was ordered to unload.
        upstream: UpstreamName,
        /// Copy that was to be unloaded.
        copy: CopyName,
        /// Result of the order.
        result: Result<(), OrderFailure>,
    },
    /// A fencing order ended.
    Fenced {
        /// Upstream that was fenced.
        upstream: UpstreamName,
        /// Fencing number that was sent.
        epoch: Epoch,
        /// Result of the order.
        result: Result<(), OrderFailure>,
    },
    /// Reading a load report ended.
    Reported {
        /// Upstream whose report was read.
        upstream: UpstreamName,
        /// Load report; `None` when the read failed.
        report: Option<LoadReport>,
    },
    /// Describe the task's state for the dump.
    Dump(oneshot::Sender<OwnerDump>),
}
