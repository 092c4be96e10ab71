//! The dispatcher of one entry instance.

use std::collections::{BTreeMap, HashMap};

use monsoonspread_model::message::{
    Announce, AnnounceRequest, CrashNotice, GrantAnswer, GrantReply, HeldGrant, RequestId,
};
use monsoonspread_model::{
    Epoch, Fingerprint, InstanceName, Refusal, RefusalReason, UnixMs, UpstreamName, ZoneName,
};

use super::action::{DispatchAction, DispatchEvent};
use super::attempt::AttemptId;
use super::dump::DispatchDump;
use super::release::{cancel, release, withdraw_pending};
use super::request::NewRequest;
use super::settings::DispatchSettings;
use super::state::RequestState;
use crate::placement::{CandidateUpstream, Placement};
use crate::quarantine::Quarantine;
use crate::retry_budget::RetryBudget;
use crate::straggler::StragglerBoard;

/// State of every model request in flight on one entry instance.
#[derive(Debug)]
pub struct Dispatcher {
    pub(super) settings: DispatchSettings,
    pub(super) placement: Placement,
    pub(super) board: StragglerBoard,
    pub(super) retries: RetryBudget,
    pub(super) hedges: RetryBudget,
    pub(super) quarantine: Quarantine,
    pub(super) requests: BTreeMap<RequestId, RequestState>,
    /// Time of the last event; a long gap indicates that the process was paused.
    pub(super) last_event_at: Option<UnixMs>,
    /// When the process last resumed after a pause.
    pub(super) resumed_at: UnixMs,
    /// The highest fencing number received for each upstream.
    pub(super) epochs: HashMap<UpstreamName, Epoch>,
}

impl Dispatcher {
    /// Creates a dispatcher without requests for an instance in `zone`.
    ///
    /// ```
    /// # use monsoonspread_decisions::dispatch::{Dispatcher, DispatchSettings};
    /// let dispatcher = Dispatcher::new("vestland-1".into(), DispatchSettings::default());
    /// assert_eq!(dispatcher.in_flight(), 0);
    /// ```
    pub fn new(zone: ZoneName, settings: DispatchSettings) -> Self {
        Self {
            placement: Placement::new(zone, settings.placement.clone()),
            board: StragglerBoard::new(),
            retries: RetryBudget::new(settings.retry_ratio, settings.budget_burst),
            hedges: RetryBudget::new(settings.hedge_ratio, settings.budget_burst),
            quarantine: Quarantine::new(),
            requests: BTreeMap::new(),
            last_event_at: None,
            resumed_at: UnixMs(0),
            epochs: HashMap::new(),
            settings,
        }
    }

    /// Number of requests without a result yet.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Replaces the candidate upstreams: live ones in reachable zones.
    pub fn on_upstreams(&mut self, upstreams: Vec<CandidateUpstream>) {
        self.placement.on_upstreams(upstreams);
        let placement = &self.placement;
        self.board.retain(|upstream| placement.contains(upstream));
    }

    /// Sets how many instances of the region share the demand, including this one.
    pub fn on_sharing_instances(&mut self, instances: usize) {
        self.placement.on_sharing_instances(instances);
    }

    /// Handles a new request.
    pub fn on_request(&mut self, now: UnixMs, request: NewRequest) -> Vec<DispatchAction> {
        self.detect_pause(now);
        let id = request.request;
        if let Some(refusal) = self.immediate_refusal(now, &request) {
            let result = Err(refusal);
            return vec![DispatchAction::Finish {
                request: id,
                result,
            }];
        }
        self.retries.earn();
        self.hedges.earn();
        let adapter = &request.adapter.adapter;
        self.placement.on_arrival(now, adapter);
        let candidates = self.placement.candidates(now, adapter);
        let candidates = self.rank_candidates(now, &request, candidates);
        let state = RequestState::new(now, request, candidates);
        self.requests.insert(id, state);
        let mut actions = Vec::new();
        self.request_next(now, id, true, &mut actions);
        self.finish_if_exhausted(now, id, &mut actions);
        actions
    }

