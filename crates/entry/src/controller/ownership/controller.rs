//! Task that keeps the ownership tables.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use monsoonspread_borders::KeyValueStore;
use monsoonspread_decisions::owner::OwnershipOrigin;
use monsoonspread_decisions::ownership::{
    AcquisitionKind, Ownership, OwnershipAction, OwnershipSettings, TableDirectory, TableSource,
};
use monsoonspread_model::message::{Handover, MeshMessage};
use monsoonspread_model::{Epoch, InstanceName, OwnershipTable, UnixMs, UpstreamName, ZoneName};
use rand::seq::IndexedRandom;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval};

use super::OwnershipCommand;
use super::command::StoredTable;
use super::store_calls::StoreCalls;
use crate::controller::Handles;
use crate::controller::dispatch::OwnerMap;
use crate::controller::membership::{MembersView, MembershipCommand};
use crate::controller::owner::OwnerCommand;
use crate::directory::Directory;
use crate::event::Event;
use crate::settings::Settings;

/// Interval of the ownership's time-driven steps.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which owners are looked up again without a preceding change.
const REPUBLISH_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which other zones' tables are requested.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);
/// How long an unresponsive instance of another zone is skipped.
const PEER_BACKOFF_MS: u64 = 2_000;
/// Instances of the local zone that are sent a new table; the others see its revision in probes and
/// request it.
const TABLE_RECIPIENTS_IN_ZONE: usize = 12;
/// Instances of each other zone that are sent a new table.
const TABLE_RECIPIENTS_PER_OTHER_ZONE: usize = 2;

/// Keeps the local zone's table and copies of other zones' tables, and publishes the owners.
pub struct OwnershipController {
    ownership: Ownership,
    other_zones: TableDirectory,
    settings: Arc<Settings>,
    handles: Handles,
    calls: StoreCalls,
    commands: mpsc::Receiver<OwnershipCommand>,
    directory: watch::Receiver<Arc<Directory>>,
    members: watch::Receiver<Arc<MembersView>>,
    owners: watch::Sender<Arc<OwnerMap>>,
    handovers: BTreeMap<UpstreamName, Handover>,
    leave_done: Option<oneshot::Sender<()>>,
}

impl OwnershipController {
    /// Creates the task; [`Self::run`] runs it.
    pub fn new(
        settings: Arc<Settings>,
        store: Arc<dyn KeyValueStore>,
        handles: Handles,
        commands: mpsc::Receiver<OwnershipCommand>,
        directory: watch::Receiver<Arc<Directory>>,
        members: watch::Receiver<Arc<MembersView>>,
        owners: watch::Sender<Arc<OwnerMap>>,
    ) -> Self {
        let calls = StoreCalls {
            store,
            ownership: handles.ownership.clone(),
        };
        Self {
            ownership: Ownership::new(
                settings.instance.clone(),
                settings.zone.clone(),
                OwnershipSettings::default(),
            ),
            other_zones: TableDirectory::new(),
            settings,
            handles,
            calls,
            commands,
            directory,
            members,
            owners,
            handovers: BTreeMap::new(),
            leave_done: None,
        }
    }

