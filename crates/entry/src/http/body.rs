//! Response bodies.

use std::convert::Infallible;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Empty, Full, StreamBody};
use hyper::body::Frame;
use tokio::sync::mpsc;

/// Body of a response to a caller.
pub type ResponseBody = BoxBody<Bytes, Infallible>;

/// Creates an empty body.
pub fn empty() -> ResponseBody {
    Empty::new().boxed()
}

/// Creates a body from a complete buffer.
pub fn full(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).boxed()
}

/// Creates a body that streams `chunks` until the sender is dropped.
pub fn stream(chunks: mpsc::Receiver<Bytes>) -> ResponseBody {
    let frames = futures_util::stream::unfold(chunks, |mut chunks| async move {
        let chunk = chunks.recv().await?;
        Some((Ok(Frame::data(chunk)), chunks))
    });
    BodyExt::boxed(StreamBody::new(frames))
}
