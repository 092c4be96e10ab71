//! Connections to upstreams.

mod head_limit;
mod pool;
mod sender;

pub use pool::{Pool, PooledSender};
pub use sender::{MAX_BUFFER_BYTES, SendFailure, UpstreamSender};
