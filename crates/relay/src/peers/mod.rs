//! Messages between instances.
//!
//! An instance connects to the holder of an engine when it first asks it for a copy. The asks
//! go one way on that connection and the answers come back; both ends send a sign of life, so
//! that a connection that fell silent is noticed.

mod frame;
mod incoming;
mod link;
mod message;

pub use frame::fits;
pub use incoming::{Incoming, PeerHandler, accept_peers};
pub use link::{CopyRequestFailure, FeedMessage, PeerLinks};
pub use message::{PeerChanges, PeerCopyRequest, PeerReply, PeerRequest};
