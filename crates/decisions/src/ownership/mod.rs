//! Who owns which upstream.
//!
//! One table for each zone lists a failover order for every upstream, with a fencing number
//! issued beforehand for each place in it. Only a table that the key-value service has
//! confirmed is ever adopted or spread, so that no number is issued twice; within a table the
//! next in order takes over with its own number, which needs no service at all.

mod action;
mod directory;
mod dump;
mod event;
mod handlers;
mod machine;
mod owned;
mod planner;
mod results;
mod settings;
#[cfg(test)]
mod tests;
mod view;
mod writer;

pub use action::{AcquisitionKind, OwnershipAction};
pub use directory::TableDirectory;
pub use dump::OwnershipDump;
pub use event::OwnershipEvent;
pub use machine::Ownership;
pub use planner::Planner;
pub use results::{TableSource, WriteResult};
pub use settings::OwnershipSettings;
