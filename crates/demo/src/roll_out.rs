//! Putting a bundle in force without the checks of the operators' command, for tests.

use displaydoc::Display;
use ed25519_dalek::SigningKey;
use monsoonspread_borders::{CasOutcome, KeyValueStore, StoreError};
use monsoonspread_model::Bundle;
use monsoonspread_model::bundle::{Manifest, encode, split};
use thiserror::Error;

/// Key of the manifest in force.
const POINTER_KEY: &str = "/monsoonspread/bundle/pointer";

/// Why a bundle was not put in force.
#[derive(Debug, Display, Error)]
pub enum RollOutError {
    /// {0}
    Store(#[from] StoreError),
    /// another bundle was rolled out at the same time
    Conflict,
}

/// Signs `bundle`, stores its parts and moves the pointer to it.
///
/// # Errors
///
/// Fails when the key-value service fails or another bundle came first.
pub async fn roll_out(
    store: &dyn KeyValueStore,
    key: &SigningKey,
    bundle: &Bundle,
) -> Result<Manifest, RollOutError> {
    let content = encode(bundle);
    let manifest = Manifest::sign(bundle.version, &content, key);
    for (digest, part) in manifest.parts.iter().zip(split(&content)) {
        let key = format!("/monsoonspread/bundle/part/{digest}");
        store.compare_and_swap(&key, 0, part).await?;
    }
    let current = store.get(POINTER_KEY).await?;
    let expected = current.map_or(0, |stored| stored.mod_revision);
    let pointer = serde_json::to_vec(&manifest).unwrap_or_default();
    match store
        .compare_and_swap(POINTER_KEY, expected, &pointer)
        .await?
    {
        CasOutcome::Written { .. } => Ok(manifest),
        CasOutcome::Conflict { .. } => Err(RollOutError::Conflict),
    }
}
