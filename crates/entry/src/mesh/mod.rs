//! Connections between entry instances: WebSocket with CBOR, opened on demand.
//!
//! A hub task owns the table of peers; each connection is a task that owns its socket. What
//! arrives, and what could not be delivered, goes to one channel of [`MeshEvent`].

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

/// Messages that may wait for one peer.
const PEER_QUEUE_MESSAGES: usize = 1024;
/// Largest message from a peer: a whole bundle at the target's size fits several times.
const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;
/// A connection that carried nothing for this long is closed.
const IDLE_TIMEOUT_MS: u64 = 30_000;
/// Time for a connection to be opened, authenticated and greeted.
const OPEN_TIMEOUT_MS: u64 = 2_000;

/// What every connection needs.
#[derive(Clone)]
pub(crate) struct Context {
    /// The key that the instances share.
    pub(crate) key: MeshKey,
    /// The own greeting, with the bundle version in force.
    pub(crate) hello: watch::Receiver<Hello>,
    /// Where arrivals go.
    pub(crate) events: mpsc::Sender<MeshEvent>,
    /// The hub.
    pub(crate) hub: mpsc::Sender<HubCommand>,
    /// How long a connection may carry nothing.
    pub(crate) idle_timeout_ms: u64,
}

pub(crate) type SharedContext = Arc<Context>;
