//! Answers.

use std::io;

use bytes::Bytes;
use futures_util::{Stream, TryStreamExt};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use hyper::header::CONTENT_TYPE;
use hyper::{Response, StatusCode};
use serde::Serialize;
use serde_json::json as json_value;

use super::NOT_RUN_HEADER;

/// The body of an answer; an error in it closes the connection.
pub type AnswerBody = UnsyncBoxBody<Bytes, io::Error>;

/// An answer; an error closes the connection unanswered.
pub type Answer = io::Result<Response<AnswerBody>>;

/// Marks an answer to a request that changed something, which the fault of lost answers hits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TookEffect;

/// Closes the connection unanswered.
pub(crate) fn drop_connection(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, why)
}

/// An answer in JSON.
///
/// ```
/// # use hyper::StatusCode;
/// # use monsoonspread_standin::server::json;
/// assert_eq!(json(StatusCode::OK, &[1, 2]).status(), 200);
/// ```
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<AnswerBody> {
    let text = serde_json::to_string(value).unwrap_or_default();
    with_body(status, "application/json", full(text))
}

/// An answer without a body.
pub(crate) fn empty(status: StatusCode) -> Response<AnswerBody> {
    with_body(status, "text/plain", full(String::new()))
}

/// A refusal that the request did not run.
pub(crate) fn not_run(message: &str) -> Response<AnswerBody> {
    let body = json_value!({ "error": { "message": message } });
    let mut response = json(StatusCode::SERVICE_UNAVAILABLE, &body);
    response.headers_mut().insert(
        NOT_RUN_HEADER,
        "true".parse().expect("a plain header value"),
    );
    response
}

/// An answer that goes out in pieces.
pub(crate) fn streamed(
    content_type: &str,
    pieces: impl Stream<Item = io::Result<Bytes>> + Send + 'static,
) -> Response<AnswerBody> {
    let body = StreamBody::new(pieces.map_ok(Frame::data));
    with_body(StatusCode::OK, content_type, body.boxed_unsync())
}

fn full(text: String) -> AnswerBody {
    Full::new(Bytes::from(text))
        .map_err(|never| match never {})
        .boxed_unsync()
}

fn with_body(status: StatusCode, content_type: &str, body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    if let Ok(value) = content_type.parse() {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    response
}
