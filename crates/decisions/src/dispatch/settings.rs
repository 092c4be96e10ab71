//! Settings of the dispatcher.

use crate::placement::PlacementSettings;

/// How the dispatcher asks, retries and hedges.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchSettings {
    /// Candidates and copies.
    pub placement: PlacementSettings,
    /// An owner that has not answered after this long is passed over.
    pub ask_timeout_ms: u64,
    /// Wait before asking again after an owner said that it is not the owner.
    pub not_owner_retry_ms: u64,
    /// Times that a request asks for the same upstream again after such an answer.
    pub max_not_owner_retries: u32,
    /// Asks that one request may make in all.
    pub max_asks: u32,
    /// Generations that one request may start in all.
    pub max_attempts: u32,
    /// Retries earned by each request.
    pub retry_ratio: f64,
    /// Hedges earned by each request.
    pub hedge_ratio: f64,
    /// Retries and hedges that may follow at once.
    pub budget_burst: f64,
    /// A short request without its first token after this many times the usual wait is hedged.
    pub hedge_after_factor: f64,
    /// Shortest wait before a hedge.
    pub hedge_min_ms: u64,
    /// Upstreams this many times slower than their peers are asked last.
    pub slow_factor: f64,
    /// How long a broken stream may take to go on elsewhere.
    pub resume_within_ms: u64,
    /// A longer gap between events shows that the process stood still; ticks come far more often.
    pub pause_ms: u64,
    /// When a refused caller is told to come back at the earliest.
    pub retry_after_ms: u64,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            placement: PlacementSettings::default(),
            ask_timeout_ms: 150,
            not_owner_retry_ms: 20,
            max_not_owner_retries: 2,
            max_asks: 6,
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
