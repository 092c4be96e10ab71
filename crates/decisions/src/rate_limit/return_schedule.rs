//! Times at which refused clients may return.

use std::collections::BTreeMap;

use monsoonspread_model::{ServiceName, UnixMs};

/// Longest time after which a client may return, in milliseconds: limits may end sooner than refused
/// clients could be served.
const MAX_RETURN_MS: f64 = 5_000.0;
/// Lowest rate of returning clients, per second, so that each further one returns later.
const MIN_PER_S: f64 = 0.1;

/// Spreads the clients that are refused because all upstreams of a service are at their limit.
///
/// They return in the order in which they were refused, at the rate at which they can be served.
#[derive(Debug, Default)]
pub struct ReturnSchedule {
    /// Time of the next return in Unix milliseconds. Fractional, as the interval between returns is.
    next_at_ms: BTreeMap<ServiceName, f64>,
}

impl ReturnSchedule {
    /// A client is refused; returns when it may return. The first permit is free at `free_at`, and
    /// clients of this instance are served at `per_s`.
    ///
    /// ```
    /// # use monsoonspread_decisions::rate_limit::ReturnSchedule;
    /// # use monsoonspread_model::UnixMs;
    /// let mut schedule = ReturnSchedule::default();
    /// let (now, free_at) = (UnixMs(1_000), UnixMs(1_200));
    /// let service = "records".into();
    /// assert_eq!(schedule.on_refused(now, &service, free_at, 4.0), UnixMs(1_200));
    /// assert_eq!(schedule.on_refused(now, &service, free_at, 4.0), UnixMs(1_450));
    /// ```
    pub fn on_refused(
        &mut self,
        now: UnixMs,
        service: &ServiceName,
        free_at: UnixMs,
        per_s: f64,
    ) -> UnixMs {
        let next_at_ms = self.next_at_ms.entry(service.clone()).or_default();
        let latest_ms = now.0 as f64 + MAX_RETURN_MS;
        let return_at_ms = next_at_ms.max(free_at.0 as f64).min(latest_ms);
        *next_at_ms = return_at_ms + 1_000.0 / per_s.max(MIN_PER_S);
        UnixMs(return_at_ms.ceil() as u64)
    }
}
