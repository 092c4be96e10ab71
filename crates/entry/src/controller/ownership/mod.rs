//! Ownership tables: the task around the zone's table and what is known of other zones.

mod command;
mod controller;
mod store_calls;
#[cfg(test)]
mod tests;

pub use command::OwnershipCommand;
pub use controller::OwnershipController;
