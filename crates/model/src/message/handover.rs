//! Planned transfer of ownership.

use serde::{Deserialize, Serialize};

use super::HeldGrant;
use crate::{CopyName, Epoch, InstanceName, UpstreamName};

/// A stopping owner gives an upstream to the next in its failover order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Handover {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The old owner's fencing number, under which it gives no order any more.
    pub from_epoch: Epoch,
    /// Copies loaded on the upstream.
    pub copies: Vec<CopyName>,
    /// Outstanding grants with the instance that holds each.
    pub grants: Vec<(InstanceName, HeldGrant)>,
}
