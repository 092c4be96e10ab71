//! Bundle versions.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Version number of a bundle. Version n is followed only by n + 1; 0 means no bundle.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct BundleVersion(pub u64);

impl fmt::Display for BundleVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
