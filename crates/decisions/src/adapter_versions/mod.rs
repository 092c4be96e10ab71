//! Announced adapter versions, and from when requests must begin on them.
//!
//! An announcement leaves time to replace the copies on the engines: only from its deadline on may no
//! request begin on an older version. A later announcement of the same adapter has a deadline of its own
//! and doesn't move that of an earlier one.

mod announced;
#[cfg(test)]
mod tests;

pub use announced::AdapterVersions;
