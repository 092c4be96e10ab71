//! The bundle in force, arranged for requests.

use std::collections::HashMap;
use std::sync::Arc;

use monsoonspread_model::{Bundle, CallerName};
use sha2::{Digest, Sha256};

/// A bundle with an index of callers by the digest of their key.
#[derive(Clone, Debug, Default)]
pub struct BundleView {
    bundle: Arc<Bundle>,
    callers: HashMap<String, CallerName>,
}

impl BundleView {
    /// Arranges `bundle`.
    ///
    /// ```
    /// # use monsoonspread_entry::bundle_view::BundleView;
    /// assert!(BundleView::new(Default::default()).caller_of("secret").is_none());
    /// ```
    pub fn new(bundle: Arc<Bundle>) -> Self {
        let callers = bundle
            .callers
            .iter()
            .map(|(name, entry)| (entry.key_sha256.clone(), name.clone()))
            .collect();
        Self { bundle, callers }
    }

    /// The bundle.
    pub fn bundle(&self) -> &Arc<Bundle> {
        &self.bundle
    }

    /// Finds whose key this is.
    pub fn caller_of(&self, key: &str) -> Option<&CallerName> {
        let digest = hex::encode(Sha256::digest(key.as_bytes()));
        self.callers.get(&digest)
    }
}
