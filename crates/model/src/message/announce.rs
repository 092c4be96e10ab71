//! Outstanding grants, told to a new owner.

use serde::{Deserialize, Serialize};

use super::{GrantId, RequestId};
use crate::{AdapterRef, CallerName, Epoch, RequestClass, UnixMs, UpstreamName};

/// A new owner asks every instance that could hold a grant on `upstream`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnnounceRequest {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The new owner's fencing number; grants of older epochs that arrive later are dropped.
    pub epoch: Epoch,
}

/// One outstanding grant.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeldGrant {
    /// The grant.
    pub grant: GrantId,
    /// The request it is for.
    pub request: RequestId,
    /// The adapter in use.
    pub adapter: AdapterRef,
    /// Epoch of the copy in use.
    pub copy_epoch: Epoch,
    /// The request's class.
    pub class: RequestClass,
    /// Who sent the request.
    pub caller: CallerName,
    /// Tokens the request is expected to generate.
    pub tokens: u32,
    /// When the grant ends.
    pub expires_at_unix_ms: UnixMs,
}

/// Every outstanding grant that the sender holds on `upstream`, possibly none.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announce {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The epoch that asked.
    pub epoch: Epoch,
    /// The grants.
    pub grants: Vec<HeldGrant>,
}
