//! TCP proxy that can interrupt the connection between instances.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// TCP proxy to one address; it forwards connections while it is not cut.
pub struct Proxy {
    pub address: SocketAddr,
    connected: Arc<watch::Sender<bool>>,
}

impl Proxy {
    /// Starts a proxy to `target`.
    pub async fn to(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let connected = Arc::new(watch::Sender::new(true));
        let state = Arc::clone(&connected);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(forward(stream, target, state.subscribe()));
            }
        });
        Self { address, connected }
    }

    /// Closes all connections and rejects new ones.
    pub fn cut(&self) {
        self.connected.send_replace(false);
    }

    /// Forwards new connections again.
    pub fn heal(&self) {
        self.connected.send_replace(true);
    }
}

async fn forward(mut stream: TcpStream, target: SocketAddr, mut connected: watch::Receiver<bool>) {
    if !*connected.borrow_and_update() {
        return;
    }
    let Ok(mut upstream) = TcpStream::connect(target).await else {
        return;
    };
    tokio::select! {
        _ = copy_bidirectional(&mut stream, &mut upstream) => {}
        _ = connected.changed() => {}
    }
}
