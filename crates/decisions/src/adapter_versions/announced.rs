//! Announced versions of all adapters.

use std::collections::BTreeMap;

use monsoonspread_model::UnixMs;
use monsoonspread_model::fleet::AdapterKey;

/// Maximum number of versions of an adapter whose deadlines are kept apart.
const MAX_PENDING: usize = 16;

/// An announced version and its deadline.
#[derive(Clone, Copy, Debug)]
struct Announced {
    version: u64,
    /// From when requests must begin on this version or a newer one.
    required_from: UnixMs,
}

/// Announced versions of all adapters.
///
/// ```
/// use monsoonspread_decisions::adapter_versions::AdapterVersions;
/// use monsoonspread_model::{UnixMs, fleet::AdapterKey};
///
/// let key = AdapterKey::new("base", Some("needle-7"));
/// let mut versions = AdapterVersions::default();
/// versions.on_announced(&key, 2, UnixMs(3_500));
/// versions.on_announced(&key, 3, UnixMs(5_500));
/// assert_eq!(versions.newest(&key), Some(3));
/// assert_eq!(versions.required(UnixMs(3_000), &key), None);
/// assert_eq!(versions.required(UnixMs(4_000), &key), Some(2));
/// assert_eq!(versions.required(UnixMs(6_000), &key), Some(3));
/// ```
#[derive(Clone, Debug, Default)]
pub struct AdapterVersions {
    /// For each adapter, in ascending order of versions and deadlines; the last one is the newest.
    announced: BTreeMap<AdapterKey, Vec<Announced>>,
}

impl AdapterVersions {
    /// A version was announced that requests must begin on from `required_from`; returns false if it isn't
    /// newer than those announced before.
    pub fn on_announced(&mut self, key: &AdapterKey, version: u64, required_from: UnixMs) -> bool {
        let announced = self.announced.entry(key.clone()).or_default();
        if announced.last().is_some_and(|last| version <= last.version) {
            return false;
        }
        // From the deadline of a newer version, the older ones don't matter.
        announced.retain(|older| older.required_from < required_from);
        let required_from = match announced.last() {
            Some(last) if announced.len() >= MAX_PENDING => last.required_from,
            _ => required_from,
        };
        announced.retain(|older| older.required_from < required_from);
        announced.push(Announced {
            version,
            required_from,
        });
        true
    }

    /// Returns the newest version of an adapter.
    pub fn newest(&self, key: &AdapterKey) -> Option<u64> {
        self.announced.get(key)?.last().map(|last| last.version)
    }

    /// Returns the oldest version of an adapter on which requests may begin; `None` for any.
    pub fn required(&self, now: UnixMs, key: &AdapterKey) -> Option<u64> {
        let announced = self.announced.get(key)?.iter();
        let due = announced.take_while(|version| version.required_from <= now);
        due.last().map(|version| version.version)
    }

    /// Returns the version that an engine must have for a request that was granted a copy of version
    /// `granted`; `None` for any. If that is unknown or too old, it is the newest version, with which copies
    /// are replaced.
    pub fn expected(&self, now: UnixMs, key: &AdapterKey, granted: Option<u64>) -> Option<u64> {
        let required = self.required(now, key)?;
        let granted = granted.filter(|version| *version >= required);
        granted.or_else(|| self.newest(key))
    }

    /// Number of versions of an adapter whose deadlines are kept.
    #[cfg(test)]
    pub(super) fn pending(&self, key: &AdapterKey) -> usize {
        self.announced.get(key).map_or(0, Vec::len)
    }

    /// Returns the newest version of each adapter.
    pub fn all_newest(&self) -> impl Iterator<Item = (&AdapterKey, u64)> {
        let announced = self.announced.iter();
        announced.filter_map(|(key, versions)| Some((key, versions.last()?.version)))
    }
}
