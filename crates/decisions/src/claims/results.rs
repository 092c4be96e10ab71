//! Results of running a call and of recording its outcome.

/// Result of running a keyed call.
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

/// Result of writing an outcome.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OutcomeWrite {
    /// Written.
    Written,
    /// Not written because the record has changed.
    Conflict,
    /// The answer was lost.
    Unknown,
    /// Not written because the key-value service can't be reached.
    Unreachable,
}
