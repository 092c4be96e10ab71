//! One call of a plain service and how to make it.

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
    /// The service.
    pub service: ServiceName,
    /// The call.
    pub call: Arc<str>,
    /// What the bundle says of it.
    pub entry: CallEntry,
    /// Who makes it.
    pub caller: CallerName,
    /// The body.
    pub body: Bytes,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// When the answer must be there.
    pub deadline_unix_ms: UnixMs,
}

/// A service's answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
    /// Whether it is the stored answer of an earlier call.
    pub replayed: bool,
}

/// Makes calls, each in a task that outlives its caller's connection.
#[derive(Clone)]
pub struct ServiceCalls {
    /// The routing task.
    pub routes: Mailbox<RouteCommand>,
    /// The task that groups claims.
    pub claims: Mailbox<ClaimBatchCommand>,
    /// The key-value service.
    pub store: Arc<dyn KeyValueStore>,
    /// Listed servers.
    pub directory: watch::Receiver<Arc<Directory>>,
    /// Keyed calls in flight.
    pub in_flight: ClaimsInFlight,
    /// Calls in flight.
    pub tasks: TaskTracker,
    /// Counts outcomes.
    pub metrics: Metrics,
}

impl ServiceCalls {
    /// Makes a call.
    ///
    /// # Errors
    ///
    /// Refuses calls that did not run, and reports those whose outcome is not known.
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
