//! How a roll-out ends.

use displaydoc::Display;
use monsoonspread_model::bundle::Manifest;
use serde::Serialize;
use thiserror::Error;

/// How a roll-out that succeeded came about.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RollOutOutcome {
    /// This roll-out put the bundle in force.
    Written,
    /// The very same bundle was in force already.
    AlreadyInForce,
}

/// Why a bundle was not put in force.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum RollOutError {
    /// bundle {version} is not in force: another roll-out won with bundle {winner_version}, digest {winner_digest}
    Conflict {
        /// The version that was to be rolled out.
        version: u64,
        /// The version in force.
        winner_version: u64,
        /// Its digest.
        winner_digest: String,
    },
    /// bundle {version} can't follow bundle {in_force}: the next version is {next}
    NotNext {
        /// The version that was to be rolled out.
        version: u64,
        /// The version in force, 0 for none.
        in_force: u64,
        /// The only version that may follow.
        next: u64,
    },
    /// bundle {version} is not in force, as the key-value service failed: {why}
    NotWritten {
        /// The version that was to be rolled out.
        version: u64,
        /// The last failure.
        why: String,
    },
    /// it is not known whether bundle {version} is in force, as the key-value service failed after the write was sent: {why}
    OutcomeUnknown {
        /// The version that was to be rolled out.
        version: u64,
        /// The last failure.
        why: String,
    },
}

impl RollOutError {
    /// Whether another roll-out stands in the way.
    ///
    /// ```
    /// # use monsoonspread_ctl::RollOutError;
    /// let error = RollOutError::NotNext { version: 5, in_force: 2, next: 3 };
    /// assert!(error.is_conflict());
    /// ```
    pub fn is_conflict(&self) -> bool {
        matches!(self, Self::Conflict { .. } | Self::NotNext { .. })
    }

    /// The conflict of bundle `version` with the one in force.
    pub(super) fn conflict(version: u64, winner: &Manifest) -> Self {
        Self::Conflict {
            version,
            winner_version: winner.version.0,
            winner_digest: winner.digest.clone(),
        }
    }
}
