//! What a state dump shows of an engine's copies.

use monsoonspread_model::fleet::AdapterKey;
use serde::Serialize;

/// What a state dump shows of an engine's copies.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct CopyControlDump {
    /// Adapters that fit.
    pub capacity: usize,
    /// Orders that the engine accepted; `None` before a report.
    pub accepted_orders: Option<u64>,
    /// Copies that requests may use.
    pub present: Vec<AdapterKey>,
    /// Copies on their way.
    pub coming: Vec<AdapterKey>,
    /// Copies to be removed.
    pub going: Vec<AdapterKey>,
    /// Asks that wait for a copy.
    pub waiting: usize,
    /// Requests that run or are about to.
    pub running: u32,
}
