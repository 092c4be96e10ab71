//! Connections to upstreams.

mod pool;
mod sender;

pub use pool::{Pool, PooledSender};
pub use sender::{SendFailure, UpstreamSender};
