//! Settings of the dispatcher.

use crate::placement::PlacementSettings;

/// Settings of grant requests, retries and hedges.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchSettings {
    /// Settings of candidate and copy selection.
    pub placement: PlacementSettings,
    /// Time after which an owner that has not answered is skipped.
    pub grant_request_timeout_ms: u64,
    /// Wait before repeating a grant request after a "not owner" answer.
    pub not_owner_retry_ms: u64,
    /// Maximum number of repeats of a grant request to the same upstream after such answers.
    pub max_not_owner_retries: u32,
    /// Maximum number of grant requests per request, over all upstreams.
    pub max_grant_requests: u32,
    /// Maximum number of generations per request.
    pub max_attempts: u32,
    /// Number of retries that each request adds to the retry budget.
    pub retry_ratio: f64,
    /// Number of hedges that each request adds to the hedge budget.
    pub hedge_ratio: f64,
    /// Maximum burst of retries, and of hedges.
    pub budget_burst: f64,
    /// Multiple of the median time to first token after which a short request is hedged.
    pub hedge_after_factor: f64,
    /// Shortest wait before a hedge.
    pub hedge_min_ms: u64,
    /// Slowness compared with its peers from which an upstream is tried after the others.
    pub slow_factor: f64,
    /// Time limit for resuming a broken stream on another upstream.
    pub resume_within_ms: u64,
    /// Gap between events above which the process counts as paused; ticks come far more often.
    pub pause_ms: u64,
    /// Retry delay that refused callers are given.
    pub retry_after_ms: u64,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            placement: PlacementSettings::default(),
            grant_request_timeout_ms: 150,
            not_owner_retry_ms: 20,
            max_not_owner_retries: 2,
            max_grant_requests: 6,
            max_attempts: 3,
            retry_ratio: 0.2,
            hedge_ratio: 0.05,
            budget_burst: 20.0,
            hedge_after_factor: 4.0,
            hedge_min_ms: 100,
            slow_factor: 2.5,
            resume_within_ms: 2_000,
            pause_ms: 800,
            retry_after_ms: 1_000,
        }
    }
}
