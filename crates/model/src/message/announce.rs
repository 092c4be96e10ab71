//! Reports of outstanding grants to a new owner.

use serde::{Deserialize, Serialize};

use super::{GrantId, RequestId};
use crate::{AdapterRef, CallerName, Epoch, RequestClass, UnixMs, UpstreamName};

/// Sent by a new owner to every instance that could hold a grant on `upstream`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnnounceRequest {
    /// The upstream whose grants are requested.
    pub upstream: UpstreamName,
    /// The new owner's fencing number; grants of earlier epochs that arrive later are dropped.
    pub epoch: Epoch,
}

/// An outstanding grant.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeldGrant {
    /// Identity of the grant.
    pub grant: GrantId,
    /// The request that holds the grant.
    pub request: RequestId,
    /// The adapter that the request runs on.
    pub adapter: AdapterRef,
    /// Epoch of the copy that the request runs on.
    pub copy_epoch: Epoch,
    /// Class of the request.
    pub class: RequestClass,
    /// Caller that sent the request.
    pub caller: CallerName,
    /// Number of tokens that the request is expected to generate.
    pub tokens: u32,
    /// When the grant expires.
    pub expires_at_unix_ms: UnixMs,
}

/// All outstanding grants of the sender on `upstream`, possibly none.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announce {
    /// The upstream of the grants.
    pub upstream: UpstreamName,
    /// Epoch of the request that this answers.
    pub epoch: Epoch,
    /// The outstanding grants.
    pub grants: Vec<HeldGrant>,
}
