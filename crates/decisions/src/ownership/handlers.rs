//! Event handlers of [`Ownership`].

use monsoonspread_model::message::Health;
use monsoonspread_model::{
    Epoch, InstanceKind, InstanceName, InstanceState, ListedInstance, OwnershipTable, UnixMs,
    UpstreamName,
};

use super::machine::Ownership;
use super::{AcquisitionKind, OwnershipAction, OwnershipEvent, TableSource, WriteResult};

impl Ownership {
    /// Sets every member of the zone with its health, this instance included.
    ///
    /// ```
    /// # use monsoonspread_decisions::ownership::{Ownership, OwnershipSettings};
    /// # use monsoonspread_model::UnixMs;
    /// # let settings = OwnershipSettings::default();
    /// # let mut ownership = Ownership::new("entry-1".into(), "z".into(), settings);
    /// use monsoonspread_model::message::Health;
    /// let members = [("entry-1".into(), Health::Alive)];
    /// assert!(ownership.on_members(UnixMs(0), &members).is_empty());
    /// ```
    pub fn on_members(
        &mut self,
        now: UnixMs,
        members: &[(InstanceName, Health)],
    ) -> Vec<OwnershipAction> {
        let unseen_timeout_ms = self.settings.unseen_timeout_ms;
        self.changed |= self.view.set_members(now, members, unseen_timeout_ms);
        self.reconcile(now)
    }

    /// Sets the platform's list; entries of every zone count as possible holders of grants.
    ///
    /// ```
    /// # use monsoonspread_decisions::ownership::{Ownership, OwnershipSettings};
    /// # use monsoonspread_model::UnixMs;
    /// # let settings = OwnershipSettings::default();
    /// # let mut ownership = Ownership::new("entry-1".into(), "z".into(), settings);
    /// assert!(ownership.on_listed(UnixMs(0), &[]).is_empty());
    /// ```
    pub fn on_listed(&mut self, now: UnixMs, listed: &[ListedInstance]) -> Vec<OwnershipAction> {
        self.upstreams = listed
            .iter()
            .filter(|row| row.kind == InstanceKind::Engine && row.zone == self.zone)
            .map(|row| UpstreamName::from(row.name.as_str()))
            .collect();
        let entries = listed.iter().filter(|row| row.kind == InstanceKind::Entry);
        let name = |row: &ListedInstance| InstanceName::from(row.name.as_str());
        self.owned.holders = entries.clone().map(name).collect();
        let live = entries.filter(|row| row.zone == self.zone && row.state == InstanceState::Live);
        self.view.set_listed(now, live.map(name).collect());
        self.changed = true;
        self.reconcile(now)
    }

    /// Handles a table that the key-value service has confirmed to this instance or to a peer.
    ///
    /// ```
    /// # use monsoonspread_decisions::ownership::{Ownership, OwnershipSettings};
    /// # use monsoonspread_model::UnixMs;
    /// # let settings = OwnershipSettings::default();
    /// # let mut ownership = Ownership::new("entry-1".into(), "z".into(), settings);
    /// use monsoonspread_decisions::ownership::TableSource;
    /// use monsoonspread_model::OwnershipTable;
    /// let table = OwnershipTable { revision: 4, ..OwnershipTable::new("z") };
    /// ownership.on_table(UnixMs(0), table, TableSource::Peer);
    /// assert_eq!(ownership.table().revision, 4);
    /// ```
    pub fn on_table(
        &mut self,
        now: UnixMs,
        table: OwnershipTable,
        source: TableSource,
    ) -> Vec<OwnershipAction> {
        if let TableSource::Store { mod_revision } = source {
            self.writer.end_read();
            self.record_store_state(mod_revision, table.next_epoch);
        }
        self.adopt(now, table, source)
    }

    /// Handles a read that found no table of this zone.
    ///
    /// ```
    /// # use monsoonspread_decisions::ownership::{Ownership, OwnershipSettings};
    /// # use monsoonspread_model::UnixMs;
    /// # let settings = OwnershipSettings::default();
    /// # let mut ownership = Ownership::new("entry-1".into(), "z".into(), settings);
    /// assert!(ownership.on_table_absent(UnixMs(0)).is_empty());
    /// ```
    pub fn on_table_absent(&mut self, now: UnixMs) -> Vec<OwnershipAction> {
        self.writer.end_read();
        self.record_store_state(0, Epoch(1));
        self.reconcile(now)
    }

