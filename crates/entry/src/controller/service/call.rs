//! Calls of plain services.

use std::sync::Arc;

use bytes::Bytes;
use monsoonspread_borders::KeyValueStore;
use monsoonspread_model::bundle::CallEntry;
use monsoonspread_model::{CallerName, Refusal, RefusalReason, ServiceName, UnixMs};
use tokio::sync::{oneshot, watch};
use tokio_util::task::TaskTracker;

use super::{ClaimBatchCommand, ClaimsInFlight, RouteCommand};
use crate::controller::Mailbox;
use crate::directory::Directory;
use crate::metrics::Metrics;

/// A caller's call of a plain service.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Name of the service.
    pub service: ServiceName,
    /// Name of the call.
    pub call: Arc<str>,
    /// Entry of the call in the bundle.
    pub entry: CallEntry,
    /// Caller that makes the call.
    pub caller: CallerName,
    /// Request body.
    pub body: Bytes,
    /// Idempotency key, if the caller sent one.
    pub idempotency_key: Option<String>,
    /// Deadline for the answer.
    pub deadline_unix_ms: UnixMs,
}

/// Answer of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// Response body.
    pub body: Vec<u8>,
    /// Whether this is the stored answer of an earlier call with the same key.
    pub replayed: bool,
}

/// Makes calls, each in a task that outlives the caller's connection.
#[derive(Clone)]
pub struct ServiceCalls {
    /// Mailbox of the routing task.
    pub routes: Mailbox<RouteCommand>,
    /// Mailbox of the task that batches claims.
    pub claims: Mailbox<ClaimBatchCommand>,
    /// Key-value service that stores the claims.
    pub store: Arc<dyn KeyValueStore>,
    /// Directory with the listed servers.
    pub directory: watch::Receiver<Arc<Directory>>,
    /// Keyed calls in flight, for the dump.
    pub in_flight: ClaimsInFlight,
    /// Tasks of the calls in flight.
    pub tasks: TaskTracker,
    /// Metrics that count the outcomes.
    pub metrics: Metrics,
}

impl ServiceCalls {
    /// Makes a call; one that has an idempotency key and is not repeatable runs under a claim.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the call did not run or its outcome is unknown.
    pub async fn make(&self, request: CallRequest) -> Result<CallAnswer, Refusal> {
        let (reply, answer) = oneshot::channel();
        let calls = self.clone();
        self.tasks.spawn(async move {
            let must_claim = request.idempotency_key.is_some() && !request.entry.repeatable;
            if must_claim {
                calls.make_keyed(request, reply).await;
            } else {
                let _ = reply.send(calls.make_unkeyed(&request).await);
            }
        });
        let answer = answer.await.unwrap_or_else(|_| {
            let message = "the instance stopped before the call was answered";
            Err(Refusal::may_have_run(
                RefusalReason::OutcomeUnknown,
                message,
            ))
        });
        self.metrics.on_service_call(match &answer {
            Ok(_) => "replied",
            Err(refusal) => refusal.reason.as_str(),
        });
        answer
    }
}
