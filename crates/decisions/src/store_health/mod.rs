//! How well the store was reached lately, and what that says of entries that vanish.
//!
//! Entries run out while the store is away, though their owners live; those are back soon after
//! its return. An entry that vanishes later has ended.

#[cfg(test)]
mod tests;

use monsoonspread_model::UnixMs;

use crate::holders::CONFIRMED_FOR_MS;

/// Time from the store's return until entries of live owners are back, in milliseconds: about two
/// seconds on the platform, less the time for requests that are on their way then.
pub const BACK_WITHIN_MS: u64 = 1_900;

/// Pause after the first call that failed, in milliseconds; each further one doubles it. A source of
/// a zone is still one after this and a call.
const RETRY_MS: u64 = 150;
/// Least bound on these pauses, in milliseconds: the store's return is noticed well within the least
/// bound for changes.
const MIN_MAX_RETRY_MS: u64 = 300;

/// How well the store was reached lately.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreStatus {
    /// Until then, entries that vanish may come back.
    pub back_by: UnixMs,
    /// Every call was answered for as long as a lease lasts.
    pub is_steady: bool,
}

/// Whether the store answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreHealth {
    /// Calls that failed in a row.
    failures: u32,
    back_by: UnixMs,
    steady_from: UnixMs,
}

impl StoreHealth {
    /// A call was answered; true when the store was lost before.
    pub fn on_answer(&mut self, now: UnixMs) -> bool {
        let is_back = std::mem::take(&mut self.failures) > 0;
        if is_back {
            self.back_by = now + BACK_WITHIN_MS;
        }
        is_back
    }

    /// A call failed; true when the one before did not.
    pub fn on_failure(&mut self, now: UnixMs) -> bool {
        self.steady_from = now + CONFIRMED_FOR_MS;
        self.failures = self.failures.saturating_add(1);
        self.failures == 1
    }

    /// Whether the call before failed.
    pub fn is_lost(&self) -> bool {
        self.failures > 0
    }

    /// How long to wait after calls that failed, `max_ms` or a fixed least bound at the most, in
    /// milliseconds.
    ///
    /// ```
    /// use monsoonspread_decisions::store_health::StoreHealth;
    /// use monsoonspread_model::UnixMs;
    ///
    /// let mut health = StoreHealth::default();
    /// let pauses = [0, 150, 450].map(|now| {
    ///     health.on_failure(UnixMs(now));
    ///     health.retry_ms(500)
    /// });
    /// assert_eq!(pauses, [150, 300, 500]);
    /// ```
    pub fn retry_ms(&self, max_ms: u64) -> u64 {
        let doublings = self.failures.saturating_sub(1).min(8);
        (RETRY_MS << doublings).min(max_ms.max(MIN_MAX_RETRY_MS))
    }

    /// How well the store was reached.
    ///
    /// ```
    /// use monsoonspread_decisions::store_health::StoreHealth;
    /// use monsoonspread_model::UnixMs;
    ///
    /// let mut health = StoreHealth::default();
    /// assert!(health.status(UnixMs(0)).is_steady);
    /// health.on_failure(UnixMs(0));
    /// assert!(!health.status(UnixMs(5_000)).is_steady);
    /// ```
    pub fn status(&self, now: UnixMs) -> StoreStatus {
        StoreStatus {
            back_by: self.back_by,
            is_steady: now >= self.steady_from,
        }
    }
}
