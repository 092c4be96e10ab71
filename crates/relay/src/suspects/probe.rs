//! Probes whether an upstream still accepts connections after one of them failed.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monsoonspread_model::UpstreamName;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::shared::Shared;

/// Delays before each probe, in milliseconds: an exiting process closes its connections and its
/// listener one after the other.
const PROBE_DELAYS_MS: [u64; 2] = [0, 150];
/// Connect timeout, in milliseconds: many round trips to another zone.
const CONNECT_TIMEOUT_MS: u64 = 250;

/// Connects to `upstream` without sending anything, and reports the result to
/// [`Suspects`](super::Suspects).
pub(super) async fn probe(shared: Rc<Shared>, upstream: UpstreamName, address: SocketAddr) {
    let mut is_connected = false;
    for after_ms in PROBE_DELAYS_MS {
        sleep(Duration::from_millis(after_ms)).await;
        let connect = TcpStream::connect(address);
        let connected = timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connect).await;
        match connected {
            Ok(Ok(_)) => is_connected = true,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                shared.suspects.on_connection_refused(&shared, &upstream);
                return;
            }
            // Neither shows whether the upstream has exited; its entry in the store will.
            Ok(Err(_)) | Err(_) => {}
        }
    }
    shared.suspects.on_probed(&upstream, is_connected);
}
