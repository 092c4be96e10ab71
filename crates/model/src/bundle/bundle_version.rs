//! Versions of bundles.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Number of a bundle; version n is followed by n + 1 only, and 0 stands for none.
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
