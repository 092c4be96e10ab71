//! Ownership state machine of one instance.

use std::collections::BTreeSet;

use monsoonspread_model::{
    Epoch, InstanceName, OwnershipTable, Succession, UnixMs, UpstreamName, ZoneName,
};

use super::owned::Owned;
use super::view::View;
use super::writer::Writer;
use super::{
    OwnershipAction, OwnershipDump, OwnershipEvent, OwnershipSettings, Planner, TableSource,
};

/// Decides which upstreams this instance owns and plans the zone's table.
#[derive(Clone, Debug)]
pub struct Ownership {
    pub(super) local: InstanceName,
    pub(super) zone: ZoneName,
    pub(super) settings: OwnershipSettings,
    pub(super) view: View,
    pub(super) owned: Owned,
    pub(super) writer: Writer,
    pub(super) upstreams: BTreeSet<UpstreamName>,
    pub(super) leaving: bool,
    /// Whether any input changed since ownership was last reconciled.
    pub(super) changed: bool,
    /// When the first change since the last planning happened.
    pub(super) plan_since: Option<UnixMs>,
}

impl Ownership {
    /// Starts without a table; the first tick reads it.
    ///
    /// ```
    /// # use monsoonspread_decisions::ownership::{Ownership, OwnershipAction, OwnershipSettings};
    /// # use monsoonspread_model::UnixMs;
    /// let settings = OwnershipSettings::default();
    /// let mut ownership = Ownership::new("entry-1".into(), "vestland-1".into(), settings);
    /// assert_eq!(ownership.on_tick(UnixMs(0)), [OwnershipAction::ReadTable]);
    /// ```
    pub fn new(local: InstanceName, zone: ZoneName, settings: OwnershipSettings) -> Self {
        let table = OwnershipTable::new(zone.clone());
        Self {
            view: View::new(local.clone(), table),
            owned: Owned::new(local.clone(), settings.handover_wait_ms),
            local,
            zone,
            settings,
            writer: Writer::new(),
            upstreams: BTreeSet::new(),
            leaving: false,
            changed: true,
            plan_since: None,
        }
    }

    /// The table in force.
    ///
    /// ```
    /// # use monsoonspread_decisions::ownership::{Ownership, OwnershipSettings};
    /// # use monsoonspread_model::UnixMs;
    /// # let settings = OwnershipSettings::default();
    /// # let mut ownership = Ownership::new("entry-1".into(), "z".into(), settings);
    /// assert_eq!(ownership.table().revision, 0);
    /// ```
    pub fn table(&self) -> &OwnershipTable {
        &self.view.table
    }

    /// The current owner of `upstream`: the first usable place in its failover order.
    ///
    /// ```
    /// # use monsoonspread_decisions::ownership::{Ownership, OwnershipSettings};
    /// # use monsoonspread_model::UnixMs;
    /// # let settings = OwnershipSettings::default();
    /// # let mut ownership = Ownership::new("entry-1".into(), "z".into(), settings);
    /// assert!(ownership.owner_of(UnixMs(0), &"engine-1".into()).is_none());
    /// ```
    pub fn owner_of(&self, now: UnixMs, upstream: &UpstreamName) -> Option<&Succession> {
        self.view.owner_of(now, upstream)
    }

    /// The fencing number with which this instance owns `upstream`; `None` if it does not.
    ///
    /// ```
    /// # use monsoonspread_decisions::ownership::{Ownership, OwnershipSettings};
    /// # use monsoonspread_model::UnixMs;
    /// # let settings = OwnershipSettings::default();
    /// # let mut ownership = Ownership::new("entry-1".into(), "z".into(), settings);
    /// assert_eq!(ownership.owned_epoch(&"engine-1".into()), None);
    /// ```
    pub fn owned_epoch(&self, upstream: &UpstreamName) -> Option<Epoch> {
        self.owned.epochs().get(upstream).copied()
    }

    /// The state dump.
    ///
    /// ```
    /// # use monsoonspread_decisions::ownership::{Ownership, OwnershipSettings};
    /// # use monsoonspread_model::UnixMs;
    /// # let settings = OwnershipSettings::default();
    /// # let mut ownership = Ownership::new("entry-1".into(), "z".into(), settings);
    /// assert!(!ownership.dump(UnixMs(0)).store_seen);
    /// ```
    pub fn dump(&self, _now: UnixMs) -> OwnershipDump {
        OwnershipDump {
            table: self.view.table.clone(),
            owned: self.owned.epochs().clone(),
            floors: self.view.floors.clone(),
            store_seen: self.owned.has_first_epoch(),
            leaving: self.leaving,
        }
    }

