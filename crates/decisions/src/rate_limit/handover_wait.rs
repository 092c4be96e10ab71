//! Waits for credit while the issuer of a workspace changes.

use monsoonspread_model::UnixMs;

/// Interval between two tries, in milliseconds: a tenth of the time that a handover takes.
const TRY_MS: u64 = 100;
/// Maximum wait, in milliseconds: clients give up a request that isn't read for a second.
const MAX_WAIT_MS: u64 = 500;

/// How long a request may wait for credit while the issuer of its workspace changes.
///
/// An issuer that fails or leaves is replaced within a second, in which only a small share of the quota is issued.
/// A workspace below its quota has credit again soon, so a request waits in place of being refused. While an
/// issuer answers, a denial tells that the quota is used up, and waiting would only hold the client.
#[derive(Clone, Copy, Debug)]
pub struct HandoverWait {
    ends_at: UnixMs,
}

impl HandoverWait {
    /// Creates the wait of a request that arrived at `arrived_at` and has an objective of `objective_ms`.
    pub fn new(arrived_at: UnixMs, objective_ms: u64) -> Self {
        Self {
            ends_at: arrived_at + objective_ms.min(MAX_WAIT_MS),
        }
    }

    /// Returns when a request that was denied credit tries again; `None` if it is refused.
    ///
    /// ```
    /// # use monsoonspread_decisions::rate_limit::HandoverWait;
    /// # use monsoonspread_model::UnixMs;
    /// let wait = HandoverWait::new(UnixMs(1_000), 150);
    /// let is_issuer_silent = true;
    /// assert_eq!(wait.next_try(UnixMs(1_010), is_issuer_silent), Some(UnixMs(1_110)));
    /// assert_eq!(wait.next_try(UnixMs(1_110), is_issuer_silent), None);
    /// assert_eq!(wait.next_try(UnixMs(1_010), false), None);
    /// ```
    pub fn next_try(&self, now: UnixMs, is_issuer_silent: bool) -> Option<UnixMs> {
        let at = now + TRY_MS;
        (is_issuer_silent && at <= self.ends_at).then_some(at)
    }
}
