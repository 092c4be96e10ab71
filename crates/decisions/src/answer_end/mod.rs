//! Whether an upstream's answer is complete when its bytes end.
//!
//! An answer with a length or in chunks marks its end. One with neither ends with its connection, which
//! also closes when the upstream's process ends: it counts as complete only if that process is shown to run on.

mod check_times;
mod framing;
mod process_evidence;
#[cfg(test)]
mod tests;
mod verdict;

pub use check_times::CheckTimes;
pub use framing::Framing;
pub use process_evidence::ProcessEvidence;
pub use verdict::EndVerdict;
