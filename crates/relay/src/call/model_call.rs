//! Requests to engines.

use std::rc::Rc;

use hyper::{Response, StatusCode};
use monsoonspread_model::fleet::{AdapterKey, UpstreamRecord, UpstreamStage};
use monsoonspread_model::{UnixMs, UpstreamName};

use super::answer::{AnswerEnd, Grant};
use super::attempt::{Attempt, AttemptOptions, attempt};
use super::candidates::{Limits, candidates, long_shared_parts};
use super::forward::{forward, log_end};
use super::request::RelayRequest;
use super::upstream_answer::UpstreamAnswer;
use super::{RelayBody, admission, refusal, resume, suspect};
use crate::event::{Line, kind};
use crate::holding::{CopyQuery, request_copy};
use crate::limits::Permit;
use crate::peers::CopyRequestFailure;
use crate::shared::Shared;

/// Maximum number of engines that a request is sent to before it is refused.
const MAX_OFFERS: usize = 4;
/// `Retry-After` when no engine had a copy in time, in milliseconds: the time of one load from the
/// weight store.
const RETRY_MS: u64 = 300;
/// Lowest rank that engines support.
const LOWEST_RANK: u32 = 9;

/// Sends the request to an engine that has its adapter, and forwards the answer.
pub(super) async fn relay(shared: &Rc<Shared>, request: RelayRequest) -> Response<RelayBody> {
    let Some(key) = request.head.adapter.clone() else {
        return refusal::plain(StatusCode::BAD_REQUEST);
    };
    if let Some(adapter) = &key.adapter {
        let now = shared.now();
        shared.placement.borrow_mut().on_arrival(now, adapter);
    }
    let mut call = ModelCall::new(shared, Rc::new(request), key);
    match call.next_engine(None).await {
        Some(answer) if call.is_resumable() && answer.is_event_stream(&call.request) => {
            resume::resumable(call, answer)
        }
        Some(answer) => forward(&call.shared, &call.request, answer),
        None => call.final_response(),
    }
}

/// State of a request as it is offered to one engine after another.
pub(super) struct ModelCall {
    pub(super) shared: Rc<Shared>,
    pub(super) request: Rc<RelayRequest>,
    key: AdapterKey,
    /// Number of engines the request was sent to.
    offers: usize,
    /// Number of engines that may have run the request.
    runs: u32,
    outcome: StatusCode,
    /// Whether no further engine may be tried.
    is_over: bool,
    /// The engine that ran the request last.
    last: Option<UpstreamName>,
    /// When the request began to wait for an engine: at its arrival, or when its stream broke.
    waits_from: UnixMs,
}

/// Result of offering a request to one engine.
enum OfferOutcome {
    Answered(Box<UpstreamAnswer>),
    /// Another engine may be tried.
    Next,
    /// The request ends here.
    Over,
}

impl ModelCall {
    fn new(shared: &Rc<Shared>, request: Rc<RelayRequest>, key: AdapterKey) -> Self {
        let waits_from = request.arrived_at;
        Self {
            shared: Rc::clone(shared),
            request,
            key,
            offers: 0,
            runs: 0,
            outcome: StatusCode::BAD_GATEWAY,
            is_over: false,
            last: None,
            waits_from,
        }
    }

    /// Whether another engine may resume the stream after a given event.
    fn is_resumable(&self) -> bool {
        self.request.route.repeat.may_run_again()
    }

    /// Whether one more engine may run the request.
    pub(super) fn may_run_again(&self) -> bool {
        self.is_resumable()
            && self.runs < self.request.route.max_attempts
            && self.shared.now() < self.request.deadline
            && suspect::may_be_repeated(&self.shared, &self.request)
    }

    /// Records that the engine that ran the request last failed in the middle of its answer.
    pub(super) fn on_stream_broken(&mut self) {
        let now = self.shared.now();
        self.waits_from = now;
        if let Some(name) = self.last.take() {
            self.shared.loads.borrow_mut().on_failed(now, &name);
        }
    }

