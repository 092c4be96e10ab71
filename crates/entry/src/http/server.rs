//! Accepting callers' connections.
//!
//! Built on `hyper` rather than on `salvo`, as a planned stop has to end each connection after
//! its request, and a caller that goes away has to end its work.

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

use super::AnswerBody;
use crate::settings::Limits;

/// Bytes of a request's line and headers.
const MAX_HEADER_BYTES: usize = 32 * 1024;
/// Wait after the system refused to accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Answers requests.
#[async_trait::async_trait]
pub trait Service: Send + Sync + 'static {
    /// Answers one request.
    async fn answer(&self, request: Request<Incoming>, peer: SocketAddr) -> Response<AnswerBody>;
}

/// A listener with its connections.
pub struct Server {
    listener: TcpListener,
    service: Arc<dyn Service>,
    limits: Limits,
    stopping: CancellationToken,
}

impl Server {
    /// Serves `service` on `listener` until `stopping` is cancelled.
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

    /// Accepts until the stop, then ends when every request is answered.
    pub async fn run(self) {
        let places = Arc::new(Semaphore::new(self.limits.connections));
        let mut connections = JoinSet::new();
        loop {
            while connections.try_join_next().is_some() {}
            let permit = tokio::select! {
                permit = Arc::clone(&places).acquire_owned() => permit,
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
