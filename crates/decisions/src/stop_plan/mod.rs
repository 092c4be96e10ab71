//! The times of a planned stop.

#[cfg(test)]
mod tests;

use monsoonspread_model::UnixMs;

/// Time until the platform stops sending clients after readiness fails, in milliseconds: it polls
/// once a second and acts on the second failure.
const DEREGISTRATION_MS: u64 = 2_500;
/// How long a stopping process accepts requests, in milliseconds.
///
/// The platform stops sending clients after two to three seconds; the longest requests need the
/// remaining time until the process is killed.
const LAST_REQUEST_MS: u64 = 2_700;
/// Part of the grace period reserved for the final writes and the exit itself, in milliseconds.
const STOP_MARGIN_MS: u64 = 700;
/// Largest part of the time until the end in which requests are accepted, in percent: a short grace period is
/// needed for those that were accepted.
const MAX_ACCEPTING_PERCENT: u64 = 40;
/// Largest part of the grace period that is reserved for its end, in percent.
const MAX_MARGIN_PERCENT: u64 = 25;

/// The times of a planned stop, from the signal to the end of the process.
///
/// ```
/// use monsoonspread_decisions::stop_plan::StopPlan;
/// use monsoonspread_model::UnixMs;
///
/// let plan = StopPlan::new(UnixMs(0), 8_000);
/// assert_eq!(plan.last_start_at, UnixMs(5_000));
/// assert_eq!(plan.ends_at, UnixMs(7_300));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopPlan {
    /// When idle connections are closed.
    pub closes_idle_at: UnixMs,
    /// From when on new requests are refused.
    pub last_request_at: UnixMs,
    /// From when on no request is sent to an upstream, and those that still wait for one are refused: half of the
    /// remaining time is left for the answers of the others, and for the refusals to be read.
    pub last_start_at: UnixMs,
    /// When the remaining connections are closed.
    pub ends_at: UnixMs,
    /// When the process exits at the latest.
    pub exits_by: UnixMs,
}

impl StopPlan {
    /// Creates the plan of a stop that was requested at `requested_at`, `grace_ms` before the process is killed.
    pub fn new(requested_at: UnixMs, grace_ms: u64) -> Self {
        let margin_ms = STOP_MARGIN_MS.min(grace_ms * MAX_MARGIN_PERCENT / 100);
        let ends_ms = grace_ms - margin_ms;
        let accepting_ms = ends_ms * MAX_ACCEPTING_PERCENT / 100;
        let last_request_ms = LAST_REQUEST_MS.min(accepting_ms);
        Self {
            closes_idle_at: requested_at + DEREGISTRATION_MS.min(last_request_ms),
            last_request_at: requested_at + last_request_ms,
            last_start_at: requested_at + last_request_ms.midpoint(ends_ms),
            ends_at: requested_at + ends_ms,
            exits_by: requested_at + ends_ms + margin_ms / 2,
        }
    }
}
