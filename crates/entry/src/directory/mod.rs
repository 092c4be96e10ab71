//! Directory of instances from the platform's list, which lags behind their actual state.

mod command;
mod engine_row;
mod poller;
mod service_row;
mod snapshot;

pub use command::DirectoryCommand;
pub use engine_row::EngineRow;
pub use poller::Poller;
pub use service_row::ServiceRow;
pub use snapshot::Directory;
