//! Settings of the spread of bundles.

/// How bundles spread.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BundleSpreadSettings {
    /// Random peers that are told of a new bundle in one round.
    pub fan_out: usize,
    /// Rounds in which a new bundle is told.
    pub notice_rounds: u32,
    /// Pause between two rounds.
    pub notice_interval_ms: u64,
    /// Deltas kept for peers that lag.
    pub deltas_kept: usize,
    /// Changed entries kept in all deltas together.
    pub delta_entries_kept: usize,
    /// How long a peer or the key-value service may take to give content.
    pub fetch_timeout_ms: u64,
    /// Peers remembered as holding a higher version.
    pub sources_kept: usize,
}

impl Default for BundleSpreadSettings {
    fn default() -> Self {
        Self {
            fan_out: 3,
            notice_rounds: 2,
            notice_interval_ms: 200,
            deltas_kept: 64,
            delta_entries_kept: 4_096,
            fetch_timeout_ms: 500,
            sources_kept: 8,
        }
    }
}
