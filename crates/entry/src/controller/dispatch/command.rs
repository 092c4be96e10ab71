//! Commands of the dispatch task.

use monsoonspread_decisions::dispatch::{AttemptEnd, AttemptId, DispatchDump, NewRequest};
use monsoonspread_model::message::{AnnounceRequest, CrashNotice, GrantReply, RequestId};
use monsoonspread_model::{InstanceName, Refusal, UpstreamName};
use tokio::sync::{mpsc, oneshot};

use super::AnswerEvent;
use crate::filter::GenerateCall;

/// Admitted request with the data that its generations need.
pub struct Submission {
    /// Request for the dispatcher.
    pub request: NewRequest,
    /// The caller's parsed call.
    pub call: GenerateCall,
    /// Receives the answer's events.
    pub answer_events: mpsc::Sender<AnswerEvent>,
    /// Receives the result after the last event.
    pub result: oneshot::Sender<Result<(), Refusal>>,
}

/// Command for the dispatch task.
pub enum DispatchCommand {
    /// A request was admitted.
    Submit(Box<Submission>),
    /// The caller of a request disconnected.
    CallerDisconnected(RequestId),
    /// An owner answered a grant request.
    Reply(GrantReply),
    /// A grant request could not be delivered.
    GrantRequestFailed {
        /// Request that needs the grant.
        request: RequestId,
        /// Upstream whose owner was asked.
        upstream: UpstreamName,
    },
    /// A new owner requests the outstanding grants.
    AnnounceRequest {
        /// New owner of the upstream.
        from: InstanceName,
        /// Request with the upstream and the new fencing number.
        announce_request: AnnounceRequest,
    },
    /// A peer suspects that a request crashed an engine.
    CrashNotice(CrashNotice),
    /// The last connection to a peer broke.
    PeerLost(InstanceName),
    /// A generation's first token arrived.
    FirstToken {
        /// Request that is generated for.
        request: RequestId,
        /// Attempt that the generation belongs to.
        attempt: AttemptId,
    },
    /// A generation ended.
    Ended {
        /// Request that was generated for.
        request: RequestId,
        /// Attempt that the generation belongs to.
        attempt: AttemptId,
        /// How it ended.
        end: AttemptEnd,
        /// Text that it generated; the caller received it if the generation was chosen.
        text: String,
    },
    /// Describe the task's state for the dump.
    Dump(oneshot::Sender<DispatchDump>),
}
