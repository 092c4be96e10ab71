//! Lookup of the owners of upstreams in other zones.

use std::collections::BTreeMap;

use monsoonspread_model::{
    Epoch, InstanceName, OwnershipTable, Succession, UnixMs, UpstreamName, ZoneName,
};

/// The latest known table of each zone, and which instances there fail to answer.
#[derive(Clone, Debug, Default)]
pub struct TableDirectory {
    tables: BTreeMap<ZoneName, OwnershipTable>,
    failing_until: BTreeMap<InstanceName, UnixMs>,
    floors: BTreeMap<UpstreamName, Epoch>,
}

impl TableDirectory {
    /// Creates an empty directory.
    ///
    /// ```
    /// # use monsoonspread_decisions::ownership::TableDirectory;
    /// # use monsoonspread_model::{OwnershipTable, UnixMs};
    /// let mut directory = TableDirectory::new();
    /// let table = OwnershipTable { revision: 1, ..OwnershipTable::new("baltic-2") };
    /// assert!(directory.on_table(table.clone()));
    /// assert!(!directory.on_table(table));
    /// assert_eq!(directory.owner_of(UnixMs(0), &"engine-9".into()), None);
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores a table if it is newer than the known one of its zone; returns whether it was.
    ///
    /// ```
    /// # use monsoonspread_decisions::ownership::TableDirectory;
    /// # use monsoonspread_model::{Epoch, OwnershipTable, Succession, UnixMs};
    /// # let mut directory = TableDirectory::new();
    /// # let place = Succession { instance: "entry-9".into(), epoch: Epoch(3) };
    /// # let upstreams = [("engine-9".into(), vec![place])].into();
    /// # let table = OwnershipTable { revision: 1, upstreams, ..OwnershipTable::new("baltic-2") };
    /// # directory.on_table(table);
    /// assert_eq!(directory.revision_of(&"baltic-2".into()), 1);
    /// ```
    pub fn on_table(&mut self, table: OwnershipTable) -> bool {
        if table.revision <= self.revision_of(&table.zone) {
            return false;
        }
        self.tables.insert(table.zone.clone(), table);
        true
    }

    /// Records that `instance` did not answer; lookups skip it until `until_unix_ms`.
    ///
    /// ```
    /// # use monsoonspread_decisions::ownership::TableDirectory;
    /// # use monsoonspread_model::{Epoch, OwnershipTable, Succession, UnixMs};
    /// # let mut directory = TableDirectory::new();
    /// # let place = Succession { instance: "entry-9".into(), epoch: Epoch(3) };
    /// # let upstreams = [("engine-9".into(), vec![place])].into();
    /// # let table = OwnershipTable { revision: 1, upstreams, ..OwnershipTable::new("baltic-2") };
    /// # directory.on_table(table);
    /// directory.on_failing(&"entry-9".into(), UnixMs(50));
    /// assert!(directory.owner_of(UnixMs(49), &"engine-9".into()).is_none());
    /// assert!(directory.owner_of(UnixMs(50), &"engine-9".into()).is_some());
    /// ```
    pub fn on_failing(&mut self, instance: &InstanceName, until_unix_ms: UnixMs) {
        self.failing_until.insert(instance.clone(), until_unix_ms);
    }

    /// Records that `instance` answered.
    ///
    /// ```
    /// # use monsoonspread_decisions::ownership::TableDirectory;
    /// # use monsoonspread_model::{Epoch, OwnershipTable, Succession, UnixMs};
    /// # let mut directory = TableDirectory::new();
    /// # let place = Succession { instance: "entry-9".into(), epoch: Epoch(3) };
    /// # let upstreams = [("engine-9".into(), vec![place])].into();
    /// # let table = OwnershipTable { revision: 1, upstreams, ..OwnershipTable::new("baltic-2") };
    /// # directory.on_table(table);
    /// directory.on_failing(&"entry-9".into(), UnixMs(50));
    /// directory.on_answering(&"entry-9".into());
    /// assert!(directory.owner_of(UnixMs(0), &"engine-9".into()).is_some());
    /// ```
    pub fn on_answering(&mut self, instance: &InstanceName) {
        self.failing_until.remove(instance);
    }

