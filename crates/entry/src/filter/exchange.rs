//! A request on its way through the filters.

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

/// A request with everything that the filters found out so far.
pub struct Exchange {
    /// The other end of the connection.
    pub peer: SocketAddr,
    /// When the headers were there.
    pub arrived_at: UnixMs,
    /// Method, path and headers.
    pub head: Parts,
    /// The body before it is read.
    pub incoming: Option<Incoming>,
    /// The bundle that was in force at the arrival; the request keeps it.
    pub bundle: Arc<BundleView>,
    /// What is asked for.
    pub route: Route,
    /// When the first token, or the answer of a call, must be there at the latest.
    pub deadline_unix_ms: UnixMs,
    /// The body after it was read.
    pub body: Bytes,
    pub(super) caller: Option<CallerName>,
    pub(super) call: Option<GenerateCall>,
    pub(super) resolved: Option<Resolved>,
    pub(super) permit: Option<AdmissionPermit>,
}

impl Exchange {
    /// Starts the handling of a request.
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

    /// Who sent the request.
    ///
    /// # Errors
    ///
    /// Refuses when no filter found that out.
    pub fn caller(&self) -> Result<&CallerName, Refusal> {
        self.caller
            .as_ref()
            .ok_or_else(|| Refusal::not_run(RefusalReason::Unauthenticated, "no API key was sent"))
    }

    /// A header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }
}
