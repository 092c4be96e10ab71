//! Answers of upstreams on their way to the client.

use std::rc::Rc;
use std::time::Duration;

use hyper::{Response, StatusCode};
use tokio::time::Instant;

use super::RelayBody;
use super::request::RelayRequest;
use super::upstream_answer::UpstreamAnswer;
use crate::event::{Line, kind};
use crate::shared::Shared;

/// Allowance for the upstream to end an answer at its deadline itself, in milliseconds.
const END_SLACK_MS: u64 = 100;

/// How long what has come of an answer is passed on after its deadline, in milliseconds: bytes
/// without end are always there when they are asked for.
const BUFFERED_GRACE_MS: u64 = 1_000;

/// Passes an answer on as it comes.
pub(super) fn forward(
    shared: &Rc<Shared>,
    request: &RelayRequest,
    answer: UpstreamAnswer,
) -> Response<RelayBody> {
    let ends_by = ends_by(shared, request);
    let (mut head, body, end) = answer.split();
    super::headers::remove_hop_headers(&mut head.headers);
    Response::from_parts(head, RelayBody::forwarded(body, ends_by, end))
}

/// When an answer that is not complete is broken off.
pub(super) fn ends_by(shared: &Shared, request: &RelayRequest) -> Instant {
    let left_ms = request.deadline.ms_since(shared.now()) + END_SLACK_MS;
    Instant::now() + Duration::from_millis(left_ms)
}

/// Whether bytes that have come are still passed on, of an answer that is broken off at `ends_by`.
pub(super) fn may_still_forward(ends_by: Instant) -> bool {
    Instant::now() < ends_by + Duration::from_millis(BUFFERED_GRACE_MS)
}

/// Logs the end of a request that got no answer of an upstream.
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
