//! State dump of a claim.

use monsoonspread_model::UnixMs;
use serde::Serialize;

/// State of a claim, without the caller's key or text.
#[derive(Clone, Debug, Serialize)]
pub struct ClaimDump {
    /// The phase.
    pub phase: &'static str,
    /// The call's deadline.
    pub deadline_unix_ms: UnixMs,
    /// Whether this instance made the call.
    pub ran: bool,
}
