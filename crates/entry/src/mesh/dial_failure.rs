//! Classification of failed dials.

use std::io;

/// Reason why a connection could not be opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DialFailure {
    /// The machine refused the connection: no process listens at the address.
    Refused,
    /// Any other failure; the network or the local instance may be the cause.
    Other,
}

impl DialFailure {
    /// Classifies `error`.
    pub(super) fn of(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => Self::Refused,
            _ => Self::Other,
        }
    }
}
