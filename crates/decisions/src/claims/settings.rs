//! Settings of claims.

/// Timeouts and pauses of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimSettings {
    /// First pause before another instance's claim is read again; doubles with each read.
    pub poll_ms: u64,
    /// Longest pause between such reads.
    pub max_poll_ms: u64,
    /// How long after its deadline another instance's call may still be running.
    pub grace_ms: u64,
    /// Pause after the key-value service could not be reached while recording an outcome.
    pub store_retry_ms: u64,
    /// How long after its deadline a claim keeps trying to record its outcome.
    pub record_timeout_ms: u64,
    /// Maximum number of consecutive creates while reading back finds no record.
    pub create_attempts: u32,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            poll_ms: 20,
            max_poll_ms: 500,
            grace_ms: 1_000,
            store_retry_ms: 500,
            record_timeout_ms: 60_000,
            create_attempts: 3,
        }
    }
}

/// Settings of the batching of creates.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BatchSettings {
    /// How long a create waits for others.
    pub window_ms: u64,
    /// Maximum number of creates in one transaction.
    pub max_entries: usize,
    /// Maximum number of transactions in flight.
    pub max_in_flight: usize,
}

impl Default for BatchSettings {
    fn default() -> Self {
        Self {
            window_ms: 3,
            max_entries: 64,
            max_in_flight: 4,
        }
    }
}
