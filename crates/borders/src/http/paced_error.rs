//! Errors of requests whose answers may be long.

use displaydoc::Display;
use thiserror::Error;

use super::SendError;

/// Why no complete answer to a request was received.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum PacedError {
    /// {0}
    Send(#[from] SendError),
    /// only {bytes} bytes of the answer arrived within {ms} ms
    CutShort {
        /// Bytes of the body that arrived.
        bytes: usize,
        /// How long the call could take.
        ms: u64,
    },
}
