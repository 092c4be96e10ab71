//! Chooses how to catch up with the store.

use monsoonspread_model::UnixMs;

use super::FeedTiming;

/// What to read from the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreRead {
    /// The changes since the known revision.
    Changes,
    /// The current state: all that is needed of it, however much has changed.
    Everything,
}

/// Chooses how to catch up with the store.
///
/// The store returns each change in full, also those that later ones replaced. After an interruption that
/// can be more than a slow link carries in time, and it grows while the instance falls behind.
#[derive(Clone, Copy, Debug)]
pub struct CatchUp {
    timing: FeedTiming,
    /// When the known state was current.
    current_at: UnixMs,
    /// Whether the last answer could not be read to its end.
    is_cut_short: bool,
}

impl CatchUp {
    /// Starts with a state that was current at `current_at`.
    ///
    /// ```
    /// use monsoonspread_decisions::change_feed::{CatchUp, FeedTiming, StoreRead};
    /// use monsoonspread_model::UnixMs;
    ///
    /// let catch_up = CatchUp::new(FeedTiming::new(2_000), UnixMs(0));
    /// assert_eq!(catch_up.next_read(UnixMs(700)), StoreRead::Changes);
    /// assert_eq!(catch_up.next_read(UnixMs(4_000)), StoreRead::Everything);
    /// ```
    pub fn new(timing: FeedTiming, current_at: UnixMs) -> Self {
        Self {
            timing,
            current_at,
            is_cut_short: false,
        }
    }

    /// The known state was current at `at`: for an answer of the store, when the call began.
    pub fn on_current(&mut self, at: UnixMs) {
        self.current_at = self.current_at.max(at);
        self.is_cut_short = false;
    }

    /// An answer began and did not arrive in full in time.
    pub fn on_cut_short(&mut self) {
        self.is_cut_short = true;
    }

    /// Returns what to read next.
    pub fn next_read(&self, now: UnixMs) -> StoreRead {
        if self.is_cut_short || now.ms_since(self.current_at) > self.timing.max_history_ms {
            StoreRead::Everything
        } else {
            StoreRead::Changes
        }
    }
}
