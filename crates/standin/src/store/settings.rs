//! Settings of the key-value service.

use serde::Deserialize;

/// What the key-value service can take.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct StoreSettings {
    /// Writes a second; more wait.
    pub writes_per_s: f64,
    /// Reads a second; more wait.
    pub reads_per_s: f64,
    /// Time that each call takes.
    pub call_ms: u64,
    /// Largest value.
    pub max_value_bytes: usize,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            writes_per_s: 400.0,
            reads_per_s: 2_000.0,
            call_ms: 2,
            max_value_bytes: 1024 * 1024,
        }
    }
}
