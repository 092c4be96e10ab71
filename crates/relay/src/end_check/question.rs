//! What a check needs to know of an answer.

use monsoonspread_borders::relay::IdentityRequest;
use monsoonspread_model::UnixMs;
use monsoonspread_model::fleet::UpstreamRecord;

use crate::shared::Shared;

/// Asks whether the process that answered a request runs on.
pub struct EndQuestion {
    /// The upstream's entry when the request was sent.
    pub upstream: UpstreamRecord,
    /// The request that asks it; `None` if the upstream can't be asked.
    pub identity: Option<IdentityRequest>,
    /// When the answer is given up.
    pub gives_up_at: UnixMs,
}

impl EndQuestion {
    /// Creates the question about an answer of `upstream` that is given up at `gives_up_at`.
    pub fn new(shared: &Shared, upstream: UpstreamRecord, gives_up_at: UnixMs) -> Self {
        let fleet = shared.fleet.borrow();
        let routes = fleet.routes();
        let service = routes.and_then(|routes| routes.config().service(&upstream.service));
        let dialect = &shared.borders.dialect;
        let identity =
            service.and_then(|service| dialect.identity_request(&upstream.name, service));
        Self {
            upstream,
            identity,
            gives_up_at,
        }
    }
}
