//! Which server of a plain service gets a call, and whether it may be sent again.
//!
//! Servers are chosen by two random choices over own calls in flight and recent latency; a
//! bounded share of each server is for calls that may not be repeated, so that repeatable reads
//! never wait behind them.

mod call;
mod router;
mod server;
#[cfg(test)]
mod tests;

pub use call::{CallAction, CallResult, ServiceCall};
pub use router::{RouteDump, ServiceRouter, ServiceServer};
