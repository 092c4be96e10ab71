//! Who decides for each upstream of a zone, in which order.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Epoch, InstanceName, UpstreamName, ZoneName};

/// One instance's place in the failover order of an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Succession {
    /// The instance.
    pub instance: InstanceName,
    /// The fencing number it uses when it owns the upstream under this table.
    pub epoch: Epoch,
}

/// The ownership table of one zone; it is replaced as a whole by compare-and-swap.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnershipTable {
    /// The zone.
    pub zone: ZoneName,
    /// Grows by one with each table of the zone.
    pub revision: u64,
    /// The lowest fencing number that no table has used yet.
    pub next_epoch: Epoch,
    /// Instances that the table knew as members.
    pub members: Vec<InstanceName>,
    /// Failover order of each upstream, owner first.
    pub upstreams: BTreeMap<UpstreamName, Vec<Succession>>,
}

impl OwnershipTable {
    /// The table of a zone before any member joined.
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

    /// The failover order of `upstream`, empty when the table does not name it.
    ///
    /// ```
    /// # use monsoonspread_model::OwnershipTable;
    /// assert!(OwnershipTable::new("z").order_of(&"engine-1".into()).is_empty());
    /// ```
    pub fn order_of(&self, upstream: &UpstreamName) -> &[Succession] {
        self.upstreams.get(upstream).map_or(&[], Vec::as_slice)
    }
}
