//! An answer on its way to the caller.

use monsoonspread_model::message::RequestId;
use monsoonspread_model::{Refusal, RefusalReason, UpstreamName};
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

use super::DispatchHandle;
use super::command::DispatchCommand;

/// A piece of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerEvent {
    /// The generation that answers runs there.
    Started(UpstreamName),
    /// One chunk in the API's streaming form.
    Chunk(Value),
}

/// The receiving end of one request's answer; dropping it ends the request.
pub struct Answer {
    pub(super) request: RequestId,
    pub(super) answer_events: mpsc::Receiver<AnswerEvent>,
    pub(super) result: oneshot::Receiver<Result<(), Refusal>>,
    pub(super) dispatch: DispatchHandle,
}

impl Answer {
    /// The request's number.
    pub fn request(&self) -> RequestId {
        self.request
    }

    /// The next piece; `None` when only the result is left.
    pub async fn next(&mut self) -> Option<AnswerEvent> {
        self.answer_events.recv().await
    }

    /// The one result, after the last piece.
    pub async fn result(&mut self) -> Result<(), Refusal> {
        (&mut self.result).await.unwrap_or_else(|_| {
            let message = "the instance stopped before the answer was whole";
            Err(Refusal::may_have_run(
                RefusalReason::OutcomeUnknown,
                message,
            ))
        })
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        self.dispatch
            .enqueue(DispatchCommand::CallerDisconnected(self.request));
    }
}
