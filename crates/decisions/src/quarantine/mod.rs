//! Requests and prompt parts that crash upstreams.
//!
//! A request is identified by its fingerprint, which its copies share, or by a part of its prompt.
//! [`BreakWatch`] distinguishes broken connections from crashed upstreams. [`Quarantine`] counts the
//! crashes under each request or part, including those that other instances saw, and refuses it after a
//! number of them.
//!
//! A crashing upstream breaks every request that runs there, so a single crash is weak evidence
//! against any of them. Two rules protect harmless requests: a copy that is answered successfully
//! clears them, and crashes that happen together under copies sent before any of them have one
//! cause and count once.
//!
//! Prompt parts need more, since sound requests share all other parts with those that crash upstreams: each
//! crash counts against the parts with the most crashes only, those that were served before come last, and an
//! answer that was served before the crash became known clears its parts, too ([`PartHistory`]).

mod admission;
mod attribution;
mod break_watch;
mod dump;
mod part_history;
mod quarantined;
mod recent_times;
mod suspect;
#[cfg(test)]
mod tests;

pub use admission::Admission;
pub use break_watch::BreakWatch;
pub use dump::{QuarantineDump, SuspectDump};
pub use part_history::PartHistory;
pub use quarantined::{CRASHES_TO_QUARANTINE, QUARANTINE_MS, Quarantine};
pub use suspect::Suspect;
