//! Completely received HTTP answers.

use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};

use super::NOT_RUN_HEADER;

/// An HTTP answer with its complete body.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl Reply {
    /// Returns whether the server reports that it did not run the request.
    ///
    /// ```
    /// # use monsoonspread_borders::http::Reply;
    /// let mut reply = Reply {
    ///     status: hyper::StatusCode::SERVICE_UNAVAILABLE,
    ///     headers: hyper::HeaderMap::new(),
    ///     body: Default::default(),
    /// };
    /// assert!(!reply.reports_not_run());
    /// reply.headers.insert("x-not-run", "true".parse().unwrap());
    /// assert!(reply.reports_not_run());
    /// ```
    pub fn reports_not_run(&self) -> bool {
        self.headers
            .get(NOT_RUN_HEADER)
            .is_some_and(|value| value.as_bytes() == b"true")
    }

    /// Returns the status and the first 200 bytes of the body, for error messages.
    ///
    /// ```
    /// # use monsoonspread_borders::http::Reply;
    /// let reply = Reply {
    ///     status: hyper::StatusCode::NOT_FOUND,
    ///     headers: hyper::HeaderMap::new(),
    ///     body: "gone".into(),
    /// };
    /// assert_eq!(reply.summary(), "status 404: gone");
    /// ```
    pub fn summary(&self) -> String {
        const MAX_BODY_BYTES: usize = 200;
        let body = &self.body[..self.body.len().min(MAX_BODY_BYTES)];
        let text = String::from_utf8_lossy(body);
        format!("status {}: {text}", self.status.as_u16())
    }
}
