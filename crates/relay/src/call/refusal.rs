//! Answers that this system gives itself.

use bytes::Bytes;
use hyper::header::RETRY_AFTER;
use hyper::http::HeaderValue;
use hyper::{Response, StatusCode};

use super::RelayBody;

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
