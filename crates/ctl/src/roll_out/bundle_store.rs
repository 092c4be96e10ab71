//! Bundles in the key-value service.

use std::sync::Arc;

use monsoonspread_borders::{CasOutcome, CreateOutcome, KeyValueStore, StoreError, Stored};
use monsoonspread_model::bundle::{BundleDelta, Manifest, decode, join};
use monsoonspread_model::{Bundle, BundleVersion};

const POINTER_KEY: &str = "/monsoonspread/bundle/pointer";
const HISTORY_PREFIX: &str = "/monsoonspread/bundle/history/";
const PART_PREFIX: &str = "/monsoonspread/bundle/part/";
const DELTA_PREFIX: &str = "/monsoonspread/bundle/delta/";

/// The bundle in force.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct InForce {
    /// Its manifest; `None` before the first roll-out.
    pub manifest: Option<Manifest>,
    /// Revision of the pointer, 0 before the first roll-out.
    pub mod_revision: u64,
}

impl InForce {
    /// The version in force, 0 for none.
    ///
    /// ```
    /// # use monsoonspread_ctl::roll_out::InForce;
    /// assert_eq!(InForce::default().version().0, 0);
    /// ```
    pub fn version(&self) -> BundleVersion {
        self.manifest
            .as_ref()
            .map_or(BundleVersion(0), |manifest| manifest.version)
    }
}

/// Reads and writes bundles in the key-value service.
#[derive(Clone)]
pub struct BundleStore {
    store: Arc<dyn KeyValueStore>,
}

impl BundleStore {
    /// Keeps bundles in `store`.
    ///
    /// ```
    /// # use std::sync::Arc;
    /// # use monsoonspread_borders::store::EtcdGateway;
    /// # use monsoonspread_ctl::roll_out::BundleStore;
    /// let store = Arc::new(EtcdGateway::new(vec!["127.0.0.1:1".parse().unwrap()]));
    /// let bundles = BundleStore::new(store);
    /// ```
    pub fn new(store: Arc<dyn KeyValueStore>) -> Self {
        Self { store }
    }

    /// The bundle in force.
    ///
    /// # Errors
    ///
    /// Fails when the key-value service does.
    ///
    /// ```
    /// # use std::sync::Arc;
    /// # use monsoonspread_borders::store::EtcdGateway;
    /// # use monsoonspread_ctl::roll_out::BundleStore;
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let store = Arc::new(EtcdGateway::new(vec!["127.0.0.1:1".parse().unwrap()]));
    /// assert!(BundleStore::new(store).in_force().await.is_err());
    /// # });
    /// ```
    pub async fn in_force(&self) -> Result<InForce, StoreError> {
        self.store.get(POINTER_KEY).await.and_then(in_force)
    }

    /// Moves the pointer from `expected_mod_revision` to `manifest`; else returns what stands there.
    pub(super) async fn move_pointer(
        &self,
        expected_mod_revision: u64,
        manifest: &Manifest,
    ) -> Result<Option<InForce>, StoreError> {
        let value = json(manifest)?;
        let outcome = self
            .store
            .compare_and_swap(POINTER_KEY, expected_mod_revision, &value)
            .await?;
        match outcome {
            CasOutcome::Written { .. } => Ok(None),
            CasOutcome::Conflict { current } => in_force(current).map(Some),
        }
    }

    /// Stores one part under its digest; the same part may be there already.
    pub(super) async fn put_part(&self, digest: &str, part: &[u8]) -> Result<(), StoreError> {
        self.create(format!("{PART_PREFIX}{digest}"), part.to_vec())
            .await
    }

    /// Adds a manifest to the history, where it may stand already.
    pub(super) async fn put_history(&self, manifest: &Manifest) -> Result<(), StoreError> {
        self.create(history_key(manifest.version), json(manifest)?)
            .await
    }

    /// The manifest that the history shows for a version.
    pub(super) async fn history_of(
        &self,
        version: BundleVersion,
    ) -> Result<Option<Manifest>, StoreError> {
        let stored = self.store.get(&history_key(version)).await?;
        stored.as_ref().map(manifest).transpose()
    }

