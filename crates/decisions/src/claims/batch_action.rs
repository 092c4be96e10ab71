//! Actions that the batcher of creates returns.

use super::{ClaimKey, ClaimRecord};

/// An action that the driver of the batcher carries out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BatchAction {
    /// Create all entries in one transaction and report its result.
    CreateAll {
        /// Identifies the transaction in the report.
        batch: u64,
        /// The entries.
        entries: Vec<(ClaimKey, ClaimRecord)>,
    },
    /// Report the result of a create to the claim that holds this record's token.
    Result {
        /// The record that was to be created.
        record: ClaimRecord,
        /// The result of the create.
        result: CreateResult,
    },
}

/// Result of one create.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CreateResult {
    /// Created, at this revision if known.
    Created(Option<u64>),
    /// The key already holds this record, last written at this revision.
    Exists(ClaimRecord, u64),
    /// The answer was lost.
    Unknown,
    /// Not created, as the key-value service can't be reached.
    Unreachable,
}
