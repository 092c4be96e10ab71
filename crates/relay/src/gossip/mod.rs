//! What instances tell each other of upstreams and requests: which upstreams said that they leave,
//! and under which requests upstreams ended.
//!
//! Whoever sees something tells the first few instances of each zone, which are also the sources
//! of news for the rest, and these tell their followers. The first ones exchange all they know
//! each second, for those that were away.

mod gossiper;
mod message;
mod received;

pub use gossiper::{Gossiper, ReceivedGossip, receive_gossip};
pub use message::{LeavingUpstream, PeerGossip};
