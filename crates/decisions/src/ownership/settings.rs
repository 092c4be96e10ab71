//! Settings of ownership.

/// How ownership tables are planned and written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnershipSettings {
    /// Instances in the failover order of one upstream, owner included.
    pub order_length: usize,
    /// How long a wanted change of the table stays the same before it is written.
    pub settle_ms: u64,
    /// Added to `settle_ms` for each live instance that ranks before this one.
    pub rank_delay_ms: u64,
    /// Used in place of `settle_ms` while fewer than half of the table's members are live.
    pub minority_settle_ms: u64,
    /// Pause after the key-value service could not be reached, times one more than the rank.
    pub store_retry_ms: u64,
    /// How long a successor waits for the handover of an owner that leaves as planned.
    pub handover_wait_ms: u64,
    /// How long a member of the table that is not listed may stay unheard of before it counts
    /// as gone.
    pub unheard_ms: u64,
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
            unheard_ms: 15_000,
        }
    }
}
