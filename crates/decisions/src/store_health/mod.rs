//! Recent reachability of the store, and what it implies for removed entries.
//!
//! During an outage of the store, entries expire although their owners are alive; these return soon
//! after its recovery. An entry that is removed later has really ended.

mod departures;
mod lapsing;
#[cfg(test)]
mod tests;

pub use departures::{Admission, Departures};
pub use lapsing::{Disappearance, LapsingEntries};

use monsoonspread_model::UnixMs;

use crate::holders::CONFIRMED_FOR_MS;

/// Time from the store's recovery until the entries of live owners are back, in milliseconds: about
/// two seconds on the platform, minus the time for requests in transit.
pub const BACK_WITHIN_MS: u64 = 1_900;

/// Pause after the first failed call, in milliseconds; each further failure doubles it. The source of
/// a zone doesn't become unavailable within this pause and one call.
const RETRY_MS: u64 = 150;
/// Minimum upper limit of these pauses, in milliseconds: the store's recovery is noticed well within
/// the smallest time bound for changes.
const MIN_MAX_RETRY_MS: u64 = 300;

/// Recent reachability of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreStatus {
    /// Time until which removed entries may come back.
    pub back_by: UnixMs,
    /// Whether no call failed within the last lease duration.
    pub is_steady: bool,
    /// What is newer than the known state was written after this time, or in an outage that ended then.
    pub known_at: UnixMs,
}

/// Tracks whether the store answers calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreHealth {
    /// Outages that are shorter let no entry of a live owner expire, in milliseconds.
    min_outage_ms: u64,
    /// Number of consecutive failed calls.
    failures: u32,
    /// When the store was last known to answer; zero before its first answer.
    answered_at: UnixMs,
    back_by: UnixMs,
    steady_from: UnixMs,
    known_at: UnixMs,
}

impl StoreHealth {
    /// Sets how often upstreams write their entries, which expire when several writes are missing: an outage that
    /// was shorter let none expire.
    ///
    /// ```
    /// use monsoonspread_decisions::store_health::StoreHealth;
    /// use monsoonspread_model::UnixMs;
    ///
    /// let mut health = StoreHealth::default().with_heartbeat_ms(1_200);
    /// health.on_answer(UnixMs(1_000));
    /// health.on_failure(UnixMs(1_500), UnixMs(1_700));
    /// health.on_answer(UnixMs(1_850));
    /// assert_eq!(health.status(UnixMs(1_850)).back_by, UnixMs(0));
    /// ```
    pub fn with_heartbeat_ms(self, heartbeat_ms: u64) -> Self {
        Self {
            min_outage_ms: heartbeat_ms,
            ..self
        }
    }

    /// A call was answered; returns true if the previous call failed.
    pub fn on_answer(&mut self, now: UnixMs) -> bool {
        let is_back = std::mem::take(&mut self.failures) > 0;
        // A single call can fail without an outage: the store may cut a watch at any time.
        let is_first = self.answered_at == UnixMs(0);
        let is_outage = is_first || now.ms_since(self.answered_at) >= self.min_outage_ms;
        if is_back && is_outage {
            self.back_by = now + BACK_WITHIN_MS;
        }
        self.answered_at = now;
        is_back
    }

    /// The known state was the newest at `at`, as the store told: for an answer of the store, when the call began.
    ///
    /// ```
    /// use monsoonspread_decisions::store_health::StoreHealth;
    /// use monsoonspread_model::UnixMs;
    ///
    /// let mut health = StoreHealth::default();
    /// health.on_current(UnixMs(2_000));
    /// health.on_current(UnixMs(1_500));
    /// assert_eq!(health.status(UnixMs(3_000)).known_at, UnixMs(2_000));
    /// ```
    pub fn on_current(&mut self, at: UnixMs) {
        self.known_at = self.known_at.max(at);
        self.answered_at = self.answered_at.max(at);
    }

    /// The store came back from an older copy, whose entries of live owners are written again.
    pub fn on_restored(&mut self, now: UnixMs) {
        self.back_by = now + BACK_WITHIN_MS;
        self.steady_from = now + CONFIRMED_FOR_MS;
    }

    /// A call that began at `asked_at` failed; returns true if the previous call did not.
    ///
    /// What is written during an outage counts as written at its end: nobody could know of it before. A process
    /// that knows nothing yet can't tell what was written before the outage.
    pub fn on_failure(&mut self, asked_at: UnixMs, now: UnixMs) -> bool {
        if self.known_at > UnixMs(0) {
            self.known_at = self.known_at.max(asked_at);
        }
        self.steady_from = now + CONFIRMED_FOR_MS;
        self.failures = self.failures.saturating_add(1);
        self.failures == 1
    }

    /// Whether the previous call failed.
    pub fn is_lost(&self) -> bool {
        self.failures > 0
    }

    /// Pause after failed calls, in milliseconds, limited to the larger of `max_ms` and a fixed value.
    ///
    /// ```
    /// use monsoonspread_decisions::store_health::StoreHealth;
    /// use monsoonspread_model::UnixMs;
    ///
    /// let mut health = StoreHealth::default();
    /// let pauses = [0, 150, 450].map(|now| {
    ///     health.on_failure(UnixMs(now), UnixMs(now));
    ///     health.retry_ms(500)
    /// });
    /// assert_eq!(pauses, [150, 300, 500]);
    /// ```
    pub fn retry_ms(&self, max_ms: u64) -> u64 {
        let doublings = self.failures.saturating_sub(1).min(8);
        (RETRY_MS << doublings).min(max_ms.max(MIN_MAX_RETRY_MS))
    }

    /// Returns the recent reachability of the store.
    ///
    /// ```
    /// use monsoonspread_decisions::store_health::StoreHealth;
    /// use monsoonspread_model::UnixMs;
    ///
    /// let mut health = StoreHealth::default();
    /// assert!(health.status(UnixMs(0)).is_steady);
    /// health.on_failure(UnixMs(0), UnixMs(0));
    /// assert!(!health.status(UnixMs(5_000)).is_steady);
    /// ```
    pub fn status(&self, now: UnixMs) -> StoreStatus {
        StoreStatus {
            back_by: self.back_by,
            is_steady: now >= self.steady_from,
            known_at: self.known_at,
        }
    }
}
