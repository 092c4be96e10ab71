//! What grouping creates asks its driver to do.

use super::{ClaimKey, ClaimRecord};

/// One thing to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BatchAction {
    /// Create all entries in one transaction and report what came of it.
    CreateAll {
        /// Names the transaction in the report.
        batch: u64,
        /// The entries.
        entries: Vec<(ClaimKey, ClaimRecord)>,
    },
    /// Tell the claim that holds this record's token what came of its create.
    Result {
        /// The record that was to be created.
        record: ClaimRecord,
        /// What came of it.
        result: CreateResult,
    },
}

/// What came of one create.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CreateResult {
    /// Created, at this revision where known.
    Created(Option<u64>),
    /// The key holds a record, last written at this revision.
    Exists(ClaimRecord, u64),
    /// The answer was lost.
    Unknown,
    /// Not created, as the key-value service can't be reached.
    Unreachable,
}
