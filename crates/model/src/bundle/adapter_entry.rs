//! Adapters in a bundle.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::BaseModelName;

/// An adapter that a bundle offers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterEntry {
    /// The base model that it was fine-tuned from.
    pub base_model: BaseModelName,
    /// Versions that may be requested.
    pub versions: Vec<u32>,
    /// The version that serves requests without a version.
    pub default_version: u32,
    /// The group whose callers may use the adapter.
    pub group: Arc<str>,
    /// Priority of its requests; higher priorities are served first.
    pub priority: u8,
}
