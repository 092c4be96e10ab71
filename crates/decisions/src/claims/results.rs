//! What came of running a call and of recording its outcome.

/// What came of running a keyed call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunResult {
    /// The service answered.
    Replied {
        /// HTTP status.
        status: u16,
        /// Media type of the body.
        content_type: String,
        /// The body.
        body: Vec<u8>,
    },
    /// The call certainly did not run.
    NotRun,
    /// The call may have run.
    Unknown,
}

/// What came of writing an outcome.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OutcomeWrite {
    /// Written.
    Written,
    /// Not written, as the record has changed.
    Conflict,
    /// The answer was lost.
    Unknown,
    /// Not written, as the key-value service can't be reached.
    Unreachable,
}
