//! Known crashes of upstreams and the requests they were running.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use monsoonspread_decisions::quarantine::{Admission, BreakWatch, Quarantine, SuspectDump};
use monsoonspread_model::fleet::UpstreamStage;
use monsoonspread_model::message::CrashNotice;
use monsoonspread_model::{Fingerprint, InstanceName, UnixMs, UpstreamName};

use super::message::PeerSuspect;
use super::probe::probe;
use crate::event::{Line, kind};
use crate::gossip::PeerGossip;
use crate::shared::Shared;

/// Number of crashes after which a request is refused: from the third on, the platform's rules
/// count copies sent afterwards.
const CRASHES_TO_REFUSE: usize = 3;
/// Maximum number of requests shared with other instances; those with the most crashes come first.
const MAX_SHARED: usize = 64;

/// Known crashes of upstreams and the requests they were running.
pub struct Suspects {
    quarantine: RefCell<Quarantine>,
    breaks: RefCell<BreakWatch>,
    /// Number of running copies, by request.
    running: RefCell<HashMap<Fingerprint, usize>>,
    /// Upstreams that are being probed.
    probed: RefCell<BTreeSet<UpstreamName>>,
}

impl Default for Suspects {
    fn default() -> Self {
        Self {
            quarantine: RefCell::new(Quarantine::with_crashes(CRASHES_TO_REFUSE)),
            breaks: RefCell::default(),
            running: RefCell::default(),
            probed: RefCell::default(),
        }
    }
}

impl Suspects {
    /// Whether a request may be sent.
    pub fn admission(&self, now: UnixMs, fingerprint: Fingerprint) -> Admission {
        let running = self.running.borrow().get(&fingerprint).copied();
        let breaks = self.breaks.borrow().unconfirmed(fingerprint);
        let quarantine = self.quarantine.borrow();
        quarantine.admission(now, fingerprint, breaks, running.unwrap_or(0))
    }

    /// Returns the index of a suspect request among those that are sent to different upstreams.
    pub fn isolation_index(&self, now: UnixMs, fingerprint: Fingerprint) -> Option<usize> {
        self.quarantine.borrow().isolation_index(now, fingerprint)
    }

    /// Lists the upstreams that crashed under a request, with the time since each crash.
    pub fn evidence(&self, now: UnixMs, fingerprint: Fingerprint) -> String {
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
    pub fn dump(&self, now: UnixMs) -> Vec<SuspectDump> {
        self.quarantine.borrow().dump_fleet_wide(now)
    }

    pub(super) fn on_sent(&self, fingerprint: Fingerprint) {
        *self.running.borrow_mut().entry(fingerprint).or_default() += 1;
    }

    pub(super) fn on_ended(&self, fingerprint: Fingerprint) {
        let mut running = self.running.borrow_mut();
        if let Some(copies) = running.get_mut(&fingerprint) {
            *copies -= 1;
            if *copies == 0 {
                running.remove(&fingerprint);
            }
        }
    }

    /// Records that the connection to an upstream failed under a request, and probes the upstream.
    pub(super) fn on_break(&self, shared: &Rc<Shared>, notice: CrashNotice) {
        let Some(record) = shared.fleet.borrow().upstream(&notice.upstream).cloned() else {
            return;
        };
        // A leaving upstream ends its connections as planned.
        if record.stage != UpstreamStage::Ready {
            return;
        }
        let upstream = notice.upstream.clone();
        self.breaks.borrow_mut().on_break(shared.now(), notice);
        if self.probed.borrow_mut().insert(upstream.clone()) {
            tokio::task::spawn_local(probe(Rc::clone(shared), upstream, record.address));
        }
    }

    /// Records that an upstream did not answer a request in time, or before its client
    /// disconnected.
    pub(super) fn on_no_answer(&self, shared: &Shared, notice: CrashNotice) {
        let fleet = shared.fleet.borrow();
        let record = fleet.upstream(&notice.upstream);
        if record.is_some_and(|record| record.stage == UpstreamStage::Ready) {
            self.breaks.borrow_mut().on_no_answer(shared.now(), notice);
        }
    }

    /// Records that the upstream refuses connections: it has crashed.
    pub(super) fn on_connection_refused(&self, shared: &Rc<Shared>, upstream: &UpstreamName) {
        self.probed.borrow_mut().remove(upstream);
        let crashes = self.breaks.borrow_mut().on_connection_refused(upstream);
        self.on_crashes(shared, &crashes, "refused");
    }

    /// Ends a probe in which the upstream did not refuse connections.
    pub(super) fn on_probed(&self, upstream: &UpstreamName, is_connected: bool) {
        self.probed.borrow_mut().remove(upstream);
        if is_connected {
            self.breaks.borrow_mut().on_connected(upstream);
        }
    }

    /// Records that an upstream is listed with a new start time.
    pub fn on_restarted(&self, shared: &Rc<Shared>, upstream: &UpstreamName, incarnation: u64) {
        let crashes = self.breaks.borrow_mut().on_listed(upstream, incarnation);
        self.on_crashes(shared, &crashes, "restarted");
    }

    /// Records that an upstream is no longer listed.
    pub fn on_removed(&self, shared: &Rc<Shared>, upstream: &UpstreamName) {
        let crashes = self.breaks.borrow_mut().on_removed(upstream);
        self.on_crashes(shared, &crashes, "gone");
    }

    /// Records that an upstream is leaving as planned.
    pub fn on_leaving(&self, upstream: &UpstreamName) {
        self.breaks.borrow_mut().on_leaving(upstream);
    }

    /// Records that a copy of a request was served, which clears the request.
    pub(super) fn on_served(&self, shared: &Rc<Shared>, fingerprint: Fingerprint) {
        self.clear(shared, fingerprint, "served");
    }

    /// Clears a request on an operator's behalf; returns false if there is no evidence against it.
    pub fn release(&self, shared: &Rc<Shared>, fingerprint: Fingerprint) -> bool {
        self.clear(shared, fingerprint, "operator")
    }

    fn clear(&self, shared: &Rc<Shared>, fingerprint: Fingerprint, source: &str) -> bool {
        let now = shared.now();
        let is_new = self.quarantine.borrow_mut().on_cleared(fingerprint, now);
        if is_new {
            self.log_cleared(shared, fingerprint, source);
            self.send_to_feed_sources(shared, &[fingerprint]);
        }
        is_new
    }

    /// Merges suspects received from another instance.
    pub fn on_gossip(&self, shared: &Rc<Shared>, peer: &InstanceName, suspects: &[PeerSuspect]) {
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

    /// Expires failed connections and checks for restarts.
    pub fn on_tick(&self, shared: &Rc<Shared>) {
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
            .field("fingerprint", fingerprint)
            .field("source", source)
            .log();
    }

    /// Returns the suspects that every instance should know.
    pub fn fleet_wide(&self, now: UnixMs) -> Vec<PeerSuspect> {
        let quarantine = self.quarantine.borrow();
        let mut known: Vec<_> = quarantine.fleet_wide(now).collect();
        known.sort_by_key(|(fingerprint, suspect)| (Reverse(suspect.crash_count()), *fingerprint));
        known.truncate(MAX_SHARED);
        known
            .into_iter()
            .map(|(fingerprint, suspect)| PeerSuspect::new(now, fingerprint, suspect))
            .collect()
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
        let gossip = PeerGossip {
            suspects: changed,
            ..PeerGossip::default()
        };
        shared.gossiper.send_to_feed_sources(shared, &gossip);
    }
}
