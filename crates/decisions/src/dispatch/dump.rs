//! What a dump shows of the dispatcher.

use serde::Serialize;

use crate::quarantine::QuarantineDump;
use crate::straggler::SpeedDump;

/// The dispatcher's state, without any caller's text.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DispatchDump {
    /// Requests in flight.
    pub requests: usize,
    /// Of them, those that wait for a grant.
    pub waiting_for_grant: usize,
    /// Generations that run.
    pub generations: usize,
    /// Retries that may still be sent.
    pub retry_tokens: f64,
    /// Hedges that may still be sent.
    pub hedge_tokens: f64,
    /// Recent speeds of upstreams.
    pub speeds: Vec<SpeedDump>,
    /// Requests that crash upstreams.
    pub quarantine: QuarantineDump,
}
