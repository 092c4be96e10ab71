//! Client connections.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::call::{RelayBody, handle};
use crate::connection::MAX_BUFFER_BYTES;
use crate::shared::Shared;

/// Maximum time to leave a connection idle or to send a head before a configuration sets a limit,
/// in milliseconds.
const DEFAULT_HEAD_TIMEOUT_MS: u64 = 30_000;
/// Pause after a failed accept, in milliseconds, usually because file descriptors ran out.
const ACCEPT_RETRY_MS: u64 = 10;

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

/// Accepts connections of clients, and of the platform's readiness checks.
pub async fn serve_clients(listener: TcpListener, shared: Rc<Shared>, connections: Connections) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let run = serve(stream, Rc::clone(&shared), connections.clone());
                tokio::task::spawn_local(run);
            }
            Err(error) => {
                log::debug!("a connection was not accepted: {error}");
                tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, shared: Rc<Shared>, connections: Connections) {
    // Without it events may be delayed; the connection still works.
    let _ = stream.set_nodelay(true);
    let open = OpenConnection::new(&connections.open);
    let mut closing = connections.closing.subscribe();
    let head_timeout_ms = head_timeout_ms(&shared);
    let service = service_fn(move |request| answer(Rc::clone(&shared), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .max_buf_size(MAX_BUFFER_BYTES)
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
    shared: Rc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<RelayBody>, Infallible> {
    if shared
        .borders
        .dialect
        .is_readiness(request.method(), request.uri())
    {
        return Ok(readiness(&shared));
    }
    Ok(handle(shared, request).await)
}

fn readiness(shared: &Shared) -> Response<RelayBody> {
    let mut response = Response::new(RelayBody::Whole(Option::<Bytes>::None));
    if !shared.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
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
