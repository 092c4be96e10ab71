//! Plain services.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// The group whose callers may use it.
    pub group: Arc<str>,
    /// Its calls by name.
    pub calls: BTreeMap<Arc<str>, CallEntry>,
}

/// One call of a plain service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallEntry {
    /// Whether running it twice does no harm.
    pub repeatable: bool,
    /// How long it may take.
    pub timeout_ms: u64,
}