    /// Returns the answer of the first engine that accepts the request; engines at their limit are tried
    /// last.
    pub(super) async fn next_engine(
        &mut self,
        resume_after: Option<u64>,
    ) -> Option<UpstreamAnswer> {
        let answer = self.first_answer(Limits::Available, resume_after).await;
        if answer.is_some() || self.is_over {
            return answer;
        }
        let latest = self
            .request
            .permit_wait_until(&self.shared, self.shared.now());
        let (free_at, _) = self.shared.next_at_limit(&self.request.service, &[])?;
        if free_at > latest {
            return None;
        }
        self.first_answer(Limits::AvailableBy(latest), resume_after)
            .await
    }

    /// Returns the answer of the first engine among those within `limits` that accepts the request.
    ///
    /// A copy that is loaded or will be soon is requested from each candidate. If all refuse, it is
    /// requested from the best candidate once more, this time queueing behind other requests.
    async fn first_answer(
        &mut self,
        limits: Limits,
        resume_after: Option<u64>,
    ) -> Option<UpstreamAnswer> {
        let names = candidates(&self.shared, &self.request, &self.key, limits).await;
        let patient = names.first().map(|name| (name, true));
        let in_order = names.iter().map(|name| (name, false)).chain(patient);
        for (name, patient) in in_order {
            let is_late = self.shared.now() >= self.request.deadline || !self.shared.may_start();
            if self.offers >= MAX_OFFERS || is_late {
                self.is_over = true;
            }
            if self.is_over {
                return None;
            }
            if !self.may_have_permit(name, limits) {
                continue;
            }
            match self.offer(name, patient, limits, resume_after).await {
                OfferOutcome::Answered(answer) => return Some(*answer),
                OfferOutcome::Next => {}
                OfferOutcome::Over => self.is_over = true,
            }
        }
        None
    }

    /// Until when the request may wait for a permit of an engine within `limits`.
    fn permit_wait_until(&self, limits: Limits) -> UnixMs {
        let now = self.shared.now();
        match limits {
            Limits::Available => now,
            Limits::AvailableBy(_) => self.request.permit_wait_until(&self.shared, now),
        }
    }

    /// Whether an engine still is within `limits` after other engines were tried.
    fn may_have_permit(&self, name: &UpstreamName, limits: Limits) -> bool {
        let permits = &self.shared.permits;
        let exhausted_until = permits.exhausted_until(self.shared.now(), name);
        exhausted_until.is_none_or(|until| until <= self.permit_wait_until(limits))
    }

    /// Offers the request to an engine: requests a copy, then a permit, and sends it.
    async fn offer(
        &mut self,
        name: &UpstreamName,
        patient: bool,
        limits: Limits,
        resume_after: Option<u64>,
    ) -> OfferOutcome {
        let grant = match self.request_copy(name, patient).await {
            Ok(grant) => grant,
            Err(failure) => {
                self.log_copy_failure(name, failure);
                return OfferOutcome::Next;
            }
        };
        let Some(record) = self.available_record(name) else {
            return OfferOutcome::Next;
        };
        let wait_until = self.permit_wait_until(limits);
        let id = &self.request.head.request_id;
        if self.shared.permit(id, &record, wait_until).await == Permit::Denied {
            return OfferOutcome::Next;
        }
        if self.is_outdated(&grant) {
            return OfferOutcome::Next;
        }
        if self.offers > 0 && !self.shared.retries.spend(&self.request.service) {
            return OfferOutcome::Over;
        }
        self.offers += 1;
        let now = self.shared.now();
        self.shared.loads.borrow_mut().on_sent(now, name);
        self.send(&record, grant, resume_after).await
    }

    /// Returns the engine's record, unless it started leaving or backing off while the request
    /// waited.
    fn available_record(&self, name: &UpstreamName) -> Option<UpstreamRecord> {
        let fleet = self.shared.fleet.borrow();
        let record = fleet.upstream(name)?;
        let is_open = record.stage == UpstreamStage::Ready
            && fleet.backoff_until(self.shared.now(), record).is_none();
        is_open.then(|| record.clone())
    }

    async fn request_copy(
        &self,
        name: &UpstreamName,
        patient: bool,
    ) -> Result<Grant, CopyRequestFailure> {
        let wish = CopyQuery {
            upstream: name,
            key: &self.key,
            rank: self.request.merit.rank(),
            prompt_tokens: self.request.head.prompt_tokens,
            answer_tokens: self.request.head.max_output_tokens,
            shared_parts: long_shared_parts(&self.request.head),
            objective_ms: self.request.route.objective_ms,
            patient,
            waits_from: self.waits_from,
            deadline: self.request.deadline,
        };
        request_copy(&self.shared, &wish).await
    }