    pub(super) fn on_conflict(
        &mut self,
        now: UnixMs,
        current: Option<(OwnershipTable, u64)>,
        event: OwnershipEvent,
    ) -> Vec<OwnershipAction> {
        let mut actions = vec![OwnershipAction::Event(event)];
        match current {
            Some((table, mod_revision)) => {
                self.record_store_state(mod_revision, table.next_epoch);
                actions.extend(self.adopt(now, table, TableSource::Store { mod_revision }));
            }
            None => self.record_store_state(0, Epoch(1)),
        }
        actions
    }

    pub(super) fn record_store_state(&mut self, mod_revision: u64, next_epoch: Epoch) {
        self.writer.record_store_state(mod_revision, next_epoch);
        if !self.owned.has_first_epoch() {
            self.owned.set_first_epoch(self.writer.first_epoch());
            self.changed = true;
        }
    }

    /// Pauses calls to the key-value service in proportion to the rank, so that the whole zone
    /// together calls it only a few times a second.
    pub(super) fn pause_writer(&mut self, now: UnixMs) {
        let turns = self.view.rank(now) as u64 + 1;
        let retry_at = now + self.settings.store_retry_ms * turns;
        self.writer.pause_until(retry_at);
    }

    pub(super) fn adopt(
        &mut self,
        now: UnixMs,
        table: OwnershipTable,
        source: TableSource,
    ) -> Vec<OwnershipAction> {
        if table.zone != self.zone {
            return Vec::new();
        }
        self.writer.note_issued(table.next_epoch);
        if table.revision <= self.view.table.revision {
            return self.reconcile(now);
        }
        if source == TableSource::Peer {
            self.writer.forget_revision();
        }
        let revision = table.revision;
        self.view.set_table(now, table);
        self.changed = true;
        let event = OwnershipEvent::TableAdopted { revision };
        let mut actions = vec![OwnershipAction::Event(event)];
        actions.extend(self.reconcile(now));
        actions
    }

    /// Reconciles owned upstreams with the view and schedules planning after a change.
    pub(super) fn reconcile(&mut self, now: UnixMs) -> Vec<OwnershipAction> {
        if self.leaving || !self.view.knows_members() {
            return Vec::new();
        }
        if !self.changed && !self.owned.awaits_handover() {
            return Vec::new();
        }
        if std::mem::replace(&mut self.changed, false) {
            self.plan_since.get_or_insert(now);
        }
        self.owned.reconcile(now, &self.view)
    }

    /// Plans the table again after a change, and writes the wanted one when due.
    pub(super) fn write_if_due(&mut self, now: UnixMs) -> Vec<OwnershipAction> {
        if self.leaving || !self.owned.has_first_epoch() {
            return Vec::new();
        }
        if let Some(since) = self.plan_since.take() {
            let table = self.plan(now);
            self.writer.want(since, table);
        }
        if !self.writer.may_write(now) {
            return Vec::new();
        }
        let delay_ms = self.delay_ms(now);
        let write = self.writer.write_if_due(now, delay_ms);
        write.into_iter().collect()
    }

    /// The table for the current view; `None` if the one in force still fits.
    pub(super) fn plan(&self, now: UnixMs) -> Option<OwnershipTable> {
        let in_table;
        let upstreams = if self.upstreams.is_empty() {
            in_table = self.view.table.upstreams.keys().cloned().collect();
            &in_table
        } else {
            &self.upstreams
        };
        let live = self.view.live(now);
        let mut lapsed = self.view.lapsed.clone();
        if self.owned.has_void_place(now, &self.view) {
            lapsed.insert(self.local.clone());
        }
        Planner::new(
            &self.view.table,
            &live,
            upstreams,
            self.settings.order_length,
        )
        .with_floors(&self.view.floors)
        .with_lapsed(&lapsed)
        .with_first_epoch(self.writer.first_epoch())
        .plan()
    }

    pub(super) fn delay_ms(&self, now: UnixMs) -> u64 {
        if self.view.is_minority(now) {
            return self.settings.minority_settle_ms;
        }
        if self.owned.owns_as_successor(&self.view) || self.owned.has_void_place(now, &self.view) {
            return self.settings.settle_ms;
        }
        self.settings.settle_ms + self.view.rank(now) as u64 * self.settings.rank_delay_ms
    }
}
