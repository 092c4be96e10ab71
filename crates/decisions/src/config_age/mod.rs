//! How long an instance may go by the configuration that it knows.
//!
//! A configuration admits callers by their keys. What counts is not when it arrived but when it was last known
//! to be the newest: the time at which the store was asked, not that of its answer, which may be late. An
//! instance that follows a feed source learns from it when the source asked, by its own clock. Heartbeats tell
//! nothing of the store.

mod age;
mod bounds;
mod confirmation;
mod requests;
mod source;
#[cfg(test)]
mod tests;

pub use age::{ConfigAge, KeyVerdict, VouchChange};
pub use bounds::AgeBounds;
pub use confirmation::Confirmation;
pub use requests::ConfirmationRequests;
pub use source::{ConfirmationSource, REQUEST_KEPT_MS};
