//! A bundle that is being fetched.

use monsoonspread_model::bundle::Manifest;
use monsoonspread_model::{BundleVersion, UnixMs};

use super::event::Source;

/// Content that was asked for.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    /// The lowest version that will do.
    pub(super) version: BundleVersion,
    pub(super) source: Source,
    pub(super) deadline_unix_ms: UnixMs,
}

/// The newest signed manifest whose content is not here yet.
#[derive(Clone, Debug)]
pub(super) struct Wanted {
    pub(super) manifest: Manifest,
    /// Whether the key-value service was asked for it without success.
    pub(super) store_failed: bool,
}
