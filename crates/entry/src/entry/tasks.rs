//! Starts the tasks of an instance.

use std::net::SocketAddr;
use std::sync::Arc;

use monsoonspread_model::message::Hello;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::inboxes::{Inboxes, Mailboxes};
use super::views::{Publishers, Views};
use crate::bundle_view::BundleView;
use crate::controller::bundle::{BundleController, PointerWatcher};
use crate::controller::dispatch::DispatchController;
use crate::controller::membership::MembershipController;
use crate::controller::owner::OwnerController;
use crate::controller::ownership::OwnershipController;
use crate::controller::service::{ClaimBatches, RouteController};
use crate::directory::Poller;
use crate::metrics::Metrics;
use crate::platform::Platform;
use crate::run_state::RunState;
use crate::settings::Settings;

/// State shared by the tasks of one instance.
pub(super) struct TaskStarter<'a> {
    pub(super) settings: &'a Arc<Settings>,
    pub(super) platform: &'a Platform,
    pub(super) mailboxes: &'a Mailboxes,
    pub(super) views: &'a Views,
    pub(super) metrics: &'a Metrics,
    pub(super) mesh_address: SocketAddr,
}

impl TaskStarter<'_> {
    /// Spawns all controllers on `tasks`.
    pub(super) fn start(&self, inboxes: Inboxes, publishers: Publishers, tasks: &mut JoinSet<()>) {
        let settings = self.settings;
        let handles = &self.mailboxes.handles;
        let store = &self.platform.store;
        let views = self.views.clone();
        let dispatch = DispatchController::new(
            settings.instance.clone(),
            settings.zone.clone(),
            handles.clone(),
            inboxes.dispatch,
            views.directory.clone(),
            views.owners,
            self.metrics.clone(),
        );
        let owner = OwnerController::new(
            Arc::clone(settings),
            handles.clone(),
            inboxes.owner,
            views.directory.clone(),
            self.metrics.clone(),
        );
        let membership = MembershipController::new(
            Arc::clone(settings),
            self.mesh_address,
            handles.clone(),
            inboxes.membership,
            views.directory.clone(),
            views.bundle.clone(),
            publishers.members,
        );
        let ownership = OwnershipController::new(
            Arc::clone(settings),
            Arc::clone(store),
            handles.clone(),
            inboxes.ownership,
            views.directory.clone(),
            views.members.clone(),
            publishers.owners,
        );
        let bundle = BundleController::new(
            settings,
            Arc::clone(store),
            handles.clone(),
            inboxes.bundle,
            views.directory.clone(),
            views.members.clone(),
            publishers.bundle,
        )
        .with_metrics(self.metrics.clone());
        let pointer = PointerWatcher::new(
            settings.instance.clone(),
            Arc::clone(store),
            views.members,
            handles.bundle.clone(),
        );
        let routes = RouteController::new(settings.zone.clone(), inboxes.routes, views.directory);
        let claims = self.mailboxes.claims.clone();
        let claims = ClaimBatches::new(Arc::clone(store), claims, inboxes.claims);
        let poller = Poller::new(
            Arc::clone(settings),
            self.platform.clone(),
            handles.mesh.clone(),
            inboxes.directory,
            publishers.directory,
        );
        tasks.spawn(dispatch.run());
        tasks.spawn(owner.run());
        tasks.spawn(membership.run());
        tasks.spawn(ownership.run());
        tasks.spawn(bundle.run());
        tasks.spawn(pointer.run());
        tasks.spawn(routes.run());
        tasks.spawn(claims.run());
        tasks.spawn(poller.run());
        tasks.spawn(track_bundle(
            views.bundle,
            publishers.hello,
            publishers.state,
        ));
    }
}

/// Sets the state to ready on the first bundle and keeps the bundle version in the handshake
/// message current.
async fn track_bundle(
    mut bundle: watch::Receiver<Arc<BundleView>>,
    hello: watch::Sender<Hello>,
    state: watch::Sender<RunState>,
) {
    while bundle.changed().await.is_ok() {
        let version = bundle.borrow_and_update().bundle().version;
        hello.send_modify(|hello| hello.bundle_version = version);
        state.send_if_modified(|state| {
            let is_starting = *state == RunState::Starting;
            if is_starting {
                *state = RunState::Ready;
            }
            is_starting
        });
    }
}
