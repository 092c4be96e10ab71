//! Accepts connections from callers.
//!
//! Uses `hyper` directly instead of `salvo`, because a planned stop must close each connection
//! after its current request, and a disconnected caller must cancel its request.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::ResponseBody;
use crate::settings::Limits;

/// Maximum size of the request line and headers.
const MAX_HEADER_BYTES: usize = 32 * 1024;
/// Delay before the next `accept` after one failed.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Handler for HTTP requests.
#[async_trait::async_trait]
pub trait Service: Send + Sync + 'static {
    /// Handles one request from `peer`.
    async fn answer(&self, request: Request<Incoming>, peer: SocketAddr) -> Response<ResponseBody>;
}

/// HTTP server with its listener and open connections.
pub struct Server {
    listener: TcpListener,
    service: Arc<dyn Service>,
    limits: Limits,
    stopping: CancellationToken,
}

impl Server {
    /// Creates a server that handles requests with `service` until `stopping` is cancelled.
    pub fn new(
        listener: TcpListener,
        service: Arc<dyn Service>,
        limits: Limits,
        stopping: CancellationToken,
    ) -> Self {
        Self {
            listener,
            service,
            limits,
            stopping,
        }
    }

    /// Accepts connections until `stopping` is cancelled, then returns once all requests in flight
    /// have completed.
    pub async fn run(self) {
        let permits = Arc::new(Semaphore::new(self.limits.connections));
        let mut connections = JoinSet::new();
        loop {
            while connections.try_join_next().is_some() {}
            let permit = tokio::select! {
                permit = Arc::clone(&permits).acquire_owned() => permit,
                () = self.stopping.cancelled() => break,
            };
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = self.stopping.cancelled() => break,
            };
            let Ok((stream, peer)) = accepted else {
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            };
            let connection = self.connection(stream, peer);
            connections.spawn(async move {
                connection.await;
                drop(permit);
            });
        }
        drop(self.listener);
        while connections.join_next().await.is_some() {}
    }

    fn connection(
        &self,
        stream: TcpStream,
        peer: SocketAddr,
    ) -> impl Future<Output = ()> + Send + use<> {
        let service = Arc::clone(&self.service);
        let stopping = self.stopping.clone();
        let header_timeout = Duration::from_millis(self.limits.header_timeout_ms);
        async move {
            let _ = stream.set_nodelay(true);
            let answer = service_fn(move |request| {
                let service = Arc::clone(&service);
                async move { Ok::<_, Infallible>(service.answer(request, peer).await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(header_timeout)
                .max_buf_size(MAX_HEADER_BYTES)
                .serve_connection(TokioIo::new(stream), answer);
            let mut connection = std::pin::pin!(connection);
            tokio::select! {
                _ = connection.as_mut() => return,
                () = stopping.cancelled() => connection.as_mut().graceful_shutdown(),
            }
            let _ = connection.await;
        }
    }
}
