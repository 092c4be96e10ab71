//! Crashes recorded against one kind of suspect.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::HashSet;
use std::rc::Rc;

use displaydoc::Display;
use monsoonspread_decisions::quarantine::{BreakWatch, Quarantine, SuspectDump};
use monsoonspread_model::message::CrashNotice;
use monsoonspread_model::{Fingerprint, InstanceName, UnixMs, UpstreamName};

use super::message::PeerSuspect;
use crate::event::{Line, kind};
use crate::gossip::PeerGossip;
use crate::shared::Shared;

/// Maximum number of suspects of a crash that are logged; those with the most crashes come first.
const MAX_LOGGED: usize = 16;
/// Maximum number of suspects shared with other instances; those that are refused, and then those with the most
/// crashes, come first.
const MAX_SHARED: usize = 64;

/// What may crash upstreams.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(super) enum SuspectKind {
    /// request
    Request,
    /// part
    PromptPart,
}

/// Crashes recorded against one kind of suspect, and lost requests that may become crashes.
pub(super) struct Ledger {
    kind: SuspectKind,
    pub(super) quarantine: RefCell<Quarantine>,
    pub(super) breaks: RefCell<BreakWatch>,
}

impl Ledger {
    pub(super) fn new(kind: SuspectKind, quarantine: Quarantine) -> Self {
        Self {
            kind,
            quarantine: RefCell::new(quarantine),
            breaks: RefCell::default(),
        }
    }

    /// Lists the upstreams that crashed under a suspect, with the time since each crash.
    pub(super) fn evidence(&self, now: UnixMs, fingerprint: Fingerprint) -> String {
        let quarantine = self.quarantine.borrow();
        let Some(suspect) = quarantine.suspect(now, fingerprint) else {
            return String::new();
        };
        let crashes = suspect.active_crashes().map(|crash| {
            let age_ms = now.ms_since(crash.seen_at_unix_ms);
            format!("{}:{age_ms}ms", crash.upstream)
        });
        crashes.collect::<Vec<_>>().join(",")
    }

    /// Describes the suspects that every instance should know, for the state dump.
    pub(super) fn dump(&self, now: UnixMs) -> Vec<SuspectDump> {
        self.quarantine.borrow().dump_fleet_wide(now)
    }

    pub(super) fn on_connection_refused(&self, shared: &Rc<Shared>, upstream: &UpstreamName) {
        let crashes = self.breaks.borrow_mut().on_connection_refused(upstream);
        self.on_crashes(shared, &crashes, "refused");
    }

    pub(super) fn on_restarted(
        &self,
        shared: &Rc<Shared>,
        upstream: &UpstreamName,
        incarnation: u64,
    ) {
        let crashes = self.breaks.borrow_mut().on_listed(upstream, incarnation);
        self.on_crashes(shared, &crashes, "restarted");
    }

    pub(super) fn on_removed(&self, shared: &Rc<Shared>, upstream: &UpstreamName) {
        let crashes = self.breaks.borrow_mut().on_removed(upstream);
        self.on_crashes(shared, &crashes, "gone");
    }

    /// Expires failed connections and checks for restarts.
    pub(super) fn on_tick(&self, shared: &Rc<Shared>) {
        let mut breaks = self.breaks.borrow_mut();
        breaks.on_tick(shared.now());
        // A restart may have been listed before the request was known to be lost.
        let mut crashes = Vec::new();
        for upstream in breaks.upstreams() {
            let incarnation = shared.incarnation(&upstream);
            if incarnation > 0 {
                crashes.extend(breaks.on_listed(&upstream, incarnation));
            }
        }
        drop(breaks);
        self.on_crashes(shared, &crashes, "restarted");
    }

    /// Drops the evidence against each suspect up to a time; returns false if there is none.
    pub(super) fn clear(
        &self,
        shared: &Rc<Shared>,
        suspects: &[(Fingerprint, UnixMs)],
        source: &str,
    ) -> bool {
        let news = self.quarantine.borrow_mut().on_all_cleared(suspects);
        self.on_cleared(shared, &news, source);
        self.send_to_feed_sources(shared, &news);
        !news.is_empty()
    }

    /// Merges suspects received from another instance.
    pub(super) fn on_gossip(
        &self,
        shared: &Rc<Shared>,
        peer: &InstanceName,
        suspects: &[PeerSuspect],
    ) {
        let now = shared.now();
        let notices = suspects.iter().flat_map(|suspect| suspect.notices(now));
        self.add(shared, &notices.collect::<Vec<_>>(), peer.as_str());
        let cleared = suspects.iter().filter_map(|suspect| {
            let ago_ms = suspect.cleared_ms_ago?;
            Some((suspect.fingerprint, now - ago_ms))
        });
        let cleared: Vec<(Fingerprint, UnixMs)> = cleared.collect();
        let news = self.quarantine.borrow_mut().on_all_cleared(&cleared);
        self.on_cleared(shared, &news, peer.as_str());
    }

