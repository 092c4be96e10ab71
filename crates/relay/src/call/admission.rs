//! Admission of requests by their keys.

use hyper::{Response, StatusCode};
use monsoonspread_decisions::config_age::KeyVerdict;
use monsoonspread_decisions::route_table::RouteTable;
use monsoonspread_model::fleet::{CallHead, PresentedKey, Route};

use super::caller::{Caller, identify};
use super::request::RelayRequest;
use super::{RelayBody, refusal};
use crate::event::{Line, kind};
use crate::shared::Shared;

/// `Retry-After` while a newer configuration may admit the request, in milliseconds: within this time another
/// instance is found, or this one hears from the store.
const UNCONFIRMED_RETRY_MS: u64 = 500;

/// Why a request is refused because of its key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum KeyRefusal {
    /// No workspace holds the key.
    Unknown,
    /// A newer configuration may say otherwise.
    Unconfirmed,
    /// The configuration in force treats the caller in another way than the one at its arrival.
    Changed,
}

impl KeyRefusal {
    /// Returns the refusal of a request whose key is held, or is not; `None` if it may be served.
    fn of(shared: &Shared, is_held: bool) -> Option<Self> {
        match shared.key_verdict(is_held) {
            KeyVerdict::Admitted => None,
            KeyVerdict::Unknown => Some(Self::Unknown),
            KeyVerdict::Unconfirmed => Some(Self::Unconfirmed),
        }
    }

    fn outcome(self) -> &'static str {
        match self {
            Self::Unknown => "unknown_key",
            Self::Unconfirmed => "unconfirmed",
            Self::Changed => "changed",
        }
    }

    /// Counts and logs the refusal, and returns the response.
    fn response(self, shared: &Shared, route: &Route, head: &CallHead) -> Response<RelayBody> {
        shared.metrics.count("callers", self.outcome());
        let response = match self {
            Self::Unknown => refusal::plain(StatusCode::UNAUTHORIZED),
            Self::Unconfirmed | Self::Changed => refusal::not_run(UNCONFIRMED_RETRY_MS),
        };
        let key = match head.key {
            PresentedKey::Absent => "absent",
            PresentedKey::One(_) => "present",
            PresentedKey::Malformed => "malformed",
        };
        Line::new(&kind::CALLER_REFUSED)
            .field("id", &head.request_id)
            .field("route", &route.name)
            .field("reason", self.outcome())
            .field("key", key)
            .field("version", config_version(shared))
            .field("confirmed_ms_ago", confirmed_ms_ago(shared))
            .log();
        response
    }
}

/// Finds out who sent a request that arrived on `route`.
///
/// # Errors
///
/// Returns the response to a request whose key doesn't admit it.
pub(super) fn admit(
    shared: &Shared,
    routes: &RouteTable,
    route: &Route,
    head: &CallHead,
) -> Result<Caller, Box<Response<RelayBody>>> {
    let caller = identify(routes, route, head);
    let refusal = match &caller {
        Some(Caller::Anybody) => return Ok(Caller::Anybody),
        Some(Caller::Public) => {
            shared.metrics.count("callers", "public");
            return Ok(Caller::Public);
        }
        Some(Caller::Member(_)) => KeyRefusal::of(shared, true),
        None => KeyRefusal::of(shared, false),
    };
    match (refusal, caller) {
        (None, Some(caller)) => {
            shared.metrics.count("callers", "admitted");
            Ok(caller)
        }
        (refusal, _) => {
            let refusal = refusal.unwrap_or(KeyRefusal::Unknown);
            Err(Box::new(refusal.response(shared, route, head)))
        }
    }
}

/// Whether the request's key still admits it, now that it is about to be sent to an upstream.
pub(super) fn may_be_sent(shared: &Shared, request: &RelayRequest) -> bool {
    refusal_now(shared, request).is_none()
}

/// Returns the response to a request whose key admits it no longer; `None` if it may be sent.
pub(super) fn refused(shared: &Shared, request: &RelayRequest) -> Option<Response<RelayBody>> {
    let refusal = refusal_now(shared, request)?;
    Some(refusal.response(shared, &request.route, &request.head))
}

fn refusal_now(shared: &Shared, request: &RelayRequest) -> Option<KeyRefusal> {
    let routes = shared.fleet.borrow().routes().cloned()?;
    let has_workspaces = !routes.config().workspaces.is_empty();
    match &request.caller {
        Caller::Public => None,
        // The key would be passed on to the upstream.
        Caller::Anybody => has_workspaces.then_some(KeyRefusal::Changed),
        Caller::Member(_) if !has_workspaces => None,
        Caller::Member(member) if member.config_version == routes.config().version => {
            KeyRefusal::of(shared, true)
        }
        Caller::Member(member) => match routes.workspace_of(&member.key) {
            Some(workspace) if workspace.name != member.workspace => Some(KeyRefusal::Changed),
            holder => KeyRefusal::of(shared, holder.is_some()),
        },
    }
}

fn config_version(shared: &Shared) -> u64 {
    let fleet = shared.fleet.borrow();
    fleet.routes().map_or(0, |routes| routes.config().version)
}

fn confirmed_ms_ago(shared: &Shared) -> String {
    let age_ms = shared.config_age_ms();
    age_ms.map_or_else(|| "never".to_owned(), |ms| ms.to_string())
}
