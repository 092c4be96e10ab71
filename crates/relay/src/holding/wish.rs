//! A request's wish for a copy on one engine.

use std::rc::Rc;

use monsoonspread_model::fleet::{AdapterKey, PromptPart};
use monsoonspread_model::{UnixMs, UpstreamName};

use super::Ask;
use crate::call::Grant;
use crate::peers::AskFailure;
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
pub struct CopyWish<'a> {
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
pub async fn ask_for_copy(shared: &Rc<Shared>, wish: &CopyWish<'_>) -> Result<Grant, AskFailure> {
    let now = shared.now();
    if wish.key.adapter.is_none() {
        return Ok(UNASKED);
    }
    if shared.loads.borrow().is_silent(now, wish.upstream) {
        return known_copy(shared, wish, AskFailure::Silent);
    }
    let ask = Ask {
        upstream: wish.upstream.clone(),
        key: wish.key.clone(),
        rank: wish.rank,
        prompt_tokens: wish.prompt_tokens,
        shared_parts: wish.shared_parts.to_vec(),
        patient: wish.patient,
        in_time_until: wish.arrived_at + wish.objective_ms.saturating_sub(READ_MS),
        wait_until: wait_until(now, wish),
        ends_by: wish.deadline,
    };
    match shared.holding.ask(shared, &ask).await {
        Ok((guard, running)) => {
            let now = shared.now();
            let mut known = shared.known_copies.borrow_mut();
            known.on_granted(now, wish.upstream, wish.key);
            let mut loads = shared.loads.borrow_mut();
            loads.on_running(now, wish.upstream, running);
            Ok(Grant {
                guard: Some(guard),
                running,
            })
        }
        Err(failure) if failure.is_of_holder() => {
            if failure == AskFailure::Silent {
                let mut loads = shared.loads.borrow_mut();
                loads.on_holder_silent(now, wish.upstream);
            }
            known_copy(shared, wish, failure)
        }
        Err(failure) => Err(failure),
    }
}

/// When the request stops waiting: at once when it waited long enough elsewhere.
fn wait_until(now: UnixMs, wish: &CopyWish<'_>) -> UnixMs {
    let at_most = wish.arrived_at + wish.objective_ms * WAIT_PERCENT / 100;
    wish.deadline.min(at_most).max(now)
}

const UNASKED: Grant = Grant {
    guard: None,
    running: 0,
};

fn known_copy(
    shared: &Shared,
    wish: &CopyWish<'_>,
    failure: AskFailure,
) -> Result<Grant, AskFailure> {
    let known = shared.known_copies.borrow();
    if known.is_known(shared.now(), wish.upstream, wish.key) {
        return Ok(UNASKED);
    }
    Err(failure)
}