    /// Returns the suspects that every instance should know.
    pub(super) fn fleet_wide(&self, now: UnixMs) -> Vec<PeerSuspect> {
        let quarantine = self.quarantine.borrow();
        let mut known: Vec<_> = quarantine.fleet_wide(now).collect();
        known.sort_by_key(|(fingerprint, suspect)| {
            let is_refused = quarantine.refused_until(now, *fingerprint).is_some();
            let crashes = suspect.crash_count();
            (Reverse(is_refused), Reverse(crashes), *fingerprint)
        });
        known.truncate(MAX_SHARED);
        known
            .into_iter()
            .map(|(fingerprint, suspect)| PeerSuspect::new(now, fingerprint, suspect))
            .collect()
    }

    fn on_crashes(&self, shared: &Rc<Shared>, crashes: &[CrashNotice], source: &str) {
        let changed = self.add(shared, crashes, source);
        self.send_to_feed_sources(shared, &changed);
    }

    /// Records crashes; returns the suspects of those that weren't known.
    fn add(&self, shared: &Rc<Shared>, notices: &[CrashNotice], source: &str) -> Vec<Fingerprint> {
        let now = shared.now();
        let mut quarantine = self.quarantine.borrow_mut();
        let suspects = notices.iter().map(|notice| notice.fingerprint);
        let refused_before: HashSet<Fingerprint> = suspects
            .filter(|suspect| quarantine.refused_until(now, *suspect).is_some())
            .collect();
        let mut news = quarantine.on_crashes(now, notices);
        news.sort_by_key(|notice| Reverse(quarantine.crashes(now, notice.fingerprint)));
        let changed: Vec<Fingerprint> = news.iter().map(|notice| notice.fingerprint).collect();
        let mut is_shared = changed.iter();
        if is_shared.any(|suspect| quarantine.is_fleet_wide(now, *suspect)) {
            shared.gossiper.on_change();
        }
        for notice in &news {
            shared.metrics.count("suspects", "crash");
            let refused_until = quarantine.refused_until(now, notice.fingerprint);
            if refused_until.is_some() && !refused_before.contains(&notice.fingerprint) {
                shared.metrics.count("suspects", "quarantined");
            }
        }
        for notice in news.iter().take(MAX_LOGGED) {
            self.log_crash(shared, &quarantine, notice, (source, news.len()));
        }
        let newly_refused = changed.iter().filter_map(|suspect| {
            let until = quarantine.refused_until(now, *suspect)?;
            (!refused_before.contains(suspect)).then_some((*suspect, until))
        });
        let newly_refused: Vec<(Fingerprint, UnixMs)> = newly_refused.take(MAX_LOGGED).collect();
        drop(quarantine);
        for (suspect, until) in newly_refused {
            Line::new(&kind::REQUEST_QUARANTINED)
                .field("suspect", self.kind)
                .field("fingerprint", suspect)
                .field("evidence", self.evidence(now, suspect))
                .field("for_ms", until.ms_since(now))
                .log();
        }
        changed
    }

    fn log_crash(
        &self,
        shared: &Shared,
        quarantine: &Quarantine,
        notice: &CrashNotice,
        (source, suspects): (&str, usize),
    ) {
        let now = shared.now();
        Line::new(&kind::UPSTREAM_CRASHED)
            .field("suspect", self.kind)
            .field("fingerprint", notice.fingerprint)
            .field("of", suspects)
            .field("upstream", &notice.upstream)
            .field("incarnation", notice.incarnation)
            .field("source", source)
            .field("ms_ago", now.ms_since(notice.seen_at_unix_ms))
            .field("counted", quarantine.crashes(now, notice.fingerprint))
            .log();
    }

    /// Logs suspects that were cleared, and tells the instances that should know.
    fn on_cleared(&self, shared: &Shared, suspects: &[Fingerprint], source: &str) {
        let quarantine = self.quarantine.borrow();
        let now = shared.now();
        let mut is_shared = suspects.iter();
        if is_shared.any(|suspect| quarantine.is_fleet_wide(now, *suspect)) {
            shared.gossiper.on_change();
        }
        for _ in suspects {
            shared.metrics.count("suspects", "cleared");
        }
        for suspect in suspects.iter().take(MAX_LOGGED) {
            Line::new(&kind::REQUEST_CLEARED)
                .field("suspect", self.kind)
                .field("fingerprint", suspect)
                .field("of", suspects.len())
                .field("source", source)
                .log();
        }
    }

    fn send_to_feed_sources(&self, shared: &Rc<Shared>, fingerprints: &[Fingerprint]) {
        if fingerprints.is_empty() {
            return;
        }
        let now = shared.now();
        let quarantine = self.quarantine.borrow();
        let changed = fingerprints.iter().filter_map(|fingerprint| {
            let suspect = quarantine.suspect(now, *fingerprint)?;
            Some(PeerSuspect::new(now, *fingerprint, suspect))
        });
        let changed: Vec<PeerSuspect> = changed.collect();
        drop(quarantine);
        let gossip = match self.kind {
            SuspectKind::Request => PeerGossip {
                suspects: changed,
                ..PeerGossip::default()
            },
            SuspectKind::PromptPart => PeerGossip {
                suspect_parts: changed,
                ..PeerGossip::default()
            },
        };
        shared.gossiper.send_to_feed_sources(shared, &gossip);
    }
}
