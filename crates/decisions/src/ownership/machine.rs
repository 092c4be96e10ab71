//! The state machine of one instance.

use std::collections::BTreeSet;

use monsoonspread_model::message::Health;
use monsoonspread_model::{
    Epoch, InstanceKind, InstanceName, ListedInstance, OwnershipTable, Succession, UnixMs,
    UpstreamName, ZoneName,
};

use super::owned::Owned;
use super::store_link::{StoreCall, StoreLink};
use super::view::View;
use super::{
    OwnKind, OwnershipAction, OwnershipDump, OwnershipEvent, OwnershipSettings, Planner,
    TableSource, WriteResult,
};

/// Decides who owns the zone's upstreams, together with the machines of its other instances.
#[derive(Clone, Debug)]
pub struct Ownership {
    own: InstanceName,
    zone: ZoneName,
    settings: OwnershipSettings,
    view: View,
    owned: Owned,
    store: StoreLink,
    upstreams: BTreeSet<UpstreamName>,
    wanted: Option<Wanted>,
    /// Lowest number that no table seen so far has issued.
    first_epoch: Epoch,
    leaving: bool,
}

/// A change of the table that is not written yet.
#[derive(Clone, Debug)]
struct Wanted {
    table: OwnershipTable,
    since_unix_ms: UnixMs,
}

impl Ownership {
    /// Starts without a table; the first tick asks for it.
    ///
    /// ```
    /// # use monsoonspread_decisions::ownership::{Ownership, OwnershipAction, OwnershipSettings};
    /// # use monsoonspread_model::UnixMs;
    /// let settings = OwnershipSettings::default();
    /// let mut ownership = Ownership::new("entry-1".into(), "vestland-1".into(), settings);
    /// assert_eq!(ownership.on_tick(UnixMs(0)), [OwnershipAction::ReadTable]);
    /// ```
    pub fn new(own: InstanceName, zone: ZoneName, settings: OwnershipSettings) -> Self {
        let table = OwnershipTable::new(zone.clone());
        Self {
            view: View::new(own.clone(), table),
            owned: Owned::new(own.clone(), settings.handover_wait_ms),
            own,
            zone,
            settings,
            store: StoreLink::new(),
            upstreams: BTreeSet::new(),
            wanted: None,
            first_epoch: Epoch(1),
            leaving: false,
        }
    }

    /// The table in force.
    pub fn table(&self) -> &OwnershipTable {
        &self.view.table
    }

    /// Who owns `upstream` now: the first usable place in its failover order.
    pub fn owner_of(&self, now: UnixMs, upstream: &UpstreamName) -> Option<&Succession> {
        self.view.owner_of(now, upstream)
    }

    /// The fencing number this instance owns `upstream` with.
    pub fn owned_epoch(&self, upstream: &UpstreamName) -> Option<Epoch> {
        self.owned.epochs().get(upstream).copied()
    }

    /// Takes every member of the zone with its health, this instance included.
    pub fn on_members(
        &mut self,
        now: UnixMs,
        members: &[(InstanceName, Health)],
    ) -> Vec<OwnershipAction> {
        self.view
            .set_members(now, members, self.settings.unheard_ms);
        self.follow(now)
    }

    /// Takes the platform's list; entries of every zone count as possible holders of grants.
    pub fn on_upstreams(&mut self, now: UnixMs, listed: &[ListedInstance]) -> Vec<OwnershipAction> {
        self.upstreams = listed
            .iter()
            .filter(|row| row.kind == InstanceKind::Engine && row.zone == self.zone)
            .map(|row| UpstreamName::from(row.name.as_str()))
            .collect();
        let entries = listed.iter().filter(|row| row.kind == InstanceKind::Entry);
        self.owned.holders = entries
            .map(|row| InstanceName::from(row.name.as_str()))
            .collect();
        self.write_if_due(now)
    }

    /// Takes a table that the key-value service has confirmed, here or at a peer.
    pub fn on_table(
        &mut self,
        now: UnixMs,
        table: OwnershipTable,
        source: TableSource,
    ) -> Vec<OwnershipAction> {
        if let TableSource::Store { mod_revision } = source {
            self.end_read();
            self.note_store(mod_revision, table.next_epoch);
        }
        self.adopt(now, table, source)
    }

    /// The key-value service holds no table of this zone.
    pub fn on_table_absent(&mut self, now: UnixMs) -> Vec<OwnershipAction> {
        self.end_read();
        self.note_store(0, Epoch(1));
        self.follow(now)
    }

