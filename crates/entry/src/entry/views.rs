//! Watch channels with the snapshots that tasks publish to each other.

use std::sync::Arc;

use monsoonspread_model::message::Hello;
use tokio::sync::watch;

use crate::bundle_view::BundleView;
use crate::controller::dispatch::OwnerMap;
use crate::controller::membership::MembersView;
use crate::directory::Directory;
use crate::run_state::RunState;

/// Receivers of the snapshots.
#[derive(Clone)]
pub(super) struct Views {
    pub(super) hello: watch::Receiver<Hello>,
    pub(super) directory: watch::Receiver<Arc<Directory>>,
    pub(super) bundle: watch::Receiver<Arc<BundleView>>,
    pub(super) members: watch::Receiver<Arc<MembersView>>,
    pub(super) owners: watch::Receiver<Arc<OwnerMap>>,
    pub(super) state: watch::Receiver<RunState>,
}

/// Senders of the snapshots.
pub(super) struct Publishers {
    pub(super) hello: watch::Sender<Hello>,
    pub(super) directory: watch::Sender<Arc<Directory>>,
    pub(super) bundle: watch::Sender<Arc<BundleView>>,
    pub(super) members: watch::Sender<Arc<MembersView>>,
    pub(super) owners: watch::Sender<Arc<OwnerMap>>,
    pub(super) state: watch::Sender<RunState>,
}

impl Publishers {
    /// Creates the channels with empty snapshots; `hello` is the initial handshake message.
    pub(super) fn new(hello: Hello) -> Self {
        Self {
            hello: watch::Sender::new(hello),
            directory: watch::Sender::default(),
            bundle: watch::Sender::default(),
            members: watch::Sender::default(),
            owners: watch::Sender::default(),
            state: watch::Sender::new(RunState::Starting),
        }
    }

    /// Creates receivers for all snapshots.
    pub(super) fn views(&self) -> Views {
        Views {
            hello: self.hello.subscribe(),
            directory: self.directory.subscribe(),
            bundle: self.bundle.subscribe(),
            members: self.members.subscribe(),
            owners: self.owners.subscribe(),
            state: self.state.subscribe(),
        }
    }
}
