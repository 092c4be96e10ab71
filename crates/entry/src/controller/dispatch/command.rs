//! What the dispatch task is told.

use monsoonspread_decisions::dispatch::{AttemptEnd, AttemptId, DispatchDump, NewRequest};
use monsoonspread_model::message::{AnnounceRequest, CrashNotice, GrantReply, RequestId};
use monsoonspread_model::{InstanceName, Refusal, UpstreamName};
use tokio::sync::{mpsc, oneshot};

use super::AnswerEvent;
use crate::filter::GenerateCall;

/// An admitted request with what its generation needs.
pub struct Submission {
    /// The request.
    pub request: NewRequest,
    /// The caller's call.
    pub call: GenerateCall,
    /// Where the answer's pieces go.
    pub answer_events: mpsc::Sender<AnswerEvent>,
    /// Where the one result goes.
    pub result: oneshot::Sender<Result<(), Refusal>>,
}

/// A message to the dispatch task.
pub enum DispatchCommand {
    /// A new request.
    Submit(Box<Submission>),
    /// A caller went away.
    CallerDisconnected(RequestId),
    /// An owner answered.
    Reply(GrantReply),
    /// A request for a grant could not be delivered.
    GrantRequestFailed {
        /// The request.
        request: RequestId,
        /// The upstream.
        upstream: UpstreamName,
    },
    /// A new owner asks for outstanding grants.
    AnnounceRequest {
        /// The new owner.
        from: InstanceName,
        /// What it asks.
        announce_request: AnnounceRequest,
    },
    /// A peer saw a crash.
    CrashNotice(CrashNotice),
    /// The connection to a peer broke.
    PeerLost(InstanceName),
    /// A generation's first token arrived.
    FirstToken {
        /// The request.
        request: RequestId,
        /// The generation.
        attempt: AttemptId,
    },
    /// A generation ended.
    Ended {
        /// The request.
        request: RequestId,
        /// The generation.
        attempt: AttemptId,
        /// How.
        end: AttemptEnd,
        /// The text that the caller got from it.
        text: String,
    },
    /// Describe the task's state.
    Dump(oneshot::Sender<DispatchDump>),
}
