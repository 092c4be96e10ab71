//! Whether an upstream's process runs on after it closed the connection of an answer without framing.
//!
//! Each check is a request on a new connection: whatever arrives there was sent after the end of the answer. A
//! check shows the same for all answers of that process that ended before it was sent.

mod ask;
mod checks;
mod evidence;
mod process_checks;
mod question;

pub use checks::EndChecks;
pub use evidence::process_evidence;
pub use question::EndQuestion;
