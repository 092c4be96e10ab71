//! Names of adapter copies on an engine.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{AdapterRef, Epoch};

/// The name under which an owner loads an adapter on an engine: `adapter@version.eN`.
///
/// The epoch is part of the name so that a late order of an earlier owner can't affect the copy
/// of a later owner, even on engines that ignore fencing numbers.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct CopyName {
    /// The loaded adapter version.
    pub adapter: AdapterRef,
    /// The epoch of the owner that loaded it.
    pub epoch: Epoch,
}

impl CopyName {
    /// Names the copy of `adapter` loaded by the owner with `epoch`.
    ///
    /// ```
    /// # use monsoonspread_model::{AdapterRef, CopyName, Epoch};
    /// let copy = CopyName::new(AdapterRef::new("needle-7", 2), Epoch(17));
    /// assert_eq!(copy.to_string(), "needle-7@2.e17");
    /// assert_eq!("needle-7@2.e17".parse(), Ok(copy));
    /// ```
    pub fn new(adapter: AdapterRef, epoch: Epoch) -> Self {
        Self { adapter, epoch }
    }
}

impl fmt::Display for CopyName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.e{}", self.adapter, self.epoch)
    }
}

impl FromStr for CopyName {
    type Err = CopyNameError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || CopyNameError(text.to_owned());
        let (adapter, epoch) = text.rsplit_once(".e").ok_or_else(error)?;
        let adapter = adapter.parse().map_err(|_| error())?;
        let epoch = epoch.parse().map(Epoch).map_err(|_| error())?;
        Ok(Self { adapter, epoch })
    }
}

impl From<CopyName> for String {
    fn from(copy: CopyName) -> Self {
        copy.to_string()
    }
}

impl TryFrom<String> for CopyName {
    type Error = CopyNameError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

/// "{0}" is not of the form adapter@version.eN
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub struct CopyNameError(pub String);
