//! Bodies of answers.

use std::convert::Infallible;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Empty, Full, StreamBody};
use hyper::body::Frame;
use tokio::sync::mpsc;

/// The body of an answer to a caller.
pub type AnswerBody = BoxBody<Bytes, Infallible>;

/// A body without bytes.
pub fn empty() -> AnswerBody {
    Empty::new().boxed()
}

/// A body that is there at once.
pub fn full(bytes: impl Into<Bytes>) -> AnswerBody {
    Full::new(bytes.into()).boxed()
}

/// A body that arrives piece by piece.
pub fn stream(pieces: mpsc::Receiver<Bytes>) -> AnswerBody {
    let frames = futures_util::stream::unfold(pieces, |mut pieces| async move {
        let piece = pieces.recv().await?;
        Some((Ok(Frame::data(piece)), pieces))
    });
    BodyExt::boxed(StreamBody::new(frames))
}
