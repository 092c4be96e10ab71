//! The owner and failover order of each upstream of a zone.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Epoch, InstanceName, UpstreamName, ZoneName};

/// An entry in the failover order of an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Succession {
    /// The instance.
    pub instance: InstanceName,
    /// The fencing number that the instance uses while it owns the upstream under this table.
    pub epoch: Epoch,
}

/// The ownership table of a zone; always replaced as a whole, by compare-and-swap.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnershipTable {
    /// The zone.
    pub zone: ZoneName,
    /// Incremented with each new table of the zone.
    pub revision: u64,
    /// The lowest fencing number that no table has used yet.
    pub next_epoch: Epoch,
    /// Instances that were members when the table was written.
    pub members: Vec<InstanceName>,
    /// Failover order of each upstream, starting with the owner.
    pub upstreams: BTreeMap<UpstreamName, Vec<Succession>>,
}

impl OwnershipTable {
    /// Creates the table of a zone that has no members yet.
    ///
    /// ```
    /// # use monsoonspread_model::OwnershipTable;
    /// assert_eq!(OwnershipTable::new("vestland-1").revision, 0);
    /// ```
    pub fn new(zone: impl Into<ZoneName>) -> Self {
        Self {
            zone: zone.into(),
            revision: 0,
            next_epoch: Epoch(1),
            members: Vec::new(),
            upstreams: BTreeMap::new(),
        }
    }

    /// Returns the failover order of `upstream`; empty if the table does not contain it.
    ///
    /// ```
    /// # use monsoonspread_model::OwnershipTable;
    /// assert!(OwnershipTable::new("z").order_of(&"engine-1".into()).is_empty());
    /// ```
    pub fn order_of(&self, upstream: &UpstreamName) -> &[Succession] {
        self.upstreams.get(upstream).map_or(&[], Vec::as_slice)
    }
}
