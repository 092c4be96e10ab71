//! Crashes recorded for one request.

use std::collections::HashSet;

use monsoonspread_model::message::CrashNotice;
use monsoonspread_model::{UnixMs, UpstreamName};

use super::QUARANTINE_MS;
use super::attribution::{CrashId, crash_id};

/// Crashes within this time of each other, in milliseconds, may have one cause: a failing rack or
/// server group takes less.
const SAME_CAUSE_WINDOW_MS: u64 = 200;
/// Number of crashes that are too many for two groups of upstreams that failed for other reasons.
const MANY_CRASHES: usize = 6;
/// Maximum number of crashes remembered per request: above every quarantine threshold, and small
/// enough that a list of suspects fits into one message.
const MAX_CRASHES: usize = 8;

/// Crashes recorded for one request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Suspect {
    /// Sorted by the time at which they were seen.
    crashes: Vec<CrashNotice>,
    cleared_at: Option<UnixMs>,
}

impl Suspect {
    /// Adds a crash; false when that changes nothing.
    ///
    /// Notices may arrive late, which makes a crash appear later than it was: of two times for the
    /// same crash, the earlier one is more accurate.
    pub(super) fn add(&mut self, notice: &CrashNotice) -> bool {
        let is_same = |known: &CrashNotice| {
            known.upstream == notice.upstream && known.incarnation == notice.incarnation
        };
        let known = self.crashes.iter().position(is_same);
        let mut notice = notice.clone();
        let count_before = self.crash_count();
        if let Some(place) = known {
            let known = self.crashes.remove(place);
            notice.sent_at_unix_ms = notice.sent_at_unix_ms.min(known.sent_at_unix_ms);
            notice.seen_at_unix_ms = notice.seen_at_unix_ms.min(known.seen_at_unix_ms);
        }
        let place = self
            .crashes
            .partition_point(|known| order(known) < order(&notice));
        self.crashes.insert(place, notice);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        known.is_none() || self.crash_count() != count_before
    }

    /// Clears the crashes seen up to `at`; returns false if none counted against the request.
    pub(super) fn clear(&mut self, at: UnixMs) -> bool {
        if self.cleared_at.is_some_and(|cleared_at| cleared_at >= at) {
            return false;
        }
        let changed = self
            .active_crashes()
            .any(|crash| crash.seen_at_unix_ms <= at);
        self.cleared_at = Some(at);
        changed
    }

    /// When it was last cleared; `None` if never.
    pub fn cleared_at(&self) -> Option<UnixMs> {
        self.cleared_at
    }

    /// Time from when it was last cleared to the last crash, in milliseconds.
    pub(super) fn unserved_ms(&self) -> u64 {
        match (self.cleared_at, self.crashes.last()) {
            (Some(cleared_at), Some(last)) => last.seen_at_unix_ms.ms_since(cleared_at),
            _ => 0,
        }
    }

    /// All remembered crashes, including those before it was cleared.
    pub fn crashes(&self) -> &[CrashNotice] {
        &self.crashes
    }

    /// Crashes since it was last cleared.
    pub fn active_crashes(&self) -> impl Iterator<Item = &CrashNotice> + Clone {
        let crashes = self.crashes.iter();
        crashes.filter(|crash| self.cleared_at.is_none_or(|at| crash.seen_at_unix_ms > at))
    }

    /// Number of crashes since it was last cleared; those of one cause count once.
    pub fn crash_count(&self) -> usize {
        count_separate(self.active_crashes())
    }

    /// Like [`Self::crash_count`], without crashes that are `explained` otherwise. Many crashes with more
    /// than one cause count once more: upstreams that restart together crash together again.
    pub(super) fn count_without(&self, explained: &HashSet<CrashId>) -> usize {
        let crashes = self.active_crashes();
        let open = crashes.filter(|crash| !explained.contains(&crash_id(crash)));
        let separate = count_separate(open.clone());
        separate + usize::from(separate > 1 && open.count() >= MANY_CRASHES)
    }

    /// Number of crashes as if it had never been cleared.
    pub fn uncleared_count(&self) -> usize {
        count_separate(self.crashes.iter())
    }

    /// When the last crash expires.
    pub fn expires_at(&self) -> UnixMs {
        let last = self.crashes.last();
        last.map_or(UnixMs(0), |crash| crash.seen_at_unix_ms + QUARANTINE_MS)
    }
}

/// Sort key that gives every instance the same order, whichever notice it received first.
fn order(crash: &CrashNotice) -> (UnixMs, &UpstreamName, u64) {
    (crash.seen_at_unix_ms, &crash.upstream, crash.incarnation)
}

fn count_separate<'a>(crashes: impl Iterator<Item = &'a CrashNotice>) -> usize {
    let mut count = 0;
    let mut last: Option<UnixMs> = None;
    for crash in crashes {
        let is_separate = last.is_none_or(|last| {
            crash.sent_at_unix_ms >= last || crash.seen_at_unix_ms >= last + SAME_CAUSE_WINDOW_MS
        });
        if is_separate {
            count += 1;
            last = Some(crash.seen_at_unix_ms);
        }
    }
    count
}
