//! Whether an upstream's answer is complete when its bytes end.
//!
//! An answer with a length or in chunks marks its end. One with neither ends with its connection, which
//! also closes when the upstream crashes.

mod framing;
#[cfg(test)]
mod tests;
mod verdict;

pub use framing::Framing;
pub use verdict::EndVerdict;
