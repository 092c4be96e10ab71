//! Connections of clients.

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
use crate::shared::Shared;

/// Longest time that a client may leave a connection unused or take to send a head before a
/// configuration says, in milliseconds.
const DEFAULT_HEAD_TIMEOUT_MS: u64 = 30_000;
/// Pause after a connection could not be accepted, in milliseconds: descriptors run out.
const ACCEPT_RETRY_MS: u64 = 10;

/// Open connections of clients.
#[derive(Clone)]
pub struct Connections {
    open: Rc<Cell<usize>>,
    closing: watch::Sender<bool>,
}

impl Connections {
    /// None are open.
    pub fn new() -> Self {
        Self {
            open: Rc::default(),
            closing: watch::Sender::new(false),
        }
    }

    /// How many are open.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Closes each connection once its request is answered.
    pub fn close_idle(&self) {
        // Without connections nobody listens.
        let _ = self.closing.send(true);
    }
}

/// Accepts connections of clients, and of the platform that asks for readiness.
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
    // Without it events wait for the next packet; the connection works all the same.
    let _ = stream.set_nodelay(true);
    let open = OpenConnection::new(&connections.open);
    let mut closing = connections.closing.subscribe();
    let head_timeout_ms = head_timeout_ms(&shared);
    let service = service_fn(move |request| answer(Rc::clone(&shared), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(head_timeout_ms))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        // How it ended was told to each of its requests.
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

/// The time to send a head counts from the end of the request before.
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
