//! Putting a signed bundle in force.
//!
//! Parts and delta are written first, then the pointer moves from version n to n + 1 by
//! compare-and-swap, then the history is written. Only the pointer decides. A pointer write
//! whose answer was lost is read back, and made again at the same revision while the pointer
//! has not moved; it can take effect at most once.

mod bundle_store;
mod machine;
mod outcome;
#[cfg(test)]
mod tests;

pub use bundle_store::{BundleStore, InForce};
pub use machine::RollOut;
pub use outcome::{RollOutError, RollOutOutcome};
