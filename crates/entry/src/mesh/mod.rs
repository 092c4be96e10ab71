//! Connections between entry instances: WebSocket with CBOR, opened on demand.
//!
//! A hub task owns the table of peers; each connection is a task that owns its socket. Received and
//! undelivered messages are reported through one channel of [`MeshEvent`].

mod authentication;
mod connection;
mod dial_failure;
mod event;
mod handle;
mod handshake;
mod hub;
mod listener;
mod peer;

#[cfg(test)]
mod tests;

pub use event::MeshEvent;
pub use handle::MeshHandle;
pub use hub::{Hub, HubCommand, MeshDump};
pub use listener::listen;

use std::sync::Arc;

use monsoonspread_model::message::Hello;
use tokio::sync::{mpsc, watch};

use crate::settings::MeshKey;

/// Messages that may be queued for one peer.
const PEER_QUEUE_MESSAGES: usize = 1024;
/// Largest message from a peer; several times a whole bundle at the target size.
const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;
/// Time without a message after which a connection is closed.
const IDLE_TIMEOUT_MS: u64 = 30_000;
/// Timeout for opening a connection, including its handshake.
const OPEN_TIMEOUT_MS: u64 = 2_000;

/// Data shared by all connections.
#[derive(Clone)]
pub(crate) struct Context {
    /// Pre-shared key of the instances.
    pub(crate) key: MeshKey,
    /// Local hello with the bundle version in force.
    pub(crate) hello: watch::Receiver<Hello>,
    /// Channel for events of the mesh.
    pub(crate) events: mpsc::Sender<MeshEvent>,
    /// Channel for commands to the hub.
    pub(crate) hub: mpsc::Sender<HubCommand>,
    /// Time without a message after which a connection is closed.
    pub(crate) idle_timeout_ms: u64,
}

pub(crate) type SharedContext = Arc<Context>;
