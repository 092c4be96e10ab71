//! Requests under which upstreams end.
//!
//! The first few instances of each zone are told of each end and count those that all instances
//! saw; all others hear of a request once two count against it (`beliefs`). Innocent requests,
//! which were on an upstream that ended for another cause, go no further than these few.

mod in_flight;
mod message;
mod probe;
mod table;

pub use in_flight::InFlightRequest;
pub use message::PeerSuspect;
pub use table::Suspects;
