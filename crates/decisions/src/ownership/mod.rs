//! Assignment of upstreams to owning instances.
//!
//! One table for each zone lists a failover order for every upstream, with a fencing number issued
//! in advance for each place in it. Only a table that the key-value service has confirmed is
//! adopted or distributed, so no number is issued twice. Within a table, the next instance in order
//! takes over with the number of its place, without contacting the service.

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
