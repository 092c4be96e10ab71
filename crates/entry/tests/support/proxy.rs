//! A wire between instances that can be cut.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Passes connections on to one address until it is cut.
pub struct Wire {
    pub address: SocketAddr,
    whole: Arc<watch::Sender<bool>>,
}

impl Wire {
    /// A wire to `target`.
    pub async fn to(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let whole = Arc::new(watch::Sender::new(true));
        let state = Arc::clone(&whole);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(pass(stream, target, state.subscribe()));
            }
        });
        Self { address, whole }
    }

    /// Breaks every connection and lets no new one through.
    pub fn cut(&self) {
        self.whole.send_replace(false);
    }

    /// Lets new connections through.
    pub fn heal(&self) {
        self.whole.send_replace(true);
    }
}

async fn pass(mut stream: TcpStream, target: SocketAddr, mut whole: watch::Receiver<bool>) {
    if !*whole.borrow_and_update() {
        return;
    }
    let Ok(mut onward) = TcpStream::connect(target).await else {
        return;
    };
    tokio::select! {
        _ = copy_bidirectional(&mut stream, &mut onward) => {}
        _ = whole.changed() => {}
    }
}
