//! Detection of slow upstreams from the latency of requests.
//!
//! Load reports lag, so an upstream is compared with its peers by the time to first token of
//! recent requests and by the age of requests that still wait for theirs.

mod board;
mod speed;
#[cfg(test)]
mod tests;

pub use board::{SpeedDump, StragglerBoard};
