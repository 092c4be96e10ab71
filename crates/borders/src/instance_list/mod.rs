//! The platform's list of live and leaving instances, which lags behind the actual state.

mod http_list;
mod read_list;
#[cfg(test)]
mod tests;

pub use http_list::HttpInstanceList;
pub use read_list::ReadList;

use async_trait::async_trait;
use displaydoc::Display;
use thiserror::Error;

/// the instance list can't be read: {0}
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub struct InstanceListError(pub String);

/// Access to the platform's list of instances.
#[async_trait]
pub trait InstanceList: Send + Sync {
    /// Reads the complete list.
    async fn list(&self) -> Result<ReadList, InstanceListError>;
}
