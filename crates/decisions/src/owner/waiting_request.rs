//! A request in the queue of an upstream.

use monsoonspread_model::message::GrantRequest;
use monsoonspread_model::{RequestClass, UnixMs};

use super::request_key::RequestKey;

/// A request that waits for a grant.
#[derive(Clone, Debug)]
pub(super) struct WaitingRequest {
    /// The key of the request.
    pub key: RequestKey,
    /// The request as received.
    pub request: GrantRequest,
    /// When it entered the queue.
    pub since: UnixMs,
}

/// Weight of a waiting request of priority 0 in the choice of the next load, by class.
const CLASS_WEIGHTS: [f64; RequestClass::ALL.len()] = [2.0, 1.0, 0.7];
/// Priority points that double a request's weight.
const PRIORITY_PER_DOUBLING: f64 = 64.0;
/// Time to the deadline at which a request weighs one and a half times as much.
const URGENT_MS: f64 = 500.0;
/// Waiting time that adds a request's weight once more.
const AGE_PER_WEIGHT_MS: f64 = 20_000.0;

impl WaitingRequest {
    /// Whether this request can still start by its deadline when it starts at `start`.
    pub fn in_time(&self, start: UnixMs, first_token_ms: u64) -> bool {
        start + first_token_ms <= self.request.deadline_unix_ms
    }

    /// Weight of this request in the choice of the next load.
    pub fn weight(&self, now: UnixMs) -> f64 {
        let class = CLASS_WEIGHTS[self.request.class as usize];
        let priority = 1.0 + f64::from(self.request.priority) / PRIORITY_PER_DOUBLING;
        let age = 1.0 + now.ms_since(self.since) as f64 / AGE_PER_WEIGHT_MS;
        let slack_ms = self.request.deadline_unix_ms.ms_since(now) as f64;
        let urgency = 1.0 + URGENT_MS / (slack_ms + URGENT_MS);
        class * priority * age * urgency
    }
}
