//! Admission of a request by its crash count.

use monsoonspread_model::UnixMs;

/// Whether and how a request may be sent, given the crashes counted against it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// No restriction beyond those of its route.
    Unrestricted,
    /// It may be sent to one upstream, and not retried after a break.
    SingleAttempt,
    /// It may be retried once the running copy of it has ended.
    RetryLater,
    /// It is refused until this time.
    Refused(UnixMs),
}