    /// Handles an owner's answer to a grant request.
    pub fn on_reply(&mut self, now: UnixMs, reply: &GrantReply) -> Vec<DispatchAction> {
        self.detect_pause(now);
        let mut actions = Vec::new();
        let stale = self.observe_epoch(&reply.upstream, reply.epoch);
        match &reply.answer {
            GrantAnswer::Granted { grant, .. } if stale => {
                self.return_unused(&reply.upstream, *grant, &mut actions);
                self.schedule_repeat(now, reply.request, &reply.upstream);
            }
            GrantAnswer::Granted { .. } => self.on_granted(now, reply, &mut actions),
            GrantAnswer::Queued {
                expected_at_unix_ms,
            } => {
                self.on_queued(now, reply, *expected_at_unix_ms, &mut actions);
            }
            GrantAnswer::NotRun(refusal) => self.on_refused(now, reply, refusal, &mut actions),
            GrantAnswer::NotOwner => self.on_not_owner(now, reply, &mut actions),
        }
        self.finish_if_exhausted(now, reply.request, &mut actions);
        actions
    }

    /// The owner of `upstream` could not be reached, or the upstream has no owner.
    pub fn on_grant_request_failed(
        &mut self,
        now: UnixMs,
        request: RequestId,
        upstream: &UpstreamName,
    ) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        if let Some(state) = self.requests.get_mut(&request)
            && state.take_pending_grant(upstream).is_some()
        {
            self.retry(now, request, true, &mut actions);
            self.finish_if_exhausted(now, request, &mut actions);
        }
        actions
    }

    /// The first token of a generation arrived.
    pub fn on_first_token(
        &mut self,
        now: UnixMs,
        request: RequestId,
        attempt: AttemptId,
    ) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        let Some(state) = self.requests.get_mut(&request) else {
            return actions;
        };
        let Some(started) = state.attempt(attempt) else {
            return actions;
        };
        if started.first_token_at.is_none() {
            started.first_token_at = Some(now);
            let waited_ms = now.ms_since(started.started_at);
            self.board.on_first_token(now, &started.upstream, waited_ms);
        }
        if state.chosen.is_none() {
            state.chosen = Some(attempt);
            actions.push(DispatchAction::Choose { request, attempt });
            self.cancel_others(request, attempt, &mut actions);
        }
        actions
    }

    /// The caller disconnected: cancels the request and returns its grants.
    pub fn on_caller_disconnected(&mut self, request: RequestId) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        if let Some(state) = self.requests.remove(&request) {
            release(state, &mut actions);
        }
        actions
    }

    /// A new owner requests the outstanding grants; grants of older epochs are returned unused from
    /// now on.
    pub fn on_announce_request(
        &mut self,
        from: &InstanceName,
        announce_request: &AnnounceRequest,
    ) -> Vec<DispatchAction> {
        self.observe_epoch(&announce_request.upstream, announce_request.epoch);
        let announce = Announce {
            upstream: announce_request.upstream.clone(),
            epoch: announce_request.epoch,
            grants: self.held(&announce_request.upstream),
        };
        let to = from.clone();
        vec![DispatchAction::Announce { to, announce }]
    }

    /// A peer reported that a request crashed an upstream.
    pub fn on_crash_notice(&mut self, now: UnixMs, notice: &CrashNotice) -> Vec<DispatchAction> {
        if self.quarantine.on_crash(now, notice) {
            return self.quarantine_event(now, notice.fingerprint);
        }
        Vec::new()
    }

    /// Handles timeouts; call about every 20 ms.
    pub fn on_tick(&mut self, now: UnixMs) -> Vec<DispatchAction> {
        self.detect_pause(now);
        let mut actions = Vec::new();
        self.board.on_tick();
        self.record_waiting(now);
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in ids {
            self.expire_grants(now, id, &mut actions);
            self.expire_request(now, id, &mut actions);
            self.expire_pending(now, id, &mut actions);
            self.hedge_if_slow(now, id, &mut actions);
            self.finish_if_exhausted(now, id, &mut actions);
        }
        actions
    }

    /// All outstanding grants on `upstream`.
    pub fn held(&self, upstream: &UpstreamName) -> Vec<HeldGrant> {
        self.requests
            .values()
            .flat_map(|state| &state.attempts)
            .filter(|attempt| attempt.upstream == *upstream)
            .map(|attempt| attempt.held.clone())
            .collect()
    }

    /// Describes the dispatcher's state without any caller's text.
    pub fn dump(&self, now: UnixMs) -> DispatchDump {
        let states = self.requests.values();
        DispatchDump {
            requests: self.requests.len(),
            waiting_for_grant: states.clone().filter(|s| s.attempts.is_empty()).count(),
            generations: states.map(|state| state.attempts.len()).sum(),
            retry_tokens: self.retries.tokens(),
            hedge_tokens: self.hedges.tokens(),
            speeds: self.board.dump(now),
            quarantine: self.quarantine.dump(now),
        }
    }

    fn detect_pause(&mut self, now: UnixMs) {
        let gap_ms = self.last_event_at.map_or(0, |last| now.ms_since(last));
        self.last_event_at = Some(now);
        if gap_ms > self.settings.pause_ms {
            self.resumed_at = now;
        }
    }

    fn immediate_refusal(&self, now: UnixMs, request: &NewRequest) -> Option<Refusal> {
        if let Some(until) = self.quarantine.refused_until(now, request.fingerprint) {
            let message = "this request crashed two upstreams and is refused until it is changed";
            let refusal = Refusal::not_run(RefusalReason::Quarantined, message);
            return Some(refusal.with_retry_at(until));
        }
        if request.deadline_unix_ms <= now {
            return Some(Refusal::not_run(
                RefusalReason::DeadlineExceeded,
                "the deadline had passed when the request arrived",
            ));
        }
        None
    }

    /// Cancels every other generation and grant request of a request.
    fn cancel_others(
        &mut self,
        request: RequestId,
        chosen: AttemptId,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        let (kept, dropped): (Vec<_>, Vec<_>) = std::mem::take(&mut state.attempts)
            .into_iter()
            .partition(|attempt| attempt.id == chosen);
        state.attempts = kept;
        for attempt in dropped {
            cancel(request, &attempt, actions);
        }
        withdraw_pending(state, actions);
    }

    /// Refuses a request that has no generation and no pending grant request left.
    pub(super) fn finish_if_exhausted(
        &mut self,
        now: UnixMs,
        id: RequestId,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        if !state.is_exhausted() {
            return;
        }
        let refusal = self.exhausted_refusal(now, state);
        self.finish(id, Err(refusal), actions);
    }

    fn exhausted_refusal(&self, now: UnixMs, state: &RequestState) -> Refusal {
        let retry_at = now + self.settings.retry_after_ms;
        if state.may_have_run {
            let message = "the upstream failed while it ran the request";
            return Refusal::may_have_run(RefusalReason::UpstreamFailed, message)
                .with_retry_at(retry_at);
        }
        let unavailable = || {
            let message = format!(
                "no upstream could be reached for adapter \"{}\"",
                state.request.adapter
            );
            Refusal::not_run(RefusalReason::Unavailable, message).with_retry_at(retry_at)
        };
        state.refusal.clone().unwrap_or_else(unavailable)
    }

    pub(super) fn finish(
        &mut self,
        request: RequestId,
        result: Result<(), Refusal>,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(state) = self.requests.remove(&request) else {
            return;
        };
        actions.push(DispatchAction::Finish { request, result });
        release(state, actions);
    }

    pub(super) fn quarantine_event(
        &self,
        now: UnixMs,
        fingerprint: Fingerprint,
    ) -> Vec<DispatchAction> {
        if self.quarantine.refused_until(now, fingerprint).is_none() {
            return Vec::new();
        }
        let event = DispatchEvent::Quarantined { fingerprint };
        vec![DispatchAction::Event(event)]
    }
}
