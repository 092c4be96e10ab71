//! Connections to upstreams.

mod connection_end;
mod head_limit;
mod pool;
mod sender;
mod socket_state;

pub use connection_end::ConnectionEnd;
pub use pool::{Pool, PooledSender};
pub use sender::{MAX_BUFFER_BYTES, SendFailure, UpstreamSender};
