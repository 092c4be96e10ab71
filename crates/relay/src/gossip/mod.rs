//! Gossip between instances: which upstreams announced that they are leaving or have a rate limit, and
//! under which requests upstreams crashed.
//!
//! An instance that observes a change sends it to the first few instances of each zone, which are
//! also the feed sources of the others, and these forward it to their subscribers. The first
//! instances exchange their full state every second, for those that missed updates.

mod gossiper;
mod message;
mod received;

pub use gossiper::{Gossiper, ReceivedGossip, receive_gossip};
pub use message::{LeavingUpstream, PeerGossip, RateObservation};
pub use received::AnswerSource;
