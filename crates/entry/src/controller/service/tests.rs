//! Keyed calls whose operations hang.

use std::sync::Arc;

use monsoonspread_borders::store::EtcdGateway;
use monsoonspread_model::bundle::CallEntry;
use monsoonspread_model::{RefusalReason, UnixMs};
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use super::{CallRequest, ClaimsInFlight, ServiceCalls};
use crate::controller::Mailbox;
use crate::directory::Directory;
use crate::metrics::Metrics;

#[tokio::test]
async fn hanging_claim_is_answered_at_the_deadline() {
    let (routes, _routes) = Mailbox::new("routes");
    // This mailbox is never read, as when the store hangs.
    let (claims, _claims) = Mailbox::new("claims");
    let calls = ServiceCalls {
        routes,
        claims,
        store: Arc::new(EtcdGateway::new(Vec::new())),
        directory: watch::channel(Arc::new(Directory::default())).1,
        in_flight: ClaimsInFlight::default(),
        tasks: TaskTracker::new(),
        metrics: Metrics::new(None, "zone-1"),
    };
    let request = CallRequest {
        service: "records".into(),
        call: "commit-offset".into(),
        entry: CallEntry {
            repeatable: false,
            timeout_ms: 50,
        },
        caller: "bench".into(),
        body: "{}".into(),
        idempotency_key: Some("offset-17".to_owned()),
        deadline_unix_ms: UnixMs::now() + 50,
    };
    let refusal = calls.make(request).await.unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::DeadlineExceeded);
    assert!(refusal.not_run);
}
