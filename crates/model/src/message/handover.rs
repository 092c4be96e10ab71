//! Planned transfers of ownership.

use serde::{Deserialize, Serialize};

use super::HeldGrant;
use crate::{CopyName, Epoch, InstanceName, UpstreamName};

/// Sent by a stopping owner to the next instance in the failover order of an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Handover {
    /// The upstream to hand over.
    pub upstream: UpstreamName,
    /// The old owner's fencing number; it sends no further orders with it.
    pub from_epoch: Epoch,
    /// Copies loaded on the upstream.
    pub copies: Vec<CopyName>,
    /// Outstanding grants, each with the instance that holds it.
    pub grants: Vec<(InstanceName, HeldGrant)>,
}