    /// The table could not be read.
    pub fn on_read_failed(&mut self, now: UnixMs) -> Vec<OwnershipAction> {
        self.end_read();
        self.store.retry_at = now + self.settings.store_retry_ms;
        let revision = self.view.table.revision;
        vec![OwnershipAction::Event(OwnershipEvent::StoreUnreachable {
            revision,
        })]
    }

    /// Takes the result of the last write.
    pub fn on_write_result(&mut self, now: UnixMs, result: WriteResult) -> Vec<OwnershipAction> {
        let Some(written) = self.store.finish() else {
            return Vec::new();
        };
        let revision = written.revision;
        match result {
            WriteResult::Written { mod_revision } => {
                self.note_store(mod_revision, written.next_epoch);
                let mut actions = vec![OwnershipAction::SpreadTable(written.clone())];
                actions.extend(self.adopt(now, written, TableSource::Store { mod_revision }));
                actions
            }
            WriteResult::Conflict { current } => {
                self.store.retry_at = now + self.settings.settle_ms;
                let event = OwnershipEvent::WriteConflict { revision };
                self.on_conflict(now, current, event)
            }
            WriteResult::Unknown => {
                self.store.mod_revision = None;
                self.store.call = StoreCall::Reading;
                let event = OwnershipEvent::WriteUnknown { revision };
                vec![OwnershipAction::Event(event), OwnershipAction::ReadTable]
            }
            WriteResult::Unreachable => {
                self.store.retry_at = now + self.settings.store_retry_ms;
                let event = OwnershipEvent::StoreUnreachable { revision };
                vec![OwnershipAction::Event(event)]
            }
        }
    }

    /// An upstream refused `epoch` of this instance, which has stepped down.
    pub fn on_stepped_down(
        &mut self,
        now: UnixMs,
        upstream: &UpstreamName,
        epoch: Epoch,
    ) -> Vec<OwnershipAction> {
        self.on_epoch_seen(now, upstream, Epoch(epoch.0 + 1))
    }

