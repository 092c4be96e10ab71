//! What an instance knows of prompt parts from its own requests.

use monsoonspread_model::{Fingerprint, UnixMs};

use super::Suspect;
use super::recent_times::RecentTimes;

/// How long an answer that was served before a crash speaks for its parts, in milliseconds.
const SERVED_KEPT_MS: u64 = 60_000;

/// What an instance knows of prompt parts from its own requests, which may clear suspects whose crashes
/// become known later.
#[derive(Clone, Debug, Default)]
pub struct PartHistory {
    served: RecentTimes,
    /// When a part was last sent as the first of a prompt.
    leading: RecentTimes,
}

impl PartHistory {
    /// Records that a request with `parts` is sent to an upstream.
    pub fn on_sent(&mut self, parts: &[Fingerprint], now: UnixMs) {
        if let Some(first) = parts.first() {
            self.leading.record(*first, now);
        }
    }

    /// Records that a request with `part` was served.
    ///
    /// ```
    /// # use monsoonspread_decisions::quarantine::{PartHistory, Suspect};
    /// # use monsoonspread_model::{Fingerprint, UnixMs};
    /// let mut history = PartHistory::default();
    /// history.on_served(Fingerprint(7), UnixMs(5));
    /// let at = history.cleared_at(UnixMs(9), Fingerprint(7), &Suspect::default());
    /// assert_eq!(at, Some(UnixMs(5)));
    /// ```
    pub fn on_served(&mut self, part: Fingerprint, now: UnixMs) {
        self.served.record(part, now);
    }

    /// Returns the time up to which `part` is cleared by what is known here.
    ///
    /// A first part, which most requests have in common, is treated like one that was served before its
    /// first crash.
    pub fn cleared_at(&self, now: UnixMs, part: Fingerprint, suspect: &Suspect) -> Option<UnixMs> {
        let served_at = self.served.last(part);
        served_at
            .filter(|at| *at + SERVED_KEPT_MS > now)
            .or_else(|| {
                self.leading.last(part)?;
                let first = suspect.crashes().first()?;
                let is_new = suspect.cleared_at().is_none();
                is_new.then(|| first.sent_at_unix_ms - 1)
            })
    }
}
