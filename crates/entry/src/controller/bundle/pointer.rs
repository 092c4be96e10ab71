//! Task that reads the key-value service's pointer to the bundle in force.

use std::sync::Arc;
use std::time::Duration;

use monsoonspread_borders::{KeyValueStore, Stored};
use monsoonspread_model::InstanceName;
use monsoonspread_model::bundle::Manifest;
use tokio::sync::watch;
use tokio::time::sleep;

use super::BundleCommand;
use super::store_calls::POINTER_KEY;
use crate::controller::Mailbox;
use crate::controller::membership::MembersView;
use crate::event::Event;

/// Poll interval of instances that don't watch the pointer.
const POLL_INTERVAL: Duration = Duration::from_secs(10);
/// Delay before a retry after a failure of the key-value service.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Watches the pointer when this instance is a watcher of the zone; otherwise polls it.
pub struct PointerWatcher {
    local_instance: InstanceName,
    store: Arc<dyn KeyValueStore>,
    members: watch::Receiver<Arc<MembersView>>,
    bundle: Mailbox<BundleCommand>,
    available: bool,
}

impl PointerWatcher {
    /// Creates the task; [`Self::run`] runs it.
    pub fn new(
        local_instance: InstanceName,
        store: Arc<dyn KeyValueStore>,
        members: watch::Receiver<Arc<MembersView>>,
        bundle: Mailbox<BundleCommand>,
    ) -> Self {
        Self {
            local_instance,
            store,
            members,
            bundle,
            available: true,
        }
    }

    /// Watches or polls the pointer until the future is dropped.
    pub async fn run(mut self) {
        loop {
            let Some(revision) = self.read().await else {
                sleep(RETRY_DELAY).await;
                continue;
            };
            if self.is_watcher() {
                self.watch(revision).await;
                continue;
            }
            tokio::select! {
                () = sleep(POLL_INTERVAL) => {}
                () = wait_until_watcher(self.members.clone(), self.local_instance.clone()) => {}
            }
        }
    }

    fn is_watcher(&self) -> bool {
        self.members.borrow().is_watcher(&self.local_instance)
    }

    /// Reads the pointer and returns the revision of its last write, 0 if it has none; `None` when
    /// the key-value service fails.
    async fn read(&mut self) -> Option<u64> {
        match self.store.get(POINTER_KEY).await {
            Ok(stored) => {
                self.available = true;
                if let Some(stored) = &stored {
                    self.on_stored(stored);
                }
                Some(stored.map_or(0, |stored| stored.mod_revision))
            }
            Err(error) => {
                if self.available {
                    Event::StoreUnavailable {
                        call: "read bundle pointer",
                        error: &error.to_string(),
                    }
                    .log();
                }
                self.available = false;
                None
            }
        }
    }

    async fn watch(&self, after_revision: u64) {
        let Ok(mut writes) = self.store.watch(POINTER_KEY, after_revision).await else {
            return sleep(RETRY_DELAY).await;
        };
        while let Some(stored) = writes.recv().await {
            self.on_stored(&stored);
            if !self.is_watcher() {
                return;
            }
        }
        sleep(RETRY_DELAY).await;
    }

    fn on_stored(&self, stored: &Stored) {
        if let Ok(manifest) = serde_json::from_slice::<Manifest>(&stored.value) {
            self.bundle.post(BundleCommand::Pointer(manifest));
        }
    }
}

async fn wait_until_watcher(
    mut members: watch::Receiver<Arc<MembersView>>,
    local_instance: InstanceName,
) {
    if members
        .wait_for(|members| members.is_watcher(&local_instance))
        .await
        .is_err()
    {
        std::future::pending::<()>().await;
    }
}
