//! Handshake of a connection: both ends prove that they know the key, then exchange hello messages.

use displaydoc::Display;
use futures_util::{SinkExt, StreamExt};
use monsoonspread_model::message::{Hello, MeshMessage, PROTOCOL_VERSION, decode, encode};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{self, Message};

use super::authentication::{PROOF_BYTES, Side, constant_time_eq, nonce, proof};
use super::{Context, MAX_MESSAGE_BYTES};

/// Read buffer of each connection; an instance has hundreds of connections at the target size.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// WebSocket connection between two instances.
pub(super) type Socket = WebSocketStream<TcpStream>;

/// Reason why a handshake failed.
#[derive(Debug, Display, Error)]
pub(super) enum HandshakeError {
    /// the connection broke: {0}
    Broken(#[from] tungstenite::Error),
    /// the peer closed the connection
    Closed,
    /// the peer does not know the mesh key
    WrongKey,
    /// the peer uses protocol version {0}, which this build does not support
    WrongVersion(u32),
    /// the peer's first message is not a hello
    NoHello,
}

/// Performs the handshake as the WebSocket client.
pub(super) async fn dial(
    stream: TcpStream,
    context: &Context,
) -> Result<(Socket, Hello), HandshakeError> {
    let request = format!(
        "ws://{}/mesh",
        stream.peer_addr().map_err(tungstenite::Error::from)?
    );
    let (mut socket, _) =
        tokio_tungstenite::client_async_with_config(request, stream, Some(config())).await?;
    let local_nonce = nonce();
    send(&mut socket, local_nonce.to_vec()).await?;
    let challenge = receive(&mut socket).await?;
    let (peer_nonce, peer_proof) = challenge
        .split_at_checked(PROOF_BYTES)
        .ok_or(HandshakeError::WrongKey)?;
    let expected = proof(&context.key, Side::Acceptor, &local_nonce, peer_nonce);
    if !constant_time_eq(&expected, peer_proof) {
        return Err(HandshakeError::WrongKey);
    }
    let local_proof = proof(&context.key, Side::Dialer, &local_nonce, peer_nonce);
    send(&mut socket, local_proof.to_vec()).await?;
    let hello = exchange_hello(&mut socket, context).await?;
    Ok((socket, hello))
}

/// Performs the handshake as the WebSocket server.
pub(super) async fn accept(
    stream: TcpStream,
    context: &Context,
) -> Result<(Socket, Hello), HandshakeError> {
    let mut socket = tokio_tungstenite::accept_async_with_config(stream, Some(config())).await?;
    let peer_nonce = receive(&mut socket).await?;
    let local_nonce = nonce();
    let local_proof = proof(&context.key, Side::Acceptor, &peer_nonce, &local_nonce);
    send(&mut socket, [local_nonce, local_proof].concat()).await?;
    let peer_proof = receive(&mut socket).await?;
    let expected = proof(&context.key, Side::Dialer, &peer_nonce, &local_nonce);
    if !constant_time_eq(&expected, &peer_proof) {
        return Err(HandshakeError::WrongKey);
    }
    let hello = exchange_hello(&mut socket, context).await?;
    Ok((socket, hello))
}

async fn exchange_hello(socket: &mut Socket, context: &Context) -> Result<Hello, HandshakeError> {
    let local_hello = context.hello.borrow().clone();
    send(socket, encode(&MeshMessage::Hello(local_hello))).await?;
    let Ok(MeshMessage::Hello(hello)) = decode(&receive(socket).await?) else {
        return Err(HandshakeError::NoHello);
    };
    if hello.protocol_version != PROTOCOL_VERSION {
        return Err(HandshakeError::WrongVersion(hello.protocol_version));
    }
    Ok(hello)
}

async fn send(socket: &mut Socket, bytes: Vec<u8>) -> Result<(), HandshakeError> {
    Ok(socket.send(Message::Binary(bytes.into())).await?)
}

async fn receive(socket: &mut Socket) -> Result<Vec<u8>, HandshakeError> {
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) => Ok(bytes.to_vec()),
        Some(Err(error)) => Err(error.into()),
        _ => Err(HandshakeError::Closed),
    }
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}
