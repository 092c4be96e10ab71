//! Times at which refused clients may return.

use std::collections::BTreeMap;

use monsoonspread_model::UnixMs;

/// Longest time after which a client may return, in milliseconds: limits may end sooner than refused
/// clients could be served.
const MAX_RETURN_MS: f64 = 5_000.0;
/// Lowest rate of returning clients, per second, so that each further one returns later.
const MIN_PER_S: f64 = 0.1;

/// Spreads the clients that are refused because all upstreams of a service, or a workspace, are at their
/// limit.
///
/// They return in the order in which they were refused, at the rate at which they can be served.
#[derive(Debug)]
pub struct ReturnSchedule<K> {
    /// Time of the next return in Unix milliseconds. Fractional, as the interval between returns is.
    next_at_ms: BTreeMap<K, f64>,
}

impl<K> Default for ReturnSchedule<K> {
    fn default() -> Self {
        Self {
            next_at_ms: BTreeMap::new(),
        }
    }
}

impl<K: Clone + Ord> ReturnSchedule<K> {
    /// A client of `key` is refused; returns when it may return. The first permit is free at `free_at`, and
    /// clients of this instance are served at `per_s`.
    ///
    /// ```
    /// # use monsoonspread_decisions::rate_limit::ReturnSchedule;
    /// # use monsoonspread_model::UnixMs;
    /// let mut schedule = ReturnSchedule::default();
    /// let (now, free_at) = (UnixMs(1_000), UnixMs(1_200));
    /// let service = "records";
    /// assert_eq!(schedule.on_refused(now, &service, free_at, 4.0), UnixMs(1_200));
    /// assert_eq!(schedule.on_refused(now, &service, free_at, 4.0), UnixMs(1_450));
    /// ```
    pub fn on_refused(&mut self, now: UnixMs, key: &K, free_at: UnixMs, per_s: f64) -> UnixMs {
        let next_at_ms = self.next_at_ms.entry(key.clone()).or_default();
        let latest_ms = now.0 as f64 + MAX_RETURN_MS;
        let return_at_ms = next_at_ms.max(free_at.0 as f64).min(latest_ms);
        *next_at_ms = return_at_ms + 1_000.0 / per_s.max(MIN_PER_S);
        UnixMs(return_at_ms.ceil() as u64)
    }

    /// Drops what is known of keys that are no more.
    pub fn retain(&mut self, is_known: impl Fn(&K) -> bool) {
        self.next_at_ms.retain(|key, _| is_known(key));
    }
}
