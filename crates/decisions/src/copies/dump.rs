//! State dump of an engine's copies.

use monsoonspread_model::fleet::AdapterKey;
use serde::Serialize;

use super::SpeedDump;

/// State of an engine's copies as shown in a state dump.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct CopyControlDump {
    /// Number of adapters that fit beside the loaded base models.
    pub capacity: usize,
    /// Number of orders that the engine accepted; `None` while a report is needed.
    pub accepted_orders: Option<u64>,
    /// Copies that requests may use.
    pub present: Vec<AdapterKey>,
    /// Copies that are being loaded.
    pub coming: Vec<AdapterKey>,
    /// Copies that are being removed or that the engine has to confirm.
    pub going: Vec<AdapterKey>,
    /// Number of copy requests that wait.
    pub waiting: usize,
    /// Number of granted requests that have not ended.
    pub running: u32,
    /// Prompt and answer tokens that they may take of the engine's memory together.
    pub running_tokens: u64,
    /// Estimate of the engine's speed.
    pub speed: SpeedDump,
}
