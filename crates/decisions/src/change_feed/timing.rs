//! Intervals and timeouts of the change feed.

use crate::store_health::BACK_WITHIN_MS;

/// Intervals and timeouts of the change feed, as fractions of the time within which a change must be
/// known everywhere.
///
/// In the slowest case a source loses the store and freezes just before it would report that: its
/// subscribers read the store themselves after `stale_ms` and `source_timeout_ms`, which together
/// leave a seventh of the time for the calls and for requests in transit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FeedTiming {
    /// Minimum time between two watch calls, in milliseconds, so that changes in quick succession are
    /// read with one call.
    pub coalesce_ms: u64,
    /// Maximum duration of one watch call, in milliseconds: the store's answers are at most this plus
    /// `coalesce_ms` apart, well within `stale_ms`.
    pub watch_ms: u64,
    /// Age of the store's last answer at which a source becomes unavailable, in milliseconds.
    pub stale_ms: u64,
    /// Maximum interval between two messages of a source, in milliseconds.
    pub heartbeat_ms: u64,
    /// Time without a message after which a source has timed out, in milliseconds: two late messages.
    pub source_timeout_ms: u64,
    /// Time in which an instance that starts to watch the store must become a source, in milliseconds:
    /// one watch call without changes.
    pub start_ms: u64,
    /// Age of the known state, in milliseconds, from which the whole state is read in place of all changes
    /// since then: more than a watch call and the pause after it.
    pub max_history_ms: u64,
    /// Maximum pause after failed calls, in milliseconds, so that the store's recovery is noticed early
    /// enough for the resulting changes.
    pub max_retry_ms: u64,
}

impl FeedTiming {
    /// Returns the timing for changes that must be known everywhere within `change_ms` milliseconds.
    ///
    /// ```
    /// use monsoonspread_decisions::change_feed::FeedTiming;
    ///
    /// let timing = FeedTiming::new(2_000);
    /// assert_eq!((timing.coalesce_ms, timing.stale_ms, timing.source_timeout_ms), (500, 900, 800));
    /// ```
    pub fn new(change_ms: u64) -> Self {
        Self {
            coalesce_ms: change_ms / 4,
            watch_ms: change_ms / 10,
            stale_ms: change_ms * 9 / 20,
            heartbeat_ms: change_ms / 8,
            source_timeout_ms: change_ms * 2 / 5,
            start_ms: change_ms / 8,
            max_history_ms: change_ms / 2,
            max_retry_ms: (change_ms / 4).min(change_ms.saturating_sub(BACK_WITHIN_MS)),
        }
    }
}
