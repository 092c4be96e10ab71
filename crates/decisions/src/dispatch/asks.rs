//! Asking owners for grants and taking their answers.

use monsoonspread_model::message::{
    GrantAnswer, GrantId, GrantOutcome, GrantReply, HeldGrant, RequestId,
};
use monsoonspread_model::{CopyName, Epoch, Refusal, RefusalReason, UnixMs, UpstreamName};

use super::action::{DispatchAction, DispatchEvent};
use super::attempt::{Attempt, AttemptId};
use super::dispatcher::Dispatcher;
use super::release::{ended, withdraw, withdraw_asks};
use super::request::NewRequest;
use super::state::Ask;

impl Dispatcher {
    /// Puts failed upstreams last, and slow ones behind others that are to hold a copy too.
    ///
    /// Retries of a request that broke a stream are scattered, so that a request which crashes
    /// upstreams meets other company on each.
    pub(super) fn slow_last(
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
    pub(super) fn see_epoch(&mut self, upstream: &UpstreamName, epoch: Epoch) -> bool {
        let seen = self.epochs.entry(upstream.clone()).or_default();
        let stale = epoch < *seen;
        *seen = epoch.max(*seen);
        stale
    }

    pub(super) fn give_back(
        &self,
        upstream: &UpstreamName,
        grant: GrantId,
        actions: &mut Vec<DispatchAction>,
    ) {
        actions.push(DispatchAction::ReturnGrant(ended(
            upstream,
            grant,
            GrantOutcome::Unused,
        )));
    }

    pub(super) fn on_granted(
        &mut self,
        now: UnixMs,
        reply: &GrantReply,
        actions: &mut Vec<DispatchAction>,
    ) {
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
            .and_then(|state| Some((state.take_ask(&reply.upstream)?, state)));
        let Some((ask, state)) = asked else {
            self.give_back(&reply.upstream, grant, actions);
            return;
        };
        // A grant that came while this process stood still may be of an owner that was
        // superseded meanwhile, whose copies are being evicted.
        if ask.asked_at < self.woke_at {
            self.give_back(&reply.upstream, grant, actions);
            self.retry(now, reply.request, true, actions);
            return;
        }
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
    pub(super) fn on_queued(
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

    pub(super) fn on_refused(
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
            let may_load = is_of_the_upstream(refusal.reason);
            self.retry(now, reply.request, may_load, actions);
        }
    }

    /// Asks for the same upstream again, as its owner may be changing, and then for another.
    pub(super) fn on_not_owner(
        &mut self,
        now: UnixMs,
        reply: &GrantReply,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(state) = self.requests.get_mut(&reply.request) else {
            return;
        };
        let Some(ask) = state.ask_of(&reply.upstream) else {
            return;
        };
        ask.not_owner_replies += 1;
        if ask.not_owner_replies <= self.settings.max_not_owner_retries {
            return self.ask_again(now, reply.request, &reply.upstream);
        }
        state.take_ask(&reply.upstream);
        if state.is_waiting() {
            self.retry(now, reply.request, true, actions);
        }
    }

    pub(super) fn ask_again(&mut self, now: UnixMs, request: RequestId, upstream: &UpstreamName) {
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
        may_load: bool,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(state) = self.requests.get(&request) else {
            return;
        };
        if state.untried.is_empty() || !self.retries.spend() {
            return;
        }
        if let Some(upstream) = self.ask_next(now, request, may_load, actions) {
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
            asked_at: now,
            answer_deadline: Some(now + self.settings.ask_timeout_ms),
            again_at: None,
            not_owner_replies: 0,
            expected_at: None,
            may_load,
        });
        let ask = state.grant_request(&upstream, may_load);
        actions.push(DispatchAction::RequestGrant(ask));
        Some(upstream)
    }
}

/// Whether a refusal is about the one upstream, so that a load elsewhere helps. For lack of
/// time or places it would only cost the region a second load.
fn is_of_the_upstream(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::LoadFailed | RefusalReason::Unavailable | RefusalReason::Draining
    )
}