    /// Processes commands until every sender is dropped.
    pub async fn run(mut self) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut refreshes = interval(REFRESH_INTERVAL);
        refreshes.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut republishes = interval(REPUBLISH_INTERVAL);
        republishes.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = self.commands.recv() => match command {
                    Some(command) => self.on_command(command),
                    None => return,
                },
                _ = ticks.tick() => {
                    let actions = self.ownership.on_tick(UnixMs::now());
                    if actions.is_empty() {
                        continue;
                    }
                    self.carry_out(actions);
                }
                _ = republishes.tick() => {}
                _ = refreshes.tick() => self.refresh(),
                Ok(()) = self.directory.changed() => self.on_directory(),
                Ok(()) = self.members.changed() => {
                    let members = Arc::clone(&self.members.borrow_and_update());
                    let actions = self.ownership.on_members(UnixMs::now(), &members.members);
                    self.carry_out(actions);
                }
            }
            self.publish();
        }
    }

    fn on_command(&mut self, command: OwnershipCommand) {
        let now = UnixMs::now();
        let actions = match command {
            OwnershipCommand::Table { from, table } => return self.on_table(&from, table),
            OwnershipCommand::TableRequest {
                from,
                zone,
                known_revision,
            } => return self.on_table_request(&from, &zone, known_revision),
            OwnershipCommand::PeerHasTable(peer) => {
                let zone = self.settings.zone.clone();
                return self.request_table(&peer, zone);
            }
            OwnershipCommand::Handover { from, handover } => {
                let upstream = handover.upstream.clone();
                let epoch = handover.from_epoch;
                self.handovers.insert(upstream.clone(), handover);
                self.ownership.on_handover(now, &from, &upstream, epoch)
            }
            OwnershipCommand::Restarted(member) => self.ownership.on_restarted(now, &member),
            OwnershipCommand::SteppedDown { upstream, epoch } => {
                self.ownership.on_stepped_down(now, &upstream, epoch)
            }
            OwnershipCommand::EpochSeen { upstream, epoch } => {
                self.other_zones.on_epoch_seen(&upstream, epoch);
                self.ownership.on_epoch_seen(now, &upstream, epoch)
            }
            OwnershipCommand::PeerUnresponsive(peer) => {
                return self.other_zones.on_failing(&peer, now + PEER_BACKOFF_MS);
            }
            OwnershipCommand::PeerResponsive(peer) => return self.other_zones.on_answering(&peer),
            OwnershipCommand::Read(Ok(Some(stored))) => self.on_stored(now, stored),
            OwnershipCommand::Read(Ok(None)) => self.ownership.on_table_absent(now),
            OwnershipCommand::Read(Err(())) => self.ownership.on_read_failed(now),
            OwnershipCommand::ReadAll(tables) => return self.on_all_tables(now, tables),
            OwnershipCommand::Wrote(result) => self.ownership.on_write_result(now, result),
            OwnershipCommand::Leave { done } => {
                self.leave_done = Some(done);
                self.ownership.on_leave(now)
            }
            OwnershipCommand::Dump(reply) => {
                let _ = reply.send(self.ownership.dump(now));
                return;
            }
        };
        self.carry_out(actions);
    }

    fn on_stored(&mut self, now: UnixMs, stored: StoredTable) -> Vec<OwnershipAction> {
        let source = TableSource::Store {
            mod_revision: stored.mod_revision,
        };
        self.ownership.on_table(now, stored.table, source)
    }

    fn on_all_tables(&mut self, now: UnixMs, tables: Vec<StoredTable>) {
        for stored in tables {
            if stored.table.zone != self.settings.zone {
                self.other_zones.on_table(stored.table);
            } else if stored.table.revision > self.ownership.table().revision {
                let actions = self.on_stored(now, stored);
                self.carry_out(actions);
            }
        }
    }

    fn on_table(&mut self, from: &InstanceName, table: OwnershipTable) {
        if table.zone == self.settings.zone {
            let actions = self
                .ownership
                .on_table(UnixMs::now(), table, TableSource::Peer);
            return self.carry_out(actions);
        }
        let is_new = self.other_zones.on_table(table.clone());
        let zone_members = Arc::clone(&self.members.borrow());
        let from_local_zone = zone_members.live.contains(from);
        if is_new && !from_local_zone {
            self.send_table(&zone_members.live, &table);
        }
    }

    fn on_table_request(&self, from: &InstanceName, zone: &ZoneName, known_revision: u64) {
        let table = if *zone == self.settings.zone {
            Some(self.ownership.table())
        } else {
            self.other_zones.tables().find(|table| table.zone == *zone)
        };
        if let Some(table) = table.filter(|table| table.revision > known_revision) {
            let message = MeshMessage::Table(table.clone());
            self.handles.mesh.send(from, message);
        }
    }

    fn request_table(&self, peer: &InstanceName, zone: ZoneName) {
        let known_revision = if zone == self.settings.zone {
            self.ownership.table().revision
        } else {
            self.other_zones.revision_of(&zone)
        };
        let message = MeshMessage::TableRequest {
            zone,
            known_revision,
        };
        self.handles.mesh.send(peer, message);
    }

    fn on_directory(&mut self) {
        let directory = Arc::clone(&self.directory.borrow_and_update());
        let mut rows = directory.engines_of(&self.settings.zone);
        rows.extend(directory.entries.iter().cloned());
        let actions = self.ownership.on_listed(UnixMs::now(), &rows);
        self.carry_out(actions);
        let unknown = |zone: &&ZoneName| self.other_zones.revision_of(zone) == 0;
        if self.other_zone_names().any(|zone| unknown(&zone)) {
            self.refresh();
        }
    }

    /// Requests newer tables: a watcher of the zone reads the key-value service, and every instance
    /// asks one instance of each other zone.
    fn refresh(&self) {
        if self.members.borrow().is_watcher(&self.settings.instance) {
            tokio::spawn(self.calls.clone().read_all());
        }
        let directory = Arc::clone(&self.directory.borrow());
        for zone in self.other_zone_names() {
            let entries = directory.entries_of(zone);
            if let Some(entry) = entries.choose(&mut rand::rng()) {
                self.request_table(&entry.name.as_str().into(), zone.clone());
            }
        }
    }

    fn other_zone_names(&self) -> impl Iterator<Item = &ZoneName> {
        self.settings
            .region_zones
            .iter()
            .filter(|zone| **zone != self.settings.zone)
    }

    fn carry_out(&mut self, actions: Vec<OwnershipAction>) {
        for action in actions {
            match action {
                OwnershipAction::WriteTable {
                    table,
                    expected_mod_revision,
                } => {
                    tokio::spawn(self.calls.clone().write(table, expected_mod_revision));
                }
                OwnershipAction::ReadTable => {
                    let zone = self.settings.zone.clone();
                    tokio::spawn(self.calls.clone().read(zone));
                }
                OwnershipAction::SpreadTable(table) => self.distribute_table(&table),
                OwnershipAction::Own {
                    upstream,
                    epoch,
                    kind,
                    holders,
                } => self.take_ownership(upstream, epoch, kind, holders),
                OwnershipAction::Disown { upstream } => {
                    self.handles.owner.post(OwnerCommand::Disown(upstream));
                }
                OwnershipAction::HandOver { successors } => {
                    if let Some(done) = self.leave_done.take() {
                        let hand_over = OwnerCommand::HandOver { successors, done };
                        self.handles.owner.post(hand_over);
                    }
                }
                OwnershipAction::Event(notice) => {
                    Event::OwnershipNotice { notice: &notice }.log();
                }
            }
        }
        let revision = self.ownership.table().revision;
        self.handles
            .membership
            .post(MembershipCommand::TableRevision(revision));
    }

    fn take_ownership(
        &mut self,
        upstream: UpstreamName,
        epoch: Epoch,
        kind: AcquisitionKind,
        holders: Vec<InstanceName>,
    ) {
        let handover = self.handovers.remove(&upstream);
        let origin = match (kind, handover) {
            (AcquisitionKind::Fresh, _) => OwnershipOrigin::Fresh,
            (AcquisitionKind::Handover, Some(handover)) => OwnershipOrigin::Handover(handover),
            (AcquisitionKind::Takeover | AcquisitionKind::Handover, _) => OwnershipOrigin::Takeover,
        };
        self.handles.owner.post(OwnerCommand::Own {
            upstream,
            epoch,
            origin,
            holders,
        });
    }

    fn distribute_table(&self, table: &OwnershipTable) {
        let members = Arc::clone(&self.members.borrow());
        let recipients: Vec<InstanceName> = members
            .live
            .sample(&mut rand::rng(), TABLE_RECIPIENTS_IN_ZONE)
            .cloned()
            .collect();
        self.send_table(&recipients, table);
        let directory = Arc::clone(&self.directory.borrow());
        for zone in self.other_zone_names() {
            let entries = directory.entries_of(zone);
            let recipients: Vec<InstanceName> = entries
                .sample(&mut rand::rng(), TABLE_RECIPIENTS_PER_OTHER_ZONE)
                .map(|entry| entry.name.as_str().into())
                .collect();
            self.send_table(&recipients, table);
        }
    }

    fn send_table(&self, peers: &[InstanceName], table: &OwnershipTable) {
        let local_instance = &self.settings.instance;
        for peer in peers.iter().filter(|peer| *peer != local_instance) {
            let message = MeshMessage::Table(table.clone());
            self.handles.mesh.send(peer, message);
        }
    }

    fn publish(&self) {
        let now = UnixMs::now();
        let local_zone = self.ownership.table().upstreams.keys();
        let local_zone = local_zone.filter_map(|upstream| {
            let owner = self.ownership.owner_of(now, upstream)?;
            Some((upstream.clone(), owner.instance.clone()))
        });
        let others = self.other_zones.tables();
        let others = others.flat_map(|table| table.upstreams.keys());
        let others = others.filter_map(|upstream| {
            let owner = self.other_zones.owner_of(now, upstream)?;
            Some((upstream.clone(), owner.instance.clone()))
        });
        let map: OwnerMap = others.chain(local_zone).collect();
        self.owners.send_if_modified(|published| {
            let changed = **published != map;
            if changed {
                *published = Arc::new(map);
            }
            changed
        });
    }
}
