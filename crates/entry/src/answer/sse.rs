//! Encoding of server-sent events.

use bytes::Bytes;
use monsoonspread_model::Refusal;
use serde_json::Value;

use crate::http::refusal_object;

/// Last event of a complete response.
pub const DONE: Bytes = Bytes::from_static(b"data: [DONE]\n\n");

/// Encodes one chunk of a response.
///
/// ```
/// # use monsoonspread_entry::answer::event;
/// assert_eq!(&event(&serde_json::json!({"a": 1}))[..], b"data: {\"a\":1}\n\n");
/// ```
pub fn event(chunk: &Value) -> Bytes {
    Bytes::from(format!("data: {chunk}\n\n"))
}

/// Encodes the last event of an incomplete response; no `[DONE]` may follow it.
pub fn error_event(refusal: &Refusal) -> Bytes {
    Bytes::from(format!(
        "event: error\ndata: {}\n\n",
        refusal_object(refusal)
    ))
}
