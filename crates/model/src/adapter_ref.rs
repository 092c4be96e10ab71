//! References to adapter versions, and the selector that callers send in `model`.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::AdapterName;

/// One version of one adapter, written `adapter@version`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AdapterRef {
    /// The adapter.
    pub adapter: AdapterName,
    /// The version, counted from 1.
    pub version: u32,
}

impl AdapterRef {
    /// Refers to `version` of `adapter`.
    ///
    /// ```
    /// # use monsoonspread_model::AdapterRef;
    /// assert_eq!(AdapterRef::new("needle-7", 2).to_string(), "needle-7@2");
    /// ```
    pub fn new(adapter: impl Into<AdapterName>, version: u32) -> Self {
        Self {
            adapter: adapter.into(),
            version,
        }
    }
}

impl fmt::Display for AdapterRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.adapter, self.version)
    }
}

impl FromStr for AdapterRef {
    type Err = SelectorError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let selector = text.parse::<ModelSelector>()?;
        let version = selector.version.ok_or(SelectorError::NoVersion)?;
        Ok(Self {
            adapter: selector.adapter,
            version,
        })
    }
}

/// The adapter that a caller selects in the `model` field, with or without a version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelSelector {
    /// The adapter.
    pub adapter: AdapterName,
    /// The requested version; `None` selects the default version of the bundle.
    pub version: Option<u32>,
}

impl FromStr for ModelSelector {
    type Err = SelectorError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (adapter, version) = match text.split_once('@') {
            None => (text, None),
            Some((adapter, version)) => (adapter, Some(parse_version(version)?)),
        };
        if adapter.is_empty() {
            return Err(SelectorError::NoAdapter);
        }
        Ok(Self {
            adapter: AdapterName::from(adapter),
            version,
        })
    }
}

fn parse_version(text: &str) -> Result<u32, SelectorError> {
    text.parse()
        .ok()
        .filter(|version| *version > 0)
        .ok_or_else(|| SelectorError::BadVersion(text.to_owned()))
}

/// Why a `model` field is invalid.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum SelectorError {
    /// the adapter's name is empty
    NoAdapter,
    /// the adapter's version is missing
    NoVersion,
    /// version "{0}" is not a whole number above 0
    BadVersion(String),
}
