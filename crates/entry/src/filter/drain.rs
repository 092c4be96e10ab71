//! Refuses requests during start and planned stop.

use async_trait::async_trait;
use monsoonspread_model::{Refusal, RefusalReason};
use tokio::sync::watch;

use super::{Exchange, Filter, Step};
use crate::run_state::RunState;

/// Retry delay reported to callers while the instance starts or stops.
const RETRY_AFTER_MS: u64 = 1_000;

/// Refuses new requests unless the instance is ready.
pub struct DrainFilter {
    state: watch::Receiver<RunState>,
}

impl DrainFilter {
    /// Creates the filter.
    pub fn new(state: watch::Receiver<RunState>) -> Self {
        Self { state }
    }
}

#[async_trait]
impl Filter for DrainFilter {
    async fn apply(&self, exchange: &mut Exchange) -> Result<Step, Refusal> {
        let (reason, message) = match *self.state.borrow() {
            RunState::Ready => return Ok(Step::Next),
            RunState::Starting => (
                RefusalReason::Unavailable,
                "the instance has no bundle in force yet",
            ),
            RunState::Draining => (RefusalReason::Draining, "the instance is stopping"),
        };
        let retry_at = exchange.arrived_at + RETRY_AFTER_MS;
        Err(Refusal::not_run(reason, message).with_retry_at(retry_at))
    }
}
