//! Reading of client request bodies.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Response, StatusCode};
use monsoonspread_decisions::memory_budget::ReadProgress;
use tokio::time::sleep;

use super::{RelayBody, refusal};
use crate::event::{EventKind, kind};
use crate::guard::{OutOfMemory, ReservedBody};
use crate::shared::Shared;

/// `Retry-After` while the memory for bodies is in use, in milliseconds: the time after which a body that
/// is being read may have to yield.
const MEMORY_RETRY_MS: u64 = 1_000;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum BodyFailure {
    /// The body exceeds the configured limit.
    TooLong,
    /// The client disconnected.
    ClientDisconnected,
    /// The memory for bodies is in use.
    OutOfMemory,
    /// The body was given up for others.
    Yielded,
    /// The body arrived too slowly.
    Stalled,
}

impl From<OutOfMemory> for BodyFailure {
    fn from(_: OutOfMemory) -> Self {
        Self::OutOfMemory
    }
}

/// Reads the whole body, of at most `max_bytes`, into memory that is reserved before.
pub(super) async fn read_body(
    shared: &Shared,
    mut body: Incoming,
    max_bytes: usize,
) -> Result<Bytes, BodyFailure> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > max_bytes {
        return Err(BodyFailure::TooLong);
    }
    let now = shared.now();
    let callers = shared.settings.callers;
    let mut progress = ReadProgress::new(now, callers.body_window_ms, callers.body_bytes_per_s);
    let mut read = shared.guard.bodies.begin(now, max_bytes);
    read.reserve(now, announced)?;
    while let Some(frame) = next_frame(shared, &mut body, &read, &mut progress).await? {
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        if bytes.len() > max_bytes - read.len() {
            return Err(BodyFailure::TooLong);
        }
        progress.on_bytes(bytes.len() as u64);
        read.extend(shared.now(), &bytes)?;
    }
    Ok(read.finish())
}

/// Refuses a request whose head there is no memory for; it was not run.
pub fn refuse_head(shared: &Shared) -> Response<RelayBody> {
    refused(shared, BodyFailure::OutOfMemory)
}

/// Refuses a request whose body could not be read; it was not run.
pub(super) fn refused(shared: &Shared, failure: BodyFailure) -> Response<RelayBody> {
    let now = shared.now();
    let report = |outcome: &'static str, kind: &'static EventKind| {
        shared.metrics.count("bodies", outcome);
        let held_bytes = shared.guard.bodies.held_bytes();
        let log = &shared.guard.log;
        log.log(now, kind, |line| line.field("held_bytes", held_bytes));
    };
    let mut response = match failure {
        BodyFailure::ClientDisconnected => return refusal::plain(StatusCode::BAD_REQUEST),
        BodyFailure::TooLong => {
            shared.metrics.count("bodies", "too_long");
            refusal::plain(StatusCode::PAYLOAD_TOO_LARGE)
        }
        BodyFailure::OutOfMemory => {
            report("refused", &kind::BODY_REFUSED);
            refusal::not_run(MEMORY_RETRY_MS)
        }
        BodyFailure::Yielded => {
            report("yielded", &kind::BODY_YIELDED);
            refusal::not_run(MEMORY_RETRY_MS)
        }
        BodyFailure::Stalled => {
            report("stalled", &kind::BODY_STALLED);
            refusal::plain(StatusCode::REQUEST_TIMEOUT)
        }
    };
    // The rest of the body is not read.
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

/// Waits for the next part of a body while it makes progress and need not yield.
async fn next_frame(
    shared: &Shared,
    body: &mut Incoming,
    read: &ReservedBody,
    progress: &mut ReadProgress,
) -> Result<Option<Frame<Bytes>>, BodyFailure> {
    loop {
        let window_ms = progress.window_ends_at().ms_since(shared.now());
        tokio::select! {
            biased;
            () = read.yields() => return Err(BodyFailure::Yielded),
            frame = body.frame() => {
                return frame.transpose().map_err(|_| BodyFailure::ClientDisconnected);
            }
            () = sleep(Duration::from_millis(window_ms)) => {
                if progress.is_stalled(shared.now()) {
                    return Err(BodyFailure::Stalled);
                }
            }
        }
    }
}
