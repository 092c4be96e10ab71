//! Changes of the instance list.

use monsoonspread_model::ListedInstance;
use serde::{Deserialize, Serialize};

use crate::instances::Instances;

/// One change of the instance list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ListChange {
    /// Adds or replaces a row.
    Put(ListedInstance),
    /// Marks the named row as leaving.
    Leave(String),
    /// Removes the named row.
    Remove(String),
}

impl ListChange {
    /// Changes `instances`, which shows it after its lag.
    ///
    /// ```
    /// # use monsoonspread_standin::control::ListChange;
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// # use monsoonspread_standin::{Instances, InstancesSettings};
    /// # let list = Instances::start(InstancesSettings::default()).await.unwrap();
    /// ListChange::Leave("engine-1".to_owned()).apply(&list);
    /// # });
    /// ```
    pub fn apply(self, instances: &Instances) {
        match self {
            Self::Put(row) => instances.put(row),
            Self::Leave(name) => instances.set_leaving(&name),
            Self::Remove(name) => instances.remove(&name),
        }
    }
}
