//! What the mesh reports.

use std::net::SocketAddr;

use monsoonspread_model::InstanceName;
use monsoonspread_model::message::{Hello, MeshMessage};

/// Something that happened on the mesh.
#[derive(Debug)]
pub enum MeshEvent {
    /// A connection to a peer is open.
    Opened {
        /// The peer's greeting.
        hello: Hello,
        /// Where it listens, when this instance opened the connection.
        address: Option<SocketAddr>,
    },
    /// A message arrived.
    Received {
        /// The sender.
        from: InstanceName,
        /// The message.
        message: MeshMessage,
    },
    /// A message could not be sent.
    Undelivered {
        /// The peer it was for.
        to: InstanceName,
        /// The message.
        message: MeshMessage,
    },
    /// Nobody listens where a peer did.
    ConnectionRefused(InstanceName),
    /// The last connection to a peer broke; messages sent over it may be lost.
    ConnectionLost(InstanceName),
}
