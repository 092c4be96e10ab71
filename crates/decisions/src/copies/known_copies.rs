//! Recently granted copies, used while an engine's holder can't be reached.

use std::collections::HashMap;

use monsoonspread_model::fleet::AdapterKey;
use monsoonspread_model::{UnixMs, UpstreamName};

/// How long a copy is assumed present after it was granted, in milliseconds.
///
/// Copies of an engine without a holder are not removed, but a holder that only this instance can't
/// reach may remove them. The engine rejects a request for a removed copy.
const KNOWN_FOR_MS: u64 = 10_000;
/// Maximum number of tracked copies.
const MAX_COPIES: usize = 8_192;

/// A copy that was granted.
#[derive(Clone, Copy, Debug)]
struct KnownCopy {
    seen_at: UnixMs,
    /// Version of the copy, if its holder told it.
    version: Option<u64>,
}

impl KnownCopy {
    fn is_fresh(&self, now: UnixMs) -> bool {
        now.ms_since(self.seen_at) < KNOWN_FOR_MS
    }
}

/// Tracks copies that were recently granted.
#[derive(Debug, Default)]
pub struct KnownCopies {
    copies: HashMap<(UpstreamName, AdapterKey), KnownCopy>,
}

impl KnownCopies {
    /// Starts without known copies.
    pub fn new() -> Self {
        Self::default()
    }

    /// A holder granted a copy of `version`, if it told that.
    ///
    /// ```
    /// # use monsoonspread_decisions::copies::KnownCopies;
    /// # use monsoonspread_model::{UnixMs, fleet::AdapterKey};
    /// let key = AdapterKey::new("base", Some("needle-7"));
    /// let mut known = KnownCopies::new();
    /// known.on_granted(UnixMs(0), &"engine-1".into(), &key, Some(2));
    /// assert!(known.is_known(UnixMs(5_000), &"engine-1".into(), &key));
    /// assert_eq!(known.version(&"engine-1".into(), &key), Some(2));
    /// assert!(!known.is_known(UnixMs(50_000), &"engine-1".into(), &key));
    /// ```
    pub fn on_granted(
        &mut self,
        now: UnixMs,
        upstream: &UpstreamName,
        key: &AdapterKey,
        version: Option<u64>,
    ) {
        if self.copies.len() >= MAX_COPIES {
            self.copies.retain(|_, copy| copy.is_fresh(now));
        }
        let name = (upstream.clone(), key.clone());
        if self.copies.len() < MAX_COPIES || self.copies.contains_key(&name) {
            let copy = KnownCopy {
                seen_at: now,
                version,
            };
            self.copies.insert(name, copy);
        }
    }

    /// The engine rejected a request for a copy.
    pub fn on_absent(&mut self, upstream: &UpstreamName, key: &AdapterKey) {
        self.copies.remove(&(upstream.clone(), key.clone()));
    }

    /// An engine restarted or was removed.
    pub fn on_engine_removed(&mut self, upstream: &UpstreamName) {
        self.copies.retain(|(name, _), _| name != upstream);
    }

    /// Whether a copy may be used without a grant of the holder.
    pub fn is_known(&self, now: UnixMs, upstream: &UpstreamName, key: &AdapterKey) -> bool {
        let copy = self.copies.get(&(upstream.clone(), key.clone()));
        copy.is_some_and(|copy| copy.is_fresh(now))
    }

    /// Returns the version with which a copy was granted last, if its holder told it.
    pub fn version(&self, upstream: &UpstreamName, key: &AdapterKey) -> Option<u64> {
        self.copies.get(&(upstream.clone(), key.clone()))?.version
    }
}
