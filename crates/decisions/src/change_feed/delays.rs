//! Tells whether feed messages arrived promptly.

use monsoonspread_model::UnixMs;

use super::FeedTiming;

/// Whether a message says when something happened at its source.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FeedDelay {
    /// It was handled about when it was sent.
    Prompt,
    /// It may have waited.
    Unknown,
}

/// Tells whether feed messages arrived promptly.
///
/// Messages that wait for a process that was frozen, or behind a cut, are handled at once afterwards. What
/// they say of their age is true of the time when they were sent.
///
/// ```
/// use monsoonspread_decisions::change_feed::{FeedDelay, FeedDelays, FeedTiming};
/// use monsoonspread_model::UnixMs;
///
/// let mut delays = FeedDelays::new(FeedTiming::new(2_000), UnixMs(0));
/// assert_eq!(delays.on_message(UnixMs(250)), FeedDelay::Prompt);
/// // The process was frozen for five seconds.
/// assert_eq!(delays.on_message(UnixMs(5_250)), FeedDelay::Unknown);
/// assert_eq!(delays.on_message(UnixMs(5_251)), FeedDelay::Unknown);
/// assert_eq!(delays.on_message(UnixMs(5_800)), FeedDelay::Unknown);
/// assert_eq!(delays.on_message(UnixMs(6_100)), FeedDelay::Prompt);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct FeedDelays {
    max_gap_ms: u64,
    last_at: UnixMs,
    unknown_until: UnixMs,
}

impl FeedDelays {
    /// Starts at `now`.
    pub fn new(timing: FeedTiming, now: UnixMs) -> Self {
        Self {
            max_gap_ms: timing.source_timeout_ms,
            last_at: now,
            unknown_until: UnixMs(0),
        }
    }

    /// A message is handled; returns whether it can have waited.
    pub fn on_message(&mut self, now: UnixMs) -> FeedDelay {
        if now.ms_since(self.last_at) > self.max_gap_ms {
            // Those that waited with it follow within this time.
            self.unknown_until = now + self.max_gap_ms;
        }
        self.last_at = now;
        if now < self.unknown_until {
            FeedDelay::Unknown
        } else {
            FeedDelay::Prompt
        }
    }
}
