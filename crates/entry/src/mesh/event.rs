//! Events of the mesh.

use std::net::SocketAddr;

use monsoonspread_model::InstanceName;
use monsoonspread_model::message::{Hello, MeshMessage};

/// Event of the mesh.
#[derive(Debug)]
pub enum MeshEvent {
    /// A connection to a peer was opened.
    Opened {
        /// The peer's hello.
        hello: Hello,
        /// Address of the peer's mesh listener; `None` when the peer opened the connection.
        address: Option<SocketAddr>,
    },
    /// A message was received.
    Received {
        /// Instance that sent the message.
        from: InstanceName,
        /// Received message.
        message: MeshMessage,
    },
    /// A message could not be sent.
    Undelivered {
        /// Peer that the message was addressed to.
        to: InstanceName,
        /// Message that was not sent.
        message: MeshMessage,
    },
    /// A connection to a peer was refused: no process listens at its address.
    ConnectionRefused(InstanceName),
    /// The last connection to a peer broke; messages sent over it may be lost.
    ConnectionLost(InstanceName),
}
