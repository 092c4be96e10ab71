//! Task that keeps the bundle in force and distributes new ones.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use monsoonspread_borders::KeyValueStore;
use monsoonspread_decisions::bundle_spread::{BundleAction, BundleSpread, BundleSpreadSettings};
use monsoonspread_model::{Bundle, InstanceName, UnixMs};
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval};

use super::BundleCommand;
use super::store_calls::StoreCalls;
use crate::bundle_view::BundleView;
use crate::controller::Handles;
use crate::controller::membership::MembersView;
use crate::directory::Directory;
use crate::event::Event;
use crate::metrics::Metrics;
use crate::settings::Settings;

/// Interval of the time-driven steps of the bundle state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the bundle state machine and publishes the bundle in force.
pub struct BundleController {
    spread: BundleSpread,
    handles: Handles,
    calls: StoreCalls,
    commands: mpsc::Receiver<BundleCommand>,
    directory: watch::Receiver<Arc<Directory>>,
    members: watch::Receiver<Arc<MembersView>>,
    view: watch::Sender<Arc<BundleView>>,
    metrics: Metrics,
}

impl BundleController {
    /// Creates the task; [`Self::run`] runs it.
    pub fn new(
        settings: &Settings,
        store: Arc<dyn KeyValueStore>,
        handles: Handles,
        commands: mpsc::Receiver<BundleCommand>,
        directory: watch::Receiver<Arc<Directory>>,
        members: watch::Receiver<Arc<MembersView>>,
        view: watch::Sender<Arc<BundleView>>,
    ) -> Self {
        let calls = StoreCalls {
            store,
            bundle: handles.bundle.clone(),
        };
        let spread = BundleSpread::new(
            settings.instance.clone(),
            BundleSpreadSettings::default(),
            Box::new(settings.verifier.clone()),
            rand::random(),
        );
        Self {
            spread,
            handles,
            calls,
            commands,
            directory,
            members,
            view,
            metrics: Metrics::new(None, ""),
        }
    }

    /// Reports the version in force to `metrics`.
    #[must_use]
    pub fn with_metrics(mut self, metrics: Metrics) -> Self {
        self.metrics = metrics;
        self
    }

    /// Processes commands until every sender is dropped.
    pub async fn run(mut self) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = self.commands.recv() => match command {
                    Some(command) => self.on_command(command),
                    None => return,
                },
                _ = ticks.tick() => {
                    let actions = self.spread.on_tick(UnixMs::now());
                    self.carry_out(actions);
                }
                Ok(()) = self.directory.changed() => self.on_peers(),
                Ok(()) = self.members.changed() => self.on_peers(),
            }
        }
    }

    fn on_command(&mut self, command: BundleCommand) {
        let now = UnixMs::now();
        let spread = &mut self.spread;
        let actions = match command {
            BundleCommand::Pointer(manifest) => spread.on_pointer(now, manifest),
            BundleCommand::StoredDelta { manifest, delta } => {
                spread.on_stored_delta(now, manifest, delta)
            }
            BundleCommand::Parts { manifest, content } => spread.on_parts(now, manifest, &content),
            BundleCommand::FetchFailed => spread.on_fetch_failed(now),
            BundleCommand::Notice { from, notice } => spread.on_notice(now, &from, notice),
            BundleCommand::Request { from, request } => spread.on_request(now, &from, request),
            BundleCommand::Content { from, content } => spread.on_content(now, &from, content),
            BundleCommand::PeerVersion { peer, version } => {
                spread.on_peer_version(now, &peer, version)
            }
            BundleCommand::Dump(reply) => {
                let _ = reply.send(spread.dump(now));
                return;
            }
        };
        self.carry_out(actions);
    }

    fn on_peers(&mut self) {
        let directory = Arc::clone(&self.directory.borrow_and_update());
        let members = Arc::clone(&self.members.borrow_and_update());
        let listed = directory.mesh_addresses().into_iter().map(|(name, _)| name);
        let peers: BTreeSet<InstanceName> = listed.chain(members.live.iter().cloned()).collect();
        let peers: Vec<InstanceName> = peers.into_iter().collect();
        self.spread.on_peers(UnixMs::now(), &peers);
    }

    fn carry_out(&mut self, actions: Vec<BundleAction>) {
        for action in actions {
            match action {
                BundleAction::Adopt(bundle) => self.adopt(bundle),
                BundleAction::FetchFromStore(manifest) => {
                    let local_version = self.spread.version();
                    tokio::spawn(self.calls.clone().fetch(manifest, local_version));
                }
                BundleAction::Send { to, message } => {
                    self.handles.mesh.send(&to, message);
                }
                BundleAction::Notify { peers, message } => {
                    for peer in peers {
                        self.handles.mesh.send(&peer, message.clone());
                    }
                }
                BundleAction::Event(notice) => Event::BundleNotice { notice: &notice }.log(),
            }
        }
    }

    fn adopt(&self, bundle: Arc<Bundle>) {
        let version = bundle.version;
        self.view.send_replace(Arc::new(BundleView::new(bundle)));
        self.metrics.on_bundle(version.0);
        Event::BundleInForce { version }.log();
    }
}
