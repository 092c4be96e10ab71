//! Answer to a model request, streamed to the caller.

use monsoonspread_model::message::RequestId;
use monsoonspread_model::{Refusal, RefusalReason, UpstreamName};
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

use super::DispatchHandle;
use super::command::DispatchCommand;

/// Event in an answer's stream.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerEvent {
    /// A generation on this upstream was chosen to answer.
    Started(UpstreamName),
    /// Chunk in the API's streaming format.
    Chunk(Value),
}

/// Receiver of one request's answer; dropping it cancels the request.
pub struct Answer {
    pub(super) request: RequestId,
    pub(super) answer_events: mpsc::Receiver<AnswerEvent>,
    pub(super) result: oneshot::Receiver<Result<(), Refusal>>,
    pub(super) dispatch: DispatchHandle,
}

impl Answer {
    /// Returns the request's identifier.
    pub fn request(&self) -> RequestId {
        self.request
    }

    /// Returns the next event; `None` when only the result is left.
    pub async fn next(&mut self) -> Option<AnswerEvent> {
        self.answer_events.recv().await
    }

    /// Waits for the result, which follows the last event.
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
