//! Limits on callers' requests and connections.

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Maximum time to receive the headers of a request.
    pub header_timeout_ms: u64,
    /// Maximum time to receive the body of a request.
    pub body_timeout_ms: u64,
    /// Maximum number of simultaneous connections.
    pub connections: usize,
    /// Time to the first token if the caller sets no deadline.
    pub default_deadline_ms: u64,
    /// Maximum time to the first token that a caller may set.
    pub max_deadline_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 1024 * 1024,
            header_timeout_ms: 10_000,
            body_timeout_ms: 10_000,
            connections: 4096,
            default_deadline_ms: 15_000,
            max_deadline_ms: 600_000,
        }
    }
}
