//! Actions of a keeper.

use monsoonspread_model::UpstreamName;

use super::PlaceId;

/// What a keeper tells an instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RoomAction {
    /// The call may be sent.
    Grant {
        /// The request.
        id: PlaceId,
        /// The server to send it to.
        server: UpstreamName,
        /// Whether the pool has so much room that nobody need ask.
        is_calm: bool,
    },
    /// The request waits for a place.
    Queue {
        /// The request.
        id: PlaceId,
        /// The expected wait, in milliseconds.
        wait_ms: u64,
    },
    /// No place is free in time.
    Refuse {
        /// The request.
        id: PlaceId,
        /// The expected wait, in milliseconds.
        wait_ms: u64,
        /// When its caller may return, in milliseconds from now.
        return_ms: u64,
    },
}