    /// Handles a failed read of the table.
    ///
    /// ```
    /// # use monsoonspread_decisions::ownership::{Ownership, OwnershipSettings};
    /// # use monsoonspread_model::UnixMs;
    /// # let settings = OwnershipSettings::default();
    /// # let mut ownership = Ownership::new("entry-1".into(), "z".into(), settings);
    /// assert_eq!(ownership.on_read_failed(UnixMs(0)).len(), 1);
    /// ```
    pub fn on_read_failed(&mut self, now: UnixMs) -> Vec<OwnershipAction> {
        self.writer.end_read();
        self.pause_writer(now);
        let revision = self.view.table.revision;
        vec![OwnershipAction::Event(OwnershipEvent::StoreUnreachable {
            revision,
        })]
    }

    /// Handles the result of the last write; ignored when no write is in flight.
    ///
    /// ```
    /// # use monsoonspread_decisions::ownership::{Ownership, OwnershipSettings};
    /// # use monsoonspread_model::UnixMs;
    /// # let settings = OwnershipSettings::default();
    /// # let mut ownership = Ownership::new("entry-1".into(), "z".into(), settings);
    /// use monsoonspread_decisions::ownership::WriteResult;
    /// let late = ownership.on_write_result(UnixMs(0), WriteResult::Unreachable);
    /// assert!(late.is_empty(), "nothing was being written");
    /// ```
    pub fn on_write_result(&mut self, now: UnixMs, result: WriteResult) -> Vec<OwnershipAction> {
        let Some(written) = self.writer.end_write() else {
            return Vec::new();
        };
        let revision = written.revision;
        match result {
            WriteResult::Written { mod_revision } => {
                self.record_store_state(mod_revision, written.next_epoch);
                let mut actions = vec![OwnershipAction::SpreadTable(written.clone())];
                actions.extend(self.adopt(now, written, TableSource::Store { mod_revision }));
                actions
            }
            WriteResult::Conflict { current } => {
                self.writer.pause_until(now + self.settings.settle_ms);
                let event = OwnershipEvent::WriteConflict { revision };
                self.on_conflict(now, current, event)
            }
            WriteResult::Unknown => {
                let event = OwnershipEvent::WriteUnknown { revision };
                vec![OwnershipAction::Event(event), self.writer.read()]
            }
            WriteResult::Unreachable => {
                self.pause_writer(now);
                let event = OwnershipEvent::StoreUnreachable { revision };
                vec![OwnershipAction::Event(event)]
            }
        }
    }

    /// Handles an upstream that refused `epoch`, after which this instance stepped down.
    ///
    /// ```
    /// # use monsoonspread_decisions::ownership::{Ownership, OwnershipSettings};
    /// # use monsoonspread_model::UnixMs;
    /// # let settings = OwnershipSettings::default();
    /// # let mut ownership = Ownership::new("entry-1".into(), "z".into(), settings);
    /// use monsoonspread_model::Epoch;
    /// assert!(ownership.on_stepped_down(UnixMs(0), &"engine-1".into(), Epoch(3)).is_empty());
    /// ```
    pub fn on_stepped_down(
        &mut self,
        now: UnixMs,
        upstream: &UpstreamName,
        epoch: Epoch,
    ) -> Vec<OwnershipAction> {
        self.on_epoch_seen(now, upstream, Epoch(epoch.0 + 1))
    }

    /// Handles evidence that `epoch` is in use for `upstream`; lower numbers no longer own it.
    ///
    /// ```
    /// # use monsoonspread_decisions::ownership::{Ownership, OwnershipSettings};
    /// # use monsoonspread_model::UnixMs;
    /// # let settings = OwnershipSettings::default();
    /// # let mut ownership = Ownership::new("entry-1".into(), "z".into(), settings);
    /// use monsoonspread_model::Epoch;
    /// assert!(ownership.on_epoch_seen(UnixMs(0), &"engine-1".into(), Epoch(3)).is_empty());
    /// ```
    pub fn on_epoch_seen(
        &mut self,
        now: UnixMs,
        upstream: &UpstreamName,
        epoch: Epoch,
    ) -> Vec<OwnershipAction> {
        if !self.view.table.upstreams.contains_key(upstream) {
            return Vec::new();
        }
        self.view.raise_floor(upstream, epoch);
        self.changed = true;
        self.reconcile(now)
    }