    async fn send(
        &mut self,
        record: &UpstreamRecord,
        mut grant: Grant,
        resume_after: Option<u64>,
    ) -> OfferOutcome {
        let (shared, request) = (Rc::clone(&self.shared), Rc::clone(&self.request));
        let granted_ms = shared.now().ms_since(request.arrived_at);
        let options = AttemptOptions {
            rank: Some(request.merit.rank().min(LOWEST_RANK) as u8),
            adapter_version: self.expected_version(grant.version),
            resume_after,
            times_out_at: request.deadline,
        };
        match attempt(&shared, &request, record, options).await {
            Attempt::Answered(answered) => {
                self.runs += 1;
                let status = answered.response.status();
                if status.is_server_error() && self.may_run_again() {
                    self.on_failed(record);
                    return OfferOutcome::Next;
                }
                self.last = Some(record.name.clone());
                let end = AnswerEnd::new(&shared, &request, &record.name, status.into())
                    .with_grant(grant, granted_ms)
                    .with_expected_version(options.adapter_version)
                    .with_slowness(answered.answer.load.map(|load| load.slowness_percent));
                OfferOutcome::Answered(Box::new(UpstreamAnswer {
                    answered: *answered,
                    end,
                }))
            }
            Attempt::NotRun {
                misdirected: true, ..
            } => {
                let mut known = shared.known_copies.borrow_mut();
                known.on_absent(&record.name, &self.key);
                if let Some(guard) = grant.guard.as_mut() {
                    guard.on_absent();
                }
                OfferOutcome::Next
            }
            Attempt::NotRun { .. } => {
                self.on_failed(record);
                OfferOutcome::Next
            }
            Attempt::Withheld => OfferOutcome::Over,
            Attempt::Unknown => {
                self.runs += 1;
                self.on_failed(record);
                if self.may_run_again() {
                    return OfferOutcome::Next;
                }
                OfferOutcome::Over
            }
            Attempt::TooLate => {
                self.runs += 1;
                self.outcome = StatusCode::GATEWAY_TIMEOUT;
                OfferOutcome::Over
            }
        }
    }

    fn on_failed(&self, record: &UpstreamRecord) {
        let now = self.shared.now();
        self.shared.loads.borrow_mut().on_failed(now, &record.name);
    }

    /// Whether a version was required since the holder granted a copy of an older one.
    fn is_outdated(&self, grant: &Grant) -> bool {
        let required = self.shared.required_version(&self.key);
        // A copy that was granted before its holder fell silent may have been replaced since.
        grant.guard.is_some() && grant.version.is_some() && grant.version < required
    }

    /// Returns the version that the engine must have for a copy that was granted with version `granted`; `None`
    /// for any.
    fn expected_version(&self, granted: Option<u64>) -> Option<u64> {
        let fleet = self.shared.fleet.borrow();
        let versions = fleet.versions();
        versions.expected(self.shared.now(), &self.key, granted)
    }

    /// Returns the response for a request that no engine served.
    fn final_response(&self) -> Response<RelayBody> {
        if self.runs > 0 {
            log_end(&self.shared, &self.request, "failed", self.outcome);
            return refusal::plain(self.outcome);
        }
        if let Some(refusal) = suspect::refused(&self.shared, &self.request)
            .or_else(|| admission::refused(&self.shared, &self.request))
        {
            return refusal;
        }
        let unavailable = refusal::unavailable(&self.shared, &self.request);
        let (reason, retry_ms) = match unavailable {
            Some(all) if all.has_limit => ("all engines are at their limit", all.retry_ms),
            Some(all) => ("all engines turned requests away", all.retry_ms),
            None => ("no engine had a copy in time", RETRY_MS),
        };
        refusal::refused(&self.shared, &self.request, reason, retry_ms)
    }

    fn log_copy_failure(&self, upstream: &UpstreamName, failure: CopyRequestFailure) {
        Line::new(&kind::COPY_REQUEST_FAILED)
            .field("id", &self.request.head.request_id)
            .field("upstream", upstream)
            .field("adapter", &self.key)
            .field("outcome", format!("{failure:?}"))
            .log();
    }
}
