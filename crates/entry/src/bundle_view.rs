//! Bundle in force, indexed for request handling.

use std::collections::HashMap;
use std::sync::Arc;

use monsoonspread_model::{Bundle, CallerName};
use sha2::{Digest, Sha256};

/// Bundle with an index of callers by the SHA-256 digest of their API key.
#[derive(Clone, Debug, Default)]
pub struct BundleView {
    bundle: Arc<Bundle>,
    callers: HashMap<String, CallerName>,
}

impl BundleView {
    /// Builds the index for `bundle`.
    ///
    /// ```
    /// # use monsoonspread_entry::bundle_view::BundleView;
    /// assert!(BundleView::new(Default::default()).caller_for_key("secret").is_none());
    /// ```
    pub fn new(bundle: Arc<Bundle>) -> Self {
        let callers = bundle
            .callers
            .iter()
            .map(|(name, entry)| (entry.key_sha256.clone(), name.clone()))
            .collect();
        Self { bundle, callers }
    }

    /// Returns the indexed bundle.
    pub fn bundle(&self) -> &Arc<Bundle> {
        &self.bundle
    }

    /// Returns the caller with this API key, or `None` if the key is unknown.
    pub fn caller_for_key(&self, key: &str) -> Option<&CallerName> {
        let digest = hex::encode(Sha256::digest(key.as_bytes()));
        self.callers.get(&digest)
    }
}
