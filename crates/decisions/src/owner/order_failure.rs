//! Failures of orders to upstreams.

use displaydoc::Display;
use thiserror::Error;

/// Why an order was not, or may not have been, carried out.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum OrderFailure {
    /// the upstream could not be connected to
    Unreachable,
    /// the upstream has seen a higher fencing number
    Fenced,
    /// the upstream could not carry out the order
    Failed,
    /// the answer to the order was lost
    AnswerLost,
}
