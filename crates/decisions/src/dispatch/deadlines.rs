//! Timeouts: unresponsive owners, missed deadlines and slow generations.

use monsoonspread_model::message::RequestId;
use monsoonspread_model::{Refusal, RefusalReason, RequestClass, UnixMs};

use super::action::{DispatchAction, DispatchEvent};
use super::dispatcher::Dispatcher;
use super::release::withdraw;
use super::state::RequestState;

impl Dispatcher {
    /// Counts requests that still wait for their first token against their upstream's speed.
    pub(super) fn record_waiting(&mut self, now: UnixMs) {
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

    /// Ends requests with an expired grant: the owner may evict the copy from then on.
    pub(super) fn expire_grants(
        &mut self,
        now: UnixMs,
        id: RequestId,
        actions: &mut Vec<DispatchAction>,
    ) {
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

    /// Refuses a request that has no first token by its deadline.
    pub(super) fn expire_request(
        &mut self,
        now: UnixMs,
        id: RequestId,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(state) = self.requests.get(&id) else {
            return;
        };
        if state.chosen.is_some() || now < state.deadline_unix_ms {
            return;
        }
        let refusal = self.missed_deadline(now, state);
        self.finish(id, Err(refusal), actions);
    }

    pub(super) fn missed_deadline(&self, now: UnixMs, state: &RequestState) -> Refusal {
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

    /// Skips owners that did not answer in time, and repeats grant requests after owner changes.
    pub(super) fn expire_pending(
        &mut self,
        now: UnixMs,
        id: RequestId,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(state) = self.requests.get_mut(&id) else {
            return;
        };
        let max_grant_requests = self.settings.max_grant_requests;
        let mut unresponsive = Vec::new();
        for index in 0..state.pending_grants.len() {
            let pending = &state.pending_grants[index];
            if pending
                .answer_deadline
                .is_some_and(|deadline| deadline <= now)
            {
                unresponsive.push(pending.upstream.clone());
                continue;
            }
            if pending.repeat_at.is_none_or(|at| now < at) {
                continue;
            }
            if state.grant_requests_sent >= max_grant_requests {
                unresponsive.push(pending.upstream.clone());
                continue;
            }
            let again = state.grant_request(&pending.upstream, pending.may_load);
            state.grant_requests_sent += 1;
            state.pending_grants[index].repeat_at = None;
            state.pending_grants[index].requested_at = now;
            state.pending_grants[index].answer_deadline =
                Some(now + self.settings.grant_request_timeout_ms);
            actions.push(DispatchAction::RequestGrant(again));
        }
        for upstream in &unresponsive {
            state.take_pending_grant(upstream);
            withdraw(upstream, id, actions);
        }
        if !unresponsive.is_empty() && state.is_exhausted() {
            self.retry(now, id, true, actions);
        }
    }

    /// Tries a second upstream for a short request whose first generation is slow.
    pub(super) fn hedge_if_slow(
        &mut self,
        now: UnixMs,
        id: RequestId,
        actions: &mut Vec<DispatchAction>,
    ) {
        let usual_ms = self.board.median_first_token_ms() * self.settings.hedge_after_factor;
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
        if let Some(upstream) = self.request_next(now, id, false, actions) {
            let request = id;
            let event = DispatchEvent::Hedged { request, upstream };
            actions.push(DispatchAction::Event(event));
        }
    }
}
