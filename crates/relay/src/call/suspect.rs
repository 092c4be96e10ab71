//! Admission of requests that are suspected of crashing upstreams.

use hyper::Response;
use monsoonspread_decisions::quarantine::Admission;
use monsoonspread_model::{Fingerprint, UnixMs};

use super::request::RelayRequest;
use super::{RelayBody, refusal};
use crate::event::{Line, kind};
use crate::shared::Shared;

/// `Retry-After` while another copy of a suspect request is running, in milliseconds: the time
/// until a further crash would be detected.
const COPY_RUNS_RETRY_MS: u64 = 1_000;

/// Whether the request may be sent to an upstream now.
pub(super) fn may_be_sent(shared: &Shared, request: &RelayRequest) -> bool {
    let now = shared.now();
    let parts = &request.suspect_parts;
    matches!(
        shared.suspects.admission(now, request.fingerprint),
        Admission::Unrestricted | Admission::SingleAttempt
    ) && shared.suspects.refused_part(now, parts).is_none()
}

/// Whether the request may be sent to another upstream after it may have run on one.
pub(super) fn may_be_repeated(shared: &Shared, request: &RelayRequest) -> bool {
    let now = shared.now();
    shared.suspects.admission(now, request.fingerprint) == Admission::Unrestricted
        && shared
            .suspects
            .may_repeat_parts(now, &request.suspect_parts)
}

/// Returns the response to a request that may not be sent; `None` if it may.
pub(super) fn refused(shared: &Shared, request: &RelayRequest) -> Option<Response<RelayBody>> {
    let now = shared.now();
    if let Some((part, until)) = shared.suspects.refused_part(now, &request.suspect_parts) {
        return Some(refused_for_part(shared, request, part, until));
    }
    let (outcome, reason, retry_ms) = match shared.suspects.admission(now, request.fingerprint) {
        Admission::Unrestricted | Admission::SingleAttempt => return None,
        Admission::RetryLater => ("copy_runs", "a copy of it runs", COPY_RUNS_RETRY_MS),
        Admission::Refused(until) => (
            "quarantined",
            "upstreams ended under it",
            until.ms_since(now),
        ),
    };
    shared.metrics.count("calls", outcome);
    Line::new(&kind::CALL_REFUSED)
        .field("id", &request.head.request_id)
        .field("route", &request.route.name)
        .field("reason", reason)
        .field("fingerprint", request.fingerprint)
        .field(
            "evidence",
            shared.suspects.evidence(now, request.fingerprint),
        )
        .field("retry_ms", retry_ms)
        .log();
    Some(refusal::not_run(retry_ms))
}

fn refused_for_part(
    shared: &Shared,
    request: &RelayRequest,
    part: Fingerprint,
    until: UnixMs,
) -> Response<RelayBody> {
    let now = shared.now();
    let retry_ms = until.ms_since(now);
    shared.metrics.count("calls", "quarantined");
    Line::new(&kind::CALL_REFUSED)
        .field("id", &request.head.request_id)
        .field("route", &request.route.name)
        .field("reason", "upstreams ended under a part of its prompt")
        .field("part", part)
        .field("evidence", shared.suspects.part_evidence(now, part))
        .field("retry_ms", retry_ms)
        .log();
    refusal::not_run(retry_ms)
}
