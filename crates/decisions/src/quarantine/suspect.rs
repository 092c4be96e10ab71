//! What is held against one request.

use monsoonspread_model::message::CrashNotice;
use monsoonspread_model::{UnixMs, UpstreamName};

use super::QUARANTINE_MS;

/// Upstreams that end within this time of each other, in milliseconds, may have one cause: a rack
/// or a group of servers that fails takes less.
const TOGETHER_MS: u64 = 200;
/// Crashes remembered of one request: more than any quarantine starts at, and few enough that a
/// list of suspects fits into one message.
const MAX_CRASHES: usize = 8;

/// What is held against one request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Suspect {
    /// By the time at which they were seen.
    crashes: Vec<CrashNotice>,
    cleared_at: Option<UnixMs>,
}

impl Suspect {
    /// Adds a crash; false when that changes nothing.
    ///
    /// News may come late, which makes what they tell of look later than it was: of two times for
    /// the same crash, the earlier is nearer the truth.
    pub(super) fn add(&mut self, notice: &CrashNotice) -> bool {
        let is_same = |known: &CrashNotice| {
            known.upstream == notice.upstream && known.incarnation == notice.incarnation
        };
        let known = self.crashes.iter().position(is_same);
        let mut notice = notice.clone();
        let counted = self.crash_count();
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
        known.is_none() || self.crash_count() != counted
    }

    /// Drops what was seen up to `at`; false when nothing was held against the request.
    pub(super) fn clear(&mut self, at: UnixMs) -> bool {
        if self.cleared_at.is_some_and(|cleared_at| cleared_at >= at) {
            return false;
        }
        let is_news = self
            .active_crashes()
            .any(|crash| crash.seen_at_unix_ms <= at);
        self.cleared_at = Some(at);
        is_news
    }

    /// When it was last cleared.
    pub fn cleared_at(&self) -> Option<UnixMs> {
        self.cleared_at
    }

    /// Every crash that is remembered, those before it was cleared included.
    pub fn crashes(&self) -> &[CrashNotice] {
        &self.crashes
    }

    /// Crashes since it was cleared.
    pub fn active_crashes(&self) -> impl Iterator<Item = &CrashNotice> {
        let crashes = self.crashes.iter();
        crashes.filter(|crash| self.cleared_at.is_none_or(|at| crash.seen_at_unix_ms > at))
    }

    /// Crashes since it was cleared, those of one cause counted once.
    pub fn crash_count(&self) -> usize {
        counted(self.active_crashes())
    }

    /// The same, as if it had not been cleared.
    pub fn uncleared_count(&self) -> usize {
        counted(self.crashes.iter())
    }

    /// When the last crash is forgotten.
    pub fn expires_at(&self) -> UnixMs {
        let last = self.crashes.last();
        last.map_or(UnixMs(0), |crash| crash.seen_at_unix_ms + QUARANTINE_MS)
    }
}

/// The same at every instance, whatever came first there.
fn order(crash: &CrashNotice) -> (UnixMs, &UpstreamName, u64) {
    (crash.seen_at_unix_ms, &crash.upstream, crash.incarnation)
}

fn counted<'a>(crashes: impl Iterator<Item = &'a CrashNotice>) -> usize {
    let mut count = 0;
    let mut last: Option<UnixMs> = None;
    for crash in crashes {
        let is_separate = last.is_none_or(|last| {
            crash.sent_at_unix_ms >= last || crash.seen_at_unix_ms >= last + TOGETHER_MS
        });
        if is_separate {
            count += 1;
            last = Some(crash.seen_at_unix_ms);
        }
    }
    count
}
