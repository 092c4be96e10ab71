//! Dispatcher state of one request.

use monsoonspread_model::message::GrantRequest;
use monsoonspread_model::{Refusal, UnixMs, UpstreamName};

use super::NewRequest;
use super::attempt::{Attempt, AttemptId};

/// A grant request that its upstream's owner has neither granted nor refused yet.
#[derive(Clone, Debug)]
pub(super) struct PendingGrant {
    pub(super) upstream: UpstreamName,
    pub(super) requested_at: UnixMs,
    /// When the owner must have answered; `None` once queued or scheduled for a repeat.
    pub(super) answer_deadline: Option<UnixMs>,
    /// When to repeat the grant request after a change of owner.
    pub(super) repeat_at: Option<UnixMs>,
    /// Number of "not owner" answers.
    pub(super) not_owner_replies: u32,
    /// When the owner expects to grant it; `None` until queued.
    pub(super) expected_at: Option<UnixMs>,
    pub(super) may_load: bool,
}

/// One request in flight.
#[derive(Clone, Debug)]
pub(super) struct RequestState {
    pub(super) request: NewRequest,
    /// Deadline of the next token, until the current generation produced one.
    pub(super) deadline_unix_ms: UnixMs,
    pub(super) arrived_at: UnixMs,
    /// Upstreams not tried yet, best first.
    pub(super) untried: Vec<UpstreamName>,
    pub(super) pending_grants: Vec<PendingGrant>,
    pub(super) grant_requests_sent: u32,
    pub(super) attempts: Vec<Attempt>,
    pub(super) attempts_made: u32,
    pub(super) chosen: Option<AttemptId>,
    /// Tokens that the caller received from ended generations.
    pub(super) tokens_delivered: u32,
    pub(super) hedged: bool,
    /// Whether any ended generation may have run.
    pub(super) may_have_run: bool,
    /// The owners' refusal with the earliest retry time.
    pub(super) refusal: Option<Refusal>,
    /// Upstreams that broke a stream of this request.
    pub(super) broken_on: Vec<UpstreamName>,
}

impl RequestState {
    pub(super) fn new(now: UnixMs, request: NewRequest, candidates: Vec<UpstreamName>) -> Self {
        Self {
            deadline_unix_ms: request.deadline_unix_ms,
            request,
            arrived_at: now,
            untried: candidates,
            pending_grants: Vec::new(),
            grant_requests_sent: 0,
            attempts: Vec::new(),
            attempts_made: 0,
            chosen: None,
            tokens_delivered: 0,
            hedged: false,
            may_have_run: false,
            refusal: None,
            broken_on: Vec::new(),
        }
    }

    pub(super) fn is_exhausted(&self) -> bool {
        self.pending_grants.is_empty() && self.attempts.is_empty()
    }

    pub(super) fn pending_grant(&mut self, upstream: &UpstreamName) -> Option<&mut PendingGrant> {
        self.pending_grants
            .iter_mut()
            .find(|pending| pending.upstream == *upstream)
    }

    pub(super) fn take_pending_grant(&mut self, upstream: &UpstreamName) -> Option<PendingGrant> {
        let index = self
            .pending_grants
            .iter()
            .position(|pending| pending.upstream == *upstream)?;
        Some(self.pending_grants.remove(index))
    }

    pub(super) fn attempt(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.attempts.iter_mut().find(|attempt| attempt.id == id)
    }

    pub(super) fn take_attempt(&mut self, id: AttemptId) -> Option<Attempt> {
        let index = self.attempts.iter().position(|attempt| attempt.id == id)?;
        Some(self.attempts.remove(index))
    }

    pub(super) fn grant_request(&self, upstream: &UpstreamName, may_load: bool) -> GrantRequest {
        let request = &self.request;
        GrantRequest {
            request: request.request,
            upstream: upstream.clone(),
            adapter: request.adapter.clone(),
            class: request.class,
            priority: request.priority,
            caller: request.caller.clone(),
            tokens: request.tokens.saturating_sub(self.tokens_delivered),
            arrived_at_unix_ms: self.arrived_at,
            deadline_unix_ms: self.deadline_unix_ms,
            bundle_version: request.bundle_version,
            may_load,
        }
    }
}
