//! Task of one open connection.

use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use monsoonspread_model::InstanceName;
use monsoonspread_model::message::{MeshMessage, decode, encode};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};
use tokio_tungstenite::tungstenite::Message;

use super::handshake::Socket;
use super::{HubCommand, MeshEvent, SharedContext};

/// Timeout of the closing handshake.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Identifies a connection, as a peer may have several.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionId(pub u64);

/// Task that owns the socket of a connection.
pub(super) struct Connection {
    pub(super) id: ConnectionId,
    pub(super) peer: InstanceName,
    pub(super) socket: Socket,
    pub(super) queue: mpsc::Receiver<MeshMessage>,
    pub(super) context: SharedContext,
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ConnectionEnd {
    /// Closed by both sides; every message was delivered.
    Clean,
    /// Broken; messages may be lost.
    Broken,
}

impl Connection {
    /// Sends and receives messages until the connection ends, then reports the end to the hub.
    pub(super) async fn run(mut self) {
        let end = self.exchange_messages().await;
        self.queue.close();
        let mut unsent = Vec::new();
        while let Ok(message) = self.queue.try_recv() {
            unsent.push(message);
        }
        let command = HubCommand::Closed {
            peer: self.peer,
            id: self.id,
            unsent,
            clean: end == ConnectionEnd::Clean,
        };
        let _ = self.context.hub.send(command).await;
    }

    async fn exchange_messages(&mut self) -> ConnectionEnd {
        let idle = Duration::from_millis(self.context.idle_timeout_ms);
        let mut idle_at = Instant::now() + idle;
        loop {
            tokio::select! {
                received = self.socket.next() => match received {
                    Some(Ok(Message::Binary(bytes))) => {
                        if !self.deliver(&bytes).await {
                            return ConnectionEnd::Broken;
                        }
                        idle_at = Instant::now() + idle;
                    }
                    Some(Ok(Message::Close(_))) => return self.finish_close().await,
                    Some(Ok(_)) => {}
                    Some(Err(_)) | None => return ConnectionEnd::Broken,
                },
                message = self.queue.recv() => {
                    let Some(message) = message else {
                        return self.close().await;
                    };
                    if !self.write(message).await {
                        return ConnectionEnd::Broken;
                    }
                    idle_at = Instant::now() + idle;
                }
                () = sleep_until(idle_at) => return self.close().await,
            }
        }
    }

    async fn write(&mut self, message: MeshMessage) -> bool {
        let bytes = encode(&message);
        if self
            .socket
            .feed(Message::Binary(bytes.into()))
            .await
            .is_err()
        {
            self.report_undelivered(message).await;
            return false;
        }
        // Messages that are already queued share the next flush.
        while let Ok(message) = self.queue.try_recv() {
            let bytes = encode(&message);
            if self
                .socket
                .feed(Message::Binary(bytes.into()))
                .await
                .is_err()
            {
                self.report_undelivered(message).await;
                return false;
            }
        }
        self.socket.flush().await.is_ok()
    }

    async fn deliver(&mut self, bytes: &[u8]) -> bool {
        let Ok(message) = decode(bytes) else {
            return false;
        };
        let from = self.peer.clone();
        let event = MeshEvent::Received { from, message };
        self.context.events.send(event).await.is_ok()
    }

    async fn report_undelivered(&mut self, message: MeshMessage) {
        let to = self.peer.clone();
        let event = MeshEvent::Undelivered { to, message };
        let _ = self.context.events.send(event).await;
    }

    /// Closes the connection; messages that the peer sent before it received the close frame are
    /// still delivered.
    async fn close(&mut self) -> ConnectionEnd {
        if self.socket.close(None).await.is_err() {
            return ConnectionEnd::Broken;
        }
        let deadline = Instant::now() + CLOSE_TIMEOUT;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            match timeout(left, self.socket.next()).await {
                Ok(Some(Ok(Message::Binary(bytes)))) => {
                    if !self.deliver(&bytes).await {
                        return ConnectionEnd::Broken;
                    }
                }
                Ok(Some(Ok(Message::Close(_))) | None) => return ConnectionEnd::Clean,
                Ok(Some(Ok(_))) => {}
                Ok(Some(Err(_))) | Err(_) => return ConnectionEnd::Broken,
            }
        }
    }

    async fn finish_close(&mut self) -> ConnectionEnd {
        let _ = timeout(CLOSE_TIMEOUT, self.socket.flush()).await;
        ConnectionEnd::Clean
    }
}
