//! Upstreams that this instance owns: the task that runs the owner's state machine.

mod command;
mod controller;
mod orders;

pub use command::OwnerCommand;
pub use controller::OwnerController;
