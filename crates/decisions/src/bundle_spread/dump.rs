//! State dump of the spread of bundles.

use monsoonspread_model::BundleVersion;
use serde::Serialize;

/// What an instance has in force, and what it lacks.
#[derive(Clone, Debug, Serialize)]
pub struct BundleDump {
    /// The version in force, 0 for none.
    pub version: BundleVersion,
    /// Digest of its content.
    pub digest: Option<String>,
    /// The highest version that this instance knows to exist.
    pub known_version: BundleVersion,
    /// Deltas kept for peers that lag.
    pub deltas_kept: usize,
    /// Whether content is being fetched.
    pub fetching: bool,
}
