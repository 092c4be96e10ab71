//! Ownership settings.

/// How ownership tables are planned and written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnershipSettings {
    /// Instances in the failover order of one upstream, owner included.
    pub order_length: usize,
    /// How long a planned table must stay unchanged before it is written.
    pub settle_ms: u64,
    /// Added to `settle_ms` for each live instance that precedes this one by name.
    pub rank_delay_ms: u64,
    /// Used in place of `settle_ms` while fewer than half of the table's members are live.
    pub minority_settle_ms: u64,
    /// Base pause after the key-value service was unreachable, multiplied by `rank + 1`.
    pub store_retry_ms: u64,
    /// How long a successor waits for the handover from an owner that shuts down gracefully.
    pub handover_wait_ms: u64,
    /// How long after startup a table member that is neither listed nor reported by membership
    /// still counts as live.
    pub unseen_timeout_ms: u64,
}

impl Default for OwnershipSettings {
    fn default() -> Self {
        Self {
            order_length: 4,
            settle_ms: 300,
            rank_delay_ms: 1_000,
            minority_settle_ms: 5_000,
            store_retry_ms: 1_000,
            handover_wait_ms: 1_000,
            unseen_timeout_ms: 15_000,
        }
    }
}
