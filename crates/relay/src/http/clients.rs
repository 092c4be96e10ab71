//! Client connections.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use monsoonspread_decisions::memory_budget::ConnectionKind;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::call::{RelayBody, handle, refuse_head};
use crate::connection::MAX_BUFFER_BYTES;
use crate::guard::{GuardedBody, GuardedConnection, GuardedStream, OutOfMemory, Reservation};
use crate::shared::Shared;

use super::readiness::answer_check;

/// Maximum time to leave a connection idle or to send a head before a configuration sets a limit,
/// in milliseconds.
const DEFAULT_HEAD_TIMEOUT_MS: u64 = 30_000;
/// Memory that a request holds for each byte of its headers: the parts of a prompt take six bytes or more
/// there, and some fifty where they are kept.
const HEAD_FACTOR: usize = 8;
/// Headers whose memory is part of a connection's share, in bytes: that share allows for a head of 16 KB, which
/// these don't exceed once they are read.
const ORDINARY_HEAD_BYTES: usize = 2 * 1024;
/// Smallest buffer that the HTTP library allows, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Room for the request line and what surrounds the headers of a head at the limit, in bytes.
const REQUEST_LINE_BYTES: usize = 1024;

/// Open client connections.
#[derive(Clone)]
pub struct Connections {
    open: Rc<Cell<usize>>,
    closing: watch::Sender<bool>,
}

impl Connections {
    /// Creates the state without connections.
    pub fn new() -> Self {
        Self {
            open: Rc::default(),
            closing: watch::Sender::new(false),
        }
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Closes each connection once its current request is answered.
    pub fn close_idle(&self) {
        // Fails only if there are no connections.
        let _ = self.closing.send(true);
    }
}

/// Accepts connections of clients, or of the platform's readiness checks, as `kind` says.
pub async fn serve_clients(
    listener: TcpListener,
    kind: ConnectionKind,
    shared: Rc<Shared>,
    connections: Connections,
) {
    loop {
        let accepted = shared.guard.accept(&listener, kind, &shared.metrics).await;
        let (stream, guarded) = accepted;
        let run = serve(
            stream,
            kind,
            Rc::clone(&guarded),
            Rc::clone(&shared),
            connections.clone(),
        );
        tokio::task::spawn_local(async move { guarded.run(run).await });
    }
}

async fn serve(
    stream: GuardedStream,
    kind: ConnectionKind,
    guarded: Rc<GuardedConnection>,
    shared: Rc<Shared>,
    connections: Connections,
) {
    let open = OpenConnection::new(&connections.open);
    let mut closing = connections.closing.subscribe();
    let head_timeout_ms = head_timeout_ms(&shared);
    let max_buffer_bytes = max_buffer_bytes(&shared);
    let service =
        service_fn(move |request| answer(kind, Rc::clone(&shared), Rc::clone(&guarded), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .max_buf_size(max_buffer_bytes)
        .header_read_timeout(Duration::from_millis(head_timeout_ms))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        // Errors were already reported to the requests on this connection.
        _ = connection.as_mut() => return,
        _ = closing.changed() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
    drop(open);
}

async fn answer(
    kind: ConnectionKind,
    shared: Rc<Shared>,
    guarded: Rc<GuardedConnection>,
    request: Request<Incoming>,
) -> Result<Response<GuardedBody<RelayBody>>, Infallible> {
    guarded.on_request();
    // The listener decides, not the path: a route may take any path of the callers.
    if kind == ConnectionKind::Readiness {
        let response = answer_check(&shared, &request);
        return Ok(response.map(|body| GuardedBody::new(body, guarded)));
    }
    let (head, response) = match hold_head(&shared, &request) {
        Ok(head) => (head, handle(shared, request).await),
        Err(OutOfMemory) => (None, refuse_head(&shared)),
    };
    Ok(response.map(|body| GuardedBody::new(body, guarded).with_head(head)))
}

/// Reserves memory for what is kept of a large head; an ordinary one fits into its connection's share.
fn hold_head(
    shared: &Shared,
    request: &Request<Incoming>,
) -> Result<Option<Reservation>, OutOfMemory> {
    let large_bytes = head_bytes(request).saturating_sub(ORDINARY_HEAD_BYTES);
    if large_bytes == 0 {
        return Ok(None);
    }
    let bodies = &shared.guard.bodies;
    let held = bodies.hold(shared.now(), large_bytes * HEAD_FACTOR)?;
    Ok(Some(held))
}

/// Size of a request's headers, in bytes.
fn head_bytes(request: &Request<Incoming>) -> usize {
    let headers = request.headers().iter();
    headers
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum()
}

/// Returns the head timeout, which counts from the end of the previous request and so includes the
/// idle time.
fn head_timeout_ms(shared: &Shared) -> u64 {
    let fleet = shared.fleet.borrow();
    let limits = fleet.routes().map(|routes| routes.config().limits);
    limits.map_or(DEFAULT_HEAD_TIMEOUT_MS, |limits| {
        limits.idle_timeout_ms + limits.header_timeout_ms
    })
}

/// Returns the size of a connection's buffer, which a head at the limit fits into.
fn max_buffer_bytes(shared: &Shared) -> usize {
    let fleet = shared.fleet.borrow();
    let limits = fleet.routes().map(|routes| routes.config().limits);
    limits.map_or(MAX_BUFFER_BYTES, |limits| {
        (limits.max_header_bytes + REQUEST_LINE_BYTES).max(MIN_BUFFER_BYTES)
    })
}

struct OpenConnection {
    open: Rc<Cell<usize>>,
}

impl OpenConnection {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self {
            open: Rc::clone(open),
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}
