//! Callers.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallerEntry {
    /// SHA-256 of its API key, in lower-case hexadecimal digits.
    pub key_sha256: String,
    /// Groups whose adapters and services it may use.
    pub groups: Vec<Arc<str>>,
    /// Added to the priority of what it asks for.
    #[serde(default)]
    pub priority: u8,
    /// Requests that may be in flight for it on one entry instance.
    pub max_in_flight: u32,
}
