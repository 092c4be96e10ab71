//! Plain services in a bundle.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A plain service that a bundle offers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// The group whose callers may use the service.
    pub group: Arc<str>,
    /// The service's calls by name.
    pub calls: BTreeMap<Arc<str>, CallEntry>,
}

/// One call of a plain service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallEntry {
    /// Whether the call is idempotent: running it twice does no harm.
    pub repeatable: bool,
    /// Timeout in milliseconds.
    pub timeout_ms: u64,
}
