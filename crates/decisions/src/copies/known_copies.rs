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

/// Tracks copies that were recently granted.
#[derive(Debug, Default)]
pub struct KnownCopies {
    seen_at: HashMap<(UpstreamName, AdapterKey), UnixMs>,
}

impl KnownCopies {
    /// Starts without known copies.
    pub fn new() -> Self {
        Self::default()
    }

    /// A holder granted a copy.
    ///
    /// ```
    /// # use monsoonspread_decisions::copies::KnownCopies;
    /// # use monsoonspread_model::{UnixMs, fleet::AdapterKey};
    /// let key = AdapterKey::new("base", Some("needle-7"));
    /// let mut known = KnownCopies::new();
    /// known.on_granted(UnixMs(0), &"engine-1".into(), &key);
    /// assert!(known.is_known(UnixMs(5_000), &"engine-1".into(), &key));
    /// assert!(!known.is_known(UnixMs(50_000), &"engine-1".into(), &key));
    /// ```
    pub fn on_granted(&mut self, now: UnixMs, upstream: &UpstreamName, key: &AdapterKey) {
        if self.seen_at.len() >= MAX_COPIES {
            self.seen_at.retain(|_, seen_at| is_fresh(now, *seen_at));
        }
        if self.seen_at.len() < MAX_COPIES {
            self.seen_at.insert((upstream.clone(), key.clone()), now);
        }
    }

    /// The engine rejected a request for a copy.
    pub fn on_absent(&mut self, upstream: &UpstreamName, key: &AdapterKey) {
        self.seen_at.remove(&(upstream.clone(), key.clone()));
    }

    /// An engine restarted or was removed.
    pub fn on_engine_removed(&mut self, upstream: &UpstreamName) {
        self.seen_at.retain(|(name, _), _| name != upstream);
    }

    /// Whether a copy may be used without a grant of the holder.
    pub fn is_known(&self, now: UnixMs, upstream: &UpstreamName, key: &AdapterKey) -> bool {
        let seen_at = self.seen_at.get(&(upstream.clone(), key.clone()));
        seen_at.is_some_and(|seen_at| is_fresh(now, *seen_at))
    }
}

fn is_fresh(now: UnixMs, seen_at: UnixMs) -> bool {
    now.ms_since(seen_at) < KNOWN_FOR_MS
}
