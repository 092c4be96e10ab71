//! What the hub knows of one peer.

use std::collections::VecDeque;
use std::net::SocketAddr;

use monsoonspread_model::UnixMs;
use monsoonspread_model::message::MeshMessage;
use tokio::sync::mpsc;

use super::connection::ConnectionId;

/// One open connection as the hub sees it.
pub(super) struct Link {
    pub(super) id: ConnectionId,
    pub(super) queue: mpsc::Sender<MeshMessage>,
}

/// A peer with its connections and what waits for one.
#[derive(Default)]
pub(super) struct Peer {
    pub(super) address: Option<SocketAddr>,
    pub(super) links: Vec<Link>,
    pub(super) waiting: VecDeque<MeshMessage>,
    pub(super) dialing: bool,
    pub(super) retry_at_unix_ms: UnixMs,
}

impl Peer {
    /// Puts a message on an open connection; gives it back when there is none with room.
    pub(super) fn push(&self, message: MeshMessage) -> Option<MeshMessage> {
        let Some(link) = self.links.first() else {
            return Some(message);
        };
        let sent = link.queue.try_send(message);
        sent.err().map(mpsc::error::TrySendError::into_inner)
    }
}
