//! Grant requests to owners and the handling of their answers.

use monsoonspread_model::message::{
    GrantAnswer, GrantId, GrantOutcome, GrantReply, HeldGrant, RequestId,
};
use monsoonspread_model::{CopyName, Epoch, Refusal, RefusalReason, UnixMs, UpstreamName};

use super::action::{DispatchAction, DispatchEvent};
use super::attempt::{Attempt, AttemptId};
use super::dispatcher::Dispatcher;
use super::release::{return_without_stats, withdraw, withdraw_pending};
use super::request::NewRequest;
use super::state::PendingGrant;

impl Dispatcher {
    /// Sorts failed upstreams last, and slow ones behind the others that should hold a copy.
    ///
    /// The retries of a request that broke a stream are rotated by `scatter`, so that a request
    /// which crashes upstreams shares each of them with different requests.
    pub(super) fn rank_candidates(
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

    /// Records the highest fencing number of an upstream; true when `epoch` is lower.
    pub(super) fn observe_epoch(&mut self, upstream: &UpstreamName, epoch: Epoch) -> bool {
        let seen = self.epochs.entry(upstream.clone()).or_default();
        let stale = epoch < *seen;
        *seen = epoch.max(*seen);
        stale
    }

    pub(super) fn return_unused(
        &self,
        upstream: &UpstreamName,
        grant: GrantId,
        actions: &mut Vec<DispatchAction>,
    ) {
        actions.push(DispatchAction::ReturnGrant(return_without_stats(
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
        let entry = self
            .requests
            .get_mut(&reply.request)
            .and_then(|state| Some((state.take_pending_grant(&reply.upstream)?, state)));
        let Some((pending, state)) = entry else {
            self.return_unused(&reply.upstream, grant, actions);
            return;
        };
        // A grant received while this process was paused may come from an owner that has been
        // superseded since, and whose copies are being evicted.
        if pending.requested_at < self.resumed_at {
            self.return_unused(&reply.upstream, grant, actions);
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
            withdraw_pending(state, actions);
        }
    }

    /// Also tries another upstream that already holds the adapter if the expected wait would miss
    /// the deadline.
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
        let Some(pending) = state.pending_grant(&reply.upstream) else {
            withdraw(&reply.upstream, reply.request, actions);
            return;
        };
        pending.answer_deadline = None;
        pending.expected_at = Some(expected_at);
        let late = expected_at > state.deadline_unix_ms;
        let alone = state.pending_grants.len() == 1 && state.attempts.is_empty();
        if late && alone && self.retries.spend() {
            self.request_next(now, reply.request, false, actions);
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
        if state.take_pending_grant(&reply.upstream).is_none() {
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
        if state.is_exhausted() {
            let may_load = concerns_upstream(refusal.reason);
            self.retry(now, reply.request, may_load, actions);
        }
    }

    /// Tries the same upstream again, since its owner may be changing, and then another one.
    pub(super) fn on_not_owner(
        &mut self,
        now: UnixMs,
        reply: &GrantReply,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(state) = self.requests.get_mut(&reply.request) else {
            return;
        };
        let Some(pending) = state.pending_grant(&reply.upstream) else {
            return;
        };
        pending.not_owner_replies += 1;
        if pending.not_owner_replies <= self.settings.max_not_owner_retries {
            return self.schedule_repeat(now, reply.request, &reply.upstream);
        }
        state.take_pending_grant(&reply.upstream);
        if state.is_exhausted() {
            self.retry(now, reply.request, true, actions);
        }
    }

    pub(super) fn schedule_repeat(
        &mut self,
        now: UnixMs,
        request: RequestId,
        upstream: &UpstreamName,
    ) {
        let repeat_at = now + self.settings.not_owner_retry_ms;
        if let Some(state) = self.requests.get_mut(&request)
            && let Some(pending) = state.pending_grant(upstream)
        {
            pending.answer_deadline = None;
            pending.repeat_at = Some(repeat_at);
        }
    }

    /// Tries the next candidate after a failure, within the retry budget.
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
        if let Some(upstream) = self.request_next(now, request, may_load, actions) {
            let event = DispatchEvent::Retried { request, upstream };
            actions.push(DispatchAction::Event(event));
        }
    }

    /// Requests a grant on the next untried candidate; `None` if there is none or the request has
    /// reached its limit.
    pub(super) fn request_next(
        &mut self,
        now: UnixMs,
        request: RequestId,
        may_load: bool,
        actions: &mut Vec<DispatchAction>,
    ) -> Option<UpstreamName> {
        let state = self.requests.get_mut(&request)?;
        if state.untried.is_empty() || state.grant_requests_sent >= self.settings.max_grant_requests
        {
            return None;
        }
        let upstream = state.untried.remove(0);
        state.grant_requests_sent += 1;
        state.pending_grants.push(PendingGrant {
            upstream: upstream.clone(),
            requested_at: now,
            answer_deadline: Some(now + self.settings.grant_request_timeout_ms),
            repeat_at: None,
            not_owner_replies: 0,
            expected_at: None,
            may_load,
        });
        let pending = state.grant_request(&upstream, may_load);
        actions.push(DispatchAction::RequestGrant(pending));
        Some(upstream)
    }
}

/// Whether a refusal concerns only the one upstream, so that loading the adapter on another helps.
/// After a refusal for lack of time or places, a second load would only add cost to the region.
fn concerns_upstream(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::LoadFailed | RefusalReason::Unavailable | RefusalReason::Draining
    )
}
