//! Detection of requests and prompt parts that crash upstreams.
//!
//! Each crash is reported to the first few instances of each zone, which count the crashes that all
//! instances detected. All other instances learn of a request once two crashes count against it
//! (see `gossip`). Innocent requests, which were running on an upstream that crashed for another
//! reason, are known only to these few instances.

mod in_flight;
mod ledger;
mod message;
mod probe;
mod table;

pub use in_flight::InFlightRequest;
pub use message::PeerSuspect;
pub use table::Suspects;
