//! Refusals of keyed calls.

use monsoonspread_model::{Refusal, RefusalReason, UnixMs};

pub(super) fn deadline_passed() -> Refusal {
    Refusal::not_run(
        RefusalReason::DeadlineExceeded,
        "the call's deadline passed before it could run",
    )
}

pub(super) fn not_run() -> Refusal {
    Refusal::not_run(
        RefusalReason::Unavailable,
        "the service did not run the call",
    )
}

pub(super) fn key_conflict() -> Refusal {
    Refusal::not_run(
        RefusalReason::KeyConflict,
        "the idempotency key belongs to a call with another body",
    )
}

pub(super) fn outcome_unknown() -> Refusal {
    Refusal::may_have_run(
        RefusalReason::OutcomeUnknown,
        "a call with this idempotency key may have run, its outcome is not known",
    )
}

/// Retry delay for callers while the key-value service can't be reached, in milliseconds.
const STORE_RETRY_MS: u64 = 1_000;

pub(super) fn store_unreachable(now: UnixMs) -> Refusal {
    Refusal::not_run(
        RefusalReason::StoreUnavailable,
        "the key-value service can't be reached to claim the idempotency key; this call was not \
         run, an earlier one with the same key may have been",
    )
    .with_retry_at(now + STORE_RETRY_MS)
}
