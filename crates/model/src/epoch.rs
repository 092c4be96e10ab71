//! Fencing numbers.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A fencing number: unique for each (upstream, owner) succession, and increasing.
///
/// Every order to an upstream carries the fencing number of the owner that sent it.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
