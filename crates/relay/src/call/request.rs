//! A fully read client request.

use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Uri};
use monsoonspread_borders::relay::IdentityPath;
use monsoonspread_model::fleet::{CallHead, Merit, PromptPart, Route};
use monsoonspread_model::{Fingerprint, ServiceName, UnixMs};

use super::caller::Caller;
use super::charge::QuotaCharge;
use super::runs::Runs;
use crate::shared::Shared;

/// How long a request of the most urgent rank waits for an upstream at its limit, in percent of its
/// objective.
const PERMIT_WAIT_PERCENT: u64 = 50;
/// Maximum number of times that this wait is halved.
const MAX_HALVINGS: u32 = 16;

/// Time that an answer takes to reach the client, in milliseconds.
const CLIENT_WAY_MS: u64 = 5;

/// Maximum number of prompt parts in a line of the log.
const MAX_LOGGED_PARTS: usize = 16;

/// A fully read client request.
#[derive(Clone)]
pub(super) struct RelayRequest {
    pub(super) method: Method,
    pub(super) uri: Uri,
    /// The client's headers, without hop-by-hop headers.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) head: CallHead,
    pub(super) caller: Caller,
    /// What it counts against the quota of its workspace.
    pub(super) charge: Option<Rc<QuotaCharge>>,
    /// The order in which it is served when there isn't room for all.
    pub(super) merit: Merit,
    /// Identifies all copies of the same request, whose request ids differ.
    pub(super) fingerprint: Fingerprint,
    /// Prompt parts that other requests may have in common, as suspects; the clients' header limit bounds them.
    pub(super) suspect_parts: Rc<[Fingerprint]>,
    pub(super) route: Arc<Route>,
    pub(super) service: ServiceName,
    /// How the service's upstreams are asked which process they are; `None` if the service isn't listed.
    pub(super) identity_path: Option<IdentityPath>,
    /// The upstreams that may have run it.
    pub(super) runs: Runs,
    pub(super) arrived_at: UnixMs,
    /// When the client or the route gives up on the request.
    pub(super) deadline: UnixMs,
}

impl RelayRequest {
    /// Builds the request from its `parts` on `route`; the deadline is the earlier of the client's
    /// and the route's.
    pub(super) fn new(
        parts: Parts,
        body: Bytes,
        head: CallHead,
        caller: Caller,
        route: Arc<Route>,
        service: ServiceName,
        arrived_at: UnixMs,
    ) -> Self {
        let fingerprint = fingerprint(&parts, &body, &route);
        let timeout_ms = route.timeout_ms.min(head.remaining_ms.unwrap_or(u64::MAX));
        let mut headers = parts.headers;
        super::headers::remove_hop_headers(&mut headers);
        Self {
            method: parts.method,
            uri: parts.uri,
            headers,
            body,
            suspect_parts: suspect_parts(&head.prompt_parts),
            head,
            merit: caller.merit(&route),
            caller,
            charge: None,
            fingerprint,
            route,
            service,
            identity_path: None,
            runs: Runs::default(),
            arrived_at,
            deadline: arrived_at + timeout_ms,
        }
    }

    /// Sets the count of the upstreams that may have run it.
    pub(super) fn with_runs(mut self, runs: Runs) -> Self {
        self.runs = runs;
        self
    }

    /// Sets how the service's upstreams are asked which process they are.
    pub(super) fn with_identity_path(mut self, path: Option<IdentityPath>) -> Self {
        self.identity_path = path;
        self
    }

    /// Sets what the request counts against the quota of its workspace.
    pub(super) fn with_charge(mut self, charge: Option<QuotaCharge>) -> Self {
        self.charge = charge.map(Rc::new);
        self
    }

    /// Returns when the answer must be complete to meet the objective.
    ///
    /// The objective counts from the client's first attempt. What the client still waits tells how long ago that
    /// was, as it waits as long as the route allows.
    pub(super) fn in_time_until(&self) -> UnixMs {
        let began_at = self.deadline - self.route.timeout_ms;
        let objective_ms = self.route.objective_ms.saturating_sub(CLIENT_WAY_MS);
        began_at + objective_ms
    }

    /// Returns until when a request that is otherwise ready may wait for an upstream at its limit.
    ///
    /// The rest of its objective is left for the answer. Each rank waits half as long as the one before
    /// it, so that the less urgent are refused first.
    pub(super) fn permit_wait_until(&self, shared: &Shared, now: UnixMs) -> UnixMs {
        let patience_ms = self.route.objective_ms * PERMIT_WAIT_PERCENT / 100;
        let patience_ms = patience_ms >> self.merit.rank().min(MAX_HALVINGS);
        let latest = self.deadline.min(now + patience_ms);
        shared.last_start_by(latest)
    }
}

/// Lists the first parts of a prompt for the log, and how many there are, without the last one, which is the
/// request's own.
pub(super) fn part_list(parts: &[PromptPart]) -> String {
    let parts = shared_parts(parts);
    let ids = parts.iter().take(MAX_LOGGED_PARTS);
    let ids: Vec<String> = ids.map(|part| Fingerprint(part.id).to_string()).collect();
    let more = parts.len() - ids.len();
    match more {
        0 => ids.join(","),
        _ => format!("{},+{more}", ids.join(",")),
    }
}

fn suspect_parts(parts: &[PromptPart]) -> Rc<[Fingerprint]> {
    let mut known = HashSet::new();
    let suspects = shared_parts(parts).iter().map(|part| Fingerprint(part.id));
    suspects.filter(|part| known.insert(*part)).collect()
}

fn shared_parts(parts: &[PromptPart]) -> &[PromptPart] {
    parts.split_last().map_or(&[], |(_last, shared)| shared)
}

/// Hashes method, host, path, query and body, which all copies of a request share.
fn fingerprint(parts: &Parts, body: &[u8], route: &Route) -> Fingerprint {
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    Fingerprint::of([
        parts.method.as_str().as_bytes(),
        route.host.as_bytes(),
        path.as_bytes(),
        body,
    ])
}
