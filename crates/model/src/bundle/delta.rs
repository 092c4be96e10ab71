//! Differences between two bundle versions.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{AdapterEntry, Bundle, BundleVersion, CallerEntry, ServiceEntry};
use crate::{AdapterName, BaseModelName, CallerName, ServiceName};

/// The entries that differ between two bundle versions; `None` removes an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BundleDelta {
    /// The version that the delta applies to.
    pub from: BundleVersion,
    /// The resulting version.
    pub to: BundleVersion,
    /// All base models of the resulting version; at most a handful, so they are sent whole.
    pub base_models: Vec<BaseModelName>,
    /// Changed and removed adapters.
    pub adapters: BTreeMap<AdapterName, Option<AdapterEntry>>,
    /// Changed and removed callers.
    pub callers: BTreeMap<CallerName, Option<CallerEntry>>,
    /// Changed and removed services.
    pub services: BTreeMap<ServiceName, Option<ServiceEntry>>,
}

impl BundleDelta {
    /// Computes the changes from `old` to `new`.
    ///
    /// ```
    /// # use monsoonspread_model::Bundle;
    /// # use monsoonspread_model::bundle::BundleDelta;
    /// let bundle = Bundle::default();
    /// assert!(BundleDelta::between(&bundle, &bundle).adapters.is_empty());
    /// ```
    pub fn between(old: &Bundle, new: &Bundle) -> Self {
        Self {
            from: old.version,
            to: new.version,
            base_models: new.base_models.clone(),
            adapters: changed_entries(&old.adapters, &new.adapters),
            callers: changed_entries(&old.callers, &new.callers),
            services: changed_entries(&old.services, &new.services),
        }
    }

    /// Applies the changes to `old`; `None` if `old` is not the version that the delta applies to.
    ///
    /// ```
    /// # use monsoonspread_model::Bundle;
    /// # use monsoonspread_model::bundle::BundleDelta;
    /// let bundle = Bundle::default();
    /// let delta = BundleDelta::between(&bundle, &bundle);
    /// assert_eq!(delta.apply(&bundle), Some(bundle));
    /// ```
    pub fn apply(&self, old: &Bundle) -> Option<Bundle> {
        if old.version != self.from {
            return None;
        }
        Some(Bundle {
            version: self.to,
            base_models: self.base_models.clone(),
            adapters: apply_changes(&old.adapters, &self.adapters),
            callers: apply_changes(&old.callers, &self.callers),
            services: apply_changes(&old.services, &self.services),
        })
    }
}

fn changed_entries<K: Clone + Ord, V: Clone + PartialEq>(
    old: &BTreeMap<K, V>,
    new: &BTreeMap<K, V>,
) -> BTreeMap<K, Option<V>> {
    let removed = old
        .keys()
        .filter(|key| !new.contains_key(key))
        .map(|key| (key.clone(), None));
    let written = new
        .iter()
        .filter(|(key, value)| old.get(key) != Some(value))
        .map(|(key, value)| (key.clone(), Some(value.clone())));
    removed.chain(written).collect()
}

fn apply_changes<K: Clone + Ord, V: Clone>(
    old: &BTreeMap<K, V>,
    changes: &BTreeMap<K, Option<V>>,
) -> BTreeMap<K, V> {
    let mut result = old.clone();
    for (key, change) in changes {
        match change {
            Some(value) => result.insert(key.clone(), value.clone()),
            None => result.remove(key),
        };
    }
    result
}
