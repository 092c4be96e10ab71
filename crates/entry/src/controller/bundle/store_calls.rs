//! Reads of bundles from the key-value service.

use std::sync::Arc;

use monsoonspread_borders::{KeyValueStore, StoreError};
use monsoonspread_model::BundleVersion;
use monsoonspread_model::bundle::{BundleDelta, Manifest, join};

use super::BundleCommand;
use crate::controller::Mailbox;

/// Key of the manifest of the bundle in force.
pub(super) const POINTER_KEY: &str = "/monsoonspread/bundle/pointer";

/// Reads bundles and posts the results to the bundle task.
#[derive(Clone)]
pub(super) struct StoreCalls {
    pub(super) store: Arc<dyn KeyValueStore>,
    pub(super) bundle: Mailbox<BundleCommand>,
}

impl StoreCalls {
    /// Reads the delta if it starts at `local_version`, otherwise all parts.
    pub(super) async fn fetch(self, manifest: Manifest, local_version: BundleVersion) {
        if let Some(delta) = self.read_delta(&manifest, local_version).await {
            let command = BundleCommand::StoredDelta { manifest, delta };
            return self.bundle.post(command);
        }
        let command = match self.read_parts(&manifest).await {
            Ok(Some(content)) => BundleCommand::Parts { manifest, content },
            _ => BundleCommand::FetchFailed,
        };
        self.bundle.post(command);
    }

    async fn read_delta(
        &self,
        manifest: &Manifest,
        local_version: BundleVersion,
    ) -> Option<BundleDelta> {
        if local_version.0 == 0 || local_version.0 + 1 != manifest.version.0 {
            return None;
        }
        let key = format!("/monsoonspread/bundle/delta/{:012}", manifest.version.0);
        let stored = self.store.get(&key).await.ok()??;
        let delta: BundleDelta = ciborium::from_reader(stored.value.as_slice()).ok()?;
        (delta.from == local_version).then_some(delta)
    }

    async fn read_parts(&self, manifest: &Manifest) -> Result<Option<Vec<u8>>, StoreError> {
        let mut parts = Vec::new();
        for digest in &manifest.parts {
            let key = format!("/monsoonspread/bundle/part/{digest}");
            let Some(stored) = self.store.get(&key).await? else {
                return Ok(None);
            };
            parts.push(stored.value);
        }
        Ok(join(&manifest.parts, &parts).ok())
    }
}
