//! What a check needs to know of an answer.

use monsoonspread_borders::relay::{IdentityPath, IdentityRequest};
use monsoonspread_model::UnixMs;
use monsoonspread_model::fleet::UpstreamRecord;

use crate::shared::Shared;

/// Asks whether the process that answered a request runs on.
///
/// It holds facts about that request only: what is listed or configured now may have changed since.
pub struct EndQuestion {
    /// The upstream's entry when the request was sent.
    pub upstream: UpstreamRecord,
    /// The request that asks it; `None` if the upstream can't be named in one.
    pub identity: Option<IdentityRequest>,
    /// When the answer is given up.
    pub gives_up_at: UnixMs,
}

impl EndQuestion {
    /// Creates the question about an answer of `upstream`, which is asked at the path that its service had when the
    /// request arrived.
    pub fn new(shared: &Shared, upstream: UpstreamRecord, path: &IdentityPath) -> Self {
        let dialect = &shared.borders.dialect;
        Self {
            identity: dialect.identity_request(&upstream.name, path),
            upstream,
            gives_up_at: UnixMs(0),
        }
    }

    /// Sets when the answer is given up, if that is later than the end of a check that begins at once.
    pub fn with_give_up_at(mut self, gives_up_at: UnixMs) -> Self {
        self.gives_up_at = gives_up_at;
        self
    }
}
