//! Length-prefixed CBOR messages on a connection.

use bytes::{Bytes, BytesMut};
use futures_util::SinkExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Maximum message length, in bytes: fits a configuration of some hundred routes.
const MAX_FRAME_BYTES: usize = 64 * 1024;
/// Interval of heartbeats on an otherwise idle connection, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 500;
/// Time without messages after which a connection counts as dead, in milliseconds: allows for two
/// heartbeats that were lost and retransmitted.
pub const HEARTBEAT_TIMEOUT_MS: u64 = 1_500;

/// A connection that carries framed messages.
pub type Frames<S = TcpStream> = Framed<S, LengthDelimitedCodec>;

/// Wraps `stream` in the message framing.
pub fn frames<S: AsyncRead + AsyncWrite>(stream: S) -> Frames<S> {
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_FRAME_BYTES);
    Framed::new(stream, codec)
}

fn encode(message: &impl Serialize) -> Option<Bytes> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).ok()?;
    Some(bytes.into())
}

/// Whether a message fits into one frame.
pub fn fits(message: &impl Serialize) -> bool {
    // Writing to a slice fails when it is full, so an oversized message is never encoded whole.
    let mut frame = vec![0; MAX_FRAME_BYTES];
    ciborium::into_writer(message, frame.as_mut_slice()).is_ok()
}

/// Decodes a message; `None` if it is malformed.
pub fn decode<T: DeserializeOwned>(bytes: &BytesMut) -> Option<T> {
    ciborium::from_reader(bytes.as_ref()).ok()
}

/// Writes `first` and all queued messages in one flush; `None` if the connection failed.
pub async fn send_all<T: Serialize, S: AsyncWrite + Unpin>(
    frames: &mut Frames<S>,
    first: &T,
    more: &mut UnboundedReceiver<T>,
) -> Option<()> {
    frames.feed(encode(first)?).await.ok()?;
    while let Ok(message) = more.try_recv() {
        frames.feed(encode(&message)?).await.ok()?;
    }
    SinkExt::<Bytes>::flush(frames).await.ok()
}
