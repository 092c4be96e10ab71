//! Reading of client request bodies.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum BodyFailure {
    /// The body exceeds the configured limit.
    TooLong,
    /// The client disconnected.
    ClientDisconnected,
}

/// Reads the whole body, of at most `max_bytes`.
pub(super) async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, BodyFailure> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let too_long = u64::try_from(max_bytes).unwrap_or(u64::MAX);
    if body.size_hint().lower() > too_long {
        return Err(BodyFailure::TooLong);
    }
    match Limited::new(body, max_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(BodyFailure::TooLong),
        Err(_) => Err(BodyFailure::ClientDisconnected),
    }
}
