//! Data of a request that the dispatch task keeps outside the state machine.

use std::collections::HashMap;
use std::sync::Arc;

use monsoonspread_decisions::dispatch::AttemptId;
use monsoonspread_model::{Refusal, RequestClass, UnixMs};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;

use super::AnswerEvent;
use crate::filter::GenerateCall;

/// Task of a running generation; `chosen` is `None` once the generation was chosen.
pub(super) struct RunningGeneration {
    pub(super) task: AbortHandle,
    pub(super) chosen: Option<oneshot::Sender<()>>,
}

/// Model request in flight.
pub(super) struct RequestRecord {
    pub(super) call: Arc<GenerateCall>,
    pub(super) class: RequestClass,
    pub(super) arrived_at: UnixMs,
    pub(super) answer_events: mpsc::Sender<AnswerEvent>,
    pub(super) result: oneshot::Sender<Result<(), Refusal>>,
    pub(super) generations: HashMap<AttemptId, RunningGeneration>,
    /// Text that the caller received from generations that ended.
    pub(super) text: String,
    /// Number of tokens in `text`.
    pub(super) tokens: u32,
}
