//! Responses of the callers' API.

use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use monsoonspread_model::{Refusal, UnixMs};
use serde::Serialize;
use serde_json::json;

use super::body::{ResponseBody, full};

/// Creates a response with a JSON body.
pub fn json(status: StatusCode, body: &impl Serialize) -> Response<ResponseBody> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    let media_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, media_type);
    response
}

/// Returns the JSON error object for a refusal.
pub(crate) fn refusal_object(refusal: &Refusal) -> serde_json::Value {
    let mut error = json!({
        "message": refusal.message,
        "type": refusal.reason.as_str(),
        "not_run": refusal.not_run,
    });
    if let Some(retry_at) = refusal.retry_at_unix_ms {
        error["retry_at_unix_ms"] = json!(retry_at.0);
    }
    json!({ "error": error })
}

/// Creates the error response for a refusal, with `Retry-After` in whole seconds (at least 1) if
/// the refusal has a retry time.
pub fn refusal(now: UnixMs, refusal: &Refusal) -> Response<ResponseBody> {
    let status =
        StatusCode::from_u16(refusal.reason.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = json(status, &refusal_object(refusal));
    if let Some(retry_at) = refusal.retry_at_unix_ms {
        let seconds = retry_at.ms_since(now).div_ceil(1000).max(1);
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Sets the headers of a stream of server-sent events.
pub fn sse_headers(response: &mut Response<ResponseBody>) {
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
}
