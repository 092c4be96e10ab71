//! Bundle distribution: the task that runs its state machine.

mod command;
mod controller;
mod pointer;
mod store_calls;

pub use command::BundleCommand;
pub use controller::BundleController;
pub use pointer::PointerWatcher;
