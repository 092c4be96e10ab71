//! The content of a bundle.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{AdapterEntry, BundleVersion, CallEntry, CallerEntry, ServiceEntry};
use crate::{
    AdapterName, AdapterRef, BaseModelName, CallerName, ModelSelector, Refusal, RefusalReason,
    ServiceName,
};

/// A whole bundle.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// Its version.
    pub version: BundleVersion,
    /// Models that adapters may be tuned from.
    #[serde(default)]
    pub base_models: Vec<BaseModelName>,
    /// Offered adapters.
    #[serde(default)]
    pub adapters: BTreeMap<AdapterName, AdapterEntry>,
    /// Known callers.
    #[serde(default)]
    pub callers: BTreeMap<CallerName, CallerEntry>,
    /// Offered plain services.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, ServiceEntry>,
}

/// What a model request was resolved to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Resolved {
    /// The adapter in the version to run.
    pub adapter: AdapterRef,
    /// The request's priority.
    pub priority: u8,
    /// The bundle version that decided it.
    pub bundle_version: BundleVersion,
}

impl Bundle {
    /// Decides which adapter version a caller's request runs on.
    ///
    /// # Errors
    ///
    /// Refuses adapters and versions that the bundle does not offer, or not to this caller.
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

    /// Finds a call of a plain service that `caller` may make.
    ///
    /// # Errors
    ///
    /// Refuses services and calls that the bundle does not offer, or not to this caller.
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

    /// Adapters that `caller` may use.
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
