//! What may be done with a request.

use monsoonspread_model::UnixMs;

/// What may be done with a request, by what is held against it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Whatever its route allows.
    Unrestricted,
    /// It may be sent to one upstream, and to no other after a break.
    SingleAttempt,
    /// It may come back when the copy of it that runs has ended.
    RetryLater,
    /// It is refused until then.
    Refused(UnixMs),
}
