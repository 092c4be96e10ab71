//! When a process may be asked whether it runs on.

use monsoonspread_model::UnixMs;

use crate::announced::Backoff;

/// How long after the first rejection of a back-off checks are still sent, in milliseconds: half of the time in
/// which the platform accepts requests that cross the rejection.
const CROSSING_MS: u64 = 250;
/// Minimum time between two checks during a back-off, in milliseconds.
const MIN_INTERVAL_MS: u64 = 50;
/// Time that a check takes at most if packets are lost on the way, in milliseconds.
const LAST_CHECK_MS: u64 = 300;

/// The checks of one process, which all answers that wait for one share during a back-off.
///
/// An upstream that is backing off wants no requests. Answers that are under way at that time still end, most of
/// them soon. Checks sent at the beginning of a back-off arrive with the requests that cross the rejection. After
/// that, a single one is sent, when the first answer would be given up otherwise; all others wait for the end of
/// the back-off.
///
/// ```
/// use monsoonspread_decisions::announced::Backoff;
/// use monsoonspread_decisions::answer_end::CheckTimes;
/// use monsoonspread_model::UnixMs;
///
/// let mut checks = CheckTimes::default();
/// let backoff = Some(Backoff { since: UnixMs(1_000), until: UnixMs(3_000) });
/// assert_eq!(checks.next(UnixMs(1_010), backoff, UnixMs(9_000)), UnixMs(1_010));
/// assert_eq!(checks.next(UnixMs(2_000), backoff, UnixMs(9_000)), UnixMs(3_000));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct CheckTimes {
    last_at: Option<UnixMs>,
    /// When the last check after the beginning of a back-off was sent.
    late_at: Option<UnixMs>,
}

impl CheckTimes {
    /// Returns the earliest time at which a check may be sent for an answer that is given up at `gives_up_at`.
    pub fn next(&self, now: UnixMs, backoff: Option<Backoff>, gives_up_at: UnixMs) -> UnixMs {
        let Some(backoff) = backoff else {
            return now;
        };
        let spaced = self.last_at.map_or(now, |at| now.max(at + MIN_INTERVAL_MS));
        if spaced < backoff.since + CROSSING_MS {
            return spaced;
        }
        if self.late_at.is_some_and(|at| at >= backoff.since) {
            return backoff.until;
        }
        backoff.until.min(gives_up_at - LAST_CHECK_MS).max(now)
    }

    /// Records that a check is sent.
    pub fn on_check(&mut self, now: UnixMs, backoff: Option<Backoff>) {
        self.last_at = Some(now);
        if backoff.is_some_and(|backoff| now >= backoff.since + CROSSING_MS) {
            self.late_at = Some(now);
        }
    }
}
