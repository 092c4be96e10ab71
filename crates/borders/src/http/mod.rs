//! The HTTP client shared by all network clients of this crate.

mod body_pace;
mod http_client;
mod paced_error;
mod reply;
mod send_error;
#[cfg(test)]
mod tests;

pub use body_pace::BodyPace;
pub use http_client::{HttpClient, is_final};
pub(crate) use http_client::{MAX_REPLY_BYTES, read_reply};
pub use paced_error::PacedError;
pub use reply::Reply;
pub use send_error::SendError;

/// Header with which an upstream reports that it did not run a request.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// Header that names the calling instance.
pub const PEER_HEADER: &str = "x-peer";
