//! Requesting a copy of an adapter for one client request.

use std::rc::Rc;

use monsoonspread_decisions::copies::CopyRefusal;
use monsoonspread_model::fleet::{AdapterKey, PromptPart};
use monsoonspread_model::{UnixMs, UpstreamName};

use super::LocalCopyRequest;
use crate::call::Grant;
use crate::peers::CopyRequestFailure;
use crate::shared::Shared;

/// Maximum total time a request waits for copies at all engines, in percent of its objective.
///
/// A request that starts later misses its objective anyway, but may find a copy nowhere else.
/// Clients abandon a stream that has not begun after four times its objective.
const WAIT_PERCENT: u64 = 250;

/// Time from the grant to the first event on an engine that is not idle, in milliseconds.
const READ_MS: u64 = 200;

/// Parameters of a copy request for one client request.
#[derive(Clone, Copy, Debug)]
pub struct CopyQuery<'a> {
    pub upstream: &'a UpstreamName,
    /// Adapter or base model that the request runs on.
    pub key: &'a AdapterKey,
    /// Rank of the request; 0 is served first.
    pub rank: u32,
    /// Length of its prompt, in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of its answer, in tokens.
    pub answer_tokens: u32,
    /// Leading parts of the prompt that other requests may share, if they are long.
    pub shared_parts: &'a [PromptPart],
    /// Latency objective of the request, in milliseconds.
    pub objective_ms: u64,
    /// Whether to queue behind other requests for a copy.
    pub patient: bool,
    /// When the request began to wait: at its arrival, or when its stream broke.
    pub waits_from: UnixMs,
    /// When the request will be over at the latest.
    pub deadline: UnixMs,
}

/// Requests a copy from the holder of an engine; if the holder is unresponsive, falls back to a
/// copy that was recently granted there.
///
/// # Errors
///
/// Returns why no copy is available.
pub async fn request_copy(
    shared: &Rc<Shared>,
    query: &CopyQuery<'_>,
) -> Result<Grant, CopyRequestFailure> {
    let now = shared.now();
    if query.key.adapter.is_none() {
        return Ok(UNGUARDED);
    }
    if shared.loads.borrow().is_unresponsive(now, query.upstream) {
        return use_known_copy(shared, query, CopyRequestFailure::Silent);
    }
    let request = LocalCopyRequest {
        upstream: query.upstream.clone(),
        key: query.key.clone(),
        min_version: shared.required_version(query.key),
        rank: query.rank,
        prompt_tokens: query.prompt_tokens,
        answer_tokens: query.answer_tokens,
        shared_parts: query.shared_parts.to_vec(),
        patient: query.patient,
        in_time_until: query.waits_from + query.objective_ms.saturating_sub(READ_MS),
        wait_until: shared.last_start_by(wait_until(now, query)).max(now),
        ends_by: query.deadline,
    };
    match shared.holding.request_copy(shared, &request).await {
        Ok((guard, copy)) => {
            let now = shared.now();
            let mut known = shared.known_copies.borrow_mut();
            known.on_granted(now, query.upstream, query.key, copy.version);
            let mut loads = shared.loads.borrow_mut();
            loads.on_running(now, query.upstream, copy.running);
            Ok(Grant {
                guard: Some(guard),
                running: copy.running,
                version: copy.version,
            })
        }
        Err(failure) if failure.is_holder_unavailable() => {
            if failure == CopyRequestFailure::Silent {
                let mut loads = shared.loads.borrow_mut();
                loads.on_holder_unresponsive(now, query.upstream);
            }
            use_known_copy(shared, query, failure)
        }
        Err(failure) => Err(failure),
    }
}

/// Returns when the request stops waiting: immediately if it has waited long enough elsewhere.
fn wait_until(now: UnixMs, query: &CopyQuery<'_>) -> UnixMs {
    let latest = query.waits_from + query.objective_ms * WAIT_PERCENT / 100;
    query.deadline.min(latest).max(now)
}

const UNGUARDED: Grant = Grant {
    guard: None,
    running: 0,
    version: None,
};

fn use_known_copy(
    shared: &Shared,
    query: &CopyQuery<'_>,
    failure: CopyRequestFailure,
) -> Result<Grant, CopyRequestFailure> {
    let known = shared.known_copies.borrow();
    if !known.is_known(shared.now(), query.upstream, query.key) {
        return Err(failure);
    }
    let version = known.version(query.upstream, query.key);
    let is_outdated = version.is_some() && version < shared.required_version(query.key);
    // A holder that answers would have replaced the copy.
    if is_outdated && failure == CopyRequestFailure::Refused(CopyRefusal::Unread) {
        return Err(failure);
    }
    Ok(Grant {
        version,
        ..UNGUARDED
    })
}
