//! Actions that a claim returns.

use monsoonspread_model::UnixMs;

use super::{ClaimAnswer, ClaimRecord};

/// An action that the driver of a claim carries out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimAction {
    /// Create the record if its key is absent, for example through a [`super::ClaimBatcher`].
    Create(ClaimRecord),
    /// Replace a record in state "not run"; its result is reported like that of a create.
    Retake {
        /// The new record.
        record: ClaimRecord,
        /// The revision that the record must have.
        expected_mod_revision: u64,
    },
    /// Read the record now.
    Read,
    /// Read the record at this time.
    ReadAt(UnixMs),
    /// Make the call once.
    Run,
    /// Record the outcome by compare-and-swap and report the [`super::OutcomeWrite`].
    WriteOutcome {
        /// The record with its outcome.
        record: ClaimRecord,
        /// The revision that the record must have.
        expected_mod_revision: u64,
    },
    /// Answer the caller; returned once per claim.
    Answer(ClaimAnswer),
}