    /// Records that `epoch` is in use for `upstream`; lookups skip places with a lower one.
    ///
    /// ```
    /// # use monsoonspread_decisions::ownership::TableDirectory;
    /// # use monsoonspread_model::{Epoch, OwnershipTable, Succession, UnixMs};
    /// # let mut directory = TableDirectory::new();
    /// # let place = Succession { instance: "entry-9".into(), epoch: Epoch(3) };
    /// # let upstreams = [("engine-9".into(), vec![place])].into();
    /// # let table = OwnershipTable { revision: 1, upstreams, ..OwnershipTable::new("baltic-2") };
    /// # directory.on_table(table);
    /// directory.on_epoch_seen(&"engine-9".into(), Epoch(4));
    /// assert!(directory.owner_of(UnixMs(0), &"engine-9".into()).is_none());
    /// ```
    pub fn on_epoch_seen(&mut self, upstream: &UpstreamName, epoch: Epoch) {
        let floor = self.floors.entry(upstream.clone()).or_default();
        *floor = epoch.max(*floor);
    }

    /// Revision of the known table of `zone`, 0 for none.
    ///
    /// ```
    /// # use monsoonspread_decisions::ownership::TableDirectory;
    /// # use monsoonspread_model::{Epoch, OwnershipTable, Succession, UnixMs};
    /// # let mut directory = TableDirectory::new();
    /// # let place = Succession { instance: "entry-9".into(), epoch: Epoch(3) };
    /// # let upstreams = [("engine-9".into(), vec![place])].into();
    /// # let table = OwnershipTable { revision: 1, upstreams, ..OwnershipTable::new("baltic-2") };
    /// # directory.on_table(table);
    /// assert_eq!(directory.revision_of(&"baltic-3".into()), 0);
    /// ```
    pub fn revision_of(&self, zone: &ZoneName) -> u64 {
        self.tables.get(zone).map_or(0, |table| table.revision)
    }

    /// The known tables.
    ///
    /// ```
    /// # use monsoonspread_decisions::ownership::TableDirectory;
    /// # use monsoonspread_model::{Epoch, OwnershipTable, Succession, UnixMs};
    /// # let mut directory = TableDirectory::new();
    /// # let place = Succession { instance: "entry-9".into(), epoch: Epoch(3) };
    /// # let upstreams = [("engine-9".into(), vec![place])].into();
    /// # let table = OwnershipTable { revision: 1, upstreams, ..OwnershipTable::new("baltic-2") };
    /// # directory.on_table(table);
    /// assert_eq!(directory.tables().count(), 1);
    /// ```
    pub fn tables(&self) -> impl Iterator<Item = &OwnershipTable> {
        self.tables.values()
    }

    /// The zone whose table contains `upstream`.
    ///
    /// ```
    /// # use monsoonspread_decisions::ownership::TableDirectory;
    /// # use monsoonspread_model::{Epoch, OwnershipTable, Succession, UnixMs};
    /// # let mut directory = TableDirectory::new();
    /// # let place = Succession { instance: "entry-9".into(), epoch: Epoch(3) };
    /// # let upstreams = [("engine-9".into(), vec![place])].into();
    /// # let table = OwnershipTable { revision: 1, upstreams, ..OwnershipTable::new("baltic-2") };
    /// # directory.on_table(table);
    /// assert_eq!(directory.zone_of(&"engine-9".into()), Some(&"baltic-2".into()));
    /// ```
    pub fn zone_of(&self, upstream: &UpstreamName) -> Option<&ZoneName> {
        self.table_of(upstream).map(|table| &table.zone)
    }

    /// The first place in the failover order of `upstream` whose instance is not failing.
    ///
    /// ```
    /// # use monsoonspread_decisions::ownership::TableDirectory;
    /// # use monsoonspread_model::{Epoch, OwnershipTable, Succession, UnixMs};
    /// # let mut directory = TableDirectory::new();
    /// # let place = Succession { instance: "entry-9".into(), epoch: Epoch(3) };
    /// # let upstreams = [("engine-9".into(), vec![place])].into();
    /// # let table = OwnershipTable { revision: 1, upstreams, ..OwnershipTable::new("baltic-2") };
    /// # directory.on_table(table);
    /// let owner = directory.owner_of(UnixMs(0), &"engine-9".into());
    /// assert_eq!(owner.unwrap().instance, "entry-9".into());
    /// ```
    pub fn owner_of(&self, now: UnixMs, upstream: &UpstreamName) -> Option<&Succession> {
        let floor = self.floors.get(upstream).copied().unwrap_or_default();
        self.table_of(upstream)?
            .order_of(upstream)
            .iter()
            .filter(|place| place.epoch >= floor)
            .find(|place| !self.is_failing(now, &place.instance))
    }

    fn table_of(&self, upstream: &UpstreamName) -> Option<&OwnershipTable> {
        self.tables
            .values()
            .find(|table| table.upstreams.contains_key(upstream))
    }

    fn is_failing(&self, now: UnixMs, instance: &InstanceName) -> bool {
        self.failing_until
            .get(instance)
            .is_some_and(|until| now < *until)
    }
}
