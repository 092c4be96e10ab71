//! Forwarding of upstream answers to clients.

use std::rc::Rc;
use std::time::Duration;

use hyper::header::CONTENT_LENGTH;
use hyper::{Response, StatusCode};
use monsoonspread_decisions::event_splitter::EventScanner;
use tokio::time::Instant;

use super::RelayBody;
use super::body_kind::is_event_stream;
use super::request::RelayRequest;
use super::upstream_answer::UpstreamAnswer;
use crate::event::{Line, kind};
use crate::shared::Shared;

/// Extra time for the upstream to end an answer at its deadline by itself, in milliseconds.
const END_SLACK_MS: u64 = 100;

/// How long bytes that have already arrived are still forwarded after the deadline, in
/// milliseconds. The bound is needed because an endless stream always has bytes ready.
const BUFFERED_GRACE_MS: u64 = 1_000;

/// Forwards an answer as it arrives.
pub(super) fn forward(
    shared: &Rc<Shared>,
    request: &RelayRequest,
    answer: UpstreamAnswer,
) -> Response<RelayBody> {
    let ends_by = ends_by(shared, request);
    let (mut head, body, end) = answer.split(request);
    let events = is_event_stream(request, head.status, &head.headers).then(EventScanner::new);
    super::headers::remove_hop_headers(&mut head.headers);
    if events.is_some() {
        // In chunks, a stream of the stated length can still be shown to be broken off.
        head.headers.remove(CONTENT_LENGTH);
    }
    Response::from_parts(head, RelayBody::forwarded(body, events, ends_by, end))
}

/// Returns when an incomplete answer is aborted.
pub(super) fn ends_by(shared: &Shared, request: &RelayRequest) -> Instant {
    let left_ms = request.deadline.ms_since(shared.now()) + END_SLACK_MS;
    Instant::now() + Duration::from_millis(left_ms)
}

/// Whether received bytes may still be forwarded, for an answer that is aborted at `ends_by`.
pub(super) fn may_still_forward(ends_by: Instant) -> bool {
    Instant::now() < ends_by + Duration::from_millis(BUFFERED_GRACE_MS)
}

/// Logs the end of a request that no upstream answered.
pub(super) fn log_end(shared: &Shared, request: &RelayRequest, outcome: &str, status: StatusCode) {
    shared.metrics.count("answers", "failed");
    Line::new(&kind::CALL_ENDED)
        .field("id", &request.head.request_id)
        .field("route", &request.route.name)
        .field("status", status.as_u16())
        .field("outcome", outcome)
        .field("ms", shared.now().ms_since(request.arrived_at))
        .log();
}
