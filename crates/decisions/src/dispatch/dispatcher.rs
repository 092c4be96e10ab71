//! The dispatcher of one entry instance.

use std::collections::{BTreeMap, HashMap};

use monsoonspread_model::message::{
    Announce, AnnounceRequest, CrashNotice, GrantAnswer, GrantId, GrantOutcome, GrantReply,
    GrantReturn, HeldGrant, RequestId,
};
use monsoonspread_model::{
    CopyName, Epoch, InstanceName, Refusal, RefusalReason, RequestClass, UnixMs, UpstreamName,
    ZoneName,
};

use super::action::{DispatchAction, DispatchEvent};
use super::attempt::{Attempt, AttemptId};
use super::dump::DispatchDump;
use super::request::NewRequest;
use super::settings::DispatchSettings;
use super::state::{Ask, RequestState};
use crate::placement::{CandidateUpstream, Placement};
use crate::quarantine::Quarantine;
use crate::retry_budget::RetryBudget;
use crate::straggler::StragglerBoard;

/// Every model request in flight on one entry instance.
#[derive(Debug)]
pub struct Dispatcher {
    pub(super) settings: DispatchSettings,
    pub(super) placement: Placement,
    pub(super) board: StragglerBoard,
    pub(super) retries: RetryBudget,
    pub(super) hedges: RetryBudget,
    pub(super) quarantine: Quarantine,
    pub(super) requests: BTreeMap<RequestId, RequestState>,
    /// The highest fencing number seen of each upstream.
    pub(super) epochs: HashMap<UpstreamName, Epoch>,
}

