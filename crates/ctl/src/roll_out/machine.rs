//! The steps of a roll-out.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use monsoonspread_borders::{KeyValueStore, StoreError};
use monsoonspread_model::UnixMs;
use monsoonspread_model::bundle::{BundleDelta, MAX_PART_BYTES, Manifest};

use super::{BundleStore, InForce, RollOutError, RollOutOutcome};
use crate::signed_bundle::SignedBundle;

const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Puts signed bundles in force.
#[derive(Clone)]
pub struct RollOut {
    store: BundleStore,
    deadline_unix_ms: UnixMs,
}

impl RollOut {
    /// Writes to `store` and gives up at the deadline.
    ///
    /// ```
    /// # use std::sync::Arc;
    /// # use monsoonspread_borders::store::EtcdGateway;
    /// # use monsoonspread_ctl::RollOut;
    /// # use monsoonspread_model::UnixMs;
    /// let store = Arc::new(EtcdGateway::new(vec!["127.0.0.1:1".parse().unwrap()]));
    /// let roll_out = RollOut::new(store, UnixMs::now() + 30_000);
    /// ```
    pub fn new(store: Arc<dyn KeyValueStore>, deadline_unix_ms: UnixMs) -> Self {
        Self {
            store: BundleStore::new(store),
            deadline_unix_ms,
        }
    }

    /// Puts `signed` in force as the successor of the bundle in force.
    ///
    /// # Errors
    ///
    /// Tells a conflict, a write that did not happen and an unknown outcome apart.
    ///
    /// ```
    /// # use std::sync::Arc;
    /// # use monsoonspread_borders::store::EtcdGateway;
    /// # use monsoonspread_ctl::RollOut;
    /// # use monsoonspread_model::UnixMs;
    /// # use ed25519_dalek::SigningKey;
    /// # use monsoonspread_ctl::SignedBundle;
    /// # use monsoonspread_model::{Bundle, BundleVersion};
    /// # let key = SigningKey::from_bytes(&[7; 32]);
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let store = Arc::new(EtcdGateway::new(vec!["127.0.0.1:1".parse().unwrap()]));
    /// let signed = SignedBundle::sign(Bundle::sample(BundleVersion(1), 4), &key);
    /// let error = RollOut::new(store, UnixMs(0)).run(&signed).await.unwrap_err();
    /// assert!(!error.is_conflict());
    /// # });
    /// ```
    pub async fn run(&self, signed: &SignedBundle) -> Result<RollOutOutcome, RollOutError> {
        let manifest = signed.manifest();
        let not_written = |error: StoreError| RollOutError::NotWritten {
            version: manifest.version.0,
            why: error.to_string(),
        };
        let in_force = self
            .retry(|| self.store.in_force())
            .await
            .map_err(not_written)?;
        if in_force.manifest.as_ref() == Some(manifest) {
            self.note_history(manifest).await;
            return Ok(RollOutOutcome::AlreadyInForce);
        }
        check_succession(manifest, &in_force)?;
        let delta = self.prepare(signed, &in_force).await.map_err(not_written)?;
        self.move_pointer(manifest, &in_force).await?;
        self.finish(manifest, delta.as_ref()).await;
        Ok(RollOutOutcome::Written)
    }

    /// Writes what must be there before the pointer moves.
    async fn prepare(
        &self,
        signed: &SignedBundle,
        in_force: &InForce,
    ) -> Result<Option<BundleDelta>, StoreError> {
        if let Some(predecessor) = &in_force.manifest {
            self.retry(|| self.store.put_history(predecessor)).await?;
        }
        for (digest, part) in signed.parts() {
            self.retry(|| self.store.put_part(digest, part)).await?;
        }
        let delta = self.delta(signed, in_force).await?;
        if let Some(delta) = &delta {
            self.retry(|| self.store.put_delta(delta)).await?;
        }
        Ok(delta)
    }

