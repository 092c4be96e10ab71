//! Handling of ended generations: completion, retry, resumption or failure.

use monsoonspread_model::message::{CrashNotice, GrantReturn, RequestId};
use monsoonspread_model::{Refusal, RefusalReason, UnixMs};

use super::action::{DispatchAction, DispatchEvent};
use super::attempt::{Attempt, AttemptEnd, AttemptId, EndKind};
use super::dispatcher::Dispatcher;

impl Dispatcher {
    /// Handles the end of a generation.
    pub fn on_end(
        &mut self,
        now: UnixMs,
        request: RequestId,
        attempt: AttemptId,
        end: AttemptEnd,
    ) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        let Some(state) = self.requests.get_mut(&request) else {
            return actions;
        };
        let Some(ended) = state.take_attempt(attempt) else {
            return actions;
        };
        let end = corrected(end, &ended);
        actions.push(DispatchAction::ReturnGrant(grant_return(&ended, &end)));
        if !end.kind.is_not_run() {
            state.may_have_run = true;
        }
        let is_chosen = state.chosen == Some(attempt);
        match end.kind {
            EndKind::Done => self.on_done(request, attempt, &mut actions),
            EndKind::WrongAdapter => self.on_wrong_adapter(request, &ended, &mut actions),
            EndKind::Broken if is_chosen => {
                self.on_stream_broken(now, request, &ended, end.tokens, &mut actions);
            }
            kind => self.on_failed(now, request, &ended, kind, &mut actions),
        }
        self.finish_if_exhausted(now, request, &mut actions);
        actions
    }

    /// Completes the request, also if the answer has no tokens.
    fn on_done(
        &mut self,
        request: RequestId,
        attempt: AttemptId,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(state) = self.requests.get(&request) else {
            return;
        };
        if state.chosen.is_none() {
            actions.push(DispatchAction::Choose { request, attempt });
        }
        self.finish(request, Ok(()), actions);
    }

    fn on_wrong_adapter(
        &mut self,
        request: RequestId,
        ended: &Attempt,
        actions: &mut Vec<DispatchAction>,
    ) {
        let upstream = ended.upstream.clone();
        let message = format!(
            "upstream \"{upstream}\" answered for another adapter than \"{}\"",
            ended.held.adapter
        );
        let event = DispatchEvent::WrongAdapter { request, upstream };
        actions.push(DispatchAction::Event(event));
        let refusal = Refusal::may_have_run(RefusalReason::WrongAdapter, message);
        self.finish(request, Err(refusal), actions);
    }

    /// The caller already has tokens: resumes the stream on another upstream or ends it with an
    /// error.
    fn on_stream_broken(
        &mut self,
        now: UnixMs,
        request: RequestId,
        ended: &Attempt,
        tokens: u32,
        actions: &mut Vec<DispatchAction>,
    ) {
        self.record_crash(now, request, ended, actions);
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        state.chosen = None;
        state.tokens_delivered += tokens;
        state.deadline_unix_ms = now + self.settings.resume_within_ms;
        let tokens = state.tokens_delivered;
        if !state.request.resumable {
            return;
        }
        if self.try_elsewhere(now, request, actions) {
            let event = DispatchEvent::Resumed { request, tokens };
            actions.push(DispatchAction::Event(event));
        }
    }

    /// The caller has no tokens yet: tries another upstream.
    fn on_failed(
        &mut self,
        now: UnixMs,
        request: RequestId,
        ended: &Attempt,
        kind: EndKind,
        actions: &mut Vec<DispatchAction>,
    ) {
        match kind {
            EndKind::Broken => self.record_crash(now, request, ended, actions),
            EndKind::Unreachable => self.board.on_failure(now, &ended.upstream),
            _ => {}
        }
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        if kind == EndKind::CopyMissing && !state.untried.contains(&ended.upstream) {
            state.untried.insert(0, ended.upstream.clone());
        }
        if state.is_exhausted() {
            self.try_elsewhere(now, request, actions);
        }
    }

    /// Tries another upstream unless the request has used up its attempts or is quarantined.
    fn try_elsewhere(
        &mut self,
        now: UnixMs,
        request: RequestId,
        actions: &mut Vec<DispatchAction>,
    ) -> bool {
        let Some(state) = self.requests.get_mut(&request) else {
            return false;
        };
        if state.attempts_made >= self.settings.max_attempts {
            return false;
        }
        let fingerprint = state.request.fingerprint;
        if self.quarantine.refused_until(now, fingerprint).is_some() {
            return false;
        }
        if !state.broken_on.is_empty() {
            scatter(&mut state.untried, request);
        }
        let before = state.grant_requests_sent;
        self.retry(now, request, true, actions);
        self.requests
            .get(&request)
            .is_some_and(|state| state.grant_requests_sent > before)
    }

    fn record_crash(
        &mut self,
        now: UnixMs,
        request: RequestId,
        ended: &Attempt,
        actions: &mut Vec<DispatchAction>,
    ) {
        self.board.on_failure(now, &ended.upstream);
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        state.broken_on.push(ended.upstream.clone());
        let notice = CrashNotice {
            fingerprint: state.request.fingerprint,
            upstream: ended.upstream.clone(),
            incarnation: 0,
            sent_at_unix_ms: ended.started_at,
            seen_at_unix_ms: now,
        };
        if self.quarantine.on_crash(now, &notice) {
            actions.extend(self.quarantine_event(now, notice.fingerprint));
            actions.push(DispatchAction::BroadcastCrash(notice));
        }
    }
}

/// Rotates the candidates by a hash of the request: requests that were in one batch when their
/// upstream crashed must not share the next upstream.
fn scatter<T>(candidates: &mut [T], request: RequestId) {
    if candidates.is_empty() {
        return;
    }
    let hash = xxhash_rust::xxh3::xxh3_64(&request.0.to_le_bytes());
    let start = hash as usize % candidates.len();
    candidates.rotate_left(start);
}

/// Corrects an end that claims "not run" to `Broken` if the generation had sent a token.
fn corrected(end: AttemptEnd, ended: &Attempt) -> AttemptEnd {
    if ended.first_token_at.is_none() || !end.kind.is_not_run() {
        return end;
    }
    AttemptEnd {
        kind: EndKind::Broken,
        ..end
    }
}

fn grant_return(ended: &Attempt, end: &AttemptEnd) -> GrantReturn {
    let first_token_ms = ended
        .first_token_at
        .map(|at| at.ms_since(ended.started_at) as u32);
    GrantReturn {
        upstream: ended.upstream.clone(),
        grant: ended.held.grant,
        outcome: end.kind.outcome(),
        first_token_ms,
        token_gap_us: end.token_gap_us,
        tokens: end.tokens,
    }
}
