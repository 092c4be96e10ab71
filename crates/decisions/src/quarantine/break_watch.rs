//! Requests that were lost at an upstream, until it is known whether that ended.

use std::collections::BTreeMap;

use monsoonspread_model::message::CrashNotice;
use monsoonspread_model::{Fingerprint, UnixMs, UpstreamName};

/// How long a break waits for word of its upstream's end, in milliseconds: an upstream that fell
/// silent is no longer listed after a few seconds, and one that started anew is listed as such.
const WORD_WITHIN_MS: u64 = 10_000;
/// Breaks that wait at the most; half of them may be of upstreams that were only silent.
const MAX_BREAKS: usize = 1_024;

/// What is known of an upstream since a request was lost there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Sight {
    /// The connection broke.
    Broken,
    /// No answer came for as long as somebody waited.
    Silent,
    /// It takes connections.
    Connected,
}

#[derive(Clone, Debug)]
struct Break {
    notice: CrashNotice,
    sight: Sight,
}

/// Requests that were lost at an upstream, until it is known whether that ended.
///
/// It counts as ended when it refuses connections just after one of them broke, is listed as started
/// anew, or vanishes from the list without having been reached again.
#[derive(Clone, Debug, Default)]
pub struct BreakWatch {
    breaks: BTreeMap<UpstreamName, Vec<Break>>,
}

impl BreakWatch {
    /// The connection to an upstream broke under a request.
    pub fn on_break(&mut self, now: UnixMs, notice: CrashNotice) {
        self.insert(now, notice, Sight::Broken, MAX_BREAKS);
    }

    /// An upstream did not answer a request for as long as somebody waited.
    pub fn on_no_answer(&mut self, now: UnixMs, notice: CrashNotice) {
        self.insert(now, notice, Sight::Silent, MAX_BREAKS / 2);
    }

    /// The upstream refuses connections; returns the crashes.
    ///
    /// ```
    /// # use monsoonspread_decisions::quarantine::BreakWatch;
    /// assert!(BreakWatch::default().on_connection_refused(&"engine-1".into()).is_empty());
    /// ```
    pub fn on_connection_refused(&mut self, upstream: &UpstreamName) -> Vec<CrashNotice> {
        // One that was silent before may have been slow, and have ended of another cause.
        self.take(upstream, |one| one.sight == Sight::Broken)
    }

    /// The upstream takes connections.
    pub fn on_connected(&mut self, upstream: &UpstreamName) {
        for one in self.breaks.get_mut(upstream).into_iter().flatten() {
            one.sight = Sight::Connected;
        }
    }

    /// The upstream is listed with this start; returns the crashes of earlier ones.
    pub fn on_listed(&mut self, upstream: &UpstreamName, incarnation: u64) -> Vec<CrashNotice> {
        self.take(upstream, |one| one.notice.incarnation < incarnation)
    }

    /// Upstreams of which word is awaited.
    pub fn upstreams(&self) -> Vec<UpstreamName> {
        self.breaks.keys().cloned().collect()
    }

    /// The upstream is no longer listed; returns the crashes.
    pub fn on_removed(&mut self, upstream: &UpstreamName) -> Vec<CrashNotice> {
        let crashes = self.take(upstream, |one| one.sight != Sight::Connected);
        self.breaks.remove(upstream);
        crashes
    }

    /// The upstream leaves as planned: what is lost there has that cause.
    pub fn on_leaving(&mut self, upstream: &UpstreamName) {
        self.breaks.remove(upstream);
    }

    /// Breaks under a request that may have been crashes.
    pub fn unconfirmed(&self, fingerprint: Fingerprint) -> usize {
        let breaks = self.breaks.values().flatten();
        breaks
            .filter(|one| one.notice.fingerprint == fingerprint && one.sight == Sight::Broken)
            .count()
    }

    /// Forgets breaks of which no word came.
    pub fn on_tick(&mut self, now: UnixMs) {
        for breaks in self.breaks.values_mut() {
            breaks.retain(|one| now < one.notice.seen_at_unix_ms + WORD_WITHIN_MS);
        }
        self.breaks.retain(|_, breaks| !breaks.is_empty());
    }

    fn take(
        &mut self,
        upstream: &UpstreamName,
        is_crash: impl Fn(&Break) -> bool,
    ) -> Vec<CrashNotice> {
        let Some(breaks) = self.breaks.get_mut(upstream) else {
            return Vec::new();
        };
        let (crashes, rest): (Vec<Break>, Vec<Break>) =
            std::mem::take(breaks).into_iter().partition(is_crash);
        *breaks = rest;
        crashes.into_iter().map(|one| one.notice).collect()
    }

    fn insert(&mut self, now: UnixMs, notice: CrashNotice, sight: Sight, most: usize) {
        self.on_tick(now);
        if self.breaks.values().map(Vec::len).sum::<usize>() >= most {
            return;
        }
        let breaks = self.breaks.entry(notice.upstream.clone()).or_default();
        breaks.push(Break { notice, sight });
    }
}
