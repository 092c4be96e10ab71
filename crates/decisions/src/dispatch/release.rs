//! Release of a request's grants, pending grant requests and generations.

use monsoonspread_model::UpstreamName;
use monsoonspread_model::message::{GrantId, GrantOutcome, GrantReturn, RequestId};

use super::action::DispatchAction;
use super::attempt::Attempt;
use super::state::RequestState;

/// Releases everything that a request still holds.
pub(super) fn release(mut state: RequestState, actions: &mut Vec<DispatchAction>) {
    let request = state.request.request;
    for attempt in std::mem::take(&mut state.attempts) {
        cancel(request, &attempt, actions);
    }
    withdraw_pending(&mut state, actions);
}

pub(super) fn cancel(request: RequestId, attempt: &Attempt, actions: &mut Vec<DispatchAction>) {
    actions.push(DispatchAction::Cancel {
        request,
        attempt: attempt.id,
    });
    let back = return_without_stats(
        &attempt.upstream,
        attempt.held.grant,
        GrantOutcome::Cancelled,
    );
    actions.push(DispatchAction::ReturnGrant(back));
}

pub(super) fn withdraw_pending(state: &mut RequestState, actions: &mut Vec<DispatchAction>) {
    for pending in std::mem::take(&mut state.pending_grants) {
        withdraw(&pending.upstream, state.request.request, actions);
    }
}

pub(super) fn withdraw(
    upstream: &UpstreamName,
    request: RequestId,
    actions: &mut Vec<DispatchAction>,
) {
    actions.push(DispatchAction::Withdraw {
        upstream: upstream.clone(),
        request,
    });
}

/// The return of a grant without measurements.
pub(super) fn return_without_stats(
    upstream: &UpstreamName,
    grant: GrantId,
    outcome: GrantOutcome,
) -> GrantReturn {
    GrantReturn {
        upstream: upstream.clone(),
        grant,
        outcome,
        first_token_ms: None,
        token_gap_us: None,
        tokens: 0,
    }
}
