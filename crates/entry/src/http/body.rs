//! Bodies of answers.

use std::convert::Infallible;

use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Empty, Full, StreamBody};
use hyper::body::Frame;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

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

/// A body that arrives piece by piece; `dropped` is cancelled when the caller went away.
pub fn stream(pieces: mpsc::Receiver<Bytes>, dropped: CancellationToken) -> AnswerBody {
    let guard = dropped.drop_guard();
    let frames = futures_util::stream::unfold((pieces, guard), |(mut pieces, guard)| async move {
        let piece = pieces.recv().await?;
        Some((piece, (pieces, guard)))
    });
    BodyExt::boxed(StreamBody::new(frames.map(|piece| Ok(Frame::data(piece)))))
}
