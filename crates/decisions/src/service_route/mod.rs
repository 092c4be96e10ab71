//! Selection of a plain service's server for a call, and retries.
//!
//! The better of two random servers is chosen by local calls in flight and recent latency. Calls
//! that may not be repeated get a bounded share of each server, so that repeatable reads never wait
//! behind them.

mod call;
mod router;
mod server;
#[cfg(test)]
mod tests;

pub use call::{CallAction, CallResult, ServiceCall};
pub use router::{RouteDump, ServiceRouter, ServiceServer};
