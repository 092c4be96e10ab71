//! Limits towards callers.

/// What the instance takes from callers before it refuses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest body of a request.
    pub body_bytes: usize,
    /// Time for the headers of a request to arrive.
    pub header_timeout_ms: u64,
    /// Time for the body of a request to arrive.
    pub body_timeout_ms: u64,
    /// Connections of callers at a time.
    pub connections: usize,
    /// Time to the first token when the caller names no deadline.
    pub default_deadline_ms: u64,
    /// Longest time to the first token that a caller may name.
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
