//! What one attempt to send a request came to.

use std::time::Instant;

use monsoonspread_model::{RefusalReason, UnixMs};

use crate::record::Ending;

/// What one attempt to send a request came to.
#[derive(Clone, Debug, PartialEq)]
pub enum Attempt {
    /// No connection could be made; nothing was sent.
    NotSent(String),
    /// It was refused.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// Whether it certainly did not run.
        not_run: bool,
        /// When to come back, if that makes sense.
        retry_at_unix_ms: Option<UnixMs>,
    },
    /// It was sent and ended.
    Ended {
        /// How.
        ending: Ending,
        /// When the first token came.
        first_token_at: Option<Instant>,
    },
}
