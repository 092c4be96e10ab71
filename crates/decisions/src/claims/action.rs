//! What a claim asks its driver to do.

use monsoonspread_model::UnixMs;

use super::{ClaimAnswer, ClaimRecord};

/// One thing to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimAction {
    /// Create the record if its key is absent, for example through a [`super::ClaimBatcher`].
    Create(ClaimRecord),
    /// Replace a record that says "not run"; reported like a create.
    Retake {
        /// The new record.
        record: ClaimRecord,
        /// The revision to compare.
        expected_mod_revision: u64,
    },
    /// Read the record now.
    Read,
    /// Read the record at that time.
    ReadAt(UnixMs),
    /// Make the call, once.
    Run,
    /// Record the outcome by compare-and-swap and report the [`super::OutcomeWrite`].
    WriteOutcome {
        /// The record with its outcome.
        record: ClaimRecord,
        /// The revision to compare.
        expected_mod_revision: u64,
    },
    /// Answer the caller; comes once.
    Answer(ClaimAnswer),
}
