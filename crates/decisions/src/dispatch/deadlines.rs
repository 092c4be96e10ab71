//! What happens when time passes: silent owners, missed deadlines, slow generations.

use monsoonspread_model::message::RequestId;
use monsoonspread_model::{Refusal, RefusalReason, RequestClass, UnixMs};

use super::action::{DispatchAction, DispatchEvent};
use super::dispatcher::Dispatcher;
use super::release::withdraw;
use super::state::RequestState;

impl Dispatcher {
    /// Requests that still wait for their first token count against their upstream.
    pub(super) fn watch_waiting(&mut self, now: UnixMs) {
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

    /// Answers at once what has no token by its deadline.
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

    /// Passes over owners that said nothing in time, and asks again after changes of owner.
    pub(super) fn expire_asks(
        &mut self,
        now: UnixMs,
        id: RequestId,
        actions: &mut Vec<DispatchAction>,
    ) {
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
            state.asks[index].asked_at = now;
            state.asks[index].answer_deadline = Some(now + self.settings.ask_timeout_ms);
            actions.push(DispatchAction::RequestGrant(again));
        }
        for upstream in &silent {
            state.take_ask(upstream);
            withdraw(upstream, id, actions);
        }
        if !silent.is_empty() && state.is_waiting() {
            self.retry(now, id, true, actions);
        }
    }

    /// Asks a second upstream for a short request whose first generation is slow.
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
        if let Some(upstream) = self.ask_next(now, id, false, actions) {
            let request = id;
            let event = DispatchEvent::Hedged { request, upstream };
            actions.push(DispatchAction::Event(event));
        }
    }
}
