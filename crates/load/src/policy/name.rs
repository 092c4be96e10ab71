//! Policies by name.

use std::sync::Arc;

use clap::ValueEnum;

use super::{HashAffinity, LeastLoaded, Monsoonspread, Policy, Random};
use crate::error::LoadError;
use crate::fleet::{EntryFleet, Fleet};
use crate::workload::Workload;

/// A policy that can be compared.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum PolicyName {
    /// Any engine.
    Random,
    /// The least loaded engine, after lagging reports.
    LeastLoaded,
    /// Plain hash affinity.
    Hash,
    /// Entry instances with their decisions.
    Monsoonspread,
}

impl PolicyName {
    /// The policy's name in reports.
    ///
    /// ```
    /// # use monsoonspread_load::policy::PolicyName;
    /// assert_eq!(PolicyName::LeastLoaded.as_str(), "least-loaded");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            PolicyName::Random => "random",
            PolicyName::LeastLoaded => "least-loaded",
            PolicyName::Hash => "hash",
            PolicyName::Monsoonspread => "monsoonspread",
        }
    }

    /// Whether the engines load adapters by themselves under this policy.
    pub fn engines_load(self) -> bool {
        self != PolicyName::Monsoonspread
    }

    /// Starts the policy in front of `fleet`.
    ///
    /// # Errors
    ///
    /// Fails when something can't be started.
    pub async fn start(
        self,
        workload: &Workload,
        fleet: &Fleet,
    ) -> Result<Arc<dyn Policy>, LoadError> {
        let engines = fleet.addresses();
        Ok(match self {
            PolicyName::Random => Arc::new(Random::new(engines, workload.seed)),
            PolicyName::LeastLoaded => Arc::new(LeastLoaded::new(engines, workload.seed)),
            PolicyName::Hash => Arc::new(HashAffinity::new(engines)),
            PolicyName::Monsoonspread => {
                let entries = EntryFleet::start(workload, fleet).await?;
                Arc::new(Monsoonspread::new(entries))
            }
        })
    }
}
