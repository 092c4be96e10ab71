//! Handle to the dispatch task.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use monsoonspread_decisions::dispatch::{DispatchDump, NewRequest};
use monsoonspread_model::UnixMs;
use monsoonspread_model::message::RequestId;
use tokio::sync::{mpsc, oneshot};

use super::Answer;
use super::command::{DispatchCommand, Submission};
use crate::filter::GenerateCall;

/// Events of an answer that may be queued for a slow caller.
const ANSWER_QUEUE_EVENTS: usize = 64;
/// Request identifiers per millisecond between two starts of the process; a process that uses more
/// reaches those of its successor.
const REQUEST_IDS_PER_MS: u64 = 1 << 20;

/// Sends commands to the dispatch task.
#[derive(Clone)]
pub struct DispatchHandle {
    commands: mpsc::UnboundedSender<DispatchCommand>,
    next_request: Arc<AtomicU64>,
}

impl DispatchHandle {
    /// Creates a handle and the receiver that the task reads from.
    pub fn new(started_at: UnixMs) -> (Self, mpsc::UnboundedReceiver<DispatchCommand>) {
        let (commands, receiver) = mpsc::unbounded_channel();
        let first = started_at.0.wrapping_mul(REQUEST_IDS_PER_MS);
        let handle = Self {
            commands,
            next_request: Arc::new(AtomicU64::new(first)),
        };
        (handle, receiver)
    }

    /// Returns an identifier that no other request of this instance has.
    pub fn next_request(&self) -> RequestId {
        RequestId(self.next_request.fetch_add(1, Ordering::Relaxed))
    }

    /// Submits a request and returns the receiver of its answer.
    pub fn submit(&self, request: NewRequest, call: GenerateCall) -> Answer {
        let (answer_events, receiver) = mpsc::channel(ANSWER_QUEUE_EVENTS);
        let (result, result_receiver) = oneshot::channel();
        let id = request.request;
        self.enqueue(DispatchCommand::Submit(Box::new(Submission {
            request,
            call,
            answer_events,
            result,
        })));
        Answer {
            request: id,
            answer_events: receiver,
            result: result_receiver,
            dispatch: self.clone(),
        }
    }

    /// Queues a command without waiting; it is lost only if the task has ended.
    pub fn enqueue(&self, command: DispatchCommand) {
        let _ = self.commands.send(command);
    }

    /// Describes the dispatcher for the dump; `None` when the task has ended.
    pub async fn dump(&self) -> Option<DispatchDump> {
        let (reply, answer) = oneshot::channel();
        self.enqueue(DispatchCommand::Dump(reply));
        answer.await.ok()
    }
}
