//! Offered adapters.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::BaseModelName;

/// One offered adapter.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterEntry {
    /// The model it was tuned from.
    pub base_model: BaseModelName,
    /// Offered versions.
    pub versions: Vec<u32>,
    /// The version that a request without one gets.
    pub default_version: u32,
    /// The group whose callers may use it.
    pub group: Arc<str>,
    /// Priority of its requests; higher goes first.
    pub priority: u8,
}
