//! Answers that this system gives itself.

use bytes::Bytes;
use hyper::header::RETRY_AFTER;
use hyper::http::HeaderValue;
use hyper::{Response, StatusCode};
use monsoonspread_decisions::announced::retry_after_ms;
use monsoonspread_model::Fingerprint;

use super::RelayBody;
use super::request::RelayRequest;
use crate::event::{Line, kind};
use crate::shared::Shared;

/// An answer without the upstream's part.
pub(super) fn plain(status: StatusCode) -> Response<RelayBody> {
    let mut response = Response::new(RelayBody::whole(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// The request was not run and never will be; the client may come back after `retry_ms`.
pub(super) fn not_run(retry_ms: u64) -> Response<RelayBody> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{:.3}", retry_ms as f64 / 1_000.0);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Refuses a request that no upstream took, and logs it.
pub(super) fn refused(
    shared: &Shared,
    request: &RelayRequest,
    reason: &str,
    retry_ms: u64,
) -> Response<RelayBody> {
    shared.metrics.count("calls", "refused");
    Line::new(&kind::CALL_REFUSED)
        .field("id", &request.head.request_id)
        .field("route", &request.route.name)
        .field("reason", reason)
        .field("retry_ms", retry_ms)
        .log();
    not_run(retry_ms)
}

/// When the client comes back where all upstreams of its service turned this instance away, in
/// milliseconds; `None` where one takes work.
pub(super) fn backoff_ms(shared: &Shared, request: &RelayRequest) -> Option<u64> {
    let now = shared.now();
    let fleet = shared.fleet.borrow();
    let until = fleet.service_backoff_until(now, &request.service)?;
    let draw = Fingerprint::of([request.head.request_id.as_bytes()]);
    Some(retry_after_ms(until.ms_since(now), draw.0))
}
