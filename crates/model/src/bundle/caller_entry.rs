//! Callers in a bundle.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A caller that a bundle admits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallerEntry {
    /// SHA-256 of the caller's API key, in lower-case hexadecimal digits.
    pub key_sha256: String,
    /// Groups whose adapters and services the caller may use.
    pub groups: Vec<Arc<str>>,
    /// Added to the priority of the requested adapter.
    #[serde(default)]
    pub priority: u8,
    /// Maximum number of the caller's requests in flight on one entry instance.
    pub max_in_flight: u32,
}
