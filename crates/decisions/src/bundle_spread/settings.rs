//! Bundle distribution settings.

/// How bundles are announced, kept and fetched.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BundleSpreadSettings {
    /// Number of random peers notified of a new bundle in one round.
    pub fan_out: usize,
    /// Number of rounds in which a new bundle is announced.
    pub notice_rounds: u32,
    /// Interval between two rounds.
    pub notice_interval_ms: u64,
    /// Maximum number of deltas kept for peers with an older version.
    pub max_deltas: usize,
    /// Maximum number of changed entries in all kept deltas together.
    pub max_delta_entries: usize,
    /// How long to wait for content from a peer or the key-value service.
    pub fetch_timeout_ms: u64,
    /// Maximum number of peers remembered as having a higher version.
    pub max_sources: usize,
}

impl Default for BundleSpreadSettings {
    fn default() -> Self {
        Self {
            fan_out: 3,
            notice_rounds: 2,
            notice_interval_ms: 200,
            max_deltas: 64,
            max_delta_entries: 4_096,
            fetch_timeout_ms: 500,
            max_sources: 8,
        }
    }
}
