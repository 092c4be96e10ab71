//! Known crashes of upstreams, and the requests and prompt parts they were running.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use monsoonspread_decisions::quarantine::{Admission, PartHistory, Quarantine, SuspectDump};
use monsoonspread_model::fleet::UpstreamStage;
use monsoonspread_model::message::CrashNotice;
use monsoonspread_model::{Fingerprint, InstanceName, UnixMs, UpstreamName};

use super::ledger::{Ledger, SuspectKind};
use super::message::PeerSuspect;
use super::probe::probe;
use crate::shared::Shared;

/// Number of crashes after which a request or a prompt part is refused: from the third on, the platform's
/// rules count copies sent afterwards.
const CRASHES_TO_REFUSE: usize = 3;
/// Number of crashes after which requests with a prompt part that was never served aren't repeated.
const CRASHES_TO_REPEAT: usize = 2;

/// Known crashes of upstreams, and the requests and prompt parts they were running.
pub struct Suspects {
    requests: Ledger,
    parts: Ledger,
    history: RefCell<PartHistory>,
    /// Number of running copies, by request.
    running: RefCell<HashMap<Fingerprint, usize>>,
    /// Upstreams that are being probed.
    probed: RefCell<BTreeSet<UpstreamName>>,
}

impl Default for Suspects {
    fn default() -> Self {
        let requests = Quarantine::with_crashes(CRASHES_TO_REFUSE);
        let parts = Quarantine::with_crashes(CRASHES_TO_REFUSE).with_attribution();
        Self {
            requests: Ledger::new(SuspectKind::Request, requests),
            parts: Ledger::new(SuspectKind::PromptPart, parts),
            history: RefCell::default(),
            running: RefCell::default(),
            probed: RefCell::default(),
        }
    }
}

impl Suspects {
    /// Whether a request may be sent, apart from its prompt parts.
    pub fn admission(&self, now: UnixMs, fingerprint: Fingerprint) -> Admission {
        let running = self.running.borrow().get(&fingerprint).copied();
        let breaks = self.requests.breaks.borrow().unconfirmed(fingerprint);
        let quarantine = self.requests.quarantine.borrow();
        quarantine.admission(now, fingerprint, breaks, running.unwrap_or(0))
    }

    /// Returns the first of some prompt parts that is refused, and until when.
    pub fn refused_part(
        &self,
        now: UnixMs,
        parts: &[Fingerprint],
    ) -> Option<(Fingerprint, UnixMs)> {
        let quarantine = self.parts.quarantine.borrow();
        if !quarantine.refuses_parts() {
            return None;
        }
        parts
            .iter()
            .find_map(|part| Some((*part, quarantine.refused_until(now, *part)?)))
    }

    /// Whether a request with these prompt parts may be repeated.
    pub fn may_repeat_parts(&self, now: UnixMs, parts: &[Fingerprint]) -> bool {
        let quarantine = self.parts.quarantine.borrow();
        let suspects = parts
            .iter()
            .filter_map(|part| quarantine.suspect(now, *part));
        let mut unserved = suspects.filter(|suspect| suspect.cleared_at().is_none());
        !unserved.any(|suspect| suspect.crash_count() >= CRASHES_TO_REPEAT)
    }

    /// Returns the index of a suspect request among those that are sent to different upstreams.
    pub fn isolation_index(&self, now: UnixMs, fingerprint: Fingerprint) -> Option<usize> {
        let quarantine = self.requests.quarantine.borrow();
        quarantine.isolation_index(now, fingerprint)
    }

    /// Lists the upstreams that crashed under a request, with the time since each crash.
    pub fn evidence(&self, now: UnixMs, fingerprint: Fingerprint) -> String {
        self.requests.evidence(now, fingerprint)
    }

    /// Lists the upstreams that crashed under a prompt part, with the time since each crash.
    pub fn part_evidence(&self, now: UnixMs, part: Fingerprint) -> String {
        self.parts.evidence(now, part)
    }

    /// Describes the requests that every instance should know, for the state dump.
    pub fn dump(&self, now: UnixMs) -> Vec<SuspectDump> {
        self.requests.dump(now)
    }

    /// Describes the prompt parts that every instance should know, for the state dump.
    pub fn dump_parts(&self, now: UnixMs) -> Vec<SuspectDump> {
        self.parts.dump(now)
    }

