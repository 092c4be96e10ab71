//! What the owner task is told.

use monsoonspread_decisions::owner::{OrderFailure, OwnerDump, OwnershipOrigin};
use monsoonspread_model::message::{
    Announce, AnnounceRequest, BudgetAsk, BudgetLend, GrantRequest, GrantReturn, RequestId,
};
use monsoonspread_model::{CopyName, Epoch, InstanceName, LoadReport, UpstreamName};
use tokio::sync::oneshot;

/// A message to the owner task.
pub enum OwnerCommand {
    /// An instance asks for a grant.
    Request {
        /// Who asks.
        from: InstanceName,
        /// What it asks.
        request: GrantRequest,
    },
    /// An instance gives a grant back.
    Return {
        /// Who held it.
        from: InstanceName,
        /// What it saw.
        returned: GrantReturn,
    },
    /// An instance takes a request back.
    Withdraw {
        /// Who asked.
        from: InstanceName,
        /// The upstream.
        upstream: UpstreamName,
        /// The request.
        request: RequestId,
    },
    /// An instance tells its outstanding grants.
    Announce {
        /// Who holds them.
        from: InstanceName,
        /// The grants.
        announce: Announce,
    },
    /// A new owner asks for outstanding grants.
    AnnounceRequest {
        /// The new owner.
        from: InstanceName,
        /// What it asks.
        announce_request: AnnounceRequest,
    },
    /// A peer asks for load budget.
    BudgetAsk {
        /// The peer.
        from: InstanceName,
        /// What it asks.
        ask: BudgetAsk,
    },
    /// A peer lends load budget.
    BudgetLend {
        /// The peer.
        from: InstanceName,
        /// What it lends.
        lend: BudgetLend,
    },
    /// Begin to own an upstream.
    Own {
        /// The upstream.
        upstream: UpstreamName,
        /// The fencing number.
        epoch: Epoch,
        /// How it came.
        origin: OwnershipOrigin,
        /// Instances that could hold grants.
        holders: Vec<InstanceName>,
    },
    /// Cease to own an upstream.
    Disown(UpstreamName),
    /// Give every upstream to its successor.
    HandOver {
        /// Each upstream with its successor.
        successors: Vec<(UpstreamName, InstanceName)>,
        /// Told when nothing is owned any more.
        done: oneshot::Sender<()>,
    },
    /// An instance is gone or came back as a new process.
    InstanceEnded(InstanceName),
    /// A load ended.
    Loaded {
        /// The upstream.
        upstream: UpstreamName,
        /// The copy.
        copy: CopyName,
        /// How it ended.
        result: Result<(), OrderFailure>,
    },
    /// An unload ended.
    Unloaded {
        /// The upstream.
        upstream: UpstreamName,
        /// The copy.
        copy: CopyName,
        /// How it ended.
        result: Result<(), OrderFailure>,
    },
    /// A fencing order ended.
    Fenced {
        /// The upstream.
        upstream: UpstreamName,
        /// The fencing number.
        epoch: Epoch,
        /// How it ended.
        result: Result<(), OrderFailure>,
    },
    /// A load report was read, or could not be.
    Reported {
        /// The upstream.
        upstream: UpstreamName,
        /// The report.
        report: Option<LoadReport>,
    },
    /// Describe the task's state.
    Dump(oneshot::Sender<OwnerDump>),
}