    /// What changes from the bundle in force, where that is known and small enough to store.
    async fn delta(
        &self,
        signed: &SignedBundle,
        in_force: &InForce,
    ) -> Result<Option<BundleDelta>, StoreError> {
        let Some(predecessor) = &in_force.manifest else {
            return Ok(None);
        };
        let old = self.retry(|| self.store.bundle(predecessor)).await?;
        let delta = old.map(|old| BundleDelta::between(&old, signed.bundle()));
        Ok(delta.filter(is_storable))
    }

    /// Moves the pointer; an answer lost after the write is resolved by the pointer itself.
    async fn move_pointer(
        &self,
        manifest: &Manifest,
        in_force: &InForce,
    ) -> Result<(), RollOutError> {
        let version = manifest.version.0;
        let mut may_be_written = false;
        loop {
            let moved = self.store.move_pointer(in_force.mod_revision, manifest);
            let error = match moved.await {
                Ok(None) => return Ok(()),
                // The lost answer was to a write that took effect.
                Ok(Some(current)) if current.manifest.as_ref() == Some(manifest) => return Ok(()),
                Ok(Some(current)) if may_be_written && self.was_in_force(manifest).await => {
                    log::info!(
                        "bundle {} follows bundle {version} already",
                        current.version()
                    );
                    return Ok(());
                }
                Ok(Some(current)) => return Err(lost_race(version, &current)),
                Err(error) => error,
            };
            may_be_written |= matches!(error, StoreError::AnswerLost(_));
            if UnixMs::now() >= self.deadline_unix_ms {
                let why = error.to_string();
                return Err(match may_be_written {
                    true => RollOutError::OutcomeUnknown { version, why },
                    false => RollOutError::NotWritten { version, why },
                });
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Whether the history shows this very manifest, which its successor writes there first.
    async fn was_in_force(&self, manifest: &Manifest) -> bool {
        let found = self.retry(|| self.store.history_of(manifest.version)).await;
        found.is_ok_and(|found| found.as_ref() == Some(manifest))
    }

    /// Writes what only helps; the bundle is in force already.
    async fn finish(&self, manifest: &Manifest, delta: Option<&BundleDelta>) {
        if let Some(delta) = delta
            && let Err(error) = self.store.put_delta(delta).await
        {
            log::warn!("the delta to bundle {} may be a rival's: {error}", delta.to);
        }
        self.note_history(manifest).await;
    }

    async fn note_history(&self, manifest: &Manifest) {
        if let Err(error) = self.retry(|| self.store.put_history(manifest)).await {
            log::warn!(
                "bundle {} is not in the history yet: {error}",
                manifest.version
            );
        }
    }

    /// Repeats a call that does no harm when it runs twice, until the deadline.
    async fn retry<T, F>(&self, call: impl Fn() -> F) -> Result<T, StoreError>
    where
        F: Future<Output = Result<T, StoreError>>,
    {
        loop {
            match call().await {
                Err(error) if UnixMs::now() >= self.deadline_unix_ms => return Err(error),
                Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
                Ok(value) => return Ok(value),
            }
        }
    }
}

/// Version n is followed by n + 1 only.
fn check_succession(manifest: &Manifest, in_force: &InForce) -> Result<(), RollOutError> {
    let version = manifest.version.0;
    let next = in_force.version().0 + 1;
    match &in_force.manifest {
        Some(winner) if version < next => Err(RollOutError::conflict(version, winner)),
        _ if version != next => Err(RollOutError::NotNext {
            version,
            in_force: in_force.version().0,
            next,
        }),
        _ => Ok(()),
    }
}

fn lost_race(version: u64, current: &InForce) -> RollOutError {
    match &current.manifest {
        Some(winner) => RollOutError::conflict(version, winner),
        None => RollOutError::NotNext {
            version,
            in_force: 0,
            next: 1,
        },
    }
}

/// Whether a delta is small enough to be better than the whole.
fn is_storable(delta: &BundleDelta) -> bool {
    let mut bytes = Vec::new();
    ciborium::into_writer(delta, &mut bytes).is_ok() && bytes.len() <= MAX_PART_BYTES
}
