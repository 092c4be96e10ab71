//! Keyed calls, which run at most once under a claim.

use std::collections::VecDeque;
use std::pin::pin;
use std::time::Duration;

use monsoonspread_borders::{CasOutcome, StoreError, Stored};
use monsoonspread_decisions::claims::{
    Claim, ClaimAction, ClaimAnswer, ClaimKey, ClaimRecord, ClaimToken, CreateResult, OutcomeWrite,
    RunResult, body_digest,
};
use monsoonspread_model::{Refusal, UnixMs};
use tokio::sync::oneshot;
use tokio::time::sleep;

use super::ClaimBatchCommand;
use super::call::{CallAnswer, CallRequest, ServiceCalls};

type Reply = oneshot::Sender<Result<CallAnswer, Refusal>>;

/// Result of an operation that a claim requested.
enum OperationResult {
    Created(CreateResult),
    Retaken(Result<CasOutcome, StoreError>),
    Read(Result<Option<Stored>, StoreError>),
    Ran(RunResult),
    Recorded(OutcomeWrite),
}

impl ServiceCalls {
    /// Makes a keyed call and records its outcome. The caller is answered as soon as the claim has
    /// an answer, at the latest at the deadline; the operation in progress still completes.
    pub(super) async fn make_keyed(&self, request: CallRequest, reply: Reply) {
        let idempotency_key = request.idempotency_key.clone().unwrap_or_default();
        let key = ClaimKey::new(&request.service, &request.caller, &idempotency_key);
        let digest = body_digest(&request.call, &request.body);
        let token = ClaimToken::random(&mut rand::rng());
        let mut claim = Claim::new(key, token, digest, request.deadline_unix_ms);
        let row = self.in_flight.register(&claim);
        let mut reply = Some(reply);
        let mut actions = VecDeque::from(claim.start(UnixMs::now()));
        while let Some(action) = actions.pop_front() {
            if let ClaimAction::Answer(answer) = action {
                send(&mut reply, answer);
                continue;
            }
            let key = claim.key().clone();
            let mut operation = pin!(self.run_operation(&key, &request, action));
            let operation_result = tokio::select! {
                operation_result = &mut operation => operation_result,
                () = sleep_until(request.deadline_unix_ms), if reply.is_some() => {
                    actions.extend(claim.on_deadline(UnixMs::now()));
                    send_first(&mut reply, &mut actions);
                    operation.await
                }
            };
            if let Some(operation_result) = operation_result {
                actions.extend(apply_result(&mut claim, operation_result));
            }
            row.update(&claim);
        }
    }

    async fn run_operation(
        &self,
        key: &ClaimKey,
        request: &CallRequest,
        action: ClaimAction,
    ) -> Option<OperationResult> {
        let operation_result = match action {
            ClaimAction::Create(record) => OperationResult::Created(self.create(key, record).await),
            ClaimAction::Retake {
                record,
                expected_mod_revision,
            } => OperationResult::Retaken(
                self.write(key.as_str(), &record, expected_mod_revision)
                    .await,
            ),
            ClaimAction::Read => OperationResult::Read(self.store.get(key.as_str()).await),
            ClaimAction::ReadAt(at) => {
                sleep_until(at).await;
                OperationResult::Read(self.store.get(key.as_str()).await)
            }
            ClaimAction::Run => OperationResult::Ran(run_result(self.make_unkeyed(request).await)),
            ClaimAction::WriteOutcome {
                record,
                expected_mod_revision,
            } => {
                let write = self
                    .write(key.as_str(), &record, expected_mod_revision)
                    .await;
                OperationResult::Recorded(outcome_write(write))
            }
            ClaimAction::Answer(_) => return None,
        };
        Some(operation_result)
    }

    async fn create(&self, key: &ClaimKey, record: ClaimRecord) -> CreateResult {
        let key = key.clone();
        let create = |reply| ClaimBatchCommand::Create { key, record, reply };
        let created = self.claims.ask(create).await;
        created.unwrap_or(CreateResult::Unknown)
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

/// Reports the result of an operation to the claim.
fn apply_result(claim: &mut Claim, operation_result: OperationResult) -> Vec<ClaimAction> {
    let now = UnixMs::now();
    match operation_result {
        OperationResult::Created(CreateResult::Created(revision)) => {
            claim.on_created(now, revision)
        }
        OperationResult::Created(CreateResult::Exists(record, revision)) => {
            claim.on_exists(now, &record, revision)
        }
        OperationResult::Created(CreateResult::Unknown) => claim.on_write_unknown(now),
        OperationResult::Created(CreateResult::Unreachable) => claim.on_store_unreachable(now),
        OperationResult::Retaken(write) => apply_retake_result(claim, now, write),
        OperationResult::Read(read) => apply_read_result(claim, now, read),
        OperationResult::Ran(result) => claim.on_run_result(now, result),
        OperationResult::Recorded(write) => claim.on_outcome_written(now, write),
    }
}

fn apply_retake_result(
    claim: &mut Claim,
    now: UnixMs,
    write: Result<CasOutcome, StoreError>,
) -> Vec<ClaimAction> {
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

fn apply_read_result(
    claim: &mut Claim,
    now: UnixMs,
    read: Result<Option<Stored>, StoreError>,
) -> Vec<ClaimAction> {
    match read {
        Ok(None) => claim.on_read(now, None),
        Ok(Some(stored)) => match decode(&stored) {
            Some((record, revision)) => claim.on_read(now, Some((&record, revision))),
            None => claim.on_store_unreachable(now),
        },
        Err(_) => claim.on_store_unreachable(now),
    }
}

async fn sleep_until(at: UnixMs) {
    sleep(Duration::from_millis(at.ms_since(UnixMs::now()))).await;
}

/// Sends the answer if the first action is one.
fn send_first(reply: &mut Option<Reply>, actions: &mut VecDeque<ClaimAction>) {
    let is_answer = |action: &mut ClaimAction| matches!(action, ClaimAction::Answer(_));
    if let Some(ClaimAction::Answer(answer)) = actions.pop_front_if(is_answer) {
        send(reply, answer);
    }
}

fn send(reply: &mut Option<Reply>, answer: ClaimAnswer) {
    if let Some(reply) = reply.take() {
        let _ = reply.send(call_answer(answer));
    }
}

/// Decodes a stored claim record and returns it with the revision of its last write; `None` when it
/// is malformed.
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
