//! State dump of the dispatcher.

use serde::Serialize;

use crate::quarantine::QuarantineDump;
use crate::straggler::SpeedDump;

/// The dispatcher's state, without any caller's text.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DispatchDump {
    /// Requests in flight.
    pub requests: usize,
    /// Requests in flight without a running generation.
    pub waiting_for_grant: usize,
    /// Running generations.
    pub generations: usize,
    /// Remaining retry budget.
    pub retry_tokens: f64,
    /// Remaining hedge budget.
    pub hedge_tokens: f64,
    /// Recent speeds of upstreams.
    pub speeds: Vec<SpeedDump>,
    /// Requests that crashed upstreams.
    pub quarantine: QuarantineDump,
}
