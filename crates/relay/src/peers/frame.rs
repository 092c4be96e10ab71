//! CBOR messages on a connection, each after its length.

use bytes::{Bytes, BytesMut};
use futures_util::SinkExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Longest message, in bytes: a configuration of some hundred routes.
const MAX_FRAME_BYTES: usize = 64 * 1024;
/// How often each end sends a sign of life when it has nothing else to say, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 500;
/// Silence after which a connection counts as dead, in milliseconds: two signs of life that
/// were lost and sent again.
pub const HEARTBEAT_TIMEOUT_MS: u64 = 1_500;

/// A connection that carries messages.
pub type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// Carries messages on `stream`.
pub fn frames(stream: TcpStream) -> Frames {
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_FRAME_BYTES);
    Framed::new(stream, codec)
}

fn encode(message: &impl Serialize) -> Option<Bytes> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).ok()?;
    Some(bytes.into())
}

/// Whether a message is short enough to be sent.
pub fn fits(message: &impl Serialize) -> bool {
    // A slice takes what fits and fails then, so that no long message is encoded whole.
    let mut frame = vec![0; MAX_FRAME_BYTES];
    ciborium::into_writer(message, frame.as_mut_slice()).is_ok()
}

/// Decodes a message.
pub fn decode<T: DeserializeOwned>(bytes: &BytesMut) -> Option<T> {
    ciborium::from_reader(bytes.as_ref()).ok()
}

/// Writes `first` and all that waits behind it at once; `None` when the connection is broken.
pub async fn send_all<T: Serialize>(
    frames: &mut Frames,
    first: &T,
    more: &mut UnboundedReceiver<T>,
) -> Option<()> {
    frames.feed(encode(first)?).await.ok()?;
    while let Ok(message) = more.try_recv() {
        frames.feed(encode(&message)?).await.ok()?;
    }
    SinkExt::<Bytes>::flush(frames).await.ok()
}