    /// Handles the restart of a peer as a new process, which voids its places in the table.
    ///
    /// ```
    /// # use monsoonspread_decisions::ownership::{Ownership, OwnershipSettings};
    /// # use monsoonspread_model::UnixMs;
    /// # let settings = OwnershipSettings::default();
    /// # let mut ownership = Ownership::new("entry-1".into(), "z".into(), settings);
    /// assert!(ownership.on_restarted(UnixMs(0), &"entry-2".into()).is_empty());
    /// ```
    pub fn on_restarted(&mut self, now: UnixMs, restarted: &InstanceName) -> Vec<OwnershipAction> {
        self.view.lapsed.insert(restarted.clone());
        self.view.advance(now);
        self.changed = true;
        self.reconcile(now)
    }

    /// Handles the handover of `upstream` from the leaving owner `from` to this instance.
    ///
    /// ```
    /// # use monsoonspread_decisions::ownership::{Ownership, OwnershipSettings};
    /// # use monsoonspread_model::UnixMs;
    /// # let settings = OwnershipSettings::default();
    /// # let mut ownership = Ownership::new("entry-1".into(), "z".into(), settings);
    /// use monsoonspread_model::Epoch;
    /// let actions =
    ///     ownership.on_handover(UnixMs(0), &"entry-2".into(), &"engine-1".into(), Epoch(3));
    /// assert_eq!(actions.len(), 1, "refused, as no table names this instance");
    /// ```
    pub fn on_handover(
        &mut self,
        now: UnixMs,
        from: &InstanceName,
        upstream: &UpstreamName,
        from_epoch: Epoch,
    ) -> Vec<OwnershipAction> {
        self.view.advance(now);
        let place = self.view.local_place(upstream).cloned();
        let usable = place.filter(|place| {
            let floor = self.view.floors.get(upstream).copied().unwrap_or_default();
            place.epoch > from_epoch && place.epoch >= floor && self.owned.may_use(place.epoch)
        });
        let already = self.owned.epochs().contains_key(upstream);
        let Some(place) = usable.filter(|_| !already && !self.leaving) else {
            return vec![OwnershipAction::Event(OwnershipEvent::HandoverRefused {
                upstream: upstream.clone(),
                from: from.clone(),
            })];
        };
        self.view.raise_floor(upstream, place.epoch);
        self.changed = true;
        let action = self.owned.acquire(
            upstream.clone(),
            place.epoch,
            AcquisitionKind::Handover,
            &self.view,
        );
        vec![action]
    }

    /// Starts the graceful shutdown of this instance.
    ///
    /// ```
    /// # use monsoonspread_decisions::ownership::{Ownership, OwnershipSettings};
    /// # use monsoonspread_model::UnixMs;
    /// # let settings = OwnershipSettings::default();
    /// # let mut ownership = Ownership::new("entry-1".into(), "z".into(), settings);
    /// use monsoonspread_decisions::ownership::OwnershipAction;
    /// let successors = Vec::new();
    /// assert_eq!(ownership.on_leave(UnixMs(0)), [OwnershipAction::HandOver { successors }]);
    /// ```
    pub fn on_leave(&mut self, now: UnixMs) -> Vec<OwnershipAction> {
        self.leaving = true;
        self.writer.want(now, None);
        let mut successors = Vec::new();
        let mut actions = Vec::new();
        for upstream in self.owned.clear().into_keys() {
            let Some(next) = self.view.successor_of(now, &upstream).cloned() else {
                actions.push(OwnershipAction::Disown { upstream });
                continue;
            };
            self.view.raise_floor(&upstream, next.epoch);
            successors.push((upstream, next.instance));
        }
        actions.push(OwnershipAction::HandOver { successors });
        actions
    }

    /// Advances time; call every 100 ms.
    ///
    /// ```
    /// # use monsoonspread_decisions::ownership::{Ownership, OwnershipSettings};
    /// # use monsoonspread_model::UnixMs;
    /// # let settings = OwnershipSettings::default();
    /// # let mut ownership = Ownership::new("entry-1".into(), "z".into(), settings);
    /// assert_eq!(ownership.on_tick(UnixMs(0)).len(), 1);
    /// assert!(ownership.on_tick(UnixMs(100)).is_empty(), "the read is in flight");
    /// ```
    pub fn on_tick(&mut self, now: UnixMs) -> Vec<OwnershipAction> {
        if !self.owned.has_first_epoch() {
            let read = self.writer.read_if_ready(now);
            if read.is_some() {
                return read.into_iter().collect();
            }
        }
        if self.view.expire_unseen(now) {
            self.view.advance(now);
            self.changed = true;
        }
        let mut actions = self.reconcile(now);
        actions.extend(self.write_if_due(now));
        actions
    }
}