    /// Stores the way from one version to the next, in place of a rival's that lost.
    pub(super) async fn put_delta(&self, delta: &BundleDelta) -> Result<(), StoreError> {
        let key = format!("{DELTA_PREFIX}{:012}", delta.to.0);
        let mut value = Vec::new();
        ciborium::into_writer(delta, &mut value)
            .map_err(|error| StoreError::Refused(error.to_string()))?;
        let mut expected_mod_revision = 0;
        loop {
            let outcome = self
                .store
                .compare_and_swap(&key, expected_mod_revision, &value)
                .await?;
            match outcome {
                CasOutcome::Written { .. } => return Ok(()),
                CasOutcome::Conflict { current: None } => expected_mod_revision = 0,
                CasOutcome::Conflict {
                    current: Some(current),
                } if current.value == value => return Ok(()),
                CasOutcome::Conflict {
                    current: Some(current),
                } => expected_mod_revision = current.mod_revision,
            }
        }
    }

    async fn create(&self, key: String, value: Vec<u8>) -> Result<(), StoreError> {
        match self.store.create_all(&[(key, value)]).await? {
            CreateOutcome::Created | CreateOutcome::Exists(_) => Ok(()),
        }
    }

    /// The content of a stored bundle; `None` when parts are missing or are not the signed ones.
    ///
    /// # Errors
    ///
    /// Fails when the key-value service does.
    ///
    /// ```
    /// # use std::sync::Arc;
    /// # use monsoonspread_borders::store::EtcdGateway;
    /// # use monsoonspread_ctl::roll_out::BundleStore;
    /// # use ed25519_dalek::SigningKey;
    /// # use monsoonspread_ctl::SignedBundle;
    /// # use monsoonspread_model::{Bundle, BundleVersion};
    /// # let key = SigningKey::from_bytes(&[7; 32]);
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let store = Arc::new(EtcdGateway::new(vec!["127.0.0.1:1".parse().unwrap()]));
    /// let signed = SignedBundle::sign(Bundle::sample(BundleVersion(1), 4), &key);
    /// assert!(BundleStore::new(store).bundle(signed.manifest()).await.is_err());
    /// # });
    /// ```
    pub async fn bundle(&self, manifest: &Manifest) -> Result<Option<Bundle>, StoreError> {
        let mut parts = Vec::new();
        for digest in &manifest.parts {
            let Some(part) = self.store.get(&format!("{PART_PREFIX}{digest}")).await? else {
                return Ok(None);
            };
            parts.push(part.value);
        }
        let content = join(&manifest.parts, &parts).ok();
        Ok(content.and_then(|content| decode(&content).ok()))
    }

    /// Every bundle that was in force, oldest first.
    ///
    /// # Errors
    ///
    /// Fails when the key-value service does.
    ///
    /// ```
    /// # use std::sync::Arc;
    /// # use monsoonspread_borders::store::EtcdGateway;
    /// # use monsoonspread_ctl::roll_out::BundleStore;
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let store = Arc::new(EtcdGateway::new(vec!["127.0.0.1:1".parse().unwrap()]));
    /// assert!(BundleStore::new(store).history().await.is_err());
    /// # });
    /// ```
    pub async fn history(&self) -> Result<Vec<Manifest>, StoreError> {
        let rows = self.store.list(HISTORY_PREFIX).await?;
        let mut history = rows.iter().map(manifest).collect::<Result<Vec<_>, _>>()?;
        let newest = history.last().map(|manifest| manifest.version);
        let in_force = self.in_force().await?.manifest;
        // A roll-out writes the history last, so its newest row may be missing.
        history.extend(in_force.filter(|manifest| Some(manifest.version) > newest));
        Ok(history)
    }
}

fn history_key(version: BundleVersion) -> String {
    format!("{HISTORY_PREFIX}{:012}", version.0)
}

fn in_force(stored: Option<Stored>) -> Result<InForce, StoreError> {
    let Some(stored) = stored else {
        return Ok(InForce::default());
    };
    Ok(InForce {
        manifest: Some(manifest(&stored)?),
        mod_revision: stored.mod_revision,
    })
}

fn manifest(stored: &Stored) -> Result<Manifest, StoreError> {
    serde_json::from_slice(&stored.value).map_err(|error| {
        StoreError::Refused(format!("key \"{}\" is not a manifest: {error}", stored.key))
    })
}

fn json(manifest: &Manifest) -> Result<Vec<u8>, StoreError> {
    serde_json::to_vec(manifest).map_err(|error| StoreError::Refused(error.to_string()))
}
