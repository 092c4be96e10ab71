//! Calls under a claim, which run at most once.

use std::collections::VecDeque;
use std::time::Duration;

use monsoonspread_decisions::claims::{
    Claim, ClaimAction, ClaimAnswer, ClaimKey, ClaimRecord, ClaimToken, CreateResult, OutcomeWrite,
    RunResult, body_digest,
};
use monsoonspread_model::{Refusal, UnixMs};
use monsoonspread_platform::{CasOutcome, StoreError, Stored};
use tokio::sync::oneshot;
use tokio::time::sleep;

use super::ClaimBatchCommand;
use super::call::{CallAnswer, CallRequest, ServiceCalls};

type Reply = oneshot::Sender<Result<CallAnswer, Refusal>>;

impl ServiceCalls {
    /// Makes a keyed call and records its outcome; the caller is answered on the way.
    pub(super) async fn make_keyed(&self, request: CallRequest, reply: Reply) {
        let idempotency_key = request.idempotency_key.clone().unwrap_or_default();
        let key = ClaimKey::new(&request.service, &request.caller, &idempotency_key);
        let digest = body_digest(&request.call, &request.body);
        let token = ClaimToken::random(&mut rand::rng());
        let mut claim = Claim::new(key, token, digest, request.deadline_unix_ms);
        let row = self.in_flight.enter(&claim);
        let mut reply = Some(reply);
        let mut actions = VecDeque::from(claim.start(UnixMs::now()));
        while let Some(action) = actions.pop_front() {
            let next = match action {
                ClaimAction::Create(record) => self.create(&mut claim, record).await,
                ClaimAction::Retake {
                    record,
                    expected_mod_revision,
                } => {
                    self.retake(&mut claim, &record, expected_mod_revision)
                        .await
                }
                ClaimAction::Read => self.read(&mut claim).await,
                ClaimAction::ReadAt(at) => {
                    sleep(Duration::from_millis(at.ms_since(UnixMs::now()))).await;
                    self.read(&mut claim).await
                }
                ClaimAction::Run => {
                    let result = run_result(self.make_unkeyed(&request).await);
                    claim.on_run_result(UnixMs::now(), result)
                }
                ClaimAction::WriteOutcome {
                    record,
                    expected_mod_revision,
                } => {
                    let key = claim.key().as_str();
                    let write = self.write(key, &record, expected_mod_revision).await;
                    claim.on_outcome_written(UnixMs::now(), outcome_write(write))
                }
                ClaimAction::Answer(answer) => {
                    if let Some(reply) = reply.take() {
                        let _ = reply.send(call_answer(answer));
                    }
                    Vec::new()
                }
            };
            actions.extend(next);
            row.update(&claim);
        }
    }

    async fn create(&self, claim: &mut Claim, record: ClaimRecord) -> Vec<ClaimAction> {
        let key = claim.key().clone();
        let create = |reply| ClaimBatchCommand::Create { key, record, reply };
        let created = self.claims.ask(create).await;
        let now = UnixMs::now();
        match created.unwrap_or(CreateResult::Unknown) {
            CreateResult::Created(revision) => claim.on_created(now, revision),
            CreateResult::Exists(record, revision) => claim.on_exists(now, &record, revision),
            CreateResult::Unknown => claim.on_write_unknown(now),
            CreateResult::Unreachable => claim.on_store_unreachable(now),
        }
    }

    async fn retake(
        &self,
        claim: &mut Claim,
        record: &ClaimRecord,
        expected_mod_revision: u64,
    ) -> Vec<ClaimAction> {
        let key = claim.key().as_str();
        let write = self.write(key, record, expected_mod_revision).await;
        let now = UnixMs::now();
        match write {
            Ok(CasOutcome::Written { mod_revision }) => claim.on_created(now, Some(mod_revision)),
            Ok(CasOutcome::Conflict { current }) => match current.as_ref().and_then(decode) {
                Some((record, revision)) => claim.on_exists(now, &record, revision),
                None => claim.on_write_unknown(now),
            },
            Err(StoreError::AnswerLost(_)) => claim.on_write_unknown(now),
            Err(_) => claim.on_store_unreachable(now),
        }
    }

    async fn read(&self, claim: &mut Claim) -> Vec<ClaimAction> {
        let read = self.store.get(claim.key().as_str()).await;
        let now = UnixMs::now();
        match read {
            Ok(None) => claim.on_read(now, None),
            Ok(Some(stored)) => match decode(&stored) {
                Some((record, revision)) => claim.on_read(now, Some((&record, revision))),
                None => claim.on_store_unreachable(now),
            },
            Err(_) => claim.on_store_unreachable(now),
        }
    }

    async fn write(
        &self,
        key: &str,
        record: &ClaimRecord,
        expected_mod_revision: u64,
    ) -> Result<CasOutcome, StoreError> {
        let bytes =
            serde_json::to_vec(record).map_err(|error| StoreError::Refused(error.to_string()))?;
        self.store
            .compare_and_swap(key, expected_mod_revision, &bytes)
            .await
    }
}

/// Reads a stored claim with its revision.
pub(super) fn decode(stored: &Stored) -> Option<(ClaimRecord, u64)> {
    let record = serde_json::from_slice(&stored.value).ok()?;
    Some((record, stored.mod_revision))
}

fn run_result(answer: Result<CallAnswer, Refusal>) -> RunResult {
    match answer {
        Ok(answer) => RunResult::Replied {
            status: answer.status,
            content_type: answer.content_type,
            body: answer.body,
        },
        Err(refusal) if refusal.not_run => RunResult::NotRun,
        Err(_) => RunResult::Unknown,
    }
}

fn outcome_write(write: Result<CasOutcome, StoreError>) -> OutcomeWrite {
    match write {
        Ok(CasOutcome::Written { .. }) => OutcomeWrite::Written,
        Ok(CasOutcome::Conflict { .. }) => OutcomeWrite::Conflict,
        Err(StoreError::AnswerLost(_)) => OutcomeWrite::Unknown,
        Err(_) => OutcomeWrite::Unreachable,
    }
}

fn call_answer(answer: ClaimAnswer) -> Result<CallAnswer, Refusal> {
    match answer {
        ClaimAnswer::Replied {
            status,
            content_type,
            body,
            replayed,
        } => Ok(CallAnswer {
            status,
            content_type,
            body,
            replayed,
        }),
        ClaimAnswer::Refused(refusal) => Err(refusal),
    }
}
