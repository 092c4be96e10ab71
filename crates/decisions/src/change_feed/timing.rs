//! How fast changes of the store are passed on.

use crate::store_health::BACK_WITHIN_MS;

/// How fast changes of the store are passed on, in shares of the time in which they must be
/// known everywhere.
///
/// The slowest way is that a source loses the store, and is frozen just before it would say so:
/// its followers read the store themselves after `stale_ms` and `source_timeout_ms`, which together
/// leave a seventh of the time for the calls and for requests that are on their way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FeedTiming {
    /// Least time from one watch to the next, in milliseconds: changes that come together are
    /// read with one call.
    pub coalesce_ms: u64,
    /// Longest wait of one watch, in milliseconds: the store's answers are never further apart
    /// than this and `coalesce_ms`, well within `stale_ms`.
    pub watch_ms: u64,
    /// Age of the store's last answer at which a source stops to be one, in milliseconds.
    pub stale_ms: u64,
    /// Longest pause between two messages of a source, in milliseconds.
    pub heartbeat_ms: u64,
    /// Silence after which a source is given up, in milliseconds: two messages that are late.
    pub source_timeout_ms: u64,
    /// Time that an instance has to become a source when it begins to follow the store, in
    /// milliseconds: one watch without changes.
    pub start_ms: u64,
    /// Longest pause after calls that failed, in milliseconds: the store's return is noticed in
    /// time for all that follows from it.
    pub max_retry_ms: u64,
}

impl FeedTiming {
    /// The pace for changes that must be known everywhere within `change_ms`.
    ///
    /// ```
    /// use monsoonspread_decisions::change_feed::FeedTiming;
    ///
    /// let pace = FeedTiming::new(2_000);
    /// assert_eq!((pace.coalesce_ms, pace.stale_ms, pace.source_timeout_ms), (500, 900, 800));
    /// ```
    pub fn new(change_ms: u64) -> Self {
        Self {
            coalesce_ms: change_ms / 4,
            watch_ms: change_ms / 10,
            stale_ms: change_ms * 9 / 20,
            heartbeat_ms: change_ms / 8,
            source_timeout_ms: change_ms * 2 / 5,
            start_ms: change_ms / 8,
            max_retry_ms: (change_ms / 4).min(change_ms.saturating_sub(BACK_WITHIN_MS)),
        }
    }
}
