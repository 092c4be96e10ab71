//! The content of a bundle, and the lookups on it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{AdapterEntry, BundleVersion, CallEntry, CallerEntry, ServiceEntry};
use crate::{
    AdapterName, AdapterRef, BaseModelName, CallerName, ModelSelector, Refusal, RefusalReason,
    ServiceName,
};

/// The complete content of one bundle version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// The version of the bundle.
    pub version: BundleVersion,
    /// Base models that the adapters may name.
    #[serde(default)]
    pub base_models: Vec<BaseModelName>,
    /// Adapters by name.
    #[serde(default)]
    pub adapters: BTreeMap<AdapterName, AdapterEntry>,
    /// Callers by name; a request of any other caller is refused.
    #[serde(default)]
    pub callers: BTreeMap<CallerName, CallerEntry>,
    /// Plain services by name.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, ServiceEntry>,
}

/// The adapter version and priority that a model request resolves to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Resolved {
    /// The adapter version to run.
    pub adapter: AdapterRef,
    /// Priority of the adapter plus that of the caller.
    pub priority: u8,
    /// The bundle version that the request was resolved against.
    pub bundle_version: BundleVersion,
}

impl Bundle {
    /// Selects the adapter version that runs a caller's request.
    ///
    /// # Errors
    ///
    /// Refuses adapters and versions that the bundle does not offer or that the caller may not use.
    ///
    /// ```
    /// # use monsoonspread_model::Bundle;
    /// let refusal = Bundle::default().resolve(&"bench".into(), &"x".parse().unwrap());
    /// assert_eq!(refusal.unwrap_err().message, "adapter \"x\" is not in bundle 0");
    /// ```
    pub fn resolve(
        &self,
        caller: &CallerName,
        selector: &ModelSelector,
    ) -> Result<Resolved, Refusal> {
        let entry = self.adapter(&selector.adapter)?;
        let caller_entry = self.check_access(caller, &entry.group, &|| {
            format!("adapter \"{}\"", selector.adapter)
        })?;
        let version = selector.version.unwrap_or(entry.default_version);
        if !entry.versions.contains(&version) {
            return Err(self.no_such_version(&selector.adapter, version));
        }
        Ok(Resolved {
            adapter: AdapterRef::new(selector.adapter.clone(), version),
            priority: entry.priority.saturating_add(caller_entry.priority),
            bundle_version: self.version,
        })
    }

    /// Looks up a call of a plain service on behalf of `caller`.
    ///
    /// # Errors
    ///
    /// Refuses services and calls that the bundle does not offer or that the caller may not use.
    ///
    /// ```
    /// # use monsoonspread_model::Bundle;
    /// assert!(Bundle::default().call(&"bench".into(), "records", "read").is_err());
    /// ```
    pub fn call(
        &self,
        caller: &CallerName,
        service: &str,
        call: &str,
    ) -> Result<CallEntry, Refusal> {
        let not_found = |message| Refusal::not_run(RefusalReason::NotFound, message);
        let entry = self.services.get(service).ok_or_else(|| {
            not_found(format!(
                "service \"{service}\" is not in bundle {}",
                self.version
            ))
        })?;
        self.check_access(caller, &entry.group, &|| format!("service \"{service}\""))?;
        entry.calls.get(call).copied().ok_or_else(|| {
            not_found(format!(
                "service \"{service}\" has no call \"{call}\" in bundle {}",
                self.version
            ))
        })
    }

    /// Returns the adapters that `caller` may use; none for an unknown caller.
    ///
    /// ```
    /// # use monsoonspread_model::Bundle;
    /// assert_eq!(Bundle::default().adapters_for(&"bench".into()).count(), 0);
    /// ```
    pub fn adapters_for<'a>(
        &'a self,
        caller: &CallerName,
    ) -> impl Iterator<Item = (&'a AdapterName, &'a AdapterEntry)> + use<'a> {
        let groups = self
            .callers
            .get(caller)
            .map_or(&[][..], |entry| entry.groups.as_slice());
        self.adapters
            .iter()
            .filter(move |(_, entry)| groups.contains(&entry.group))
    }

    fn adapter(&self, name: &AdapterName) -> Result<&AdapterEntry, Refusal> {
        self.adapters.get(name).ok_or_else(|| {
            Refusal::not_run(
                RefusalReason::NotFound,
                format!("adapter \"{name}\" is not in bundle {}", self.version),
            )
        })
    }

    fn check_access(
        &self,
        caller: &CallerName,
        group: &str,
        resource: &dyn Fn() -> String,
    ) -> Result<&CallerEntry, Refusal> {
        self.callers
            .get(caller)
            .filter(|entry| entry.groups.iter().any(|allowed| &**allowed == group))
            .ok_or_else(|| {
                Refusal::not_run(
                    RefusalReason::Forbidden,
                    format!("caller \"{caller}\" may not use {}", resource()),
                )
            })
    }

    fn no_such_version(&self, adapter: &AdapterName, version: u32) -> Refusal {
        Refusal::not_run(
            RefusalReason::NotFound,
            format!(
                "version {version} of adapter \"{adapter}\" is not offered in bundle {}",
                self.version
            ),
        )
    }
}
