//! Limit on requests in flight per caller.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use async_trait::async_trait;
use monsoonspread_model::{CallerName, Refusal, RefusalReason};

use super::{Exchange, Filter, Step};

/// Retry delay reported to a caller over its limit.
const RETRY_AFTER_MS: u64 = 1_000;

type InFlight = Arc<Mutex<HashMap<CallerName, u32>>>;

/// Limits each caller's requests in flight on this instance to the `max_in_flight` of the bundle.
#[derive(Default)]
pub struct AdmissionFilter {
    in_flight: InFlight,
}

impl AdmissionFilter {
    /// Creates the filter.
    pub fn new() -> Self {
        Self::default()
    }

    fn admit(&self, caller: &CallerName, limit: u32) -> Option<AdmissionPermit> {
        let mut in_flight = self
            .in_flight
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let count = in_flight.entry(caller.clone()).or_default();
        if *count >= limit {
            return None;
        }
        *count += 1;
        Some(AdmissionPermit {
            caller: caller.clone(),
            in_flight: Arc::clone(&self.in_flight),
        })
    }
}

/// Counts one request in flight of a caller; dropping it decrements the count.
pub struct AdmissionPermit {
    caller: CallerName,
    in_flight: InFlight,
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let mut in_flight = self
            .in_flight
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let Some(count) = in_flight.get_mut(&self.caller) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            in_flight.remove(&self.caller);
        }
    }
}

#[async_trait]
impl Filter for AdmissionFilter {
    async fn apply(&self, exchange: &mut Exchange) -> Result<Step, Refusal> {
        let caller = exchange.caller()?.clone();
        let callers = &exchange.bundle.bundle().callers;
        let limit = callers.get(&caller).map_or(0, |entry| entry.max_in_flight);
        let permit = self.admit(&caller, limit).ok_or_else(|| {
            let message = format!("caller \"{caller}\" has {limit} requests in flight already");
            Refusal::not_run(RefusalReason::CallerOverLimit, message)
                .with_retry_at(exchange.arrived_at + RETRY_AFTER_MS)
        })?;
        exchange.permit = Some(permit);
        Ok(Step::Next)
    }
}
