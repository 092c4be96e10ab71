//! The model that a request runs on.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{AdapterName, BaseModelName};

/// An adapter of a base model, or the base model alone.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AdapterKey {
    /// The base model.
    pub model: BaseModelName,
    /// The adapter; `None` for the base model alone.
    pub adapter: Option<AdapterName>,
}

impl AdapterKey {
    /// Refers to `adapter` of `model`, or to `model` alone.
    ///
    /// ```
    /// # use monsoonspread_model::fleet::AdapterKey;
    /// assert_eq!(AdapterKey::new("base", Some("needle-7")).to_string(), "base/needle-7");
    /// assert_eq!(AdapterKey::new("base", None).to_string(), "base");
    /// ```
    pub fn new(model: &str, adapter: Option<&str>) -> Self {
        Self {
            model: model.into(),
            adapter: adapter.map(AdapterName::from),
        }
    }
}

impl fmt::Display for AdapterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(f, "{}/{adapter}", self.model),
            None => write!(f, "{}", self.model),
        }
    }
}
