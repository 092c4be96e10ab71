//! Crashes recorded against one kind of suspect.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::rc::Rc;

use displaydoc::Display;
use monsoonspread_decisions::quarantine::{BreakWatch, Quarantine, SuspectDump};
use monsoonspread_model::message::CrashNotice;
use monsoonspread_model::{Fingerprint, InstanceName, UnixMs, UpstreamName};

use super::message::PeerSuspect;
use crate::event::{Line, kind};
use crate::gossip::PeerGossip;
use crate::shared::Shared;

/// Maximum number of suspects shared with other instances; those with the most crashes come first.
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

    /// Drops the evidence against a suspect up to `at`; returns false if there is none.
    pub(super) fn clear(
        &self,
        shared: &Rc<Shared>,
        fingerprint: Fingerprint,
        at: UnixMs,
        source: &str,
    ) -> bool {
        let is_new = self.quarantine.borrow_mut().on_cleared(fingerprint, at);
        if is_new {
            self.log_cleared(shared, fingerprint, source);
            self.send_to_feed_sources(shared, &[fingerprint]);
        }
        is_new
    }

    /// Merges suspects received from another instance.
    pub(super) fn on_gossip(
        &self,
        shared: &Rc<Shared>,
        peer: &InstanceName,
        suspects: &[PeerSuspect],
    ) {
        let now = shared.now();
        for suspect in suspects {
            for notice in suspect.notices(now) {
                self.add(shared, &notice, peer.as_str());
            }
            if let Some(ago_ms) = suspect.cleared_ms_ago {
                let at = now - ago_ms;
                let fingerprint = suspect.fingerprint;
                if self.quarantine.borrow_mut().on_cleared(fingerprint, at) {
                    self.log_cleared(shared, fingerprint, peer.as_str());
                }
            }
        }
    }

    /// Returns the suspects that every instance should know.
    pub(super) fn fleet_wide(&self, now: UnixMs) -> Vec<PeerSuspect> {
        let quarantine = self.quarantine.borrow();
        let mut known: Vec<_> = quarantine.fleet_wide(now).collect();
        known.sort_by_key(|(fingerprint, suspect)| (Reverse(suspect.crash_count()), *fingerprint));
        known.truncate(MAX_SHARED);
        known
            .into_iter()
            .map(|(fingerprint, suspect)| PeerSuspect::new(now, fingerprint, suspect))
            .collect()
    }

    fn on_crashes(&self, shared: &Rc<Shared>, crashes: &[CrashNotice], source: &str) {
        let mut changed = Vec::new();
        for notice in crashes {
            if self.add(shared, notice, source) {
                changed.push(notice.fingerprint);
            }
        }
        self.send_to_feed_sources(shared, &changed);
    }

    /// Records a crash; returns false if it is already known.
    fn add(&self, shared: &Rc<Shared>, notice: &CrashNotice, source: &str) -> bool {
        let now = shared.now();
        let fingerprint = notice.fingerprint;
        let mut quarantine = self.quarantine.borrow_mut();
        let was_refused = quarantine.refused_until(now, fingerprint).is_some();
        if !quarantine.on_crash(now, notice) {
            return false;
        }
        shared.metrics.count("suspects", "crash");
        if quarantine.is_fleet_wide(now, fingerprint) {
            shared.gossiper.on_change();
        }
        let refused_until = quarantine.refused_until(now, fingerprint);
        Line::new(&kind::UPSTREAM_CRASHED)
            .field("suspect", self.kind)
            .field("fingerprint", fingerprint)
            .field("upstream", &notice.upstream)
            .field("incarnation", notice.incarnation)
            .field("source", source)
            .field("ms_ago", now.ms_since(notice.seen_at_unix_ms))
            .field("counted", quarantine.crashes(now, fingerprint))
            .log();
        drop(quarantine);
        if let (false, Some(until)) = (was_refused, refused_until) {
            shared.metrics.count("suspects", "quarantined");
            Line::new(&kind::REQUEST_QUARANTINED)
                .field("suspect", self.kind)
                .field("fingerprint", fingerprint)
                .field("evidence", self.evidence(now, fingerprint))
                .field("for_ms", until.ms_since(now))
                .log();
        }
        true
    }

    fn log_cleared(&self, shared: &Shared, fingerprint: Fingerprint, source: &str) {
        if self
            .quarantine
            .borrow()
            .is_fleet_wide(shared.now(), fingerprint)
        {
            shared.gossiper.on_change();
        }
        shared.metrics.count("suspects", "cleared");
        Line::new(&kind::REQUEST_CLEARED)
            .field("suspect", self.kind)
            .field("fingerprint", fingerprint)
            .field("source", source)
            .log();
    }

    fn send_to_feed_sources(&self, shared: &Rc<Shared>, fingerprints: &[Fingerprint]) {
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
