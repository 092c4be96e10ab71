//! What the dispatcher knows of one request.

use monsoonspread_model::message::GrantRequest;
use monsoonspread_model::{Refusal, UnixMs, UpstreamName};

use super::NewRequest;
use super::attempt::{Attempt, AttemptId};

/// An upstream whose owner was asked and has not granted or refused yet.
#[derive(Clone, Debug)]
pub(super) struct Ask {
    pub(super) upstream: UpstreamName,
    pub(super) asked_at: UnixMs,
    /// When the owner must have said something.
    pub(super) answer_deadline: Option<UnixMs>,
    /// When to ask the same upstream again, after a change of owner.
    pub(super) again_at: Option<UnixMs>,
    /// How often the asked instance said that it is not the owner.
    pub(super) not_owner_replies: u32,
    /// When the owner expects to grant it, once queued.
    pub(super) expected_at: Option<UnixMs>,
    pub(super) may_load: bool,
}

/// One request in flight.
#[derive(Clone, Debug)]
pub(super) struct RequestState {
    pub(super) request: NewRequest,
    /// When the next token must be there, until one came from the present generation.
    pub(super) deadline_unix_ms: UnixMs,
    pub(super) arrived_at: UnixMs,
    /// Upstreams not asked yet, best first.
    pub(super) untried: Vec<UpstreamName>,
    pub(super) asks: Vec<Ask>,
    pub(super) asks_made: u32,
    pub(super) attempts: Vec<Attempt>,
    pub(super) attempts_made: u32,
    pub(super) chosen: Option<AttemptId>,
    /// Tokens that the caller has from generations that ended.
    pub(super) tokens_delivered: u32,
    pub(super) hedged: bool,
    /// Whether any generation was sent that may have run.
    pub(super) may_have_run: bool,
    /// The last refusal of an owner.
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
            asks: Vec::new(),
            asks_made: 0,
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

    pub(super) fn is_waiting(&self) -> bool {
        self.asks.is_empty() && self.attempts.is_empty()
    }

    pub(super) fn ask_of(&mut self, upstream: &UpstreamName) -> Option<&mut Ask> {
        self.asks.iter_mut().find(|ask| ask.upstream == *upstream)
    }

    pub(super) fn take_ask(&mut self, upstream: &UpstreamName) -> Option<Ask> {
        let index = self.asks.iter().position(|ask| ask.upstream == *upstream)?;
        Some(self.asks.remove(index))
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
