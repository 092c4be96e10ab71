//! Messages between instances.
//!
//! An instance connects to the holder of an engine when it first requests a copy from it. Requests
//! are sent in one direction of the connection and replies in the other. Both ends send heartbeats,
//! so that an unresponsive peer is detected.

mod frame;
mod incoming;
mod link;
mod message;
mod pending;
mod reply_handler;

pub use frame::fits;
pub use incoming::{Incoming, PeerHandler, accept_peers};
pub use link::{CopyRequestFailure, FeedMessage, FeedNews, GrantedCopy, PeerLinks};
pub use message::{
    PeerChanges, PeerCopyRequest, PeerPermit, PeerPermitRequest, PeerPlace, PeerPlaceEnd,
    PeerPlaceRequest, PeerQuota, PeerQuotaAnswer, PeerQuotaRequest, PeerReply, PeerRequest,
    PlaceAnswer,
};
