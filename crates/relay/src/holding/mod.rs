//! The engines that this instance holds, and copy requests to other holders.

mod claims;
mod controller;
mod copy_query;
mod copy_request_guard;
mod copy_requests;
mod engine;
mod engine_calls;
mod engine_speed;
mod lease;
mod quotes;

pub use controller::Holding;
pub use copy_query::{CopyQuery, request_copy};
pub use copy_request_guard::CopyRequestGuard;
pub use copy_requests::LocalCopyRequest;
pub use lease::keep_lease;
pub use quotes::{QuoteList, collect_quotes};
