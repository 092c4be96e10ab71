//! State dump of a claim.

use monsoonspread_model::UnixMs;
use serde::Serialize;

/// How far a claim is, without the caller's key or text.
#[derive(Clone, Debug, Serialize)]
pub struct ClaimDump {
    /// The phase.
    pub phase: &'static str,
    /// The call's deadline.
    pub deadline_unix_ms: UnixMs,
    /// Whether the call was made from here.
    pub ran: bool,
}