    /// Somebody uses `epoch` for `upstream`; whoever has a lower one is not its owner any more.
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
        self.follow(now)
    }

    /// Instance `restarted` came back as a new process: its places in the table are void.
    pub fn on_restarted(&mut self, now: UnixMs, restarted: &InstanceName) -> Vec<OwnershipAction> {
        self.view.lapsed.insert(restarted.clone());
        self.view.advance(now);
        self.follow(now)
    }

    /// The leaving owner `from` hands `upstream` over to this instance.
    pub fn on_handover(
        &mut self,
        now: UnixMs,
        from: &InstanceName,
        upstream: &UpstreamName,
        from_epoch: Epoch,
    ) -> Vec<OwnershipAction> {
        self.view.advance(now);
        let place = self.view.own_place(upstream).cloned();
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
        let own = self
            .owned
            .own(upstream.clone(), place.epoch, OwnKind::Handover, &self.view);
        vec![own]
    }

    /// This instance leaves as planned.
    pub fn on_leave(&mut self, now: UnixMs) -> Vec<OwnershipAction> {
        self.leaving = true;
        self.wanted = None;
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

    /// Lets time pass; every 100 ms.
    pub fn on_tick(&mut self, now: UnixMs) -> Vec<OwnershipAction> {
        if !self.owned.has_first_epoch() && self.store.is_ready(now) {
            self.store.call = StoreCall::Reading;
            return vec![OwnershipAction::ReadTable];
        }
        self.view.advance(now);
        self.follow(now)
    }

    /// What this instance knows and holds.
    pub fn dump(&self, _now: UnixMs) -> OwnershipDump {
        OwnershipDump {
            table: self.view.table.clone(),
            owned: self.owned.epochs().clone(),
            floors: self.view.floors.clone(),
            store_seen: self.owned.has_first_epoch(),
            leaving: self.leaving,
        }
    }

    fn on_conflict(
        &mut self,
        now: UnixMs,
        current: Option<(OwnershipTable, u64)>,
        event: OwnershipEvent,
    ) -> Vec<OwnershipAction> {
        let mut actions = vec![OwnershipAction::Event(event)];
        match current {
            Some((table, mod_revision)) => {
                self.note_store(mod_revision, table.next_epoch);
                actions.extend(self.adopt(now, table, TableSource::Store { mod_revision }));
            }
            None => self.note_store(0, Epoch(1)),
        }
        actions
    }

    fn end_read(&mut self) {
        if self.store.call == StoreCall::Reading {
            self.store.call = StoreCall::Idle;
        }
    }

    fn note_store(&mut self, mod_revision: u64, next_epoch: Epoch) {
        self.store.mod_revision = Some(mod_revision);
        self.first_epoch = self.first_epoch.max(next_epoch);
        self.owned.set_first_epoch(self.first_epoch);
    }

    fn adopt(
        &mut self,
        now: UnixMs,
        table: OwnershipTable,
        source: TableSource,
    ) -> Vec<OwnershipAction> {
        self.first_epoch = self.first_epoch.max(table.next_epoch);
        if table.zone != self.zone || table.revision <= self.view.table.revision {
            return self.follow(now);
        }
        if source == TableSource::Peer {
            self.store.mod_revision = None;
        }
        let revision = table.revision;
        self.view.set_table(now, table);
        let event = OwnershipEvent::TableAdopted { revision };
        let mut actions = vec![OwnershipAction::Event(event)];
        actions.extend(self.follow(now));
        actions
    }

    fn follow(&mut self, now: UnixMs) -> Vec<OwnershipAction> {
        if self.leaving || !self.view.knows_members() {
            return Vec::new();
        }
        let mut actions = self.owned.follow(now, &self.view);
        actions.extend(self.write_if_due(now));
        actions
    }

    fn write_if_due(&mut self, now: UnixMs) -> Vec<OwnershipAction> {
        self.want(now);
        let Some(wanted) = &self.wanted else {
            return Vec::new();
        };
        let due = wanted.since_unix_ms + self.delay_ms(now);
        if now < due || !self.store.is_ready(now) {
            return Vec::new();
        }
        let Some(expected_mod_revision) = self.store.mod_revision else {
            self.store.call = StoreCall::Reading;
            return vec![OwnershipAction::ReadTable];
        };
        let table = wanted.table.clone();
        self.store.call = StoreCall::Writing(table.clone());
        vec![OwnershipAction::WriteTable {
            table,
            expected_mod_revision,
        }]
    }

    /// Works out the table that fits what is known now.
    fn want(&mut self, now: UnixMs) {
        if self.leaving || !self.view.knows_members() || !self.owned.has_first_epoch() {
            return;
        }
        let Some(table) = self.plan(now) else {
            self.wanted = None;
            return;
        };
        let since_unix_ms = self
            .wanted
            .take()
            .filter(|wanted| wanted.table == table)
            .map_or(now, |wanted| wanted.since_unix_ms);
        self.wanted = Some(Wanted {
            table,
            since_unix_ms,
        });
    }

    fn plan(&self, now: UnixMs) -> Option<OwnershipTable> {
        let in_table;
        let upstreams = if self.upstreams.is_empty() {
            in_table = self.view.table.upstreams.keys().cloned().collect();
            &in_table
        } else {
            &self.upstreams
        };
        let live = self.view.live(now);
        let mut lapsed = self.view.lapsed.clone();
        if self.has_void_place(now) {
            lapsed.insert(self.own.clone());
        }
        Planner::new(
            &self.view.table,
            &live,
            upstreams,
            self.settings.order_length,
        )
        .with_floors(&self.view.floors)
        .with_lapsed(&lapsed)
        .with_first_epoch(self.first_epoch)
        .plan()
    }

    /// Whether the table gives this instance a number that an earlier process may have used.
    fn has_void_place(&self, now: UnixMs) -> bool {
        self.view.table.upstreams.keys().any(|upstream| {
            self.view
                .owner_of(now, upstream)
                .is_some_and(|place| place.instance == self.own && !self.owned.may_use(place.epoch))
        })
    }

    fn delay_ms(&self, now: UnixMs) -> u64 {
        let live = self.view.live(now);
        let members = &self.view.table.members;
        let remaining = members
            .iter()
            .filter(|member| live.contains(*member))
            .count();
        if remaining * 2 < members.len() {
            return self.settings.minority_settle_ms;
        }
        if self.acts_out_of_order() || self.has_void_place(now) {
            return self.settings.settle_ms;
        }
        let rank = live.iter().position(|member| *member == self.own);
        let rank = rank.unwrap_or_default().min(self.settings.writers);
        self.settings.settle_ms + rank as u64 * self.settings.rank_delay_ms
    }

    /// Whether this instance owns an upstream that the table gives to another first.
    fn acts_out_of_order(&self) -> bool {
        self.owned.epochs().iter().any(|(upstream, epoch)| {
            let order = self.view.table.order_of(upstream);
            order.first().is_some_and(|head| head.epoch != *epoch)
        })
    }
}
