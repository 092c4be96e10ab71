//! Settings of claims.

/// How long a claim waits, and for what.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimSettings {
    /// First pause before reading another's claim again; doubles from read to read.
    pub poll_ms: u64,
    /// Longest pause between such reads.
    pub max_poll_ms: u64,
    /// How long past its deadline another's claim may still be running.
    pub grace_ms: u64,
    /// Pause after the key-value service could not be reached while recording an outcome.
    pub store_retry_ms: u64,
    /// How long past its deadline a claim goes on trying to record its outcome.
    pub record_for_ms: u64,
    /// Creates tried in a row while reading back finds nothing.
    pub create_attempts: u32,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            poll_ms: 20,
            max_poll_ms: 500,
            grace_ms: 1_000,
            store_retry_ms: 500,
            record_for_ms: 60_000,
            create_attempts: 3,
        }
    }
}

/// How creates are grouped.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BatchSettings {
    /// How long a create waits for others.
    pub window_ms: u64,
    /// Creates in one transaction.
    pub max_entries: usize,
    /// Transactions under way at a time.
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
