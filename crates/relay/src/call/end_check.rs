//! Whether an upstream crashed when it closed the connection of an answer without framing.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use monsoonspread_model::UpstreamName;
use monsoonspread_model::fleet::UpstreamStage;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::shared::Shared;

/// Connect timeout, in milliseconds: many round trips to another zone.
const CONNECT_TIMEOUT_MS: u64 = 250;

/// Returns whether the `incarnation` of `upstream` is known to have crashed: it refuses connections or
/// has restarted, and wasn't leaving.
pub(super) async fn has_crashed(
    shared: Rc<Shared>,
    upstream: UpstreamName,
    incarnation: u64,
) -> bool {
    let Some(record) = shared.fleet.borrow().upstream(&upstream).cloned() else {
        return false;
    };
    if record.stage != UpstreamStage::Ready {
        return false;
    }
    if record.started_unix_ms != incarnation {
        return true;
    }
    let connect = TcpStream::connect(record.address);
    let connected = timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connect).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}
