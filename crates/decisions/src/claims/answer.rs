//! The answer to a keyed call.

use monsoonspread_model::Refusal;

/// The answer that the caller gets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimAnswer {
    /// The service's answer.
    Replied {
        /// HTTP status.
        status: u16,
        /// Media type of the body.
        content_type: String,
        /// The body.
        body: Vec<u8>,
        /// Whether it is the stored answer of an earlier call.
        replayed: bool,
    },
    /// A refusal instead of an answer.
    Refused(Refusal),
}
