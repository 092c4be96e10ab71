//! Answers of entry instances.

use std::collections::BTreeMap;

use hyper::http::response::Parts;
use serde_json::Value;

/// An answer, read whole.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    headers: BTreeMap<String, String>,
    /// The body as text.
    pub text: String,
}

impl Reply {
    pub(super) fn new(head: &Parts, body: &[u8]) -> Self {
        let text_of = |value: &hyper::header::HeaderValue| {
            String::from_utf8_lossy(value.as_bytes()).into_owned()
        };
        let headers = head
            .headers
            .iter()
            .map(|(name, value)| (name.to_string(), text_of(value)))
            .collect();
        Self {
            status: head.status.as_u16(),
            headers,
            text: String::from_utf8_lossy(body).into_owned(),
        }
    }

    /// A header, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The body as JSON, or null.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }

    /// The error's type, or an empty text.
    pub fn error_type(&self) -> String {
        let json = self.json();
        json["error"]["type"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// Whether the answer says that nothing ran.
    pub fn says_not_run(&self) -> bool {
        self.json()["error"]["not_run"] == true
    }
}
