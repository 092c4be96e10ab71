//! What instances tell each other of upstreams and requests: which upstreams said that they leave,
//! and under which requests upstreams ended.
//!
//! Whoever sees something tells the first few instances of each zone, which are also the sources
//! of news for the rest, and these tell their followers. The first ones exchange all they know
//! each second, for those that were away.

mod heard;
mod message;
mod spread;

pub use message::{PeerBeliefs, PeerLeaving};
pub use spread::{Spread, ToldBeliefs, hear_beliefs};
