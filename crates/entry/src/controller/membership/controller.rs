//! Task that tracks the members of the zone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use monsoonspread_decisions::membership::{
    Member, Membership, MembershipAction, MembershipSettings,
};
use monsoonspread_model::message::Hello;
use monsoonspread_model::{InstanceKind, InstanceState, ListedInstance, UnixMs};
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval};

use super::{MembersView, MembershipCommand};
use crate::bundle_view::BundleView;
use crate::controller::Handles;
use crate::controller::bundle::BundleCommand;
use crate::controller::owner::OwnerCommand;
use crate::controller::ownership::OwnershipCommand;
use crate::directory::Directory;
use crate::event::Event;
use crate::settings::Settings;

/// Interval of the membership's time-driven steps.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Runs failure detection for the zone and publishes its members.
pub struct MembershipController {
    membership: Membership,
    settings: Arc<Settings>,
    handles: Handles,
    commands: mpsc::Receiver<MembershipCommand>,
    directory: watch::Receiver<Arc<Directory>>,
    bundle: watch::Receiver<Arc<BundleView>>,
    view: watch::Sender<Arc<MembersView>>,
    /// Members reached through fallback addresses while the instance list is unavailable.
    fallback_members: Vec<ListedInstance>,
}

impl MembershipController {
    /// Creates the task for an instance whose mesh listener is at `address`.
    pub fn new(
        settings: Arc<Settings>,
        address: SocketAddr,
        handles: Handles,
        commands: mpsc::Receiver<MembershipCommand>,
        directory: watch::Receiver<Arc<Directory>>,
        bundle: watch::Receiver<Arc<BundleView>>,
        view: watch::Sender<Arc<MembersView>>,
    ) -> Self {
        let local = Member {
            name: settings.instance.clone(),
            address,
        };
        let membership_settings = MembershipSettings::default();
        let membership = Membership::new(UnixMs::now(), local, membership_settings, rand::random());
        Self {
            membership,
            settings,
            handles,
            commands,
            directory,
            bundle,
            view,
            fallback_members: Vec::new(),
        }
    }

    /// Processes commands until every sender is dropped.
    pub async fn run(mut self) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.publish();
        loop {
            tokio::select! {
                command = self.commands.recv() => match command {
                    Some(command) => self.on_command(command),
                    None => return,
                },
                _ = ticks.tick() => {
                    let actions = self.membership.on_tick(UnixMs::now());
                    self.carry_out(actions);
                }
                Ok(()) = self.directory.changed() => self.on_directory(),
                Ok(()) = self.bundle.changed() => {
                    let version = self.bundle.borrow_and_update().bundle().version;
                    self.membership.on_bundle_version(version);
                }
            }
            self.publish();
        }
    }

    fn on_command(&mut self, command: MembershipCommand) {
        let now = UnixMs::now();
        let actions = match command {
            MembershipCommand::Connected { hello, address } => {
                return self.on_opened(&hello, address);
            }
            MembershipCommand::Swim { from, swim } => self.membership.on_swim(now, &from, swim),
            MembershipCommand::ConnectionRefused(peer) => {
                self.membership.on_connection_refused(now, &peer)
            }
            MembershipCommand::TableRevision(revision) => {
                self.membership.on_table_revision(revision);
                return;
            }
            MembershipCommand::Leave => self.membership.on_leave(now),
            MembershipCommand::Dump(reply) => {
                let _ = reply.send(self.membership.dump(now));
                return;
            }
        };
        self.carry_out(actions);
    }

    fn on_opened(&mut self, hello: &Hello, address: Option<SocketAddr>) {
        let peer = hello.instance.clone();
        let version = hello.bundle_version;
        self.handles
            .bundle
            .post(BundleCommand::PeerVersion { peer, version });
        let Some(address) = address.filter(|_| hello.zone == self.settings.zone) else {
            return;
        };
        let list_is_empty = self.directory.borrow().entries.is_empty();
        if !list_is_empty {
            return;
        }
        self.fallback_members
            .retain(|row| row.name != hello.instance.as_str());
        self.fallback_members.push(ListedInstance {
            name: hello.instance.to_string(),
            kind: InstanceKind::Entry,
            zone: hello.zone.clone(),
            address,
            state: InstanceState::Live,
            service: None,
            checks_fencing: false,
            adapter_slots: 0,
            batch_places: 0,
        });
        let actions = self
            .membership
            .on_listed(UnixMs::now(), &self.fallback_members);
        self.carry_out(actions);
    }

    fn on_directory(&mut self) {
        let directory = Arc::clone(&self.directory.borrow_and_update());
        let rows = directory.entries_of(&self.settings.zone);
        let actions = self.membership.on_listed(UnixMs::now(), &rows);
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<MembershipAction>) {
        for action in actions {
            match action {
                MembershipAction::Send { to, message } => {
                    if let Some(address) = self.membership.address_of(&to) {
                        self.handles.mesh.set_addresses(vec![(to.clone(), address)]);
                    }
                    self.handles.mesh.send(&to, message);
                }
                MembershipAction::Changed { member, health } => {
                    Event::MemberChanged {
                        member: &member,
                        health: &health,
                    }
                    .log();
                }
                MembershipAction::Restarted { member } => {
                    let ended = OwnerCommand::InstanceEnded(member.clone());
                    self.handles.owner.post(ended);
                    let restarted = OwnershipCommand::Restarted(member);
                    self.handles.ownership.post(restarted);
                }
                MembershipAction::PeerHasBundle { peer, version } => {
                    let peer_version = BundleCommand::PeerVersion { peer, version };
                    self.handles.bundle.post(peer_version);
                }
                MembershipAction::PeerHasTable { peer, .. } => {
                    let peer_has_table = OwnershipCommand::PeerHasTable(peer);
                    self.handles.ownership.post(peer_has_table);
                }
                MembershipAction::Event(notice) => {
                    Event::MembershipNotice { notice: &notice }.log();
                }
            }
        }
    }

    fn publish(&self) {
        let view = MembersView {
            members: self.membership.members(),
            live: self.membership.live(),
        };
        self.view.send_if_modified(|published| {
            let changed = **published != view;
            if changed {
                *published = Arc::new(view);
            }
            changed
        });
    }
}
