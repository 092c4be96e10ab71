//! State of one peer in the hub.

use std::collections::VecDeque;
use std::net::SocketAddr;

use monsoonspread_model::UnixMs;
use monsoonspread_model::message::MeshMessage;
use tokio::sync::mpsc;

use super::connection::ConnectionId;

/// Open connection and the queue of its messages.
pub(super) struct Link {
    pub(super) id: ConnectionId,
    pub(super) queue: mpsc::Sender<MeshMessage>,
}

/// Peer with its connections and the messages that wait for one to open.
#[derive(Default)]
pub(super) struct Peer {
    pub(super) address: Option<SocketAddr>,
    pub(super) links: Vec<Link>,
    pub(super) waiting: VecDeque<MeshMessage>,
    pub(super) dialing: bool,
    pub(super) retry_at_unix_ms: UnixMs,
}

impl Peer {
    /// Queues a message on the first open connection; returns it when there is no connection or its
    /// queue is full.
    pub(super) fn push(&self, message: MeshMessage) -> Option<MeshMessage> {
        let Some(link) = self.links.first() else {
            return Some(message);
        };
        let sent = link.queue.try_send(message);
        sent.err().map(mpsc::error::TrySendError::into_inner)
    }
}
