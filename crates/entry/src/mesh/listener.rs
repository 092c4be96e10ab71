//! Accepts connections from other instances.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;

use super::{Hub, HubCommand, OPEN_TIMEOUT_MS, SharedContext, handshake};
use crate::event::Event;

/// Maximum number of concurrent handshakes.
const MAX_HANDSHAKES: usize = 64;
/// Delay after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Accepts connections for `hub` until the returned future is dropped.
pub fn listen(hub: &Hub, listener: TcpListener) -> impl Future<Output = ()> + Send + use<> {
    accept_connections(hub.context(), listener)
}

async fn accept_connections(context: SharedContext, listener: TcpListener) {
    let handshakes = Arc::new(Semaphore::new(MAX_HANDSHAKES));
    loop {
        let Ok(permit) = Arc::clone(&handshakes).acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let context = Arc::clone(&context);
        tokio::spawn(async move {
            let limit = Duration::from_millis(OPEN_TIMEOUT_MS);
            let _ = timeout(limit, accept(stream, &context)).await;
            drop(permit);
        });
    }
}

async fn accept(stream: TcpStream, context: &SharedContext) {
    let Ok(address) = stream.peer_addr() else {
        return;
    };
    let _ = stream.set_nodelay(true);
    match handshake::accept(stream, context).await {
        Ok((socket, hello)) => {
            let command = HubCommand::Opened {
                hello,
                socket: Box::new(socket),
                dialled: None,
                address: None,
            };
            let _ = context.hub.send(command).await;
        }
        Err(error) => {
            let error = error.to_string();
            Event::PeerRejected {
                address,
                error: &error,
            }
            .log();
        }
    }
}