    pub(super) fn on_sent(&self, now: UnixMs, fingerprint: Fingerprint, parts: &[Fingerprint]) {
        self.history.borrow_mut().on_sent(parts, now);
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

    /// Records that the connection to an upstream failed under a request and those of its prompt parts
    /// that may be the reason, and probes the upstream.
    pub(super) fn on_break(
        &self,
        shared: &Rc<Shared>,
        request: CrashNotice,
        parts: Rc<[Fingerprint]>,
    ) {
        let Some(record) = shared.fleet.borrow().upstream(&request.upstream).cloned() else {
            return;
        };
        // A leaving upstream ends its connections as planned.
        if record.stage != UpstreamStage::Ready {
            return;
        }
        let now = shared.now();
        let upstream = request.upstream.clone();
        if !parts.is_empty() {
            let mut breaks = self.parts.breaks.borrow_mut();
            breaks.on_break_of_parts(now, request.clone(), parts);
        }
        self.requests.breaks.borrow_mut().on_break(now, request);
        if self.probed.borrow_mut().insert(upstream.clone()) {
            tokio::task::spawn_local(probe(Rc::clone(shared), upstream, record.address));
        }
    }

    /// Records that an upstream did not answer a request in time, or before its client
    /// disconnected.
    pub(super) fn on_no_answer(
        &self,
        shared: &Shared,
        request: CrashNotice,
        parts: Rc<[Fingerprint]>,
    ) {
        let fleet = shared.fleet.borrow();
        let record = fleet.upstream(&request.upstream);
        if record.is_some_and(|record| record.stage == UpstreamStage::Ready) {
            let now = shared.now();
            if !parts.is_empty() {
                let mut breaks = self.parts.breaks.borrow_mut();
                breaks.on_no_answer_of_parts(now, request.clone(), parts);
            }
            self.requests.breaks.borrow_mut().on_no_answer(now, request);
        }
    }

    /// Records that the upstream refuses connections: it has crashed.
    pub(super) fn on_connection_refused(&self, shared: &Rc<Shared>, upstream: &UpstreamName) {
        self.probed.borrow_mut().remove(upstream);
        for ledger in self.ledgers() {
            ledger.on_connection_refused(shared, upstream);
        }
        self.clear_served(shared);
    }

    /// Ends a probe in which the upstream did not refuse connections.
    pub(super) fn on_probed(&self, upstream: &UpstreamName, is_connected: bool) {
        self.probed.borrow_mut().remove(upstream);
        if is_connected {
            for ledger in self.ledgers() {
                ledger.breaks.borrow_mut().on_connected(upstream);
            }
        }
    }

    /// Records that an upstream is listed with a new start time.
    pub fn on_restarted(&self, shared: &Rc<Shared>, upstream: &UpstreamName, incarnation: u64) {
        for ledger in self.ledgers() {
            ledger.on_restarted(shared, upstream, incarnation);
        }
        self.clear_served(shared);
    }

    /// Records that an upstream is no longer listed.
    pub fn on_removed(&self, shared: &Rc<Shared>, upstream: &UpstreamName) {
        for ledger in self.ledgers() {
            ledger.on_removed(shared, upstream);
        }
        self.clear_served(shared);
    }

    /// Records that an upstream is leaving as planned.
    pub fn on_leaving(&self, upstream: &UpstreamName) {
        for ledger in self.ledgers() {
            ledger.breaks.borrow_mut().on_leaving(upstream);
        }
    }

    /// Records that a copy of a request was served, which clears the request and its prompt parts.
    pub(super) fn on_served(
        &self,
        shared: &Rc<Shared>,
        fingerprint: Fingerprint,
        parts: &[Fingerprint],
    ) {
        let now = shared.now();
        self.requests.clear(shared, &[(fingerprint, now)], "served");
        let mut history = self.history.borrow_mut();
        let served = parts.iter().map(|part| (*part, now));
        let served: Vec<(Fingerprint, UnixMs)> = served
            .inspect(|(part, at)| history.on_served(*part, *at))
            .collect();
        drop(history);
        self.parts.clear(shared, &served, "served");
    }

    /// Clears a request or prompt part on an operator's behalf; returns false if there is no evidence
    /// against it.
    pub fn release(&self, shared: &Rc<Shared>, fingerprint: Fingerprint) -> bool {
        let now = shared.now();
        let cleared = self
            .ledgers()
            .map(|ledger| ledger.clear(shared, &[(fingerprint, now)], "operator"));
        cleared.contains(&true)
    }

    /// Merges suspect requests received from another instance.
    pub fn on_gossip(&self, shared: &Rc<Shared>, peer: &InstanceName, suspects: &[PeerSuspect]) {
        self.requests.on_gossip(shared, peer, suspects);
    }

    /// Merges suspect prompt parts received from another instance.
    pub fn on_part_gossip(&self, shared: &Rc<Shared>, peer: &InstanceName, parts: &[PeerSuspect]) {
        self.parts.on_gossip(shared, peer, parts);
        self.clear_served(shared);
    }

    /// Expires failed connections and checks for restarts.
    pub fn on_tick(&self, shared: &Rc<Shared>) {
        for ledger in self.ledgers() {
            ledger.on_tick(shared);
        }
        self.clear_served(shared);
    }

    /// Returns the requests that every instance should know.
    pub fn fleet_wide(&self, now: UnixMs) -> Vec<PeerSuspect> {
        self.requests.fleet_wide(now)
    }

    /// Returns the prompt parts that every instance should know.
    pub fn fleet_wide_parts(&self, now: UnixMs) -> Vec<PeerSuspect> {
        self.parts.fleet_wide(now)
    }

    fn ledgers(&self) -> [&Ledger; 2] {
        [&self.requests, &self.parts]
    }

    /// Clears parts by what is known of them here.
    fn clear_served(&self, shared: &Rc<Shared>) {
        let now = shared.now();
        let history = self.history.borrow();
        let quarantine = self.parts.quarantine.borrow();
        let cleared: Vec<(Fingerprint, UnixMs)> = quarantine
            .suspected()
            .filter_map(|(part, suspect)| Some((part, history.cleared_at(now, part, suspect)?)))
            .collect();
        drop(quarantine);
        self.parts.clear(shared, &cleared, "served");
    }
}
