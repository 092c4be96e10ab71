//! Bundle distribution state for the state dump.

use monsoonspread_model::BundleVersion;
use serde::Serialize;

/// The bundle in force and the state of distribution.
#[derive(Clone, Debug, Serialize)]
pub struct BundleDump {
    /// The version in force, 0 for none.
    pub version: BundleVersion,
    /// Digest of its content; `None` without a bundle.
    pub digest: Option<String>,
    /// The highest version known to exist.
    pub known_version: BundleVersion,
    /// Number of deltas kept for peers with an older version.
    pub deltas_kept: usize,
    /// Whether a fetch of content is in flight.
    pub fetching: bool,
}
