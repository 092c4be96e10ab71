//! Chooses which upstreams serve an adapter.
//!
//! Candidates are the upstreams of the region with the highest weighted rendezvous hash, so that all
//! instances agree without a directory. Their number grows with the measured demand for the adapter;
//! the copies of a busy adapter are spread over the zones first.

mod candidate;
mod counted_demand;
mod demand;
mod rank;
#[cfg(test)]
mod tests;

pub use candidate::{CandidateUpstream, Placement, PlacementSettings};
pub use demand::DemandSketch;
