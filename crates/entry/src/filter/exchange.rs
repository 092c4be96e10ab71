//! State of a request while the filters process it.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use hyper::Request;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use monsoonspread_model::bundle::Resolved;
use monsoonspread_model::{CallerName, Refusal, RefusalReason, UnixMs};

use super::admission::AdmissionPermit;
use super::{GenerateCall, Route};
use crate::bundle_view::BundleView;

/// Request and the results of the filters applied so far.
pub struct Exchange {
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Time at which the headers had been received.
    pub arrived_at: UnixMs,
    /// Method, path and headers.
    pub head: Parts,
    /// Unread body; `None` after it has been read.
    pub incoming: Option<Incoming>,
    /// Bundle in force when the request arrived; later bundles do not affect the request.
    pub bundle: Arc<BundleView>,
    /// Requested operation; [`Route::Health`] until the route filter has run.
    pub route: Route,
    /// Deadline for the first token, or for the response to a service call.
    pub deadline_unix_ms: UnixMs,
    /// Complete body; empty until it has been read.
    pub body: Bytes,
    pub(super) caller: Option<CallerName>,
    pub(super) call: Option<GenerateCall>,
    pub(super) resolved: Option<Resolved>,
    pub(super) permit: Option<AdmissionPermit>,
}

impl Exchange {
    /// Wraps a request that has just arrived.
    pub fn new(request: Request<Incoming>, peer: SocketAddr, bundle: Arc<BundleView>) -> Self {
        let (head, incoming) = request.into_parts();
        let arrived_at = UnixMs::now();
        Self {
            peer,
            arrived_at,
            head,
            incoming: Some(incoming),
            bundle,
            route: Route::Health,
            deadline_unix_ms: arrived_at,
            body: Bytes::new(),
            caller: None,
            call: None,
            resolved: None,
            permit: None,
        }
    }

    /// Returns the authenticated caller.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the caller has not been authenticated.
    pub fn caller(&self) -> Result<&CallerName, Refusal> {
        self.caller
            .as_ref()
            .ok_or_else(|| Refusal::not_run(RefusalReason::Unauthenticated, "no API key was sent"))
    }

    /// Returns a request header, or `None` if it is missing or not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }
}
