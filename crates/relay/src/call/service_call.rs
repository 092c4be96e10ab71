//! Requests to plain services.

use std::rc::Rc;

use hyper::{Response, StatusCode};
use monsoonspread_borders::relay::ServerLoad;
use monsoonspread_decisions::room::PlaceEnd;
use monsoonspread_model::fleet::UpstreamRecord;
use monsoonspread_model::{UnixMs, UpstreamName};

use super::answer::{AnswerEnd, ServiceSlot};
use super::attempt::{Attempt, AttemptOptions, attempt};
use super::forward::{forward, log_end};
use super::request::RelayRequest;
use super::upstream_answer::UpstreamAnswer;
use super::{RelayBody, admission, refusal, suspect};
use crate::limits::Permit;
use crate::room::{PlaceAsk, Placed};
use crate::shared::Shared;

/// `Retry-After` when no server accepted the request, in milliseconds: the time a server needs to
/// work off a full queue.
const RETRY_MS: u64 = 300;
/// Maximum number of servers that a request is offered to before it is refused.
const MAX_OFFERS: usize = 4;
/// Maximum number of servers at their limit that a request requests a later permit for.
const MAX_WAITS: usize = 2;
/// How long a repeatable call waits for one server while another may be tried, in multiples of its
/// objective.
const PATIENCE_OBJECTIVES: u64 = 2;

/// Sends the request to a server of its service, and forwards the answer.
pub(super) async fn relay(shared: &Rc<Shared>, request: RelayRequest) -> Response<RelayBody> {
    let repeatable = request.route.repeat.may_run_again();
    let mut tried: Vec<UpstreamName> = Vec::new();
    let mut runs = 0;
    let mut no_place = None;
    for offer in 0..MAX_OFFERS {
        if offer > 0 && !shared.retries.spend(&request.service) {
            break;
        }
        let (record, slot) = match offered(shared, &request, repeatable, &tried).await {
            Offer::To(offered) => *offered,
            Offer::Refused { wait_ms, retry_ms } => {
                no_place = Some((wait_ms, retry_ms));
                break;
            }
            Offer::Nobody => break,
        };
        tried.push(record.name.clone());
        let may_run_again = repeatable && runs + 1 < request.route.max_attempts;
        let options = AttemptOptions {
            rank: None,
            adapter_version: None,
            resume_after: None,
            times_out_at: times_out_at(shared.now(), &request, may_run_again),
        };
        match attempt(shared, &request, &record, options).await {
            Attempt::Answered(answered) => {
                runs += 1;
                let status = answered.response.status();
                on_load(shared, &request, &slot, answered.answer.load);
                let failed = status.is_server_error();
                if failed && may_run_again && shared.retries.has_one(&request.service) {
                    drop(answered);
                    end(shared, slot, None);
                    continue;
                }
                let end = AnswerEnd::new(shared, &request, &record.name, status.into())
                    .with_load(answered.answer.load)
                    .with_slot(Some(slot));
                let answer = UpstreamAnswer {
                    answered: *answered,
                    end,
                };
                return forward(shared, &request, answer);
            }
            Attempt::NotRun { load, .. } => {
                on_load(shared, &request, &slot, load);
                place_ended(&slot, load.map_or(PlaceEnd::Failed, |_| PlaceEnd::Rejected));
                end(shared, slot, None);
                if !repeatable && offer > 0 && load.is_some() {
                    // Full servers rejected it twice; more offers would cost others their retries.
                    break;
                }
            }
            Attempt::Withheld => {
                // A withheld request is no evidence about the server.
                end(shared, slot, Some(0));
                break;
            }
            Attempt::Unknown | Attempt::TooLate => {
                runs += 1;
                place_ended(&slot, PlaceEnd::Failed);
                end(shared, slot, None);
                let may_run_again = may_run_again && suspect::may_be_repeated(shared, &request);
                if !may_run_again || shared.now() >= request.deadline {
                    return failed(shared, &request);
                }
            }
        }
    }
    if runs > 0 {
        return failed(shared, &request);
    }
    let refusal = suspect::refused(shared, &request);
    if let Some(refusal) = refusal.or_else(|| admission::refused(shared, &request)) {
        return refusal;
    }
    match no_place {
        Some((wait_ms, retry_ms)) => refusal::no_place(shared, &request, wait_ms, retry_ms),
        None => refused(shared, &request),
    }
}

/// Where a call may be sent.
enum Offer {
    To(Box<(UpstreamRecord, ServiceSlot)>),
    /// No place is free in time.
    Refused {
        wait_ms: u64,
        retry_ms: u64,
    },
    Nobody,
}

