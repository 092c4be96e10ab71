//! HTTP server for callers.

mod body;
mod response;
mod server;

pub use body::{ResponseBody, empty, full, stream};
pub(crate) use response::refusal_object;
pub use response::{json, refusal, sse_headers};
pub use server::{Server, Service};
