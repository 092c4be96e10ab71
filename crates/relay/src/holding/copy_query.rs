//! A request's wish for a copy on one engine.

use std::rc::Rc;

use monsoonspread_model::fleet::{AdapterKey, PromptPart};
use monsoonspread_model::{UnixMs, UpstreamName};

use super::LocalCopyRequest;
use crate::call::Grant;
use crate::peers::CopyRequestFailure;
use crate::shared::Shared;

/// Part of its objective that a request waits for copies, at all engines together, in percent.
///
/// One that starts later is late anyway, but may find a copy nowhere else; clients leave a
/// stream that has not begun after four times its objective.
const WAIT_PERCENT: u64 = 250;

/// Time from the leave to send a request to its first event on an engine that is not idle, in
/// milliseconds.
const READ_MS: u64 = 200;

/// A request's wish for a copy on one engine.
#[derive(Clone, Copy, Debug)]
pub struct CopyQuery<'a> {
    /// The engine.
    pub upstream: &'a UpstreamName,
    /// What the request runs on.
    pub key: &'a AdapterKey,
    /// Its rank, 0 first.
    pub rank: u32,
    /// Length of its prompt.
    pub prompt_tokens: u32,
    /// Leading parts of the prompt that other requests may share, where they are long.
    pub shared_parts: &'a [PromptPart],
    /// Its objective, in milliseconds.
    pub objective_ms: u64,
    /// It waits for a copy behind others.
    pub patient: bool,
    /// When it arrived.
    pub arrived_at: UnixMs,
    /// When it is surely over.
    pub deadline: UnixMs,
}

/// Asks the holder of an engine for a copy; without a holder's word, one that was there a moment
/// ago is used.
///
/// # Errors
///
/// Tells why there is no copy.
pub async fn request_copy(
    shared: &Rc<Shared>,
    query: &CopyQuery<'_>,
) -> Result<Grant, CopyRequestFailure> {
    let now = shared.now();
    if query.key.adapter.is_none() {
        return Ok(UNGUARDED);
    }
    if shared.loads.borrow().is_silent(now, query.upstream) {
        return use_known_copy(shared, query, CopyRequestFailure::Silent);
    }
    let request = LocalCopyRequest {
        upstream: query.upstream.clone(),
        key: query.key.clone(),
        rank: query.rank,
        prompt_tokens: query.prompt_tokens,
        shared_parts: query.shared_parts.to_vec(),
        patient: query.patient,
        in_time_until: query.arrived_at + query.objective_ms.saturating_sub(READ_MS),
        wait_until: wait_until(now, query),
        ends_by: query.deadline,
    };
    match shared.holding.request_copy(shared, &request).await {
        Ok((guard, running)) => {
            let now = shared.now();
            let mut known = shared.known_copies.borrow_mut();
            known.on_granted(now, query.upstream, query.key);
            let mut loads = shared.loads.borrow_mut();
            loads.on_running(now, query.upstream, running);
            Ok(Grant {
                guard: Some(guard),
                running,
            })
        }
        Err(failure) if failure.is_holder_unavailable() => {
            if failure == CopyRequestFailure::Silent {
                let mut loads = shared.loads.borrow_mut();
                loads.on_holder_silent(now, query.upstream);
            }
            use_known_copy(shared, query, failure)
        }
        Err(failure) => Err(failure),
    }
}

/// When the request stops waiting: at once when it waited long enough elsewhere.
fn wait_until(now: UnixMs, query: &CopyQuery<'_>) -> UnixMs {
    let latest = query.arrived_at + query.objective_ms * WAIT_PERCENT / 100;
    query.deadline.min(latest).max(now)
}

const UNGUARDED: Grant = Grant {
    guard: None,
    running: 0,
};

fn use_known_copy(
    shared: &Shared,
    query: &CopyQuery<'_>,
    failure: CopyRequestFailure,
) -> Result<Grant, CopyRequestFailure> {
    let known = shared.known_copies.borrow();
    if known.is_known(shared.now(), query.upstream, query.key) {
        return Ok(UNGUARDED);
    }
    Err(failure)
}
