//! The key that a request presents.

use super::CallerKey;

/// The key that a request presents.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum PresentedKey {
    /// The request has no key.
    #[default]
    Absent,
    /// The request has one key.
    One(CallerKey),
    /// The request has several keys, or one that isn't visible ASCII.
    Malformed,
}