/// Picks a server: the one that a keeper grants where the service is contended.
async fn offered(
    shared: &Rc<Shared>,
    request: &RelayRequest,
    repeatable: bool,
    tried: &[UpstreamName],
) -> Offer {
    let ask = PlaceAsk {
        id: &request.head.request_id,
        service: &request.service,
        merit: request.merit,
        workspace: request.caller.workspace(),
        in_time_until: request.in_time_until(),
        ends_by: shared.useful_until(request.deadline),
    };
    match shared.place(ask).await {
        Placed::Refused {
            wait_ms,
            return_ms: retry_ms,
        } => return Offer::Refused { wait_ms, retry_ms },
        Placed::At(server, place) => {
            let is_granted =
                |name: &UpstreamName| *name == server && shared.unavailable_until(name).is_none();
            if let Some((record, mut slot)) = pick(shared, request, repeatable, &[], is_granted) {
                slot.place = Some(place);
                return Offer::To(Box::new((record, slot)));
            }
        }
        Placed::Direct => {}
    }
    let permitted = permitted(shared, request, repeatable, tried).await;
    permitted.map_or(Offer::Nobody, |offered| Offer::To(Box::new(offered)))
}

fn on_load(shared: &Shared, request: &RelayRequest, slot: &ServiceSlot, load: Option<ServerLoad>) {
    shared.on_server_load(&request.service, &slot.server, load);
    if let Some(place) = &slot.place {
        place.on_load(load);
    }
}

fn place_ended(slot: &ServiceSlot, end: PlaceEnd) {
    if let Some(place) = &slot.place {
        place.on_end(end);
    }
}

/// Picks a server that permits the request: at once if there is one, otherwise the one whose next
/// permit is free first.
async fn permitted(
    shared: &Rc<Shared>,
    request: &RelayRequest,
    repeatable: bool,
    tried: &[UpstreamName],
) -> Option<(UpstreamRecord, ServiceSlot)> {
    let id = &request.head.request_id;
    let is_available = |server: &UpstreamName| shared.unavailable_until(server).is_none();
    let mut excluded = tried.to_vec();
    while let Some((record, slot)) = pick(shared, request, repeatable, &excluded, is_available) {
        if shared.permit(id, &record, shared.now()).await == Permit::Granted {
            return Some((record, slot));
        }
        cancel(shared, &slot);
        excluded.push(record.name);
    }
    let wait_until = request.permit_wait_until(shared, shared.now());
    for _ in 0..MAX_WAITS {
        let (free_at, next) = shared.next_at_limit(&request.service, tried)?;
        if free_at > wait_until {
            return None;
        }
        let is_next = |server: &UpstreamName| *server == next;
        let (record, slot) = pick(shared, request, repeatable, tried, is_next)?;
        if shared.permit(id, &record, wait_until).await == Permit::Granted {
            return Some((record, slot));
        }
        cancel(shared, &slot);
    }
    None
}

fn pick(
    shared: &Shared,
    request: &RelayRequest,
    repeatable: bool,
    tried: &[UpstreamName],
    may_be_used: impl Fn(&UpstreamName) -> bool,
) -> Option<(UpstreamRecord, ServiceSlot)> {
    let now = shared.now();
    let fleet = shared.fleet.borrow();
    let unusable = fleet
        .ready(&request.service)
        .filter(|server| !may_be_used(&server.name))
        .map(|server| server.name.clone());
    let excluded: Vec<UpstreamName> = tried.iter().cloned().chain(unusable).collect();
    let mut router = shared.router.borrow_mut();
    let server = router
        .pick(now, &request.service, repeatable, &excluded)
        .ok()?;
    let Some(record) = fleet.upstream(&server).cloned() else {
        router.on_end(now, &server, repeatable, None);
        return None;
    };
    let slot = ServiceSlot {
        server,
        repeatable,
        sent_at: now,
        place: None,
    };
    Some((record, slot))
}

/// Releases the slot of a request that was not sent.
fn cancel(shared: &Shared, slot: &ServiceSlot) {
    let mut router = shared.router.borrow_mut();
    router.on_cancelled(&slot.server, slot.repeatable);
}

fn times_out_at(now: UnixMs, request: &RelayRequest, may_run_again: bool) -> UnixMs {
    if !may_run_again {
        return request.deadline;
    }
    let patience_ms = request.route.objective_ms * PATIENCE_OBJECTIVES;
    request.deadline.min(now + patience_ms)
}

fn end(shared: &Shared, slot: ServiceSlot, latency_ms: Option<u64>) {
    let mut router = shared.router.borrow_mut();
    router.on_end(shared.now(), &slot.server, slot.repeatable, latency_ms);
}

fn failed(shared: &Shared, request: &RelayRequest) -> Response<RelayBody> {
    let status = if shared.now() >= request.deadline {
        StatusCode::GATEWAY_TIMEOUT
    } else {
        StatusCode::BAD_GATEWAY
    };
    log_end(shared, request, "failed", status);
    refusal::plain(status)
}

fn refused(shared: &Shared, request: &RelayRequest) -> Response<RelayBody> {
    let (reason, retry_ms) = match refusal::unavailable(shared, request) {
        Some(all) if all.has_limit => ("all servers are at their limit", all.retry_ms),
        Some(all) => ("all servers turned requests away", all.retry_ms),
        None => ("no server took it", RETRY_MS),
    };
    refusal::refused(shared, request, reason, retry_ms)
}