impl Dispatcher {
    /// A dispatcher without requests, as seen from `zone`.
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
            epochs: HashMap::new(),
            settings,
        }
    }

    /// Requests without a result yet.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Replaces the upstreams that may be asked for: live ones whose zone can be reached.
    pub fn on_upstreams(&mut self, upstreams: Vec<CandidateUpstream>) {
        self.placement.on_upstreams(upstreams);
        let placement = &self.placement;
        self.board.retain(|upstream| placement.contains(upstream));
    }

    /// Sets how many instances of the region share the demand, this one included.
    pub fn on_sharing_instances(&mut self, instances: usize) {
        self.placement.on_sharing_instances(instances);
    }

    /// Takes a new request.
    pub fn on_request(&mut self, now: UnixMs, request: NewRequest) -> Vec<DispatchAction> {
        let id = request.request;
        if let Some(refusal) = self.refused_at_once(now, &request) {
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
        let candidates = self.slow_last(now, &request, candidates);
        let state = RequestState::new(now, request, candidates);
        self.requests.insert(id, state);
        let mut actions = Vec::new();
        self.ask_next(now, id, true, &mut actions);
        self.finish_if_stuck(now, id, &mut actions);
        actions
    }

    /// Takes an owner's answer.
    pub fn on_reply(&mut self, now: UnixMs, reply: &GrantReply) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        let stale = self.see_epoch(&reply.upstream, reply.epoch);
        match &reply.answer {
            GrantAnswer::Granted { grant, .. } if stale => {
                self.give_back(&reply.upstream, *grant, &mut actions);
                self.ask_again(now, reply.request, &reply.upstream);
            }
            GrantAnswer::Granted { .. } => self.on_granted(now, reply, &mut actions),
            GrantAnswer::Queued {
                expected_at_unix_ms,
            } => {
                self.on_queued(now, reply, *expected_at_unix_ms, &mut actions);
            }
            GrantAnswer::NotRun(refusal) => self.on_refused(now, reply, refusal, &mut actions),
            GrantAnswer::NotOwner => self.ask_again(now, reply.request, &reply.upstream),
        }
        self.finish_if_stuck(now, reply.request, &mut actions);
        actions
    }

    /// The owner of `upstream` could not be reached, or nobody owns it.
    pub fn on_ask_failed(
        &mut self,
        now: UnixMs,
        request: RequestId,
        upstream: &UpstreamName,
    ) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        if let Some(state) = self.requests.get_mut(&request)
            && state.take_ask(upstream).is_some()
        {
            self.retry(now, request, &mut actions);
            self.finish_if_stuck(now, request, &mut actions);
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
            self.drop_others(request, attempt, &mut actions);
        }
        actions
    }

    /// The caller went away: nothing is wanted any more.
    pub fn on_caller_gone(&mut self, request: RequestId) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        if let Some(state) = self.requests.remove(&request) {
            release(state, &mut actions);
        }
        actions
    }

    /// A new owner asks for outstanding grants; grants of older epochs are dropped from now on.
    pub fn on_announce_request(
        &mut self,
        from: &InstanceName,
        ask: &AnnounceRequest,
    ) -> Vec<DispatchAction> {
        self.see_epoch(&ask.upstream, ask.epoch);
        let announce = Announce {
            upstream: ask.upstream.clone(),
            epoch: ask.epoch,
            grants: self.held(&ask.upstream),
        };
        let to = from.clone();
        vec![DispatchAction::Announce { to, announce }]
    }

    /// A peer saw a request crash an upstream.
    pub fn on_crash_notice(&mut self, now: UnixMs, notice: &CrashNotice) -> Vec<DispatchAction> {
        if self.quarantine.on_crash(now, notice) {
            return self.quarantine_event(now, notice.fingerprint);
        }
        Vec::new()
    }

    /// Time passed; to be called every 20 ms or so.
    pub fn on_tick(&mut self, now: UnixMs) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        self.board.on_tick();
        self.watch_waiting(now);
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in ids {
            self.expire_grants(now, id, &mut actions);
            self.expire_request(now, id, &mut actions);
            self.expire_asks(now, id, &mut actions);
            self.hedge_if_slow(now, id, &mut actions);
            self.finish_if_stuck(now, id, &mut actions);
        }
        actions
    }

    /// Every outstanding grant on `upstream`.
    pub fn held(&self, upstream: &UpstreamName) -> Vec<HeldGrant> {
        self.requests
            .values()
            .flat_map(|state| &state.attempts)
            .filter(|attempt| attempt.upstream == *upstream)
            .map(|attempt| attempt.held.clone())
            .collect()
    }

    /// Describes the dispatcher without any caller's text.
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

    fn refused_at_once(&self, now: UnixMs, request: &NewRequest) -> Option<Refusal> {
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

    /// Puts failed upstreams last, and slow ones behind others that are to hold a copy too.
    ///
    /// Retries of a request that broke a stream are scattered, so that a request which crashes
    /// upstreams meets other company on each.
    fn slow_last(
        &self,
        now: UnixMs,
        request: &NewRequest,
        mut candidates: Vec<UpstreamName>,
    ) -> Vec<UpstreamName> {
        let copies = self.placement.copies(now, &request.adapter.adapter);
        let rank = |index: usize, upstream: &UpstreamName| {
            if self.board.is_failed(now, upstream) {
                return 3;
            }
            let slow = self.board.slowness(now, upstream) > self.settings.slow_factor;
            match (index < copies, slow) {
                (true, false) => 0,
                (true, true) if copies == 1 => 0,
                (true, true) => 1,
                (false, _) => 2,
            }
        };
        let ranks: Vec<usize> = candidates
            .iter()
            .enumerate()
            .map(|(index, upstream)| rank(index, upstream))
            .collect();
        let mut order: Vec<usize> = (0..candidates.len()).collect();
        order.sort_by_key(|index| ranks[*index]);
        candidates = order.into_iter().map(|i| candidates[i].clone()).collect();
        candidates
    }

    /// Remembers the highest fencing number; true when `epoch` is older.
    fn see_epoch(&mut self, upstream: &UpstreamName, epoch: Epoch) -> bool {
        let seen = self.epochs.entry(upstream.clone()).or_default();
        let stale = epoch < *seen;
        *seen = epoch.max(*seen);
        stale
    }

    fn give_back(
        &self,
        upstream: &UpstreamName,
        grant: GrantId,
        actions: &mut Vec<DispatchAction>,
    ) {
        actions.push(DispatchAction::Return(unused(upstream, grant)));
    }

    fn on_granted(&mut self, now: UnixMs, reply: &GrantReply, actions: &mut Vec<DispatchAction>) {
        let GrantAnswer::Granted {
            grant,
            copy_epoch,
            expires_at_unix_ms,
        } = reply.answer
        else {
            return;
        };
        let known = self
            .held(&reply.upstream)
            .iter()
            .any(|held| held.grant == grant);
        if known {
            return;
        }
        let asked = self
            .requests
            .get_mut(&reply.request)
            .and_then(|state| state.take_ask(&reply.upstream).map(|_| state));
        let Some(state) = asked else {
            self.give_back(&reply.upstream, grant, actions);
            return;
        };
        let resume = state.tokens_delivered > 0;
        let attempt = AttemptId(state.attempts_made);
        state.attempts_made += 1;
        let request = &state.request;
        let copy = CopyName::new(request.adapter.clone(), copy_epoch);
        state.attempts.push(Attempt {
            id: attempt,
            upstream: reply.upstream.clone(),
            held: HeldGrant {
                grant,
                request: request.request,
                adapter: request.adapter.clone(),
                copy_epoch,
                class: request.class,
                caller: request.caller.clone(),
                tokens: request.tokens,
                expires_at_unix_ms,
            },
            started_at: now,
            first_token_at: None,
        });
        actions.push(DispatchAction::Generate {
            request: reply.request,
            attempt,
            upstream: reply.upstream.clone(),
            copy,
            resume,
        });
        if !state.hedged {
            withdraw_asks(state, actions);
        }
    }

    /// A queued request also asks another upstream that already holds the adapter, when the
    /// expected wait would miss the deadline.
    fn on_queued(
        &mut self,
        now: UnixMs,
        reply: &GrantReply,
        expected_at: UnixMs,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(state) = self.requests.get_mut(&reply.request) else {
            withdraw(&reply.upstream, reply.request, actions);
            return;
        };
        let Some(ask) = state.ask_of(&reply.upstream) else {
            withdraw(&reply.upstream, reply.request, actions);
            return;
        };
        ask.answer_deadline = None;
        ask.expected_at = Some(expected_at);
        let late = expected_at > state.deadline_unix_ms;
        let alone = state.asks.len() == 1 && state.attempts.is_empty();
        if late && alone && self.retries.spend() {
            self.ask_next(now, reply.request, false, actions);
        }
    }

    fn on_refused(
        &mut self,
        now: UnixMs,
        reply: &GrantReply,
        refusal: &Refusal,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(state) = self.requests.get_mut(&reply.request) else {
            return;
        };
        if state.take_ask(&reply.upstream).is_none() {
            return;
        }
        let sooner = match (&state.refusal, refusal.retry_at_unix_ms) {
            (None, _) => true,
            (Some(known), Some(at)) => known.retry_at_unix_ms.is_none_or(|known| at < known),
            (Some(_), None) => false,
        };
        if sooner {
            state.refusal = Some(refusal.clone());
        }
        if state.is_waiting() {
            self.retry(now, reply.request, actions);
        }
    }

    fn ask_again(&mut self, now: UnixMs, request: RequestId, upstream: &UpstreamName) {
        let again_at = now + self.settings.not_owner_retry_ms;
        if let Some(state) = self.requests.get_mut(&request)
            && let Some(ask) = state.ask_of(upstream)
        {
            ask.answer_deadline = None;
            ask.again_at = Some(again_at);
        }
    }

    /// Asks the next candidate after a failure, within the retry budget.
    pub(super) fn retry(
        &mut self,
        now: UnixMs,
        request: RequestId,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(state) = self.requests.get(&request) else {
            return;
        };
        if state.untried.is_empty() || !self.retries.spend() {
            return;
        }
        if let Some(upstream) = self.ask_next(now, request, true, actions) {
            let event = DispatchEvent::Retried { request, upstream };
            actions.push(DispatchAction::Event(event));
        }
    }

    /// Asks the next candidate that was not asked yet.
    pub(super) fn ask_next(
        &mut self,
        now: UnixMs,
        request: RequestId,
        may_load: bool,
        actions: &mut Vec<DispatchAction>,
    ) -> Option<UpstreamName> {
        let state = self.requests.get_mut(&request)?;
        if state.untried.is_empty() || state.asks_made >= self.settings.max_asks {
            return None;
        }
        let upstream = state.untried.remove(0);
        state.asks_made += 1;
        state.asks.push(Ask {
            upstream: upstream.clone(),
            answer_deadline: Some(now + self.settings.ask_timeout_ms),
            again_at: None,
            expected_at: None,
            may_load,
        });
        let ask = state.grant_request(&upstream, may_load);
        actions.push(DispatchAction::Ask(ask));
        Some(upstream)
    }

    /// Stops every other generation and ask of a request.
    fn drop_others(
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
        withdraw_asks(state, actions);
    }

    /// Requests that still wait for their first token count against their upstream.
    fn watch_waiting(&mut self, now: UnixMs) {
        let waiting = self
            .requests
            .values()
            .flat_map(|state| &state.attempts)
            .filter(|attempt| attempt.first_token_at.is_none());
        for attempt in waiting {
            let age_ms = now.ms_since(attempt.started_at);
            self.board.on_waiting(now, &attempt.upstream, age_ms);
        }
    }

    /// Ends generations whose grant has ended: the copy may be evicted from then on.
    fn expire_grants(&mut self, now: UnixMs, id: RequestId, actions: &mut Vec<DispatchAction>) {
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        let expired = state
            .attempts
            .iter()
            .any(|attempt| attempt.held.expires_at_unix_ms <= now);
        if !expired {
            return;
        }
        let message = "the generation ran longer than its grant";
        let refusal = Refusal::may_have_run(RefusalReason::DeadlineExceeded, message);
        self.finish(id, Err(refusal), actions);
    }

    /// Answers at once what has no token by its deadline.
    fn expire_request(&mut self, now: UnixMs, id: RequestId, actions: &mut Vec<DispatchAction>) {
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        if state.chosen.is_some() || now < state.deadline_unix_ms {
            return;
        }
        let refusal = self.missed_deadline(now, state);
        self.finish(id, Err(refusal), actions);
    }

    fn missed_deadline(&self, now: UnixMs, state: &RequestState) -> Refusal {
        let message = if state.tokens_delivered > 0 {
            "the upstream broke the stream and no other went on in time"
        } else {
            "no first token came before the deadline"
        };
        let sent = state.may_have_run || !state.attempts.is_empty();
        let refusal = if sent {
            Refusal::may_have_run(RefusalReason::DeadlineExceeded, message)
        } else {
            Refusal::not_run(RefusalReason::DeadlineExceeded, message)
        };
        refusal.with_retry_at(now + self.settings.retry_after_ms)
    }

    /// Passes over owners that said nothing in time, and asks again after changes of owner.
    fn expire_asks(&mut self, now: UnixMs, id: RequestId, actions: &mut Vec<DispatchAction>) {
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        let max_asks = self.settings.max_asks;
        let mut silent = Vec::new();
        for index in 0..state.asks.len() {
            let ask = &state.asks[index];
            if ask.answer_deadline.is_some_and(|deadline| deadline <= now) {
                silent.push(ask.upstream.clone());
                continue;
            }
            if ask.again_at.is_none_or(|at| now < at) {
                continue;
            }
            if state.asks_made >= max_asks {
                silent.push(ask.upstream.clone());
                continue;
            }
            let again = state.grant_request(&ask.upstream, ask.may_load);
            state.asks_made += 1;
            state.asks[index].again_at = None;
            state.asks[index].answer_deadline = Some(now + self.settings.ask_timeout_ms);
            actions.push(DispatchAction::Ask(again));
        }
        for upstream in &silent {
            state.take_ask(upstream);
            withdraw(upstream, id, actions);
        }
        if !silent.is_empty() && state.is_waiting() {
            self.retry(now, id, actions);
        }
    }

    /// Asks a second upstream for a short request whose first generation is slow.
    fn hedge_if_slow(&mut self, now: UnixMs, id: RequestId, actions: &mut Vec<DispatchAction>) {
        let usual_ms = self.board.usual_ms() * self.settings.hedge_after_factor;
        let wait_ms = (usual_ms as u64).max(self.settings.hedge_min_ms);
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        let [attempt] = state.attempts.as_slice() else {
            return;
        };
        let slow = attempt.first_token_at.is_none() && now.ms_since(attempt.started_at) >= wait_ms;
        let eligible = state.request.class == RequestClass::Short
            && !state.hedged
            && state.tokens_delivered == 0
            && !state.untried.is_empty()
            && !self.quarantine.is_suspected(now, state.request.fingerprint);
        if !slow || !eligible || !self.hedges.spend() {
            return;
        }
        state.hedged = true;
        if let Some(upstream) = self.ask_next(now, id, false, actions) {
            let request = id;
            let event = DispatchEvent::Hedged { request, upstream };
            actions.push(DispatchAction::Event(event));
        }
    }

    /// Ends a request that has nothing left to wait for.
    pub(super) fn finish_if_stuck(
        &mut self,
        now: UnixMs,
        id: RequestId,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        if !state.is_waiting() {
            return;
        }
        let refusal = self.stuck_refusal(now, state);
        self.finish(id, Err(refusal), actions);
    }

    fn stuck_refusal(&self, now: UnixMs, state: &RequestState) -> Refusal {
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

    pub(super) fn quarantine_event(&self, now: UnixMs, fingerprint: u64) -> Vec<DispatchAction> {
        if self.quarantine.refused_until(now, fingerprint).is_none() {
            return Vec::new();
        }
        let event = DispatchEvent::Quarantined { fingerprint };
        vec![DispatchAction::Event(event)]
    }
}

/// Gives back everything that a request still holds.
fn release(mut state: RequestState, actions: &mut Vec<DispatchAction>) {
    let request = state.request.request;
    for attempt in std::mem::take(&mut state.attempts) {
        cancel(request, &attempt, actions);
    }
    withdraw_asks(&mut state, actions);
}

fn cancel(request: RequestId, attempt: &Attempt, actions: &mut Vec<DispatchAction>) {
    actions.push(DispatchAction::Cancel {
        request,
        attempt: attempt.id,
    });
    let back = unused(&attempt.upstream, attempt.held.grant);
    actions.push(DispatchAction::Return(back));
}

fn withdraw_asks(state: &mut RequestState, actions: &mut Vec<DispatchAction>) {
    for ask in std::mem::take(&mut state.asks) {
        withdraw(&ask.upstream, state.request.request, actions);
    }
}

fn withdraw(upstream: &UpstreamName, request: RequestId, actions: &mut Vec<DispatchAction>) {
    actions.push(DispatchAction::Withdraw {
        upstream: upstream.clone(),
        request,
    });
}

fn unused(upstream: &UpstreamName, grant: GrantId) -> GrantReturn {
    GrantReturn {
        upstream: upstream.clone(),
        grant,
        outcome: GrantOutcome::Cancelled,
        first_token_ms: None,
        token_gap_us: None,
        tokens: 0,
    }
}
