//! Ownership tables: the task that keeps the local zone's table and copies of other zones' tables.

mod command;
mod controller;
mod store_calls;
#[cfg(test)]
mod tests;

pub use command::OwnershipCommand;
pub use controller::OwnershipController;
