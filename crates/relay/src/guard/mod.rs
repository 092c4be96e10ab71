//! Bounds on what the process holds for callers that nobody controls.
//!
//! Every listener accepts its connections here, and every request body is read into memory reserved here. The
//! decisions are in `monsoonspread_decisions::memory_budget`.

mod body_memory;
mod connection;
mod guarded_body;
mod guarded_stream;
mod machine;
mod registry;
mod throttled_log;

pub use body_memory::{BodyMemory, OutOfMemory, Reservation, ReservedBody};
pub use connection::GuardedConnection;
pub use guarded_body::GuardedBody;
pub use guarded_stream::GuardedStream;
pub use registry::Guard;
pub use throttled_log::ThrottledLog;
