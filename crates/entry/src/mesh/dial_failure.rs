//! Why a connection could not be opened.

use std::io;

/// Why a connection could not be opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DialFailure {
    /// The machine answered that nobody listens there.
    Refused,
    /// Anything that may be the network's or this instance's own fault.
    Other,
}

impl DialFailure {
    /// The kind of failure that `error` shows.
    pub(super) fn of(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => Self::Refused,
            _ => Self::Other,
        }
    }
}
