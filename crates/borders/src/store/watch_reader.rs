//! Parsing of the JSON lines of a watch.

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;

use super::Stored;
use super::etcd_wire::{WatchEvent, WatchLine};

const MAX_LINE_BYTES: usize = 4 * 1024 * 1024;
const DELETE: &str = "DELETE";

/// Forwards the writes of a watch until it ends or the receiver is dropped.
pub(super) async fn read_watch(body: Incoming, sender: mpsc::Sender<Stored>) {
    tokio::select! {
        () = forward(body.into_data_stream(), &sender) => {}
        () = sender.closed() => {}
    }
}

/// Forwards the writes of a byte stream until it ends, or a line is invalid or too long.
pub(super) async fn forward<E>(
    mut chunks: impl Stream<Item = Result<Bytes, E>> + Unpin,
    sender: &mpsc::Sender<Stored>,
) {
    let mut buffer = Vec::new();
    while let Some(Ok(chunk)) = chunks.next().await {
        buffer.extend_from_slice(&chunk);
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line = buffer.drain(..=end).collect::<Vec<u8>>();
            let Some(writes) = parse(&line) else {
                return;
            };
            for stored in writes {
                if sender.send(stored).await.is_err() {
                    return;
                }
            }
        }
        if buffer.len() > MAX_LINE_BYTES {
            return;
        }
    }
}

/// Returns the writes of one line; `None` if the watch was canceled or the line is invalid.
fn parse(line: &[u8]) -> Option<Vec<Stored>> {
    let line = serde_json::from_slice::<WatchLine>(line).ok()?;
    if line.result.canceled {
        return None;
    }
    line.result
        .events
        .into_iter()
        .filter(|event| event.kind.as_deref() != Some(DELETE))
        .map(|WatchEvent { kv, .. }| kv.into_stored().ok())
        .collect()
}
