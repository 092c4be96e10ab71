//! Request deadlines.

use async_trait::async_trait;
use monsoonspread_model::{Refusal, RefusalReason};

use super::{Exchange, Filter, Step};
use crate::settings::Limits;

/// Request header with the maximum time to the first token, in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Sets the deadline from the request header or the default limit.
pub struct DeadlineFilter {
    limits: Limits,
}

impl DeadlineFilter {
    /// Creates the filter.
    pub fn new(limits: Limits) -> Self {
        Self { limits }
    }
}

#[async_trait]
impl Filter for DeadlineFilter {
    async fn apply(&self, exchange: &mut Exchange) -> Result<Step, Refusal> {
        let max_ms = self.limits.max_deadline_ms;
        let timeout_ms = match exchange.head.headers.get(DEADLINE_HEADER) {
            None => self.limits.default_deadline_ms,
            Some(value) => value
                .to_str()
                .ok()
                .and_then(|text| text.parse().ok())
                .filter(|timeout_ms| (1..=max_ms).contains(timeout_ms))
                .ok_or_else(|| {
                    let message =
                        format!("header \"{DEADLINE_HEADER}\" is not a number from 1 to {max_ms}");
                    Refusal::not_run(RefusalReason::BadRequest, message)
                })?,
        };
        exchange.deadline_unix_ms = exchange.arrived_at + timeout_ms;
        Ok(Step::Next)
    }
}
