//! What kind of body an upstream's answer has.

use hyper::header::{
    CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderName, TRANSFER_ENCODING,
};
use hyper::http::response::Parts;
use hyper::{Method, StatusCode};
use monsoonspread_decisions::answer_end::Framing;

use super::request::RelayRequest;

const EVENT_STREAM: &str = "text/event-stream";

/// Returns how the answer to `request` marks its end.
pub(super) fn framing(request: &RelayRequest, head: &Parts) -> Framing {
    let has_no_body = request.method == Method::HEAD
        || matches!(
            head.status,
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
    if has_no_body {
        return Framing::Length;
    }
    let codings = values(&head.headers, &TRANSFER_ENCODING);
    Framing::new(codings, head.headers.contains_key(CONTENT_LENGTH))
}

/// Whether the answer to `request` is a stream of readable events. An answer without a type on a route of
/// streams is one.
pub(super) fn is_event_stream(
    request: &RelayRequest,
    status: StatusCode,
    headers: &HeaderMap,
) -> bool {
    if status != StatusCode::OK || headers.contains_key(CONTENT_ENCODING) {
        return false;
    }
    match values(headers, &CONTENT_TYPE).next() {
        Some(value) => {
            let essence = value.split(';').next().unwrap_or_default();
            essence.trim().eq_ignore_ascii_case(EVENT_STREAM)
        }
        None => request.route.repeat.is_stream(),
    }
}

fn values<'a>(headers: &'a HeaderMap, name: &HeaderName) -> impl Iterator<Item = &'a str> {
    let values = headers.get_all(name).into_iter();
    values.filter_map(|value| value.to_str().ok())
}
