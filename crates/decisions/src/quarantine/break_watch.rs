//! Requests lost at an upstream, until it is known whether the upstream crashed.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use monsoonspread_model::message::CrashNotice;
use monsoonspread_model::{Fingerprint, UnixMs, UpstreamName};

/// How long a break stays unconfirmed before it is dropped, in milliseconds: an unresponsive
/// upstream is no longer listed after a few seconds, and a restarted one is listed as such.
const BREAK_TIMEOUT_MS: u64 = 10_000;
/// Maximum number of requests with unconfirmed breaks; at most half of them may be missing answers.
const MAX_BREAKS: usize = 1_024;

/// Known state of an upstream since a request was lost there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BreakState {
    /// The connection broke.
    Broken,
    /// No answer came within the waiting time.
    Unanswered,
    /// It accepts connections.
    Connected,
}

#[derive(Clone, Debug)]
struct Break {
    notice: CrashNotice,
    /// The prompt parts that a crash counts against; `None` if it counts against the request.
    parts: Option<Rc<[Fingerprint]>>,
    state: BreakState,
}

impl Break {
    /// Returns a notice for each suspect.
    fn notices(&self) -> impl Iterator<Item = CrashNotice> {
        let own = std::slice::from_ref(&self.notice.fingerprint);
        let suspects = self.parts.as_deref().unwrap_or(own).iter();
        suspects.map(|fingerprint| CrashNotice {
            fingerprint: *fingerprint,
            ..self.notice.clone()
        })
    }
}

/// Requests lost at an upstream, until it is known whether the upstream crashed.
///
/// An upstream counts as crashed when it refuses connections just after one of them broke, is
/// listed as restarted, or is removed from the list without having been reached again.
#[derive(Clone, Debug, Default)]
pub struct BreakWatch {
    breaks: BTreeMap<UpstreamName, Vec<Break>>,
}

impl BreakWatch {
    /// The connection to an upstream broke under a request.
    pub fn on_break(&mut self, now: UnixMs, notice: CrashNotice) {
        self.insert(now, notice, None, BreakState::Broken, MAX_BREAKS);
    }

    /// The connection to an upstream broke under a request, which may have been because of any of its prompt
    /// `parts`; `notice` is that of the request.
    pub fn on_break_of_parts(
        &mut self,
        now: UnixMs,
        notice: CrashNotice,
        parts: Rc<[Fingerprint]>,
    ) {
        self.insert(now, notice, Some(parts), BreakState::Broken, MAX_BREAKS);
    }

    /// An upstream did not answer a request within the waiting time.
    pub fn on_no_answer(&mut self, now: UnixMs, notice: CrashNotice) {
        self.insert(now, notice, None, BreakState::Unanswered, MAX_BREAKS / 2);
    }

    /// Like [`Self::on_break_of_parts`], for an answer that did not come.
    pub fn on_no_answer_of_parts(
        &mut self,
        now: UnixMs,
        notice: CrashNotice,
        parts: Rc<[Fingerprint]>,
    ) {
        let max = MAX_BREAKS / 2;
        self.insert(now, notice, Some(parts), BreakState::Unanswered, max);
    }

    /// The upstream refuses connections; returns the crashes.
    ///
    /// ```
    /// # use monsoonspread_decisions::quarantine::BreakWatch;
    /// assert!(BreakWatch::default().on_connection_refused(&"engine-1".into()).is_empty());
    /// ```
    pub fn on_connection_refused(&mut self, upstream: &UpstreamName) -> Vec<CrashNotice> {
        // One that only failed to answer may have been slow and crashed for another reason.
        self.take(upstream, |entry| entry.state == BreakState::Broken)
    }

    /// The upstream accepts connections.
    pub fn on_connected(&mut self, upstream: &UpstreamName) {
        for entry in self.breaks.get_mut(upstream).into_iter().flatten() {
            entry.state = BreakState::Connected;
        }
    }

    /// The upstream is listed with this incarnation; returns the crashes of earlier ones.
    pub fn on_listed(&mut self, upstream: &UpstreamName, incarnation: u64) -> Vec<CrashNotice> {
        self.take(upstream, |entry| entry.notice.incarnation < incarnation)
    }

    /// Upstreams with unconfirmed breaks.
    pub fn upstreams(&self) -> Vec<UpstreamName> {
        self.breaks.keys().cloned().collect()
    }

    /// The upstream is no longer listed; returns the crashes.
    pub fn on_removed(&mut self, upstream: &UpstreamName) -> Vec<CrashNotice> {
        let crashes = self.take(upstream, |entry| entry.state != BreakState::Connected);
        self.breaks.remove(upstream);
        crashes
    }

    /// The upstream leaves as planned: requests lost there have that cause.
    pub fn on_leaving(&mut self, upstream: &UpstreamName) {
        self.breaks.remove(upstream);
    }

    /// Number of broken connections under a request that may have been crashes.
    pub fn unconfirmed(&self, fingerprint: Fingerprint) -> usize {
        let breaks = self.breaks.values().flatten();
        breaks
            .filter(|entry| {
                entry.notice.fingerprint == fingerprint && entry.state == BreakState::Broken
            })
            .count()
    }

    /// Drops breaks that stayed unconfirmed for too long.
    pub fn on_tick(&mut self, now: UnixMs) {
        for breaks in self.breaks.values_mut() {
            breaks.retain(|entry| now < entry.notice.seen_at_unix_ms + BREAK_TIMEOUT_MS);
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
        let mut notices: Vec<CrashNotice> = crashes.iter().flat_map(Break::notices).collect();
        if crashes.iter().any(|entry| entry.parts.is_some()) {
            // Requests with the same part crash with their upstream once.
            notices.sort_by_key(|notice| notice.sent_at_unix_ms);
            let mut known = BTreeSet::new();
            notices.retain(|notice| known.insert((notice.fingerprint, notice.incarnation)));
        }
        notices
    }

    fn insert(
        &mut self,
        now: UnixMs,
        notice: CrashNotice,
        parts: Option<Rc<[Fingerprint]>>,
        state: BreakState,
        max: usize,
    ) {
        self.on_tick(now);
        if self.breaks.values().map(Vec::len).sum::<usize>() >= max {
            return;
        }
        let breaks = self.breaks.entry(notice.upstream.clone()).or_default();
        breaks.push(Break {
            notice,
            parts,
            state,
        });
    }
}
